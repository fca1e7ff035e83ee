"""Ends each attempt once, closes finished requests, and counts both for the statistics."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from edge_router.decision.messages import AttemptEnded, Event, FillResult, Outcome
from edge_router.decision.settings import Idempotency, Settings
from edge_router.proxy.admission import AdmissionController
from edge_router.proxy.invariants import InvariantChecker
from edge_router.proxy.request_table import ActiveRequest, Attempt
from edge_router.proxy.run_history import RunHistory
from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import log, log_rate_limited

LOGGED_OUTCOMES = frozenset(
    (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR)
)


class RequestAccounting:
    """Reports the end of each attempt to the routing policy exactly once, and keeps the counters."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        admission: AdmissionController,
        post_event: Callable[[Event], None],
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._post = post_event
        self.counts: Counter[str] = Counter()
        self.invariants = InvariantChecker(settings, self.counts)
        self._classes = settings.classes
        self._run_history = RunHistory()
        self._max_queue_time = 0.0  # ms; longest wait to be shed or routed since the last statistics line

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        fill_result: FillResult = FillResult.NONE,
        fill_wait: float = 0.0,
        load_report: tuple[float, ...] = (),
        body_received: bool = True,
    ) -> None:
        """Ends an attempt; does nothing if it has ended. The parameters are those of `AttemptEnded`."""
        if attempt.ended:
            return
        attempt.ended = True
        attempt.outcome = outcome
        attempt.stop_waiting()
        self.counts[outcome.name.lower()] += 1
        if fill_result:
            self.counts[f"fill_{fill_result.name.lower()}"] += 1
        request = attempt.request
        duration = self._clock.now() - attempt.started_at
        if outcome in LOGGED_OUTCOMES:
            self._log_failure(attempt, outcome, fill_result, duration)
        self._post(
            AttemptEnded(
                request.request_number,
                attempt.index,
                attempt.instruction.endpoint_id,
                outcome,
                duration,
                request.answered,
                int(fill_result),
                fill_wait,
                load_report,
                body_received,
            )
        )
        self.close_if_finished(request)

    @staticmethod
    def _log_failure(attempt: Attempt, outcome: Outcome, fill_result: FillResult, duration: float) -> None:
        incoming, instruction = attempt.request.incoming, attempt.instruction
        log_rate_limited(
            "attempt-failed",
            request=incoming.request_id,
            outcome=outcome.name.lower(),
            endpoint=f"s-{instruction.endpoint_id:08x}",
            source=f"s-{instruction.source_id:08x}",
            class_name=incoming.class_name,
            size_kb=incoming.size_kb,
            fill_result=int(fill_result),
            duration_ms=duration,
            attempt=attempt.index,
        )

    def close_if_finished(self, request: ActiveRequest) -> None:
        """Releases a request that is answered and has no attempt in flight."""
        if request.answered and all(attempt.ended for attempt in request.attempts):
            if request.backstop_timer is not None:
                request.backstop_timer.cancel()
            self.invariants.check_closed(request)
            if self._must_not_run_again(request):
                self._run_history.record(self._clock.now(), request.incoming.request_id)
            self._admission.release(request)

    def _must_not_run_again(self, request: ActiveRequest) -> bool:
        settings = self._classes[request.incoming.class_index]
        return settings.idempotency is not Idempotency.IDEMPOTENT and any(
            attempt.may_have_run() for attempt in request.attempts
        )

    def may_have_run(self, request_id: str) -> bool:
        """Returns whether a finished request of that id may have run, and must not run again."""
        return self._run_history.may_have_run(self._clock.now(), request_id)

    def record_queue_time(self, queue_time: float) -> None:
        """Records for how long (ms) a request waited until it was shed or routed."""
        self._max_queue_time = max(self._max_queue_time, queue_time)

    def log_statistics(self, **other_figures: object) -> None:
        """Logs the counters and the maximum queue time with other figures, and resets both."""
        log("stats", **other_figures, max_queue_ms=self._max_queue_time, **dict(sorted(self.counts.items())))
        self.counts.clear()
        self._max_queue_time = 0.0
