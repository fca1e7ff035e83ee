"""The events and actions that cross the border of the decision module; no logic.

Source: WIRE and BENCH. Times are milliseconds of the caller's clock, sizes KB, endpoint ids opaque integers.
A class, zone or role is its index in the lists of the settings.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple

EndpointId = int


class EndpointState(IntEnum):
    """State of a listed endpoint."""

    DRAINING = 0
    GONE = 1
    READY = 2


class UpdateKind(IntEnum):
    """Kind of an update of the endpoint list."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Outcome(IntEnum):
    """How an attempt ended. OVERLOADED, CONNECT_FAILED, NOT_SENT and MISS prove that it did not run."""

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
    """One entry of the endpoint list."""

    endpoint_id: EndpointId
    role: int
    started_at: float
    state: EndpointState
    cell: int
    zone: int
    weight: float


class EndpointListUpdate(NamedTuple):
    """The endpoint list, or what has changed in it."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...]


class RequestReceived(NamedTuple):
    """A client's request, which must get exactly one final answer."""

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
    """The response of a streamed request has started."""

    request_number: int
    attempt_index: int
    endpoint_id: EndpointId


class ClientDisconnected(NamedTuple):
    """The client has disconnected."""

    request_number: int


class TimerFired(NamedTuple):
    """A timer has fired."""

    token: int


class PurgeReceived(NamedTuple):
    """An object, or with key 0 a whole group, was purged `age` milliseconds ago."""

    age: float
    purge_group: int
    object_key: int


class HealthCheckResult(NamedTuple):
    """The result of a health check."""

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
    """Flags that tell a cache how to fill on a miss."""

    COALESCE = 1
    CACHED_ONLY = 2
    NO_PARENT_CACHING = 4
    BACKGROUND_REFRESH = 8


class StartAttempt(NamedTuple):
    """Sends the request to a cache, with instructions for a miss."""

    request_number: int
    endpoint_id: EndpointId
    deadline: float
    source_id: EndpointId
    cache_rank: int
    max_age: float
    fill_mode: int
    start_before: float = float("inf")  # later its deduplication window is over


class CancelAttempt(NamedTuple):
    """Cancels one attempt."""

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
    reason: str = ""  # a RejectionReason, for the operators


class Fail(NamedTuple):
    """Final answer: failed; a retry may do harm."""

    request_number: int


class SetTimer(NamedTuple):
    """Asks for a TimerFired event at `fire_at`."""

    token: int
    fire_at: float


class StartHealthCheck(NamedTuple):
    """Starts a health check of an endpoint."""

    endpoint_id: EndpointId


class WatchEndpoints(NamedTuple):
    """Subscribes to changes of the endpoint list."""


class LogMessage(NamedTuple):
    """A log line for the operators."""

    text: str


Action = (
    StartAttempt | CancelAttempt | Reject | Fail | SetTimer | StartHealthCheck | WatchEndpoints | LogMessage
)
