"""Converts frames of the change log to discovery events, in order and without I/O.

Source: the operators' page `PROTOCOL-robinbeam.md`, section "The change log".
"""

from __future__ import annotations

import struct

from edge_router.decision.messages import Endpoint, EndpointState
from edge_router.discovery.events import (
    DiscoveryEvent,
    DiscoveryListener,
    EndpointsChanged,
    ListedEndpoint,
    ObjectsPurged,
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


def _listed_endpoint(record: EndpointRecord) -> ListedEndpoint:
    """Converts an endpoint of a list; an unknown state counts as draining, so it gets no new requests."""
    endpoint = Endpoint(
        record.endpoint_id,
        record.role,
        record.started_at,
        _STATES.get(record.state, EndpointState.DRAINING),
        record.cell,
        record.zone,
        record.weight,
    )
    return ListedEndpoint(endpoint, record.address, record.port)


def _decode_event(frame: Frame) -> DiscoveryEvent | None:
    """Decodes a frame's event; None if its kind is unknown. Raises ChangeLogError if it is malformed."""
    try:
        if frame.kind in (FrameKind.COMPLETE_LIST, FrameKind.ENDPOINT_CHANGES):
            endpoints = tuple(map(_listed_endpoint, decode_endpoint_records(frame.payload)))
            return EndpointsChanged(frame.kind == FrameKind.COMPLETE_LIST, endpoints)
        if frame.kind == FrameKind.OBJECT_PURGE:
            key, time = decode_object_purge(frame.payload)
            return ObjectsPurged(time, 0, key)
        if frame.kind == FrameKind.GROUP_PURGE:
            group, time = decode_group_purge(frame.payload)
            return ObjectsPurged(time, group, 0)
    except struct.error as error:
        raise ChangeLogError(f"malformed event {frame.sequence} of kind {frame.kind}: {error}") from error
    return None


class ChangeLogDecoder:
    """Passes the events to the listener in order, across any number of connections.

    Each is passed once, unless all events are requested again after a gap.
    """

    def __init__(self, last_sequence: int) -> None:
        self.last_sequence = last_sequence  # of the last event that was processed; 0 requests all events
        self._sequence_after_gap = 0  # of the last event before which others were missing
        self._replaying_all = False  # all events were requested, as a gap was found twice

    def resume_request(self) -> bytes:
        """Encodes the first bytes to send on a connection, which request the events after the last one."""
        return encode_resume(self.last_sequence)

    def process(self, frame: Frame, listener: DiscoveryListener) -> bool:
        """Passes a frame's event to the listener if it is new.

        Returns False if events before it are missing and have to be requested again. Raises ChangeLogError if
        the frame is malformed; its event then does not count as processed.
        """
        if frame.kind == FrameKind.HEARTBEAT:
            return True
        if frame.sequence <= self.last_sequence:
            return True
        if (
            frame.sequence > self.last_sequence + 1
            and frame.kind != FrameKind.COMPLETE_LIST
            and not self._handle_gap(frame.sequence)
        ):
            return False
        self._replaying_all = False
        event = _decode_event(frame)
        self.last_sequence = frame.sequence
        if event is not None:
            listener.on_discovery_event(event)
        return True

    def _handle_gap(self, sequence: int) -> bool:
        """Decides how to handle a gap before this event; returns whether to process the event now.

        The first time, the missing events are requested again. If the gap is found before the same event
        once more, the log may no longer have them. Then all events are requested, and with them the complete
        list, as a drain or a purge may be missing. If the log begins with a gap even then, it is followed
        from the first event that it has.
        """
        if self._replaying_all:
            return True
        same_gap, self._sequence_after_gap = sequence == self._sequence_after_gap, sequence
        if same_gap:
            self.last_sequence, self._replaying_all = 0, True
        return False
