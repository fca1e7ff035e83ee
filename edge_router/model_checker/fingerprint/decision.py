"""The state of the decision module: its list, popularity, health, budgets and requests."""

from __future__ import annotations

import math
from typing import Any

from edge_router.decision import policy
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
        "_loads _wait _origin _link _copies _mean_work _hedges",
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
    policy.PendingRequest: Fields(
        "work deadline aim attempts missed spares tried bad_sources",
        {"request": DERIVED, "cls": DERIVED, "why": REPORTED},
    ),
    policy.AttemptRecord: Fields(
        "node source sent due fills budget beside filling pending may_have_run overdue",
        {"load": DERIVED, "source_load": DERIVED},
    ),
    policy.Load: Fields("carries room span out work took sent at", {}),
    policy.Health: Fields("heard marks until broke", {}),
    policy.ColdBudget: Fields(
        "sent", {"_from": FIXED, "_warm_up": FIXED, "_multiple": FIXED, "_window": FIXED}
    ),
    policy.Purges: Fields(
        "_moments",
        {"_lasts": FIXED, "_next_sweep": "when what is over is dropped; it has no effect"},
    ),
    policy.Popularity: Fields(
        "_table _total _bytes _origin _seen _rebuild_at _least _cuts",
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
            for key, (at, told) in sorted(director._purges._moments.items())
        ),
        tuple(sorted((frame.place(req), *_held(held, frame)) for req, held in director._held.items())),
        tuple((key, *_load(load, frame)) for key, load in sorted(director._loads.items())),
        rounded(director._wait),
        _load(director._origin, frame),
        _load(director._link, frame),
        tuple((key, frame.time(at)) for key, at in sorted(director._copies.items())),
        tuple((count, rounded(mean)) for count, mean in director._mean_work),
        rounded(director._hedges),
    )


def _popularity(popularity: policy.Popularity, frame: Frame) -> tuple[Any, ...]:
    table = tuple(
        (key, rounded(item.size), rounded(item.count), item.parts)
        for key, item in sorted(popularity._table.items())
    )
    return (
        table,
        rounded(popularity._total),
        rounded(popularity._bytes),
        frame.time(popularity._origin),
        popularity._seen,
        popularity._rebuild_at,
        rounded(popularity._least),
        popularity._cuts,
    )


def _known_health(nodes: dict[int, policy.Health], frame: Frame) -> tuple[Any, ...]:
    """The health of the nodes of which anything is known."""
    return tuple(
        (key, *found)
        for key, health in sorted(nodes.items())
        if (found := _health(health, frame)) is not None
    )


def _health(health: policy.Health, frame: Frame) -> tuple[float, ...] | None:
    """A node's health; None if nothing is known."""
    found = (
        frame.time(health.heard),
        float(health.marks),
        frame.time(health.until),
        frame.time(health.broke),
    )
    return None if found == (-math.inf, 0.0, -math.inf, -math.inf) else found


def _cold_budget(budget: policy.ColdBudget, frame: Frame) -> tuple[Any, ...]:
    return tuple(
        (key, tuple((frame.time(at), rounded(work)) for at, work in entries))
        for key, entries in sorted(budget.sent.items())
    )


def _load(load: policy.Load, frame: Frame) -> tuple[Any, ...]:
    """The load of a link."""
    return (
        rounded(load.carries),
        rounded(load.room),
        load.out,
        rounded(load.work),
        rounded(load.took),
        rounded(load.sent),
        frame.time(load.at),
    )


def _attempt(attempt: policy.AttemptRecord, frame: Frame) -> tuple[Any, ...]:
    return (
        attempt.node,
        attempt.source,
        frame.time(attempt.sent),
        frame.time(attempt.due),
        attempt.fills,
        frame.time(attempt.budget[0]),
        rounded(attempt.budget[1]),
        attempt.beside,
        attempt.filling,
        attempt.pending,
        attempt.may_have_run,
        attempt.overdue,
    )


def _held(held: policy.PendingRequest, frame: Frame) -> tuple[Any, ...]:
    """A request that the decision module has in flight."""
    return (
        rounded(held.work),
        frame.time(held.deadline),
        rounded(held.aim),
        tuple(_attempt(attempt, frame) for attempt in held.attempts),
        held.missed,
        held.spares,
        tuple(sorted(held.tried)),
        tuple(sorted(held.bad_sources)),
    )
