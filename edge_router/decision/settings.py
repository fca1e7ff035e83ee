"""The typed settings that the decisions and the proxy read; `config/settings_reader.py` creates them.

Times are in milliseconds, sizes in KB and bandwidths in KB/s. A class, zone or role is given by its index in
the lists of the settings.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Idempotency(IntEnum):
    """Whether a request may run twice without harm: always, with its idempotency key, or never."""

    IDEMPOTENT = 0
    WITH_KEY = 1
    NONE = 2


class DeduplicationScope(IntEnum):
    """Which caches recognise each other's requests by the idempotency key, and discard repeats."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """The settings of one class of requests."""

    name: str
    priority_weight: float
    late_priority_weight: float
    latency_objective: float
    latency_objective_per_work: float  # milliseconds added for each millisecond of the request's work
    deadline: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: float  # from the first attempt; caches recognise repeats within it
    freshness_lifetime: float  # age up to which a copy is fresh; 0 for no limit
    stale_lifetime: float  # time after the freshness lifetime in which a stale copy may still be used
    stale_priority_weight: float
    uncacheable: bool


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one router."""

    classes: tuple[ClassSettings, ...]
    zone: int  # the router's own
    fleet_size: int  # routers in all zones
    routers_by_zone: tuple[int, ...]
    zone_link_bandwidth: tuple[float, ...]  # of the link into each zone; 0 if unknown
    client_bandwidth: float  # at which a response is sent at full speed
    parent_role: int
    origin_role: int
    coalesces_fills: bool
    endpoints_weighted: bool
    bypass_allowed: bool
    sibling_fills: str
    slow_start_initial_capacity: float
    slow_start_duration: float
    overload_factor: float  # multiple of its capacity that overloads an endpoint within the window
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
    # Read by the edge router only; the decisions don't use them.
    zone_names: tuple[str, ...] = ()
    role_names: tuple[str, ...] = ()
    max_in_flight: int = 20_000
    max_streams_per_connection: int = 100
    connection_idle_timeout: float = 15_000.0
