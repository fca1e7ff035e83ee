"""Keeps the tasks of the router running: no error in one of them ends the process."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from edge_router.runtime.event_log import log_rate_limited

RESTART_AFTER = 0.05  # seconds


async def keep_running(name: str, task: Callable[[], Awaitable[None]]) -> None:
    """Runs a task to its end, anew whenever it fails; each failure is a line of the log."""
    while True:
        try:
            await task()
            return
        except Exception as error:
            log_rate_limited("task-failed", task=name, error=repr(error))
            await trio.sleep(RESTART_AFTER)
