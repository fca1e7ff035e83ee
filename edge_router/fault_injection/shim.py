"""Start the router with faults injected into its clock, its sockets and its files.

The plan comes in the environment (`plan.PLAN_VARIABLE`). The shim replaces `time.time`, `socket.socket` and
`open` before the router's own modules are imported; the router's code stays as it is.
"""

from __future__ import annotations

import builtins
import io
import os
import socket
import sys
import time
from collections.abc import Callable
from typing import Any

from edge_router.fault_injection.plan import PLAN_VARIABLE, Call, FaultPlan, raise_fault

_RealSocket = socket.socket
Readable = bytes | bytearray | memoryview
Writable = bytearray | memoryview


def _install_clock(plan: FaultPlan) -> None:
    real_seconds, real_nanoseconds = time.time, time.time_ns
    time.time = lambda: real_seconds() + plan.clock_step()
    time.time_ns = lambda: real_nanoseconds() + int(plan.clock_step() * 1e9)


def _install_files(plan: FaultPlan) -> None:
    real_open, real_os_open = builtins.open, os.open

    def faulty_open(file: Any, *rest: Any, **named: Any) -> Any:
        if fault := plan.strikes(Call.OPEN, str(file)):
            raise_fault(fault)
        return real_open(file, *rest, **named)

    def faulty_os_open(path: Any, *rest: Any, **named: Any) -> int:
        if fault := plan.strikes(Call.OPEN, str(path)):
            raise_fault(fault)
        return real_os_open(path, *rest, **named)

    builtins.open = io.open = faulty_open
    os.open = faulty_os_open


def faulty_socket(plan: FaultPlan) -> type[socket.socket]:
    """A socket class whose calls fail as the plan says. Only TCP sockets do."""

    class FaultySocket(_RealSocket):
        """A TCP socket with faults."""

        def __init__(
            self,
            family: int = -1,
            type: int = -1,
            proto: int = -1,  # noqa: A002
            fileno: int | None = None,
        ) -> None:
            if fileno is None and family in (-1, socket.AF_INET) and (fault := plan.strikes(Call.SOCKET)):
                raise_fault(fault)
            super().__init__(family, type, proto, fileno)

        def _fault(self, call: Call) -> int | None:
            """Raises what strikes the call; else the bytes it may move, None for all."""
            if self.family != socket.AF_INET:
                return None
            fault = plan.strikes(call)
            if fault is None:
                return None
            raise_fault(fault)
            return 1

        def accept(self) -> tuple[socket.socket, Any]:
            self._fault(Call.ACCEPT)
            return super().accept()

        def connect(self, address: Any, /) -> None:
            self._fault(Call.CONNECT)
            super().connect(address)

        def send(self, data: Readable, flags: int = 0, /) -> int:  # type: ignore[override]
            most = self._fault(Call.SEND)
            return super().send(data if most is None else memoryview(data)[:most], flags)

        def recv(self, size: int, flags: int = 0, /) -> bytes:
            most = self._fault(Call.RECEIVE)
            return super().recv(size if most is None else min(size, most), flags)

        def recv_into(  # type: ignore[override]
            self, buffer: Writable, nbytes: int = 0, flags: int = 0
        ) -> int:
            most = self._fault(Call.RECEIVE)
            return super().recv_into(buffer, nbytes if most is None else most, flags)

    return FaultySocket


def install(plan: FaultPlan) -> None:
    """Puts all faults of the plan in place; to be called before the modules that are to suffer them."""
    _install_clock(plan)
    _install_files(plan)
    socket.socket = faulty_socket(plan)  # type: ignore[misc]


def main() -> int:
    """Runs one router under the plan of the environment."""
    install(FaultPlan.from_json(os.environ[PLAN_VARIABLE]))
    from edge_router.server.main import main as serve

    run: Callable[[], int] = serve
    return run()


if __name__ == "__main__":
    sys.exit(main())
