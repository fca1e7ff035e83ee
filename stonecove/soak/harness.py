"""Plays one scenario: starts all processes, lets clients ask, and carries out the troubles in time."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path
from typing import Any

import trio

from stonecove.soak.clients import Clients
from stonecove.soak.discovery import ChangeLog
from stonecove.soak.observations import Observations, RouterLife, observation_from
from stonecove.soak.plan import PLAN_VARIABLE, FaultPlan
from stonecove.soak.protocol import NodeRecord, Reader, records, request_records
from stonecove.soak.scenario import CACHE_ID, KINDS, ORIGIN_ID, PARENT_ID, ZONES, Scenario, Step, Trouble

PORTS = 10_000, 30_000
BOOT = 4.0  # seconds for all processes to start
SETTLE = 3.5  # seconds after the last request for what is still open
KILL_AFTER = 3.7  # SIGKILL comes so long after SIGTERM
FRONT_NOTICES = 1.0  # seconds until the front hands nothing more to a router that was killed
WEIGHT = 8000
LIFECYCLES = ("up", "draining", "removed")
CACHE_TROUBLES = (Trouble.HANG, Trouble.ERRORS, Trouble.SPOILT, Trouble.FORGET)
PROXY_TROUBLES = (Trouble.RESET, Trouble.PARTITION, Trouble.SLOW, Trouble.LATE)


def free_port(host: str = "127.0.0.1") -> int:
    """A port that nobody listens on, outside the range from which the system takes ports for connections."""
    while True:
        port = random.SystemRandom().randrange(*PORTS)
        try:
            with socket.create_server((host, port)):
                return port
        except OSError:
            continue


@dataclass(slots=True)
class CacheSeat:
    """One cache of the fleet and the process that plays it now."""

    number: int
    ident: int
    port: int
    proxy_port: int
    process: trio.Process | None = None
    started: int = 0
    ready: trio.Event = field(default_factory=trio.Event)

    def record(self, state: int = 0, started: int = 0) -> NodeRecord:
        """Its entry of the list."""
        return NodeRecord(self.ident, self.proxy_port, state, 1, 0, WEIGHT, started)


@dataclass(slots=True)
class RouterSeat:
    """One router of the fleet, its change log, its clients and its present process."""

    number: int
    name: str
    address: tuple[str, int]
    log: ChangeLog
    folder: Path
    log_port: int = 0
    process: trio.Process | None = None
    life: RouterLife | None = None
    clients: Clients | None = None
    busy: bool = False  # being restarted
    log_scopes: dict[int, trio.CancelScope] = field(default_factory=dict)


class Harness:
    """One run."""

    def __init__(self, scenario: Scenario, folder: Path, nursery: trio.Nursery) -> None:
        self.scenario, self.seen = scenario, Observations()
        self._folder, self._nursery = folder, nursery
        self._random = random.Random(scenario.seed)
        self._start = time.monotonic() + BOOT
        self._caches = [CacheSeat(number, CACHE_ID + number, free_port(), free_port())
                        for number in range(scenario.caches)]
        self._proxy: trio.Process | None = None
        self._proxy_ready = trio.Event()
        self._ordering: dict[int, trio.Lock] = {}
        self._processes: list[trio.Process] = []
        self._routers: list[RouterSeat] = []

    async def play(self) -> Observations:
        """The whole run; returns what was seen."""
        await self._boot()
        await trio.sleep(max(0.0, self._start - time.monotonic()))
        self._start_clients()
        async with trio.open_nursery() as troubles:
            for step in self.scenario.steps:
                await trio.sleep(max(0.0, self._start + step.at - time.monotonic()))
                troubles.start_soon(self._trouble, step)
        end = self._start + self.scenario.seconds
        await trio.sleep(max(0.0, end + SETTLE - time.monotonic()))
        self.seen.not_following += [seat.name for seat in self._routers if not seat.log.followed()]
        async with trio.open_nursery() as stops:
            for seat in self._routers:
                stops.start_soon(self._terminate, seat)
        return self.seen

    # -- processes --

    async def _boot(self) -> None:
        async with trio.open_nursery() as starts:
            for cache in self._caches:
                starts.start_soon(self._start_cache, cache)
            starts.start_soon(self._start_proxy)
        nodes = [cache.record() for cache in self._caches]
        nodes += [NodeRecord(PARENT_ID + place, 1, 0, 0, 1, WEIGHT, 0) for place in range(2)]
        nodes.append(NodeRecord(ORIGIN_ID, 1, 0, 0, 2, WEIGHT, 0))
        async with trio.open_nursery() as starts:
            for number in range(self.scenario.routers):
                host = f"127.77.{number + 1}.{self.scenario.seed % 250 + 1}"
                name = f"n{number}"
                log = ChangeLog(name, self.seen, nodes)
                folder = self._folder / name
                folder.mkdir()
                seat = RouterSeat(number, name, (host, free_port(host)), log, folder)
                self._routers.append(seat)
                await self._listen_log(seat, free_port())
                starts.start_soon(self._start_router, seat)

    async def _spawn(self, *words: str, **more: Any) -> trio.Process:
        process: trio.Process = await trio.lowlevel.open_process([sys.executable, "-m", *words], **more)
        self._processes.append(process)
        return process

    def kill_all(self) -> None:
        """Ends every process that is left; to be called whatever becomes of the run."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()

    async def _start_cache(self, cache: CacheSeat) -> None:
        cache.ready = trio.Event()
        cache.process = await self._spawn(
            "stonecove.soak.cache_process", str(cache.ident), str(cache.port),
            str(self._random.getrandbits(30)), stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self._nursery.start_soon(self._observe, cache, cache.process)
        with trio.fail_after(10.0):
            await cache.ready.wait()

    async def _observe(self, cache: CacheSeat | None, process: trio.Process) -> None:
        """Takes in what a cache process, or the proxy, reports."""
        assert process.stdout is not None
        rest = b""
        async for data in process.stdout:
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                if b'"event": "ready"' in line:
                    if cache is not None:
                        cache.started = json.loads(line)["started"]
                        cache.ready.set()
                    else:
                        self._proxy_ready.set()
                    continue
                self.seen.add(observation_from(line.decode()))

    async def _start_proxy(self) -> None:
        pairs = json.dumps([(cache.proxy_port, cache.port, cache.ident) for cache in self._caches])
        self._proxy = await self._spawn("stonecove.soak.proxy", str(self.scenario.seed), pairs,
                                        stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self._nursery.start_soon(self._observe, None, self._proxy)
        with trio.fail_after(10.0):
            await self._proxy_ready.wait()

    async def _order(self, process: trio.Process | None, **order: Any) -> None:
        if process is None or process.stdin is None or process.poll() is not None:
            return
        try:
            async with self._ordering.setdefault(process.pid, trio.Lock()):
                await process.stdin.send_all(json.dumps(order).encode() + b"\n")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    # -- routers --

    async def _listen_log(self, seat: RouterSeat, port: int) -> None:
        """Opens the change log's address at that port, in place of the one before."""
        for scope in seat.log_scopes.values():
            scope.cancel()
        seat.log_scopes.clear()
        listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")

        async def serve() -> None:
            with trio.CancelScope() as scope:
                seat.log_scopes[port] = scope
                await trio.serve_listeners(seat.log.serve, listeners, handler_nursery=self._nursery)

        self._nursery.start_soon(serve)
        seat.log_port = port

    def _config(self, seat: RouterSeat) -> dict[str, Any]:
        instances = [{"instanceId": f"s-{node.ident:08x}", "hostPort": f"127.0.0.1:{node.port}",
                      "machineType": KINDS[node.kind], "cell": 0, "zone": ZONES[node.zone],
                      "lifecycle": LIFECYCLES[node.state], "weight": node.weight, "startedAtMs": node.started}
                     for node in seat.log.known()]
        results: list[dict[str, Any]] = [
            {"seq": 1, "fleet": {"generation": 1, "reset": True, "instances": instances}}]
        for told in seat.log.recent_purges:
            name = {"object": told.item} if told.item else {"bucket": told.group}
            results.append({"seq": 1, "invalidate": {**name, "time": told.purged_unix_ms}})
            self.seen.told.append(replace(told, at=time.monotonic()))
        seat.log.recent_purges = []
        return {"name": seat.name, "listen": f"{seat.address[0]}:{seat.address[1]}",
                "seed": f"{self.scenario.seed * 100 + seat.number:x}",
                "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 256},
                "changelog": f"127.0.0.1:{seat.log_port}", "flow_bytes_per_s": 400_000,
                "link_bytes_per_s": 4_000_000, "known": {"seq": 1, "results": results},
                "settings": self.scenario.settings()}

    def _write_config(self, seat: RouterSeat) -> Path:
        path = seat.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(self._config(seat)))
        path.with_suffix(".new").rename(path)
        return path

    async def _start_router(self, seat: RouterSeat) -> None:
        path = self._write_config(seat)
        faults = [replace(fault, start=self._start + fault.start, end=self._start + fault.end)
                  for fault in self.scenario.system_faults.get(seat.number, ())]
        plan = FaultPlan(faults, self.scenario.seed * 100 + seat.number)
        seat.life = RouterLife(seat.name, time.monotonic())
        self.seen.lives.append(seat.life)
        log_path = seat.folder / f"log-{len(self.seen.lives)}"
        with log_path.open("wb") as output:
            seat.process = await self._spawn(
                "stonecove.soak.shim", stderr=output,
                env={**os.environ, "RELAY_CONFIG": str(path), PLAN_VARIABLE: plan.to_json()})
        self._nursery.start_soon(self._await_end, seat.process, seat.life, log_path)
        with trio.move_on_after(20.0):
            while not await self._live(seat):
                await trio.sleep(0.05)
            seat.life.ready_at = time.monotonic()
        if seat.clients:
            seat.clients.accepting = True

    async def _live(self, seat: RouterSeat) -> bool:
        """Whether the router answers its health check."""
        try:
            with trio.move_on_after(1.0):
                async with await trio.open_tcp_stream(*seat.address) as stream:
                    await stream.send_all(request_records(1, "/status/live", {}))
                    async for one in records(Reader(stream)):
                        return b"200 OK" in one.content
        except (OSError, trio.BrokenResourceError):
            pass
        return False

    async def _await_end(self, process: trio.Process, life: RouterLife, log: Path) -> None:
        life.exit_code = await process.wait()
        life.ended_at = time.monotonic()
        life.log = log.read_text(errors="replace")

    async def _terminate(self, seat: RouterSeat) -> None:
        """A planned stop: SIGTERM, clients for a moment more, SIGKILL if it takes too long."""
        process, life = seat.process, seat.life
        if process is None or life is None or process.poll() is not None:
            return
        life.term_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        await trio.sleep(self._random.uniform(0.2, 0.4))
        if seat.clients:
            seat.clients.accepting = False
        with trio.move_on_at(trio.current_time() + KILL_AFTER - (time.monotonic() - life.term_at)):
            await process.wait()
        if process.poll() is None:
            process.kill()  # what is unanswered now is lost: no excuse is noted
        while life.exit_code is None:
            await trio.sleep(0.02)

    def _start_clients(self) -> None:
        for seat in self._routers:
            seed = self.scenario.seed * 1000 + seat.number
            seat.clients = Clients(seat.name, seat.address, seed, self.seen, self._nursery)
            uneven = (0.4, 0.7, 1.0, 1.0, 1.9)[seat.number % 5]
            self._nursery.start_soon(seat.clients.run, self.scenario.rate * uneven,
                                     self._start + self.scenario.seconds)

    # -- troubles --

    async def _trouble(self, step: Step) -> None:
        cache = self._caches[step.target % len(self._caches)]
        router = self._routers[step.target % len(self._routers)]
        until = time.monotonic() + step.length
        if step.trouble in CACHE_TROUBLES:
            await self._order(cache.process, trouble=step.trouble, until=until)
        elif step.trouble in PROXY_TROUBLES:
            await self._order(self._proxy, port=cache.proxy_port, trouble=step.trouble, until=until)
        else:
            plays: dict[Trouble, Callable[[Step], Awaitable[None]]] = {
                Trouble.STOP: partial(self._freeze_cache, cache),
                Trouble.KILL: partial(self._kill, cache),
                Trouble.DRAIN: partial(self._drain, cache),
                Trouble.PURGE: self._purge,
                Trouble.QUIET_LOG: partial(self._quiet_log, router),
                Trouble.BROKEN_LOG: partial(self._break_log, router),
                Trouble.SLOW_LOG: partial(self._slow_log, router),
                Trouble.MOVED_LOG: partial(self._move_log, router, 1),
                Trouble.RELOADS: partial(self._move_log, router, 3),
                Trouble.RESTART: partial(self._restart, router),
                Trouble.CRASH: partial(self._crash, router),
                Trouble.BURST: partial(self._burst, router),
                Trouble.FROZEN: partial(self._freeze, router),
                Trouble.BAD_CLIENTS: partial(self._bad_clients, router)}
            await plays[step.trouble](step)

    async def _list(self, record: NodeRecord) -> None:
        """Tells all routers of a change, each in its own time."""
        async def one(log: ChangeLog) -> None:
            await trio.sleep(self._random.uniform(0.04, 0.4))
            log.change(record)

        async with trio.open_nursery() as tellers:
            for seat in self._routers:
                tellers.start_soon(one, seat.log)

    async def _freeze_cache(self, cache: CacheSeat, step: Step) -> None:
        if cache.process and cache.process.poll() is None:
            cache.process.send_signal(signal.SIGSTOP)
            await trio.sleep(step.length)
            cache.process.send_signal(signal.SIGCONT)

    async def _kill(self, cache: CacheSeat, step: Step) -> None:
        if cache.process is None or not cache.ready.is_set():
            return
        cache.ready = trio.Event()
        cache.process.kill()
        await cache.process.wait()
        await trio.sleep(min(1.0, step.length))
        await self._start_cache(cache)
        await self._list(cache.record(started=cache.started))

    async def _drain(self, cache: CacheSeat, step: Step) -> None:
        await self._list(cache.record(1))
        await trio.sleep(step.length / 2.0 + 0.5)
        await self._list(cache.record(2))
        await trio.sleep(step.length / 2.0 + 0.5)
        await self._list(cache.record(0))

    async def _purge(self, step: Step) -> None:
        """A purge of an object or, one time in three, of a group; caches drop copies in their own time."""
        number = 1 + step.target % 5
        item = f"{number * 0x9E3779B97F4A7C15 % (1 << 64):016x}" if step.target % 3 else ""
        group, moment = number % 16, int(time.time() * 1000)
        for seat in self._routers:
            seat.log.purge(item, group, moment)
        await trio.sleep(min(4.0, step.length))
        for cache in self._caches:
            await self._order(cache.process, purge=[item], before=moment)

    async def _quiet_log(self, seat: RouterSeat, step: Step) -> None:
        seat.log.quiet_until = time.monotonic() + step.length

    async def _break_log(self, seat: RouterSeat, step: Step) -> None:
        seat.log.break_off()

    async def _slow_log(self, seat: RouterSeat, step: Step) -> None:
        seat.log.slow_until = time.monotonic() + step.length
        seat.log.break_off()

    async def _move_log(self, seat: RouterSeat, times: int, step: Step) -> None:
        """New configurations; the last of several leads back to the first address."""
        if seat.busy or seat.process is None or seat.life is None or not seat.life.ready_at:
            return
        first = seat.log_port
        for place in range(times):
            port = first if times > 1 and place == times - 1 else free_port()
            await self._listen_log(seat, port)
            seat.log.move()
            self._write_config(seat)
            if seat.process.poll() is None:
                seat.process.send_signal(signal.SIGHUP)
            await trio.sleep(self._random.choice((0.0, 0.005, 0.1, 0.6)))

    async def _restart(self, seat: RouterSeat, step: Step) -> None:
        if seat.busy:
            return
        seat.busy = True
        await self._terminate(seat)
        seat.log.restart()
        await self._start_router(seat)
        seat.busy = False

    async def _crash(self, seat: RouterSeat, step: Step) -> None:
        if seat.busy or seat.process is None or seat.life is None:
            return
        seat.busy = True
        seat.life.killed_at = time.monotonic()
        seat.process.kill()
        await trio.sleep(min(FRONT_NOTICES, step.length))
        if seat.clients:
            seat.clients.accepting = False
        seat.log.restart()
        await self._start_router(seat)
        seat.busy = False

    async def _freeze(self, seat: RouterSeat, step: Step) -> None:
        process = seat.process
        if seat.busy or process is None or process.poll() is not None:
            return
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(min(0.4, step.length))
        process.send_signal(signal.SIGCONT)

    async def _burst(self, seat: RouterSeat, step: Step) -> None:
        if seat.clients:
            seat.clients.rate_factor = 6.0
            await trio.sleep(step.length)
            seat.clients.rate_factor = 1.0

    async def _bad_clients(self, seat: RouterSeat, step: Step) -> None:
        if seat.clients:
            await seat.clients.misbehave(step.length)


def play(scenario: Scenario, folder: Path | None = None) -> Observations:
    """Plays a scenario in real time; logs and configurations are left in `folder`, if one is given."""
    async def run(path: Path) -> Observations:
        async with trio.open_nursery() as nursery:
            harness = Harness(scenario, path, nursery)
            try:
                seen = await harness.play()
            finally:
                harness.kill_all()
            nursery.cancel_scope.cancel()
        return seen

    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return trio.run(run, folder)
    with tempfile.TemporaryDirectory() as temporary:
        return trio.run(run, Path(temporary))

