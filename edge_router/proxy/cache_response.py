"""A cache's response, its status codes and its fields.

Source: the operators' page `PROTOCOL-robinbeam.md`, "Edge routers to caches".
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from typing import NamedTuple

from edge_router.decision.messages import FillResult, Outcome

OUTCOME_BY_STATUS = {
    "200": Outcome.OK,
    "304": Outcome.OK,
    "404": Outcome.MISS,
    "503": Outcome.OVERLOADED,
    "500": Outcome.ERROR,
    "504": Outcome.NOT_SENT,  # the request was already over at its arrival: it did not run, as if not sent
}
NOT_MODIFIED = "304"

# Names of the response fields.
ETAG = "ver"
CREATION_TIME = "born"  # Unix ms at which the origin issued the copy
FILL_RESULT = "tell"
FILL_WAIT = "waited"  # ms
LOAD_REPORT = "meter"  # `name:value` pairs, separated by semicolons

FILL_RESULT_BY_NAME = {
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
_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,12})?")


def parse_number(text: str) -> float | None:
    """Returns the value of a number in the format of the caches; None if the text is not such a number."""
    return float(text) if _NUMBER.fullmatch(text) else None


class CacheResponse(NamedTuple):
    """A cache's response to one attempt."""

    status: str
    fields: dict[str, str]
    body: bytes

    def etag(self) -> str | None:
        """Returns the entity tag of the copy; None if there is none."""
        return self.fields.get(ETAG) or None

    def creation_time(self) -> float | None:
        """Returns the Unix time (ms) at which the origin issued the copy; None if missing or invalid."""
        return parse_number(self.fields.get(CREATION_TIME, ""))

    def fill_result(self) -> FillResult:
        """Returns how the copy was obtained; NONE if missing or unknown."""
        return FILL_RESULT_BY_NAME.get(self.fields.get(FILL_RESULT, ""), FillResult.NONE)

    def fill_wait(self) -> float:
        """Returns the time (ms) for which the cache waited for the source; 0 if missing or invalid."""
        return parse_number(self.fields.get(FILL_WAIT, "")) or 0.0

    def load_report(self, names: Sequence[str]) -> tuple[float, ...]:
        """Returns the load report's figures in the order of `names`; empty unless all are present and valid.

        A partial report is dropped, because a missing figure would make the cache look idle.
        """
        pairs = self.fields.get(LOAD_REPORT, "").split(";")
        texts = dict(pair.split(":", 1) for pair in pairs if ":" in pair)
        figures = [parse_number(texts.get(name, "")) for name in names]
        return tuple(figure for figure in figures if figure is not None) if None not in figures else ()
