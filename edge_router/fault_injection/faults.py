"""Injects the faults of a scenario into a running fleet."""

from __future__ import annotations

import signal
import time
from collections.abc import Awaitable, Callable

import trio

from edge_router.fault_injection.change_log import ChangeLog
from edge_router.fault_injection.fleet import CacheSlot, Fleet, RouterSlot
from edge_router.fault_injection.messages import DropCopies, InjectFault
from edge_router.fault_injection.network import free_port
from edge_router.fault_injection.protocol import EndpointRecord, EndpointState
from edge_router.fault_injection.scenario import FaultKind, ScheduledFault
from edge_router.fault_injection.traffic import GROUPS, object_id_of

CRASH_DETECTION_TIME = 1.0  # seconds after which clients stop sending to a killed router
MAX_ROUTER_PAUSE = 0.4  # seconds
BURST_FACTOR = 6.0  # by which the request rate is multiplied
PURGED_OBJECTS = 5  # purges choose among this number of the most popular objects

# Faults that the cache process or the proxy in front of it simulates on command.
CACHE_FAULTS = {
    FaultKind.HANG,
    FaultKind.ERROR_RESPONSES,
    FaultKind.CORRUPT_RESPONSES,
    FaultKind.RESET_IDLE,
}
PROXY_FAULTS = {FaultKind.RESET, FaultKind.PARTITION, FaultKind.SLOW_LINK, FaultKind.SLOW_CONNECT}


class FaultInjector:
    """Injects the faults; calls may overlap, as the faults of a scenario do."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._cache_faults: dict[FaultKind, Callable[[CacheSlot, float], Awaitable[None]]] = {
            FaultKind.PAUSE: self._pause_cache,
            FaultKind.KILL: self._kill_cache,
            FaultKind.DRAIN: self._drain_cache,
        }
        self._router_faults: dict[FaultKind, Callable[[RouterSlot, float], Awaitable[None]]] = {
            FaultKind.SILENT_LOG: self._silence_log,
            FaultKind.RESET_LOG: self._reset_log,
            FaultKind.SLOW_LOG: self._slow_log,
            FaultKind.MOVED_LOG: self._move_log,
            FaultKind.RELOADS: self._reload_repeatedly,
            FaultKind.RESTART: self._restart_router,
            FaultKind.CRASH: self._crash_router,
            FaultKind.BURST: self._send_burst,
            FaultKind.ROUTER_PAUSE: self._pause_router,
            FaultKind.BAD_CLIENTS: self._run_bad_clients,
        }

    async def inject(self, fault: ScheduledFault) -> None:
        """Injects one fault.

        Returns when the fault is over. Faults that are active until a given time, which a cache, the proxy or
        a change log observes by itself, are only started: those of `CACHE_FAULTS` and `PROXY_FAULTS`, and
        silent and slow change logs.
        """
        cache = self._fleet.caches[fault.target % len(self._fleet.caches)]
        router = self._fleet.routers[fault.target % len(self._fleet.routers)]
        until = time.monotonic() + fault.duration
        if fault.kind in CACHE_FAULTS:
            await self._fleet.send_command(cache.process, InjectFault(fault.kind, until))
        elif fault.kind in PROXY_FAULTS:
            await self._fleet.send_command(
                self._fleet.proxy, InjectFault(fault.kind, until, cache.proxy_port)
            )
        elif fault.kind is FaultKind.PURGE:
            await self._purge(fault)
        elif fault.kind in self._cache_faults:
            await self._cache_faults[fault.kind](cache, fault.duration)
        else:
            await self._router_faults[fault.kind](router, fault.duration)

    async def _update_endpoint(self, endpoint: EndpointRecord) -> None:
        """Adds a change to the change logs of all routers, after a random delay for each router."""

        async def update(log: ChangeLog) -> None:
            await trio.sleep(self._fleet.random.uniform(0.04, 0.4))
            log.update_endpoint(endpoint)

        async with trio.open_nursery() as nursery:
            for router in self._fleet.routers:
                nursery.start_soon(update, router.change_log)

    # Caches.

    async def _pause_cache(self, cache: CacheSlot, duration: float) -> None:
        if cache.process and cache.process.poll() is None:
            cache.process.send_signal(signal.SIGSTOP)
            await trio.sleep(duration)
            cache.process.send_signal(signal.SIGCONT)

    async def _kill_cache(self, cache: CacheSlot, duration: float) -> None:
        if cache.process is None or not cache.ready.is_set():
            return
        cache.ready = trio.Event()
        cache.process.kill()
        await cache.process.wait()
        await trio.sleep(min(1.0, duration))
        await self._fleet.start_cache(cache)
        await self._update_endpoint(cache.endpoint_record(started_ms=cache.started_ms))

    async def _drain_cache(self, cache: CacheSlot, duration: float) -> None:
        await self._update_endpoint(cache.endpoint_record(EndpointState.DRAINING))
        await trio.sleep(duration / 2.0 + 0.5)
        await self._update_endpoint(cache.endpoint_record(EndpointState.REMOVED))
        await trio.sleep(duration / 2.0 + 0.5)
        await self._update_endpoint(cache.endpoint_record(EndpointState.READY))

    async def _purge(self, fault: ScheduledFault) -> None:
        """Purges an object or, one time in three, a purge group.

        Caches drop the copies of a purged object after the fault's duration, 4 s at most, and those of a
        purge group never. Routers have to reject the purged copies that a cache still has.
        """
        number = 1 + fault.target % PURGED_OBJECTS
        object_id, group = object_id_of(number), number % GROUPS
        purges_object = fault.target % 3 != 0
        purged_at_ms = int(time.time() * 1000)
        for router in self._fleet.routers:
            if purges_object:
                router.change_log.purge_object(object_id, purged_at_ms)
            else:
                router.change_log.purge_group(group, purged_at_ms)
        if not purges_object:
            return
        await trio.sleep(min(4.0, fault.duration))
        for cache in self._fleet.caches:
            await self._fleet.send_command(cache.process, DropCopies(object_id, purged_at_ms))

    # Change logs.

    async def _silence_log(self, router: RouterSlot, duration: float) -> None:
        router.change_log.silent_until = time.monotonic() + duration

    async def _reset_log(self, router: RouterSlot, duration: float) -> None:
        router.change_log.close_connections()

    async def _slow_log(self, router: RouterSlot, duration: float) -> None:
        router.change_log.slow_until = time.monotonic() + duration
        router.change_log.close_connections()

    async def _move_log(self, router: RouterSlot, duration: float) -> None:
        await self._reload(router, [free_port()])

    async def _reload_repeatedly(self, router: RouterSlot, duration: float) -> None:
        await self._reload(router, [free_port(), free_port(), router.change_log_port])

    async def _reload(self, router: RouterSlot, change_log_ports: list[int]) -> None:
        """Moves the change log to each of these ports in turn, each time with a new configuration."""
        if router.restarting or not router.is_ready():
            return
        assert router.process is not None
        for port in change_log_ports:
            await self._fleet.listen_change_log(router, port)
            router.change_log.move()
            self._fleet.write_config(router)
            if router.process.poll() is None:
                router.process.send_signal(signal.SIGHUP)
            await trio.sleep(self._fleet.random.choice((0.0, 0.005, 0.1, 0.6)))

    # Routers and their clients.

    async def _restart_router(self, router: RouterSlot, duration: float) -> None:
        if router.restarting:
            return
        router.restarting = True
        await self._fleet.terminate_router(router)
        router.change_log.restart()
        await self._fleet.start_router(router)
        router.restarting = False

    async def _crash_router(self, router: RouterSlot, duration: float) -> None:
        if router.restarting or router.process is None or router.run is None:
            return
        router.restarting = True
        router.run.sigkill_at = time.monotonic()
        router.process.kill()
        await trio.sleep(min(CRASH_DETECTION_TIME, duration))
        if router.clients:
            router.clients.sending = False
        router.change_log.restart()
        await self._fleet.start_router(router)
        router.restarting = False

    async def _pause_router(self, router: RouterSlot, duration: float) -> None:
        process = router.process
        if router.restarting or process is None or process.poll() is not None:
            return
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(min(MAX_ROUTER_PAUSE, duration))
        process.send_signal(signal.SIGCONT)

    async def _send_burst(self, router: RouterSlot, duration: float) -> None:
        if router.clients:
            router.clients.rate_factor = BURST_FACTOR
            await trio.sleep(duration)
            router.clients.rate_factor = 1.0

    async def _run_bad_clients(self, router: RouterSlot, duration: float) -> None:
        if router.bad_clients:
            await router.bad_clients.run(duration)
