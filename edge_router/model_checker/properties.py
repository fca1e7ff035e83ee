"""The properties that the model checker verifies, each with its source, and the observer that checks them.

The `Observer` is notified of the traffic on the sockets, the endpoint list, and the events and actions of the
decision module. It doesn't read the router's tables itself, so that an error in them can't hide itself; the
harness takes only request ids and attempt numbers from them. `cancelled`, `gone-closed` and `no-leak` are
checked elsewhere, on the tables.

Sources: the operators' pages `WIRE-robinbeam.md` and `PROTOCOL-robinbeam.md`. Where a property has no page,
its source is the module that keeps it.
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
    """A rule that the router has to keep, and the page or the module that it is from."""

    name: str
    rule: str
    source: str


PROPERTIES = {
    rule.name: rule
    for rule in (
        Property(
            "one-answer",
            "every accepted request gets exactly one final answer",
            "WIRE-robinbeam.md, Invariants, rule 1; PROTOCOL-robinbeam.md, The rules on sockets",
        ),
        Property(
            "none-to-left",
            "a request whose client has disconnected gets no answer",
            "PROTOCOL-robinbeam.md, Clients to edge routers",
        ),
        Property(
            "in-time",
            "every request is answered by its deadline, or at the latest when its backstop timer fires",
            "WIRE-robinbeam.md, Invariants, rule 1; BACKSTOP_DELAY in edge_router/proxy/request_router.py",
        ),
        Property(
            "decided",
            "until the shutdown grace period is over, the policy ends each request before its backstop does",
            "edge_router/decision/policy.py",
        ),
        Property(
            "no-repeat",
            "an attempt that may have run is repeated only as the class of the request allows",
            "WIRE-robinbeam.md, Invariants, rule 2",
        ),
        Property(
            "harmless-refusal",
            "a request is rejected only if the client can repeat it without running its effect twice",
            "WIRE-robinbeam.md, Invariants, rule 2",
        ),
        Property(
            "no-drained",
            "no attempt is sent to an endpoint that the change log lists as draining or gone",
            "WIRE-robinbeam.md, Invariants, rule 3",
        ),
        Property(
            "no-drained-source",
            "no attempt that is sent names a draining or gone endpoint as the source of its fill",
            "WIRE-robinbeam.md, Invariants, rule 3, and Settings, rules",
        ),
        Property(
            "no-purged",
            "no served copy is older than a purge that was received before its attempt was sent",
            "WIRE-robinbeam.md, Invariants, rule 5",
        ),
        Property(
            "not-too-old",
            "no served copy is older than the class of the request allows",
            "PROTOCOL-robinbeam.md, The rules on sockets",
        ),
        Property(
            "as-made",
            "a served body is one that a cache sent for this request",
            "PROTOCOL-robinbeam.md, The rules on sockets",
        ),
        Property(
            "unrun-is-unrun",
            "an attempt without a written byte ends as not sent, as failed to connect or as cancelled",
            "edge_router/proxy/dispatcher.py",
        ),
        Property(
            "run-is-run",
            "a written attempt is reported as not run only if the cache's response says so",
            "edge_router/proxy/dispatcher.py",
        ),
        Property(
            "ends-once",
            "the end of each attempt is reported once",
            "edge_router/proxy/accounting.py",
        ),
        Property(
            "allowed-attempts",
            "no request has more attempts than the settings allow",
            "WIRE-robinbeam.md, Settings, limits.most_tries",
        ),
        Property(
            "one-id",
            "a request id is open at most once at a time on a connection",
            "PROTOCOL-robinbeam.md, Edge routers to caches",
        ),
        Property(
            "cancelled",
            "when a request ends, its attempts in flight are cancelled and their caches are sent an abort",
            "PROTOCOL-robinbeam.md, Edge routers to caches; WIRE-robinbeam.md, Settings, limits.cancel",
        ),
        Property(
            "not-into-ended",
            "no command begins to be written to a connection that the cache has closed",
            "edge_router/transport/upstream_channel.py",
        ),
        Property(
            "log-followed",
            "each event of the change log is processed once, in order",
            "PROTOCOL-robinbeam.md, The change log",
        ),
        Property(
            "no-slip",
            "no part of the router raises an unexpected exception",
            "the log event internal-error; edge_router/runtime/timers.py and edge_router/server/server.py",
        ),
        Property(
            "no-leak",
            "when nothing is pending, the router holds no request, connection, memory, response or load",
            "edge_router/proxy, edge_router/transport/client_session.py and edge_router/decision/policy.py",
        ),
        Property(
            "ends",
            "from every state, all accepted requests end",
            "WIRE-robinbeam.md, Invariants, rule 1",
        ),
        Property(
            "same-split",
            "a decoder gives the same result however its input is split",
            "edge_router/protocol",
        ),
        Property(
            "legal-read",
            "a decoder reads a valid stream to its end",
            "edge_router/protocol",
        ),
        Property(
            "gone-closed",
            "connections to an endpoint that is no longer listed are closed",
            "edge_router/proxy/connection_pool.py",
        ),
        Property(
            "bounded",
            "a decoder holds no more bytes than its limit, and releases its memory budget at the end",
            "edge_router/protocol",
        ),
        Property(
            "clean-error",
            "a decoder reports input that it can't decode by its codec's own exception",
            "edge_router/protocol",
        ),
        Property(
            "told-once",
            "a connection notifies its owner of its end once, and of nothing afterwards",
            "edge_router/transport/upstream_channel.py",
        ),
        Property(
            "order-kept",
            "commands are written completely and in their order",
            "edge_router/transport/upstream_channel.py",
        ),
    )
}


MAX_VIOLATIONS = 8  # for each run; further violations are not recorded
ROUNDING_TOLERANCE = 1.0  # ms by which rounding may move a time
NOT_RUN_CODES = ("404", "503", "504")  # a cache that sends one of them did not run the request
COPY_CODES = ("200", "304")
# 504: the request was already over when it reached the cache, so it never ran (PROTOCOL, "Edge routers to
# caches").
OUTCOME_OF_CODE = {"404": Outcome.MISS, "503": Outcome.OVERLOADED, "504": Outcome.NOT_SENT}
# Possible for an attempt without a written byte.
UNSENT_OUTCOMES = (Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.CANCELLED)
# Mean that the cache did not run the request, whether a byte was written or not.
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

    def endpoints_received(self, endpoints: tuple[Endpoint, ...], complete: bool) -> None:
        """Records that the change log sent all endpoints (`complete`), or those that have changed."""
        if complete:
            self.endpoints = {}
        for endpoint in endpoints:
            self.endpoints[endpoint.endpoint_id] = endpoint

    def purge_received(self, purge: ObservedPurge) -> None:
        """Records that the router was notified of a purge."""
        self.purges.append(purge)

    def _is_ready(self, endpoint_id: int) -> bool:
        return endpoint_id in self.endpoints and self.endpoints[endpoint_id].state is EndpointState.READY

    def first_byte_sent(
        self, request_id: str, number: int, endpoint_id: int, source_id: int | None, now: float
    ) -> None:
        """Checks and records an attempt whose first byte was written at `now` (Unix milliseconds)."""
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
                "no-drained",
                f"attempt {number} of {request.class_name} is sent "
                f"to s-{endpoint_id:08x}, which is not ready",
            )
        if source_id is not None and not self._is_ready(source_id):
            self.record_violation(
                "no-drained-source",
                f"attempt {number} of {request.class_name} names the source "
                f"s-{source_id:08x}, which is not ready",
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
                    "no-repeat", f"attempt {number} of {name} is sent though {sent.number} may have run"
                )
            elif not self._same_deduplication_scope(settings, sent.endpoint_id, endpoint_id):
                self.record_violation(
                    "no-repeat",
                    f"attempt {number} of {name} is sent outside the deduplication scope of {sent.number}",
                )
            elif now - sent.sent_at > settings.deduplication_window + ROUNDING_TOLERANCE:
                self.record_violation(
                    "no-repeat", f"attempt {number} of {name} is sent after its deduplication window"
                )

    def _same_deduplication_scope(self, settings: ClassSettings, first_id: int, second_id: int) -> bool:
        if settings.deduplication_scope is DeduplicationScope.ALL or first_id == second_id:
            return True
        if settings.deduplication_scope is DeduplicationScope.ZONE:
            return self.endpoints[first_id].zone == self.endpoints[second_id].zone
        return self.endpoints[first_id].cell == self.endpoints[second_id].cell

    def response_received(
        self, request_id: str, number: int, code: str, body: bytes, created_at: float
    ) -> None:
        """Records a cache's response that has reached the router; only the first to each attempt counts.

        `created_at` is when the copy in the response was made, in Unix milliseconds.
        """
        request = self.requests[request_id]
        attempt = request.attempt(number)
        if attempt is None or number in request.status_codes:
            return
        request.status_codes[number] = code
        attempt.not_run = code in NOT_RUN_CODES
        attempt.ended = True
        if code in COPY_CODES:
            request.copies[body] = ObservedCopy(created_at, attempt.sent_at, attempt.known_purges)

    def attempt_started(self, request_id: str) -> None:
        """Counts an attempt that the decision module has started."""
        request = self.requests[request_id]
        request.started_attempts += 1
        if request.started_attempts > self._max_attempts:
            self.record_violation(
                "allowed-attempts", f"{request.started_attempts} attempts of {request.class_name} started"
            )

    def attempt_ended(self, request_id: str, number: int, outcome: Outcome) -> None:
        """Checks and records the end of an attempt as the decision module was notified of it."""
        request = self.requests[request_id]
        name = f"attempt {number} of {request.class_name}"
        if number in request.ended_attempts:
            self.record_violation("ends-once", f"{name} is reported as ended again, by {outcome.name}")
        request.ended_attempts.append(number)
        attempt = request.attempt(number)
        if attempt is None:
            if outcome not in UNSENT_OUTCOMES:
                self.record_violation(
                    "unrun-is-unrun", f"{name} was never written and is reported as {outcome.name}"
                )
            return
        proven = OUTCOME_OF_CODE.get(request.status_codes.get(number, ""))
        if outcome in NOT_RUN_OUTCOMES and outcome is not proven:
            self.record_violation("run-is-run", f"{name} was written and is reported as {outcome.name}")
        if outcome is not proven:
            attempt.not_run = False
        attempt.ended = True

    def request_received(self, request_id: str, class_name: str, deadline: float) -> None:
        """Records a complete request that must be answered by `deadline`, in Unix milliseconds."""
        self.requests[request_id] = ObservedRequest(class_name, deadline)

    def client_disconnected(self, request_id: str) -> None:
        """Records that the client of an open request no longer waits for it."""
        if self.requests[request_id].state is RequestState.OPEN:
            self.requests[request_id].state = RequestState.CLIENT_DISCONNECTED

    def all_clients_disconnected(self) -> None:
        """Records that the client connection has ended, and with it every open request."""
        for request_id in self.requests:
            self.client_disconnected(request_id)

    def open_requests(self) -> list[ObservedRequest]:
        """Returns the requests whose clients still wait."""
        return [request for request in self.requests.values() if request.state is RequestState.OPEN]

    def client_response_received(self, request_id: str, response: ResponseKind, body: bytes) -> None:
        """Checks and records a complete answer that the client of a request has received."""
        request = self.requests[request_id]
        if request.state is RequestState.CLIENT_DISCONNECTED:
            self.record_violation(
                "none-to-left", f"answer {response} to {request.class_name}, whose client has disconnected"
            )
        elif request.state is not RequestState.OPEN:
            self.record_violation(
                "one-answer", f"answer {response} to {request.class_name}, which is {request.state}"
            )
        request.state = RequestState.ANSWERED
        if response is ResponseKind.REJECTED:
            self._check_rejection(request)
        elif response in (ResponseKind.SERVED, ResponseKind.NOT_MODIFIED):
            self._check_copy(request, body)

    def _check_rejection(self, request: ObservedRequest) -> None:
        settings = self._classes[request.class_name]
        unproven = [attempt for attempt in request.attempts if not attempt.not_run]
        deduplicated_in_part = (
            settings.idempotency is Idempotency.WITH_KEY
            and settings.deduplication_scope is not DeduplicationScope.ALL
        )
        if unproven and (settings.idempotency is Idempotency.NONE or deduplicated_in_part):
            self.record_violation(
                "harmless-refusal",
                f"{request.class_name} is rejected though attempt {unproven[0].number} may have run",
            )

    def _check_copy(self, request: ObservedRequest, body: bytes) -> None:
        if body not in request.copies:
            self.record_violation(
                "as-made", f"{request.class_name} is served {body[:24]!r}, which no cache sent for it"
            )
            return
        settings, copy = self._classes[request.class_name], request.copies[body]
        if settings.uncacheable:
            return
        for purge in self.purges[: copy.known_purges]:
            if copy.created_at < purge.purged_at - AGE_TOLERANCE - ROUNDING_TOLERANCE:
                self._record_purged_copy(copy, purge)
        if (
            settings.freshness_lifetime
            and copy.created_at
            < copy.sent_at
            - settings.freshness_lifetime
            - settings.stale_lifetime
            - AGE_TOLERANCE
            - ROUNDING_TOLERANCE
        ):
            self.record_violation("not-too-old", f"a copy {copy.sent_at - copy.created_at:.0f} ms old")

    def _record_purged_copy(self, copy: ObservedCopy, purge: ObservedPurge) -> None:
        name = f"object {purge.object_key:x}" if purge.object_key else f"group {purge.group}"
        self.record_violation(
            "no-purged",
            f"a copy made {purge.purged_at - copy.created_at:.0f} ms before the purge of {name}, "
            f"which was received {copy.sent_at - purge.notified_at:.0f} ms before its first byte",
        )

    def check_overdue(self, now: float) -> None:
        """Records each open request that is unanswered after its deadline at `now` (Unix milliseconds)."""
        for request in self.open_requests():
            if now > request.deadline + 0.01:
                late = now - request.deadline
                self.record_violation(
                    "in-time", f"{request.class_name} has no answer {late:.0f} ms after its backstop was due"
                )
                request.state = RequestState.OVERDUE
