"""The properties that must hold in every state, each with its source, and the observer that checks them.

The `Observer` sees only the traffic on the sockets, the endpoint list, and the events and actions of the
decision module. It never reads the router's own tables, so that an error there can't hide itself.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from edge_router.decision.messages import Endpoint, EndpointState, Outcome
from edge_router.decision.settings import ClassSettings, DeduplicationScope, Idempotency
from edge_router.model_checker.machine import Violation
from edge_router.proxy.response_validation import AGE_TOLERANCE


class Property(NamedTuple):
    """A rule, and the page that it is from."""

    name: str
    text: str
    source: str


PROPERTIES = {
    prop.name: prop
    for prop in (
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


class RequestState(StrEnum):
    """Where a request is, as its client sees it."""

    OPEN = "open"
    ANSWERED = "answered"
    LEFT = "left"  # its client has stopped waiting
    LOST = "lost"  # it was reported as overdue


class Verdict(StrEnum):
    """The kind of answer that a client has received."""

    SERVED = "served"
    UNCHANGED = "unchanged"  # the client's own copy is still good
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class ObservedAttempt:
    """An attempt whose first byte was seen on a socket."""

    number: int
    node: int
    sent_at: float  # Unix milliseconds
    known_purges: int = 0  # how many purges the router had been notified of before
    not_run: bool = False  # the cache itself said that it did not run the request
    over: bool = False


@dataclass(frozen=True, slots=True)
class ObservedCopy:
    """The copy in an answer that has reached the router. Times are Unix milliseconds."""

    born: float
    sent_at: float  # the first byte of the attempt
    known_purges: int


@dataclass(frozen=True, slots=True)
class ObservedPurge:
    """A purge that the router was notified of. Times are Unix milliseconds."""

    notified_at: float
    purged_at: float
    group: int
    key: int  # 0 for a purge of the whole group


@dataclass(slots=True)
class ObservedRequest:
    """A request as its client sees it."""

    cls: str
    due: float  # Unix milliseconds by which it must be answered
    state: RequestState = RequestState.OPEN
    attempts: list[ObservedAttempt] = field(default_factory=list)
    ended: list[int] = field(default_factory=list)  # attempts whose end the decision module was notified of
    orders: int = 0
    copies: dict[bytes, ObservedCopy] = field(default_factory=dict)  # by the body of the answer
    codes: dict[int, str] = field(default_factory=dict)  # by attempt: the answer code that reached the router

    def attempt(self, number: int) -> ObservedAttempt | None:
        """The attempt of that number, if its first byte was seen."""
        return next((attempt for attempt in self.attempts if attempt.number == number), None)


MOST_VIOLATIONS = 8  # further ones of the same run are not recorded
TOLERANCE = 1.0  # ms by which rounding may move a time
NOT_RUN_CODES = ("404", "503", "504")
COPY_CODES = ("200", "304")
OUTCOME_OF_CODE = {"404": Outcome.MISS, "503": Outcome.OVERLOADED, "504": Outcome.NOT_SENT}
UNSENT_OUTCOMES = (Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.CANCELLED)
NOT_RUN_OUTCOMES = (Outcome.MISS, Outcome.OVERLOADED, Outcome.NOT_SENT, Outcome.CONNECT_FAILED)


class Observer:
    """Watches a run and records which properties are violated."""

    def __init__(self, classes: dict[str, ClassSettings], most_attempts: int) -> None:
        self._classes = classes
        self._most_attempts = most_attempts
        self.violations: list[Violation] = []
        self.nodes: dict[int, Endpoint] = {}
        self.purges: list[ObservedPurge] = []
        self.requests: dict[str, ObservedRequest] = {}

    def violated(self, prop: str, why: str) -> None:
        """Records a violation of the property of that name."""
        assert prop in PROPERTIES, prop
        if len(self.violations) < MOST_VIOLATIONS:
            self.violations.append(Violation(prop, why))

    # -- the change log --

    def endpoints_received(self, nodes: tuple[Endpoint, ...], complete: bool) -> None:
        """The router was sent a complete list of nodes, or the nodes that have changed."""
        if complete:
            self.nodes = {}
        for node in nodes:
            self.nodes[node.endpoint_id] = node

    def purge_received(self, purge: ObservedPurge) -> None:
        """The router was notified of a purge."""
        self.purges.append(purge)

    def _ready(self, node: int) -> bool:
        return node in self.nodes and self.nodes[node].state is EndpointState.READY

    # -- attempts on sockets --

    def first_byte_sent(self, txn: str, number: int, node: int, source: int | None, now: float) -> None:
        """The first byte of an attempt was written to the socket of a node."""
        request = self.requests[txn]
        self._check_targets(request, number, node, source)
        self._check_repetition(request, number, node, now)
        request.attempts.append(ObservedAttempt(number, node, now, len(self.purges)))
        if len(request.attempts) > self._most_attempts:
            self.violated("allowed-attempts", f"{len(request.attempts)} attempts of {request.cls} on sockets")

    def _check_targets(self, request: ObservedRequest, number: int, node: int, source: int | None) -> None:
        if not self._ready(node):
            self.violated("no-drained", f"attempt {number} of {request.cls} goes to s-{node:08x}")
        if source is not None and not self._ready(source):
            self.violated(
                "no-drained-source", f"attempt {number} of {request.cls} is filled from s-{source:08x}"
            )

    def _check_repetition(self, request: ObservedRequest, number: int, node: int, now: float) -> None:
        name, cls = request.cls, self._classes[request.cls]
        if request.attempt(number) is not None:
            self.violated("no-repeat", f"attempt {number} of {name} is written twice")
        for sent in request.attempts:
            if sent.not_run or cls.idempotency is Idempotency.IDEMPOTENT:
                continue
            if cls.idempotency is Idempotency.NONE:
                self.violated("no-repeat", f"attempt {number} of {name} goes out; {sent.number} may have run")
            elif not self._same_group(cls, sent.node, node):
                self.violated("no-repeat", f"attempt {number} of {name} leaves the group of {sent.number}")
            elif now - sent.sent_at > cls.deduplication_window + TOLERANCE:
                self.violated("no-repeat", f"attempt {number} of {name} goes out after its window")

    def _same_group(self, cls: ClassSettings, one: int, other: int) -> bool:
        if cls.deduplication_scope is DeduplicationScope.ALL or one == other:
            return True
        if cls.deduplication_scope is DeduplicationScope.ZONE:
            return self.nodes[one].zone == self.nodes[other].zone
        return self.nodes[one].cell == self.nodes[other].cell

    def answer_received(self, txn: str, number: int, code: str, body: bytes, born: float) -> None:
        """An answer to an attempt has reached the router; only the first to each attempt counts."""
        request = self.requests[txn]
        attempt = request.attempt(number)
        if attempt is None or number in request.codes:
            return
        request.codes[number] = code
        attempt.not_run = code in NOT_RUN_CODES
        attempt.over = True
        if code in COPY_CODES:
            request.copies[body] = ObservedCopy(born, attempt.sent_at, attempt.known_purges)

    # -- the decision module --

    def attempt_ordered(self, txn: str) -> None:
        """The decision module has ordered an attempt."""
        request = self.requests[txn]
        request.orders += 1
        if request.orders > self._most_attempts:
            self.violated("allowed-attempts", f"{request.orders} orders for {request.cls}")

    def attempt_ended(self, txn: str, number: int, outcome: Outcome) -> None:
        """The decision module was notified of the end of an attempt."""
        request = self.requests[txn]
        name = f"attempt {number} of {request.cls}"
        if number in request.ended:
            self.violated("ends-once", f"{name} ends again as {outcome.name}")
        request.ended.append(number)
        attempt = request.attempt(number)
        if attempt is None:
            if outcome not in UNSENT_OUTCOMES:
                self.violated("unrun-is-unrun", f"{name} ends as {outcome.name}, and was never written")
            return
        proven = OUTCOME_OF_CODE.get(request.codes.get(number, ""))
        if outcome in NOT_RUN_OUTCOMES and outcome is not proven:
            self.violated("run-is-run", f"{name} was written and ends as {outcome.name}")
        if outcome is not proven:
            attempt.not_run = False
        attempt.over = True

    # -- the client's side --

    def request_received(self, txn: str, cls: str, due: float) -> None:
        """A complete request has reached the router; it must be answered by `due` (Unix milliseconds)."""
        self.requests[txn] = ObservedRequest(cls, due)

    def client_left(self, txn: str) -> None:
        """The client of a request stops waiting."""
        if self.requests[txn].state is RequestState.OPEN:
            self.requests[txn].state = RequestState.LEFT

    def all_clients_left(self) -> None:
        """The client connection has ended, and with it every open request."""
        for txn in self.requests:
            self.client_left(txn)

    def open_requests(self) -> list[ObservedRequest]:
        """The requests whose clients still wait."""
        return [request for request in self.requests.values() if request.state is RequestState.OPEN]

    def client_answered(self, txn: str, verdict: Verdict, body: bytes) -> None:
        """The client of a request has received a complete answer."""
        request = self.requests[txn]
        if request.state is RequestState.LEFT:
            self.violated("none-to-left", f"{verdict} to {request.cls}, whose client has left")
        elif request.state is not RequestState.OPEN:
            self.violated("one-answer", f"{verdict} to {request.cls}, which is {request.state}")
        request.state = RequestState.ANSWERED
        if verdict is Verdict.REFUSED:
            self._check_refusal(request)
        elif verdict in (Verdict.SERVED, Verdict.UNCHANGED):
            self._check_copy(request, body)

    def _check_refusal(self, request: ObservedRequest) -> None:
        cls = self._classes[request.cls]
        unsure = [attempt for attempt in request.attempts if not attempt.not_run]
        bound_to_group = (
            cls.idempotency is Idempotency.WITH_KEY and cls.deduplication_scope is not DeduplicationScope.ALL
        )
        if unsure and (cls.idempotency is Idempotency.NONE or bound_to_group):
            self.violated(
                "harmless-refusal", f"{request.cls} is refused; attempt {unsure[0].number} may have run"
            )

    def _check_copy(self, request: ObservedRequest, body: bytes) -> None:
        if body not in request.copies:
            self.violated("as-made", f"{request.cls} is served {body[:24]!r}, which no cache made for it")
            return
        cls, copy = self._classes[request.cls], request.copies[body]
        if cls.uncacheable:
            return
        for purge in self.purges[: copy.known_purges]:
            if copy.born < purge.purged_at - AGE_TOLERANCE - TOLERANCE:
                self._serves_purged(copy, purge)
        if (
            cls.freshness_lifetime
            and copy.born
            < copy.sent_at - cls.freshness_lifetime - cls.stale_lifetime - AGE_TOLERANCE - TOLERANCE
        ):
            self.violated("not-too-old", f"a copy {copy.sent_at - copy.born:.0f} ms old")

    def _serves_purged(self, copy: ObservedCopy, purge: ObservedPurge) -> None:
        name = f"object {purge.key:x}" if purge.key else f"group {purge.group}"
        self.violated(
            "no-purged",
            f"a copy born {purge.purged_at - copy.born:.0f} ms before the purge of {name}, received "
            f"{copy.sent_at - purge.notified_at:.0f} ms before its first byte",
        )

    def check_overdue(self, now: float) -> None:
        """Records each open request whose answer is late at `now` (Unix milliseconds)."""
        for request in self.open_requests():
            if now > request.due + 0.01:
                late = now - request.due
                self.violated("in-time", f"{request.cls} has no answer {late:.0f} ms after its last moment")
                request.state = RequestState.LOST
