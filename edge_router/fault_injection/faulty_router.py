"""Runs the router with faults in its system calls: `python -m edge_router.fault_injection.faulty_router`.

The fault schedule comes in the environment variable `FAULTS_VARIABLE`. This module replaces `time.time`,
`socket.socket` and `open` before the router's own modules are imported; the router's code is not changed.
"""

from __future__ import annotations

import builtins
import io
import os
import socket
import sys
import time
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
    """A socket whose calls fail according to `schedule` if it is an IPv4 socket."""

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

    def _apply_fault(self, call: SystemCall) -> int | None:
        """Raises the error of an active fault, or returns how many bytes to transfer (None: all)."""
        if self.family != socket.AF_INET:
            return None
        fault = self.schedule.next_fault(call)
        if fault is None:
            return None
        raise_fault(fault)
        return 1

    def accept(self) -> tuple[socket.socket, Any]:
        """As in `socket`, but raises OSError while the call has a fault."""
        self._apply_fault(SystemCall.ACCEPT)
        return super().accept()

    def connect(self, address: Any, /) -> None:
        """As in `socket`, but raises OSError while the call has a fault."""
        self._apply_fault(SystemCall.CONNECT)
        super().connect(address)

    def send(self, data: Readable, flags: int = 0, /) -> int:  # type: ignore[override]
        """As in `socket`, but raises OSError or sends a single byte while the call has a fault."""
        limit = self._apply_fault(SystemCall.SEND)
        return super().send(data if limit is None else memoryview(data)[:limit], flags)

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        """As in `socket`, but raises OSError or receives a single byte while the call has a fault."""
        limit = self._apply_fault(SystemCall.RECEIVE)
        return super().recv(size if limit is None else min(size, limit), flags)

    def recv_into(  # type: ignore[override]
        self, buffer: Writable, nbytes: int = 0, flags: int = 0
    ) -> int:
        """As in `socket`, but raises OSError or receives a single byte while the call has a fault."""
        limit = self._apply_fault(SystemCall.RECEIVE)
        return super().recv_into(buffer, nbytes if limit is None else limit, flags)


def faulty_socket(schedule: FaultSchedule) -> type[FaultySocket]:
    """Returns a socket class with the faults of a schedule."""
    return type("ScheduledFaultySocket", (FaultySocket,), {"schedule": schedule})


def install(schedule: FaultSchedule) -> None:
    """Installs all faults; to be called before the import of the modules that they affect."""
    _install_clock(schedule)
    _install_files(schedule)
    socket.socket = faulty_socket(schedule)  # type: ignore[misc]


def main() -> int:
    """Runs one router with the faults given in the environment; returns its exit status."""
    install(FaultSchedule.from_json(os.environ[FAULTS_VARIABLE]))
    from edge_router.server.startup import import_server

    return import_server()()


if __name__ == "__main__":
    sys.exit(main())
