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
    priority_weight: float  # relative to the other classes; the admission control uses it
    late_priority_weight: float  # of a request answered after its latency objective; not used
    latency_objective: float
    latency_objective_per_work: float  # milliseconds added for each millisecond of the request's work
    deadline: float  # upper limit of the latency objective; each request has its own time limit
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: float  # from the first attempt; caches recognise repeats within it
    freshness_lifetime: float  # age up to which a copy is fresh; 0 for no limit
    stale_lifetime: float  # time after the freshness lifetime in which a stale copy may still be used
    stale_priority_weight: float  # of a request answered with a stale copy; not used
    uncacheable: bool  # caches keep no copies


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one router."""

    classes: tuple[ClassSettings, ...]
    zone: int  # the router's own
    fleet_size: int  # routers in all zones
    routers_by_zone: tuple[int, ...]
    zone_link_bandwidth: tuple[float, ...]  # of the link into each zone; 0 if unknown
    client_bandwidth: float  # at which a response is sent at full speed
    parent_role: int  # -1 if there is none
    origin_role: int  # -1 if there is none
    coalesces_fills: bool  # requests may wait for a fill that another one has started
    endpoints_weighted: bool  # the weights of endpoints are used; if not, capacities are learned
    bypass_allowed: bool  # requests may bypass the caches; not used
    sibling_fills: str  # whether caches fill from each other, "silent" if not stated; not used
    slow_start_initial_capacity: float  # part (0 to 1) of its full capacity that a cache has when it starts
    slow_start_duration: float  # time in which it reaches its full capacity
    overload_factor: float  # multiple of its capacity that overloads an endpoint within the window
    overload_window: float
    parent_slow_start_initial_capacity: float  # for parents, also the next two
    parent_slow_start_duration: float
    parent_overload_factor: float
    purge_notice_time: float  # time after receiving a purge in which an older copy may still be sent
    purge_settle_time: float  # time in which copies older than a purge disappear from the caches
    drain_grace_period: float  # not used; the policy sends nothing to a draining endpoint
    max_attempts: int  # of one request
    hedging_allowed: bool  # an attempt may be sent while another one of the request is in flight
    cancellation_allowed: bool  # attempts in flight may be cancelled
    health_checks_allowed: bool  # not used; no health check is started
    retry_after_allowed: bool  # a rejection may say after which time to retry
    max_retry_after: float
    connect_timeout: float
    load_report_fields: tuple[str, ...]  # the values that a cache reports; the decisions don't use them
    endpoint_list_polled: bool  # changes come only after the policy has subscribed to them
    # The decisions don't use the fields below.
    zone_names: tuple[str, ...] = ()
    role_names: tuple[str, ...] = ()
    max_in_flight: int = 20_000  # open requests of the router
    max_streams_per_connection: int = 100
    connection_idle_timeout: float = 15_000.0
