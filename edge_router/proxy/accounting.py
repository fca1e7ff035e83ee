"""Stage 6, book: ends each attempt once, closes requests, and counts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from edge_router.decision.messages import AttemptEnded, Event, FillResult, Outcome
from edge_router.decision.settings import Settings
from edge_router.proxy.admission import Admit
from edge_router.proxy.invariants import RuleCheck
from edge_router.proxy.request_table import Attempt, OpenRequest
from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import log, log_some

TOLD = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR)


class Book:
    """Tells the decisions of every end, exactly once."""

    def __init__(self, settings: Settings, clock: Clock, admit: Admit, post: Callable[[Event], None]) -> None:
        self._clock = clock
        self._admit = admit
        self._post = post
        self.counts: Counter[str] = Counter()
        self.check = RuleCheck(settings, self.counts)
        self._waited = 0.0  # the longest that a request waited for its decision, in ms

    def ended(
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
        if attempt.alarm is not None:
            attempt.alarm.off()
        self.counts[outcome.name.lower()] += 1
        if note:
            self.counts[f"note_{FillResult(note).name.lower()}"] += 1
        request, order = attempt.request, attempt.order
        took = self._clock.now() - (attempt.written_at or attempt.ordered_at)
        if outcome in TOLD:
            log_some(
                "attempt-failed",
                req=request.asked.request_id,
                outcome=outcome.name.lower(),
                node=f"s-{order.endpoint_id:08x}",
                source=f"s-{order.source_id:08x}",
                cls=request.asked.class_name,
                kb=request.asked.size_kb,
                note=note,
                took=took,
                attempt=attempt.number,
            )
        self._post(
            AttemptEnded(
                request.req,
                attempt.number,
                order.endpoint_id,
                outcome,
                took,
                request.answered,
                note,
                waited,
                load,
            )
        )
        self.close_if_over(request)

    def close_if_over(self, request: OpenRequest) -> None:
        """Forgets a request that is answered and has nothing out any more."""
        if request.answered and all(attempt.ended for attempt in request.attempts):
            if request.backstop is not None:
                request.backstop.off()
            self.check.closed(request)
            self._admit.leave(request)

    def waited(self, time: float) -> None:
        """A request has waited so long for its decision."""
        self._waited = max(self._waited, time)

    def line(self, **more: object) -> None:
        """Writes what was counted since the last line."""
        log("stats", **more, waited=self._waited, **dict(sorted(self.counts.items())))
        self.counts.clear()
        self._waited = 0.0
