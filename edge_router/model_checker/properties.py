"""The properties that must hold in every state, each with its source, and the observer that checks them.

The `Observer` sees only the traffic on the sockets, the endpoint list, and the events and actions of the
decision module. It never reads the router's own tables, so that an error there can't hide itself.
"""

from __future__ import annotations

from typing import NamedTuple

from edge_router.decision.messages import Endpoint, EndpointState, Outcome
from edge_router.decision.settings import ClassSettings, DeduplicationScope, Idempotency
from edge_router.model_checker.machine import Violation
from edge_router.model_checker.observations import (
    ObservedAttempt,
    ObservedCopy,
    ObservedPurge,
    ObservedRequest,
    RequestState,
    ResponseKind,
)
from edge_router.proxy.response_validation import AGE_TOLERANCE


class Property(NamedTuple):
    """A rule, and the page that it is from."""

    name: str
    rule: str
    source: str


PROPERTIES = {
    rule.name: rule
    for rule in (
        Property(
            "one-answer",
            "a taken request gets one final answer, and one only",
            "WIRE 2 rule 1; PROTOCOL, rules on sockets",
        ),
        Property("none-to-left", "a request whose client has left gets no answer", "PROTOCOL, clients"),
        Property(
            "in-time", "an answer is there by the deadline and the backstop", "WIRE 2 rule 1; answer_slack"
        ),
        Property("decided", "no request is left to the backstop while the router serves", "ONCALL, backstop"),
        Property("no-repeat", "what may have run goes out again only as its class allows", "WIRE 2 rule 2"),
        Property(
            "harmless-refusal", "a refusal is worded only where trying again is harmless", "WIRE 2 rule 2"
        ),
        Property(
            "no-drained", "no first byte goes to a node that is listed as draining or gone", "WIRE 2 rule 3"
        ),
        Property(
            "no-drained-source", "none names such a node as the source of a fill", "WIRE 2 rule 3; 15 rules"
        ),
        Property(
            "no-purged",
            "no answer from a copy older than a purge received before its first byte",
            "WIRE 2 rule 5",
        ),
        Property(
            "not-too-old", "no copy older than its class allows is served", "PROTOCOL, rules on sockets"
        ),
        Property(
            "as-made", "what is served is what a cache made for this request", "PROTOCOL, rules on sockets"
        ),
        Property(
            "unrun-is-unrun", "what was never written is never reported as perhaps run", "README, way out"
        ),
        Property(
            "run-is-run",
            "what was written is not reported as never run, unless the cache says so",
            "README, way out",
        ),
        Property("ends-once", "each attempt ends once", "house style: every attempt ends once"),
        Property("allowed-attempts", "no more attempts than the settings allow", "WIRE 15 limits.most_tries"),
        Property("one-id", "an id is open once at a time on a connection", "PROTOCOL, routers to caches"),
        Property(
            "cancelled",
            "attempts in flight when their request ends are cancelled, and the cache is notified",
            "PROTOCOL, abort; settings limits.cancel",
        ),
        Property(
            "not-into-ended",
            "nothing begins to be written once the server has visibly ended the connection",
            "README, way out: what can't have run is not told as run",
        ),
        Property(
            "log-followed",
            "each event of the change log is taken once, in its order",
            "PROTOCOL, change log",
        ),
        Property("no-slip", "no part of the router raises an unexpected exception", "ONCALL, bug"),
        Property(
            "no-leak",
            "when all is quiet, every resource is released",
            "README: budget, connections and books",
        ),
        Property("ends", "from every state all taken requests reach their end", "liveness; WIRE 2 rule 1"),
        Property("same-split", "a decoder gives the same for every split of the same bytes", "codecs"),
        Property("legal-read", "a legal stream is read to its end", "codecs"),
        Property(
            "gone-closed", "connections to a node that is no longer listed are closed", "README; Send.gone"
        ),
        Property("bounded", "a decoder holds no more than its bound", "codecs"),
        Property("clean-error", "bytes that can't be decoded raise the codec's own error", "codecs"),
        Property(
            "told-once",
            "a connection notifies its owner of its end once, and of nothing afterwards",
            "wire/channel",
        ),
        Property("order-kept", "commands are written completely and in their order", "wire/channel"),
    )
}


MAX_VIOLATIONS = 8  # further ones of the same run are not recorded
TOLERANCE = 1.0  # ms by which rounding may move a time
NOT_RUN_CODES = ("404", "503", "504")
COPY_CODES = ("200", "304")
OUTCOME_OF_CODE = {"404": Outcome.MISS, "503": Outcome.OVERLOADED, "504": Outcome.NOT_SENT}
UNSENT_OUTCOMES = (Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.CANCELLED)
NOT_RUN_OUTCOMES = (Outcome.MISS, Outcome.OVERLOADED, Outcome.NOT_SENT, Outcome.CONNECT_FAILED)


class Observer:
    """Watches a run and records which properties are violated."""

    def __init__(self, classes: dict[str, ClassSettings], max_attempts: int) -> None:
        self._classes = classes
        self._max_attempts = max_attempts
        self.violations: list[Violation] = []
        self.endpoints: dict[int, Endpoint] = {}
        self.purges: list[ObservedPurge] = []
        self.requests: dict[str, ObservedRequest] = {}

    def record_violation(self, property_name: str, detail: str) -> None:
        """Records a violation of the property of that name."""
        assert property_name in PROPERTIES, property_name
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(Violation(property_name, detail))

    # -- the change log --

    def endpoints_received(self, endpoints: tuple[Endpoint, ...], complete: bool) -> None:
        """The router was sent a complete list of nodes, or the nodes that have changed."""
        if complete:
            self.endpoints = {}
        for endpoint in endpoints:
            self.endpoints[endpoint.endpoint_id] = endpoint

    def purge_received(self, purge: ObservedPurge) -> None:
        """The router was notified of a purge."""
        self.purges.append(purge)

    def _is_ready(self, endpoint_id: int) -> bool:
        return endpoint_id in self.endpoints and self.endpoints[endpoint_id].state is EndpointState.READY

    # -- attempts on sockets --

    def first_byte_sent(
        self, request_id: str, number: int, endpoint_id: int, source_id: int | None, now: float
    ) -> None:
        """The first byte of an attempt was written to the socket of a node."""
        request = self.requests[request_id]
        self._check_targets(request, number, endpoint_id, source_id)
        self._check_repetition(request, number, endpoint_id, now)
        request.attempts.append(ObservedAttempt(number, endpoint_id, now, len(self.purges)))
        if len(request.attempts) > self._max_attempts:
            self.record_violation(
                "allowed-attempts", f"{len(request.attempts)} attempts of {request.class_name} on sockets"
            )

    def _check_targets(
        self, request: ObservedRequest, number: int, endpoint_id: int, source_id: int | None
    ) -> None:
        if not self._is_ready(endpoint_id):
            self.record_violation(
                "no-drained", f"attempt {number} of {request.class_name} goes to s-{endpoint_id:08x}"
            )
        if source_id is not None and not self._is_ready(source_id):
            self.record_violation(
                "no-drained-source",
                f"attempt {number} of {request.class_name} is filled from s-{source_id:08x}",
            )

    def _check_repetition(self, request: ObservedRequest, number: int, endpoint_id: int, now: float) -> None:
        name, settings = request.class_name, self._classes[request.class_name]
        if request.attempt(number) is not None:
            self.record_violation("no-repeat", f"attempt {number} of {name} is written twice")
        for sent in request.attempts:
            if sent.not_run or settings.idempotency is Idempotency.IDEMPOTENT:
                continue
            if settings.idempotency is Idempotency.NONE:
                self.record_violation(
                    "no-repeat", f"attempt {number} of {name} goes out; {sent.number} may have run"
                )
            elif not self._same_group(settings, sent.endpoint_id, endpoint_id):
                self.record_violation(
                    "no-repeat", f"attempt {number} of {name} leaves the group of {sent.number}"
                )
            elif now - sent.sent_at > settings.deduplication_window + TOLERANCE:
                self.record_violation("no-repeat", f"attempt {number} of {name} goes out after its window")

    def _same_group(self, settings: ClassSettings, first_id: int, second_id: int) -> bool:
        if settings.deduplication_scope is DeduplicationScope.ALL or first_id == second_id:
            return True
        if settings.deduplication_scope is DeduplicationScope.ZONE:
            return self.endpoints[first_id].zone == self.endpoints[second_id].zone
        return self.endpoints[first_id].cell == self.endpoints[second_id].cell

    def response_received(
        self, request_id: str, number: int, code: str, body: bytes, created_at: float
    ) -> None:
        """An answer to an attempt has reached the router; only the first to each attempt counts."""
        request = self.requests[request_id]
        attempt = request.attempt(number)
        if attempt is None or number in request.status_codes:
            return
        request.status_codes[number] = code
        attempt.not_run = code in NOT_RUN_CODES
        attempt.ended = True
        if code in COPY_CODES:
            request.copies[body] = ObservedCopy(created_at, attempt.sent_at, attempt.known_purges)

    # -- the decision module --

    def attempt_ordered(self, request_id: str) -> None:
        """The decision module has ordered an attempt."""
        request = self.requests[request_id]
        request.ordered_attempts += 1
        if request.ordered_attempts > self._max_attempts:
            self.record_violation(
                "allowed-attempts", f"{request.ordered_attempts} orders for {request.class_name}"
            )

    def attempt_ended(self, request_id: str, number: int, outcome: Outcome) -> None:
        """The decision module was notified of the end of an attempt."""
        request = self.requests[request_id]
        name = f"attempt {number} of {request.class_name}"
        if number in request.ended_attempts:
            self.record_violation("ends-once", f"{name} ends again as {outcome.name}")
        request.ended_attempts.append(number)
        attempt = request.attempt(number)
        if attempt is None:
            if outcome not in UNSENT_OUTCOMES:
                self.record_violation(
                    "unrun-is-unrun", f"{name} ends as {outcome.name}, and was never written"
                )
            return
        proven = OUTCOME_OF_CODE.get(request.status_codes.get(number, ""))
        if outcome in NOT_RUN_OUTCOMES and outcome is not proven:
            self.record_violation("run-is-run", f"{name} was written and ends as {outcome.name}")
        if outcome is not proven:
            attempt.not_run = False
        attempt.ended = True

    # -- the client's side --

    def request_received(self, request_id: str, class_name: str, deadline: float) -> None:
        """A complete request has reached the router; it must be answered by `due` (Unix milliseconds)."""
        self.requests[request_id] = ObservedRequest(class_name, deadline)

    def client_disconnected(self, request_id: str) -> None:
        """The client of a request stops waiting."""
        if self.requests[request_id].state is RequestState.OPEN:
            self.requests[request_id].state = RequestState.CLIENT_DISCONNECTED

    def all_clients_disconnected(self) -> None:
        """The client connection has ended, and with it every open request."""
        for request_id in self.requests:
            self.client_disconnected(request_id)

    def open_requests(self) -> list[ObservedRequest]:
        """The requests whose clients still wait."""
        return [request for request in self.requests.values() if request.state is RequestState.OPEN]

    def client_response_received(self, request_id: str, response: ResponseKind, body: bytes) -> None:
        """The client of a request has received a complete answer."""
        request = self.requests[request_id]
        if request.state is RequestState.CLIENT_DISCONNECTED:
            self.record_violation(
                "none-to-left", f"{response} to {request.class_name}, whose client has left"
            )
        elif request.state is not RequestState.OPEN:
            self.record_violation(
                "one-answer", f"{response} to {request.class_name}, which is {request.state}"
            )
        request.state = RequestState.ANSWERED
        if response is ResponseKind.REJECTED:
            self._check_rejection(request)
        elif response in (ResponseKind.SERVED, ResponseKind.NOT_MODIFIED):
            self._check_copy(request, body)

    def _check_rejection(self, request: ObservedRequest) -> None:
        settings = self._classes[request.class_name]
        unsure = [attempt for attempt in request.attempts if not attempt.not_run]
        bound_to_group = (
            settings.idempotency is Idempotency.WITH_KEY
            and settings.deduplication_scope is not DeduplicationScope.ALL
        )
        if unsure and (settings.idempotency is Idempotency.NONE or bound_to_group):
            self.record_violation(
                "harmless-refusal",
                f"{request.class_name} is refused; attempt {unsure[0].number} may have run",
            )

    def _check_copy(self, request: ObservedRequest, body: bytes) -> None:
        if body not in request.copies:
            self.record_violation(
                "as-made", f"{request.class_name} is served {body[:24]!r}, which no cache made for it"
            )
            return
        settings, copy = self._classes[request.class_name], request.copies[body]
        if settings.uncacheable:
            return
        for purge in self.purges[: copy.known_purges]:
            if copy.created_at < purge.purged_at - AGE_TOLERANCE - TOLERANCE:
                self._record_purged_copy(copy, purge)
        if (
            settings.freshness_lifetime
            and copy.created_at
            < copy.sent_at - settings.freshness_lifetime - settings.stale_lifetime - AGE_TOLERANCE - TOLERANCE
        ):
            self.record_violation("not-too-old", f"a copy {copy.sent_at - copy.created_at:.0f} ms old")

    def _record_purged_copy(self, copy: ObservedCopy, purge: ObservedPurge) -> None:
        name = f"object {purge.object_key:x}" if purge.object_key else f"group {purge.group}"
        self.record_violation(
            "no-purged",
            f"a copy born {purge.purged_at - copy.created_at:.0f} ms before the purge of {name}, received "
            f"{copy.sent_at - purge.notified_at:.0f} ms before its first byte",
        )

    def check_overdue(self, now: float) -> None:
        """Records each open request whose answer is late at `now` (Unix milliseconds)."""
        for request in self.open_requests():
            if now > request.deadline + 0.01:
                late = now - request.deadline
                self.record_violation(
                    "in-time", f"{request.class_name} has no answer {late:.0f} ms after its last moment"
                )
                request.state = RequestState.OVERDUE
