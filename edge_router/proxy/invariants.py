"""Checks the rules at run time, where bytes leave the router, and counts what is broken.

It trusts no decision: it looks at the attempts themselves. A violation is a log line `invariant-violation` with
the request's id and a count `violation_RULE` in the statistics; the router goes on.
"""

from __future__ import annotations

from collections import Counter

from edge_router.decision import rules
from edge_router.decision.settings import ClassSettings, Idempotency, Settings
from edge_router.proxy.exchange import ResponseStatus
from edge_router.proxy.request_table import ActiveRequest, Attempt
from edge_router.runtime.event_log import log_rate_limited

LATEST_ANSWER = 500.0  # ms after a client's time; an answer after that is a lost request
LIMIT_TOLERANCE = 1.0  # ms


class InvariantChecker:
    """Counts violations."""

    def __init__(self, settings: Settings, counts: Counter[str]) -> None:
        self._settings = settings
        self._counts = counts

    def _class(self, request: ActiveRequest) -> ClassSettings:
        return self._settings.classes[request.incoming.class_index]

    def _broken(self, rule: str, request: ActiveRequest, detail: str = "") -> None:
        self._counts[f"violation_{rule}"] += 1
        log_rate_limited("invariant-violation", rule=rule, request=request.incoming.request_id, detail=detail)

    def check_send(self, attempt: Attempt, now: float, listed: bool) -> None:
        """An attempt's first byte is about to be written; `listed`: its cache and source are ready now."""
        request = attempt.request
        if request.answered:
            self._attempt_broken("sent_after_answer", attempt)
        if not listed:
            self._attempt_broken("sent_to_unready", attempt)
        if attempt.instruction.deadline > request.deadline + LIMIT_TOLERANCE:
            self._attempt_broken("limit_beyond_deadline", attempt)
        if attempt.index >= self._settings.max_attempts:
            self._attempt_broken("too_many_attempts", attempt)
        if len(request.attempts) > 1:
            self._repeat(attempt, now)

    def _attempt_broken(self, rule: str, attempt: Attempt) -> None:
        self._broken(rule, attempt.request, f"s-{attempt.instruction.endpoint_id:08x}")

    def _repeat(self, attempt: Attempt, now: float) -> None:
        others = [
            other for other in attempt.request.attempts if other is not attempt and other.sent_at is not None
        ]
        if not self._settings.hedging_allowed and any(not other.ended for other in others):
            self._attempt_broken("second_copy", attempt)
        cls = self._class(attempt.request)
        ran = [other for other in others if other.may_have_run()]
        if not ran or cls.idempotency is Idempotency.IDEMPOTENT:
            return
        if cls.idempotency is Idempotency.NONE:
            self._attempt_broken("unsafe_repeat", attempt)
        elif now > rules.repeat_until(cls, min(other.started_at for other in ran)):
            self._attempt_broken("repeat_after_window", attempt)

    def check_response(self, request: ActiveRequest, verdict: ResponseStatus, now: float) -> None:
        """A request gets its final answer."""
        if verdict is ResponseStatus.REJECTED and not rules.may_refuse(
            self._class(request), any(attempt.may_have_run() for attempt in request.attempts)
        ):
            self._broken("refused_after_run", request)
        if now > request.deadline + LATEST_ANSWER:
            self._broken("answered_late", request, f"{now - request.deadline:.0f} ms after its time")

    def check_closed(self, request: ActiveRequest) -> None:
        """A request is forgotten."""
        if not request.answered:
            self._broken("closed_unanswered", request)
