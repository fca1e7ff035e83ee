"""What the observer of the properties has seen of requests, attempts, copies and purges."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class RequestState(StrEnum):
    """Where a request is, as its client sees it."""

    OPEN = "open"
    ANSWERED = "answered"
    CLIENT_DISCONNECTED = "left"  # its client has stopped waiting
    OVERDUE = "lost"  # it was reported as overdue


class ResponseKind(StrEnum):
    """The kind of answer that a client has received."""

    SERVED = "served"
    NOT_MODIFIED = "unchanged"  # the client's own copy is still good
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class ObservedAttempt:
    """An attempt whose first byte was seen on a socket."""

    number: int
    endpoint_id: int
    sent_at: float  # Unix milliseconds
    known_purges: int = 0  # how many purges the router had been notified of before
    not_run: bool = False  # the cache itself said that it did not run the request
    ended: bool = False


@dataclass(frozen=True, slots=True)
class ObservedCopy:
    """The copy in an answer that has reached the router. Times are Unix milliseconds."""

    created_at: float
    sent_at: float  # the first byte of the attempt
    known_purges: int


@dataclass(frozen=True, slots=True)
class ObservedPurge:
    """A purge that the router was notified of. Times are Unix milliseconds."""

    notified_at: float
    purged_at: float
    group: int
    object_key: int  # 0 for a purge of the whole group


@dataclass(slots=True)
class ObservedRequest:
    """A request as its client sees it."""

    class_name: str
    deadline: float  # Unix milliseconds by which it must be answered
    state: RequestState = RequestState.OPEN
    attempts: list[ObservedAttempt] = field(default_factory=list)
    # The attempts whose end the decision module was notified of.
    ended_attempts: list[int] = field(default_factory=list)
    ordered_attempts: int = 0
    copies: dict[bytes, ObservedCopy] = field(default_factory=dict)  # by the body of the answer
    # By attempt: the code of the answer that reached the router.
    status_codes: dict[int, str] = field(default_factory=dict)

    def attempt(self, number: int) -> ObservedAttempt | None:
        """The attempt of that number, if its first byte was seen."""
        return next((attempt for attempt in self.attempts if attempt.number == number), None)
