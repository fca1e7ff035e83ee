"""Admission control: limits the requests and bytes in flight, and sheds load above the CPU share.

Source of the stated sizes: the operators' page `PROTOCOL-robinbeam.md`, "Clients to edge routers", field
X-Working-Set-Kb.
"""

from __future__ import annotations

import math
import random
from enum import StrEnum

from edge_router.decision.running_mean import RunningMean
from edge_router.decision.settings import Settings
from edge_router.proxy.messages import MAX_OBJECT_BYTES, IncomingRequest
from edge_router.proxy.request_table import ActiveRequest, RequestTable
from edge_router.runtime.cpu_credit import CpuCredit
from edge_router.runtime.memory_budget import MemoryBudget

RESPONSE_MARGIN = 15.0  # ms before the client's timeout, so that the response arrives in time
MIN_TIME_REMAINING = 1.0  # ms from admission to the deadline at least, unless a shutdown limits it
MAX_OPEN_REQUESTS = 4096
MAX_TIME_IN_MEMORY = 60_000.0  # ms; a request is not kept for longer, even if its client waits for longer
QUEUE_TIME_RATIO = 0.4  # queue time limit at the mean priority weight, relative to the latency objective
# ms; lower bound of each class's queue time limit. A request that has waited no longer is never shed.
MIN_QUEUE_TIME_LIMIT = 20.0
# Seconds of CPU debt (negative CPU credit) that a class is allowed, per unit by which its relative priority
# exceeds the lowest of all classes.
CPU_DEBT_PER_PRIORITY = 0.02
MAX_RELATIVE_PRIORITY = 2.0  # of a class: its priority weight relative to the mean of all classes
# Bytes on the socket per KB of the size that a client states, if the ratio of `transfer_rate` to
# `Settings.client_bandwidth` is not known. By that ratio an object has fewer bytes on the socket than stated.
DEFAULT_BYTES_PER_STATED_KB = 1000.0
# Part of the reserved bytes, and bytes, by which a response may exceed its estimate although memory is short.
BODY_TOLERANCE, MIN_BODY_TOLERANCE = 0.25, 1024


class ShedReason(StrEnum):
    """Why a request is shed; the values are part of the log and the statistics."""

    QUEUE_TIME = "waited"
    CPU = "cpu"


class AdmissionController:
    """Decides whether there is capacity for one more request."""

    def __init__(
        self,
        settings: Settings,
        requests: RequestTable,
        budget: MemoryBudget,
        transfer_rate: float,
        seed: int,
    ) -> None:
        """`transfer_rate` is the bandwidth of one response in bytes per second; 0 if it is not known."""
        self.cpu_credit = CpuCredit()
        self._random = random.Random(seed)
        self._max_retry_after = settings.max_retry_after if settings.retry_after_allowed else 0.0
        weights = [class_settings.priority_weight for class_settings in settings.classes]
        mean = sum(weights) / max(1, len(weights))
        self._priority = [
            min(MAX_RELATIVE_PRIORITY, weight / mean) if mean > 0 else 1.0 for weight in weights
        ]
        self._queue_time_limits = [
            max(MIN_QUEUE_TIME_LIMIT, QUEUE_TIME_RATIO * priority * class_settings.latency_objective)
            for priority, class_settings in zip(self._priority, settings.classes, strict=True)
        ]
        self._requests = requests
        self._budget = budget
        self._max_requests = min(settings.max_in_flight, MAX_OPEN_REQUESTS)
        self._bytes_per_stated_kb = (
            transfer_rate / settings.client_bandwidth
            if settings.client_bandwidth > 0 and transfer_rate > 0
            else DEFAULT_BYTES_PER_STATED_KB
        )
        # By class, of the responses to requests that state no size; the largest until some have arrived.
        self._mean_body_bytes = [RunningMean(1.0, MAX_OBJECT_BYTES) for _ in settings.classes]
        self.latest_deadline = math.inf  # ms of the router's clock; set at shutdown, limits all deadlines

    def admit(self, now: float, incoming: IncomingRequest) -> ActiveRequest | None:
        """Admits a request; None if its timeout has passed or it and its response exceed the capacity."""
        if incoming.time_unread >= incoming.timeout:
            return None
        reserved_bytes = len(incoming.body) + self._expected_body_bytes(incoming)
        if len(self._requests) >= self._max_requests or not self._budget.can_reserve(reserved_bytes):
            return None
        self._budget.reserve(reserved_bytes)
        time_remaining = min(incoming.timeout, MAX_TIME_IN_MEMORY) - incoming.time_unread - RESPONSE_MARGIN
        deadline = min(now + max(MIN_TIME_REMAINING, time_remaining), self.latest_deadline)
        return self._requests.add(incoming, deadline, reserved_bytes)

    def _expected_body_bytes(self, incoming: IncomingRequest) -> int:
        """Returns how many bytes the response's body will have, by its stated size or others of its class."""
        if incoming.size_kb > 0:
            return min(MAX_OBJECT_BYTES, round(incoming.size_kb * self._bytes_per_stated_kb))
        return round(self._mean_body_bytes[incoming.class_index].mean)

    def reserve_body(self, request: ActiveRequest, size: int) -> bool:
        """Reserves what a body of `size` bytes needs beyond its estimate; returns whether it may be kept.

        It may if it fits within the limit, or if the estimate was nearly right.
        """
        missing = len(request.incoming.body) + size - request.reserved_bytes
        if missing > 0:
            tolerance = max(MIN_BODY_TOLERANCE, BODY_TOLERANCE * request.reserved_bytes)
            if missing > tolerance and not self._budget.can_reserve(missing):
                return False
            self._budget.reserve(missing)
            request.reserved_bytes += missing
        return True

    def record_body(self, incoming: IncomingRequest, size: int) -> None:
        """Records the size (bytes) of a response's body, from which those of unknown size are estimated."""
        if incoming.size_kb <= 0:
            self._mean_body_bytes[incoming.class_index].record(size)

    def shed_reason(self, now: float, received_at: float, class_index: int) -> ShedReason | None:
        """Returns why a request received at `received_at` (ms) must be shed; None if it is to be forwarded.

        Load is shed early and by priority weight, because otherwise all requests would become late
        together. A request that has waited for at most `MIN_QUEUE_TIME_LIMIT` is never shed: a rejection
        costs a large part of what a request costs, and many clients retry at once.
        """
        queue_time = now - received_at
        if queue_time > self._queue_time_limits[class_index]:
            return ShedReason.QUEUE_TIME
        if queue_time <= MIN_QUEUE_TIME_LIMIT:
            return None
        credit = self.cpu_credit.remaining()
        tolerated_debt = CPU_DEBT_PER_PRIORITY * (self._priority[class_index] - min(self._priority))
        return ShedReason.CPU if credit < 0 and credit <= -tolerated_debt else None

    def retry_after(self) -> float:
        """Returns for how long (ms) a rejected client should wait; random, to spread out retries."""
        return self._max_retry_after * self._random.uniform(0.5, 1.0)

    def release(self, request: ActiveRequest) -> None:
        """Removes a finished request and releases its reserved memory; a second call does nothing."""
        if self._requests.remove(request.request_number):
            self._budget.release(request.reserved_bytes)
