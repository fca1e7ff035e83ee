"""Outlier detection: ejects an endpoint that fails or is silent several times in a row.

Source: ours, after the consecutive-failure ejection of Envoy's outlier detection and the half-open state of a
circuit breaker. Times are milliseconds.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass

from edge_router.decision.messages import EndpointId

EJECTION_SCORE = 2  # the summed score of failures without a success between that ejects an endpoint
RESET_SCORE = 0.5  # of a broken connection; if its process has died, the next connection is refused anyway
EJECTION_TIME = 4.0  # in connect timeouts; then one attempt tries the endpoint


@dataclass(slots=True)
class OutlierDetector:
    """The failures of one endpoint in one role; a success clears them."""

    last_success: float = -math.inf
    failure_score: float = 0.0
    ejected_until: float = -math.inf
    last_reset: float = -math.inf

    def record_success(self, now: float) -> None:
        """The endpoint answered; it is ejected no longer."""
        self.last_success = now
        self.failure_score = 0
        self.ejected_until = -math.inf

    def record_failure(self, now: float, sent_at: float, ejection_time: float, score: float = 1.0) -> bool:
        """An attempt sent at that time failed or is overdue; True if that ejects the endpoint."""
        if sent_at <= self.last_success:
            return False
        score_before = self.failure_score
        self.failure_score += score
        if self.failure_score >= EJECTION_SCORE and now >= self.ejected_until:
            self.ejected_until = now + ejection_time
        return score_before < EJECTION_SCORE <= self.failure_score

    def is_new_reset(self, now: float, sent_at: float) -> bool:
        """Records a broken connection; False if the attempt was sent before the last one.

        A break takes down all attempts on its connection, and must count once.
        """
        if sent_at <= self.last_reset:
            return False
        self.last_reset = now
        return True

    def is_available(self, now: float) -> bool:
        """Whether attempts may go there."""
        return now >= self.ejected_until

    def start_trial(self, now: float, ejection_time: float) -> None:
        """An attempt goes to the endpoint; if its ejection is just over, the others stay away meanwhile."""
        if self.failure_score >= EJECTION_SCORE:
            self.ejected_until = now + ejection_time


OutlierDetectors = defaultdict[EndpointId, OutlierDetector]
