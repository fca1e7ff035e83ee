"""Restarts the tasks of the router after errors, so that no error ends the process."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from edge_router.runtime.event_log import log_rate_limited

RESTART_DELAY = 0.05  # seconds


async def keep_running(name: str, task: Callable[[], Awaitable[None]]) -> None:
    """Runs a task until it returns; after an error, waits for `RESTART_DELAY` and restarts it.

    Errors are logged, at a limited rate for all tasks together.
    """
    while True:
        try:
            await task()
            return
        except Exception as error:
            log_rate_limited("task-failed", task=name, error=repr(error))
            await trio.sleep(RESTART_DELAY)
