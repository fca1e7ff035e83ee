"""The sockets, client connections and cache connections of the router model, driven by steps."""

from __future__ import annotations

import re
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from edge_router.protocol import fastcgi, resp
from edge_router.protocol.fastcgi import RecordType
from edge_router.proxy.upstream_connections import UpstreamConnection
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.transport.client_session import ClientSession, RequestHandler
from edge_router.transport.upstream_channel import UpstreamChannel

_FETCH = re.compile(rb"\*4\r\n\$5\r\nfetch\r\n\$16\r\n([0-9a-f]{16})\r\n\$\d+\r\n([^\r]*)\r\n")
_ABORT = re.compile(rb"\*2\r\n\$5\r\nabort\r\n\$16\r\n([0-9a-f]{16})\r\n")
_RECORD = struct.Struct(">BBHHBB")


class SocketEnd(StrEnum):
    """How a cache has ended a connection; the router may not have noticed yet."""

    CLOSED = "closed"
    RESET = "reset"


class ChannelObserver(Protocol):
    """Is notified of what happens on the connections to caches."""

    def record_violation(self, property_name: str, detail: str) -> None:
        """A property does not hold."""

    def fetch_started(self, channel: CacheChannel, request_id: str, fields: dict[str, str]) -> None:
        """The first byte of a fetch is written."""


@dataclass(frozen=True, slots=True)
class PartialResponse:
    """An answer of which the first half was sent."""

    request_id: str
    body: bytes
    created_at: float  # Unix milliseconds


class UpstreamSocket:
    """The router's end of a connection to a cache."""

    def __init__(self, observer: ChannelObserver, channel: CacheChannel) -> None:
        self._observer = observer
        self._channel = channel
        self.writable_bytes: int | None = None  # bytes that it still accepts; None: any number
        self.end: SocketEnd | None = None
        self._remaining = b""  # what is still to be written of the command in progress
        self._command = b""  # the complete command in progress

    def send(self, data: bytes | memoryview, /) -> int:
        """Accepts bytes, and reports each command when its first byte is written."""
        if self.end is SocketEnd.RESET:
            raise ConnectionResetError("reset by the server")
        count = len(data) if self.writable_bytes is None else min(self.writable_bytes, len(data))
        if not count:
            raise BlockingIOError
        if self.writable_bytes is not None:
            self.writable_bytes -= count
        starts = not self._remaining
        if starts and self.end:
            self._observer.record_violation("not-into-ended", "a command begins after the server's end")
        if not starts and bytes(data) != self._remaining:
            self._observer.record_violation("order-kept", "a command is not written to its end")
        if starts:
            self._command = bytes(data)
        self._remaining = bytes(data[count:])
        if starts and (match := _FETCH.match(bytes(data))):
            self._observer.fetch_started(self._channel, match[1].decode(), resp.parse_fields(match[2]))
        if not self._remaining and not self.end:
            self._channel.command_received(self._command)
        return count

    def recv(self, count: int, flags: int, /) -> bytes:
        """Peeks at the socket: only its end can be seen, since answers are delivered by steps."""
        if self.end is SocketEnd.RESET:
            raise ConnectionResetError("reset by the server")
        if self.end:
            return b""
        raise BlockingIOError


class CacheChannel(UpstreamChannel):
    """A connection to a cache, with its I/O driven by the model."""

    def __init__(
        self,
        observer: ChannelObserver,
        connection: UpstreamConnection,
        clock: Callable[[], float],
        listening_endpoint_id: int,
        connect_deadline: float,
    ) -> None:
        super().__init__(connection, clock)
        self.connection = connection
        self.observer = observer
        self.connect_deadline = connect_deadline  # the second at which the router gives up connecting
        self.listening_endpoint_id = (
            listening_endpoint_id  # the node that listened at the address when it was dialled
        )
        self.never_connects = False  # the connection will never be established
        self.sock = UpstreamSocket(observer, self)
        self.pending_ids: list[str] = []  # ids of requests that the cache has received and not answered
        self.aborted_ids: list[str] = []  # ids among them that the router has aborted
        self.answered_ids: list[str] = []  # ids that the cache has answered
        self.last_responses: dict[str, bytes] = {}  # by id: the last answer
        self.attempt_numbers: dict[str, int] = {}  # by id: the number of the attempt
        self.unsent = b""  # the second half of an answer in progress
        self.partial: PartialResponse | None = None  # and the answer that it belongs to

    def _stop(self) -> None:
        pass  # the owner is notified of the end by a step of its own

    def command_received(self, command: bytes) -> None:
        """A complete command has reached the cache."""
        if match := _FETCH.match(command):
            self.pending_ids.append(match[1].decode())
        elif (match := _ABORT.match(command)) and (request_id := match[1].decode()) in self.pending_ids:
            self.aborted_ids.append(request_id)

    def record_response(self, request_id: str, data: bytes) -> None:
        """The cache has answered a request."""
        self.pending_ids.remove(request_id)
        if request_id in self.aborted_ids:
            self.aborted_ids.remove(request_id)
        self.answered_ids.append(request_id)
        self.last_responses[request_id] = data

    def deliver(self, data: bytes) -> None:
        """Hands in bytes from the cache; bytes that can't be read end the connection."""
        try:
            self.buffer.append(data)
            self.on_received()
        except resp.RespError as error:
            self.closed = True
            self._close_reason = str(error)
        except Exception as error:  # the router would log a bug and end the connection
            self.observer.record_violation("no-slip", repr(error))
            self.closed = True


class ClientSocket:
    """The router's end of a client connection; what is written is decoded as FastCGI at once."""

    def __init__(self, record_received: Callable[[int, int, bytes], None]) -> None:
        self._record_received = record_received  # called with type, id and content
        self.writable_bytes: int | None = None  # bytes that it still accepts; None: any number
        self._data = b""
        self.disconnected = False

    def send(self, data: bytes | memoryview, /) -> int:
        """Accepts bytes, and reports each complete record."""
        if self.disconnected:
            raise ConnectionResetError("reset by the client")
        count = len(data) if self.writable_bytes is None else min(self.writable_bytes, len(data))
        if not count:
            raise BlockingIOError
        if self.writable_bytes is not None:
            self.writable_bytes -= count
        self._data += bytes(data[:count])
        while len(self._data) >= _RECORD.size:
            _, kind, ident, length, padding, _ = _RECORD.unpack_from(self._data)
            end = _RECORD.size + length + padding
            if len(self._data) < end:
                break
            content, self._data = self._data[_RECORD.size : _RECORD.size + length], self._data[end:]
            self._record_received(kind, ident, content)
        return count

    def recv(self, count: int, flags: int, /) -> bytes:
        """Never has data: what clients send is handed in by steps."""
        raise BlockingIOError


class ModelClientSession(ClientSession):
    """A client connection, with its I/O driven by the model."""

    def __init__(
        self, sock: ClientSocket, handler: RequestHandler, clock: Callable[[], float], budget: MemoryBudget
    ) -> None:
        super().__init__(sock, handler, clock, budget)
        self.sock = sock
        self.closing = False  # the router wants it ended
        self.finished = False

    def close(self) -> None:
        """The router ends the connection; a step of its own carries that out."""
        self.closing = True

    def _stop_reading(self) -> None:
        if not self._write_blocked:
            self.closing = True

    def stalled(self) -> bool:
        """Whether the client accepts no bytes."""
        return self.sock.writable_bytes is not None

    def unstall(self) -> None:
        """The client accepts bytes again."""
        self.sock.writable_bytes = None
        if self._write_blocked:
            self.on_writable()

    def feed(self, data: bytes) -> None:
        """Hands in bytes from the client."""
        self._buffer.append(data)
        try:
            self.on_received()
        except fastcgi.FastCgiError:
            self.closing = True


@dataclass(frozen=True, slots=True)
class ClientRequestFields:
    """What a client sends in a request."""

    class_name: str
    request_id: str
    object_key: int  # the key of the object
    timeout: float  # milliseconds that the client waits
    etag: str | None  # the tag of the copy that the client has
    body: bytes
    idempotency_key: str | None


def request_bytes(ident: int, request: ClientRequestFields) -> bytes:
    """The FastCGI records of a complete request."""
    pairs = {
        "SCRIPT_NAME": f"/svc/{request.class_name}",
        "HTTP_X_TXN": request.request_id,
        "HTTP_X_TTL_MS": f"{request.timeout:.0f}",
        "HTTP_X_ROW": f"{request.object_key:016x}",
        "HTTP_X_BUCKET": "3",
        "HTTP_X_WORKING_SET_KB": "10",
    }
    if request.etag is not None:
        pairs["HTTP_X_ETAG"] = request.etag
    if request.idempotency_key is not None:
        pairs["HTTP_X_TXN_KEY"] = request.idempotency_key
    params = b"".join(
        bytes((len(name), len(value))) + name.encode() + value.encode() for name, value in pairs.items()
    )
    body = fastcgi.record(RecordType.STDIN, ident, request.body) if request.body else b""
    return (
        fastcgi.record(
            RecordType.BEGIN_REQUEST, ident, struct.pack(">HB5x", fastcgi.RESPONDER, fastcgi.KEEP_CONN)
        )
        + fastcgi.record(RecordType.PARAMS, ident, params)
        + fastcgi.record(RecordType.PARAMS, ident)
        + body
        + fastcgi.record(RecordType.STDIN, ident)
    )
