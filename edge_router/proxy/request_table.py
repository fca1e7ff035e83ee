"""The table of active requests, and the state of each request and of its attempts."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from edge_router.decision.messages import Outcome, StartAttempt
from edge_router.decision.rules import PROVES_NOT_RUN, PossibleRun
from edge_router.proxy.messages import IncomingRequest
from edge_router.runtime.timers import TimerHandle

MAX_REQUEST_NUMBER = 0xFFFFFFFF  # the number after it is 1 again


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, from the instruction to start it until it ends. Times are ms of the router's clock."""

    request: ActiveRequest
    index: int
    instruction: StartAttempt
    created_at: float
    # Start times of the processes that were selected, the cache and the source of its fill; 0 if unknown.
    process_starts: tuple[float, float] = (0.0, 0.0)
    sent_at: float | None = None  # when its first byte was written; None: not sent
    purged: bool = False  # a purge of its object arrived after the instruction
    ended: bool = False
    reassigned: bool = False  # it has been moved to another connection once
    body_bytes: int = 0  # announced size of the response's body; 0 until it begins to arrive
    body_dropped: bool = False  # there was no memory for it
    timeout_timer: TimerHandle | None = None
    input_callback: Callable[[], None] | None = None  # while it waits for its client's input
    outcome: Outcome | None = None  # once it has ended

    @property
    def started_at(self) -> float:
        """Return when it was sent or, if it was not sent, when it was created.

        Not related to `Endpoint.started_at`, which is the start of the endpoint's process.
        """
        return self.created_at if self.sent_at is None else self.sent_at

    def stop_waiting(self) -> None:
        """Cancel what would continue or end it later."""
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
        if self.input_callback is not None:
            self.request.incoming.client_input.cancel_input_callback(self.input_callback)
            self.input_callback = None

    def may_have_run(self) -> bool:
        """Return whether it was sent and nothing proves that it did not run."""
        return self.sent_at is not None and self.outcome not in PROVES_NOT_RUN


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """An admitted request, kept until it is answered and its last attempt has ended."""

    request_number: int
    incoming: IncomingRequest
    deadline: float
    # Reserved in the memory budget for the request and its response; an estimate until the response arrives.
    reserved_bytes: int = 0
    answered: bool = False
    backstop_timer: TimerHandle | None = None
    ended_by_shutdown: bool = False  # no further attempt is sent
    attempts: list[Attempt] = field(default_factory=list)

    def first_possible_run(self, other_than: Attempt) -> PossibleRun | None:
        """Return the attempt that was sent first of those, except the given one, that may have run."""
        if len(self.attempts) < 2:
            return None
        sent = [attempt for attempt in self.attempts if attempt is not other_than and attempt.may_have_run()]
        if not sent:
            return None
        first = min(sent, key=lambda attempt: attempt.started_at)
        return PossibleRun(first.instruction.endpoint_id, first.started_at)


class RequestTable:
    """All active requests, by number and by request id."""

    def __init__(self) -> None:
        self._by_number: dict[int, ActiveRequest] = {}
        self._by_request_id: dict[str, ActiveRequest] = {}
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._by_number)

    def __iter__(self) -> Iterator[ActiveRequest]:
        return iter(list(self._by_number.values()))

    def add(self, incoming: IncomingRequest, deadline: float, reserved_bytes: int) -> ActiveRequest:
        """Add a request under a new number, from 1 to `MAX_REQUEST_NUMBER`."""
        self._last_number = self._last_number % MAX_REQUEST_NUMBER + 1
        request = ActiveRequest(self._last_number, incoming, deadline, reserved_bytes)
        self._by_number[self._last_number] = request
        self._by_request_id[incoming.request_id] = request
        return request

    def find(self, request_id: str) -> ActiveRequest | None:
        """Return the active request of that id, answered or not; None if there is none."""
        return self._by_request_id.get(request_id)

    def get(self, request_number: int) -> ActiveRequest | None:
        """Return the request of that number; None if it is not active."""
        return self._by_number.get(request_number)

    def remove(self, request_number: int) -> bool:
        """Remove a finished request; return whether it was in the table.

        Its attempts refer back to it. Their list is cleared to break this cycle, so that the memory of the
        request and of its client connection is freed at once.
        """
        request = self._by_number.pop(request_number, None)
        if request is None:
            return False
        if self._by_request_id.get(request.incoming.request_id) is request:
            del self._by_request_id[request.incoming.request_id]
        request.attempts.clear()
        return True

    def unsent_attempts(self) -> list[Attempt]:
        """Return the open attempts that have not been sent yet."""
        return [
            attempt
            for request in self._by_number.values()
            for attempt in request.attempts
            if not attempt.ended and attempt.sent_at is None
        ]
