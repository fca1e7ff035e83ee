"""The change log of the router model: events on nodes and purges, and a connection that can be cut."""

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

PURGED_GROUP = 3
COMPLETE_LIST, CHANGED_ENDPOINTS, OBJECT_PURGE, GROUP_PURGE = 1, 2, 3, 4  # kinds of events

_HEAD = struct.Struct(">IQB")
_HEAD_SIZE_COUNTED = 9  # bytes of the head that the length of a frame counts
_BUFFER = 1 << 16


class ChangeLog:
    """All events so far, and the follower through which the router receives them."""

    def __init__(self, harness: Harness, endpoints: Endpoints) -> None:
        self._harness = harness
        self._endpoints = endpoints
        self.decoder = ChangeLogDecoder(0)
        self.frames: list[bytes] = []  # by number, from 1 on
        self.connected = True
        self.skips_sequence = False  # the next event comes under a number too high
        self.received = 0  # events that the follower has passed on
        self._append_endpoints(COMPLETE_LIST, list(endpoints.ids))

    # -- events --

    def _append(self, kind: int, payload: bytes) -> None:
        number = len(self.frames) + 1
        length = _HEAD_SIZE_COUNTED + len(payload)
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
        """A node begins to drain."""
        self._change_endpoint(name, EndpointState.DRAINING)

    def undrain(self, name: str) -> None:
        """A draining node is ready again."""
        self._change_endpoint(name, EndpointState.READY)

    def remove(self, name: str) -> None:
        """A node is gone."""
        self._change_endpoint(name, EndpointState.GONE)

    def restart(self, name: str) -> None:
        """A node has started anew."""
        self._change_endpoint(name, EndpointState.READY, round(self._harness.now))

    def replace(self, name: str) -> None:
        """A node is gone, and a new one has its address."""
        new_name = self._endpoints.replace(name)
        self._append_endpoints(CHANGED_ENDPOINTS, [name, new_name])

    def join(self) -> None:
        """A new cache joins."""
        self._append_endpoints(CHANGED_ENDPOINTS, [self._endpoints.join(round(self._harness.now))])

    def purge(self, key: int) -> None:
        """An object is purged."""
        self._append(OBJECT_PURGE, struct.pack(">QQ", key, round(self._harness.now)))

    def purge_group(self) -> None:
        """A group of objects is purged."""
        self._append(GROUP_PURGE, struct.pack(">HQ", PURGED_GROUP, round(self._harness.now)))

    # -- the connection --

    def cut(self) -> None:
        """The connection to the change log breaks."""
        self.connected = False

    def reconnect(self) -> None:
        """The router is connected again, and receives what it has missed."""
        self.connected = True
        self._catch_up()

    def repeat(self) -> None:
        """The last event is sent again."""
        self._deliver(self.frames[-1])

    def skip(self) -> None:
        """The next event will come under a number too high, as if one had been missed."""
        self.skips_sequence = True

    def _catch_up(self) -> None:
        (last,) = struct.unpack(">Q", self.decoder.resume_request())
        for frame in self.frames[last:]:
            self._deliver(frame)

    def _deliver(self, data: bytes) -> bool:
        """Hands a frame to the follower; False if it wants to connect anew."""
        buffer = ReceiveBuffer(_BUFFER)
        buffer.append(data)
        return all(self.decoder.process(frame, self) for frame in decode_frames(buffer))

    def on_discovery_event(self, event: DiscoveryEvent) -> None:
        """Called by the follower with each event; passes it to the observer, then to the router."""
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
        """Checks that the router has received each event once, while it is connected."""
        if self.connected and not self.decoder.last_sequence == self.received == len(self.frames):
            self._harness.record_violation(
                "log-followed",
                f"{len(self.frames)} events, {self.received} received, last {self.decoder.last_sequence}",
            )
