"""The change log of one router: numbered events over TCP, with faults."""

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

SLOW_PIECE_SIZE = 32  # bytes sent at once while the change log is slow
SLOW_PIECE_INTERVAL = 0.3  # seconds
# Seconds. A router that restarts gets the purges of this time in its configuration, except those from before
# its previous restart.
PURGE_RETENTION = 6.0
MOVED_CONNECTION_TIME = 1.5  # seconds for which connections to the previous address stay open after a move
HEARTBEAT_INTERVAL = 1.0  # seconds
_SEQUENCE_NUMBER = struct.Struct(">Q")


@dataclass(slots=True)
class LogEvent:
    """One numbered event. `change` is the change that it announces, or None for the initial list."""

    frame: bytes
    change: EndpointChangeSent | PurgeSent | None = None


class ChangeLog:
    """All events for one router process, and the connections on which they are sent."""

    def __init__(self, router: str, observations: Observations, endpoints: list[EndpointRecord]) -> None:
        self.router = router
        self.silent_until = 0.0  # monotonic seconds
        self.slow_until = 0.0  # monotonic seconds
        self.recent_purges: list[PurgeSent] = []  # for the configuration of a router that restarts
        self._endpoints = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        self._address_generation = 0  # number of moves to another address
        self._last_sent: dict[trio.SocketStream, int] = {}  # sequence numbers by connection
        self._observations = observations
        self._events = [self._list_event()]
        self._changed = trio.Event()
        self._streams: set[trio.SocketStream] = set()

    def _list_event(self) -> LogEvent:
        payload = b"".join(endpoint.encode() for endpoint in self._endpoints.values())
        return LogEvent(encode_frame(1, FrameType.ENDPOINT_LIST, payload))

    def endpoints(self) -> list[EndpointRecord]:
        """Returns the current endpoint list."""
        return list(self._endpoints.values())

    def update_endpoint(self, endpoint: EndpointRecord) -> None:
        """Adds the event that an endpoint's entry has changed."""
        self._endpoints[endpoint.endpoint_id] = endpoint
        if endpoint.state is EndpointState.REMOVED:
            del self._endpoints[endpoint.endpoint_id]
        change = EndpointChangeSent(
            None, self.router, endpoint.endpoint_id, endpoint.state, endpoint.started_ms
        )
        self._add(FrameType.ENDPOINT_CHANGES, endpoint.encode(), change)

    def purge_object(self, object_id: str, purged_at_ms: int) -> None:
        """Adds the event that an object was purged."""
        change = PurgeSent(None, self.router, purged_at_ms, object_id=object_id)
        self._add(FrameType.OBJECT_PURGED, encode_object_purge(object_id, purged_at_ms), change)

    def purge_group(self, group: int, purged_at_ms: int) -> None:
        """Adds the event that all objects of a purge group were purged."""
        change = PurgeSent(None, self.router, purged_at_ms, group=group)
        self._add(FrameType.GROUP_PURGED, encode_group_purge(group, purged_at_ms), change)

    def _add(self, frame_type: FrameType, payload: bytes, change: EndpointChangeSent | PurgeSent) -> None:
        frame = encode_frame(len(self._events) + 1, frame_type, payload)
        self._events.append(LogEvent(frame, change))
        self._notify_connections()

    def _notify_connections(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def has_sent_all_events(self) -> bool:
        """Whether all events were sent on a connection to the current address that is still open."""
        return len(self._events) in self._last_sent.values()

    def restart(self) -> None:
        """Resets the log for a new router process and closes all connections.

        Event 1 is now the current endpoint list. The router gets that list in its configuration, so the
        states in it are recorded as sent now, without the start times. `recent_purges` gets the log's purges
        of the last `PURGE_RETENTION` seconds.
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
        self.close_connections()

    def move(self) -> None:
        """Moves the log to another address: nothing more is sent on connections to the previous one."""
        self._address_generation += 1
        self._notify_connections()

    def close_connections(self) -> None:
        """Closes the sockets of all connections at once."""
        for stream in list(self._streams):
            stream.socket.close()
        self._streams.clear()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves one connection: reads the router's last sequence number, then sends all later events."""
        self._streams.add(stream)
        try:
            request = b""
            while len(request) < _SEQUENCE_NUMBER.size:
                if not (data := await stream.receive_some(_SEQUENCE_NUMBER.size - len(request))):
                    return
                request += data
            await self._send_events(stream, _SEQUENCE_NUMBER.unpack(request)[0])
            self._last_sent.pop(stream, None)
            await trio.sleep(MOVED_CONNECTION_TIME)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        finally:
            self._streams.discard(stream)
            self._last_sent.pop(stream, None)
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
            self._last_sent[stream] = last
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
