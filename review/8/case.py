"""Case 8: a few bad clients send some requests and an endless message; usual clients wait past their time."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter

from stand_ins import platform
from stand_ins.caches import Answer, Cache, Fetch, served
from stand_ins.change_log import ChangeLog
from stand_ins.clients import Result, UsualClient, describe, is_lost, object_fields

LIMITS = {"cores": 1.0, "memory_mb": 128, "sockets": 512}
BAD_CLIENTS, REQUESTS_OF_EACH = 8, 31  # one connection each; up to 32 requests may be open on it
TROUBLE_LASTS = 12.0  # seconds
RATE, DURATION, BEFORE = 20.0, 13.0, 1.0  # usual requests a second; seconds, and those before the trouble
CLIENTS, TTL = 60, 1500.0
CACHE_TAKES = 0.05  # seconds


async def answer(_fetch: Fetch) -> Answer:
    """Answers from a copy."""
    await asyncio.sleep(CACHE_TAKES)
    return served(b"x" * 1400)


async def main() -> int:
    """Runs the case; returns its exit status."""
    record = platform.Record(__file__)
    caches = [Cache(0x11 + number, answer) for number in range(3)]
    parent, origin = Cache(0x21, answer), Cache(0x31, answer)
    for cache in (*caches, parent, origin):
        await cache.start()
    log = ChangeLog(1)
    await log.start()
    instances = [platform.instance(cache, 0, 20.0) for cache in caches]
    instances += [platform.instance(parent, 1, 40.0), platform.instance(origin, 2, 40.0)]
    router = platform.Router(log.address, instances, platform.settings(), LIMITS)
    await router.start()
    lag = platform.LoopLag()
    results: list[Result] = []
    idle = [UsualClient(router.address) for _ in range(CLIENTS)]

    async def one_request(client: UsualClient) -> None:
        results.append(await client.request("/svc/thumbs", object_fields(20.0), TTL))
        client.close()
        idle.append(client)

    bad: list[asyncio.subprocess.Process] = []
    start, tasks, unsent = time.monotonic(), set(), 0
    for count in range(round(RATE * DURATION)):
        if platform.trouble() and not bad and count >= RATE * BEFORE:
            record.add(f"{BAD_CLIENTS} bad clients send {REQUESTS_OF_EACH} requests and an endless message")
            host, port = router.address
            arguments = [str(REQUESTS_OF_EACH), host, str(port), str(TROUBLE_LASTS)]
            for _ in range(BAD_CLIENTS):
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "stand_ins.endless_client",
                    *arguments,
                    stdout=asyncio.subprocess.PIPE,
                )
                bad.append(process)
        if idle:
            tasks.add(asyncio.create_task(one_request(idle.pop(0))))
        else:
            unsent += 1
        await asyncio.sleep(max(0.0, start + (count + 1) / RATE - time.monotonic()))
    await asyncio.gather(*tasks)
    lag.stop(record)
    for process in bad:
        printed, _ = await process.communicate()
        record.add(printed.decode().strip())
    record.add(f"usual requests not sent, as all usual clients were waiting: {unsent}")
    for result in sorted(results, key=lambda each: each.sent):
        record.add(describe(result))
    lost = [result for result in results if is_lost(result)]
    ended = router.process.returncode is not None
    await router.stop()
    await platform.stop_all(*caches, parent, origin, log)
    kinds = dict(Counter(result.kind() for result in results))
    return record.finish(
        bool(lost), f"{len(lost)} of {len(results)} requests lost; {kinds}; the router ended: {ended}"
    )


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
