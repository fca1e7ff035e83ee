"""Writes the periodic statistics line of the log, the event `stats`."""

from __future__ import annotations

import gc
import time

import trio

from edge_router.proxy.request_router import RequestRouter
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.runtime.timers import Timers
from edge_router.server.client_acceptor import ClientAcceptor
from edge_router.server.memory_gauge import MemoryGauge

REPORT_INTERVAL = 5.0  # seconds


class StatisticsReporter:
    """Collects the figures of the process and logs them together with the request statistics."""

    def __init__(
        self, router: RequestRouter, acceptor: ClientAcceptor, budget: MemoryBudget, timers: Timers
    ) -> None:
        self._router = router
        self._acceptor = acceptor
        self._budget = budget
        self._timers = timers
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
        """Logs one line.

        `loop_lag` is how late the event loop resumed this task, `cpu_before` the CPU time of the process at
        the start of the interval, both in seconds.
        """
        self._router.accounting.log_statistics(
            requests=len(self._router.requests),
            clients=len(self._acceptor.clients),
            upstream_connections=self._router.dispatcher.pool.connection_count(),
            loop_lag_ms=loop_lag * 1000.0,
            longest_timer_run_ms=self._timers.take_longest_run(),
            reserved_kb=self._budget.used / 1e3,
            resident_mb=self._memory.resident_mb(),
            gc_collections=gc.get_stats()[2]["collections"],  # of the oldest generation, since startup
            cpu_ms=(time.process_time() - cpu_before) * 1000.0,
            **self._router.statistics(),
        )
