"""The retry budget: limits retries and hedged requests to a part of the requests.

Without a limit, retries would multiply an overload. The design follows the retry budgets of Finagle and gRPC.
"""

from __future__ import annotations

RETRY_RATIO = 0.1  # tokens earned by each request; a retry or hedged request takes one
RETRY_BURST = 20.0  # tokens that can be saved at most


class RetryBudget:
    """A token bucket that requests fill, and from which each retry or hedged request takes one token."""

    def __init__(self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST) -> None:
        """Starts full, with `burst` tokens; each request earns `ratio` tokens."""
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def record_request(self) -> None:
        """Adds the tokens that a new request earns."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def refund(self) -> None:
        """Puts back the token of a hedged request that was needed.

        It was needed if the request is over when it ends, and an earlier attempt is still in flight.
        """
        self.tokens = min(self.burst, self.tokens + 1.0)

    def try_spend(self) -> bool:
        """Takes one token; False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
