"""Decodes frames and records of the change log's connection, without I/O.

Source: the operators' page `PROTOCOL-robinbeam.md`, section "The change log".
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from enum import IntEnum
from ipaddress import IPv4Address
from typing import NamedTuple

from edge_router.protocol.buffer import ReceiveBuffer

MAX_FRAME_SIZE = 1 << 20  # bytes; enough for a list of many thousand endpoints

_LENGTH = struct.Struct(">I")
_HEAD = struct.Struct(">QB")  # sequence and kind; the length of a frame covers these and the payload
_ENDPOINT = struct.Struct(">IIHBBBHIQ")
_OBJECT_PURGE = struct.Struct(">QQ")
_GROUP_PURGE = struct.Struct(">HQ")
_RESUME = struct.Struct(">Q")


class FrameKind(IntEnum):
    """The known kinds of frames; a frame may also have another kind."""

    HEARTBEAT = 0
    COMPLETE_LIST = 1
    ENDPOINT_CHANGES = 2
    OBJECT_PURGE = 3
    GROUP_PURGE = 4


class ChangeLogError(Exception):
    """Bytes that are not frames of a change log."""


class Frame(NamedTuple):
    """One complete frame; `kind` is a `FrameKind` or the number of an unknown kind."""

    sequence: int
    kind: int
    payload: bytes


class EndpointRecord(NamedTuple):
    """One endpoint of a list; state, zone, role and cell are the numbers on the wire."""

    endpoint_id: int
    address: str
    port: int
    state: int  # 0 up, 1 draining, 2 removed
    zone: int
    role: int
    cell: int
    weight: float
    started_at: float  # Unix milliseconds


def encode_resume(last_sequence: int) -> bytes:
    """Encodes the router's first bytes on a connection, which request the events after this one."""
    return _RESUME.pack(last_sequence)


def decode_frames(buffer: ReceiveBuffer) -> Iterator[Frame]:
    """Consumes all complete frames; raises ChangeLogError if a length is out of bounds."""
    while len(buffer) >= _LENGTH.size:
        (length,) = buffer.peek_struct(_LENGTH)
        if not _HEAD.size <= length <= MAX_FRAME_SIZE:
            raise ChangeLogError(f"frame length of {length} bytes is out of bounds")
        if len(buffer) < _LENGTH.size + length:
            return
        buffer.skip(_LENGTH.size)
        sequence, kind = buffer.peek_struct(_HEAD)
        buffer.skip(_HEAD.size)
        yield Frame(sequence, kind, buffer.read(length - _HEAD.size))


def decode_endpoint_records(payload: bytes) -> Iterator[EndpointRecord]:
    """Decodes the endpoints of a list; raises struct.error if the payload is truncated."""
    for endpoint_id, address, port, state, zone, role, cell, weight, started in _ENDPOINT.iter_unpack(
        payload
    ):
        yield EndpointRecord(
            endpoint_id,
            str(IPv4Address(address)),
            port,
            state,
            zone,
            role,
            cell,
            weight / 1000.0,
            float(started),
        )


def decode_object_purge(payload: bytes) -> tuple[int, float]:
    """Returns the object's key and the Unix time in ms; raises struct.error if the size is wrong."""
    key, time = _OBJECT_PURGE.unpack(payload)
    return key, float(time)


def decode_group_purge(payload: bytes) -> tuple[int, float]:
    """Returns the purge group and the Unix time in ms; raises struct.error if the size is wrong."""
    group, time = _GROUP_PURGE.unpack(payload)
    return group, float(time)
