"""Remembers the ids of finished requests that may have run and must not run again.

Every request has a new id, a client's retry too. An id that comes again is a fault of its client, and no
attempt under it may be sent if the first request may have run: the caches would run it twice.

Source: the operators' pages `PROTOCOL-robinbeam.md`, field X-Txn, and `WIRE-robinbeam.md`, "Invariants",
rule 2.
"""

from __future__ import annotations

from collections import deque

RUN_MEMORY_TIME = 60_000.0  # ms
MAX_REMEMBERED_RUNS = 4096


class RunHistory:
    """The ids of the last requests that may have run, for `RUN_MEMORY_TIME`."""

    def __init__(self) -> None:
        self._ids: set[str] = set()
        self._ended: deque[tuple[float, str]] = deque()  # when each request ended (ms); the oldest first

    def record(self, now: float, request_id: str) -> None:
        """Remembers a request that ends now (ms) and may have run."""
        self._forget_old(now)
        if request_id in self._ids:
            return
        if len(self._ended) >= MAX_REMEMBERED_RUNS:
            self._forget_first()
        self._ids.add(request_id)
        self._ended.append((now, request_id))

    def may_have_run(self, now: float, request_id: str) -> bool:
        """Returns whether a request of that id may have run lately."""
        self._forget_old(now)
        return request_id in self._ids

    def _forget_old(self, now: float) -> None:
        while self._ended and now - self._ended[0][0] > RUN_MEMORY_TIME:
            self._forget_first()

    def _forget_first(self) -> None:
        self._ids.discard(self._ended.popleft()[1])
