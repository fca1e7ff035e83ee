"""Stage 6, book: ends each attempt once, closes requests, and counts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from edge_router.decision.messages import AttemptEnded, Event, FillResult, Outcome
from edge_router.decision.settings import Settings
from edge_router.proxy.admission import AdmissionController
from edge_router.proxy.invariants import InvariantChecker
from edge_router.proxy.request_table import ActiveRequest, Attempt
from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import log, log_rate_limited

TOLD = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR)


class RequestAccounting:
    """Tells the decisions of every end, exactly once."""

    def __init__(
        self, settings: Settings, clock: Clock, admit: AdmissionController, post: Callable[[Event], None]
    ) -> None:
        self._clock = clock
        self._admission = admit
        self._post = post
        self.counts: Counter[str] = Counter()
        self.invariants = InvariantChecker(settings, self.counts)
        self._max_queue_time = 0.0  # the longest that a request waited for its decision, in ms

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        note: int = 0,
        waited: float = 0.0,
        load: tuple[float, ...] = (),
    ) -> None:
        """An attempt is over; late news of it is dropped."""
        if attempt.ended:
            return
        attempt.ended = True
        attempt.outcome = outcome
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        self.counts[outcome.name.lower()] += 1
        if note:
            self.counts[f"fill_{FillResult(note).name.lower()}"] += 1
        request, order = attempt.request, attempt.instruction
        took = self._clock.now() - attempt.started_at
        if outcome in TOLD:
            log_rate_limited(
                "attempt-failed",
                request=request.incoming.request_id,
                outcome=outcome.name.lower(),
                endpoint=f"s-{order.endpoint_id:08x}",
                source=f"s-{order.source_id:08x}",
                class_name=request.incoming.class_name,
                size_kb=request.incoming.size_kb,
                fill_result=note,
                duration_ms=took,
                attempt=attempt.index,
            )
        self._post(
            AttemptEnded(
                request.request_number,
                attempt.index,
                order.endpoint_id,
                outcome,
                took,
                request.answered,
                note,
                waited,
                load,
            )
        )
        self.close_if_finished(request)

    def close_if_finished(self, request: ActiveRequest) -> None:
        """Forgets a request that is answered and has nothing out any more."""
        if request.answered and all(attempt.ended for attempt in request.attempts):
            if request.backstop_timer is not None:
                request.backstop_timer.cancel()
            self.invariants.check_closed(request)
            self._admission.release(request)

    def record_queue_time(self, time: float) -> None:
        """A request has waited so long for its decision."""
        self._max_queue_time = max(self._max_queue_time, time)

    def log_statistics(self, **more: object) -> None:
        """Writes what was counted since the last line."""
        log("stats", **more, max_queue_ms=self._max_queue_time, **dict(sorted(self.counts.items())))
        self.counts.clear()
        self._max_queue_time = 0.0
