"""Outlier detection: ejects an endpoint that fails or is silent several times in a row.

It follows the consecutive-failure ejection of Envoy's outlier detection and the half-open state of a circuit
breaker. Times are milliseconds.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass

from edge_router.decision.messages import EndpointId

EJECTION_SCORE = 2  # an endpoint is ejected once its failures since the last success sum to this
RESET_SCORE = 0.5  # of a reset connection; lower, as a dead process also refuses the next connection
EJECTION_TIME_FACTOR = 4.0  # multiple of the connect timeout; after it, a single attempt is sent as a trial


@dataclass(slots=True)
class OutlierDetector:
    """The failures of one endpoint in one role since its last success."""

    last_success: float = -math.inf
    failure_score: float = 0.0
    ejected_until: float = -math.inf
    last_reset: float = -math.inf

    def record_success(self, now: float) -> None:
        """Records an answer, which clears the failures and ends an ejection."""
        self.last_success = now
        self.failure_score = 0
        self.ejected_until = -math.inf

    def record_failure(self, now: float, started_at: float, ejection_time: float, score: float = 1.0) -> bool:
        """Records that an attempt started at `started_at` failed or is overdue.

        Returns True if the failures reach `EJECTION_SCORE` with this one; a failure that starts the ejection
        again after its end returns False. An attempt started before the last success doesn't count.
        """
        if started_at <= self.last_success:
            return False
        score_before = self.failure_score
        self.failure_score += score
        if self.failure_score >= EJECTION_SCORE and now >= self.ejected_until:
            self.ejected_until = now + ejection_time
        return score_before < EJECTION_SCORE <= self.failure_score

    def record_reset(self, now: float, started_at: float) -> bool:
        """Records a reset connection; False if the attempt was started before the last recorded reset.

        A reset ends all attempts on its connection, and must count only once.
        """
        if started_at <= self.last_reset:
            return False
        self.last_reset = now
        return True

    def is_available(self, now: float) -> bool:
        """Whether attempts may be sent to the endpoint."""
        return now >= self.ejected_until

    def start_trial(self, now: float, ejection_time: float) -> None:
        """Records that an attempt is sent.

        If the endpoint's failures still reach `EJECTION_SCORE`, it is ejected again for `ejection_time`, so
        that this attempt is the only trial.
        """
        if self.failure_score >= EJECTION_SCORE:
            self.ejected_until = now + ejection_time


OutlierDetectors = defaultdict[EndpointId, OutlierDetector]
