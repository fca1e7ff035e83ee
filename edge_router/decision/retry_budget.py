"""The retry budget: limits retries and hedged requests to a part of the requests.

Source: ours, after the retry budgets of Finagle and gRPC. Without it an overload would be multiplied.
"""

from __future__ import annotations

RETRY_RATIO = 0.1  # retries and hedged requests earned by each request
RETRY_BURST = 20.0  # the most that can be saved up


class RetryBudget:
    """A token bucket that each request fills a little and each retry or hedged request empties by one."""

    def __init__(self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST) -> None:
        """Starts full, with `burst` tokens; each request earns `ratio` tokens."""
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def record_request(self) -> None:
        """A request was received."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def refund(self) -> None:
        """A hedged request proved to be needed."""
        self.tokens = min(self.burst, self.tokens + 1.0)

    def try_spend(self) -> bool:
        """Takes one token; False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
