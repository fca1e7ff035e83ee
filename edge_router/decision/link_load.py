"""The load of one link as one router sees it: its own transfers, its share of the link, and recent slowdown.

Source: ours. A router sees a small part of the traffic, so that its own transfers say little of a link that
many fill; the slowdown of recent transfers tells of the others. Times are milliseconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

SLOWDOWN_HALF_LIFE = 3.0  # in the shortest latency objectives
HEADROOM_DEVIATIONS = 2.0  # a router may exceed its share by so many standard deviations of its own work
# The weight, in the shortest latency objectives, of the assumption that a link is not slowed down.
PRIOR_WEIGHT = 0.4
MIN_MEASURABLE_SLOWDOWN = 1.3  # a transfer slowed down by more than this tells the capacity of a link
CAPACITY_LEARNING_RATE = 0.1  # weight of one observation of the capacity
MAX_DECAY_HALVINGS = 64.0


@dataclass(slots=True)
class LinkLoad:
    """The load of one router on one link; 'work' is the time a transfer takes alone on the link."""

    capacity: float  # this router's share of the transfers at once; infinite while it is unknown
    headroom: float  # for chance, beyond the capacity, as long as nothing is slowed down
    shortest_objective: float
    in_flight: int = 0
    in_flight_work: float = 0.0
    transfer_time: float = 0.0  # of recent transfers, decaying
    transfer_work: float = 0.0  # of the same transfers
    updated_at: float = 0.0

    @classmethod
    def of_share(cls, transfers: float, share: float, shortest_objective: float) -> LinkLoad:
        """A share of a link for so many transfers at once; 0 means unknown until it is learned."""
        if transfers <= 0:
            return cls(math.inf, 0.0, shortest_objective)
        own = transfers * share
        headroom = HEADROOM_DEVIATIONS * math.sqrt(own * (1 - share))
        return cls(max(1.0, own), headroom, shortest_objective)

    def _decay(self, now: float) -> float:
        half_life = SLOWDOWN_HALF_LIFE * self.shortest_objective
        return float(0.5 ** min(MAX_DECAY_HALVINGS, (now - self.updated_at) / half_life))

    def slowdown(self, now: float) -> float:
        """By how much recent transfers were slowed down; 1 is full speed."""
        decay, prior = self._decay(now), PRIOR_WEIGHT * self.shortest_objective
        return (self.transfer_time * decay + prior) / (self.transfer_work * decay + prior)

    def expected_slowdown(self, now: float) -> float:
        """By how much one more transfer would be slowed down."""
        slowdown = self.slowdown(now)
        headroom = self.headroom * min(1.0, max(0.0, 2.0 - slowdown))
        return max(1.0, (self.in_flight + 1) / (self.capacity + headroom), slowdown)

    def record_transfer(self, now: float, duration: float, work: float) -> None:
        """A transfer of so much work took so long."""
        decay = self._decay(now)
        self.transfer_time = self.transfer_time * decay + duration
        self.transfer_work = self.transfer_work * decay + work
        self.updated_at = now

    def update_capacity(self, concurrent: int, slowdown: float) -> None:
        """Learns the capacity from a transfer among so many, where none was configured."""
        observed = max(1.0, concurrent / max(slowdown, 1.0))
        if self.capacity == math.inf:
            self.capacity = observed if slowdown >= MIN_MEASURABLE_SLOWDOWN and concurrent > 1 else math.inf
        elif slowdown >= MIN_MEASURABLE_SLOWDOWN or concurrent > self.capacity:
            self.capacity += CAPACITY_LEARNING_RATE * (observed - self.capacity)
