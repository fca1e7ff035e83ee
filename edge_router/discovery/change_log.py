"""The change log's events, as frames of its connection and as JSON at the start; knows no I/O."""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence
from ipaddress import IPv4Address
from typing import Any, NamedTuple

from edge_router.decision.messages import Endpoint, EndpointState
from edge_router.decision.settings import Settings
from edge_router.discovery.events import (
    DiscoveryEvent,
    DiscoveryListener,
    EndpointAddress,
    EndpointsChanged,
    ObjectPurged,
)
from edge_router.protocol.buffer import ReceiveBuffer

MOST_FRAME = 1 << 20  # bytes of the longest frame: a list of many thousand nodes

NOTHING, WHOLE, CHANGES, OBJECT, GROUP = range(5)

_LENGTH = struct.Struct(">I")
_HEAD = struct.Struct(">QB")  # what the length counts, before the payload
_RECORD = struct.Struct(">IIHBBBHIQ")
_OBJECT = struct.Struct(">QQ")
_GROUP = struct.Struct(">HQ")
_HELLO = struct.Struct(">Q")
_STATES = {0: EndpointState.READY, 1: EndpointState.DRAINING, 2: EndpointState.GONE}
_LIFECYCLES = {"up": EndpointState.READY, "draining": EndpointState.DRAINING, "removed": EndpointState.GONE}


class ChangeLogError(Exception):
    """Bytes or JSON that are no events of a change log."""


class Frame(NamedTuple):
    """One frame that came in whole."""

    sequence: int
    kind: int
    payload: bytes


def frames(buffer: ReceiveBuffer) -> Iterator[Frame]:
    """All frames that are whole; raises ChangeLogError on a length that none can have."""
    while len(buffer) >= _LENGTH.size:
        (length,) = buffer.peek_struct(_LENGTH)
        if not _HEAD.size <= length <= MOST_FRAME:
            raise ChangeLogError(f"a frame of {length} bytes")
        if len(buffer) < _LENGTH.size + length:
            return
        buffer.skip(_LENGTH.size)
        number, kind = buffer.peek_struct(_HEAD)
        buffer.skip(_HEAD.size)
        yield Frame(number, kind, buffer.read(length - _HEAD.size))


def _members(payload: bytes) -> tuple[EndpointAddress, ...]:
    """The records of a list. A state that is not known takes no new work, like a node that drains."""
    return tuple(
        EndpointAddress(
            Endpoint(
                node,
                kind,
                float(started),
                _STATES.get(state, EndpointState.DRAINING),
                cell,
                zone,
                weight / 1000.0,
            ),
            str(IPv4Address(address)),
            port,
        )
        for node, address, port, state, zone, kind, cell, weight, started in _RECORD.iter_unpack(payload)
    )


def _event(frame: Frame) -> DiscoveryEvent | None:
    """What a frame tells; None if nothing, or nothing that is known here."""
    try:
        if frame.kind in (WHOLE, CHANGES):
            return EndpointsChanged(frame.kind == WHOLE, _members(frame.payload))
        if frame.kind == OBJECT:
            key, time = _OBJECT.unpack(frame.payload)
            return ObjectPurged(float(time), 0, key)
        if frame.kind == GROUP:
            group, time = _GROUP.unpack(frame.payload)
            return ObjectPurged(float(time), group, 0)
    except struct.error as error:
        raise ChangeLogError(f"event {frame.sequence} of kind {frame.kind}: {error}") from error
    return None


class ChangeLogDecoder:
    """Takes events in once each and in order, over as many connections as it needs."""

    def __init__(self, last: int) -> None:
        self.last_sequence = last  # number of the last event that was taken in
        self._sequence_after_gap = 0  # number of the event that last came too early
        self._replaying_all = False  # all events are asked for, as some were missing for good

    def hello(self) -> bytes:
        """The first bytes on a connection: later events than the last are wanted."""
        return _HELLO.pack(self.last_sequence)

    def process(self, frame: Frame, sink: DiscoveryListener) -> bool:
        """Tells the sink of an event that is new; False if some before it are missing: ask for them anew."""
        if frame.kind == NOTHING:
            return True
        if frame.sequence <= self.last_sequence:
            return True
        if (
            frame.sequence > self.last_sequence + 1
            and frame.kind != WHOLE
            and not self._accept_gap(frame.sequence)
        ):
            return False
        self._replaying_all = False
        event = _event(frame)
        self.last_sequence = frame.sequence
        if event is not None:
            sink.on_discovery_event(event)
        return True

    def _accept_gap(self, number: int) -> bool:
        """Whether to go on with an event although some before it are missing.

        Guards against asking for good for events that the log no longer has. The second time that they are
        missing, all events are asked for, and with them the whole list: what the gap held, as a drain or a
        purge, must not stay unknown. A log that has not even those is followed from where it begins.
        """
        if self._replaying_all:
            return True
        again, self._sequence_after_gap = number == self._sequence_after_gap, number
        if again:
            self.last_sequence, self._replaying_all = 0, True
        return False


def _place(names: Sequence[str], name: str) -> int:
    if name not in names:
        raise ChangeLogError(f"the settings know no {name!r}")
    return names.index(name)


def endpoint_from_json(entry: dict[str, Any], settings: Settings) -> EndpointAddress:
    """One node of the JSON."""
    ident, (host, _, port) = str(entry["instanceId"]), str(entry["hostPort"]).rpartition(":")
    if not ident.startswith("s-"):
        raise ChangeLogError(f"a node is called {ident!r}")
    node = Endpoint(
        int(ident[2:], 16),
        _place(settings.role_names, str(entry["machineType"])),
        float(entry.get("startedAtMs", 0)),
        _LIFECYCLES.get(str(entry["lifecycle"]), EndpointState.DRAINING),
        int(entry.get("cell", 0)),
        _place(settings.zone_names, str(entry["zone"])),
        float(entry.get("weight", 0.0)),
    )
    return EndpointAddress(node, host, int(port))


def initial_events(known: dict[str, Any], settings: Settings) -> Iterator[DiscoveryEvent]:
    """The events that the configuration holds; raises ChangeLogError if they can't be read."""
    try:
        for event in known.get("results", []):
            if fleet := event.get("fleet"):
                members = tuple(endpoint_from_json(entry, settings) for entry in fleet["instances"])
                yield EndpointsChanged(bool(fleet.get("reset", False)), members)
            elif purge := event.get("invalidate"):
                key = int(str(purge["object"]), 16) if "object" in purge else 0
                yield ObjectPurged(float(purge["time"]), int(purge.get("bucket", 0)), key)
    except KeyError as error:
        raise ChangeLogError(f"an event lacks {error}") from error
    except (AttributeError, TypeError, ValueError) as error:
        raise ChangeLogError(f"an event can't be read: {error}") from error
