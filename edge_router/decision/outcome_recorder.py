"""Records what the end of an attempt, or its silence, shows about its cache, its source and the origin.

The outcomes and fill results of attempts are described on the operators' page `WIRE-robinbeam.md`, section
"Outcome codes".
"""

from __future__ import annotations

from collections.abc import Callable

from edge_router.decision.copy_tracker import CopyTracker
from edge_router.decision.endpoint_directory import EndpointDirectory
from edge_router.decision.link_loads import LinkLoads
from edge_router.decision.messages import AttemptEnded, EndpointId, FillResult, LogMessage, Outcome
from edge_router.decision.outlier_detection import EJECTION_SCORE, RESET_SCORE
from edge_router.decision.pending_request import AttemptRecord, PendingRequest
from edge_router.decision.popularity import Popularity

# The cache has answered, but its fill failed at the source or the origin.
FAILED_FILLS = frozenset(
    (
        FillResult.SOURCE_REFUSED,
        FillResult.SOURCE_FAILED,
        FillResult.SOURCE_MISS,
        FillResult.ORIGIN_FAILED,
    )
)


class OutcomeRecorder:
    """Attributes the outcome of each attempt to its cache, its source or the links between them."""

    def __init__(
        self,
        directory: EndpointDirectory,
        loads: LinkLoads,
        popularity: Popularity,
        copies: CopyTracker,
        report: Callable[[LogMessage], None],
    ) -> None:
        """`report` is called with a log message when the failures of an endpoint reach `EJECTION_SCORE`."""
        self._directory = directory
        self._loads = loads
        self._popularity = popularity
        self._copies = copies
        self._report = report

    def record_end(
        self, now: float, pending: PendingRequest, attempt: AttemptRecord, event: AttemptEnded
    ) -> None:
        """Records the end of an attempt."""
        result = event.fill_result
        if result in (FillResult.FILLED_BY_ORIGIN, FillResult.ORIGIN_FAILED):
            self._loads.record_origin_fetch(now, result == FillResult.FILLED_BY_ORIGIN)
        if event.outcome is Outcome.OK:
            self._record_success(now, pending, attempt, event)
        elif result in FAILED_FILLS:
            self._record_failed_fill(now, pending, attempt, result)
        else:
            self._record_failed_attempt(now, pending, attempt, event.outcome)

    def _record_success(
        self, now: float, pending: PendingRequest, attempt: AttemptRecord, event: AttemptEnded
    ) -> None:
        request, result = pending.request, event.fill_result
        self._directory.cache_outliers[attempt.endpoint_id].record_success(now)
        if result == FillResult.HIT:
            self._loads.record_hit(now, attempt, pending.work, event.duration)
            attempt.parent_charge.work = 0.0  # the request never reached the parent
        if result == FillResult.HIT or self._popularity.cache_rank(request.object_key):
            self._copies.record(now, request, attempt.endpoint_id)
        if result in (FillResult.FILLED, FillResult.FILLED_BY_ORIGIN):
            self._loads.record_fill(now, attempt, pending.work, event)
            self._directory.source_outliers[attempt.source_id].record_success(now)

    def _record_failed_fill(
        self, now: float, pending: PendingRequest, attempt: AttemptRecord, result: int
    ) -> None:
        """Counts SOURCE_FAILED against the source; all failed fills count as a success of the cache.

        Further attempts of the request prefer other parents.
        """
        pending.failed_sources.add(attempt.source_id)
        if result != FillResult.SOURCE_MISS:
            self._loads.record_failed_fill(pending)
        self._directory.cache_outliers[attempt.endpoint_id].record_success(now)
        if result == FillResult.SOURCE_FAILED:
            self._source_failed(now, attempt)

    def _record_failed_attempt(
        self, now: float, pending: PendingRequest, attempt: AttemptRecord, outcome: Outcome
    ) -> None:
        """Counts a failed connection, an error or a reset against the cache.

        MISS and OVERLOADED are no faults of the cache; `record_overdue` counts its silence.
        """
        if outcome is Outcome.CONNECT_FAILED:
            self._cache_failed(now, attempt, EJECTION_SCORE)
        elif outcome is Outcome.ERROR:
            self._cache_failed(now, attempt)
        elif outcome is Outcome.RESET:
            cache = self._directory.cache_outliers[attempt.endpoint_id]
            if cache.record_reset(now, attempt.started_at):
                self._cache_failed(now, attempt, RESET_SCORE)
            if cache.is_available(now):
                # A retry may go to the same cache, which may already hold the object, unlike the next one.
                pending.tried_endpoints.discard(attempt.endpoint_id)

    def record_overdue(self, now: float, attempt: AttemptRecord) -> None:
        """Counts an overdue attempt against its cache or, if that has answered since, against its source."""
        attempt.overdue = True
        if self._directory.cache_outliers[attempt.endpoint_id].last_success < attempt.started_at:
            self._cache_failed(now, attempt)
        elif attempt.fill_expected:
            self._source_failed(now, attempt)

    def _began_before_start(self, attempt: AttemptRecord, endpoint_id: EndpointId) -> bool:
        """Whether the endpoint's process has started since; the failure was that of an earlier one then."""
        endpoint = self._directory.endpoints.get(endpoint_id)
        return endpoint is not None and attempt.started_at < endpoint.started_at

    def _cache_failed(self, now: float, attempt: AttemptRecord, score: float = 1) -> None:
        if self._began_before_start(attempt, attempt.endpoint_id):
            return
        if self._directory.cache_failed(now, attempt.endpoint_id, attempt.started_at, score):
            self._report_ejection("cache", attempt.endpoint_id)

    def _source_failed(self, now: float, attempt: AttemptRecord) -> None:
        if self._began_before_start(attempt, attempt.source_id):
            return
        if self._directory.source_failed(now, attempt.source_id, attempt.started_at):
            self._report_ejection("source", attempt.source_id)

    def _report_ejection(self, role: str, endpoint_id: EndpointId) -> None:
        self._report(LogMessage(f"{role} {endpoint_id:x} ejected"))
