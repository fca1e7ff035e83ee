"""Encodes the decision module: endpoints, popularity, outlier detection, slow start, loads and requests."""

from __future__ import annotations

import math
from typing import Any

from edge_router.decision.candidate_selector import CandidateSelector
from edge_router.decision.class_work import ClassWork
from edge_router.decision.copy_tracker import CopyTracker
from edge_router.decision.endpoint_directory import EndpointDirectory
from edge_router.decision.link_load import LinkLoad
from edge_router.decision.link_loads import LinkLoads
from edge_router.decision.outcome_recorder import OutcomeRecorder
from edge_router.decision.outlier_detection import OutlierDetector
from edge_router.decision.pending_request import AttemptRecord, PendingRequest
from edge_router.decision.policy import RoutingPolicy
from edge_router.decision.popularity import Popularity
from edge_router.decision.purges import RecentPurges
from edge_router.decision.retry_budget import RetryBudget
from edge_router.decision.slow_start import SlowStartBudget
from edge_router.model_checker.fingerprint.common import (
    DERIVED,
    FIXED,
    REFERENCE,
    REPORTED,
    Fields,
    Ledger,
    ReferenceFrame,
    rounded,
)

DECISION: Ledger = {
    RoutingPolicy: Fields(
        "directory popularity purges pending loads copies class_work retry_budget",
        {
            "_settings": FIXED,
            "_random": "replaced by a source without state, which always returns the middle of the range",
            "_actions": "empty between steps: the actions of an event are handed over when it is handled",
            "_handlers": FIXED,
            "candidates": REFERENCE,
            "outcomes": REFERENCE,
            "handle": "replaced by the wrapper that notifies the observer",
        },
    ),
    EndpointDirectory: Fields(
        "endpoints cache_outliers source_outliers cache_budget parent_budget",
        {
            "_settings": FIXED,
            "_ejection_time": FIXED,
            "max_rankings": FIXED,
            "_selectable": DERIVED,
            "origins": DERIVED,
            "parents": DERIVED,
            "caches": DERIVED,
        },
    ),
    LinkLoads: Fields(
        "by_endpoint fill_wait origin zone_link",
        {
            "_settings": FIXED,
            "_directory": REFERENCE,
            "_client_bandwidth": FIXED,
            "_shortest_objective": FIXED,
            "_zone_share": FIXED,
            "_congestion_threshold": FIXED,
            "_zone_link_transfers": FIXED,
        },
    ),
    CopyTracker: Fields("last_used", {"_lifetime": FIXED, "_purges": REFERENCE, "max_copies": FIXED}),
    RetryBudget: Fields("tokens", {"ratio": FIXED, "burst": FIXED}),
    CandidateSelector: Fields("", {"_directory": REFERENCE, "_loads": REFERENCE, "_popularity": REFERENCE}),
    OutcomeRecorder: Fields(
        "",
        {
            "_directory": REFERENCE,
            "_loads": REFERENCE,
            "_popularity": REFERENCE,
            "_copies": REFERENCE,
            "_report": REFERENCE,
        },
    ),
    PendingRequest: Fields(
        "work deadline latency_objective attempts missed avoids_origin tried_endpoints failed_sources",
        {"request": DERIVED, "settings": DERIVED, "rejection_reason": REPORTED},
    ),
    AttemptRecord: Fields(
        "endpoint_id source_id started_at overdue_at fill_expected parent_charge concurrent_attempts "
        "concurrent_fills in_flight may_have_run overdue",
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
        {
            "_retention": FIXED,
            "_next_cleanup_at": "time of the next cleanup, which only drops purges without effect",
        },
    ),
    Popularity: Fields(
        "_counts _total_count _total_kb _weight_origin _request_count _next_ranking_at _top_set_min_count "
        "_rank_cutoffs",
        {"_half_life": FIXED, "max_objects": FIXED},
    ),
}


def encode_policy(policy: RoutingPolicy, frame: ReferenceFrame) -> tuple[Any, ...]:
    """Encodes the decision module as tuples that can be sorted and compared."""
    directory, loads = policy.directory, policy.loads
    return (
        tuple(frame.endpoint(directory.endpoints[key]) for key in sorted(directory.endpoints)),
        _popularity(policy.popularity, frame),
        tuple(_outliers(each, frame) for each in (directory.cache_outliers, directory.source_outliers)),
        tuple(_slow_start(each, frame) for each in (directory.cache_budget, directory.parent_budget)),
        tuple(
            (key, frame.time(purge.purged_at), frame.time(purge.received_at))
            for key, purge in sorted(policy.purges._purges.items())
        ),
        tuple(
            sorted(
                (frame.request_position(number), *_pending(each, frame))
                for number, each in policy.pending.items()
            )
        ),
        tuple((key, *_load(load, frame)) for key, load in sorted(loads.by_endpoint.items())),
        rounded(loads.fill_wait),
        _load(loads.origin, frame),
        _load(loads.zone_link, frame),
        tuple((key, frame.time(at)) for key, at in sorted(policy.copies.last_used.items())),
        tuple(map(_class_work, policy.class_work)),
        rounded(policy.retry_budget.tokens),
    )


def _class_work(work: ClassWork) -> tuple[float, ...]:
    means = (work.stated_share, work.stated, work.observed)
    return tuple(rounded(value) for each in means for value in (each.samples, each.mean))


def _popularity(popularity: Popularity, frame: ReferenceFrame) -> tuple[Any, ...]:
    counts = tuple(
        (key, rounded(item.size_kb), rounded(item.count), item.segments)
        for key, item in sorted(popularity._counts.items())
    )
    return (
        counts,
        rounded(popularity._total_count),
        rounded(popularity._total_kb),
        frame.time(popularity._weight_origin),
        popularity._request_count,
        popularity._next_ranking_at,
        rounded(popularity._top_set_min_count),
        popularity._rank_cutoffs,
    )


def _outliers(detectors: dict[int, OutlierDetector], frame: ReferenceFrame) -> tuple[Any, ...]:
    """Encodes the outlier detectors that have recorded anything."""
    return tuple(
        (key, *encoded)
        for key, detector in sorted(detectors.items())
        if (encoded := _outlier(detector, frame)) is not None
    )


def _outlier(detector: OutlierDetector, frame: ReferenceFrame) -> tuple[float, ...] | None:
    """Encodes the outlier detector of an endpoint; returns None if it has recorded nothing."""
    encoded = (
        frame.time(detector.last_success),
        float(detector.failure_score),
        frame.time(detector.ejected_until),
        frame.time(detector.last_reset),
    )
    return None if encoded == (-math.inf, 0.0, -math.inf, -math.inf) else encoded


def _slow_start(budget: SlowStartBudget, frame: ReferenceFrame) -> tuple[Any, ...]:
    return tuple(
        (key, tuple((frame.time(each.charged_at), rounded(each.work)) for each in charges))
        for key, charges in sorted(budget.charges.items())
    )


def _load(load: LinkLoad, frame: ReferenceFrame) -> tuple[Any, ...]:
    """Encodes the load of a link."""
    return (
        rounded(load.capacity),
        rounded(load.headroom),
        load.in_flight,
        rounded(load.in_flight_work),
        rounded(load.transfer_time),
        rounded(load.transfer_work),
        frame.time(load.updated_at),
    )


def _attempt(attempt: AttemptRecord, frame: ReferenceFrame) -> tuple[Any, ...]:
    return (
        attempt.endpoint_id,
        attempt.source_id,
        frame.time(attempt.started_at),
        frame.time(attempt.overdue_at),
        attempt.fill_expected,
        frame.time(attempt.parent_charge.charged_at),
        rounded(attempt.parent_charge.work),
        attempt.concurrent_attempts,
        attempt.concurrent_fills,
        attempt.in_flight,
        attempt.may_have_run,
        attempt.overdue,
    )


def _pending(pending: PendingRequest, frame: ReferenceFrame) -> tuple[Any, ...]:
    """Encodes a request that is pending in the decision module."""
    return (
        rounded(pending.work),
        frame.time(pending.deadline),
        rounded(pending.latency_objective),
        tuple(_attempt(attempt, frame) for attempt in pending.attempts),
        pending.missed,
        pending.avoids_origin,
        tuple(sorted(pending.tried_endpoints)),
        tuple(sorted(pending.failed_sources)),
    )
