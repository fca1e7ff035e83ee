"""The event loop of the core: passes events to the routing policy and carries out the actions it returns."""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from functools import partial
from typing import Any

from edge_router.decision.messages import (
    CancelAttempt,
    ClientDisconnected,
    Event,
    Fail,
    LogMessage,
    Outcome,
    Reject,
    RequestReceived,
    SetTimer,
    StartAttempt,
    TimerFired,
)
from edge_router.decision.policy import RoutingPolicy
from edge_router.decision.purges import purge_retention
from edge_router.decision.settings import Idempotency, Settings
from edge_router.discovery.endpoint_table import EndpointTable
from edge_router.discovery.events import DiscoveryEvent
from edge_router.discovery.purge_history import PurgeHistory
from edge_router.proxy.accounting import RequestAccounting
from edge_router.proxy.admission import AdmissionController
from edge_router.proxy.connection_pool import Connect, ConnectionPool
from edge_router.proxy.discovery_updates import DiscoveryUpdates
from edge_router.proxy.dispatcher import AttemptDispatcher
from edge_router.proxy.messages import FinalResponse, IncomingRequest, ResponseStatus
from edge_router.proxy.request_table import ActiveRequest, Attempt, RequestTable
from edge_router.proxy.response_handler import ResponseHandler
from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import log, log_rate_limited
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.runtime.peer_clock import PeerClock
from edge_router.runtime.timers import Timers, no_wakeup

DECISION_BATCH = 8  # requests that are shed or routed before the sockets are read again
LOG_REPEAT_INTERVAL = 1000.0  # ms within which the same text of the policy is not logged again
# A request that the policy has not answered is answered this many ms after its deadline.
BACKSTOP_DELAY = 20.0


class IdConflict(StrEnum):
    """Why a request may not use its id; the values are part of the log."""

    OPEN = "another open request"
    MAY_HAVE_RUN = "a request that may have run"


class RequestRouter:
    """The core of the router. It never blocks, and it does not depend on the protocol of the clients."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        timers: Timers,
        budget: MemoryBudget,
        transfer_rate: float,
        connect: Connect,
        wake: Callable[[], None] = no_wakeup,
    ) -> None:
        """Create and connect the parts of the core.

        `transfer_rate` is the bandwidth of one transfer in bytes per second (0: unknown); `connect` opens
        connections to caches; `wake` is called when a request waits to be routed.
        """
        self._settings = settings
        self._clock, self._timers = clock, timers
        self._policy = RoutingPolicy(settings, seed)
        self._events: deque[Event] = deque()
        self._processing = False  # whether a caller is handling the queued events
        self.endpoints = EndpointTable()
        self.requests = RequestTable()
        self.admission = AdmissionController(settings, self.requests, budget, transfer_rate, seed)
        self._undecided: deque[tuple[float, ActiveRequest]] = deque()  # each with the time of its receipt
        self._wake = wake
        self.accounting = RequestAccounting(settings, clock, self.admission, self.post)
        self.peer_clock = PeerClock(clock)
        self.purges = PurgeHistory(purge_retention(settings))
        self.response_handler = ResponseHandler(
            settings, self.accounting, self.admission, clock, self.peer_clock, self.purges
        )
        pool = ConnectionPool(clock, timers, self.endpoints, settings, self.accounting.counts, connect)
        self.dispatcher = AttemptDispatcher(
            settings,
            clock,
            timers,
            self.endpoints,
            pool,
            self.accounting,
            self.response_handler,
            self.admission,
        )
        self._discovery_updates = DiscoveryUpdates(
            clock, self.peer_clock, self.endpoints, self.purges, self.requests, self.dispatcher, self.post
        )
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            StartAttempt: self._start_attempt,
            CancelAttempt: self._cancel_attempt,
            Reject: self._reject,
            Fail: self._fail,
            SetTimer: self._set_timer,
            LogMessage: self._log_message,
        }
        self._logged_at: dict[str, float] = {}  # when each text of the policy was last logged

    def id_conflict(self, incoming: IncomingRequest) -> IdConflict | None:
        """Return why a new request may not use its id; None if it may."""
        active = self.requests.find(incoming.request_id)
        if active is not None and not active.answered:
            return IdConflict.OPEN
        idempotent = self._settings.classes[incoming.class_index].idempotency is Idempotency.IDEMPOTENT
        if (active is not None and not idempotent) or self.accounting.may_have_run(incoming.request_id):
            return IdConflict.MAY_HAVE_RUN
        return None

    def on_request(self, incoming: IncomingRequest) -> ActiveRequest | None:
        """Admit a request and queue it for routing; None if it was rejected and thereby answered."""
        now = self._clock.now()
        request = self.admission.admit(now, incoming)
        if request is None:
            expired = incoming.time_unread >= incoming.timeout
            self.accounting.counts["rejected_expired" if expired else "rejected_no_capacity"] += 1
            incoming.respond(FinalResponse(ResponseStatus.REJECTED, retry_after=self.admission.retry_after()))
            return None
        request.backstop_timer = self._timers.call_at(
            request.deadline + BACKSTOP_DELAY, partial(self._on_backstop, request)
        )
        self._undecided.append((now, request))
        self._wake()
        return request

    def run_decisions(self) -> bool:
        """Shed or route a batch of requests; return whether more are waiting.

        Sockets are read between batches, so that a burst of requests does not delay responses. The time for
        which a request waits here shows whether the router is overloaded. Requests that were withdrawn while
        they waited take nothing from the batch.
        """
        decided = 0
        while self._undecided and decided < DECISION_BATCH:
            received_at, request = self._undecided.popleft()
            if not request.answered:
                decided += 1
                self._decide(received_at, request)
        return bool(self._undecided)

    def _decide(self, received_at: float, request: ActiveRequest) -> None:
        now, incoming = self._clock.now(), request.incoming
        queue_time = now - received_at
        self.accounting.record_queue_time(queue_time)
        if reason := self.admission.shed_reason(now, received_at, incoming.class_index):
            self.accounting.counts[f"shed_{reason}"] += 1
            log_rate_limited(
                "request-rejected",
                request=incoming.request_id,
                reason=f"shed_{reason}",
                queue_ms=queue_time,
            )
            self.response_handler.respond(
                request, FinalResponse(ResponseStatus.REJECTED, retry_after=self.admission.retry_after())
            )
        else:
            self.post(
                RequestReceived(
                    request.request_number,
                    incoming.class_index,
                    incoming.object_key,
                    request.deadline - now,
                    incoming.size_kb,
                    incoming.purge_group,
                    incoming.segment,
                )
            )

    def on_client_disconnected(self, request: ActiveRequest) -> None:
        """Handle the disconnect of the client of an open request, and end its unsent attempts."""
        if not request.answered:
            self.response_handler.client_disconnected(request)
            self.post(ClientDisconnected(request.request_number))
            for attempt in list(request.attempts):
                if attempt.sent_at is None:
                    self.dispatcher.end_unless_sendable(attempt)

    def on_discovery_event(self, event: DiscoveryEvent) -> None:
        """Handle a change of the endpoints or a purge."""
        self._discovery_updates.apply(event)

    def limit_tracked_objects(self, count: int) -> None:
        """Limit how many objects the routing policy keeps figures of."""
        self._policy.limit_tracked_objects(count)

    def statistics(self) -> dict[str, float]:
        """Return the policy's figures for the statistics in the log."""
        return self._policy.statistics(self._clock.now())

    def post(self, event: Event) -> None:
        """Queue an event for the policy, and handle all queued events unless a caller is already doing so."""
        self._events.append(event)
        if self._processing:
            return
        self._processing = True
        try:
            while self._events:
                self._handle_event(self._events.popleft())
        finally:
            self._processing = False

    def _handle_event(self, event: Event) -> None:
        """Pass an event to the policy and carry out the actions that it returns.

        An error is logged and the router continues. If the event is a new request, that request is answered
        as failed; all others wait for a later event or their backstop.
        """
        try:
            for action in self._policy.handle(self._clock.now(), event):
                if handler := self._action_handlers.get(type(action)):
                    handler(action)
        except Exception as error:
            frame = traceback.extract_tb(error.__traceback__)[-1]
            log(
                "internal-error",
                location=f"{frame.filename.rpartition('/')[2]}:{frame.lineno}",
                error=repr(error),
            )
            if isinstance(event, RequestReceived) and (request := self.requests.get(event.request_number)):
                self._fail(Fail(request.request_number))

    def _start_attempt(self, action: StartAttempt) -> None:
        request = self.requests.get(action.request_number)
        if request is None:
            return
        deadline = min(action.deadline, request.deadline) if action.deadline > 0 else request.deadline
        instruction = action._replace(deadline=deadline)
        starts = self.dispatcher.process_starts(instruction)
        attempt = Attempt(request, len(request.attempts), instruction, self._clock.now(), starts)
        request.attempts.append(attempt)
        if request.ended_by_shutdown:
            self.accounting.attempt_ended(attempt, Outcome.NOT_SENT)
        else:
            self.dispatcher.dispatch(attempt)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        request = self.requests.get(action.request_number)
        if request is not None and action.attempt_index < len(request.attempts):
            attempt = request.attempts[action.attempt_index]
            if not attempt.ended:
                self.dispatcher.cancel(attempt)

    def _reject(self, action: Reject) -> None:
        if request := self.requests.get(action.request_number):
            self.accounting.counts[f"rejected_{action.reason}"] += 1
            log_rate_limited(
                "request-rejected",
                request=request.incoming.request_id,
                reason=action.reason,
                attempts=len(request.attempts),
            )
            self.response_handler.respond(
                request, FinalResponse(ResponseStatus.REJECTED, retry_after=action.retry_after)
            )

    def _fail(self, action: Fail) -> None:
        if request := self.requests.get(action.request_number):
            self.response_handler.respond(request, FinalResponse(ResponseStatus.FAILED))

    def _set_timer(self, action: SetTimer) -> None:
        self._timers.call_at(action.fire_at, partial(self.post, TimerFired(action.token)))

    def _log_message(self, action: LogMessage) -> None:
        """Log a text of the policy; the same text is logged at most once in `LOG_REPEAT_INTERVAL`."""
        now = self._clock.now()
        self._logged_at = {
            text: logged_at
            for text, logged_at in self._logged_at.items()
            if 0 <= now - logged_at < LOG_REPEAT_INTERVAL
        }
        if action.text not in self._logged_at:
            self._logged_at[action.text] = now
            log("routing", text=action.text)

    def _on_backstop(self, request: ActiveRequest) -> None:
        """Answer a request that is unanswered after its deadline or at shutdown, and end its attempts."""
        if not request.answered:
            if request.attempts:
                log("backstop-timeout", request=request.incoming.request_id)
            else:
                self.accounting.counts["rejected_expired"] += 1
                log_rate_limited(
                    "request-rejected",
                    request=request.incoming.request_id,
                    reason="its deadline passed before it was routed",
                )
            self.response_handler.respond(request, self.response_handler.fallback_response(request))
            # Makes the policy drop the request; the client has not in fact disconnected.
            self.post(ClientDisconnected(request.request_number))
        for attempt in request.attempts:
            if not attempt.ended:
                self.dispatcher.cancel(attempt)

    def expire_all(self) -> None:
        """End all open requests and their attempts, because the router is about to stop."""
        for request in self.requests:
            request.ended_by_shutdown = True
            for attempt in list(request.attempts):
                if not attempt.ended:
                    self.dispatcher.on_attempt_timeout(attempt)
            if not request.answered:
                self._on_backstop(request)
