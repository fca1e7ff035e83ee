"""Turns frames of the change log into discovery events, each once and in order; knows no I/O."""

from __future__ import annotations

import struct

from edge_router.decision.messages import Endpoint, EndpointState
from edge_router.discovery.events import (
    DiscoveryEvent,
    DiscoveryListener,
    EndpointAddress,
    EndpointsChanged,
    ObjectPurged,
)
from edge_router.protocol.change_log_frames import (
    ChangeLogError,
    EndpointRecord,
    Frame,
    FrameKind,
    decode_endpoint_records,
    decode_group_purge,
    decode_object_purge,
    encode_resume,
)

_STATES = {0: EndpointState.READY, 1: EndpointState.DRAINING, 2: EndpointState.GONE}


def _endpoint_address(record: EndpointRecord) -> EndpointAddress:
    """An endpoint of a list. One in an unknown state takes no new work, as if it were draining."""
    endpoint = Endpoint(
        record.endpoint_id,
        record.role,
        record.started_at,
        _STATES.get(record.state, EndpointState.DRAINING),
        record.cell,
        record.zone,
        record.weight,
    )
    return EndpointAddress(endpoint, record.address, record.port)


def _decode_event(frame: Frame) -> DiscoveryEvent | None:
    """The event of a frame; None for a kind that is not known. Raises ChangeLogError if it is malformed."""
    try:
        if frame.kind in (FrameKind.COMPLETE_LIST, FrameKind.ENDPOINT_CHANGES):
            endpoints = tuple(map(_endpoint_address, decode_endpoint_records(frame.payload)))
            return EndpointsChanged(frame.kind == FrameKind.COMPLETE_LIST, endpoints)
        if frame.kind == FrameKind.OBJECT_PURGE:
            key, time = decode_object_purge(frame.payload)
            return ObjectPurged(time, 0, key)
        if frame.kind == FrameKind.GROUP_PURGE:
            group, time = decode_group_purge(frame.payload)
            return ObjectPurged(time, group, 0)
    except struct.error as error:
        raise ChangeLogError(f"event {frame.sequence} of kind {frame.kind}: {error}") from error
    return None


class ChangeLogDecoder:
    """Passes each event on once and in order, over as many connections as that takes."""

    def __init__(self, last_sequence: int) -> None:
        self.last_sequence = last_sequence  # of the last event that was processed
        self._sequence_after_gap = 0  # of the event that last came too early
        self._replaying_all = False  # all events were requested, as some were missing twice

    def resume_request(self) -> bytes:
        """The first bytes to send on a connection: they request the events after the last one."""
        return encode_resume(self.last_sequence)

    def process(self, frame: Frame, listener: DiscoveryListener) -> bool:
        """Passes an event on if it is new; False if events before it are missing: request them again.

        Raises ChangeLogError if the frame is malformed; it then does not count as processed.
        """
        if frame.kind == FrameKind.HEARTBEAT:
            return True
        if frame.sequence <= self.last_sequence:
            return True
        if (
            frame.sequence > self.last_sequence + 1
            and frame.kind != FrameKind.COMPLETE_LIST
            and not self._accept_gap(frame.sequence)
        ):
            return False
        self._replaying_all = False
        event = _decode_event(frame)
        self.last_sequence = frame.sequence
        if event is not None:
            listener.on_discovery_event(event)
        return True

    def _accept_gap(self, sequence: int) -> bool:
        """Whether to process an event although some before it are missing.

        The log may no longer have them, so they are requested only once. If they are missing again, all
        events are requested, and with them the complete list, as the gap may have held a drain or a purge.
        A log that lacks even those is followed from where it begins.
        """
        if self._replaying_all:
            return True
        again, self._sequence_after_gap = sequence == self._sequence_after_gap, sequence
        if again:
            self.last_sequence, self._replaying_all = 0, True
        return False
