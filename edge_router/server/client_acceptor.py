"""Accepts client connections and keeps a table of them."""

from __future__ import annotations

import itertools
import socket
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from edge_router.proxy.fastcgi_frontend import FastCgiFrontend
from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import log_rate_limited
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.runtime.system_errors import RESOURCE_EXHAUSTED, is_local_failure
from edge_router.runtime.timers import Timers
from edge_router.server.client_eviction import ClientEvictor
from edge_router.server.supervisor import keep_running
from edge_router.transport.client_connection import ClientConnection, busy_turns
from edge_router.transport.close_reason import CloseReason
from edge_router.transport.receive_age import age_at_accept

IDLE_TIMEOUT = 60_000.0  # ms after which a client connection without open requests is closed
IDLE_CHECK_INTERVAL = 5.0  # seconds
TIMEOUT_CHECK_INTERVAL = 0.25  # seconds between two checks of requests that clients send slowly
# Seconds. A check that runs later than this is skipped: the delay is this process's fault, not the clients'.
MAX_TIMEOUT_CHECK_LAG = 0.5
FULL_TABLE_DELAY = 0.01  # seconds until the next search, after one that neither selected nor closed a client
EVICTION_DELAY = 0.001  # seconds until the next search, after one that selected or closed clients
ACCEPT_BATCH = 16  # connections accepted until other tasks have their turn
EXHAUSTED_DELAY = 0.05  # seconds before the next accept(2) when descriptors or memory are exhausted
FINAL_RETRY_DELAY = 0.01  # seconds before the next accept(2) after a local shortage at shutdown
# Initial value and lower bound of `max_clients`; half of the smallest number of sockets that is configurable.
MIN_CLIENTS = 8
EXPECTED_CLOSE_REASONS = frozenset(
    (
        CloseReason.CLIENT_CLOSED,
        CloseReason.CLOSED_LOCALLY,
        CloseReason.SHUTDOWN,
        CloseReason.EVICTED,
        CloseReason.IDLE_TIMEOUT,
    )
)

Spawn = Callable[[Callable[[], Awaitable[None]]], None]


class ClientAcceptor:
    """The accept loop and the table of client connections."""

    def __init__(
        self,
        frontend: FastCgiFrontend,
        clock: Clock,
        timers: Timers,
        budget: MemoryBudget,
        upstream_connection_count: Callable[[], int],
        spawn: Spawn,
    ) -> None:
        """Creates an empty table.

        `upstream_connection_count` is called for the log; `spawn` starts the task of one connection, and must
        keep its errors from ending other tasks.
        """
        self.clients: set[ClientConnection] = set()
        self.max_clients = MIN_CLIENTS
        self._frontend = frontend
        self._clock = clock
        self._timers = timers
        self._budget = budget
        self._upstream_connection_count = upstream_connection_count
        self._spawn = spawn
        self._evictor = ClientEvictor(self.clients)
        self._shared_turns = busy_turns()
        self._scope = trio.CancelScope()

    async def run(self, listener: socket.socket) -> None:
        """Accepts connections until `stop` is called."""
        with self._scope:
            await keep_running("accept", partial(self._accept_loop, listener))

    def stop(self) -> None:
        """Ends the accept loop; accepted connections stay open."""
        self._scope.cancel()

    async def accept_remaining(self, listener: socket.socket, end: float) -> None:
        """Accepts all pending connections, even if that exceeds `max_clients`, until `end` at the latest.

        `end` is in seconds of trio's clock; clients may connect faster than they can be accepted. A failed
        accept(2), caused for example by an aborted connection or a brief lack of descriptors, is retried
        until then, because closing the listener would reset the other pending connections. Those that are
        pending at `end` are left so.
        """
        for count in itertools.count(1):
            try:
                self._accept_one(listener)
                if count % ACCEPT_BATCH == 0:
                    await trio.lowlevel.checkpoint()
                    if trio.current_time() >= end:
                        return
            except BlockingIOError:
                return
            except OSError as error:
                log_rate_limited("accept-failed", reason=error.strerror, clients=len(self.clients))
                if trio.current_time() >= end:
                    return
                await trio.sleep(FINAL_RETRY_DELAY if is_local_failure(error) else 0)

    def close_all_idle(self, reason: CloseReason) -> None:
        """Half-closes every client without open requests or unread input."""
        for client in list(self.clients):
            client.close_if_idle(reason)

    async def run_idle_checks(self) -> None:
        """Half-closes clients that have been idle for `IDLE_TIMEOUT`."""
        while True:
            await trio.sleep(IDLE_CHECK_INTERVAL)
            used_before = self._clock.now() - IDLE_TIMEOUT
            for client in list(self.clients):
                if client.is_idle() and client.last_used <= used_before:
                    client.close_if_idle(CloseReason.IDLE_TIMEOUT)

    async def run_timeout_checks(self) -> None:
        """Checks the time limits on requests that clients are still sending."""
        while True:
            due = trio.current_time() + TIMEOUT_CHECK_INTERVAL
            await trio.sleep_until(due)
            if trio.current_time() < due + MAX_TIMEOUT_CHECK_LAG:
                for client in list(self.clients):
                    client.check_timeouts(self._clock.now())

    async def _accept_loop(self, listener: socket.socket) -> None:
        while True:
            if len(self.clients) >= self.max_clients:
                evicted = self._evictor.evict(self._clock.now())
                await trio.sleep(EVICTION_DELAY if evicted else FULL_TABLE_DELAY)
                continue
            try:
                await trio.lowlevel.wait_readable(listener)
                for _ in range(min(ACCEPT_BATCH, self.max_clients - len(self.clients))):
                    self._accept_one(listener)
            except BlockingIOError:
                continue
            except OSError as error:
                await self._on_accept_failed(error)

    async def _on_accept_failed(self, error: OSError) -> None:
        """Logs the failure; if descriptors or memory are exhausted, evicts idle clients and waits."""
        exhausted = error.errno in RESOURCE_EXHAUSTED  # the event is logged for a lack of memory, too
        log_rate_limited(
            "descriptors-exhausted" if exhausted else "accept-failed",
            reason=error.strerror,
            clients=len(self.clients),
            upstream_connections=self._upstream_connection_count(),
        )
        if exhausted:
            self._evictor.evict(self._clock.now())
            await trio.sleep(EXHAUSTED_DELAY)

    def _accept_one(self, listener: socket.socket) -> None:
        """Accepts one connection and adds it to the table immediately, before its task first runs.

        Raises BlockingIOError if none is pending, and OSError if accept(2) fails.
        """
        sock, _ = listener.accept()
        sock.setblocking(False)
        client = ClientConnection(
            sock,
            self._frontend,
            self._clock.now,
            self._budget,
            self._timers.stall_duration,
            age_at_accept(sock),
            self._shared_turns,
        )
        self.clients.add(client)
        self._spawn(partial(self._serve, sock, client))

    async def _serve(self, sock: socket.socket, client: ClientConnection) -> None:
        """Serves one client connection until it ends."""
        with sock:
            try:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                reason = await client.run()
                if reason not in EXPECTED_CLOSE_REASONS:
                    log_rate_limited("client-connection-error", reason=reason)
            finally:
                self.clients.discard(client)
