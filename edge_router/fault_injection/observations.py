"""What clients, caches, the proxy and the change log saw of the routers.

Moments are seconds of the machine's monotonic clock, which all processes share; a moment is None where
something never happened.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from edge_router.fault_injection.messages import Message
from edge_router.fault_injection.protocol import EndpointState


@dataclass(slots=True)
class AttemptStarted(Message):
    """The proxy saw the first byte of a fetch leave a router, whatever became of it."""

    at: float
    cache_id: int
    request_id: str
    class_name: str
    limit_ms: float  # time limit that the router passed on
    source_id: int  # endpoint named as the source of the fill; 0 for none
    proxy_delay: float  # seconds by which the proxy itself may have seen it late


@dataclass(slots=True)
class FetchReceived(Message):
    """A complete fetch command has reached a cache."""

    at: float
    cache_id: int
    request_id: str
    cache_started_ms: int  # Unix milliseconds


@dataclass(slots=True)
class CacheResponse(Message):
    """A cache has written its response to a fetch."""

    at: float
    cache_id: int
    request_id: str
    status: str
    copy_created_ms: int  # Unix milliseconds


Report = AttemptStarted | FetchReceived | CacheResponse


@dataclass(slots=True)
class ClientRequest:
    """One request of a client and what became of it."""

    request_id: str
    router: str
    class_name: str
    object_id: str
    chunk: int
    group: int
    timeout: float  # seconds
    client_etag: str = ""  # of the copy that the client has stored
    sent_at: float | None = None  # last byte written
    cancelled_at: float | None = None  # aborted, or connection closed, by the client
    answered_at: float | None = None
    connection_lost_at: float | None = None  # the router closed the connection without an answer
    answer_count: int = 0
    parse_error: str | None = None  # why the answer could not be parsed
    status: int | None = None
    not_modified: bool = False  # the answer says that the client's copy is current
    response_etag: str = ""
    body: bytes = b""


@dataclass(slots=True)
class EndpointChangeSent:
    """The change log has sent a router the new state of an endpoint."""

    at: float | None
    router: str
    endpoint_id: int
    state: EndpointState
    started_ms: int = 0  # Unix milliseconds; 0 where the change log leaves it out


@dataclass(slots=True)
class PurgeSent:
    """The change log has sent a router a purge: of one object, or else of all objects of a group."""

    at: float | None
    router: str
    purged_at_ms: int  # Unix milliseconds
    object_id: str | None = None
    group: int | None = None

    def covers(self, request: ClientRequest) -> bool:
        """Whether the requested object is purged."""
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
    """Everything seen in one run."""

    requests: list[ClientRequest] = field(default_factory=list)
    attempts: list[AttemptStarted] = field(default_factory=list)
    fetches: list[FetchReceived] = field(default_factory=list)
    cache_responses: list[CacheResponse] = field(default_factory=list)
    endpoint_changes: list[EndpointChangeSent] = field(default_factory=list)
    purges: list[PurgeSent] = field(default_factory=list)
    router_runs: list[RouterRun] = field(default_factory=list)
    routers_behind_change_log: list[str] = field(default_factory=list)  # at the end of the run
    max_harness_delay: float = 0.0  # seconds by which the clients sent a request late, at the most

    def add_report(self, report: Report) -> None:
        """Records what a process has reported."""
        if isinstance(report, AttemptStarted):
            self.attempts.append(report)
        elif isinstance(report, FetchReceived):
            self.fetches.append(report)
        else:
            self.cache_responses.append(report)

    def add_change(self, change: EndpointChangeSent | PurgeSent) -> None:
        """Records what the change log has sent to a router."""
        if isinstance(change, EndpointChangeSent):
            self.endpoint_changes.append(change)
        else:
            self.purges.append(change)
