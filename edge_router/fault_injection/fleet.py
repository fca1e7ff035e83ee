"""The processes of one run: caches, the proxy in front of them, and routers with change logs and clients."""

from __future__ import annotations

import json
import os
import random
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import trio

from edge_router.fault_injection.bad_clients import BadClients
from edge_router.fault_injection.change_log import ChangeLog
from edge_router.fault_injection.clients import Clients
from edge_router.fault_injection.messages import HarnessCommand, ProcessReady, message_from_json
from edge_router.fault_injection.network import LOOPBACK, free_port
from edge_router.fault_injection.observations import (
    AttemptStarted,
    CacheResponse,
    FetchReceived,
    Observations,
    RouterRun,
)
from edge_router.fault_injection.protocol import (
    EndpointRecord,
    EndpointState,
    StreamReader,
    encode_request,
    read_records,
)
from edge_router.fault_injection.router_config import replace_file, router_config
from edge_router.fault_injection.scenario import FIRST_CACHE_ID, FIRST_PARENT_ID, ORIGIN_ID, Scenario
from edge_router.fault_injection.system_call_faults import FAULTS_VARIABLE, FaultSchedule

STARTUP_TIME = 4.0  # seconds for all processes to start, before the traffic
PROCESS_READY_TIMEOUT = 10.0  # seconds, for caches and the proxy
ROUTER_READY_TIMEOUT = 20.0  # seconds
SIGKILL_AFTER = 3.7  # seconds after SIGTERM
# Thousandths of a concurrent transfer, as in change log records. The configuration file states the same
# number, although its weights are whole concurrent transfers.
ENDPOINT_WEIGHT = 8000
PARENTS = 2
UNUSED_PORT = 1  # of parents and the origin: routers name them as sources but never connect to them
RATE_FACTORS = (0.4, 0.7, 1.0, 1.0, 1.9)  # of the request rate: routers get uneven shares of the traffic


@dataclass(slots=True)
class CacheSlot:
    """One cache of the fleet and its current process."""

    cache_id: int
    port: int
    proxy_port: int
    process: trio.Process | None = None
    started_ms: int = 0  # Unix milliseconds
    ready: trio.Event = field(default_factory=trio.Event)

    def endpoint_record(
        self, state: EndpointState = EndpointState.READY, started_ms: int = 0
    ) -> EndpointRecord:
        """Returns the cache's entry in the endpoint list, with the proxy's port, which routers connect to."""
        return EndpointRecord(self.cache_id, self.proxy_port, state, 1, 0, ENDPOINT_WEIGHT, started_ms)


@dataclass(slots=True)
class RouterSlot:
    """One router of the fleet, its change log, its clients and its current process."""

    number: int
    name: str
    address: tuple[str, int]
    change_log: ChangeLog
    folder: Path
    change_log_port: int = 0
    process: trio.Process | None = None
    run: RouterRun | None = None
    clients: Clients | None = None
    bad_clients: BadClients | None = None
    restarting: bool = False
    listener_scope: trio.CancelScope | None = None  # of the change log's current address

    def is_ready(self) -> bool:
        """Whether the current process has answered a health check."""
        return self.process is not None and self.run is not None and self.run.ready_at is not None


class Fleet:
    """Starts, configures and ends the processes, and records their reports."""

    def __init__(self, scenario: Scenario, folder: Path, nursery: trio.Nursery) -> None:
        self.scenario, self.observations = scenario, Observations()
        self._folder, self._nursery = folder, nursery
        self.random = random.Random(scenario.seed)
        self.traffic_starts_at = time.monotonic() + STARTUP_TIME
        self.caches = [
            CacheSlot(FIRST_CACHE_ID + number, free_port(), free_port()) for number in range(scenario.caches)
        ]
        self.routers: list[RouterSlot] = []
        self.proxy: trio.Process | None = None
        self._proxy_ready = trio.Event()
        self._command_locks: dict[int, trio.Lock] = {}  # by process id; lines must not interleave
        self._processes: list[trio.Process] = []

    async def start(self) -> None:
        """Starts everything but the clients; raises trio.TooSlowError if a cache or the proxy is late."""
        async with trio.open_nursery() as nursery:
            for cache in self.caches:
                nursery.start_soon(self.start_cache, cache)
            nursery.start_soon(self._start_proxy)
        endpoints = self._endpoints()
        async with trio.open_nursery() as nursery:
            for number in range(self.scenario.routers):
                router = self._add_router(number, endpoints)
                await self.listen_change_log(router, free_port())
                nursery.start_soon(self.start_router, router)

    def _endpoints(self) -> list[EndpointRecord]:
        ready, weight = EndpointState.READY, ENDPOINT_WEIGHT
        endpoints = [cache.endpoint_record() for cache in self.caches]
        endpoints += [
            EndpointRecord(FIRST_PARENT_ID + number, UNUSED_PORT, ready, 0, 1, weight)
            for number in range(PARENTS)
        ]
        endpoints.append(EndpointRecord(ORIGIN_ID, UNUSED_PORT, ready, 0, 2, weight))
        return endpoints

    def _add_router(self, number: int, endpoints: list[EndpointRecord]) -> RouterSlot:
        # The address depends on the router and the seed, so that concurrent runs on a machine don't collide.
        host = f"127.77.{number + 1}.{self.scenario.seed % 250 + 1}"
        name = f"n{number}"
        folder = self._folder / name
        folder.mkdir()
        change_log = ChangeLog(name, self.observations, endpoints)
        router = RouterSlot(number, name, (host, free_port(host)), change_log, folder)
        self.routers.append(router)
        return router

    async def _spawn(self, module: str, *arguments: str, **options: Any) -> trio.Process:
        command = [sys.executable, "-m", module, *arguments]
        process: trio.Process = await trio.lowlevel.open_process(command, **options)
        self._processes.append(process)
        return process

    def kill_all(self) -> None:
        """Kills all processes that still run; to be called however the run ends."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()

    # Caches and the proxy.

    async def start_cache(self, cache: CacheSlot) -> None:
        """Starts the cache's process; raises trio.TooSlowError if it is not ready in time."""
        cache.ready = trio.Event()
        arguments = str(cache.cache_id), str(cache.port), str(self.random.getrandbits(30))
        cache.process = await self._spawn(
            "edge_router.fault_injection.cache_process",
            *arguments,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self._nursery.start_soon(self._read_reports, cache.process, cache)
        with trio.fail_after(PROCESS_READY_TIMEOUT):
            await cache.ready.wait()

    async def _start_proxy(self) -> None:
        routes = json.dumps([(cache.proxy_port, cache.port, cache.cache_id) for cache in self.caches])
        self.proxy = await self._spawn(
            "edge_router.fault_injection.proxy",
            str(self.scenario.seed),
            routes,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self._nursery.start_soon(self._read_reports, self.proxy, None)
        with trio.fail_after(PROCESS_READY_TIMEOUT):
            await self._proxy_ready.wait()

    async def _read_reports(self, process: trio.Process, cache: CacheSlot | None) -> None:
        """Records the reports of a cache's process, or of the proxy if `cache` is None."""
        assert process.stdout is not None
        rest = b""
        async for data in process.stdout:
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                self._add_report(line.decode(), cache)

    def _add_report(self, line: str, cache: CacheSlot | None) -> None:
        report = message_from_json(line, ProcessReady, AttemptStarted, FetchReceived, CacheResponse)
        if isinstance(report, AttemptStarted | FetchReceived | CacheResponse):
            self.observations.add_report(report)
            return
        assert isinstance(report, ProcessReady)
        if cache is None:
            self._proxy_ready.set()
        else:
            cache.started_ms = report.started_ms
            cache.ready.set()

    async def send_command(self, process: trio.Process | None, command: HarnessCommand) -> None:
        """Sends a command to a cache's or the proxy's process; does nothing if it does not run."""
        if process is None or process.stdin is None or process.poll() is not None:
            return
        try:
            async with self._command_locks.setdefault(process.pid, trio.Lock()):
                await process.stdin.send_all(command.to_json().encode() + b"\n")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    # Routers.

    async def listen_change_log(self, router: RouterSlot, port: int) -> None:
        """Opens the router's change log at a port and stops listening at the previous one."""
        if router.listener_scope is not None:
            router.listener_scope.cancel()
        listeners = await trio.open_tcp_listeners(port, host=LOOPBACK)
        router.listener_scope = scope = trio.CancelScope()

        async def serve() -> None:
            with scope:
                await trio.serve_listeners(router.change_log.serve, listeners, handler_nursery=self._nursery)

        self._nursery.start_soon(serve)
        router.change_log_port = port

    def write_config(self, router: RouterSlot) -> Path:
        """Replaces the router's configuration file.

        The purges in the file are the change log's `recent_purges`, which are empty afterwards; they count as
        sent to the router now.
        """
        purges = [replace(purge, at=time.monotonic()) for purge in router.change_log.recent_purges]
        router.change_log.recent_purges = []
        self.observations.purges += purges
        config = router_config(
            name=router.name,
            address=router.address,
            seed=self.scenario.seed * 100 + router.number,
            change_log_port=router.change_log_port,
            endpoints=router.change_log.endpoints(),
            purges=purges,
            settings=self.scenario.settings(),
        )
        path = router.folder / "config.json"
        replace_file(path, config)
        return path

    def _fault_schedule(self, router: RouterSlot) -> FaultSchedule:
        start = self.traffic_starts_at
        faults = [
            replace(fault, start=start + fault.start, end=start + fault.end)
            for fault in self.scenario.system_call_faults.get(router.number, ())
        ]
        return FaultSchedule(faults, self.scenario.seed * 100 + router.number)

    async def start_router(self, router: RouterSlot) -> None:
        """Starts the router's process and waits until it answers its health check, for 20 s at most."""
        path = self.write_config(router)
        schedule = self._fault_schedule(router)
        router.run = RouterRun(router.name, time.monotonic())
        self.observations.router_runs.append(router.run)
        log_path = router.folder / f"log-{len(self.observations.router_runs)}"
        with log_path.open("wb") as log:
            router.process = await self._spawn(
                "edge_router.fault_injection.faulty_router",
                stderr=log,
                env={**os.environ, "RELAY_CONFIG": str(path), FAULTS_VARIABLE: schedule.to_json()},
            )
        self._nursery.start_soon(self._record_end, router.process, router.run, log_path)
        with trio.move_on_after(ROUTER_READY_TIMEOUT):
            while not await self._answers_health_check(router):
                await trio.sleep(0.05)
            router.run.ready_at = time.monotonic()
        if router.clients:
            router.clients.sending = True

    async def _answers_health_check(self, router: RouterSlot) -> bool:
        try:
            with trio.move_on_after(1.0):
                async with await trio.open_tcp_stream(*router.address) as stream:
                    await stream.send_all(encode_request(1, "/status/live", {}))
                    async for record in read_records(StreamReader(stream)):
                        return b"200 OK" in record.content
        except (OSError, trio.BrokenResourceError):
            pass
        return False

    async def _record_end(self, process: trio.Process, run: RouterRun, log_path: Path) -> None:
        exit_code = await process.wait()
        run.ended_at = time.monotonic()
        run.log = log_path.read_text(errors="replace")
        run.exit_code = exit_code

    async def terminate_router(self, router: RouterSlot) -> None:
        """Sends SIGTERM to a router and waits until the end of its process is recorded.

        Its clients send for another 0.2 to 0.4 s, then not until `start_router`. A process that has not ended
        `SIGKILL_AFTER` seconds after SIGTERM is killed.
        """
        process, run = router.process, router.run
        if process is None or run is None or process.poll() is not None:
            return
        run.sigterm_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        await trio.sleep(self.random.uniform(0.2, 0.4))
        if router.clients:
            router.clients.sending = False
        with trio.move_on_after(SIGKILL_AFTER - (time.monotonic() - run.sigterm_at)):
            await process.wait()
        if process.poll() is None:
            process.kill()  # not recorded as SIGKILL, so that unanswered requests count as lost
        while run.exit_code is None:
            await trio.sleep(0.02)

    def start_clients(self) -> None:
        """Starts the clients of all routers; they send requests until the end of the traffic."""
        until = self.traffic_starts_at + self.scenario.seconds
        for router in self.routers:
            seed = self.scenario.seed * 1000 + router.number
            router.clients = Clients(router.name, router.address, seed, self.observations, self._nursery)
            router.bad_clients = BadClients(
                router.name, router.address, random.Random(f"{seed} bad clients"), self._nursery
            )
            rate = self.scenario.rate * RATE_FACTORS[router.number % len(RATE_FACTORS)]
            self._nursery.start_soon(router.clients.run, rate, until)
