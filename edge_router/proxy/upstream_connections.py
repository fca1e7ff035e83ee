"""A connection to a cache endpoint, with its open attempts and the ids of earlier ones."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from edge_router.decision.messages import EndpointId
from edge_router.proxy.request_table import Attempt
from edge_router.transport.upstream_channel import UpstreamChannel

REMEMBERED_IDS = 256  # of abandoned and of answered attempts each, per connection


class ConnectionOwner(Protocol):
    """Handles the responses and the end of the connections that it uses."""

    def on_response(self, connection: UpstreamConnection, array: list[bytes]) -> None:
        """Handle a response; raises RespError if it is malformed, which ends the connection."""

    def accept_body(self, attempt: Attempt, size: int) -> bool:
        """Return whether there is memory for a response of `size` bytes to an open attempt."""

    def on_connection_lost(self, connection: UpstreamConnection, reason: str) -> None:
        """Handle the end of a connection, or that it could not be established. Called once."""


class UpstreamConnection:
    """A connection to an endpoint and its open attempts; times are ms of the router's clock."""

    def __init__(
        self, endpoint_id: EndpointId, owner: ConnectionOwner, address: tuple[str, int], now: float
    ) -> None:
        self.endpoint_id = endpoint_id
        self.address = address
        self.opened_at = now
        self.attempts: dict[str, Attempt] = {}  # by request id
        self.abandoned_ids: deque[str] = deque(maxlen=REMEMBERED_IDS)
        self.answered_ids: deque[str] = deque(maxlen=REMEMBERED_IDS)
        self.suspect = False  # a sent attempt was cancelled or timed out on it after a long silence
        self.last_response_at = now  # when the last complete response to an open or abandoned attempt arrived
        self.last_used_at = now
        self._owner = owner
        self.channel: UpstreamChannel

    def on_message(self, connection: UpstreamChannel, array: list[bytes]) -> None:
        """Pass a response on to the owner."""
        self._owner.on_response(self, array)

    def wants_item(self, first_item: bytes, size: int) -> bool:
        """Return whether to keep a body of `size` bytes in a response with this request id."""
        attempt = self.attempts.get(first_item.decode("latin-1"))
        return attempt is not None and self._owner.accept_body(attempt, size)

    def on_channel_closed(self, connection: UpstreamChannel, reason: str) -> None:
        """Notify the owner that the connection has ended."""
        self._owner.on_connection_lost(self, reason)

    def accepts(self, request_id: str, now: float, max_streams: int, max_silence: float) -> bool:
        """Return whether one more attempt may be sent on this connection.

        None may be sent if the connection is closed or suspect, or has `max_streams` open attempts. The same
        holds if it has open attempts, and its last response and the start of the oldest of them are both at
        least `max_silence` ms ago, since the endpoint may have failed.

        A request id in use or among the last `REMEMBERED_IDS` abandoned or answered ones is not used again.
        Otherwise a late or second response to the first attempt would be taken for the response to the next
        one; a late refusal of the first would wrongly prove that the next one did not run.
        """
        if (
            self.channel.closed
            or self.suspect
            or request_id in self.attempts
            or request_id in self.abandoned_ids
            or (request_id in self.answered_ids)
        ):
            return False
        if not self.attempts:
            return True
        if len(self.attempts) >= max_streams:
            return False
        oldest = min(attempt.started_at for attempt in self.attempts.values())
        return now - max(oldest, self.last_response_at) < max_silence
