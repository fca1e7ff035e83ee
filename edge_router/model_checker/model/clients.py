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

CLIENT_TIMEOUT = 400.0  # milliseconds that a client waits for its answer
BODY = b"b" * 8
ETAG = "aa11"  # of every copy
IDEMPOTENCY_KEY = "k1"

_STATUS_LENGTH = len("Status: 200")
_RESPONSE_KINDS = {
    "Status: 200": ResponseKind.SERVED,
    "Status: 503": ResponseKind.REJECTED,
    "Status: 502": ResponseKind.FAILED,
}


class Progress(StrEnum):
    """How far a client is with a request of the scope; the values are part of the fingerprint."""

    NOT_SENT = "unasked"
    SENT = "asked"
    RETRIED = "retried"  # the client has sent it again as a new request


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request of the scope, or the retry of one."""

    class_name: str
    progress: Progress = Progress.NOT_SENT


def request_id_at(index: int) -> str:
    """Returns the id of the request at that index in the scope; ids begin with 1."""
    return f"{index + 1:016x}"


def request_index(request_id: str) -> int:
    """Returns the index in the scope of the request of that id."""
    return int(request_id, 16) - 1


def _object_key(class_name: str, caches: tuple[int, ...]) -> int:
    """Returns the class's lowest key whose rendezvous order is `caches`, so that c1 is always its home."""
    hashing = RendezvousHash(
        [Endpoint(endpoint_id, CACHE, 0.0, EndpointState.READY, 0, 1, 1.0) for endpoint_id in caches], False
    )
    key = 1000 * (1 + CLASS_ORDER.index(class_name))
    while hashing.ranked(segment_key(RequestReceived(1, 0, key, 0.0, 0.0, 0, 0))) != caches:
        key += 1
    return key


class Clients:
    """Holds the client connection and the requests of the scope."""

    def __init__(self, harness: Harness, scope: Scope) -> None:
        self._harness = harness
        self._scope = scope
        self.requests = [ClientRequest(class_name) for class_name in scope.requests]
        # By FastCGI request id: the part of the answer that has arrived.
        self.partial_responses: dict[int, bytes] = {}
        self.session = self._open_session()
        caches = tuple(FIRST_CACHE + index for index in range(scope.caches))
        self._objects = {name: _object_key(name, caches) for name in set(scope.requests)}

    def _open_session(self) -> ModelClientSession:
        harness = self._harness
        return ModelClientSession(
            ClientSocket(self._record_received), harness.frontend, harness.clock.now, harness.budget
        )

    def purged_object(self) -> int:
        """Returns the object that the step `purge` purges: if possible, one of a class that is cached."""
        cached = [name for name in self._scope.requests if not CLASSES[name].uncacheable]
        return self._objects[cached[0] if cached else self._scope.requests[0]]

    def _record_received(self, kind: int, ident: int, content: bytes) -> None:
        """Records a FastCGI record that has reached the client."""
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
            # Otherwise it is the end of an aborted request.

    def _response_received(self, ident: int, answer: bytes) -> None:
        head, _, body = answer.partition(b"\r\n\r\n")
        kind = _RESPONSE_KINDS.get(head.decode("latin-1")[:_STATUS_LENGTH], ResponseKind.FAILED)
        if b"X-Notmod" in head:
            kind = ResponseKind.NOT_MODIFIED
        self._harness.observer.client_response_received(request_id_at(ident - 1), kind, body)

    def send_request(self, index: int) -> None:
        """Sends a request, on a new connection if the last one has ended."""
        class_name = self.requests[index].class_name
        self._set_progress(index, Progress.SENT)
        request_id, harness = request_id_at(index), self._harness
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
        self.session.feed(request_bytes(index + 1, request))

    def abort(self, index: int) -> None:
        """Aborts a request."""
        if (self.session, index + 1) in self._harness.frontend._open_requests:
            self._harness.observer.client_disconnected(request_id_at(index))
        # Otherwise the abort crosses an answer that is already on its way.
        self.session.feed(fastcgi.record(RecordType.ABORT_REQUEST, index + 1))

    def retry(self, index: int) -> None:
        """Sends an answered request again, under a new id."""
        self._set_progress(index, Progress.RETRIED)
        self.requests.append(ClientRequest(self.requests[index].class_name))
        self.send_request(len(self.requests) - 1)

    def _set_progress(self, index: int, progress: Progress) -> None:
        self.requests[index] = replace(self.requests[index], progress=progress)

    def disconnect(self) -> None:
        """Closes the connection from the side of the client."""
        self.session.sock.disconnected = True
        self.session.closing = True
        self._harness.observer.all_clients_disconnected()

    def stall(self) -> None:
        """Lets the client accept no more bytes."""
        self.session.sock.writable_bytes = 0

    def unstall(self) -> None:
        """Lets the client accept bytes again."""
        self.session.unstall()

    def end_session(self) -> None:
        """Ends the client connection from the side of the router."""
        self.session.finished = True
        self._harness.observer.all_clients_disconnected()
        self.session.on_closed()

    def enabled(self, fault_allowed: bool) -> list[str]:
        """Returns the steps of requests, in the order of the scope; faults only if allowed."""
        steps = []
        for index, request in enumerate(self.requests):
            if request.progress is Progress.NOT_SENT:
                if self._may_send(index):
                    steps.append(f"ask {index}")
            elif fault_allowed:
                steps += self._request_faults(index, request)
        return steps

    def _may_send(self, index: int) -> bool:
        """Whether the request may be sent now.

        Requests of one class are sent in the order of the scope, and none on a connection that is to end.
        """
        first_unsent = self.requests[index] not in self.requests[:index]
        return (
            first_unsent and (self.session.finished or not self.session.closing) and not self._harness.expired
        )

    def _request_faults(self, index: int, request: ClientRequest) -> list[str]:
        observed = self._harness.observer.requests.get(request_id_at(index))
        if observed is None or self.session.closing:
            return []
        kinds, steps = self._scope.kinds, []
        if "abort" in kinds and observed.state is RequestState.OPEN:
            steps.append(f"abort {index}")
        none_retried = len(self.requests) == len(self._scope.requests)
        answered = observed.state is RequestState.ANSWERED and request.progress is Progress.SENT
        if "retry" in kinds and answered and none_retried:
            steps.append(f"retry {index}")
        return steps

    def connection_faults(self) -> list[str]:
        """Returns the faults of the client connection that may be injected now."""
        if self.session.closing:
            return []
        kinds, steps = self._scope.kinds, []
        if "leave" in kinds and self._harness.observer.requests:
            steps.append("leave")
        if "stall" in kinds and not self.session.stalled():
            steps.append("stall")
        return steps
