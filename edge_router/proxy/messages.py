"""Messages between the parts of the proxy: requests, final responses, and the error for an invalid request.

They do not depend on the protocol of the client. The size limit of an object is stated on the operators' page
`PROTOCOL-robinbeam.md`, "Clients to edge routers".
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from typing import Protocol

MAX_OBJECT_BYTES = 240_000  # length of the longest object

# Entity tags that can be forwarded: a comma or a space would end the field in the list that a cache receives.
ETAG_PATTERN = re.compile(r"[0-9A-Za-z._-]{1,64}")


class ResponseStatus(Enum):
    """Result of a request as the client sees it."""

    SERVED = "served"
    NOT_MODIFIED = "not_modified"  # the client's own copy is current
    REJECTED = "rejected"  # a retry is safe: no attempt can have run, or the class allows a repeat
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """The one final response to a request."""

    status: ResponseStatus
    body: bytes = b""
    etag: str | None = None
    retry_after: float = 0.0  # ms for which a rejected client should wait


class ClientInput(Protocol):
    """What the client of a request has sent, and may withdraw the request with."""

    def poll_input(self) -> bool:
        """Processes input that has arrived, within a bound; returns whether that was all of it."""

    def call_when_input_processed(self, callback: Callable[[], None]) -> None:
        """Calls `callback` once the input that was left by a poll is processed.

        It is not called if the connection ends before, as its requests end then.
        """

    def cancel_input_callback(self, callback: Callable[[], None]) -> None:
        """Drops a callback, which may have been called already."""


class NoClientInput:
    """The input of a request without a client connection."""

    def poll_input(self) -> bool:
        """Returns True: there is nothing to process."""
        return True

    def call_when_input_processed(self, callback: Callable[[], None]) -> None:
        """Calls `callback` at once."""
        callback()

    def cancel_input_callback(self, callback: Callable[[], None]) -> None:
        """Does nothing: no callback waits."""


@dataclass(slots=True, eq=False)
class IncomingRequest:
    """A validated request. Its text fields are forwarded to caches unchanged."""

    request_id: str
    class_name: str
    object_id: str
    segment_text: str
    class_index: int
    object_key: int
    segment: int
    purge_group: int
    size_kb: float  # as the client states it; admission.py converts it to bytes on the socket
    timeout: float  # ms that the client waits, counted from when it sent the request
    client_etag: str | None  # entity tag of the copy that the client has
    body: bytes
    respond: Callable[[FinalResponse], None]
    time_unread: float = 0.0  # ms for which the request may have waited to be read
    client_input: ClientInput = field(default_factory=NoClientInput)
    idempotency_key: str | None = None


class BadRequestError(Exception):
    """An invalid request, with the HTTP status of its response."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = HTTPStatus(status)
