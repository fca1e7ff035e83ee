"""The change log of the router model: events on endpoints and purges, and a connection that can be cut.

Source: the operators' page `PROTOCOL-robinbeam.md`, section "The change log".
"""

from __future__ import annotations

import struct

from edge_router.decision.messages import EndpointState
from edge_router.discovery.change_log_decoder import ChangeLogDecoder
from edge_router.discovery.events import DiscoveryEvent, EndpointsChanged, ObjectsPurged
from edge_router.model_checker.model.endpoints import Endpoints
from edge_router.model_checker.model.harness import Harness
from edge_router.model_checker.observations import ObservedPurge
from edge_router.protocol.buffer import ReceiveBuffer
from edge_router.protocol.change_log_frames import decode_frames

PURGED_GROUP = 3  # the purge group of all objects of the model
COMPLETE_LIST, CHANGED_ENDPOINTS, OBJECT_PURGE, GROUP_PURGE = 1, 2, 3, 4  # kinds of events

_HEAD = struct.Struct(">IQB")
_COUNTED_HEAD_SIZE = 9  # bytes of the head that the length field of a frame includes
_BUFFER_SIZE = 1 << 16  # bytes


class ChangeLog:
    """Holds all events so far, and the decoder through which the router receives them."""

    def __init__(self, harness: Harness, endpoints: Endpoints) -> None:
        self._harness = harness
        self._endpoints = endpoints
        self.decoder = ChangeLogDecoder(0)
        self.frames: list[bytes] = []  # in order of their sequence numbers, which begin with 1
        self.connected = True
        self.skips_sequence = False  # the next event gets a sequence number that is one too high
        self.received = 0  # number of events that the decoder has passed on
        self._append_endpoints(COMPLETE_LIST, list(endpoints.ids))

    def _append(self, kind: int, payload: bytes) -> None:
        number = len(self.frames) + 1
        length = _COUNTED_HEAD_SIZE + len(payload)
        self.frames.append(_HEAD.pack(length, number, kind) + payload)
        if not self.connected:
            return
        if self.skips_sequence:
            self.skips_sequence = False
            if self._deliver(_HEAD.pack(length, number + 1, kind) + payload):
                return
        self._catch_up()

    def _append_endpoints(self, kind: int, names: list[str]) -> None:
        self._append(kind, b"".join(map(self._endpoints.record, names)))

    def _change_endpoint(self, name: str, state: EndpointState, started: float | None = None) -> None:
        self._endpoints.set_state(name, state, started)
        self._append_endpoints(CHANGED_ENDPOINTS, [name])

    def drain(self, name: str) -> None:
        """Lets an endpoint begin to drain."""
        self._change_endpoint(name, EndpointState.DRAINING)

    def undrain(self, name: str) -> None:
        """Makes a draining endpoint ready again."""
        self._change_endpoint(name, EndpointState.READY)

    def remove(self, name: str) -> None:
        """Removes an endpoint."""
        self._change_endpoint(name, EndpointState.GONE)

    def restart(self, name: str) -> None:
        """Restarts an endpoint: its start time becomes the present."""
        self._change_endpoint(name, EndpointState.READY, round(self._harness.now))

    def replace(self, name: str) -> None:
        """Removes an endpoint and adds a new one at the same address."""
        new_name = self._endpoints.replace(name)
        self._append_endpoints(CHANGED_ENDPOINTS, [name, new_name])

    def join(self) -> None:
        """Adds a new cache."""
        self._append_endpoints(CHANGED_ENDPOINTS, [self._endpoints.join(round(self._harness.now))])

    def purge(self, key: int) -> None:
        """Purges an object."""
        self._append(OBJECT_PURGE, struct.pack(">QQ", key, round(self._harness.now)))

    def purge_group(self) -> None:
        """Purges the group of all objects."""
        self._append(GROUP_PURGE, struct.pack(">HQ", PURGED_GROUP, round(self._harness.now)))

    def cut(self) -> None:
        """Breaks the connection to the change log."""
        self.connected = False

    def reconnect(self) -> None:
        """Restores the connection; the router receives the events that it has missed."""
        self.connected = True
        self._catch_up()

    def repeat(self) -> None:
        """Sends the last event again."""
        self._deliver(self.frames[-1])

    def skip(self) -> None:
        """Gives the next event a sequence number that is one too high, as if an event had been missed."""
        self.skips_sequence = True

    def _catch_up(self) -> None:
        (last,) = struct.unpack(">Q", self.decoder.resume_request())
        for frame in self.frames[last:]:
            self._deliver(frame)

    def _deliver(self, data: bytes) -> bool:
        """Hands a frame to the decoder; returns False if the decoder asks for a new connection."""
        buffer = ReceiveBuffer(_BUFFER_SIZE)
        buffer.append(data)
        return all(self.decoder.process(frame, self) for frame in decode_frames(buffer))

    def on_discovery_event(self, event: DiscoveryEvent) -> None:
        """Passes an event from the decoder to the observer, then to the router."""
        self.received += 1
        observer = self._harness.observer
        if isinstance(event, EndpointsChanged):
            observer.endpoints_received(tuple(member.endpoint for member in event.endpoints), event.complete)
        elif isinstance(event, ObjectsPurged):
            observer.purge_received(
                ObservedPurge(self._harness.now, event.unix_time, event.purge_group, event.object_key)
            )
        self._harness.router.on_discovery_event(event)

    def check_followed(self) -> None:
        """Checks, while the router is connected, that it has received each event once."""
        if self.connected and not self.decoder.last_sequence == self.received == len(self.frames):
            self._harness.record_violation(
                "log-followed",
                f"{len(self.frames)} events, {self.received} received, last {self.decoder.last_sequence}",
            )
