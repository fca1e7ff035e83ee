"""Evicts client connections to make room for new ones while the table of clients is full.

Source: the operators' page `PROTOCOL-robinbeam.md`, "Clients to edge routers": a connection without an open
request may be closed, and a request that crosses the close is sent once more.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Collection, Iterable

from edge_router.transport.client_connection import ClientConnection
from edge_router.transport.close_reason import CloseReason

MIN_SILENT_TIME = 100.0  # ms for which a new client may send nothing before it can be evicted
# Milliseconds after the last byte received or written before an idle client may be evicted, as its next
# request may be in flight; also the time between the half-close of a client and its forced close.
MIN_IDLE_TIME = 60.0
MIN_INCOMPLETE_TIME = 500.0  # ms for which a client may send one request before it can be evicted
# Fraction of the clients evicted at once: each search visits every client, and connections that end need
# memory for their answers beside that of those which take their place.
EVICTION_BATCH = 0.125


class ClientEvictor:
    """Selects the clients of a full table that have the least to lose."""

    def __init__(self, clients: Collection[ClientConnection]) -> None:
        """`clients` is the table, of which the evictor ends connections but removes none."""
        self._clients = clients

    def evict(self, now: float) -> bool:
        """Ends some connections, or begins to; returns whether there were any to end. `now` is in ms.

        Clients that have never sent anything are closed at once, the longest silent ones first. All others
        see an orderly end: a half-close, and a forced close `MIN_IDLE_TIME` later, before which no further
        ones are selected. First come the longest idle ones; where there are none, those that have not
        completed a request for `MIN_INCOMPLETE_TIME`, which get an error.
        """
        if self._close_silent(now):
            return True
        closing = [client for client in self._clients if client.is_closing() and client.is_fully_answered()]
        if closing:
            return self._close_expired(closing, now)
        return self._half_close_idle(now) or self._reject_incomplete(now)

    def _longest_unused(self, clients: Iterable[ClientConnection]) -> list[ClientConnection]:
        batch_size = math.ceil(len(self._clients) * EVICTION_BATCH)
        return heapq.nsmallest(batch_size, clients, key=lambda client: client.last_used)

    def _close_silent(self, now: float) -> bool:
        """Closes clients that connected at least `MIN_SILENT_TIME` ago and have sent nothing since."""
        used_before = now - MIN_SILENT_TIME
        silent = [client for client in self._clients if client.silent and client.last_used <= used_before]
        return any([client.close_if_silent() for client in self._longest_unused(silent)])

    @staticmethod
    def _close_expired(closing: list[ClientConnection], now: float) -> bool:
        """Closes the half-closed clients whose last traffic is at least `MIN_IDLE_TIME` ago."""
        expired = [client for client in closing if client.last_used <= now - MIN_IDLE_TIME]
        for client in expired:
            client.close()
        return bool(expired)

    def _half_close_idle(self, now: float) -> bool:
        """Half-closes clients that have had no open request for at least `MIN_IDLE_TIME`."""
        used_before = now - MIN_IDLE_TIME
        idle = [client for client in self._clients if client.is_idle() and client.last_used <= used_before]
        for client in self._longest_unused(idle):
            client.close_if_idle(CloseReason.EVICTED)
        return bool(idle)

    def _reject_incomplete(self, now: float) -> bool:
        """Rejects the requests, and ends the connections, of clients that complete none of them."""
        begun_before = now - MIN_INCOMPLETE_TIME
        incomplete = [client for client in self._clients if client.is_incomplete_since(begun_before)]
        for client in self._longest_unused(incomplete):
            client.reject_incomplete(CloseReason.EVICTED)
        return bool(incomplete)
