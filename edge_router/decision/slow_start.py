"""Slow start: limits the work sent to an endpoint that has started recently and is still warming up.

An endpoint fails if the work sent to it within `overload_window` exceeds `overload_factor` times the work
that it can do in that time at its present capacity, which grows from `initial_capacity` to 1 within
`duration`. Times are milliseconds; work is the time of sending at full bandwidth.

Source: the operators' page `WIRE-robinbeam.md`, sections "Settings" and "Invariants" (rule 4: a recovering
endpoint is not overloaded). The keys of these settings are `tip_multiple`, `overload_for`, `cold_from` and
`warm_up` for caches, `parent_limit_factor`, `overload_for`, `parent_cold_from` and `parent_warms_in` for
parents.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Container
from dataclasses import dataclass

from edge_router.decision.messages import Endpoint, EndpointId

SAFE_BUDGET_SHARE = 0.6  # of the budget; the rest allows for wrong size estimates and uneven routers


@dataclass(slots=True)
class Charge:
    """The work that one attempt takes from a budget."""

    charged_at: float
    work: float  # milliseconds of sending at full bandwidth


class SlowStartBudget:
    """Limits this router's work at endpoints of one role in slow start to its share."""

    def __init__(
        self, initial_capacity: float, duration: float, overload_factor: float, overload_window: float
    ) -> None:
        """`initial_capacity` is the part (0 to 1) of its full capacity that an endpoint has when it starts.

        It fails if the work sent to it within `overload_window` exceeds `overload_factor` times the work that
        it can do in that time.
        """
        self._initial_capacity = initial_capacity
        self._duration = duration
        self._overload_factor = overload_factor
        self._overload_window = overload_window
        self.charges: dict[EndpointId, deque[Charge]] = {}  # by endpoint in slow start; the oldest first

    def available_capacity(self, now: float, started_at: float) -> float:
        """A lower bound of the part of its full capacity that the endpoint has now; 1 after slow start.

        It is the capacity at the start of the overload window that ends now, when it was lowest. An endpoint
        whose `started_at` is not positive counts as warm.
        """
        age = now - started_at
        if started_at <= 0 or age >= self._duration + self._overload_window:
            return 1.0
        progress = max(0.0, age - self._overload_window) / max(self._duration, 1.0)
        return self._initial_capacity + (1 - self._initial_capacity) * min(1.0, progress)

    def allows(self, now: float, endpoint: Endpoint, work: float, transfers: float, share: float) -> bool:
        """Whether the budget allows `work` milliseconds of sending at the endpoint now.

        `transfers` is the number of concurrent transfers that the endpoint sustains when warm (less than
        1 counts as 1), `share` this router's part of them (0 to 1). Only `SAFE_BUDGET_SHARE` of the budget is
        used. An endpoint at full capacity has no limit.
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
        """Charges an attempt if the endpoint is in slow start; the caller may reduce the charge later."""
        charge = Charge(now, work)
        if endpoint_id in self.charges:
            self.charges[endpoint_id].append(charge)
        return charge

    def forget_unlisted(self, listed: Container[EndpointId]) -> None:
        """Drops the charges of endpoints that are no longer listed."""
        for endpoint_id in [each for each in self.charges if each not in listed]:
            del self.charges[endpoint_id]
