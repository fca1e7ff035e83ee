"""Writes the periodic statistics line."""

from __future__ import annotations

import gc
import time

import trio

from edge_router.proxy.request_router import RequestRouter
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.server.client_acceptor import ClientAcceptor
from edge_router.server.memory_gauge import MemoryGauge

REPORT_INTERVAL = 5.0  # seconds


class StatisticsReporter:
    """Collects the figures of the process and has them logged with those of the requests."""

    def __init__(self, router: RequestRouter, acceptor: ClientAcceptor, budget: MemoryBudget) -> None:
        self._router = router
        self._acceptor = acceptor
        self._budget = budget
        self._memory = MemoryGauge()

    async def run(self) -> None:
        """Logs a line every `REPORT_INTERVAL`."""
        while True:
            cpu_before = time.process_time()
            due = trio.current_time() + REPORT_INTERVAL
            await trio.sleep(REPORT_INTERVAL)
            loop_lag = trio.current_time() - due
            self._report(loop_lag, cpu_before)

    def _report(self, loop_lag: float, cpu_before: float) -> None:
        """Logs one line; `loop_lag` and `cpu_before` are in seconds."""
        self._router.accounting.log_statistics(
            requests=len(self._router.requests),
            clients=len(self._acceptor.clients),
            upstream_connections=self._router.dispatcher.pool.connection_count(),
            loop_lag_ms=loop_lag * 1000.0,
            reserved_kb=self._budget.used / 1e3,
            resident_mb=self._memory.resident_mb(),
            gc_collections=gc.get_stats()[2]["collections"],
            cpu_ms=(time.process_time() - cpu_before) * 1000.0,
            **self._router.statistics(),
        )
