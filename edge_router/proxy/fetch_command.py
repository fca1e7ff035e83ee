"""The commands of an attempt: their encoding, and their handling in a connection's queue.

This is the only module that maps the router's fields to the wire names of the commands `fetch` and `abort`.
Source: the operators' page `PROTOCOL-robinbeam.md`, "Edge routers to caches".
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from edge_router.decision.messages import FillMode
from edge_router.protocol import resp
from edge_router.proxy.request_table import Attempt

FILL_MODE_NAMES = (
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
    if mode := "+".join(name for bit, name in FILL_MODE_NAMES if instruction.fill_mode & bit):
        fields.append(("mode", mode))
    if incoming.client_etag:
        fields.append(("seen", incoming.client_etag))
    return resp.encode(b"fetch", incoming.request_id.encode(), resp.encode_fields(fields), incoming.body)


@dataclass(slots=True, eq=False)
class FetchCommand:
    """A `fetch` command in a connection's queue; its attempt is checked again right before its first byte."""

    begin_send: Callable[[Attempt], bytes | None]  # None: the attempt may not be sent
    may_complete_send: Callable[[Attempt], bool]
    attempt: Attempt

    def encode(self) -> bytes | None:
        """Mark the attempt as sent and return its bytes, or None if it may not be sent any more."""
        return self.begin_send(self.attempt)

    def may_continue(self) -> bool:
        """Return whether the rest of the command may still be written."""
        return self.may_complete_send(self.attempt)

    def on_not_written(self) -> None:
        """Record that not a single byte was written, which proves that the attempt did not run."""
        self.attempt.sent_at = None


@dataclass(slots=True, eq=False)
class AbortCommand:
    """An `abort` command for an attempt that was sent, identified by its request id."""

    request_id: str

    def encode(self) -> bytes | None:
        """Return the bytes of the `abort` command."""
        return resp.encode(b"abort", self.request_id.encode())

    def may_continue(self) -> bool:
        """Return True: an abort does no harm at any time."""
        return True

    def on_not_written(self) -> None:
        """Do nothing: the attempt has already ended, and the command stays queued."""
