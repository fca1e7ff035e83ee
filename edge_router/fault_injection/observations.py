"""What clients, caches, the proxy and the change log observed of the routers in one run.

Times (`at` and fields that end in `_at`) are seconds of the machine's monotonic clock, which all processes
share. A time is None if the event has not happened.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from edge_router.fault_injection.messages import Message
from edge_router.fault_injection.protocol import EndpointState


@dataclass(slots=True)
class AttemptStarted(Message):
    """The proxy has received a complete fetch from a router, whether or not it forwards it."""

    at: float  # when the first byte of the fetch arrived
    cache_id: int
    request_id: str
    class_name: str
    limit_ms: float  # time limit that the router gave the cache
    source_id: int  # id of the endpoint that the router named as the source of the fill; 0 for none
    proxy_delay: float  # seconds by which `at` may be late because the proxy itself was delayed


@dataclass(slots=True)
class FetchReceived(Message):
    """A cache has received a complete fetch command."""

    at: float
    cache_id: int
    request_id: str
    cache_started_ms: int  # Unix milliseconds


@dataclass(slots=True)
class CacheResponse(Message):
    """A cache has responded to a fetch."""

    at: float
    cache_id: int
    request_id: str
    status: str
    copy_created_ms: int  # Unix milliseconds


Report = AttemptStarted | FetchReceived | CacheResponse


@dataclass(slots=True)
class ClientRequest:
    """One request of a client, with its cancellation, its answer or the loss of its connection."""

    request_id: str
    router: str
    class_name: str
    object_id: str
    segment: int  # index of the requested segment of the object
    group: int  # purge group of the object
    timeout: float  # seconds
    client_etag: str = ""  # entity tag of the client's stored copy, if this request sends it
    sent_at: float | None = None  # when its last byte was written
    # When the client sent an abort, or closed the connection to cancel this or another request on it.
    cancelled_at: float | None = None
    answered_at: float | None = None  # when the record that ends the request was read
    connection_lost_at: float | None = None  # when the connection ended unanswered, closed by either side
    answer_count: int = 0  # 1 at most, since clients ignore a second END_REQUEST record
    parse_error: str | None = None  # why the answer could not be parsed
    status: int | None = None  # of the answer; 503 if its FastCGI protocol status is OVERLOADED
    not_modified: bool = False  # whether the answer says that the client's copy is current
    response_etag: str = ""  # entity tag in the answer
    body: bytes = b""  # of the answer


@dataclass(slots=True)
class EndpointChangeSent:
    """The new state of an endpoint in a router's change log; `at` is when it was first sent to the router."""

    at: float | None
    router: str
    endpoint_id: int
    state: EndpointState
    started_ms: int = 0  # Unix milliseconds; 0 where the change log leaves it out


@dataclass(slots=True)
class PurgeSent:
    """A purge in a router's change log: of one object, or else of all objects of a purge group.

    `at` is when it was first sent to the router.
    """

    at: float | None
    router: str
    purged_at_ms: int  # Unix milliseconds
    object_id: str | None = None
    group: int | None = None

    def covers(self, request: ClientRequest) -> bool:
        """Whether the purge applies to the requested object."""
        if self.object_id is not None:
            return self.object_id == request.object_id
        return self.group == request.group


@dataclass(slots=True)
class RouterRun:
    """One router process from its start to its end."""

    router: str
    started_at: float
    ready_at: float | None = None
    sigterm_at: float | None = None
    sigkill_at: float | None = None
    ended_at: float | None = None
    exit_code: int | None = None
    log: str = ""


@dataclass(slots=True)
class Observations:
    """All observations of one run."""

    requests: list[ClientRequest] = field(default_factory=list)
    attempts: list[AttemptStarted] = field(default_factory=list)
    fetches: list[FetchReceived] = field(default_factory=list)
    cache_responses: list[CacheResponse] = field(default_factory=list)
    endpoint_changes: list[EndpointChangeSent] = field(default_factory=list)
    purges: list[PurgeSent] = field(default_factory=list)
    router_runs: list[RouterRun] = field(default_factory=list)
    # Names of the routers that had not been sent all events of their change log at the end of the run.
    routers_behind_change_log: list[str] = field(default_factory=list)
    max_harness_delay: float = 0.0  # seconds; largest delay with which the clients sent a request

    def add_report(self, report: Report) -> None:
        """Records a report of a process."""
        if isinstance(report, AttemptStarted):
            self.attempts.append(report)
        elif isinstance(report, FetchReceived):
            self.fetches.append(report)
        else:
            self.cache_responses.append(report)

    def add_change(self, change: EndpointChangeSent | PurgeSent) -> None:
        """Records an event that the change log has sent to a router."""
        if isinstance(change, EndpointChangeSent):
            self.endpoint_changes.append(change)
        else:
            self.purges.append(change)
