"""The events that the decision package takes, and the actions that it returns.

Times are milliseconds of the caller's clock, durations and ages milliseconds, sizes KB; endpoint ids are
opaque integers. A class, zone or role is given by its index in the lists of the settings.

Source: the operators' page `WIRE-robinbeam.md`, sections "Frames", "Requests" and "Outcome codes".
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple

EndpointId = int


class EndpointState(IntEnum):
    """The state of a listed endpoint."""

    DRAINING = 0
    GONE = 1
    READY = 2


class UpdateKind(IntEnum):
    """What an update of the endpoint list contains."""

    DELTA = 0  # only the endpoints that changed
    FULL = 1  # the whole list
    CACHED = 2  # the whole list; if lists are polled, the policy subscribes to changes
    FAILED = 3  # no list is available; the policy ignores the update


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
    """Where the response came from, or why the fill failed."""

    NONE = 0  # the cache does not say
    HIT = 1  # the cache had a copy
    FILLED = 2  # filled from the source's copy
    FILLED_BY_ORIGIN = 3  # fetched from the origin, directly or through the source
    COALESCED = 4  # waited for a fill that another request had started
    STALE_COPY = 5  # the cache had a copy past its freshness lifetime
    SOURCE_REFUSED = 6  # the source refused the fill
    SOURCE_FAILED = 7  # the source failed
    SOURCE_MISS = 8  # the source has no copy
    NO_FILL_SLOT = 9  # the cache already fills as many objects as it can
    ORIGIN_FAILED = 10  # the fetch from the origin failed


class Endpoint(NamedTuple):
    """One entry of the endpoint list.

    `weight` is the number of concurrent transfers at full bandwidth that the endpoint sustains, and also its
    weight in the rendezvous hash; it is unknown if it is not positive. The settings may say to ignore it.
    """

    endpoint_id: EndpointId
    role: int
    started_at: float
    state: EndpointState
    cell: int
    zone: int
    weight: float


class EndpointListUpdate(NamedTuple):
    """The whole endpoint list, or the endpoints that changed."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...]


class RequestReceived(NamedTuple):
    """A client's request, which must get exactly one final answer within `time_remaining`."""

    request_number: int
    class_index: int
    object_key: int
    time_remaining: float
    size_kb: float
    purge_group: int
    segment: int


class AttemptEnded(NamedTuple):
    """An attempt has ended.

    `attempt_index` counts the attempts of the request from 0, in the order in which they were started.
    `fill_result` is a `FillResult`; any other number counts as NONE. `fill_wait` is how long the fill waited
    for its first byte. `load_report` has the values of `Settings.load_report_fields`.
    `request_closed`: the request has its final answer, or its client has disconnected. `body_received`: if
    the outcome is OK, the response had the object, and did not only confirm the client's copy.
    """

    request_number: int
    attempt_index: int
    endpoint_id: EndpointId
    outcome: Outcome
    duration: float
    request_closed: bool
    fill_result: int
    fill_wait: float
    load_report: tuple[float, ...]
    body_received: bool = True


class ResponseStarted(NamedTuple):
    """The response to a streamed request has started."""

    request_number: int
    attempt_index: int
    endpoint_id: EndpointId


class ClientDisconnected(NamedTuple):
    """The client has disconnected."""

    request_number: int


class TimerFired(NamedTuple):
    """The timer that was set with this token has fired."""

    token: int


class PurgeReceived(NamedTuple):
    """An object, or with `object_key` 0 a whole purge group, was purged `age` milliseconds ago."""

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
    """Flags that control how a cache may obtain the object."""

    COALESCE = 1  # the request may wait for a fill that another one has started
    CACHED_ONLY = 2  # the object must not be fetched from the origin; a parent's copy may be used
    NO_PARENT_CACHING = 4  # the parent must not keep a copy; the policy does not set it
    BACKGROUND_REFRESH = 8  # the copy may be refreshed in the background


class StartAttempt(NamedTuple):
    """Sends the request to a cache, with instructions on how it may obtain the object.

    `source_id` is the endpoint to fill from; the cache itself if it must not fill. With `cache_rank` 0 the
    object is not cached. `max_age` is the maximum age of an acceptable copy, 0 for no limit. `fill_mode`
    combines `FillMode` flags.
    """

    request_number: int
    endpoint_id: EndpointId
    deadline: float
    source_id: EndpointId
    cache_rank: int
    max_age: float
    fill_mode: int
    start_before: float = float("inf")  # it has to start earlier, as the deduplication window ends then


class CancelAttempt(NamedTuple):
    """Cancels one attempt."""

    request_number: int
    attempt_index: int


class RejectionReason(StrEnum):
    """Why a request was rejected, for the log and the statistics."""

    CLASS = "class"  # the request's class is unknown
    NO_CACHE = "no_cache"  # no cache could take it
    TIME = "time"  # the request's deadline has passed
    RETRY_BUDGET = "retry_budget"  # the budget is used up, or no cache may take the retry
    LINK = "link"  # the zone's link is congested
    ORIGIN = "origin"  # the origin is overloaded


class Reject(NamedTuple):
    """Final answer: the request is rejected; a retry does no harm."""

    request_number: int
    retry_after: float
    reason: str = ""  # the value of a RejectionReason, for the log


class Fail(NamedTuple):
    """Final answer: the request failed; a retry may do harm."""

    request_number: int


class SetTimer(NamedTuple):
    """Requests a `TimerFired` event with this token at `fire_at`."""

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
