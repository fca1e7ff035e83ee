"""Runs the router with faults in its system calls: `python -m edge_router.fault_injection.faulty_router`.

The schedule comes in the environment (`FAULTS_VARIABLE`). This module replaces `time.time`, `socket.socket`
and `open` before the router's own modules are imported; the router's code stays as it is.
"""

from __future__ import annotations

import builtins
import io
import os
import socket
import sys
import time
from collections.abc import Callable
from typing import Any, ClassVar

from edge_router.fault_injection.system_call_faults import (
    FAULTS_VARIABLE,
    FaultSchedule,
    SystemCall,
    raise_fault,
)

Readable = bytes | bytearray | memoryview
Writable = bytearray | memoryview


def _install_clock(schedule: FaultSchedule) -> None:
    real_seconds, real_nanoseconds = time.time, time.time_ns
    time.time = lambda: real_seconds() + schedule.clock_step()
    time.time_ns = lambda: real_nanoseconds() + int(schedule.clock_step() * 1e9)


def _install_files(schedule: FaultSchedule) -> None:
    real_open, real_os_open = builtins.open, os.open

    def faulty_open(file: Any, *args: Any, **kwargs: Any) -> Any:
        if fault := schedule.next_fault(SystemCall.OPEN, str(file)):
            raise_fault(fault)
        return real_open(file, *args, **kwargs)

    def faulty_os_open(path: Any, *args: Any, **kwargs: Any) -> int:
        if fault := schedule.next_fault(SystemCall.OPEN, str(path)):
            raise_fault(fault)
        return real_os_open(path, *args, **kwargs)

    builtins.open = io.open = faulty_open
    os.open = faulty_os_open


class FaultySocket(socket.socket):
    """A socket whose calls fail as `schedule` says, if it is a TCP socket."""

    schedule: ClassVar[FaultSchedule]

    def __init__(
        self,
        family: int = -1,
        type: int = -1,
        proto: int = -1,
        fileno: int | None = None,
    ) -> None:
        if (
            fileno is None
            and family in (-1, socket.AF_INET)
            and (fault := self.schedule.next_fault(SystemCall.SOCKET))
        ):
            raise_fault(fault)
        super().__init__(family, type, proto, fileno)

    def _fault(self, call: SystemCall) -> int | None:
        """Raises the error that the call has now, or returns the bytes it may transfer (None: all)."""
        if self.family != socket.AF_INET:
            return None
        fault = self.schedule.next_fault(call)
        if fault is None:
            return None
        raise_fault(fault)
        return 1

    def accept(self) -> tuple[socket.socket, Any]:
        """As in `socket`; raises OSError while the call has a fault."""
        self._fault(SystemCall.ACCEPT)
        return super().accept()

    def connect(self, address: Any, /) -> None:
        """As in `socket`; raises OSError while the call has a fault."""
        self._fault(SystemCall.CONNECT)
        super().connect(address)

    def send(self, data: Readable, flags: int = 0, /) -> int:  # type: ignore[override]
        """As in `socket`; raises OSError or sends a single byte while the call has a fault."""
        limit = self._fault(SystemCall.SEND)
        return super().send(data if limit is None else memoryview(data)[:limit], flags)

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        """As in `socket`; raises OSError or receives a single byte while the call has a fault."""
        limit = self._fault(SystemCall.RECEIVE)
        return super().recv(size if limit is None else min(size, limit), flags)

    def recv_into(  # type: ignore[override]
        self, buffer: Writable, nbytes: int = 0, flags: int = 0
    ) -> int:
        """As in `socket`; raises OSError or receives a single byte while the call has a fault."""
        limit = self._fault(SystemCall.RECEIVE)
        return super().recv_into(buffer, nbytes if limit is None else limit, flags)


def faulty_socket(schedule: FaultSchedule) -> type[FaultySocket]:
    """A socket class with the faults of that schedule."""
    return type("ScheduledFaultySocket", (FaultySocket,), {"schedule": schedule})


def install(schedule: FaultSchedule) -> None:
    """Puts all faults in place; to be called before the import of the modules that are to have them."""
    _install_clock(schedule)
    _install_files(schedule)
    socket.socket = faulty_socket(schedule)  # type: ignore[misc]


def main() -> int:
    """Runs one router with the faults that the environment holds; returns its exit status."""
    install(FaultSchedule.from_json(os.environ[FAULTS_VARIABLE]))
    from edge_router.server.main import main as serve

    run: Callable[[], int] = serve
    return run()


if __name__ == "__main__":
    sys.exit(main())
