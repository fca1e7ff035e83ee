"""The faults that a process injects into itself: which call fails, how, and when. Serialized as JSON.

A fault is active while the system's monotonic clock, which all processes of a machine share, is within its
span, or while its flag file exists. So a harness can fix the whole plan of a run before the run begins.
"""

from __future__ import annotations

import errno
import json
import os
import random
import time
from dataclasses import asdict, dataclass
from enum import StrEnum

PLAN_VARIABLE = "SOAK_FAULTS"  # environment variable that holds the plan


class Call(StrEnum):
    """The calls that can be made to fail."""

    CLOCK = "clock"  # the wall clock; the fault's `step` is added to it
    SOCKET = "socket"
    ACCEPT = "accept"
    CONNECT = "connect"
    SEND = "send"
    RECEIVE = "receive"
    OPEN = "open"  # files; the fault's `path` has to be part of the name


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of one call.

    `error` is the name of an errno; without one, `send` and `receive` move a single byte. `start` and `end`
    are seconds of `time.monotonic()`; `flag` is the path of a file.
    """

    call: Call
    error: str = ""
    start: float = 0.0
    end: float = 0.0
    chance: float = 1.0
    step: float = 0.0
    path: str = ""
    flag: str = ""

    def active(self, now: float) -> bool:
        """Whether the fault may strike at that moment."""
        if self.flag and os.path.exists(self.flag):
            return True
        return self.start <= now < self.end


class FaultPlan:
    """All faults of one process, with random numbers of its own so that a seed replays them."""

    def __init__(self, faults: list[Fault], seed: int = 0) -> None:
        self.faults = faults
        self.seed = seed
        self._random = random.Random(seed)

    @classmethod
    def from_json(cls, text: str) -> FaultPlan:
        """The plan that `to_json` has written; raises ValueError if the text is none."""
        table = json.loads(text)
        faults = [Fault(**{**entry, "call": Call(entry["call"])}) for entry in table["faults"]]
        return cls(faults, int(table["seed"]))

    def to_json(self) -> str:
        """The plan as text for the environment."""
        return json.dumps({"seed": self.seed, "faults": [asdict(fault) for fault in self.faults]})

    def strikes(self, call: Call, path: str = "") -> Fault | None:
        """The fault that strikes this call now, if any."""
        now = time.monotonic()
        for fault in self.faults:
            if fault.call is not call or fault.path not in path or not fault.active(now):
                continue
            if fault.chance >= 1.0 or self._random.random() < fault.chance:
                return fault
        return None

    def clock_step(self) -> float:
        """Seconds by which the wall clock is off now."""
        now = time.monotonic()
        return sum(fault.step for fault in self.faults if fault.call is Call.CLOCK and fault.active(now))


def raise_fault(fault: Fault) -> None:
    """Raises the fault's error, if it has one; the right subclass of OSError."""
    if fault.error:
        number = getattr(errno, fault.error)
        raise OSError(number, os.strerror(number))
