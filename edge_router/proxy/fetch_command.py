"""The commands of an attempt: their words on the wire, and their place in a connection's queue.

The only place that maps the router's fields to the words of `fetch` and `abort` (PROTOCOL page).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from edge_router.decision.messages import FillMode
from edge_router.protocol import resp
from edge_router.proxy.request_table import Attempt

MODE_WORDS = (
    (FillMode.COALESCE, "wait-for"),
    (FillMode.CACHED_ONLY, "no-fetch"),
    (FillMode.NO_PARENT_CACHING, "no-keep"),
    (FillMode.BACKGROUND_REFRESH, "background"),
)


def encode_fetch(attempt: Attempt, now: float) -> bytes:
    """Encode the `fetch` command of an attempt whose first byte is written at `now` (ms)."""
    instruction, incoming = attempt.instruction, attempt.request.incoming
    fields = [
        ("cls", incoming.class_name),
        ("item", incoming.object_id),
        ("chunk", incoming.segment_text),
        ("limit", str(max(1, int(instruction.deadline - now)))),
    ]
    if incoming.idempotency_key:
        fields.append(("nonce", incoming.idempotency_key))
    if instruction.source_id != instruction.endpoint_id:
        fields.append(("from", f"s-{instruction.source_id:08x}"))
    if instruction.cache_rank:
        fields.append(("rank", str(instruction.cache_rank)))
    if instruction.max_age > 0:
        fields.append(("oldest", str(max(1, int(instruction.max_age)))))
    if mode := "+".join(word for bit, word in MODE_WORDS if instruction.fill_mode & bit):
        fields.append(("mode", mode))
    if incoming.client_etag:
        fields.append(("seen", incoming.client_etag))
    return resp.encode(b"fetch", incoming.request_id.encode(), resp.encode_fields(fields), incoming.body)


@dataclass(slots=True, eq=False)
class FetchCommand:
    """An attempt in a connection's queue; it is checked once more right before its first byte."""

    begin: Callable[[Attempt], bytes | None]  # the bytes of the attempt; None if it may not be sent any more
    attempt: Attempt

    def encode(self) -> bytes | None:
        """Return the bytes to write, or None if the attempt may not be sent any more."""
        return self.begin(self.attempt)

    def on_not_written(self) -> None:
        """Record that not one byte was written, so the attempt has surely not run."""
        self.attempt.sent_at = None


@dataclass(slots=True, eq=False)
class AbortCommand:
    """Aborts an attempt that was written, by the id of its request."""

    request_id: str

    def encode(self) -> bytes | None:
        """Return the bytes of the `abort` command."""
        return resp.encode(b"abort", self.request_id.encode())

    def on_not_written(self) -> None:
        """Do nothing: the connection has ended, and the attempt with it."""
