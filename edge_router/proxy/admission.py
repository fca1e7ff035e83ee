"""Stage 2, admit: bounds what is held, and starts a request's clock."""

from __future__ import annotations

import random

from edge_router.decision.settings import Settings
from edge_router.proxy.exchange import IncomingRequest
from edge_router.proxy.request_table import ActiveRequest, RequestTable
from edge_router.runtime.cpu_credit import CpuCredit
from edge_router.runtime.memory_budget import MemoryBudget

MARGIN = 15.0  # ms before the client's own limit at which the answer is due: it has to get there
MOST_OPEN = 4096
MOST_ANSWER = 240_000  # bytes of the longest object
LONGEST = 60_000.0  # ms; a client may claim to wait for longer, but is not kept in memory for it
PATIENCE = 0.4  # part of the wanted time that a request of the mean worth may wait for its decision
LEAST_PATIENCE = 20.0  # ms of it at least; who has not waited for longer is not refused for our CPU either
OVERDRAWN = 0.02  # seconds of CPU by which we are over our share when a request of the mean worth is refused


class AdmissionController:
    """Decides whether there is room for one request more."""

    def __init__(
        self, settings: Settings, requests: RequestTable, budget: MemoryBudget, pace: float, seed: int
    ) -> None:
        """The pace is that of one transfer, in bytes a second; 0 if it is not told."""
        self.cpu_credit = CpuCredit()
        self._random = random.Random(seed)
        self._max_retry_after = settings.max_retry_after if settings.retry_after_allowed else 0.0
        mean = sum(cls.priority_weight for cls in settings.classes) / max(1, len(settings.classes))
        self._priority = [
            min(2.0, cls.priority_weight / mean) if mean > 0 else 1.0 for cls in settings.classes
        ]
        self._max_queue_time = [
            max(LEAST_PATIENCE, PATIENCE * priority * cls.latency_objective)
            for priority, cls in zip(self._priority, settings.classes, strict=True)
        ]
        self._requests = requests
        self._budget = budget
        self._max_requests = min(settings.max_in_flight, MOST_OPEN)
        self._bytes_per_kb = (
            pace / settings.client_bandwidth if settings.client_bandwidth > 0 and pace > 0 else 1000.0
        )
        self.answer_by = float("inf")  # once the router stops, all is answered by this Unix millisecond

    def admit(self, now: float, asked: IncomingRequest) -> ActiveRequest | None:
        """The request, now open; None if there is no room for it and its answer, or its time is over."""
        if asked.time_unread >= asked.timeout:
            return None
        holds = len(asked.body) + min(MOST_ANSWER, round(asked.size_kb * self._bytes_per_kb))
        if len(self._requests) >= self._max_requests or not self._budget.can_reserve(holds):
            return None
        self._budget.reserve(holds)
        left = min(asked.timeout, LONGEST) - asked.time_unread - MARGIN
        deadline = min(now + max(1.0, left), self.answer_by)
        return self._requests.add(asked, deadline, holds)

    def shed_reason(self, now: float, since: float, kind: int) -> str:
        """Why a request that came then is to be refused, as there is more to do than we can; else empty.

        Guards against all becoming late together: what is refused is refused early, and of less worth first.
        While nobody waits, nobody is refused: a refusal costs a good part of a request, and its client comes
        back at once.
        """
        waited = now - since
        if waited > self._max_queue_time[kind]:
            return "waited"
        if waited <= LEAST_PATIENCE:
            return ""
        left = self.cpu_credit.remaining()
        over = left < 0 and left <= -OVERDRAWN * (self._priority[kind] - min(self._priority))
        return "cpu" if over else ""

    def retry_after(self) -> float:
        """For how long a client that we refuse should stay away; spread, or all come back together."""
        return self._max_retry_after * self._random.uniform(0.5, 1.0)

    def release(self, request: ActiveRequest) -> None:
        """The request is over. Guards against giving back twice what was set aside once."""
        if self._requests.remove(request.request_number):
            self._budget.release(request.reserved_bytes)
