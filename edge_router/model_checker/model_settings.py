"""The classes of requests and the settings of the modelled router."""

from __future__ import annotations

from edge_router.decision.settings import ClassSettings, DeduplicationScope, Idempotency, Settings

# Times are short, so that few alarms fall between a request and its end: only their order matters.
DEADLINE = 400.0  # milliseconds
CLASSES = {
    "image": ClassSettings(
        "image",
        1.0,
        0.2,
        200.0,
        0.0,
        DEADLINE,
        Idempotency.IDEMPOTENT,
        DeduplicationScope.ALL,
        0.0,
        0.0,
        0.0,
        0.5,
        False,
    ),
    "confirm": ClassSettings(
        "confirm",
        3.0,
        0.0,
        200.0,
        0.0,
        DEADLINE,
        Idempotency.NONE,
        DeduplicationScope.ALL,
        0.0,
        0.0,
        0.0,
        0.5,
        True,
    ),
    "stock": ClassSettings(
        "stock",
        2.0,
        0.0,
        200.0,
        0.0,
        DEADLINE,
        Idempotency.WITH_KEY,
        DeduplicationScope.CELL,
        100.0,
        0.0,
        0.0,
        0.5,
        True,
    ),
    "page": ClassSettings(
        "page",
        1.0,
        0.2,
        200.0,
        0.0,
        DEADLINE,
        Idempotency.IDEMPOTENT,
        DeduplicationScope.ALL,
        0.0,
        300.0,
        0.0,
        0.5,
        False,
    ),
}
CLASS_ORDER = tuple(CLASSES)
CACHE, PARENT, ORIGIN = range(3)
PURGE_SETTLE_TIME = 800.0


def model_settings(max_attempts: int, cancellation_allowed: bool = True) -> Settings:
    """The settings of every scope: one zone with caches, a parent and an origin elsewhere."""
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
