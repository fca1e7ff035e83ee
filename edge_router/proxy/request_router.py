"""Stage 3, route: the one loop. Events go into the decision module, its actions are carried out."""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from edge_router.decision import rules
from edge_router.decision.messages import (
    CancelAttempt,
    ClientDisconnected,
    Endpoint,
    EndpointListUpdate,
    Event,
    Fail,
    LogMessage,
    Outcome,
    PurgeReceived,
    Reject,
    RequestReceived,
    SetTimer,
    StartAttempt,
    TimerFired,
    UpdateKind,
)
from edge_router.decision.policy import PURGE_MARGIN, RoutingPolicy
from edge_router.decision.settings import Settings
from edge_router.discovery.endpoint_table import EndpointTable
from edge_router.discovery.events import DiscoveryEvent, EndpointsChanged, ObjectPurged
from edge_router.discovery.purge_history import PurgeHistory
from edge_router.proxy.accounting import RequestAccounting
from edge_router.proxy.admission import AdmissionController
from edge_router.proxy.dispatch import AttemptDispatcher, Connect
from edge_router.proxy.messages import FinalResponse, IncomingRequest, ResponseStatus
from edge_router.proxy.request_table import ActiveRequest, Attempt, RequestTable
from edge_router.proxy.response_handler import ResponseHandler
from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import log, log_rate_limited
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.runtime.peer_clock import PeerClock
from edge_router.runtime.timers import Timers, no_wakeup

BATCH = 8  # requests that are decided between two looks at the sockets
SAID_FOR = 1000.0  # ms within which the module's words are not repeated
BACKSTOP = 20.0  # ms after a request's deadline at which it is answered even if nobody decided


class RequestRouter:
    """The core: it never waits, and nothing in here knows how a front speaks."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        timers: Timers,
        budget: MemoryBudget,
        pace: float,
        connect: Connect,
        wake: Callable[[], None] = no_wakeup,
    ) -> None:
        """`connect` opens connections to caches; `wake` is called when a request waits to be decided."""
        self._settings = settings
        self._clock, self._timers = clock, timers
        self._policy = RoutingPolicy(settings, seed)
        self._events: deque[Event] = deque()
        self._busy = False
        self.endpoints = EndpointTable()
        self.requests = RequestTable()
        self.admission = AdmissionController(settings, self.requests, budget, pace, seed)
        self._undecided: deque[tuple[float, ActiveRequest]] = deque()  # with the time at which each came
        self._wake = wake
        self.accounting = RequestAccounting(settings, clock, self.admission, self.post)
        self.peer_clock = PeerClock(clock)
        self.purges = PurgeHistory(settings.purge_settle_time * PURGE_MARGIN + settings.purge_notice_time)
        self.response_handler = ResponseHandler(
            settings, self.accounting, clock, self.peer_clock, self.purges
        )
        self.dispatcher = AttemptDispatcher(
            clock, timers, self.endpoints, settings, self.accounting, self.response_handler, connect
        )
        self._carry: dict[type, Callable[[Any], None]] = {
            StartAttempt: self._get,
            CancelAttempt: self._cancel,
            Reject: self._refuse,
            Fail: self._fail,
            SetTimer: self._timer,
            LogMessage: self._log,
        }
        self._said: dict[str, float] = {}

    # -- what comes in --

    def on_request(self, asked: IncomingRequest) -> ActiveRequest | None:
        """A request was taken in; None if it was refused at the door."""
        now = self._clock.now()
        request = self.admission.admit(now, asked)
        if request is None:
            over = asked.time_unread >= asked.timeout
            self.accounting.counts["rejected_expired" if over else "rejected_no_capacity"] += 1
            asked.respond(FinalResponse(ResponseStatus.REJECTED, retry_after=self.admission.retry_after()))
            return None
        request.backstop_timer = self._timers.call_at(
            request.deadline + BACKSTOP, partial(self._backstop, request)
        )
        self._undecided.append((now, request))
        self._wake()
        return request

    def run_decisions(self) -> bool:
        """Hands some requests to the module; says whether more are waiting. In between, sockets are read.

        Guards against a burst that keeps answers from being passed on. How long a request has waited here
        shows whether there is more to do than we can.
        """
        for _ in range(min(BATCH, len(self._undecided))):
            came, request = self._undecided.popleft()
            if not request.answered:
                self._decide(came, request)
        return bool(self._undecided)

    def _decide(self, came: float, request: ActiveRequest) -> None:
        now, asked = self._clock.now(), request.incoming
        self.accounting.record_queue_time(now - came)
        if why := self.admission.shed_reason(now, came, asked.class_index):
            self.accounting.counts[f"shed_{why}"] += 1
            log_rate_limited(
                "request-rejected", request=asked.request_id, reason=f"shed_{why}", queue_ms=now - came
            )
            self.response_handler.respond(
                request, FinalResponse(ResponseStatus.REJECTED, retry_after=self.admission.retry_after())
            )
        else:
            self.post(
                RequestReceived(
                    request.request_number,
                    asked.class_index,
                    asked.object_key,
                    request.deadline - now,
                    asked.size_kb,
                    asked.purge_group,
                    asked.segment,
                )
            )

    def on_client_disconnected(self, request: ActiveRequest) -> None:
        """The client of an open request has gone."""
        if not request.answered:
            self.response_handler.client_disconnected(request)
            self.post(ClientDisconnected(request.request_number))
            for attempt in list(request.attempts):
                if not attempt.sent_at:
                    self.dispatcher.check_sendable(attempt)

    def response_without_decision(self, request: ActiveRequest) -> FinalResponse:
        """The final answer to a request that ends without a decision: refused if that is surely harmless."""
        may_have_run = any(attempt.may_have_run() for attempt in request.attempts)
        if rules.may_refuse(self._settings.classes[request.incoming.class_index], may_have_run):
            return FinalResponse(ResponseStatus.REJECTED, retry_after=self.admission.retry_after())
        return FinalResponse(ResponseStatus.FAILED)

    def on_discovery_event(self, event: DiscoveryEvent) -> None:
        """News of nodes or a purge. What waits to be written is looked at again, once the module knows."""
        waiting = self.requests.unsent_attempts()
        if isinstance(event, ObjectPurged):
            self._purged(event)
            for attempt in waiting:
                asked = attempt.request.incoming
                attempt.purged |= (
                    asked.object_key == event.object_key
                    if event.object_key
                    else asked.purge_group == event.purge_group
                )
        else:
            self._listed(event)
        for attempt in waiting:
            self.dispatcher.check_sendable(attempt)

    def _purged(self, event: ObjectPurged) -> None:
        self.peer_clock.observe_event(event.unix_time)
        now = self._clock.now()
        self.purges.record(now, event.object_key, event.purge_group, event.unix_time)
        self.post(
            PurgeReceived(
                max(0.0, now - self.peer_clock.to_local(event.unix_time)), event.purge_group, event.object_key
            )
        )

    def _listed(self, event: EndpointsChanged) -> None:
        members = tuple(
            member._replace(endpoint=self._with_local_start(member.endpoint)) for member in event.endpoints
        )
        self.endpoints.apply(EndpointsChanged(event.complete, members))
        form = UpdateKind.FULL if event.complete else UpdateKind.DELTA
        self.post(EndpointListUpdate(form, tuple(member.endpoint for member in members)))
        for member in members:
            node = member.endpoint
            if node.started_at > 0:
                self.dispatcher.on_endpoint_restarted(node.endpoint_id, node.started_at)
            log(
                "endpoint",
                id=f"s-{node.endpoint_id:08x}",
                state=node.state.name.lower(),
                role=node.role,
                zone=node.zone,
                started_at=f"{node.started_at:.0f}",
                address=f"{member.host}:{member.port}",
            )
        self.dispatcher.close_removed_endpoints()

    def _with_local_start(self, node: Endpoint) -> Endpoint:
        """The entry with the moment of its start by our clock, translated once; not later than the news."""
        if node.started_at <= 0:
            return node
        if (started := self.endpoints.local_start_time(node.endpoint_id, node.started_at)) is None:
            self.peer_clock.observe_event(node.started_at)
            started = max(1.0, min(self.peer_clock.to_local(node.started_at), self._clock.now()))
            self.endpoints.record_start(node.endpoint_id, node.started_at, started)
        return node._replace(started_at=started)

    def statistics(self) -> dict[str, float]:
        """What the decisions rest on, for the operators."""
        return self._policy.statistics(self._clock.now())

    def post(self, event: Event) -> None:
        """Queues an event and, unless that is going on already, works the queue off."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._one(self._events.popleft())
        finally:
            self._busy = False

    def _one(self, event: Event) -> None:
        """Guards against a slip in one decision that ends the process or leaves a request unanswered."""
        try:
            for action in self._policy.handle(self._clock.now(), event):
                if carry := self._carry.get(type(action)):
                    carry(action)
        except Exception as error:
            where = traceback.extract_tb(error.__traceback__)[-1]
            log(
                "internal-error",
                location=f"{where.filename.rpartition('/')[2]}:{where.lineno}",
                error=repr(error),
            )
            if isinstance(event, RequestReceived) and (request := self.requests.get(event.request_number)):
                self._fail(Fail(request.request_number))

    # -- what is to be done --

    def _get(self, act: StartAttempt) -> None:
        request = self.requests.get(act.request_number)
        if request is None:
            return
        cut_at = min(act.deadline, request.deadline) if act.deadline > 0 else request.deadline
        attempt = Attempt(request, len(request.attempts), act._replace(deadline=cut_at), self._clock.now())
        request.attempts.append(attempt)
        if request.expired:
            self.accounting.attempt_ended(attempt, Outcome.NOT_SENT)
        else:
            self.dispatcher.dispatch(attempt)

    def _cancel(self, act: CancelAttempt) -> None:
        request = self.requests.get(act.request_number)
        if request is not None and act.attempt_index < len(request.attempts):
            attempt = request.attempts[act.attempt_index]
            if not attempt.ended:
                self.dispatcher.cancel(attempt)

    def _refuse(self, act: Reject) -> None:
        if request := self.requests.get(act.request_number):
            self.accounting.counts[f"rejected_{act.reason}"] += 1
            log_rate_limited(
                "request-rejected",
                request=request.incoming.request_id,
                reason=act.reason,
                attempts=len(request.attempts),
            )
            self.response_handler.respond(
                request, FinalResponse(ResponseStatus.REJECTED, retry_after=act.retry_after)
            )

    def _fail(self, act: Fail) -> None:
        if request := self.requests.get(act.request_number):
            self.response_handler.respond(request, FinalResponse(ResponseStatus.FAILED))

    def _timer(self, act: SetTimer) -> None:
        self._timers.call_at(act.fire_at, partial(self.post, TimerFired(act.token)))

    def _log(self, act: LogMessage) -> None:
        """Guards against a log full of one line: the same text comes once a second at most."""
        now = self._clock.now()
        self._said = {text: at for text, at in self._said.items() if 0 <= now - at < SAID_FOR}
        if act.text not in self._said:
            self._said[act.text] = now
            log("routing", text=act.text)

    # -- ends --

    def _backstop(self, request: ActiveRequest) -> None:
        """Guards against a request that nobody answers."""
        if not request.answered:
            if request.attempts:
                log("backstop-timeout", request=request.incoming.request_id)
            else:
                self.accounting.counts["rejected_expired"] += 1
                log_rate_limited(
                    "request-rejected",
                    request=request.incoming.request_id,
                    reason="its time was over before its decision",
                )
            self.response_handler.respond(request, self.response_without_decision(request))
            self.post(ClientDisconnected(request.request_number))
        for attempt in request.attempts:
            if not attempt.ended:
                self.dispatcher.cancel(attempt)

    def expire_all(self) -> None:
        """The router is about to stop: the time of all that is open is over, and the module is told so."""
        for request in self.requests:
            request.expired = True
            for attempt in list(request.attempts):
                if not attempt.ended:
                    self.dispatcher.on_attempt_timeout(attempt)
            if not request.answered:
                self._backstop(request)
