"""The processes of one run: caches, the proxy between, routers with their change logs and clients."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import trio

from edge_router.fault_injection.clients import Clients
from edge_router.fault_injection.discovery import ChangeLog
from edge_router.fault_injection.observations import Observations, RouterLife, observation_from
from edge_router.fault_injection.plan import PLAN_VARIABLE, FaultPlan
from edge_router.fault_injection.protocol import NodeRecord, Reader, records, request_records
from edge_router.fault_injection.scenario import CACHE_ID, KINDS, ORIGIN_ID, PARENT_ID, ZONES, Scenario

PORTS = 10_000, 30_000
BOOT = 4.0  # seconds for all processes to start
KILL_AFTER = 3.7  # SIGKILL comes so long after SIGTERM
WEIGHT = 8000
LIFECYCLES = ("up", "draining", "removed")


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


class Fleet:
    """Starts, configures and ends the processes, and takes in what they report."""

    def __init__(self, scenario: Scenario, folder: Path, nursery: trio.Nursery) -> None:
        self.scenario, self.seen = scenario, Observations()
        self._folder, self._nursery = folder, nursery
        self.random = random.Random(scenario.seed)
        self.start = time.monotonic() + BOOT  # of the traffic
        self.caches = [
            CacheSeat(number, CACHE_ID + number, free_port(), free_port())
            for number in range(scenario.caches)
        ]
        self.proxy: trio.Process | None = None
        self._proxy_ready = trio.Event()
        self._ordering: dict[int, trio.Lock] = {}
        self._processes: list[trio.Process] = []
        self.routers: list[RouterSeat] = []

    async def boot(self) -> None:
        """Starts everything but the clients."""
        async with trio.open_nursery() as starts:
            for cache in self.caches:
                starts.start_soon(self.start_cache, cache)
            starts.start_soon(self._start_proxy)
        nodes = [cache.record() for cache in self.caches]
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
                self.routers.append(seat)
                await self.listen_log(seat, free_port())
                starts.start_soon(self.start_router, seat)

    async def _spawn(self, *words: str, **more: Any) -> trio.Process:
        process: trio.Process = await trio.lowlevel.open_process([sys.executable, "-m", *words], **more)
        self._processes.append(process)
        return process

    def kill_all(self) -> None:
        """Ends every process that is left; to be called whatever becomes of the run."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()

    async def start_cache(self, cache: CacheSeat) -> None:
        """Starts the cache's process and waits until it listens; raises trio.TooSlowError."""
        cache.ready = trio.Event()
        cache.process = await self._spawn(
            "edge_router.fault_injection.cache_process",
            str(cache.ident),
            str(cache.port),
            str(self.random.getrandbits(30)),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
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
        pairs = json.dumps([(cache.proxy_port, cache.port, cache.ident) for cache in self.caches])
        self.proxy = await self._spawn(
            "edge_router.fault_injection.proxy",
            str(self.scenario.seed),
            pairs,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self._nursery.start_soon(self._observe, None, self.proxy)
        with trio.fail_after(10.0):
            await self._proxy_ready.wait()

    async def order(self, process: trio.Process | None, **order: Any) -> None:
        """Sends an order to a cache's or the proxy's process, if it runs."""
        if process is None or process.stdin is None or process.poll() is not None:
            return
        try:
            async with self._ordering.setdefault(process.pid, trio.Lock()):
                await process.stdin.send_all(json.dumps(order).encode() + b"\n")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    # -- routers --

    async def listen_log(self, seat: RouterSeat, port: int) -> None:
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
        instances = [
            {
                "instanceId": f"s-{node.ident:08x}",
                "hostPort": f"127.0.0.1:{node.port}",
                "machineType": KINDS[node.kind],
                "cell": 0,
                "zone": ZONES[node.zone],
                "lifecycle": LIFECYCLES[node.state],
                "weight": node.weight,
                "startedAtMs": node.started,
            }
            for node in seat.log.known()
        ]
        results: list[dict[str, Any]] = [
            {"seq": 1, "fleet": {"generation": 1, "reset": True, "instances": instances}}
        ]
        for told in seat.log.recent_purges:
            name = {"object": told.item} if told.item else {"bucket": told.group}
            results.append({"seq": 1, "invalidate": {**name, "time": told.purged_unix_ms}})
            self.seen.told.append(replace(told, at=time.monotonic()))
        seat.log.recent_purges = []
        return {
            "name": seat.name,
            "listen": f"{seat.address[0]}:{seat.address[1]}",
            "seed": f"{self.scenario.seed * 100 + seat.number:x}",
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 256},
            "changelog": f"127.0.0.1:{seat.log_port}",
            "flow_bytes_per_s": 400_000,
            "link_bytes_per_s": 4_000_000,
            "known": {"seq": 1, "results": results},
            "settings": self.scenario.settings(),
        }

    def write_config(self, seat: RouterSeat) -> Path:
        """Replaces the router's configuration file as a whole."""
        path = seat.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(self._config(seat)))
        path.with_suffix(".new").rename(path)
        return path

    async def start_router(self, seat: RouterSeat) -> None:
        """Starts the router's process and waits until it answers its health check, 20 s at most."""
        path = self.write_config(seat)
        faults = [
            replace(fault, start=self.start + fault.start, end=self.start + fault.end)
            for fault in self.scenario.system_faults.get(seat.number, ())
        ]
        plan = FaultPlan(faults, self.scenario.seed * 100 + seat.number)
        seat.life = RouterLife(seat.name, time.monotonic())
        self.seen.lives.append(seat.life)
        log_path = seat.folder / f"log-{len(self.seen.lives)}"
        with log_path.open("wb") as output:
            seat.process = await self._spawn(
                "edge_router.fault_injection.shim",
                stderr=output,
                env={**os.environ, "RELAY_CONFIG": str(path), PLAN_VARIABLE: plan.to_json()},
            )
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

    async def terminate(self, seat: RouterSeat) -> None:
        """A planned stop: SIGTERM, clients for a moment more, SIGKILL if it takes too long."""
        process, life = seat.process, seat.life
        if process is None or life is None or process.poll() is not None:
            return
        life.term_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        await trio.sleep(self.random.uniform(0.2, 0.4))
        if seat.clients:
            seat.clients.accepting = False
        with trio.move_on_at(trio.current_time() + KILL_AFTER - (time.monotonic() - life.term_at)):
            await process.wait()
        if process.poll() is None:
            process.kill()  # what is unanswered now is lost: no excuse is noted
        while life.exit_code is None:
            await trio.sleep(0.02)

    def start_clients(self) -> None:
        """Lets the clients of all routers ask until the end of the traffic."""
        for seat in self.routers:
            seed = self.scenario.seed * 1000 + seat.number
            seat.clients = Clients(seat.name, seat.address, seed, self.seen, self._nursery)
            uneven = (0.4, 0.7, 1.0, 1.0, 1.9)[seat.number % 5]
            self._nursery.start_soon(
                seat.clients.run, self.scenario.rate * uneven, self.start + self.scenario.seconds
            )
