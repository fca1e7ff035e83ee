"""The clients of the router model: the requests of the scope, over one FastCGI connection."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum

from edge_router.decision.messages import Endpoint, EndpointState, RequestReceived
from edge_router.decision.placement import RendezvousHash, segment_key
from edge_router.decision.settings import Idempotency
from edge_router.model_checker.model.endpoints import FIRST_CACHE
from edge_router.model_checker.model.harness import Harness
from edge_router.model_checker.model_settings import CACHE, CLASS_ORDER, CLASSES
from edge_router.model_checker.observations import RequestState, ResponseKind
from edge_router.model_checker.peers import (
    ClientRequestFields,
    ClientSocket,
    ModelClientSession,
    request_bytes,
)
from edge_router.model_checker.scope import Scope
from edge_router.protocol import fastcgi
from edge_router.protocol.fastcgi import ProtocolStatus, RecordType
from edge_router.proxy.admission import RESPONSE_MARGIN
from edge_router.proxy.request_router import BACKSTOP_DELAY

CLIENT_TIMEOUT = 400.0  # milliseconds that clients wait
BODY = b"b" * 8
ETAG = "aa11"  # the tag of every copy
IDEMPOTENCY_KEY = "k1"

_STATUS_LINE = len("Status: 200")
_RESPONSE_KINDS = {
    "Status: 200": ResponseKind.SERVED,
    "Status: 503": ResponseKind.REJECTED,
    "Status: 502": ResponseKind.FAILED,
}


class Progress(StrEnum):
    """How far a client is with a request of the scope."""

    NOT_SENT = "unasked"
    SENT = "asked"
    RETRIED = "retried"  # the client has sent it again, as a request of its own


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request of the scope."""

    class_name: str
    progress: Progress = Progress.NOT_SENT


def request_id_at(place: int) -> str:
    """The id of the request at a place in the scope."""
    return f"{place + 1:016x}"


def place_of(request_id: str) -> int:
    """The place in the scope of the request of that id."""
    return int(request_id, 16) - 1


def _object_key(class_name: str, caches: tuple[int, ...]) -> int:
    """The least object of the class whose caches in hash order are those, so that c1 is always its home."""
    ring = RendezvousHash(
        [Endpoint(endpoint_id, CACHE, 0.0, EndpointState.READY, 0, 1, 1.0) for endpoint_id in caches], False
    )
    key = 1000 * (1 + CLASS_ORDER.index(class_name))
    while ring.ranked(segment_key(RequestReceived(1, 0, key, 0.0, 0.0, 0, 0))) != caches:
        key += 1
    return key


class Clients:
    """The client connection and the requests on it."""

    def __init__(self, harness: Harness, scope: Scope) -> None:
        self._harness = harness
        self._scope = scope
        self.requests = [ClientRequest(class_name) for class_name in scope.requests]
        self.partial_responses: dict[
            int, bytes
        ] = {}  # the part of each answer that has arrived, by FastCGI id
        self.session = self._open_session()
        caches = tuple(FIRST_CACHE + place for place in range(scope.caches))
        self._objects = {name: _object_key(name, caches) for name in set(scope.requests)}

    def _open_session(self) -> ModelClientSession:
        harness = self._harness
        return ModelClientSession(
            ClientSocket(self._record_received), harness.front, harness.clock.now, harness.budget
        )

    def purged_object(self) -> int:
        """The object that a purge strikes: that of the first class which is cached at all."""
        cached = [name for name in self._scope.requests if not CLASSES[name].uncacheable]
        return self._objects[cached[0] if cached else self._scope.requests[0]]

    def _record_received(self, kind: int, ident: int, content: bytes) -> None:
        """A FastCGI record has reached the client."""
        if kind == RecordType.STDOUT:
            self.partial_responses[ident] = self.partial_responses.get(ident, b"") + content
        elif kind == RecordType.END_REQUEST:
            answer = self.partial_responses.pop(ident, b"")
            if answer:
                self._response_received(ident, answer)
            elif content[4] == ProtocolStatus.OVERLOADED:
                self._harness.observer.client_response_received(
                    request_id_at(ident - 1), ResponseKind.REJECTED, b""
                )
            # otherwise it is the end of a request that was aborted

    def _response_received(self, ident: int, answer: bytes) -> None:
        head, _, body = answer.partition(b"\r\n\r\n")
        kind = _RESPONSE_KINDS.get(head.decode("latin-1")[:_STATUS_LINE], ResponseKind.FAILED)
        if b"X-Notmod" in head:
            kind = ResponseKind.NOT_MODIFIED
        self._harness.observer.client_response_received(request_id_at(ident - 1), kind, body)

    # -- steps --

    def send_request(self, place: int) -> None:
        """A request comes in, on a new connection if the last one has ended."""
        class_name = self.requests[place].class_name
        self._set_progress(place, Progress.SENT)
        request_id, harness = request_id_at(place), self._harness
        deadline = min(
            harness.now + CLIENT_TIMEOUT - RESPONSE_MARGIN, harness.router.admission.latest_deadline
        )
        harness.observer.request_received(request_id, class_name, deadline + BACKSTOP_DELAY)
        if self.session.finished:
            self.session = self._open_session()
        settings = CLASSES[class_name]
        request = ClientRequestFields(
            class_name=class_name,
            request_id=request_id,
            object_key=self._objects[class_name],
            timeout=CLIENT_TIMEOUT,
            etag=ETAG if self._scope.seen and not settings.uncacheable else None,
            body=BODY if settings.uncacheable else b"",
            idempotency_key=IDEMPOTENCY_KEY if settings.idempotency is Idempotency.WITH_KEY else None,
        )
        self.session.feed(request_bytes(place + 1, request))

    def abort(self, place: int) -> None:
        """The client aborts a request."""
        if (self.session, place + 1) in self._harness.front._open_requests:
            self._harness.observer.client_disconnected(request_id_at(place))
        # otherwise the abort crosses an answer that is on its way
        self.session.feed(fastcgi.record(RecordType.ABORT_REQUEST, place + 1))

    def retry(self, place: int) -> None:
        """The client sends an answered request once more, under a new id."""
        self._set_progress(place, Progress.RETRIED)
        self.requests.append(ClientRequest(self.requests[place].class_name))
        self.send_request(len(self.requests) - 1)

    def _set_progress(self, place: int, progress: Progress) -> None:
        self.requests[place] = replace(self.requests[place], progress=progress)

    def disconnect(self) -> None:
        """The client closes its connection."""
        self.session.sock.disconnected = True
        self.session.closing = True
        self._harness.observer.all_clients_disconnected()

    def stall(self) -> None:
        """The client accepts no bytes."""
        self.session.sock.writable_bytes = 0

    def unstall(self) -> None:
        """The client accepts bytes again."""
        self.session.unstall()

    def end_session(self) -> None:
        """The router ends the client connection."""
        self.session.finished = True
        self._harness.observer.all_clients_disconnected()
        self.session.on_closed()

    # -- which steps are enabled --

    def enabled(self, fault_allowed: bool) -> list[str]:
        """The steps of requests, in the order of the scope."""
        steps = []
        for place, request in enumerate(self.requests):
            if request.progress is Progress.NOT_SENT:
                if self._may_send(place):
                    steps.append(f"ask {place}")
            elif fault_allowed:
                steps += self._faults_of(place, request)
        return steps

    def _may_send(self, place: int) -> bool:
        """Equal requests come in the order of the scope, on a connection that is not about to end."""
        first = self.requests[place] not in self.requests[:place]
        return first and (self.session.finished or not self.session.closing) and not self._harness.expired

    def _faults_of(self, place: int, request: ClientRequest) -> list[str]:
        observed = self._harness.observer.requests.get(request_id_at(place))
        if observed is None or self.session.closing:
            return []
        kinds, steps = self._scope.kinds, []
        if "abort" in kinds and observed.state is RequestState.OPEN:
            steps.append(f"abort {place}")
        retried_none = len(self.requests) == len(self._scope.requests)
        answered = observed.state is RequestState.ANSWERED and request.progress is Progress.SENT
        if "retry" in kinds and answered and retried_none:
            steps.append(f"retry {place}")
        return steps

    def connection_faults(self) -> list[str]:
        """The faults of the client connection that may be injected now."""
        if self.session.closing:
            return []
        kinds, steps = self._scope.kinds, []
        if "leave" in kinds and self._harness.observer.requests:
            steps.append("leave")
        if "stall" in kinds and not self.session.stalled():
            steps.append("stall")
        return steps
