"""Turns cache responses into the single final response of each request."""

from __future__ import annotations

from edge_router.decision import rules
from edge_router.decision.messages import FillResult, Outcome
from edge_router.decision.settings import Settings
from edge_router.discovery.purge_history import PurgeHistory
from edge_router.proxy.accounting import RequestAccounting
from edge_router.proxy.admission import AdmissionController
from edge_router.proxy.cache_response import NOT_MODIFIED, OUTCOME_BY_STATUS, CacheResponse
from edge_router.proxy.messages import FinalResponse, ResponseStatus
from edge_router.proxy.request_table import ActiveRequest, Attempt
from edge_router.proxy.response_validation import ResponseValidator
from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import log_rate_limited
from edge_router.runtime.peer_clock import PeerClock


class ResponseHandler:
    """Responds to clients and ends the attempts that a cache has answered."""

    def __init__(
        self,
        settings: Settings,
        accounting: RequestAccounting,
        admission: AdmissionController,
        clock: Clock,
        peer_clock: PeerClock,
        purges: PurgeHistory,
    ) -> None:
        self._classes = settings.classes
        self._load_report_fields = settings.load_report_fields
        self._accounting = accounting
        self._admission = admission
        self._clock = clock
        self._peer_clock = peer_clock
        self.validator = ResponseValidator(settings, peer_clock, purges)

    def respond(self, request: ActiveRequest, response: FinalResponse) -> None:
        """Sends the final response to the client; drops it if the request is already answered."""
        if request.answered:
            return
        self._accounting.invariants.check_response(request, response.status, self._clock.now())
        request.answered = True
        self._accounting.counts[response.status.value] += 1
        request.incoming.respond(response)
        self._accounting.close_if_finished(request)

    def fallback_response(self, request: ActiveRequest) -> FinalResponse:
        """Returns a response without asking the routing policy: rejected if a retry is safe, else failed."""
        may_have_run = any(attempt.may_have_run() for attempt in request.attempts)
        if rules.may_reject(self._classes[request.incoming.class_index], may_have_run):
            return FinalResponse(ResponseStatus.REJECTED, retry_after=self._admission.retry_after())
        return FinalResponse(ResponseStatus.FAILED)

    def client_disconnected(self, request: ActiveRequest) -> None:
        """Marks a request as answered because its client has disconnected; sends nothing.

        If the client has closed only its sending side, the frontend sends a response itself.
        """
        request.answered = True
        self._accounting.counts["client_disconnected"] += 1
        self._accounting.close_if_finished(request)

    def on_response(self, attempt: Attempt, response: CacheResponse) -> None:
        """Handles a well-formed cache response to an attempt in flight."""
        outcome = OUTCOME_BY_STATUS[response.status]
        fill_result = response.fill_result()
        if outcome is Outcome.OK:
            if fill_result is FillResult.FILLED_BY_ORIGIN and (created_at := response.creation_time()):
                self._peer_clock.observe_copy(created_at, attempt.started_at, self._clock.now())
            if defect := self.validator.find_defect(attempt, response):
                log_rate_limited(
                    "invalid-response",
                    request=attempt.request.incoming.request_id,
                    endpoint=f"s-{attempt.instruction.endpoint_id:08x}",
                    reason=str(defect),
                )
                outcome = Outcome.ERROR
        if outcome is Outcome.OK:
            self.respond(attempt.request, self._final_response(attempt, response))
        self._accounting.attempt_ended(
            attempt,
            outcome,
            fill_result,
            response.fill_wait(),
            response.load_report(self._load_report_fields),
            body_received=response.status != NOT_MODIFIED,
        )

    def _final_response(self, attempt: Attempt, response: CacheResponse) -> FinalResponse:
        """Returns the final response for a valid one of a cache, of which the body may have been dropped."""
        if attempt.body_dropped:
            self._accounting.counts["bodies_dropped"] += 1
            return self.fallback_response(attempt.request)
        not_modified = response.status == NOT_MODIFIED
        status = ResponseStatus.NOT_MODIFIED if not_modified else ResponseStatus.SERVED
        return FinalResponse(status, response.body, response.etag())
