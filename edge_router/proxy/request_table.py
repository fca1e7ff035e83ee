"""The requests that are open, and their attempts."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from edge_router.decision.messages import Outcome, StartAttempt
from edge_router.decision.rules import PROVES_NOT_RUN
from edge_router.proxy.messages import IncomingRequest
from edge_router.runtime.timers import TimerHandle


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, from the order to its one end."""

    request: ActiveRequest
    index: int
    instruction: StartAttempt
    created_at: float
    sent_at: float = 0.0  # when its first byte was written; 0: never sent so far
    purged: bool = False  # a purge came after the order
    ended: bool = False
    reassigned: bool = False  # it has been put on another connection
    timeout_timer: TimerHandle | None = None
    outcome: Outcome | None = None  # once it has ended

    def may_have_run(self) -> bool:
        """Whether it was sent and nothing proves that it did not run."""
        return self.sent_at > 0 and self.outcome not in PROVES_NOT_RUN


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request that has been taken, until its last attempt has ended and it is answered."""

    request_number: int
    incoming: IncomingRequest
    deadline: float
    reserved_bytes: int = 0  # bytes that are set aside for it and its answer
    answered: bool = False
    backstop_timer: TimerHandle | None = None
    expired: bool = False  # nothing more goes out for it
    attempts: list[Attempt] = field(default_factory=list)


class RequestTable:
    """All open requests by their number."""

    def __init__(self) -> None:
        self._by_number: dict[int, ActiveRequest] = {}
        self._by_request_id: dict[str, ActiveRequest] = {}
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._by_number)

    def __iter__(self) -> Iterator[ActiveRequest]:
        return iter(list(self._by_number.values()))

    def add(self, asked: IncomingRequest, deadline: float, holds: int) -> ActiveRequest:
        """Takes a request in, under a new number below 2^32."""
        self._last_number = self._last_number % 0xFFFFFFFF + 1
        request = self._by_number[self._last_number] = ActiveRequest(
            self._last_number, asked, deadline, holds
        )
        self._by_request_id[asked.request_id] = request
        return request

    def is_unanswered(self, txn: str) -> bool:
        """Whether a request of that id is open and not answered."""
        request = self._by_request_id.get(txn)
        return request is not None and not request.answered

    def get(self, req: int) -> ActiveRequest | None:
        """The request of that number, if it is open."""
        return self._by_number.get(req)

    def remove(self, req: int) -> bool:
        """Forgets a request that is over; says whether it was known until now.

        Guards against one that is still held by a cycle with its attempts, its client's connection and all.
        """
        request = self._by_number.pop(req, None)
        if request is None:
            return False
        if self._by_request_id.get(request.incoming.request_id) is request:
            del self._by_request_id[request.incoming.request_id]
        request.attempts.clear()
        return True

    def unsent_attempts(self) -> list[Attempt]:
        """Attempts of which nothing has been written yet."""
        return [
            attempt
            for request in self._by_number.values()
            for attempt in request.attempts
            if not attempt.ended and not attempt.sent_at
        ]
