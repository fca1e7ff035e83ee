"""Run-time checks of the router's invariants, made when it sends an attempt, responds or closes a request.

The checks use the recorded attempts, the settings and `decision.rules`, but not the routing policy's state. A
violation is logged as `invariant-violation` with the request's id, and counted in the statistics as
`violation_` followed by the value of the `Invariant`. The router continues.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from edge_router.decision import rules
from edge_router.decision.settings import ClassSettings, Idempotency, Settings
from edge_router.proxy.messages import ResponseStatus
from edge_router.proxy.request_table import ActiveRequest, Attempt
from edge_router.runtime.event_log import log_rate_limited

# ms after a request's deadline. A later response violates RESPONSE_IN_TIME; the operators count the request
# as lost.
MAX_RESPONSE_DELAY = 500.0
DEADLINE_TOLERANCE = 1.0  # ms


class Invariant(StrEnum):
    """The invariants; the values name their violations in the log and the statistics."""

    NO_SEND_AFTER_RESPONSE = "sent_after_answer"
    SEND_TO_READY_ENDPOINT = "sent_to_unready"
    ATTEMPT_WITHIN_DEADLINE = "limit_beyond_deadline"
    MAX_ATTEMPTS = "too_many_attempts"
    NO_HEDGED_REQUEST = "second_copy"
    NO_RETRY_WITHOUT_IDEMPOTENCY = "unsafe_repeat"
    RETRY_WITHIN_DEDUPLICATION_WINDOW = "repeat_after_window"
    NO_REJECTION_AFTER_EXECUTION = "refused_after_run"
    RESPONSE_IN_TIME = "answered_late"
    CLOSED_WITH_RESPONSE = "closed_unanswered"


class InvariantChecker:
    """Checks the invariants and counts their violations."""

    def __init__(self, settings: Settings, counts: Counter[str]) -> None:
        self._settings = settings
        self._counts = counts

    def check_send(self, attempt: Attempt, now: float, endpoints_ready: bool) -> None:
        """Checks an attempt before its first byte; `endpoints_ready`: its endpoint and source are ready."""
        request = attempt.request
        if request.answered:
            self._report_attempt(Invariant.NO_SEND_AFTER_RESPONSE, attempt)
        if not endpoints_ready:
            self._report_attempt(Invariant.SEND_TO_READY_ENDPOINT, attempt)
        if attempt.instruction.deadline > request.deadline + DEADLINE_TOLERANCE:
            self._report_attempt(Invariant.ATTEMPT_WITHIN_DEADLINE, attempt)
        if attempt.index >= self._settings.max_attempts:
            self._report_attempt(Invariant.MAX_ATTEMPTS, attempt)
        if len(request.attempts) > 1:
            self._check_retry(attempt, now)

    def check_response(self, request: ActiveRequest, status: ResponseStatus, now: float) -> None:
        """Checks a request before its final response is sent at `now` (ms)."""
        if status is ResponseStatus.REJECTED and not rules.may_reject(
            self._class_settings(request), any(attempt.may_have_run() for attempt in request.attempts)
        ):
            self._report(Invariant.NO_REJECTION_AFTER_EXECUTION, request)
        delay = now - request.deadline
        if delay > MAX_RESPONSE_DELAY:
            self._report(Invariant.RESPONSE_IN_TIME, request, f"{delay:.0f} ms after its deadline")

    def check_closed(self, request: ActiveRequest) -> None:
        """Checks a request before it is closed.

        The present caller closes only answered requests, so this guards against a change of callers.
        """
        if not request.answered:
            self._report(Invariant.CLOSED_WITH_RESPONSE, request)

    def _check_retry(self, attempt: Attempt, now: float) -> None:
        sent = [
            other for other in attempt.request.attempts if other is not attempt and other.sent_at is not None
        ]
        if not self._settings.hedging_allowed and any(not other.ended for other in sent):
            self._report_attempt(Invariant.NO_HEDGED_REQUEST, attempt)
        class_settings = self._class_settings(attempt.request)
        executed = [other for other in sent if other.may_have_run()]
        if not executed or class_settings.idempotency is Idempotency.IDEMPOTENT:
            return
        if class_settings.idempotency is Idempotency.NONE:
            self._report_attempt(Invariant.NO_RETRY_WITHOUT_IDEMPOTENCY, attempt)
        elif now > rules.repeat_until(class_settings, min(other.started_at for other in executed)):
            self._report_attempt(Invariant.RETRY_WITHIN_DEDUPLICATION_WINDOW, attempt)

    def _class_settings(self, request: ActiveRequest) -> ClassSettings:
        return self._settings.classes[request.incoming.class_index]

    def _report_attempt(self, invariant: Invariant, attempt: Attempt) -> None:
        self._report(invariant, attempt.request, f"s-{attempt.instruction.endpoint_id:08x}")

    def _report(self, invariant: Invariant, request: ActiveRequest, detail: str = "") -> None:
        self._counts[f"violation_{invariant.value}"] += 1
        log_rate_limited(
            "invariant-violation",
            rule=invariant.value,
            request=request.incoming.request_id,
            detail=detail,
        )
