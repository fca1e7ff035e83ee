"""The classes of requests and the settings of the modelled router."""

from __future__ import annotations

from dataclasses import replace

from edge_router.decision.settings import ClassSettings, DeduplicationScope, Idempotency, Settings

# Only the order of times matters here. They are short, so that few timers fire before a request ends.
DEADLINE = 400.0  # milliseconds
_IMAGE = ClassSettings(
    name="image",
    priority_weight=1.0,
    late_priority_weight=0.2,
    latency_objective=200.0,
    latency_objective_per_work=0.0,
    deadline=DEADLINE,
    idempotency=Idempotency.IDEMPOTENT,
    deduplication_scope=DeduplicationScope.ALL,
    deduplication_window=0.0,
    freshness_lifetime=0.0,
    stale_lifetime=0.0,
    stale_priority_weight=0.5,
    uncacheable=False,
)
_CONFIRM = replace(
    _IMAGE,
    name="confirm",
    priority_weight=3.0,
    late_priority_weight=0.0,
    idempotency=Idempotency.NONE,
    uncacheable=True,
)
_STOCK = replace(
    _CONFIRM,
    name="stock",
    priority_weight=2.0,
    idempotency=Idempotency.WITH_KEY,
    deduplication_scope=DeduplicationScope.CELL,
    deduplication_window=100.0,
)
_PAGE = replace(_IMAGE, name="page", freshness_lifetime=300.0)
CLASSES = {each.name: each for each in (_IMAGE, _CONFIRM, _STOCK, _PAGE)}
CLASS_ORDER = tuple(CLASSES)
CACHE, PARENT, ORIGIN = range(3)  # roles of endpoints
PURGE_SETTLE_TIME = 800.0  # milliseconds


def model_settings(max_attempts: int, cancellation_allowed: bool = True) -> Settings:
    """Returns the settings of every scope: caches in the router's zone, parents and origins in another."""
    return Settings(
        classes=tuple(CLASSES.values()),
        zone=1,
        fleet_size=1,
        routers_by_zone=(0, 1),
        zone_link_bandwidth=(0.0, 1e6),
        client_bandwidth=1000.0,
        parent_role=PARENT,
        origin_role=ORIGIN,
        coalesces_fills=True,
        endpoints_weighted=False,
        bypass_allowed=False,
        sibling_fills="silent",
        slow_start_initial_capacity=0.25,
        slow_start_duration=2000.0,
        overload_factor=4.0,
        overload_window=300.0,
        parent_slow_start_initial_capacity=0.25,
        parent_slow_start_duration=2000.0,
        parent_overload_factor=4.0,
        purge_notice_time=100.0,
        purge_settle_time=PURGE_SETTLE_TIME,
        drain_grace_period=100.0,
        max_attempts=max_attempts,
        hedging_allowed=True,
        cancellation_allowed=cancellation_allowed,
        health_checks_allowed=False,
        retry_after_allowed=True,
        max_retry_after=100.0,
        connect_timeout=100.0,
        load_report_fields=("busy", "x0"),
        endpoint_list_polled=False,
        zone_names=("hub", "edge"),
        role_names=("box", "parent", "origin"),
        max_in_flight=64,
        max_streams_per_connection=4,
        connection_idle_timeout=500.0,
    )
