"""Waits until a condition is true; used by the socket tests."""

from __future__ import annotations

import time
from collections.abc import Callable

TEST_TIMEOUT = 30.0  # seconds; generous, since nothing here measures speed
POLL_INTERVAL = 0.02  # seconds


def wait_until(condition: Callable[[], object], description: str) -> None:
    """Polls the condition until it is true; fails the test after `TEST_TIMEOUT`."""
    deadline = time.monotonic() + TEST_TIMEOUT
    while not condition():
        assert time.monotonic() < deadline, f"timed out waiting for: {description}"
        time.sleep(POLL_INTERVAL)
