"""Types that cross the border of the decision module: events and actions. No logic.

Times are milliseconds of the caller's clock, sizes are KB, nodes are opaque whole numbers.
A class, zone or kind is its place in the lists of the settings.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple

EndpointId = int


class EndpointState(IntEnum):
    """State of a listed node."""

    DRAINING = 0
    GONE = 1
    READY = 2


class UpdateKind(IntEnum):
    """Kind of list report."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Outcome(IntEnum):
    """How an attempt ended. FULL, CONNECT_FAILED, MOOT and MISS prove that it did not run."""

    OK = 0
    CANCELLED = 1
    TIMEOUT = 4
    MISS = 5
    OVERLOADED = 8
    NOT_SENT = 9
    RESET = 10
    ERROR = 13
    CONNECT_FAILED = 14
    UNKNOWN = 255


class FillResult(IntEnum):
    """What an outcome tells of the copy or the fill behind it."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_BY_ORIGIN = 3
    COALESCED = 4
    STALE_COPY = 5
    SOURCE_REFUSED = 6
    SOURCE_FAILED = 7
    SOURCE_MISS = 8
    NO_FILL_SLOT = 9
    ORIGIN_FAILED = 10


class Endpoint(NamedTuple):
    """One entry of a list of nodes."""

    endpoint_id: EndpointId
    role: int
    started_at: float
    state: EndpointState
    cell: int
    zone: int
    weight: float


class EndpointListUpdate(NamedTuple):
    """The list of nodes, or what has changed in it."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...]


class RequestReceived(NamedTuple):
    """A client's request; one final answer is owed from now on."""

    request_number: int
    class_index: int
    object_key: int
    time_remaining: float
    size_kb: float
    purge_group: int
    segment: int


class AttemptEnded(NamedTuple):
    """The end of one attempt."""

    request_number: int
    attempt_index: int
    endpoint_id: EndpointId
    outcome: Outcome
    duration: float
    request_closed: bool
    fill_result: int
    fill_wait: float
    load_report: tuple[float, ...]


class ResponseStarted(NamedTuple):
    """The answer of a streamed request has begun."""

    request_number: int
    attempt_index: int
    endpoint_id: EndpointId


class ClientDisconnected(NamedTuple):
    """The client has gone."""

    request_number: int


class TimerFired(NamedTuple):
    """A timer has fallen due."""

    token: int


class PurgeReceived(NamedTuple):
    """An object, or with key 0 a whole group, was purged `age` ago."""

    age: float
    purge_group: int
    object_key: int


class HealthCheckResult(NamedTuple):
    """The result of a probe."""

    endpoint_id: EndpointId
    healthy: bool
    duration: float
    load_report: tuple[float, ...]


Event = (
    EndpointListUpdate
    | RequestReceived
    | AttemptEnded
    | ResponseStarted
    | ClientDisconnected
    | TimerFired
    | PurgeReceived
    | HealthCheckResult
)


class FillMode(IntEnum):
    """Bits of an order to fill."""

    COALESCE = 1
    CACHED_ONLY = 2
    NO_PARENT_CACHING = 4
    BACKGROUND_REFRESH = 8


class StartAttempt(NamedTuple):
    """Ask a cache, with orders for a miss."""

    request_number: int
    endpoint_id: EndpointId
    deadline: float
    source_id: EndpointId
    cache_rank: int
    max_age: float
    fill_mode: int
    start_before: float = float("inf")  # not to be begun from then on: a repeat would be none any more


class CancelAttempt(NamedTuple):
    """End the wait for one attempt."""

    request_number: int
    attempt_index: int


class RejectionReason(StrEnum):
    """Why a request was rejected; for the log and the statistics."""

    CLASS = "class"  # its class is unknown
    NO_CACHE = "no_cache"  # no cache could take it
    TIME = "time"  # its deadline has passed
    RETRY_BUDGET = "retry_budget"
    LINK = "link"  # the zone's link is overloaded
    ORIGIN = "origin"  # the origin is overloaded


class Reject(NamedTuple):
    """Final answer: rejected, a retry is harmless."""

    request_number: int
    retry_after: float
    reason: str = ""  # for the operators


class Fail(NamedTuple):
    """Final answer: failed, nothing is promised."""

    request_number: int


class SetTimer(NamedTuple):
    """Ask for a Due event."""

    token: int
    fire_at: float


class StartHealthCheck(NamedTuple):
    """Ask a node for its health."""

    endpoint_id: EndpointId


class WatchEndpoints(NamedTuple):
    """Subscribe to changes of the list."""


class LogMessage(NamedTuple):
    """A line for the operators."""

    text: str


Action = (
    StartAttempt | CancelAttempt | Reject | Fail | SetTimer | StartHealthCheck | WatchEndpoints | LogMessage
)
