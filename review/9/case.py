"""Case 9: a location returns cold; without stated sizes the router sends its first cache all it has."""

from __future__ import annotations

import asyncio
import math
import sys
import time
from collections import Counter

from stand_ins import platform
from stand_ins.caches import Answer, Cache, Fetch, served
from stand_ins.change_log import ChangeLog
from stand_ins.clients import Result, UsualClient, describe, is_lost, object_fields
from stand_ins.wire import CHANGES, GONE, READY, endpoint_record, unix_ms

CACHES, TRANSFERS, SENDING = (
    3,
    4.0,
    0.1,
)  # each sustains four transfers of 100 ms at once: 40 requests a second
RATE = 80.0  # requests a second: two thirds of what the three warm caches can do
LOST_AT, LOST_FOR = 2.0, 5.0  # seconds
TOLD_AFTER = (0.5, 2.3, 2.3)  # seconds from a cache's start until the list tells of it
DURATION = 11.0
CLIENTS, TTL = 40, 1500.0


class ColdCache(Cache):
    """A cache that counts what it gets while it is cold; one that gets more than it bears stays down."""

    def __init__(self, endpoint_id: int) -> None:
        super().__init__(endpoint_id, self._answer_fetch)
        self.down = False
        self.started: float | None = None  # Unix ms of its late start
        self.arrivals: list[float] = []
        self.worst = (0.0, 0, 0.0)  # of all windows: share of the bound, requests, bound
        self.fell: str | None = None

    async def _answer_fetch(self, fetch: Fetch) -> Answer:
        if self.started is not None:
            self._count(fetch.arrived)
        if self.down:
            await asyncio.sleep(60.0)  # it has fallen and answers nothing, but what is sent still counts
        await asyncio.sleep(SENDING)
        return served(b"x" * 1400)

    def _count(self, now: float) -> None:
        """Compares the window that ends now with the bound of STANDING.md, at the present capacity."""
        rules = platform.settings()["rules"]
        started = self.started or now
        self.arrivals.append(now)
        count = sum(each > now - rules["overload_for"] for each in self.arrivals)
        warm = min(1.0, (now - started) / rules["warm_up"])
        capacity = rules["cold_from"] + (1.0 - rules["cold_from"]) * warm
        allowed = rules["tip_multiple"] * capacity * TRANSFERS * rules["overload_for"] / (SENDING * 1000.0)
        root = math.sqrt(allowed)
        bound = allowed + (3.0 * root + 3.0 if allowed < 30.0 else 2.0 * root + 2.0)
        if capacity < 1.0:
            self.worst = max(self.worst, (count / bound, count, bound))
        if count > bound and capacity < 1.0 and self.fell is None:
            self.fell = f"{count} requests in {rules['overload_for']:.0f} ms, {bound:.1f} allowed"
            self.down = True


async def lose_location(caches: list[ColdCache], log: ChangeLog, record: platform.Record) -> None:
    """Loses all caches of the location for some seconds; they return cold and are told one by one."""
    await asyncio.sleep(LOST_AT)
    for cache in caches:
        log.add(CHANGES, endpoint_record(cache.endpoint_id, cache.address, GONE, 1, 0, TRANSFERS, 0))
        cache.stop()
    record.add("the location is lost; its caches are told as removed")
    await asyncio.sleep(LOST_FOR)
    started = unix_ms()
    for cache in caches:
        await cache.start()
        cache.started = started
    record.add("the caches have started again, cold")
    for cache, told_after in zip(caches, TOLD_AFTER, strict=True):
        await asyncio.sleep(max(0.0, told_after - (unix_ms() - started) / 1000.0))
        payload = endpoint_record(
            cache.endpoint_id, cache.address, READY, 1, 0, TRANSFERS, math.floor(started)
        )
        log.add(CHANGES, payload)
        record.add(f"told of s-{cache.endpoint_id:08x} {told_after:.1f} s after its start")


def report(caches: list[ColdCache], record: platform.Record) -> list[str]:
    """Adds a line for each cache to the record; returns how those fell that did."""
    for cache in caches:
        share, requests, bound = cache.worst
        worst = f"worst window after its start {requests} of {bound:.1f} ({share:.2f})"
        fell = "never fell" if cache.fell is None else f"fell: {cache.fell}"
        record.add(f"s-{cache.endpoint_id:08x}: {len(cache.fetches)} requests; {worst}; {fell}")
    return [cache.fell for cache in caches if cache.fell is not None]


async def main() -> int:
    """Runs the case; returns its exit status."""
    record = platform.Record(__file__)
    caches = [ColdCache(0x11 + number) for number in range(CACHES)]
    others = [Cache(number, caches[0].behaviour) for number in (0x21, 0x31)]
    for cache in (*caches, *others):
        await cache.start()
    log = ChangeLog(1)
    await log.start()
    instances = [platform.instance(cache, 0, TRANSFERS) for cache in caches]
    instances += [platform.instance(others[0], 1, 40.0), platform.instance(others[1], 2, 40.0)]
    limits = {"cores": 1.0, "memory_mb": 128, "sockets": 1024}
    router = platform.Router(log.address, instances, platform.settings(), limits)
    await router.start()
    lag = platform.LoopLag()

    idle = [UsualClient(router.address) for _ in range(CLIENTS)]
    results: list[Result] = []

    async def one_request(client: UsualClient) -> None:
        fields = object_fields(0.0)
        del fields["X-Working-Set-Kb"]  # not given everywhere
        results.append(await client.request("/svc/thumbs", fields, TTL))
        idle.append(client)

    trouble = asyncio.create_task(lose_location(caches, log, record)) if platform.trouble() else None
    start, tasks = time.monotonic(), set()
    for count in range(round(RATE * DURATION)):
        if idle:
            tasks.add(asyncio.create_task(one_request(idle.pop(0))))
        await asyncio.sleep(max(0.0, start + (count + 1) / RATE - time.monotonic()))
    if trouble is not None:
        await trouble
    await asyncio.gather(*tasks)
    lag.stop(record)
    for result in sorted(results, key=lambda each: each.sent):
        record.add(describe(result))
    fallen = report(caches, record)
    lost = sum(is_lost(result) for result in results)
    await router.stop()
    await platform.stop_all(*caches, *others, log)
    kinds = dict(Counter(result.kind() for result in results))
    worst = max(cache.worst for cache in caches)
    return record.finish(
        bool(fallen),
        f"{len(fallen)} cold caches fell ({'; '.join(fallen)}); "
        f"at the worst {worst[1]} in a window of {worst[2]:.1f}; {kinds}, {lost} requests lost",
    )


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
