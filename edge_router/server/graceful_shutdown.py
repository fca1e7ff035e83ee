"""Graceful shutdown: completes or rejects all requests before the platform follows SIGTERM with SIGKILL."""

from __future__ import annotations

import select
import socket

import trio

from edge_router.decision.settings import Settings
from edge_router.proxy.fastcgi_frontend import FastCgiFrontend
from edge_router.proxy.request_router import RequestRouter
from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import log
from edge_router.server.client_acceptor import ClientAcceptor
from edge_router.transport.close_reason import CloseReason

ACCEPT_GRACE_PERIOD = 0.8  # seconds after SIGTERM until the listener is closed and idle clients half-closed
# The platform sends SIGKILL min(longest deadline of any class, `MAX_COUNTED_DEADLINE`) + `KILL_DELAY` after
# SIGTERM.
KILL_DELAY = 0.7  # seconds
MAX_COUNTED_DEADLINE = 3.0  # seconds
KILL_MARGIN = 0.5  # seconds before SIGKILL by which all requests are answered
# Seconds after the time limit during which a failed accept(2) of a pending connection is retried.
FINAL_ACCEPT_TIME = 0.1
FINAL_WRITE_TIME = 0.3  # seconds to send the last responses, after all requests are answered
POLL_INTERVAL = 0.01  # seconds


def shutdown_time_limit(settings: Settings) -> float:
    """Returns the seconds after SIGTERM within which all requests are answered."""
    longest = max(request_class.deadline for request_class in settings.classes) / 1000.0
    return min(longest, MAX_COUNTED_DEADLINE) + KILL_DELAY - KILL_MARGIN


class GracefulShutdown:
    """Runs the steps from SIGTERM to the point where the process may exit."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        frontend: FastCgiFrontend,
        router: RequestRouter,
        acceptor: ClientAcceptor,
    ) -> None:
        self._time_limit = shutdown_time_limit(settings)
        self._clock = clock
        self._frontend = frontend
        self._router = router
        self._acceptor = acceptor
        self._end: float | None = None  # time by which all requests are answered, in seconds of trio's clock

    @property
    def started(self) -> bool:
        """Whether the shutdown has begun."""
        return self._end is not None

    def start(self, signal_name: str) -> None:
        """Starts the time limit; the caller then calls `run`."""
        log(
            "shutdown-started",
            signal=signal_name,
            open=len(self._router.requests),
            within_s=self._time_limit,
        )
        self._end = trio.current_time() + self._time_limit

    async def run(self, listener: socket.socket) -> None:
        """Accepts clients for the grace period, closes the listener, and waits until all clients are gone.

        Clients are half-closed once they are idle; until then their requests are still accepted. At the time
        limit, answers the requests that are still open and waits at most `FINAL_WRITE_TIME` for the last
        responses. If `run` raises, it may be called again, and the limit still counts from `start`; once the
        listener is closed, a call before the limit raises.
        """
        assert self._end is not None, "start() comes first"
        end = self._end
        self._frontend.ready = False
        self._router.admission.latest_deadline = self._clock.now() + (end - trio.current_time()) * 1000.0
        await trio.sleep_until(end - self._time_limit + min(ACCEPT_GRACE_PERIOD, self._time_limit))
        await self._close_listener(listener, end)
        while trio.current_time() < end and not self._try_complete():
            await trio.sleep(POLL_INTERVAL)
        self._router.expire_all()
        with trio.move_on_after(FINAL_WRITE_TIME):
            while not self._try_complete():
                await trio.sleep(POLL_INTERVAL)
        log("shutdown-complete", open=len(self._router.requests))

    async def _close_listener(self, listener: socket.socket, end: float) -> None:
        """Stops the accept loop, accepts the connections that are still pending, and closes the listener.

        Waits first for the accept loop to take pending connections, until `end` (seconds of trio's clock) at
        the latest, because closing the listener resets those that are pending.
        """
        while trio.current_time() < end and _has_pending_connection(listener):
            await trio.sleep(POLL_INTERVAL)
        self._acceptor.stop()
        # Lets the accept loop see its cancellation, as it must not wait for a listener that is closed.
        await trio.lowlevel.checkpoint()
        await self._acceptor.accept_remaining(listener, end + FINAL_ACCEPT_TIME)
        listener.close()

    def _try_complete(self) -> bool:
        """Half-closes idle clients; returns whether no client and no unanswered request remains."""
        self._acceptor.close_all_idle(CloseReason.SHUTDOWN)
        return not self._acceptor.clients and all(request.answered for request in self._router.requests)


def _has_pending_connection(listener: socket.socket) -> bool:
    """Returns whether a connection waits to be accepted."""
    poll = select.poll()
    poll.register(listener, select.POLLIN)
    return bool(poll.poll(0))
