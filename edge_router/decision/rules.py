"""The rules on what may be sent, repeated and rejected, one function each.

The routing policy, the attempt dispatcher (just before it writes the first byte), the request router and the
run-time invariant checker all call these functions, so that they apply the same rules. Times are milliseconds
of the caller's clock.

Sources: the operators' pages `WIRE-robinbeam.md`, section "Invariants", and `PROTOCOL-robinbeam.md`, section
"The rules on sockets".
"""

from __future__ import annotations

import math
from enum import StrEnum
from typing import NamedTuple

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
    REPEAT_FORBIDDEN = "repeat-forbidden"  # another attempt may have run, and this cache won't recognise it
    ENDPOINT_NOT_READY = "node-not-ready"  # the cache is draining or removed
    ENDPOINT_RESTARTED = "endpoint-restarted"  # the cache or the source is not the process that was selected
    SOURCE_NOT_READY = "source-not-ready"  # the source of its fill is draining or removed


def send_denial(
    now: float,
    *,
    answered: bool,
    purged: bool,
    deadline: float,
    start_before: float,
    repeat_denial: SendDenial | None,
    endpoint_ready: bool,
    source_ready: bool,
    restarted: bool,
) -> SendDenial | None:
    """Why an attempt whose first byte is about to be written may not be sent; None if it may.

    `answered`: the request has its final answer, or its client has disconnected. `purged`: a purge was
    received after the policy started the attempt. `deadline`, `start_before`: the times by which the request
    has to be answered and the attempt has to start. `repeat_denial`: the result of the function of this name
    for the attempts of the request that were sent by now, also those that were created later. `restarted`:
    the endpoint or its source has started again since it was selected, and is cold.
    """
    if answered:
        return SendDenial.ANSWERED
    if purged:
        return SendDenial.PURGED
    if now >= deadline:
        return SendDenial.TIME_OVER
    if now >= start_before:
        return SendDenial.WINDOW_OVER
    if repeat_denial is not None:
        return repeat_denial
    if not endpoint_ready:
        return SendDenial.ENDPOINT_NOT_READY
    if not source_ready:
        return SendDenial.SOURCE_NOT_READY
    if restarted:
        return SendDenial.ENDPOINT_RESTARTED
    return None


def repeat_until(settings: ClassSettings, first_started_at: float | None) -> float:
    """The time by which a repeat has to start; infinite where no deduplication window applies.

    `first_started_at` is when the first attempt that may have run was started (for the run-time
    invariant checker: sent); None if there is none.
    """
    if first_started_at is None or settings.idempotency is not Idempotency.WITH_KEY:
        return math.inf
    return first_started_at + settings.deduplication_window


class PossibleRun(NamedTuple):
    """The first attempt of a request that may have run."""

    endpoint_id: EndpointId
    started_at: float


def repeat_denial(
    settings: ClassSettings,
    now: float,
    first: PossibleRun | None,
    first_endpoint: Endpoint | None,
    candidate: Endpoint,
) -> SendDenial | None:
    """Why an attempt may not be sent to `candidate` after the first one that may have run; None if it may.

    `first` is None if no attempt of the request may have run; this allows any candidate. `first_endpoint` is
    its endpoint; if that is None, as it is no longer listed, its zone and cell are unknown, and only the same
    endpoint will recognise the repeat.
    """
    if settings.idempotency is Idempotency.IDEMPOTENT or first is None:
        return None
    if settings.idempotency is Idempotency.NONE:
        return SendDenial.REPEAT_FORBIDDEN
    if now >= repeat_until(settings, first.started_at):
        return SendDenial.WINDOW_OVER
    if settings.deduplication_scope is DeduplicationScope.ALL:
        return None
    if first_endpoint is None:
        same_scope = candidate.endpoint_id == first.endpoint_id
    elif settings.deduplication_scope is DeduplicationScope.ZONE:
        same_scope = candidate.zone == first_endpoint.zone
    else:
        same_scope = candidate.cell == first_endpoint.cell
    return None if same_scope else SendDenial.REPEAT_FORBIDDEN


def may_reject(settings: ClassSettings, may_have_run: bool) -> bool:
    """Whether a request of this class may be rejected, which tells the client that a retry does no harm."""
    if settings.idempotency is Idempotency.IDEMPOTENT or not may_have_run:
        return True
    return (
        settings.idempotency is Idempotency.WITH_KEY
        and settings.deduplication_scope is DeduplicationScope.ALL
    )
