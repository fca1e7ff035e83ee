"""A simulated cache of the soak: `python -m edge_router.fault_injection.cache_process CACHE_ID PORT SEED`.

It fills from any source that a fetch names, stores the copy, and obeys `limit`, `oldest`, `seen` and `abort`.
Commands come in on standard input and reports go to standard output (see `messages`).
"""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass, field
from enum import IntEnum
from functools import partial
from random import Random

import trio

from edge_router.fault_injection.messages import (
    DropCopies,
    ProcessReady,
    read_harness_commands,
    send_to_harness,
)
from edge_router.fault_injection.network import LOOPBACK, reset_connection
from edge_router.fault_injection.observations import CacheResponse, FetchReceived
from edge_router.fault_injection.protocol import (
    ProtocolError,
    StreamReader,
    decode_fields,
    encode_array,
    encode_fields,
    read_arrays,
)
from edge_router.fault_injection.scenario import FaultKind

IDLE_TIMEOUT = 4.0  # seconds after which an idle connection is closed
RESET_IDLE_AFTER = 0.1  # seconds after which a connection counts as idle for FaultKind.RESET_IDLE
FRESHNESS_LIFETIMES = {"page": 10.0}  # seconds, by class
WRITE_CLASSES = ("order", "vote")
ERROR_STATUSES = ("500", "503")
CORRUPT_STATUS = "corrupt"  # in the report on a response that can't be parsed; never sent to a router


class Corruption(IntEnum):
    """Ways in which a response is corrupted."""

    MALFORMED = 0
    CUT_SHORT = 1
    SENT_TWICE = 2
    CONNECTION_CLOSED = 3


@dataclass(slots=True)
class StoredCopy:
    """A stored copy of one segment of an object."""

    created_ms: int  # Unix milliseconds at which the origin sent the copy

    @property
    def etag(self) -> str:
        """Returns the copy's entity tag."""
        return etag_of(self.created_ms)


@dataclass(slots=True)
class FetchResult:
    """The content of a response to a fetch; `headers` are the fields of the protocol's field list."""

    status: str
    headers: dict[str, object] = field(default_factory=dict)
    body: bytes = b""
    created_ms: int = 0


def etag_of(created_ms: int) -> str:
    """Returns the entity tag of a copy that was created at `created_ms`."""
    return f"{created_ms:x}"


def content_of(object_id: str, segment: str, created_ms: int) -> bytes:
    """Returns the bytes of a copy; they identify the copy to the oracle."""
    line = f"{object_id}|{segment}|{created_ms}|".encode()
    return line * (1 + int(object_id[:4], 16) % 200)


class CacheConnection:
    """One connection from a router."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.last_used_at = time.monotonic()
        self.running: dict[str, trio.CancelScope] = {}  # fetches, by request id
        self._send_lock = trio.Lock()  # responses must not interleave

    async def send(self, data: bytes) -> None:
        """Sends one response."""
        async with self._send_lock:
            await self.stream.send_all(data)

    def idle_time(self) -> float:
        """Returns the seconds since the last use."""
        return time.monotonic() - self.last_used_at


class SimulatedCache:
    """The cache of this process: its copies, its connections and its active faults."""

    def __init__(self, cache_id: int, seed: int) -> None:
        self.started_ms = int(time.time() * 1000)
        self._cache_id = cache_id
        self._random = Random(seed)
        self._copies: dict[tuple[str, str], StoredCopy] = {}  # by object and segment
        self._fault_until: dict[FaultKind, float] = {}  # monotonic seconds
        self._connections: set[CacheConnection] = set()

    def _has_fault(self, kind: FaultKind) -> bool:
        return time.monotonic() < self._fault_until.get(kind, 0.0)

    async def execute_harness_commands(self) -> None:
        """Executes the harness's commands until the harness ends."""
        async for command in read_harness_commands():
            if isinstance(command, DropCopies):
                self._drop_copies(command)
                continue
            self._fault_until[command.kind] = command.until
            if command.kind is FaultKind.RESET_IDLE:
                self._reset_idle_connections()

    def _drop_copies(self, command: DropCopies) -> None:
        self._copies = {
            name: copy
            for name, copy in self._copies.items()
            if name[0] != command.object_id or copy.created_ms >= command.created_before_ms
        }

    def _reset_idle_connections(self) -> None:
        for connection in list(self._connections):
            if connection.idle_time() > RESET_IDLE_AFTER:
                self._connections.discard(connection)
                reset_connection(connection.stream)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves one connection until it ends."""
        connection = CacheConnection(stream)
        self._connections.add(connection)
        try:
            async with stream, trio.open_nursery() as nursery:
                nursery.start_soon(self._close_when_idle, connection, nursery.cancel_scope)
                async for items in read_arrays(StreamReader(stream)):
                    connection.last_used_at = time.monotonic()
                    await self._execute(connection, items, nursery)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, ProtocolError, ValueError):
            pass
        finally:
            self._connections.discard(connection)

    async def _execute(self, connection: CacheConnection, items: list[bytes], nursery: trio.Nursery) -> None:
        command = items[0]
        if command == b"fetch":
            nursery.start_soon(self._fetch, connection, items)
        elif command == b"abort" and (scope := connection.running.get(items[1].decode())):
            scope.cancel()
        elif command == b"alive":
            await connection.send(encode_array(items[1], b"alive", b"-", b""))

    async def _close_when_idle(self, connection: CacheConnection, scope: trio.CancelScope) -> None:
        while connection.running or connection.idle_time() < IDLE_TIMEOUT:
            await trio.sleep(0.2)
        scope.cancel()

    async def _fetch(self, connection: CacheConnection, items: list[bytes]) -> None:
        request_id, fields = items[1].decode(), decode_fields(items[2])
        send_to_harness(FetchReceived(time.monotonic(), self._cache_id, request_id, self.started_ms))
        with trio.CancelScope() as scope:
            connection.running[request_id] = scope
            try:
                with trio.move_on_after(float(fields["limit"]) / 1000.0):
                    await self._respond(connection, request_id, fields)
            finally:
                connection.running.pop(request_id, None)
                connection.last_used_at = time.monotonic()

    async def _respond(self, connection: CacheConnection, request_id: str, fields: dict[str, str]) -> None:
        while self._has_fault(FaultKind.HANG):
            await trio.sleep(0.05)
        result = await self._result_of(fields)
        data = encode_array(
            request_id.encode(), result.status.encode(), encode_fields(result.headers), result.body
        )
        corrupt = self._has_fault(FaultKind.CORRUPT_RESPONSES) and result.status == "200"
        if corrupt and self._random.random() < 0.5:
            await self._send_corrupted(connection, request_id, data, result.created_ms)
            return
        self._report_response(request_id, result.status, result.created_ms)
        await connection.send(data)

    def _report_response(self, request_id: str, status: str, created_ms: int) -> None:
        send_to_harness(CacheResponse(time.monotonic(), self._cache_id, request_id, status, created_ms))

    async def _send_corrupted(
        self, connection: CacheConnection, request_id: str, data: bytes, created_ms: int
    ) -> None:
        corruption = Corruption(self._random.randrange(len(Corruption)))
        readable = corruption is Corruption.SENT_TWICE
        self._report_response(request_id, "200" if readable else CORRUPT_STATUS, created_ms)
        match corruption:
            case Corruption.MALFORMED:
                await connection.send(b"*4\r\n$16\r\n" + self._random.randbytes(40))
            case Corruption.CUT_SHORT:
                await connection.send(data[: len(data) // 2])
                await trio.sleep(2.0)
            case Corruption.SENT_TWICE:
                await connection.send(data)
                await trio.sleep(self._random.choice((0.0, 0.004)))
                await connection.send(data)
            case Corruption.CONNECTION_CLOSED:
                await trio.aclose_forcefully(connection.stream)

    async def _result_of(self, fields: dict[str, str]) -> FetchResult:
        await trio.sleep(self._random.uniform(0.002, 0.03))
        if self._has_fault(FaultKind.ERROR_RESPONSES) and self._random.random() < 0.6:
            return FetchResult(self._random.choice(ERROR_STATUSES))
        if fields["cls"] in WRITE_CLASSES:
            return self._write(fields)
        return await self._read(fields)

    def _write(self, fields: dict[str, str]) -> FetchResult:
        if "from" not in fields:
            return FetchResult("404")
        body = content_of(fields["item"], fields["chunk"], 0)
        return FetchResult("200", {"tell": "via_origin", "waited": 1}, body)

    async def _read(self, fields: dict[str, str]) -> FetchResult:
        name = fields["item"], fields["chunk"]
        copy, note = self._copies.get(name), "hit"
        if copy is None or time.time() * 1000.0 - copy.created_ms > _max_age_ms(fields):
            if "from" not in fields:
                return FetchResult("404")
            await trio.sleep(self._random.uniform(0.005, 0.08))
            copy, note = StoredCopy(int(time.time() * 1000)), "via_origin"
            if "rank" in fields:
                self._copies[name] = copy
        headers = {"tell": note, "ver": copy.etag, "born": copy.created_ms, "waited": 5}
        if fields.get("seen") == copy.etag:
            return FetchResult("304", headers, created_ms=copy.created_ms)
        return FetchResult("200", headers, content_of(*name, copy.created_ms), copy.created_ms)


def _max_age_ms(fields: dict[str, str]) -> float:
    default = FRESHNESS_LIFETIMES.get(fields["cls"], 0.0) * 1000.0
    return float(fields.get("oldest", 0)) or default or float("inf")


async def _main(cache_id: int, port: int, seed: int) -> None:
    cache = SimulatedCache(cache_id, seed)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(cache.execute_harness_commands)
        await nursery.start(partial(trio.serve_tcp, host=LOOPBACK), cache.serve, port)
        send_to_harness(ProcessReady(cache.started_ms))


if __name__ == "__main__":
    trio.run(_main, int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]))
