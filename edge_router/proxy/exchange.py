"""What passes between the stages, whatever front a request came by."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


class ResponseStatus(Enum):
    """What an answer says."""

    SERVED = "served"
    NOT_MODIFIED = "not_modified"  # the copy that the client holds is the one
    REJECTED = "rejected"  # trying again is harmless
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """The one final answer to a request."""

    status: ResponseStatus
    body: bytes = b""
    etag: str = ""
    retry_after: float = 0.0  # on a refusal, for how long the client should stay away


def no_further_input() -> None:
    """The client sends nothing more."""


@dataclass(slots=True, eq=False)
class IncomingRequest:
    """A request, checked; the texts pass on to caches unchanged."""

    request_id: str
    class_name: str
    object_id: str
    segment_text: str
    class_index: int
    object_key: int
    segment: int
    purge_group: int
    size_kb: float
    timeout: float
    client_etag: str  # tag of the copy that the client holds; empty if none
    body: bytes
    respond: Callable[[FinalResponse], None]
    time_unread: float = 0.0  # ms for which it may have waited to be read
    poll_client: Callable[[], None] = (
        no_further_input  # takes in what the client has sent since, or that it has left
    )
    idempotency_key: str = ""  # by which caches know a repeat; empty if the client named none


class BadRequestError(Exception):
    """A request that can't be taken; `status` is the nearest of HTTP's."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status
