"""The sockets, client connections and cache connections of the router model, driven by its steps.

`CacheChannel` and `ModelClientSession` are the router's own state machines; only their I/O is replaced.
"""

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
    """How a cache has ended a connection. The router may not have noticed yet."""

    CLOSED = "closed"
    RESET = "reset"


class ChannelObserver(Protocol):
    """The interface that is notified of what happens on the connections to caches."""

    def record_violation(self, property_name: str, detail: str) -> None:
        """Records a violation of the property of that name."""

    def fetch_started(self, channel: CacheChannel, request_id: str, fields: dict[str, str]) -> None:
        """Called when the first byte of a fetch command is written, with the fields of the command."""


@dataclass(frozen=True, slots=True)
class PartialResponse:
    """A response of which the cache has sent the first half."""

    request_id: str
    body: bytes
    created_at: float  # Unix milliseconds


class UpstreamSocket:
    """The router's end of a connection to a cache."""

    def __init__(self, observer: ChannelObserver, channel: CacheChannel) -> None:
        self._observer = observer
        self._channel = channel
        self.writable_bytes: int | None = None  # bytes that it still accepts; None for no limit
        self.end: SocketEnd | None = None
        self._remaining = b""  # the rest of the command in progress, still to be written
        self._command = b""  # the complete command in progress

    def send(self, data: bytes | memoryview, /) -> int:
        """Accepts bytes, and reports each fetch when its first byte is written.

        Raises ConnectionResetError after a reset, and BlockingIOError if it accepts no bytes.
        """
        if self.end is SocketEnd.RESET:
            raise ConnectionResetError("reset by the server")
        count = len(data) if self.writable_bytes is None else min(self.writable_bytes, len(data))
        if not count:
            raise BlockingIOError
        if self.writable_bytes is not None:
            self.writable_bytes -= count
        starts = not self._remaining
        if starts and self.end:
            self._observer.record_violation(
                "not-into-ended", "a command begins after the cache has ended the connection"
            )
        if not starts and bytes(data) != self._remaining:
            self._observer.record_violation("order-kept", "a command is not written completely")
        if starts:
            self._command = bytes(data)
        self._remaining = bytes(data[count:])
        if starts and (match := _FETCH.match(bytes(data))):
            self._observer.fetch_started(self._channel, match[1].decode(), resp.parse_fields(match[2]))
        if not self._remaining and not self.end:
            self._channel.command_received(self._command)
        return count

    def recv(self, count: int, flags: int, /) -> bytes:
        """Returns only the end of the connection: the steps hand in responses by `CacheChannel.deliver`.

        Raises ConnectionResetError after a reset, and BlockingIOError while the connection is open.
        """
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
        self.connect_deadline = connect_deadline  # monotonic seconds at which the router gives up connecting
        # The endpoint that listened at the address when the router began to connect; 0 for none.
        self.listening_endpoint_id = listening_endpoint_id
        self.never_connects = False  # the connection will never be established
        self.sock = UpstreamSocket(observer, self)
        self.pending_ids: list[str] = []  # ids of requests that the cache has received but not answered
        self.aborted_ids: list[str] = []  # the ids among them that the router has aborted
        self.answered_ids: list[str] = []  # ids that the cache has answered
        self.last_responses: dict[str, bytes] = {}  # by id: the last response
        self.attempt_numbers: dict[str, int] = {}  # by id: the number of the attempt
        self.unsent = b""  # the second half of a response in progress
        self.partial: PartialResponse | None = None  # the response that `unsent` belongs to

    def _stop(self) -> None:
        pass  # the step `end` notifies the owner

    def command_received(self, command: bytes) -> None:
        """Records a complete command that has reached the cache."""
        if match := _FETCH.match(command):
            self.pending_ids.append(match[1].decode())
        elif (match := _ABORT.match(command)) and (request_id := match[1].decode()) in self.pending_ids:
            self.aborted_ids.append(request_id)

    def record_response(self, request_id: str, data: bytes) -> None:
        """Records that the cache has answered a request, with the encoded response."""
        self.pending_ids.remove(request_id)
        if request_id in self.aborted_ids:
            self.aborted_ids.remove(request_id)
        self.answered_ids.append(request_id)
        self.last_responses[request_id] = data

    def deliver(self, data: bytes) -> None:
        """Hands in bytes from the cache; bytes that can't be decoded end the connection."""
        try:
            self.buffer.append(data)
            self.on_received()
        except resp.RespError as error:
            self.closed = True
            self._close_reason = str(error)
        except Exception as error:  # the router would log an internal error and end the connection
            self.observer.record_violation("no-slip", repr(error))
            self.closed = True


class ClientSocket:
    """The router's end of a client connection, which decodes FastCGI records as they are written."""

    def __init__(self, record_received: Callable[[int, int, bytes], None]) -> None:
        self._record_received = record_received  # called with the type, request id and content of a record
        self.writable_bytes: int | None = None  # bytes that it still accepts; None for no limit
        self._data = b""
        self.disconnected = False

    def send(self, data: bytes | memoryview, /) -> int:
        """Accepts bytes, and reports each complete record.

        Raises ConnectionResetError if the client has disconnected, and BlockingIOError if no byte is taken.
        """
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
        """Always raises BlockingIOError: the steps hand in what clients send by `ModelClientSession.feed`."""
        raise BlockingIOError


class ModelClientSession(ClientSession):
    """A client connection, with its I/O driven by the model."""

    def __init__(
        self, sock: ClientSocket, handler: RequestHandler, clock: Callable[[], float], budget: MemoryBudget
    ) -> None:
        super().__init__(sock, handler, clock, budget)
        self.sock = sock
        self.closing = False  # the router or the client has asked to end the connection
        self.finished = False  # the connection has ended

    def close(self) -> None:
        """Called by the router to end the connection; the step `endsession` ends it."""
        self.closing = True

    def _stop_reading(self) -> None:
        if not self._write_blocked:
            self.closing = True

    def stalled(self) -> bool:
        """Whether the client has stopped accepting bytes."""
        return self.sock.writable_bytes is not None

    def unstall(self) -> None:
        """Lets the client accept bytes again."""
        self.sock.writable_bytes = None
        if self._write_blocked:
            self.on_writable()

    def feed(self, data: bytes) -> None:
        """Hands in bytes from the client; bytes that can't be decoded end the connection."""
        self._buffer.append(data)
        try:
            self.on_received()
        except fastcgi.FastCgiError:
            self.closing = True


@dataclass(frozen=True, slots=True)
class ClientRequestFields:
    """The fields of a client's request."""

    class_name: str
    request_id: str
    object_key: int
    timeout: float  # milliseconds that the client waits
    etag: str | None  # of the copy that the client has
    body: bytes
    idempotency_key: str | None


def request_bytes(ident: int, request: ClientRequestFields) -> bytes:
    """Returns the FastCGI records of a complete request, with the FastCGI request id `ident`."""
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
