"""The change log of one router: numbered events over TCP, with faults. Each router has one of its own."""

from __future__ import annotations

import struct
import time
from dataclasses import dataclass

import trio

from edge_router.fault_injection.observations import EndpointChangeSent, Observations, PurgeSent
from edge_router.fault_injection.protocol import (
    EndpointRecord,
    EndpointState,
    FrameType,
    encode_frame,
    encode_group_purge,
    encode_object_purge,
)

SLOW_PIECE_SIZE = 32  # bytes sent at once while the log is slow
SLOW_PIECE_INTERVAL = 0.3  # seconds
PURGE_RETENTION = 6.0  # seconds for which a router that starts is still given a purge
MOVED_CLOSES_AFTER = 1.5  # seconds for which the old address keeps its connections open
HEARTBEAT_INTERVAL = 1.0  # seconds
_SEQUENCE_NUMBER = struct.Struct(">Q")


@dataclass(slots=True)
class LogEvent:
    """One numbered event. `change` is what the router learns by it; None for the list at the start."""

    frame: bytes
    change: EndpointChangeSent | PurgeSent | None = None


class ChangeLog:
    """All events of one router process, and the connections that follow them."""

    def __init__(self, router: str, observations: Observations, endpoints: list[EndpointRecord]) -> None:
        self.router = router
        self.silent_until = 0.0  # monotonic seconds
        self.slow_until = 0.0  # monotonic seconds
        self.recent_purges: list[PurgeSent] = []  # for the configuration of a router that restarts
        self._endpoints = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        self._address_generation = 0  # counts the moves to another address
        self._sent_to: dict[trio.SocketStream, int] = {}  # number of the last event sent there
        self._observations = observations
        self._events = [self._list_event()]
        self._changed = trio.Event()
        self._streams: set[trio.SocketStream] = set()

    def _list_event(self) -> LogEvent:
        payload = b"".join(endpoint.encode() for endpoint in self._endpoints.values())
        return LogEvent(encode_frame(1, FrameType.ENDPOINT_LIST, payload))

    def endpoints(self) -> list[EndpointRecord]:
        """The present endpoint list."""
        return list(self._endpoints.values())

    def update_endpoint(self, endpoint: EndpointRecord) -> None:
        """Adds an event: an endpoint's entry has changed."""
        self._endpoints[endpoint.endpoint_id] = endpoint
        if endpoint.state is EndpointState.REMOVED:
            del self._endpoints[endpoint.endpoint_id]
        change = EndpointChangeSent(
            None, self.router, endpoint.endpoint_id, endpoint.state, endpoint.started_ms
        )
        self._add(FrameType.ENDPOINT_CHANGES, endpoint.encode(), change)

    def purge_object(self, object_id: str, purged_at_ms: int) -> None:
        """Adds an event: an object was purged."""
        change = PurgeSent(None, self.router, purged_at_ms, object_id=object_id)
        self._add(FrameType.OBJECT_PURGED, encode_object_purge(object_id, purged_at_ms), change)

    def purge_group(self, group: int, purged_at_ms: int) -> None:
        """Adds an event: all objects of a group were purged."""
        change = PurgeSent(None, self.router, purged_at_ms, group=group)
        self._add(FrameType.GROUP_PURGED, encode_group_purge(group, purged_at_ms), change)

    def _add(self, frame_type: FrameType, payload: bytes, change: EndpointChangeSent | PurgeSent) -> None:
        frame = encode_frame(len(self._events) + 1, frame_type, payload)
        self._events.append(LogEvent(frame, change))
        self._notify_connections()

    def _notify_connections(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def is_followed_to_its_end(self) -> bool:
        """Whether somebody is connected to the present address and was sent all events."""
        return len(self._events) in self._sent_to.values()

    def restart(self) -> None:
        """Starts anew for a new router process: numbers begin again, with the list as it is now.

        The router gets that list with its configuration, so the changes count as sent now.
        """
        now = time.monotonic()
        oldest_ms = (time.time() - PURGE_RETENTION) * 1000.0
        purges = [event.change for event in self._events if isinstance(event.change, PurgeSent)]
        self.recent_purges = [purge for purge in purges if purge.purged_at_ms > oldest_ms]
        self._events = [self._list_event()]
        for endpoint in self._endpoints.values():
            self._observations.add_change(
                EndpointChangeSent(now, self.router, endpoint.endpoint_id, endpoint.state)
            )
        self.reset_connections()

    def move(self) -> None:
        """The log is at another address from now on; connections to the old one are sent nothing more."""
        self._address_generation += 1
        self._notify_connections()

    def reset_connections(self) -> None:
        """Closes all connections abruptly."""
        for stream in list(self._streams):
            stream.socket.close()
        self._streams.clear()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves one connection: reads the number of the last known event, then sends all later ones."""
        self._streams.add(stream)
        try:
            request = b""
            while len(request) < _SEQUENCE_NUMBER.size:
                if not (data := await stream.receive_some(_SEQUENCE_NUMBER.size - len(request))):
                    return
                request += data
            await self._send_events(stream, _SEQUENCE_NUMBER.unpack(request)[0])
            self._sent_to.pop(stream, None)
            await trio.sleep(MOVED_CLOSES_AFTER)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        finally:
            self._streams.discard(stream)
            self._sent_to.pop(stream, None)
            await trio.aclose_forcefully(stream)

    async def _send_events(self, stream: trio.SocketStream, last: int) -> None:
        """Sends all events after number `last`, and heartbeats, until the log moves to another address."""
        generation = self._address_generation
        while generation == self._address_generation:
            changed = self._changed
            while time.monotonic() < self.silent_until:
                await trio.sleep(0.02)
            while last < len(self._events) and generation == self._address_generation:
                event = self._events[last]
                await self._send(stream, event.frame)
                self._record_sent(event)
                last += 1
            self._sent_to[stream] = last
            with trio.move_on_after(HEARTBEAT_INTERVAL) as waiting:
                await changed.wait()
            moved = generation != self._address_generation
            if waiting.cancelled_caught and not moved and time.monotonic() >= self.silent_until:
                await stream.send_all(encode_frame(last, FrameType.HEARTBEAT))

    def _record_sent(self, event: LogEvent) -> None:
        """Records the event's change when it is sent for the first time."""
        if event.change is not None and event.change.at is None:
            event.change.at = time.monotonic()
            self._observations.add_change(event.change)

    async def _send(self, stream: trio.SocketStream, data: bytes) -> None:
        if time.monotonic() >= self.slow_until:
            await stream.send_all(data)
            return
        for start in range(0, len(data), SLOW_PIECE_SIZE):
            await stream.send_all(data[start : start + SLOW_PIECE_SIZE])
            await trio.sleep(SLOW_PIECE_INTERVAL)
