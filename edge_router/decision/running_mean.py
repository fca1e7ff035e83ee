"""A running mean over about a fixed number of samples."""

from __future__ import annotations

from dataclasses import dataclass

MAX_WEIGHED_SAMPLES = 1000.0  # a new sample has at least the weight 1 / this


@dataclass(slots=True)
class RunningMean:
    """The mean of the recorded samples, of which early ones fade; 0 before the first.

    Created with `samples` above 0, it starts from a prior assumption `mean` with the weight of that many.
    """

    samples: float = 0.0
    mean: float = 0.0

    def record(self, value: float) -> None:
        """Adds a sample."""
        self.samples += 1
        self.mean += (value - self.mean) / min(self.samples, MAX_WEIGHED_SAMPLES)
