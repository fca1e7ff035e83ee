"""The faults that a process injects into its own system calls: which call fails, how, and when.

A fault is active while the system's monotonic clock, which all processes of a machine share, is within the
fault's time span, or while its flag file exists. A harness can therefore schedule all faults of a process
before it starts, and pass them as JSON in the environment.
"""

from __future__ import annotations

import errno
import json
import os
import random
import time
from dataclasses import asdict, dataclass
from enum import StrEnum

FAULTS_VARIABLE = "SOAK_FAULTS"  # environment variable that holds the `FaultSchedule` as JSON


class SystemCall(StrEnum):
    """The calls that can be made to fail."""

    CLOCK = "clock"  # reading the wall clock; the fault's `step` is added to the time
    SOCKET = "socket"
    ACCEPT = "accept"
    CONNECT = "connect"
    SEND = "send"
    RECEIVE = "receive"
    OPEN = "open"  # opening a file whose name contains the fault's `path`


@dataclass(frozen=True, slots=True)
class SystemCallFault:
    """One fault of one call.

    `error` is the name of an errno; if it is empty, `send` and `receive` transfer a single byte, and other
    calls are unaffected. `start` and `end` are seconds of `time.monotonic()` in the process, but seconds
    after the start of the traffic in a `Scenario`. `chance` is the probability that a call fails while the
    fault is active; it has no effect on the clock. `step` is in seconds. `flag` is the path of a file; the
    fault is also active while it exists.
    """

    call: SystemCall
    error: str = ""
    start: float = 0.0
    end: float = 0.0
    chance: float = 1.0
    step: float = 0.0
    path: str = ""
    flag: str = ""

    def active(self, now: float) -> bool:
        """Whether calls can fail at the time `now`."""
        if self.flag and os.path.exists(self.flag):
            return True
        return self.start <= now < self.end


class FaultSchedule:
    """All faults of one process, and the random generator that draws which calls fail.

    A seed reproduces the sequence of draws; the call that each draw decides depends on the timing.
    """

    def __init__(self, faults: list[SystemCallFault], seed: int = 0) -> None:
        self.faults = faults
        self.seed = seed
        self._random = random.Random(seed)

    @classmethod
    def from_json(cls, text: str) -> FaultSchedule:
        """Parses what `to_json` wrote; raises ValueError if the text is not JSON."""
        table = json.loads(text)
        faults = [
            SystemCallFault(**{**entry, "call": SystemCall(entry["call"])}) for entry in table["faults"]
        ]
        return cls(faults, int(table["seed"]))

    def to_json(self) -> str:
        """Returns the schedule as JSON text, to be passed in the environment."""
        return json.dumps({"seed": self.seed, "faults": [asdict(fault) for fault in self.faults]})

    def next_fault(self, call: SystemCall, path: str = "") -> SystemCallFault | None:
        """Returns the fault with which a call fails now, if any; `path` is the name of the opened file."""
        now = time.monotonic()
        for fault in self.faults:
            if fault.call is not call or fault.path not in path or not fault.active(now):
                continue
            if fault.chance >= 1.0 or self._random.random() < fault.chance:
                return fault
        return None

    def clock_step(self) -> float:
        """Returns the seconds by which the wall clock is shifted now."""
        now = time.monotonic()
        return sum(
            fault.step for fault in self.faults if fault.call is SystemCall.CLOCK and fault.active(now)
        )


def raise_fault(fault: SystemCallFault) -> None:
    """Raises the fault's error, if it has one, as the subclass of OSError for its errno."""
    if fault.error:
        number = getattr(errno, fault.error)
        raise OSError(number, os.strerror(number))
