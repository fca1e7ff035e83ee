"""Messages between the harness and the processes of the caches and the proxy, as one JSON object per line.

The object's `type` is the name of the message's class. Commands go to a process on its standard input. On
its standard output it reports that it is ready (`ProcessReady`) and what it observed (see `observations`).
"""

from __future__ import annotations

import json
import os
import sys
from collections.abc import AsyncIterator
from dataclasses import asdict, dataclass
from typing import Any

import trio

from edge_router.fault_injection.scenario import FaultKind


@dataclass(slots=True)
class Message:
    """Base class of all messages; subclasses are dataclasses whose fields are JSON values."""

    def to_json(self) -> str:
        """Returns the message as one line of JSON, without the line end."""
        return json.dumps({"type": type(self).__name__, **asdict(self)})


def message_from_json(line: str, *types: type[Message]) -> Message:
    """Parses one line; raises KeyError if the message's type is none of `types`."""
    table: dict[str, Any] = json.loads(line)
    by_name = {message_type.__name__: message_type for message_type in types}
    return by_name[table.pop("type")](**table)


def send_to_harness(message: Message) -> None:
    """Writes a report to standard output."""
    print(message.to_json(), flush=True)


@dataclass(slots=True)
class ProcessReady(Message):
    """Report: the process, started at `started_ms` (Unix milliseconds), accepts connections."""

    started_ms: int


@dataclass(slots=True)
class InjectFault(Message):
    """Command: keep a fault active until a time of the machine's monotonic clock, in seconds.

    For the proxy, `port` is the listening port that the fault applies to; a cache has only one port.
    """

    kind: FaultKind
    until: float
    port: int | None = None

    def __post_init__(self) -> None:
        """Converts the kind to its enum, since JSON holds only the value."""
        self.kind = FaultKind(self.kind)


@dataclass(slots=True)
class DropCopies(Message):
    """Command: drop an object's stored copies that were created before a time in Unix milliseconds."""

    object_id: str
    created_before_ms: int


HarnessCommand = InjectFault | DropCopies


async def read_harness_commands() -> AsyncIterator[HarnessCommand]:
    """Yields the harness's commands.

    At the end of input, which means that the harness has ended, it exits the process: no cache or proxy is
    left running.
    """
    async for line in trio.wrap_file(sys.stdin):
        command = message_from_json(line, InjectFault, DropCopies)
        assert isinstance(command, InjectFault | DropCopies)
        yield command
    os._exit(0)
