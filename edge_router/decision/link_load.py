"""The load of one link as one router sees it: its own transfers, its share of the link, and recent slowdown.

A router sees only its own transfers, which are a small part of the load of a link that many routers share.
The load of the other routers is estimated from the slowdown of recent transfers. Times are milliseconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

SLOWDOWN_HALF_LIFE_FACTOR = 3.0  # multiple of the shortest latency objective
HEADROOM_DEVIATIONS = 2.0  # standard deviations of its own load by which a router may exceed its share
# Weight of the prior assumption of full speed, in multiples of the shortest latency objective.
PRIOR_WEIGHT_FACTOR = 0.4
MIN_MEASURABLE_SLOWDOWN = 1.3  # the capacity is learned from transfers slowed down by at least this
CAPACITY_LEARNING_RATE = 0.1  # weight of one observation of the capacity
MAX_DECAY_HALVINGS = 64.0  # after more, the recorded transfers have no weight left


@dataclass(slots=True)
class LinkLoad:
    """The load of one router on one link; the work of a transfer is its duration at full speed."""

    capacity: float  # this router's share, in concurrent transfers; infinite while unknown
    headroom: float  # transfers beyond the capacity at slowdown 1; falls to none at slowdown 2
    shortest_objective: float
    in_flight: int = 0
    in_flight_work: float = 0.0
    transfer_time: float = 0.0  # summed duration of recent transfers, decaying
    transfer_work: float = 0.0  # summed work of the same transfers
    updated_at: float = 0.0

    @classmethod
    def from_share(cls, transfers: float, share: float, shortest_objective: float) -> LinkLoad:
        """Creates the load of a link that sustains `transfers` at once; this router's `share` is 0 to 1.

        The capacity is at least 1. With 0 transfers it is unknown, and infinite until it is learned.
        """
        if transfers <= 0:
            return cls(math.inf, 0.0, shortest_objective)
        own = transfers * share
        # The variance of a binomial distribution: each transfer is this router's with probability `share`.
        headroom = HEADROOM_DEVIATIONS * math.sqrt(own * (1 - share))
        return cls(max(1.0, own), headroom, shortest_objective)

    def _decay(self, now: float) -> float:
        half_life = SLOWDOWN_HALF_LIFE_FACTOR * self.shortest_objective
        return float(0.5 ** min(MAX_DECAY_HALVINGS, (now - self.updated_at) / half_life))

    def slowdown(self, now: float) -> float:
        """The factor by which recent transfers were slowed down; 1 is full speed."""
        decay, prior = self._decay(now), PRIOR_WEIGHT_FACTOR * self.shortest_objective
        return (self.transfer_time * decay + prior) / (self.transfer_work * decay + prior)

    def expected_slowdown(self, now: float) -> float:
        """The factor by which one more transfer would be slowed down."""
        slowdown = self.slowdown(now)
        headroom = self.headroom * min(1.0, max(0.0, 2.0 - slowdown))
        return max(1.0, (self.in_flight + 1) / (self.capacity + headroom), slowdown)

    def record_transfer(self, now: float, duration: float, work: float) -> None:
        """Records the duration and the work of a finished transfer."""
        decay = self._decay(now)
        self.transfer_time = self.transfer_time * decay + duration
        self.transfer_work = self.transfer_work * decay + work
        self.updated_at = now

    def update_capacity(self, concurrent: int, slowdown: float) -> None:
        """Learns an unknown capacity, or corrects a known one, from one of `concurrent` transfers.

        `slowdown` is the factor by which that transfer was slowed down.
        """
        observed = max(1.0, concurrent / max(slowdown, 1.0))
        if self.capacity == math.inf:
            self.capacity = observed if slowdown >= MIN_MEASURABLE_SLOWDOWN and concurrent > 1 else math.inf
        elif slowdown >= MIN_MEASURABLE_SLOWDOWN or concurrent > self.capacity:
            self.capacity += CAPACITY_LEARNING_RATE * (observed - self.capacity)
