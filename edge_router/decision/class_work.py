"""The mean work of the requests of one class, also where clients do not state the sizes of objects.

Work is the time in milliseconds of sending the response at the clients' full bandwidth. Slow start is
budgeted by it, so an unknown size must not count as no work.

Source: the operators' page `WIRE-robinbeam.md`, section "Invariants" (rule 4: each attempt weighs its class's
mean sending time) and the message `incoming` (`length_kb` is "not given everywhere").
"""

from __future__ import annotations

from edge_router.decision.running_mean import RunningMean

PRIOR_SAMPLES = 5.0  # weight of the assumption that holds before any transfer has been observed


class ClassWork:
    """Learns from the stated sizes and, for requests without one, from the durations of their transfers.

    A transfer takes at least as long as it would at full bandwidth, so durations do not understate the work.
    """

    def __init__(self, assumed_work: float) -> None:
        """`assumed_work` is the mean work of requests without a stated size until some were answered."""
        self.stated_share = (
            RunningMean()
        )  # part (0 to 1) of the requests whose work is known when they arrive
        self.stated = RunningMean()
        self.observed = RunningMean(PRIOR_SAMPLES, assumed_work)

    def record_request(self, work: float) -> None:
        """Counts a request; its `work` is 0 if it is not known."""
        self.stated_share.record(1.0 if work > 0 else 0.0)
        if work > 0:
            self.stated.record(work)

    def record_transfer(self, duration: float) -> None:
        """Records for how long the response to a request of unknown work was sent."""
        self.observed.record(duration)

    def mean(self) -> float:
        """Returns the mean work of a request."""
        stated_share = self.stated_share.mean
        return stated_share * self.stated.mean + (1.0 - stated_share) * self.observed.mean
