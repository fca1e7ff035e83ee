"""The web servers: FastCGI clients that ask in an open loop, leave early at times, or misbehave."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

import trio

from edge_router.fault_injection.observations import Asked, Observations
from edge_router.fault_injection.protocol import (
    ABORT,
    BEGIN,
    END,
    OVERLOADED,
    PARAMS,
    STDIN,
    STDOUT,
    ProtocolError,
    Reader,
    parse_response,
    record,
    records,
    request_records,
)

IDLE_SECONDS = 3.0  # clients close connections at rest after 4 s; some before
MOST_AT_ONCE = 8  # requests on one connection
CLASSES = (("photo", 0.55), ("page", 0.3), ("order", 0.08), ("vote", 0.07))
OBJECTS = 300
GROUPS = 16
LEAVE_SHARE = 0.04  # of the requests, those whose client leaves early


@dataclass(slots=True)
class Connection:
    """One connection to a router."""

    stream: trio.SocketStream
    open: dict[int, Asked] = field(default_factory=dict)
    output: dict[int, bytes] = field(default_factory=dict)
    next_ident: int = 1
    used_at: float = field(default_factory=time.monotonic)
    over: bool = False
    writing: trio.Lock = field(default_factory=trio.Lock)  # records of two requests must not mix


class Clients:
    """All clients of one router."""

    def __init__(
        self, router: str, address: tuple[str, int], seed: int, seen: Observations, nursery: trio.Nursery
    ) -> None:
        self._router, self._address, self._seen, self._nursery = router, address, seen, nursery
        self._random = random.Random(seed)
        self._connections: list[Connection] = []
        self._tags: dict[tuple[str, int], str] = {}  # of copies that clients hold
        self.rate_factor = 1.0
        self.accepting = True  # whether the front still hands requests to this router

    async def run(self, rate: float, until: float) -> None:
        """Asks at that mean rate until that moment; arrivals don't wait for answers."""
        at = time.monotonic()
        while at < until:
            at += self._random.expovariate(rate * self.rate_factor)
            await trio.sleep(max(0.0, at - time.monotonic()))
            self._seen.lateness = max(self._seen.lateness, time.monotonic() - at)
            if self.accepting:
                self._nursery.start_soon(self._ask_once)

    def _draw(self) -> Asked:
        cls = self._random.choices([name for name, _ in CLASSES], [share for _, share in CLASSES])[0]
        number = min(int(self._random.paretovariate(0.9)), OBJECTS)
        item = f"{number * 0x9E3779B97F4A7C15 % (1 << 64):016x}"
        ttl = self._random.choice((0.12, 0.5, 1.0, 1.5))
        asked = Asked(
            f"{self._random.getrandbits(64):016x}", self._router, cls, item, number % 3, number % GROUPS, ttl
        )
        if cls in ("photo", "page") and self._random.random() < 0.2:
            asked.tag = self._tags.get((item, asked.chunk), "")
        return asked

    async def _ask_once(self) -> None:
        asked = self._draw()
        try:
            connection = await self._connection()
        except OSError:
            return  # never sent, so nothing is owed
        await self._send(connection, asked)

    async def _connection(self) -> Connection:
        usable = [
            one
            for one in self._connections
            if not one.over and len(one.open) < MOST_AT_ONCE and time.monotonic() - one.used_at < IDLE_SECONDS
        ]
        if usable and self._random.random() < 0.9:
            return self._random.choice(usable)
        with trio.fail_after(2.0):
            try:
                stream = await trio.open_tcp_stream(*self._address)
            except trio.TooSlowError as error:
                raise OSError("not up in time") from error
        connection = Connection(stream)
        self._connections.append(connection)
        self._nursery.start_soon(self._read, connection)
        return connection

    def _fields(self, asked: Asked) -> dict[str, str]:
        size = 20 + int(asked.item[:4], 16) % 200
        fields = {
            "X_TXN": asked.txn,
            "X_TTL_MS": str(round(asked.ttl * 1000)),
            "X_ROW": asked.item,
            "X_SEG": str(asked.chunk),
            "X_BUCKET": str(asked.group),
            "X_WORKING_SET_KB": str(size),
        }
        if asked.cls == "vote":
            fields["X_TXN_KEY"] = f"k{asked.txn}"
        if asked.tag:
            fields["X_ETAG"] = asked.tag
        return fields

    async def _send(self, connection: Connection, asked: Asked) -> None:
        ident = connection.next_ident
        connection.next_ident = ident % 60_000 + 1
        body = b"b" * 100 if asked.cls in ("order", "vote") else b""
        data = request_records(ident, f"/svc/{asked.cls}", self._fields(asked), body)
        connection.open[ident] = asked
        connection.used_at = time.monotonic()
        try:
            async with connection.writing:
                if self._random.random() < 0.1:
                    await connection.stream.send_all(data[:20])
                    await trio.sleep(0.02)
                    data = data[20:]
                await connection.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError):
            connection.open.pop(ident, None)
            connection.over = True
            return
        asked.sent_at = asked.sent_at or time.monotonic()
        self._seen.asked.append(asked)
        if self._random.random() < LEAVE_SHARE:
            await trio.sleep(self._random.uniform(0.0, 0.2))
            await self._leave(connection, ident, asked)

    async def _leave(self, connection: Connection, ident: int, asked: Asked) -> None:
        if asked.answered_at or connection.over:
            return
        if self._random.random() < 0.7:
            asked.left_at = time.monotonic()  # before the end that it brings about can come
            try:
                async with connection.writing:
                    await connection.stream.send_all(record(ABORT, ident))
            except (trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError):
                asked.left_at = 0.0
        else:
            connection.over = True
            for other in connection.open.values():
                other.left_at = other.left_at or time.monotonic()
            await trio.aclose_forcefully(connection.stream)

    async def _read(self, connection: Connection) -> None:
        try:
            async for one in records(Reader(connection.stream)):
                connection.used_at = time.monotonic()
                if one.kind == STDOUT:
                    connection.output[one.ident] = connection.output.get(one.ident, b"") + one.content
                elif one.kind == END:
                    self._ended(connection, one.ident, one.content[4])
        except (trio.BrokenResourceError, trio.ClosedResourceError, ProtocolError, EOFError):
            pass
        connection.over = True
        for asked in connection.open.values():
            asked.closed_at = time.monotonic()
        if connection in self._connections:
            self._connections.remove(connection)
        await trio.aclose_forcefully(connection.stream)

    def _ended(self, connection: Connection, ident: int, protocol_status: int) -> None:
        text = connection.output.pop(ident, b"")
        asked = connection.open.pop(ident, None)
        if asked is None:
            return
        asked.sent_at = asked.sent_at or time.monotonic()
        asked.answers += 1
        asked.answered_at = time.monotonic()
        if protocol_status == OVERLOADED:
            asked.status = 503
            return
        if not text and asked.left_at:
            return
        try:
            response = parse_response(text)
        except ProtocolError as error:
            asked.unreadable = str(error)
            return
        asked.status, asked.body = response.status, response.body
        asked.current = response.headers.get("X-Notmod") == "1"
        asked.answer_tag = response.headers.get("X-Etag", "")
        if asked.status == 200 and asked.answer_tag:
            self._tags[asked.item, asked.chunk] = asked.answer_tag

    async def misbehave(self, length: float) -> None:
        """Bad clients for a while: noise, halves, endless bodies, and many that say nothing."""
        end = time.monotonic() + length
        ways: list[Callable[[trio.SocketStream], Awaitable[None]]] = [
            self._noise,
            self._half,
            self._endless,
            self._mute,
        ]
        while time.monotonic() < end:
            self._nursery.start_soon(partial(self._bad_client, self._random.choice(ways), end))
            await trio.sleep(0.05)

    async def _bad_client(self, way: Callable[[trio.SocketStream], Awaitable[None]], end: float) -> None:
        try:
            with trio.move_on_at(trio.current_time() + max(0.1, end - time.monotonic())):
                stream = await trio.open_tcp_stream(*self._address)
                async with stream:
                    await way(stream)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def _noise(self, stream: trio.SocketStream) -> None:
        await stream.send_all(self._random.randbytes(300))
        await stream.receive_some(1000)

    async def _half(self, stream: trio.SocketStream) -> None:
        data = request_records(1, "/svc/photo", self._fields(self._draw()))
        await stream.send_all(data[: self._random.randrange(1, len(data))])

    async def _endless(self, stream: trio.SocketStream) -> None:
        await stream.send_all(record(BEGIN, 1, b"\0\1\1\0\0\0\0\0") + record(PARAMS, 1))
        for _ in range(200):
            await stream.send_all(record(STDIN, 1, b"x" * 60_000))

    async def _mute(self, stream: trio.SocketStream) -> None:
        await stream.receive_some(1)
