"""Carries out the troubles of a scenario on a running fleet."""

from __future__ import annotations

import signal
import time
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from edge_router.fault_injection.discovery import ChangeLog
from edge_router.fault_injection.fleet import CacheSeat, Fleet, RouterSeat, free_port
from edge_router.fault_injection.protocol import NodeRecord
from edge_router.fault_injection.scenario import Step, Trouble

FRONT_NOTICES = 1.0  # seconds until the front hands nothing more to a router that was killed
CACHE_TROUBLES = (Trouble.HANG, Trouble.ERRORS, Trouble.SPOILT, Trouble.FORGET)
PROXY_TROUBLES = (Trouble.RESET, Trouble.PARTITION, Trouble.SLOW, Trouble.LATE)


class Troubles:
    """One method for each trouble."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    async def play(self, step: Step) -> None:
        """Carries one step out; returns when its trouble is over."""
        cache = self._fleet.caches[step.target % len(self._fleet.caches)]
        router = self._fleet.routers[step.target % len(self._fleet.routers)]
        until = time.monotonic() + step.length
        if step.trouble in CACHE_TROUBLES:
            await self._fleet.order(cache.process, trouble=step.trouble, until=until)
        elif step.trouble in PROXY_TROUBLES:
            await self._fleet.order(
                self._fleet.proxy, port=cache.proxy_port, trouble=step.trouble, until=until
            )
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
                Trouble.BAD_CLIENTS: partial(self._bad_clients, router),
            }
            await plays[step.trouble](step)

    async def _list(self, record: NodeRecord) -> None:
        """Tells all routers of a change, each in its own time."""

        async def one(log: ChangeLog) -> None:
            await trio.sleep(self._fleet.random.uniform(0.04, 0.4))
            log.change(record)

        async with trio.open_nursery() as tellers:
            for seat in self._fleet.routers:
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
        await self._fleet.start_cache(cache)
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
        for seat in self._fleet.routers:
            seat.log.purge(item, group, moment)
        await trio.sleep(min(4.0, step.length))
        for cache in self._fleet.caches:
            await self._fleet.order(cache.process, purge=[item], before=moment)

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
            await self._fleet.listen_log(seat, port)
            seat.log.move()
            self._fleet.write_config(seat)
            if seat.process.poll() is None:
                seat.process.send_signal(signal.SIGHUP)
            await trio.sleep(self._fleet.random.choice((0.0, 0.005, 0.1, 0.6)))

    async def _restart(self, seat: RouterSeat, step: Step) -> None:
        if seat.busy:
            return
        seat.busy = True
        await self._fleet.terminate(seat)
        seat.log.restart()
        await self._fleet.start_router(seat)
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
        await self._fleet.start_router(seat)
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
