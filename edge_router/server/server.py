"""Builds one edge router from its parts, runs their tasks and handles signals."""

from __future__ import annotations

import signal
import socket
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from edge_router.config.platform_file import RouterConfig
from edge_router.config.reload import Reloader
from edge_router.discovery.change_log_watcher import ChangeLogWatcher
from edge_router.proxy.fastcgi_frontend import FastCgiFrontend
from edge_router.proxy.request_router import RequestRouter
from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import log
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.runtime.timers import Timers
from edge_router.server.client_acceptor import ClientAcceptor
from edge_router.server.config_applier import ConfigApplier
from edge_router.server.graceful_shutdown import GracefulShutdown
from edge_router.server.statistics_reporter import StatisticsReporter
from edge_router.server.supervisor import keep_running
from edge_router.transport.upstream_channel import ChannelOwner
from edge_router.transport.upstream_connection import TrioUpstreamChannel

# Seconds by which a timer may run late, so that timers due close together share one wake-up, which costs as
# much as many callbacks. A new timer that becomes the earliest ends the wait at once.
TIMER_GRANULARITY = 0.005
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class Server:
    """One edge router: its parts and the tasks that run them."""

    def __init__(self, config: RouterConfig, nursery: trio.Nursery) -> None:
        self._config = config
        self._nursery = nursery
        self._clock = Clock()
        self._earlier_timer_event = trio.Event()
        self._timers = Timers(self._clock, trio.current_time, self._on_earlier_timer)
        self._decision_pending = trio.Event()
        budget = MemoryBudget()
        self._router = RequestRouter(
            config.settings,
            config.seed,
            self._clock,
            self._timers,
            budget,
            config.transfer_bandwidth,
            self._connect,
            self._on_decision_pending,
        )
        self._frontend = FastCgiFrontend(config.settings, self._router)
        self._acceptor = ClientAcceptor(
            self._frontend,
            self._clock,
            self._timers,
            budget,
            self._router.dispatcher.pool.connection_count,
            self._spawn,
        )
        self._change_log = ChangeLogWatcher(*config.change_log_address, config.last_sequence, config.seed)
        self._config_applier = ConfigApplier(config, budget, self._router, self._acceptor, self._change_log)
        self._config_applier.apply_limits(config)
        self._reloader = Reloader(self._config_applier.reload)
        self._statistics = StatisticsReporter(self._router, self._acceptor, budget, self._timers)
        self._shutdown = GracefulShutdown(
            config.settings, self._clock, self._frontend, self._router, self._acceptor
        )

    async def run(self, listener: socket.socket) -> None:
        """Serves until SIGTERM or SIGINT, then shuts down gracefully; reloads its configuration on SIGHUP."""
        for event in self._config.initial_events:
            self._router.on_discovery_event(event)
        with trio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
            # Delivers the signals that arrived, and were blocked, since the start of the process.
            signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
            self._start_tasks(listener)
            self._frontend.ready = True
            log(
                "ready",
                name=self._config.name,
                listen=":".join(map(str, self._config.listen_address)),
                endpoints=len(self._router.endpoints),
            )
            async for number in signals:
                self._on_signal(signal.Signals(number), listener)

    def _start_tasks(self, listener: socket.socket) -> None:
        # If a task fails, the log shows its name in the field `task`.
        for name, task in (
            ("timers", self._run_timers),
            ("decide", self._run_decisions),
            ("stats", self._statistics.run),
            ("idle", self._acceptor.run_idle_checks),
            ("check", self._acceptor.run_timeout_checks),
            ("reload", self._reloader.run),
            ("changelog", partial(self._change_log.run, self._router)),
        ):
            self._nursery.start_soon(keep_running, name, task)
        self._nursery.start_soon(self._acceptor.run, listener)

    def _on_signal(self, number: signal.Signals, listener: socket.socket) -> None:
        """Starts a reload or the shutdown; during the shutdown, ignores signals so as not to shorten it."""
        if self._shutdown.started:
            log("signal-ignored", signal=number.name, reason="shutting down")
        elif number == signal.SIGHUP:
            self._reloader.request()
        else:
            self._shutdown.start(number.name)
            self._nursery.start_soon(self._shut_down, listener)

    async def _shut_down(self, listener: socket.socket) -> None:
        """Runs the graceful shutdown, which the log calls `drain`, then cancels all tasks."""
        await keep_running("drain", partial(self._shutdown.run, listener))
        # Blocks the signals, because the signal receiver restores the default handlers before the process
        # exits, and a signal that arrives then would kill the process.
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
        self._nursery.cancel_scope.cancel()

    def _on_earlier_timer(self) -> None:
        self._earlier_timer_event.set()

    async def _run_timers(self) -> None:
        """Runs the callbacks of timers when they are due."""
        while True:
            self._earlier_timer_event = trio.Event()
            now = trio.current_time()
            self._timers.run_due()
            with trio.move_on_at(max(self._timers.next_due(), now + TIMER_GRANULARITY)):
                await self._earlier_timer_event.wait()

    def _on_decision_pending(self) -> None:
        self._decision_pending.set()

    async def _run_decisions(self) -> None:
        """Makes the decisions for waiting requests in batches; other tasks run between two batches."""
        while True:
            if not self._router.run_decisions():
                self._decision_pending = trio.Event()
                await self._decision_pending.wait()
            else:
                await trio.lowlevel.checkpoint()

    def _connect(
        self, owner: ChannelOwner, address: tuple[str, int], connect_timeout: float
    ) -> TrioUpstreamChannel:
        """Starts connecting to an endpoint; `connect_timeout` is in seconds."""
        channel = TrioUpstreamChannel(owner, address, connect_timeout, self._clock.now)
        self._spawn(channel.run)
        return channel

    def _spawn(self, task: Callable[[], Awaitable[None]]) -> None:
        """Starts the task of one connection."""
        self._nursery.start_soon(_run_isolated, task)


async def _run_isolated(task: Callable[[], Awaitable[None]]) -> None:
    """Runs the task of one connection; an error in it is logged and ends no other connection."""
    try:
        await task()
    except Exception as error:
        log("internal-error", location="connection", error=repr(error))


async def serve(config: RouterConfig, listener: socket.socket) -> None:
    """Runs an edge router on a bound, listening and non-blocking socket until a signal stops it."""
    async with trio.open_nursery() as nursery:
        await Server(config, nursery).run(listener)
