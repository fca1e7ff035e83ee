"""Slow start: limits the work sent to an endpoint that has started lately and is still warming up.

Source: the overload rules of the settings (`cold_from`, `warm_up`, `tip_multiple`, `overload_for`); an
endpoint that gets more than a multiple of its present capacity within a window fails. Times are milliseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Container
from dataclasses import dataclass

from edge_router.decision.messages import Endpoint, EndpointId

SAFE_BUDGET_SHARE = 0.6  # part of the budget that is used, as sizes are estimates and routers uneven


@dataclass(slots=True)
class Charge:
    """One attempt's part of a budget."""

    charged_at: float
    work: float  # milliseconds of sending at full speed


class SlowStartBudget:
    """One router's share of the work that warming endpoints of one role can bear."""

    def __init__(
        self, initial_capacity: float, duration: float, overload_factor: float, overload_window: float
    ) -> None:
        """`initial_capacity` is the part of its capacity that an endpoint has when it starts."""
        self._initial_capacity = initial_capacity
        self._duration = duration
        self._overload_factor = overload_factor
        self._overload_window = overload_window
        self.charges: dict[EndpointId, deque[Charge]] = {}  # of the endpoints that are warming up

    def available_capacity(self, now: float, started_at: float) -> float:
        """The least part of its capacity that the endpoint has now; 1 once it is surely warm."""
        age = now - started_at
        if started_at <= 0 or age >= self._duration + self._overload_window:
            return 1.0
        progress = max(0.0, age - self._overload_window) / max(self._duration, 1.0)
        return self._initial_capacity + (1 - self._initial_capacity) * min(1.0, progress)

    def allows(self, now: float, endpoint: Endpoint, work: float, transfers: float, share: float) -> bool:
        """Whether so much work may go there now.

        `transfers` is how many the endpoint sends at once when warm, `share` this router's part of them.
        """
        available = self.available_capacity(now, endpoint.started_at)
        if available >= 1.0:
            self.charges.pop(endpoint.endpoint_id, None)
            return True
        charges = self.charges.setdefault(endpoint.endpoint_id, deque())
        while charges and charges[0].charged_at <= now - self._overload_window:
            charges.popleft()
        allowed = (
            self._overload_factor
            * available
            * self._overload_window
            * max(1.0, transfers)
            * share
            * SAFE_BUDGET_SHARE
        )
        return sum(charge.work for charge in charges) + work <= allowed

    def charge(self, now: float, endpoint_id: EndpointId, work: float) -> Charge:
        """Charges an attempt if the endpoint is warming up; the charge may be reduced afterwards."""
        charge = Charge(now, work)
        if endpoint_id in self.charges:
            self.charges[endpoint_id].append(charge)
        return charge

    def forget_unlisted(self, listed: Container[EndpointId]) -> None:
        """Drops the charges of endpoints that are listed no more."""
        for endpoint_id in [each for each in self.charges if each not in listed]:
            del self.charges[endpoint_id]
