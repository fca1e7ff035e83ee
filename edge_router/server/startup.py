"""The first steps of the process, each tried again for a while where the system lacks something."""

from __future__ import annotations

import errno
import socket
import time
from collections.abc import Callable
from typing import TypeVar

from edge_router.config.platform_file import ConfigUnreadableError, RouterConfig, read_config
from edge_router.runtime.event_log import log
from edge_router.runtime.system_errors import is_local_shortage

PATIENCE = 5.0  # seconds for which a step is tried again; the platform waits 30 s for a router to be ready
PAUSE = 0.05
BACKLOG = 1024
_LASTING = (errno.ENOENT, errno.EACCES, errno.EISDIR, errno.ENOTDIR)

Result = TypeVar("Result")


def _may_pass(error: Exception) -> bool:
    """Whether what failed may succeed in a moment."""
    if isinstance(error, ConfigUnreadableError):
        return error.number is not None and error.number not in _LASTING
    return isinstance(error, OSError) and (is_local_shortage(error) or error.errno == errno.EADDRINUSE)


def patiently(step: Callable[[], Result]) -> Result:
    """The step's result; raises its error once it lasts, or is of a kind that does not pass."""
    began, why = time.monotonic(), ""
    while True:
        try:
            result = step()
        except (OSError, ConfigUnreadableError) as error:
            if not _may_pass(error) or time.monotonic() >= began + PATIENCE:
                raise
            why = str(error)
            time.sleep(PAUSE)
        else:
            if why:  # told afterwards: what lasts is one clear line of the caller's
                log("start-delayed", reason=why, by_ms=(time.monotonic() - began) * 1000.0)
            return result


def load_config() -> RouterConfig:
    """The configuration; raises ConfigError."""
    return patiently(read_config)


def open_listener(address: tuple[str, int]) -> socket.socket:
    """A listening socket; raises OSError."""

    def step() -> socket.socket:
        listener = socket.socket()
        try:
            listener.setblocking(False)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address)
            listener.listen(BACKLOG)
        except OSError:
            listener.close()
            raise
        return listener

    return patiently(step)
