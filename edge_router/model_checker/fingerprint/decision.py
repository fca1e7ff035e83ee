"""The state of the decision module: its list, popularity, health, budgets and requests."""

from __future__ import annotations

import math
from typing import Any

from edge_router.decision import policy
from edge_router.decision.link_load import LinkLoad
from edge_router.decision.outlier_detection import OutlierDetector
from edge_router.decision.pending_request import AttemptRecord, PendingRequest
from edge_router.decision.popularity import Popularity
from edge_router.decision.purges import RecentPurges
from edge_router.decision.slow_start import SlowStartBudget
from edge_router.model_checker.fingerprint.common import (
    DERIVED,
    FIXED,
    REPORTED,
    Fields,
    Frame,
    Ledger,
    rounded,
)

DECISION: Ledger = {
    policy.RoutingPolicy: Fields(
        "_listed _popularity _cache_health _source_health _cold_caches _cold_parents _purges _held "
        "_loads _wait _origin _link _copies _mean_work _retry_budget",
        {
            "_set": FIXED,
            "_pace": FIXED,
            "_shortest": FIXED,
            "_random": "always the middle here",
            "_zone_share": FIXED,
            "_crowded_at": FIXED,
            "_link_size": FIXED,
            "_out": "handed over already",
            "_origins": DERIVED,
            "_parents": DERIVED,
            "_caches": DERIVED,
            "_pause": FIXED,
            "_handlers": FIXED,
            "handle": "wrapped for the observer",
        },
    ),
    PendingRequest: Fields(
        "work deadline latency_objective attempts missed spares_origin tried_endpoints failed_sources",
        {"request": DERIVED, "settings": DERIVED, "rejection_reason": REPORTED},
    ),
    AttemptRecord: Fields(
        "endpoint_id source_id sent_at overdue_at fill_expected parent_charge concurrent_attempts "
        "concurrent_fills pending may_have_run overdue",
        {"cache_load": DERIVED, "source_load": DERIVED},
    ),
    LinkLoad: Fields(
        "capacity headroom shortest_objective in_flight in_flight_work transfer_time transfer_work "
        "updated_at",
        {},
    ),
    OutlierDetector: Fields("last_success failure_score ejected_until last_reset", {}),
    SlowStartBudget: Fields(
        "charges",
        {
            "_initial_capacity": FIXED,
            "_duration": FIXED,
            "_overload_factor": FIXED,
            "_overload_window": FIXED,
        },
    ),
    RecentPurges: Fields(
        "_purges",
        {"_retention": FIXED, "_next_cleanup_at": "when what is over is dropped; it has no effect"},
    ),
    Popularity: Fields(
        "_counts _total_count _total_kb _weight_origin _request_count _next_ranking_at _top_set_min_count "
        "_rank_cutoffs",
        {"_half_life": FIXED},
    ),
}


def encode_director(director: policy.RoutingPolicy, frame: Frame) -> tuple[Any, ...]:
    """The decision module, in a form that can be sorted and compared."""
    return (
        tuple(frame.node(director._listed[key]) for key in sorted(director._listed)),
        _popularity(director._popularity, frame),
        tuple(_known_health(each, frame) for each in (director._cache_health, director._source_health)),
        tuple(_cold_budget(each, frame) for each in (director._cold_caches, director._cold_parents)),
        tuple(
            (key, frame.time(at), frame.time(told))
            for key, (at, told) in sorted(director._purges._purges.items())
        ),
        tuple(sorted((frame.place(req), *_held(held, frame)) for req, held in director._held.items())),
        tuple((key, *_load(load, frame)) for key, load in sorted(director._loads.items())),
        rounded(director._wait),
        _load(director._origin, frame),
        _load(director._link, frame),
        tuple((key, frame.time(at)) for key, at in sorted(director._copies.items())),
        tuple((each.requests, rounded(each.mean)) for each in director._mean_work),
        rounded(director._retry_budget.tokens),
    )


def _popularity(popularity: Popularity, frame: Frame) -> tuple[Any, ...]:
    table = tuple(
        (key, rounded(item.size_kb), rounded(item.count), item.segments)
        for key, item in sorted(popularity._counts.items())
    )
    return (
        table,
        rounded(popularity._total_count),
        rounded(popularity._total_kb),
        frame.time(popularity._weight_origin),
        popularity._request_count,
        popularity._next_ranking_at,
        rounded(popularity._top_set_min_count),
        popularity._rank_cutoffs,
    )


def _known_health(nodes: dict[int, OutlierDetector], frame: Frame) -> tuple[Any, ...]:
    """The health of the nodes of which anything is known."""
    return tuple(
        (key, *found)
        for key, health in sorted(nodes.items())
        if (found := _health(health, frame)) is not None
    )


def _health(health: OutlierDetector, frame: Frame) -> tuple[float, ...] | None:
    """A node's health; None if nothing is known."""
    found = (
        frame.time(health.last_success),
        float(health.failure_score),
        frame.time(health.ejected_until),
        frame.time(health.last_reset),
    )
    return None if found == (-math.inf, 0.0, -math.inf, -math.inf) else found


def _cold_budget(budget: SlowStartBudget, frame: Frame) -> tuple[Any, ...]:
    return tuple(
        (key, tuple((frame.time(each.charged_at), rounded(each.work)) for each in charges))
        for key, charges in sorted(budget.charges.items())
    )


def _load(load: LinkLoad, frame: Frame) -> tuple[Any, ...]:
    """The load of a link."""
    return (
        rounded(load.capacity),
        rounded(load.headroom),
        load.in_flight,
        rounded(load.in_flight_work),
        rounded(load.transfer_time),
        rounded(load.transfer_work),
        frame.time(load.updated_at),
    )


def _attempt(attempt: AttemptRecord, frame: Frame) -> tuple[Any, ...]:
    return (
        attempt.endpoint_id,
        attempt.source_id,
        frame.time(attempt.sent_at),
        frame.time(attempt.overdue_at),
        attempt.fill_expected,
        frame.time(attempt.parent_charge.charged_at),
        rounded(attempt.parent_charge.work),
        attempt.concurrent_attempts,
        attempt.concurrent_fills,
        attempt.pending,
        attempt.may_have_run,
        attempt.overdue,
    )


def _held(held: PendingRequest, frame: Frame) -> tuple[Any, ...]:
    """A request that the decision module has in flight."""
    return (
        rounded(held.work),
        frame.time(held.deadline),
        rounded(held.latency_objective),
        tuple(_attempt(attempt, frame) for attempt in held.attempts),
        held.missed,
        held.spares_origin,
        tuple(sorted(held.tried_endpoints)),
        tuple(sorted(held.failed_sources)),
    )
