"""Stage 5, relay: judges what a cache sent and gives the client its one final answer."""

from __future__ import annotations

import re
from typing import NamedTuple

from edge_router.decision.messages import FillResult, Outcome
from edge_router.decision.settings import ClassSettings, Settings
from edge_router.discovery.purge_history import PurgeHistory
from edge_router.proxy.accounting import RequestAccounting
from edge_router.proxy.exchange import FinalResponse, ResponseStatus
from edge_router.proxy.request_table import ActiveRequest, Attempt
from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import log_rate_limited
from edge_router.runtime.peer_clock import PeerClock

SLACK = 50.0  # ms by which a copy may seem older than was asked for

MOST_BODY = 240_000  # bytes of the longest object

OUTCOMES = {
    "200": Outcome.OK,
    "304": Outcome.OK,
    "404": Outcome.MISS,
    "503": Outcome.OVERLOADED,
    "500": Outcome.ERROR,
    "504": Outcome.NOT_SENT,
}
_TAG = re.compile(r"[0-9A-Za-z._-]{1,64}")
_FIGURE = re.compile(r"[0-9]{1,15}(\.[0-9]{1,12})?")
_NOTES = {
    "hit": FillResult.HIT,
    "filled": FillResult.FILLED,
    "via_origin": FillResult.FILLED_BY_ORIGIN,
    "joined": FillResult.COALESCED,
    "stale": FillResult.STALE_COPY,
    "src_refused": FillResult.SOURCE_REFUSED,
    "src_broke": FillResult.SOURCE_FAILED,
    "src_lacks": FillResult.SOURCE_MISS,
    "no_slot": FillResult.NO_FILL_SLOT,
    "origin_failed": FillResult.ORIGIN_FAILED,
}


class CacheResponse(NamedTuple):
    """A cache's answer to one attempt."""

    status: str
    fields: dict[str, str]
    body: bytes


def _number(text: str) -> float | None:
    """A figure as caches write it; None if it can't be read."""
    return float(text) if _FIGURE.fullmatch(text) else None


class ResponseHandler:
    """The way back to the client."""

    def __init__(
        self,
        settings: Settings,
        book: RequestAccounting,
        clock: Clock,
        peer_time: PeerClock,
        purges: PurgeHistory,
    ) -> None:
        self._settings = settings
        self._accounting = book
        self._clock = clock
        self._peer_clock = peer_time
        self._purges = purges

    def respond(self, request: ActiveRequest, answer: FinalResponse) -> None:
        """The final answer; only the first counts."""
        if request.answered:
            return
        self._accounting.invariants.check_response(request, answer.status, self._clock.now())
        request.answered = True
        self._accounting.counts[answer.status.value] += 1
        request.incoming.respond(answer)
        self._accounting.close_if_finished(request)

    def client_disconnected(self, request: ActiveRequest) -> None:
        """The client has gone: no answer is owed."""
        request.answered = True
        self._accounting.counts["client_disconnected"] += 1
        self._accounting.close_if_finished(request)

    def validate_response(self, attempt: Attempt, reply: CacheResponse) -> str:
        """Why an answer can't be what a cache says; empty if it may be.

        Guards against passing on noise as served, or taking it for the word that nothing ran.
        """
        if reply.status not in OUTCOMES:
            return f"an answer of the word {reply.status[:20]!r}"
        if OUTCOMES[reply.status] is not Outcome.OK:
            return "an error with bytes" if reply.body else ""
        if len(reply.body) > MOST_BODY:
            return f"an answer of {len(reply.body)} bytes"
        kept = not self._settings.classes[attempt.request.incoming.class_index].uncacheable
        tag, born = (reply.fields.get(name, "") for name in ("ver", "born"))
        if kept and not (_TAG.fullmatch(tag) and _number(born)):
            return "a copy without a tag or an age"
        return ""

    def on_response(self, attempt: Attempt, reply: CacheResponse) -> None:
        """A cache has answered an attempt that is out."""
        outcome = OUTCOMES[reply.status]
        note = _NOTES.get(reply.fields.get("tell", ""), FillResult.NONE)
        born = _number(reply.fields.get("born", ""))
        if outcome is Outcome.OK and note is FillResult.FILLED_BY_ORIGIN and born:
            self._peer_clock.observe_copy(born, attempt.started_at, self._clock.now())
        if outcome is Outcome.OK and (wrong := self._wrong(attempt, reply)):
            log_rate_limited(
                "invalid-response",
                request=attempt.request.incoming.request_id,
                endpoint=f"s-{attempt.instruction.endpoint_id:08x}",
                reason=wrong,
            )
            outcome = Outcome.ERROR
        if outcome is Outcome.OK:
            verdict = ResponseStatus.NOT_MODIFIED if reply.status == "304" else ResponseStatus.SERVED
            self.respond(attempt.request, FinalResponse(verdict, reply.body, reply.fields.get("ver", "")))
        self._accounting.attempt_ended(
            attempt,
            outcome,
            int(note),
            _number(reply.fields.get("waited", "")) or 0.0,
            self._load(reply.fields.get("meter", "")),
        )

    def _wrong(self, attempt: Attempt, reply: CacheResponse) -> str:
        """What is wrong with an answer that says ok. Guards against passing on a copy that won't do."""
        asked = attempt.request.incoming
        cls = self._settings.classes[asked.class_index]
        if reply.status == "304" and (not asked.client_etag or reply.fields.get("ver") != asked.client_etag):
            return "unchanged, but not the client's copy"
        if reply.status == "304" and reply.body:
            return "unchanged, but with bytes"
        if cls.uncacheable:
            return ""
        born = _number(reply.fields.get("born", "")) or 0.0
        if born < self._purges.newest_purge_time(asked.object_key, asked.purge_group, attempt.started_at):
            return "older than a purge"
        oldest, age = self._oldest(cls, attempt), attempt.started_at - self._peer_clock.to_local(born)
        return f"{age:.0f} ms old, asked for {oldest:.0f}" if oldest and age > oldest + SLACK else ""

    @staticmethod
    def _oldest(cls: ClassSettings, attempt: Attempt) -> float:
        """The age that was asked for; 0: any."""
        return attempt.instruction.max_age or cls.freshness_lifetime

    def _load(self, meter: str) -> tuple[float, ...]:
        """The load report, in the order of the settings; empty without a whole one.

        Guards against a figure that can't be read passing for an idle cache.
        """
        told = dict(pair.split(":", 1) for pair in meter.split(";") if ":" in pair)
        figures = [_number(told.get(name, "")) for name in self._settings.load_report_fields]
        return tuple(figure for figure in figures if figure is not None) if None not in figures else ()
