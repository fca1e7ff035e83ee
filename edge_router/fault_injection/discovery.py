"""The change log of one router: numbered events over TCP, with faults, told apart by router."""

from __future__ import annotations

import struct
import time

import trio

from edge_router.fault_injection.observations import Observations, Told
from edge_router.fault_injection.protocol import NodeRecord, frame

NOTHING, WHOLE, CHANGES, OBJECT, GROUP = range(5)
SLOW_PIECE = 32
PURGE_LASTS = 6.0  # seconds for which a router that starts is told of a purge
MOVED_CLOSES_AFTER = 1.5  # seconds for which the old address keeps its connections open


class ChangeLog:
    """All events of one life of a router, and the connections that follow them."""

    def __init__(self, router: str, seen: Observations, nodes: list[NodeRecord]) -> None:
        self.router = router
        self.nodes = {node.ident: node for node in nodes}
        self.quiet_until = 0.0
        self.slow_until = 0.0
        self.recent_purges: list[Told] = []
        self._generation = 0  # of the address at which it is followed
        self._written_to: dict[trio.SocketStream, int] = {}  # number of the last event written there
        self._seen = seen
        self._events: list[bytes] = [frame(1, WHOLE, b"".join(node.encode() for node in nodes))]
        self._told: list[Told | None] = [None]
        self._changed = trio.Event()
        self._streams: set[trio.SocketStream] = set()

    def known(self) -> list[NodeRecord]:
        """The list as it stands, for the configuration of a router that starts."""
        return list(self.nodes.values())

    def change(self, node: NodeRecord) -> None:
        """A node's entry has changed."""
        self.nodes[node.ident] = node
        if node.state == 2:
            del self.nodes[node.ident]
        self._add(CHANGES, node.encode(), Told(0.0, self.router, node.ident, node.state, node.started))

    def purge(self, item: str, group: int, unix_ms: int) -> None:
        """An object, or where `item` is empty a group, was purged."""
        if item:
            self._add(
                OBJECT,
                struct.pack(">QQ", int(item, 16), unix_ms),
                Told(0.0, self.router, item=item, purged_unix_ms=unix_ms),
            )
        else:
            self._add(
                GROUP,
                struct.pack(">HQ", group, unix_ms),
                Told(0.0, self.router, group=group, purged_unix_ms=unix_ms),
            )

    def _add(self, kind: int, payload: bytes, told: Told) -> None:
        self._events.append(frame(len(self._events) + 1, kind, payload))
        self._told.append(told)
        self._changed.set()
        self._changed = trio.Event()

    def last(self) -> int:
        """The number of the last event."""
        return len(self._events)

    def followed(self) -> bool:
        """Whether somebody is connected at the present address and was told all events."""
        return self.last() in self._written_to.values()

    def restart(self) -> None:
        """The router starts anew: its numbers begin again with the list as it stands, told with its start."""
        now = time.monotonic()
        recent = [
            told
            for told in self._told
            if told and told.purged_unix_ms and told.purged_unix_ms > (time.time() - PURGE_LASTS) * 1000.0
        ]
        self._events = [frame(1, WHOLE, b"".join(node.encode() for node in self.nodes.values()))]
        self._told = [None]
        self.recent_purges = recent
        for node in self.nodes.values():
            self._seen.told.append(Told(now, self.router, node.ident, node.state))
        self.break_off()

    def move(self) -> None:
        """The log is at another address from now on; connections to the old one are told nothing more."""
        self._generation += 1
        self._changed.set()
        self._changed = trio.Event()

    def break_off(self) -> None:
        """Resets all connections."""
        for stream in list(self._streams):
            stream.socket.close()
        self._streams.clear()

    async def serve(self, stream: trio.SocketStream) -> None:
        """One connection: the number it begins with, then every later event and an empty frame a second."""
        self._streams.add(stream)
        try:
            hello = b""
            while len(hello) < 8:
                if not (chunk := await stream.receive_some(8 - len(hello))):
                    return
                hello += chunk
            await self._tell(stream, struct.unpack(">Q", hello)[0])
            self._written_to.pop(stream, None)
            await trio.sleep(MOVED_CLOSES_AFTER)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        finally:
            self._streams.discard(stream)
            self._written_to.pop(stream, None)
            await trio.aclose_forcefully(stream)

    async def _tell(self, stream: trio.SocketStream, last: int) -> None:
        generation = self._generation
        while generation == self._generation:
            changed = self._changed
            while time.monotonic() < self.quiet_until:
                await trio.sleep(0.02)
            while last < len(self._events) and generation == self._generation:
                await self._send(stream, self._events[last])
                if told := self._told[last]:
                    if not told.at:
                        self._seen.told.append(told)
                    told.at = told.at or time.monotonic()
                last += 1
            self._written_to[stream] = last
            with trio.move_on_after(1.0) as waiting:
                await changed.wait()
            quiet = generation != self._generation or time.monotonic() < self.quiet_until
            if waiting.cancelled_caught and not quiet:
                await stream.send_all(frame(last, NOTHING))

    async def _send(self, stream: trio.SocketStream, data: bytes) -> None:
        if time.monotonic() >= self.slow_until:
            await stream.send_all(data)
            return
        for at in range(0, len(data), SLOW_PIECE):
            await stream.send_all(data[at : at + SLOW_PIECE])
            await trio.sleep(0.3)
