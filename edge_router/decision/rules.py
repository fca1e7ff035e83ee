"""What may be sent, repeated, rejected and passed on: each rule of the pages as one plain function.

The routing policy, the attempt dispatcher (just before the first byte), the request router and the run-time
invariant checker all call these functions, so that they cannot differ. Sources: WIRE, 'Invariants'; PROTOCOL,
'The rules on sockets'. Times are milliseconds of the caller's clock.
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
    PURGED = "purged"  # a purge was received after it was ordered
    TIME_OVER = "time-over"  # its deadline has passed
    WINDOW_OVER = "window-over"  # the deduplication window of a repeat has passed
    ENDPOINT_NOT_READY = "node-not-ready"  # the endpoint drains or is gone
    SOURCE_NOT_READY = "source-not-ready"


def send_denial(
    now: float,
    *,
    answered: bool,
    purged: bool,
    deadline: float,
    start_before: float,
    endpoint_ready: bool,
    source_ready: bool,
) -> SendDenial | None:
    """Why an attempt whose first byte is about to be written may not be sent; None if it may.

    `answered`: its request has its final answer, or its client has disconnected; `purged`: a purge came after
    the order; `deadline`, `start_before`: the times by which it has to be answered and to start.
    """
    if answered:
        return SendDenial.ANSWERED
    if purged:
        return SendDenial.PURGED
    if now >= deadline:
        return SendDenial.TIME_OVER
    if now >= start_before:
        return SendDenial.WINDOW_OVER
    if not endpoint_ready:
        return SendDenial.ENDPOINT_NOT_READY
    if not source_ready:
        return SendDenial.SOURCE_NOT_READY
    return None


def repeat_until(settings: ClassSettings, first_sent: float | None) -> float:
    """The time by which a repeat has to start, after a first attempt sent at `first_sent` (or None)."""
    if first_sent is None or settings.idempotency is not Idempotency.WITH_KEY:
        return math.inf
    return first_sent + settings.deduplication_window


def may_repeat(
    settings: ClassSettings,
    now: float,
    first_endpoint: EndpointId | None,
    first_sent: float | None,
    candidate: Endpoint,
    listed: Mapping[EndpointId, Endpoint],
) -> bool:
    """Whether an attempt may go to the candidate, after a first one that may have run at `first_endpoint`.

    Without such a first attempt it always may. An unlisted endpoint shares no scope with another.
    """
    if settings.idempotency is Idempotency.IDEMPOTENT or first_endpoint is None:
        return True
    if settings.idempotency is Idempotency.NONE or now >= repeat_until(settings, first_sent):
        return False
    if settings.deduplication_scope is DeduplicationScope.ALL:
        return True
    first = listed.get(first_endpoint)
    if first is None:
        return candidate.endpoint_id == first_endpoint
    return (
        candidate.zone == first.zone
        if settings.deduplication_scope is DeduplicationScope.ZONE
        else candidate.cell == first.cell
    )


def may_reject(settings: ClassSettings, may_have_run: bool) -> bool:
    """Whether such a request may be rejected, which promises that a retry does no harm."""
    if settings.idempotency is Idempotency.IDEMPOTENT or not may_have_run:
        return True
    return (
        settings.idempotency is Idempotency.WITH_KEY
        and settings.deduplication_scope is DeduplicationScope.ALL
    )
