"""The first steps of the process, which are retried for up to 5 s after transient errors."""

from __future__ import annotations

import errno
import socket
import sys
import time
from collections.abc import Callable
from typing import TypeVar

from edge_router.config.platform_file import ConfigUnreadableError, RouterConfig, read_config
from edge_router.runtime.event_log import log
from edge_router.runtime.system_errors import is_local_failure

RETRY_PERIOD = 5.0  # seconds for which a step is retried; the platform waits 30 s for a router to be ready
RETRY_DELAY = 0.05  # seconds between two attempts
LISTEN_BACKLOG = 1024  # connections
PERMANENT_FILE_ERRORS = frozenset((errno.ENOENT, errno.EACCES, errno.EISDIR, errno.ENOTDIR))

Result = TypeVar("Result")


def _is_transient(error: Exception) -> bool:
    """Returns whether a retry of the step may succeed."""
    if isinstance(error, ConfigUnreadableError):
        return error.errno is not None and error.errno not in PERMANENT_FILE_ERRORS
    return isinstance(error, OSError) and (is_local_failure(error) or error.errno == errno.EADDRINUSE)


def _is_system_error(error: Exception) -> bool:
    """Returns whether a system call failed, whatever error a library made of it."""
    return isinstance(error, OSError)


def retry_transient_errors(
    step: Callable[[], Result], is_transient: Callable[[Exception], bool] = _is_transient
) -> Result:
    """Runs the step until it succeeds and returns its result; blocks the process meanwhile.

    Raises the step's error if it is not transient, or if the step still fails after `RETRY_PERIOD`.
    """
    started_at = time.monotonic()
    last_error: Exception | None = None
    while True:
        try:
            result = step()
        except (OSError, ConfigUnreadableError) as error:
            if not is_transient(error) or time.monotonic() >= started_at + RETRY_PERIOD:
                raise
            last_error = error
            time.sleep(RETRY_DELAY)
        else:
            # Logged only after success: an error that persists is raised, and one report of it is enough.
            if last_error is not None:
                log("start-delayed", reason=str(last_error), by_ms=(time.monotonic() - started_at) * 1000.0)
            return result


def import_server() -> Callable[[], int]:
    """Imports the server and returns its entry point; on import, its libraries look for others in files."""
    loaded_before = set(sys.modules)

    def step() -> Callable[[], int]:
        try:
            from edge_router.server.main import main
        except OSError:
            for name in set(sys.modules) - loaded_before:  # else half of a package would be loaded twice
                del sys.modules[name]
            raise
        return main

    return retry_transient_errors(step, _is_system_error)


def load_config() -> RouterConfig:
    """Reads the configuration; raises ConfigError if it is invalid or can't be read."""
    return retry_transient_errors(read_config)


def open_listener(address: tuple[str, int]) -> socket.socket:
    """Opens a non-blocking listening socket at (host, port); raises OSError if that fails."""

    def step() -> socket.socket:
        listener = socket.socket()
        try:
            listener.setblocking(False)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address)
            listener.listen(LISTEN_BACKLOG)
        except OSError:
            listener.close()
            raise
        return listener

    return retry_transient_errors(step)
