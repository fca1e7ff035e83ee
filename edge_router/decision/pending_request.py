"""The records of a request that has no final answer yet, and of its attempts.

Times are milliseconds of the router's clock; work is the time of sending at full bandwidth.
"""

from __future__ import annotations

from dataclasses import dataclass

from edge_router.decision import rules
from edge_router.decision.link_load import LinkLoad
from edge_router.decision.messages import EndpointId, RejectionReason, RequestReceived
from edge_router.decision.settings import ClassSettings
from edge_router.decision.slow_start import Charge


@dataclass(slots=True)
class AttemptRecord:
    """One attempt of a request."""

    endpoint_id: EndpointId
    source_id: EndpointId
    started_at: float  # when the policy started it; its first byte is written later
    overdue_at: float
    fill_expected: bool  # the cache probably lacks the object
    parent_charge: Charge  # in the slow-start budget of the source
    cache_load: LinkLoad  # kept here, as the endpoint may be removed before the attempt ends
    source_load: LinkLoad
    concurrent_fills: int = 0  # this router's fills on the zone link when it was started, including it
    concurrent_attempts: int = 0  # this router's attempts at the cache when it was started, including it
    in_flight: bool = True  # until it ends
    may_have_run: bool = True
    overdue: bool = False


class PendingRequest:
    """A request that has no final answer yet."""

    def __init__(self, now: float, request: RequestReceived, settings: ClassSettings, work: float) -> None:
        self.request = request
        self.settings = settings
        self.work = work
        self.deadline = now + request.time_remaining
        self.latency_objective = min(
            settings.latency_objective + settings.latency_objective_per_work * work, settings.deadline
        )
        self.attempts: list[AttemptRecord] = []
        self.missed = False  # an attempt ended with MISS
        self.avoids_origin = False  # the object must not be fetched from the origin
        self.rejection_reason = RejectionReason.NO_CACHE  # used if no attempt can be sent
        self.tried_endpoints: set[EndpointId] = set()
        self.failed_sources: set[EndpointId] = set()

    def first_possible_run(self) -> rules.PossibleRun | None:
        """The first attempt that may have run."""
        for attempt in self.attempts:
            if attempt.may_have_run:
                return rules.PossibleRun(attempt.endpoint_id, attempt.started_at)
        return None

    def start_before(self) -> float:
        """The time by which the next attempt has to start; later a cache would not recognise a repeat."""
        first = self.first_possible_run()
        return rules.repeat_until(self.settings, first.started_at if first else None)

    def in_flight_attempts(self) -> int:
        """The number of attempts that have not ended."""
        return sum(attempt.in_flight for attempt in self.attempts)
