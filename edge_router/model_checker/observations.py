"""Records of the requests, attempts, copies and purges that the observer of the properties has seen."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class RequestState(StrEnum):
    """The state of a request as its client sees it; the values are part of the fingerprint."""

    OPEN = "open"
    ANSWERED = "answered"
    CLIENT_DISCONNECTED = "left"  # its client no longer waits
    OVERDUE = "lost"  # a violation was recorded since it is unanswered after its deadline


class ResponseKind(StrEnum):
    """The kind of answer that a client has received; the values are used in messages only."""

    SERVED = "served"
    NOT_MODIFIED = "not modified"  # the client's own copy is still valid
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(slots=True)
class ObservedAttempt:
    """An attempt whose first byte was seen on a socket."""

    number: int
    endpoint_id: int
    sent_at: float  # Unix milliseconds
    known_purges: int = 0  # number of purges that the router had been notified of before
    not_run: bool = False  # the response of the cache says that it did not run the request
    ended: bool = False


@dataclass(frozen=True, slots=True)
class ObservedCopy:
    """A copy in a response that has reached the router. Times are Unix milliseconds."""

    created_at: float
    sent_at: float  # when the first byte of the attempt was written
    known_purges: int  # as in `ObservedAttempt`


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
    deadline: float  # Unix milliseconds by which it must be answered, including the backstop's delay
    state: RequestState = RequestState.OPEN
    attempts: list[ObservedAttempt] = field(default_factory=list)
    # The numbers of the attempts whose end the decision module was notified of.
    ended_attempts: list[int] = field(default_factory=list)
    started_attempts: int = 0  # by the decision module
    copies: dict[bytes, ObservedCopy] = field(default_factory=dict)  # by the body of the response
    # By attempt number: the code of the first response that reached the router.
    status_codes: dict[int, str] = field(default_factory=dict)

    def attempt(self, number: int) -> ObservedAttempt | None:
        """Returns the attempt of that number, or None if its first byte was not seen."""
        return next((attempt for attempt in self.attempts if attempt.number == number), None)
