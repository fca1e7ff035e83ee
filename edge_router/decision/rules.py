"""The rules on what may be sent, repeated and rejected, one function each.

The routing policy, the attempt dispatcher (just before it writes the first byte), the request router and the
run-time invariant checker all call these functions, so that they apply the same rules. Times are milliseconds
of the caller's clock.

Sources: the operators' pages `WIRE-robinbeam.md`, section "Invariants", and `PROTOCOL-robinbeam.md`, section
"The rules on sockets".
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import StrEnum

from edge_router.decision.messages import Endpoint, EndpointId, Outcome
from edge_router.decision.settings import ClassSettings, DeduplicationScope, Idempotency

# The outcomes after which the attempt has certainly not run at the cache.
PROVES_NOT_RUN = frozenset((Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.MISS))


class SendDenial(StrEnum):
    """Why an attempt may not be sent."""

    ANSWERED = "answered"  # the request has its final answer, or its client has disconnected
    PURGED = "purged"  # a purge was received after the policy started the attempt
    TIME_OVER = "time-over"  # the request's deadline has passed
    WINDOW_OVER = "window-over"  # the attempt is a repeat, and the deduplication window has passed
    ENDPOINT_NOT_READY = "node-not-ready"  # the cache is draining or removed
    SOURCE_NOT_READY = "source-not-ready"  # the source of its fill is draining or removed


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

    `answered`: the request has its final answer, or its client has disconnected. `purged`: a purge was
    received after the policy started the attempt. `deadline`, `start_before`: the times by which the request
    has to be answered and the attempt has to start.
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


def repeat_until(settings: ClassSettings, first_started_at: float | None) -> float:
    """The time by which a repeat has to start; infinite where no deduplication window applies.

    `first_started_at` is when the first attempt that may have run was started (for the run-time
    invariant checker: sent); None if there is none.
    """
    if first_started_at is None or settings.idempotency is not Idempotency.WITH_KEY:
        return math.inf
    return first_started_at + settings.deduplication_window


def may_repeat(
    settings: ClassSettings,
    now: float,
    first_endpoint: EndpointId | None,
    first_started_at: float | None,
    candidate: Endpoint,
    listed: Mapping[EndpointId, Endpoint],
) -> bool:
    """Whether an attempt may be sent to `candidate`.

    `first_endpoint` and `first_started_at` describe the first attempt that may have run; None allows any
    candidate. If that endpoint is no longer `listed`, its zone and cell are unknown, and only the same
    endpoint will recognise the repeat.
    """
    if settings.idempotency is Idempotency.IDEMPOTENT or first_endpoint is None:
        return True
    if settings.idempotency is Idempotency.NONE or now >= repeat_until(settings, first_started_at):
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
    """Whether a request of this class may be rejected, which tells the client that a retry does no harm."""
    if settings.idempotency is Idempotency.IDEMPOTENT or not may_have_run:
        return True
    return (
        settings.idempotency is Idempotency.WITH_KEY
        and settings.deduplication_scope is DeduplicationScope.ALL
    )
