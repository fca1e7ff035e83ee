"""The settings that the decisions and the proxy read, typed; `config/settings_reader.py` makes them.

Times are in milliseconds and sizes in KB. A class, zone or role is its index in the lists of the settings.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Idempotency(IntEnum):
    """Whether repeating a request of the class does harm."""

    IDEMPOTENT = 0
    WITH_KEY = 1
    NONE = 2


class DeduplicationScope(IntEnum):
    """Which caches discard repeats of a request with an idempotency key together."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of requests."""

    name: str
    priority_weight: float
    late_priority_weight: float
    latency_objective: float
    latency_objective_per_work: float
    deadline: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: float
    freshness_lifetime: float
    stale_lifetime: float
    stale_priority_weight: float
    uncacheable: bool


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one router."""

    classes: tuple[ClassSettings, ...]
    zone: int
    fleet_size: int
    routers_by_zone: tuple[int, ...]
    zone_link_bandwidth: tuple[float, ...]
    client_bandwidth: float
    parent_role: int
    origin_role: int
    coalesces_fills: bool
    endpoints_weighted: bool
    bypass_allowed: bool
    sibling_fills: str
    slow_start_initial_capacity: float
    slow_start_duration: float
    overload_factor: float
    overload_window: float
    parent_slow_start_initial_capacity: float
    parent_slow_start_duration: float
    parent_overload_factor: float
    purge_notice_time: float
    purge_settle_time: float
    drain_grace_period: float
    max_attempts: int
    hedging_allowed: bool
    cancellation_allowed: bool
    health_checks_allowed: bool
    retry_after_allowed: bool
    max_retry_after: float
    connect_timeout: float
    load_report_fields: tuple[str, ...]
    endpoint_list_polled: bool
    # Read by the edge router alone; the decisions do without them.
    zone_names: tuple[str, ...] = ()
    role_names: tuple[str, ...] = ()
    max_in_flight: int = 20_000
    max_streams_per_connection: int = 100
    connection_idle_timeout: float = 15_000.0
