"""What may be sent, repeated, refused and passed on: the rules of the pages, each as one plain function.

The decisions (`choice.py`), the last look before an attempt (`stages/send.py`), the end of a request without
a decision (`stages/route.py`) and the run-time check (`stages/rule_check.py`) all ask here, so that no two of
them can differ. Sources: WIRE, 'Invariants'; PROTOCOL, 'The rules on sockets'; STANDING.
Times are milliseconds of the caller's clock.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import StrEnum

from edge_router.decision.messages import Endpoint, EndpointId, Outcome
from edge_router.decision.settings import ClassSettings, DeduplicationScope, Idempotency

PROVES_NOT_RUN = frozenset((Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.MISS))


class SendDenial(StrEnum):
    """Why an attempt may not be sent."""

    ANSWERED = "answered"  # its request has its final answer, or its client has left
    PURGED = "purged"  # a purge came after it was ordered
    TIME_OVER = "time-over"  # nobody waits for its answer any more
    WINDOW_OVER = "window-over"  # a repeat would be none any more
    NODE_NOT_READY = "node-not-ready"  # it drains or is gone
    SOURCE_NOT_READY = "source-not-ready"


def send_denial(
    now: float,
    *,
    answered: bool,
    purged: bool,
    cut_at: float,
    begin_by: float,
    node_ready: bool,
    source_ready: bool,
) -> SendDenial | None:
    """Why an attempt whose first byte is about to be written may not be sent; None if it may.

    `answered`: its request has its final answer, or its client has left; `purged`: a purge came after the
    order; `cut_at`, `begin_by`: the moments by which it is over and by which it has to begin.
    """
    if answered:
        return SendDenial.ANSWERED
    if purged:
        return SendDenial.PURGED
    if now >= cut_at:
        return SendDenial.TIME_OVER
    if now >= begin_by:
        return SendDenial.WINDOW_OVER
    if not node_ready:
        return SendDenial.NODE_NOT_READY
    if not source_ready:
        return SendDenial.SOURCE_NOT_READY
    return None


def repeat_until(cls: ClassSettings, first_sent: float | None) -> float:
    """The moment by which a repeat has to begin, after a first attempt that was sent then."""
    if first_sent is None or cls.idempotency is not Idempotency.WITH_KEY:
        return math.inf
    return first_sent + cls.deduplication_window


def may_repeat(
    cls: ClassSettings,
    now: float,
    first_node: EndpointId | None,
    first_sent: float | None,
    candidate: Endpoint,
    listed: Mapping[EndpointId, Endpoint],
) -> bool:
    """Whether an attempt may go to the candidate, the first that may have run having gone to that node.

    Without such a first attempt it always may. A node that is listed no more is in no group but its own.
    """
    if cls.idempotency is Idempotency.IDEMPOTENT or first_node is None:
        return True
    if cls.idempotency is Idempotency.NONE or now >= repeat_until(cls, first_sent):
        return False
    if cls.deduplication_scope is DeduplicationScope.ALL:
        return True
    first = listed.get(first_node)
    if first is None:
        return candidate.endpoint_id == first_node
    return (
        candidate.zone == first.zone
        if cls.deduplication_scope is DeduplicationScope.ZONE
        else candidate.cell == first.cell
    )


def may_reject(cls: ClassSettings, may_have_run: bool) -> bool:
    """Whether a refusal, which promises that a retry does no harm, is true of such a request."""
    if cls.idempotency is Idempotency.IDEMPOTENT or not may_have_run:
        return True
    return cls.idempotency is Idempotency.WITH_KEY and cls.deduplication_scope is DeduplicationScope.ALL
