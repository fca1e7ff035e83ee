"""Typed messages between the harness and its processes, one JSON object a line.

The class name is sent as `type`. Orders go to a process on its standard input; reports of what it observed
(`observations`) come back on its standard output.
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
    """Base class of all messages; subclasses are dataclasses with JSON values as fields."""

    def to_json(self) -> str:
        """The message as one line of JSON, without the line end."""
        return json.dumps({"type": type(self).__name__, **asdict(self)})


def message_from_json(line: str, *types: type[Message]) -> Message:
    """The message that a line holds; raises KeyError if its type is none of `types`."""
    table: dict[str, Any] = json.loads(line)
    by_name = {message_type.__name__: message_type for message_type in types}
    return by_name[table.pop("type")](**table)


def send_to_harness(message: Message) -> None:
    """Writes a report to standard output."""
    print(message.to_json(), flush=True)


@dataclass(slots=True)
class ProcessReady(Message):
    """The process accepts connections. `started_ms` is its own start in Unix milliseconds."""

    started_ms: int


@dataclass(slots=True)
class InjectFault(Message):
    """Order: have a fault until a moment of the machine's monotonic clock.

    `port` is the listening port that the fault applies to, for the proxy; caches have just one.
    """

    kind: FaultKind
    until: float
    port: int | None = None

    def __post_init__(self) -> None:
        """Restores the kind, of which JSON holds only the value."""
        self.kind = FaultKind(self.kind)


@dataclass(slots=True)
class DropCopies(Message):
    """Order: drop the stored copies of an object that were created before that Unix millisecond."""

    object_id: str
    created_before_ms: int


Order = InjectFault | DropCopies


async def read_orders() -> AsyncIterator[Order]:
    """The orders of the harness; ends the process when the harness is gone, so that none is left behind."""
    async for line in trio.wrap_file(sys.stdin):
        order = message_from_json(line, InjectFault, DropCopies)
        assert isinstance(order, InjectFault | DropCopies)
        yield order
    os._exit(0)
