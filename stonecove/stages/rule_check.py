"""Checks the rules at run time, where bytes leave the router, and counts what is broken.

It trusts no decision: it looks at the attempts themselves. A violation is a line `rule-violation` with the
request's id and a count `violation_RULE` in the statistics; the router goes on.
"""

from __future__ import annotations

from collections import Counter

from stonecove import rules
from stonecove.exchange import Verdict
from stonecove.ground.log import log_some
from stonecove.interface import ClassSettings, Effect, Settings
from stonecove.memory.requests import Attempt, OpenRequest

LATEST_ANSWER = 500.0  # ms after a client's time; an answer after that is a lost request
LIMIT_TOLERANCE = 1.0  # ms


class RuleCheck:
    """Counts violations."""

    def __init__(self, settings: Settings, counts: Counter[str]) -> None:
        self._settings = settings
        self._counts = counts

    def _class(self, request: OpenRequest) -> ClassSettings:
        return self._settings.classes[request.asked.kind]

    def _broken(self, rule: str, request: OpenRequest, detail: str = "") -> None:
        self._counts[f"violation_{rule}"] += 1
        log_some("rule-violation", rule=rule, req=request.asked.txn, detail=detail)

    def sending(self, attempt: Attempt, now: float, listed: bool) -> None:
        """An attempt's first byte is about to be written; `listed`: its cache and source are ready now."""
        request = attempt.request
        node = f"s-{attempt.order.node:08x}"
        if request.answered:
            self._broken("sent_after_answer", request, node)
        if not listed:
            self._broken("sent_to_unready", request, node)
        if attempt.order.cut_at > request.deadline + LIMIT_TOLERANCE:
            self._broken("limit_beyond_deadline", request, node)
        if attempt.number >= self._settings.most_attempts:
            self._broken("too_many_attempts", request, node)
        self._repeat(attempt, now, node)

    def _repeat(self, attempt: Attempt, now: float, node: str) -> None:
        others = [other for other in attempt.request.attempts if other is not attempt and other.written_at]
        if not self._settings.second_copies and any(not other.ended for other in others):
            self._broken("second_copy", attempt.request, node)
        cls = self._class(attempt.request)
        ran = [other for other in others if other.may_have_run()]
        if not ran or cls.effect is Effect.SAFE:
            return
        if cls.effect is Effect.UNSAFE:
            self._broken("unsafe_repeat", attempt.request, node)
        elif now > rules.repeat_until(cls, min(other.written_at for other in ran)):
            self._broken("repeat_after_window", attempt.request, node)

    def answered(self, request: OpenRequest, verdict: Verdict, now: float) -> None:
        """A request gets its final answer."""
        may_have_run = any(attempt.written_at and attempt.may_have_run() for attempt in request.attempts)
        if verdict is Verdict.REFUSED and not rules.may_refuse(self._class(request), may_have_run):
            self._broken("refused_after_run", request)
        if now > request.deadline + LATEST_ANSWER:
            self._broken("answered_late", request, f"{now - request.deadline:.0f} ms after its time")

    def closed(self, request: OpenRequest) -> None:
        """A request is forgotten."""
        if not request.answered:
            self._broken("closed_unanswered", request)
