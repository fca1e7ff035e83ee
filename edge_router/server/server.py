"""From the start to the end of the process."""

from __future__ import annotations

import gc
import heapq
import select
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from edge_router.config.platform_file import ConfigError, RouterConfig
from edge_router.config.reload import Reloader
from edge_router.discovery.change_log_watcher import ChangeLogWatcher
from edge_router.proxy.dispatch import connection_limit
from edge_router.proxy.fastcgi_frontend import FastCgiFrontend
from edge_router.proxy.request_router import RequestRouter
from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import log, log_rate_limited
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.runtime.system_errors import RESOURCE_EXHAUSTED, is_local_shortage
from edge_router.runtime.timers import Timers
from edge_router.server.memory_gauge import MemoryGauge
from edge_router.server.startup import load_config, open_listener, patiently
from edge_router.server.supervisor import keep_running
from edge_router.transport.client_connection import ClientConnection as Client
from edge_router.transport.receive_age import age_at_accept
from edge_router.transport.upstream_channel import ChannelOwner
from edge_router.transport.upstream_connection import TrioUpstreamChannel

GRID = 0.005  # seconds: alarms fall due in steps, for each waking costs as much as many calls
GRACE = 0.8  # seconds after SIGTERM for which new connections and requests still come
KILL_AFTER = 0.7  # SIGKILL comes so many seconds after the longest deadline, counted from SIGTERM,
LONGEST_COUNTED = 3.0  # with a longer one counted as so many seconds
KILL_MARGIN = 0.5  # so long before SIGKILL all is answered
LAST_ACCEPTS = 0.1  # seconds beyond that for connections that could not be accepted for a moment
LAST_WRITE = 0.3  # seconds left then to write the answers out
MEMORY_SHARE = 0.25  # part of the memory limit for what is held of requests and answers; they are copied
STATS_EVERY = 5.0
CLIENT_IDLE = 60_000.0  # ms after which a client connection with nothing open is closed
CHECK_EVERY = 0.25  # seconds between two looks at what clients are sending
LAG = 0.5  # seconds by which a look may come late before it says more of us than of the clients
MUTE_FOR = 100.0  # ms for which a new client may say nothing while others wait for its place
IDLE_FOR = 60.0  # ms for which an idle client keeps its place while others wait: it may be asking just now
PLACES_PART = 0.125  # part of all places that are made at once: looking through all clients costs
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
USUAL_ENDS = ("closed by the client", "closed by us", "stopping", "room for others", "idle for long")


class Server:
    """One edge router."""

    def __init__(self, config: RouterConfig, nursery: trio.Nursery) -> None:
        self._config = config
        self._nursery = nursery
        self._clock = Clock()
        self._alarm_set = trio.Event()  # an earlier alarm than the one that is waited for
        self._timers = Timers(self._clock, trio.current_time, self._wake_timers)
        self._came = trio.Event()  # a request waits to be decided
        self._clients: set[Client] = set()
        self._accepting = trio.CancelScope()
        self._budget = MemoryBudget()
        self._route = RequestRouter(
            config.settings,
            config.seed,
            self._clock,
            self._timers,
            self._budget,
            config.transfer_bandwidth,
            self._connect,
            self._wake_decide,
        )
        self._limit(config)
        self._front = FastCgiFrontend(config.settings, self._route)
        self._changelog = ChangeLogWatcher(*config.change_log_address, config.last_sequence, config.seed)
        self._memory = MemoryGauge()
        self._reloader = Reloader(self._take_over)
        self._stopping = False
        self._stop_by = 0.0  # once it stops: the moment of trio's clock by which all is answered
        longest = max(cls.deadline for cls in config.settings.classes) / 1000.0
        self._last_answer = min(longest, LONGEST_COUNTED) + KILL_AFTER - KILL_MARGIN  # seconds after SIGTERM

    def _connect(self, owner: ChannelOwner, address: tuple[str, int], patience: float) -> TrioUpstreamChannel:
        connection = TrioUpstreamChannel(owner, address, patience, self._clock.now)
        self._spawn(connection.run)
        return connection

    def _wake_timers(self) -> None:
        self._alarm_set.set()

    async def _run_timers(self) -> None:
        """Makes the calls of the alarms as they fall due."""
        while True:
            self._alarm_set = trio.Event()
            now = trio.current_time()
            self._timers.run_due()
            with trio.move_on_at(max(self._timers.next_due(), now + GRID)):
                await self._alarm_set.wait()

    def _wake_decide(self) -> None:
        self._came.set()

    async def _decide(self) -> None:
        """Has requests decided, some at a time; in between, sockets are read and ends are booked."""
        while True:
            if not self._route.run_decisions():
                self._came = trio.Event()
                await self._came.wait()
            else:
                await trio.lowlevel.checkpoint()

    def _spawn(self, task: Callable[[], Awaitable[None]]) -> None:
        self._nursery.start_soon(self._apart, task)

    @staticmethod
    async def _apart(task: Callable[[], Awaitable[None]]) -> None:
        """Guards against what goes wrong with one connection ending the others."""
        try:
            await task()
        except Exception as error:
            log("internal-error", location="connection", error=repr(error))

    async def run(self, listener: socket.socket) -> None:
        """Serves until SIGTERM, and then finishes what was taken; reads its configuration anew on SIGHUP."""
        for event in self._config.initial_events:
            self._route.on_discovery_event(event)
        with trio.open_signal_receiver(*SIGNALS) as signals:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)  # those that came during the start come now
            for name, task in (
                ("timers", self._run_timers),
                ("decide", self._decide),
                ("stats", self._stats),
                ("check", self._check),
                ("reload", self._reloader.run),
                ("changelog", partial(self._changelog.run, self._route)),
            ):
                self._nursery.start_soon(keep_running, name, task)
            self._nursery.start_soon(self._accept, listener)
            self._front.ready = True
            log(
                "ready",
                name=self._config.name,
                listen=":".join(map(str, self._config.listen_address)),
                endpoints=len(self._route.endpoints),
            )
            async for number in signals:
                self._signalled(signal.Signals(number), listener)

    def _signalled(self, number: signal.Signals, listener: socket.socket) -> None:
        """Acts on a signal. Guards against one that comes during the stop and would cut it short."""
        if self._stopping:
            log("signal-ignored", signal=number.name, reason="stopping")
        elif number == signal.SIGHUP:
            self._reloader.request()
        else:
            log(
                "shutdown-started",
                signal=number.name,
                open=len(self._route.requests),
                within_s=self._last_answer,
            )
            self._stopping = True
            self._stop_by = trio.current_time() + self._last_answer
            self._nursery.start_soon(self._stop, listener)

    async def _stop(self, listener: socket.socket) -> None:
        """Finishes what was taken, then ends the router."""
        await keep_running("drain", partial(self._drain, listener))
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # their default effect would be back on the way out
        self._nursery.cancel_scope.cancel()

    def _take_over(self, config: RouterConfig) -> None:
        """Takes over from a new configuration what can change while requests go on.

        The whole file was checked before: guards against half a new configuration, against ending over a bad
        one, and against another router's, whose change log tells of caches that are not ours.
        """
        ours, theirs = self._config.identity(), config.identity()
        if foreign := [part for part in ours if ours[part] != theirs[part]]:
            log("configuration-rejected", reason=f"the file is another router's, by its {', '.join(foreign)}")
            return
        fixed = [
            name for name in ("pace", "settings") if getattr(config, name) != getattr(self._config, name)
        ]
        log(
            "configuration-reloaded",
            change_log=":".join(map(str, config.change_log_address)),
            max_sockets=config.max_sockets,
            memory_mb=config.memory_mb,
            cores=config.cpu_cores,
            waits_for_restart=",".join(fixed) or "nothing",
        )
        self._limit(config)
        self._changelog.set_address(*config.change_log_address)

    def _limit(self, config: RouterConfig) -> None:
        """Shares the limits out."""
        self._most_clients = max(8, config.max_sockets // 2)
        self._budget.limit = config.memory_mb * MEMORY_SHARE * 1e6
        self._route.dispatcher.max_connections = connection_limit(config.max_sockets)
        self._route.admission.cpu_credit.set_share(config.cpu_cores)

    async def _drain(self, listener: socket.socket) -> None:
        """Goes on accepting for the grace, finishes what was taken, and ends well before SIGKILL."""
        end = self._stop_by
        self._front.ready = False
        self._route.admission.latest_deadline = self._clock.now() + (end - trio.current_time()) * 1000.0
        await trio.sleep_until(end - self._last_answer + min(GRACE, self._last_answer))
        # Guards against requests that are lost with their connections, as those wait to be accepted.
        while trio.current_time() < end and _waits_to_be_accepted(listener):
            await trio.sleep(0.01)
        self._accepting.cancel()  # the task is ended before the socket is, which it may be about to wait for
        await trio.lowlevel.checkpoint()
        await self._take_last(listener, end)
        listener.close()
        while trio.current_time() < end and not self._over():
            await trio.sleep(0.01)
        self._route.expire_all()
        with trio.move_on_after(LAST_WRITE):
            while not self._over():
                await trio.sleep(0.01)
        log("shutdown-complete", open=len(self._route.requests))

    async def _take_last(self, listener: socket.socket, end: float) -> None:
        """Accepts what came up since, until there is none, beyond the places too.

        Guards against one connection that was aborted, or a lack of a moment, resetting all the others.
        """
        end += LAST_ACCEPTS
        while True:
            try:
                self._take(listener)
            except BlockingIOError:
                return
            except OSError as error:
                log_rate_limited("accept-failed", reason=error.strerror, clients=len(self._clients))
                if trio.current_time() >= end:
                    return
                await trio.sleep(0.01 if is_local_shortage(error) else 0)

    def _over(self) -> bool:
        """Whether nobody is left; clients that rest are told to go, with a half-close."""
        for client in list(self._clients):
            client.close_if_idle("stopping")
        return not self._clients and all(request.answered for request in self._route.requests)

    async def _stats(self) -> None:
        while True:
            before, due = time.process_time(), trio.current_time() + STATS_EVERY
            await trio.sleep(STATS_EVERY)
            late = (trio.current_time() - due) * 1000.0
            self._route.accounting.log_statistics(
                requests=len(self._route.requests),
                clients=len(self._clients),
                upstream_connections=self._route.dispatcher.connection_count(),
                loop_lag_ms=late,
                reserved_kb=self._budget.used / 1e3,
                resident_mb=self._memory.resident_mb(),
                gc_collections=gc.get_stats()[2]["collections"],
                cpu_ms=(time.process_time() - before) * 1000.0,
                **self._route.statistics(),
            )
            limit = self._clock.now() - CLIENT_IDLE
            for client in list(self._clients):
                if client.is_idle() and client.last_used <= limit:
                    client.close_if_idle("idle for long")

    async def _check(self) -> None:
        """Looks at what clients are sending, now and then."""
        while True:
            due = trio.current_time() + CHECK_EVERY
            await trio.sleep_until(due)
            if trio.current_time() < due + LAG:
                for client in list(self._clients):
                    client.check_timeouts(self._clock.now())

    def _make_room(self) -> bool:
        """Ends clients that say nothing, else those idle for longest; says whether there were any.

        Guards against connections that are merely held keeping out those that ask, as when each client asks
        once and stays; and, by a half-close first, against a reset of one that is asking just now.
        """
        now = self._clock.now()
        going = [client for client in self._clients if client.is_closing() and client.is_quiet()]
        closed = [client for client in going if client.last_used <= now - IDLE_FOR]
        for client in closed:
            client.close()  # it has seen the half-close by now
        if going:
            return bool(closed)
        mute = [client for client in self._clients if client.silent and client.last_used <= now - MUTE_FOR]
        idle = mute or [
            client for client in self._clients if client.is_idle() and client.last_used <= now - IDLE_FOR
        ]
        places = round(self._most_clients * PLACES_PART)
        for client in heapq.nsmallest(places, idle, key=lambda client: client.last_used):
            client.close_if_idle("room for others")
        return bool(idle)

    async def _accept(self, listener: socket.socket) -> None:
        with self._accepting:
            await keep_running("accept", partial(self._accept_all, listener))

    async def _accept_all(self, listener: socket.socket) -> None:
        while True:
            if len(self._clients) >= self._most_clients:
                await trio.sleep(0.001 if self._make_room() else 0.01)
                continue
            try:
                await trio.lowlevel.wait_readable(listener)
                self._take(listener)
            except BlockingIOError:
                continue
            except OSError as error:
                # Guards against running out of descriptors: wait, and let idle connections go.
                lacking = error.errno in RESOURCE_EXHAUSTED
                log_rate_limited(
                    "descriptors-exhausted" if lacking else "accept-failed",
                    reason=error.strerror,
                    clients=len(self._clients),
                    upstream_connections=self._route.dispatcher.connection_count(),
                )
                if lacking:
                    self._make_room()
                    await trio.sleep(0.05)

    def _take(self, listener: socket.socket) -> None:
        """Accepts a connection; it counts from now on, not from when its task first runs."""
        sock, _ = listener.accept()
        sock.setblocking(False)
        client = Client(
            sock,
            self._front,
            self._clock.now,
            self._budget,
            self._timers.stall_duration,
            age_at_accept(sock),
        )
        self._clients.add(client)
        self._spawn(partial(self._serve, sock, client))

    async def _serve(self, sock: socket.socket, client: Client) -> None:
        """One client connection."""
        with sock:
            try:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                why = await client.run()
                if why not in USUAL_ENDS:
                    log_rate_limited("client-connection-error", reason=why)
            finally:
                self._clients.discard(client)


async def serve(config: RouterConfig, listener: socket.socket) -> None:
    """Runs an edge router on a socket that is bound already."""
    async with trio.open_nursery() as nursery:
        await Server(config, nursery).run(listener)


def _waits_to_be_accepted(listener: socket.socket) -> bool:
    """Whether a connection has come up that was not accepted."""
    poll = select.poll()
    poll.register(listener, select.POLLIN)
    return bool(poll.poll(0))


def _calm_collector() -> None:
    """What is there at the start stays, and requests leave few cycles: look for them seldom."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)


async def _main(config: RouterConfig, listener: socket.socket) -> None:
    with listener:
        _calm_collector()
        await serve(config, listener)


def main() -> int:
    """Entry point of the edge router; returns the exit status."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # guards against their default effect until all is up
    try:
        config = load_config()
    except ConfigError as error:
        print(f"edge-router: {error}", file=sys.stderr)
        return 2
    try:
        listener = open_listener(config.listen_address)
    except OSError as error:
        host, port = config.listen_address
        print(f"edge-router: can't listen on {host}:{port}: {error.strerror}", file=sys.stderr)
        return 2
    patiently(_probe_event_loop)
    trio.run(_main, config, listener)
    return 0


def _probe_event_loop() -> None:
    """Raises OSError if there is no descriptor for the event loop, which is about to need some."""
    select.epoll().close()
    for sock in socket.socketpair():
        sock.close()
