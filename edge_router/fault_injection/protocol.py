"""The wire formats as clients, caches and the change log see them: FastCGI, RESP and change log frames.

Written from the protocol page and independent of the router's own codecs, so that a mistake in those does not
hide itself.
"""

from __future__ import annotations

import struct
from collections.abc import AsyncIterator, Iterator, Mapping
from enum import IntEnum
from typing import NamedTuple

import trio

MAX_LINE = 64  # bytes of a RESP length line
MAX_BULK = 1 << 20  # bytes of a RESP bulk string

_RECORD_HEADER = struct.Struct(">BBHHBB")  # version, type, id, content length, padding length, reserved
_BEGIN_BODY = struct.Struct(">HB5x")  # role, flags
_ROLE_RESPONDER = 1
_FLAG_KEEP_CONNECTION = 1
_LONG_LENGTH = 1 << 31  # flag of a length in four bytes
_FRAME_HEADER = struct.Struct(">IQB")  # length of the rest, sequence number, type
_ENDPOINT_RECORD = struct.Struct(">IIHBBBHIQ")
_LOOPBACK = 0x7F000001


class RecordType(IntEnum):
    """FastCGI record types."""

    BEGIN_REQUEST = 1
    ABORT_REQUEST = 2
    END_REQUEST = 3
    PARAMS = 4
    STDIN = 5
    STDOUT = 6


class ProtocolStatus(IntEnum):
    """FastCGI's `protocolStatus` in the record that ends a request."""

    COMPLETE = 0
    OVERLOADED = 2


class FrameType(IntEnum):
    """Types of change log frames."""

    HEARTBEAT = 0
    ENDPOINT_LIST = 1
    ENDPOINT_CHANGES = 2
    OBJECT_PURGED = 3
    GROUP_PURGED = 4


class EndpointState(IntEnum):
    """State of an endpoint in the change log."""

    READY = 0
    DRAINING = 1
    REMOVED = 2

    @property
    def lifecycle(self) -> str:
        """Its name in the configuration file."""
        return "up" if self is EndpointState.READY else self.name.lower()


class ProtocolError(Exception):
    """Bytes that break the protocol."""


class Record(NamedTuple):
    """One FastCGI record."""

    record_type: int
    fastcgi_id: int
    content: bytes


class StreamReader:
    """Buffered reading from a stream; each method raises EOFError where the stream ends."""

    def __init__(self, stream: trio.abc.ReceiveStream) -> None:
        self._stream = stream
        self._data = bytearray()

    async def _receive(self) -> None:
        chunk = await self._stream.receive_some(65_536)
        if not chunk:
            raise EOFError
        self._data += chunk

    async def exactly(self, count: int) -> bytes:
        """The next `count` bytes."""
        while len(self._data) < count:
            await self._receive()
        consumed = bytes(self._data[:count])
        del self._data[:count]
        return consumed

    async def line(self) -> bytes:
        """The bytes up to the next line end, which is consumed."""
        while (end := self._data.find(b"\r\n")) < 0:
            if len(self._data) > MAX_LINE:
                raise ProtocolError("a line does not end")
            await self._receive()
        consumed = bytes(self._data[:end])
        del self._data[: end + 2]
        return consumed


def encode_record(record_type: RecordType, fastcgi_id: int, content: bytes = b"") -> bytes:
    """One FastCGI record."""
    return _RECORD_HEADER.pack(1, record_type, fastcgi_id, len(content), 0, 0) + content


def _encode_param(name: str, value: str) -> bytes:
    length = len(value)
    encoded_length = struct.pack(">I", length | _LONG_LENGTH) if length > 127 else bytes((length,))
    return bytes((len(name),)) + encoded_length + name.encode() + value.encode()


def encode_begin(fastcgi_id: int) -> bytes:
    """The record that begins a request and keeps the connection open after it."""
    body = _BEGIN_BODY.pack(_ROLE_RESPONDER, _FLAG_KEEP_CONNECTION)
    return encode_record(RecordType.BEGIN_REQUEST, fastcgi_id, body)


def encode_request(fastcgi_id: int, path: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """A complete request; `headers` are named as CGI names them, without the prefix `HTTP_`."""
    params = _encode_param("SCRIPT_NAME", path)
    params += b"".join(_encode_param(f"HTTP_{name}", value) for name, value in headers.items())
    return (
        encode_begin(fastcgi_id)
        + encode_record(RecordType.PARAMS, fastcgi_id, params)
        + encode_record(RecordType.PARAMS, fastcgi_id)
        + (encode_record(RecordType.STDIN, fastcgi_id, body) if body else b"")
        + encode_record(RecordType.STDIN, fastcgi_id)
    )


class RecordHeader(NamedTuple):
    """The first 8 bytes of a FastCGI record."""

    record_type: int
    fastcgi_id: int
    content_length: int
    padding_length: int


def decode_record_header(header: bytes) -> RecordHeader:
    """The header of a record; raises ProtocolError for another version of the protocol."""
    version, record_type, fastcgi_id, content_length, padding_length, _ = _RECORD_HEADER.unpack(header)
    if version != 1:
        raise ProtocolError(f"version {version}")
    return RecordHeader(record_type, fastcgi_id, content_length, padding_length)


async def read_records(reader: StreamReader) -> AsyncIterator[Record]:
    """The records of a connection until it ends."""
    while True:
        try:
            header = decode_record_header(await reader.exactly(_RECORD_HEADER.size))
        except EOFError:
            return
        content = await reader.exactly(header.content_length + header.padding_length)
        yield Record(header.record_type, header.fastcgi_id, content[: header.content_length])


class Response(NamedTuple):
    """A CGI response."""

    status: int
    headers: dict[str, str]
    body: bytes


def parse_response(text: bytes) -> Response:
    """Parses the content of STDOUT records; raises ProtocolError if it is no complete response."""
    head, separator, body = text.partition(b"\r\n\r\n")
    try:
        lines = [line.split(": ", 1) for line in head.decode("ascii").split("\r\n")]
        headers = {name: value for name, value in lines}
        response = Response(int(headers["Status"][:3]), headers, body)
    except (ValueError, KeyError) as error:
        raise ProtocolError(f"no CGI response: {head[:60]!r}") from error
    if not separator or headers.get("Content-Length") not in (None, str(len(body))):
        raise ProtocolError("a CGI response that is cut short")
    return response


def encode_array(*items: bytes) -> bytes:
    """One RESP array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


async def read_arrays(reader: StreamReader) -> AsyncIterator[list[bytes]]:
    """The arrays of a connection until it ends."""
    while True:
        try:
            line = await reader.line()
        except EOFError:
            return
        if line[:1] != b"*" or not line[1:].isdigit():
            raise ProtocolError(f"no array: {line!r}")
        items = []
        for _ in range(int(line[1:])):
            size = (await reader.line())[1:]
            if not size.isdigit() or int(size) > MAX_BULK:
                raise ProtocolError(f"no bulk string: {size!r}")
            items.append((await reader.exactly(int(size) + 2))[:-2])
        yield items


class ArrayDecoder:
    """Decodes RESP arrays of bulk strings, with the time at which the first byte of each arrived."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._array_started_at = 0.0

    def feed(self, now: float, data: bytes) -> Iterator[tuple[float, list[bytes]]]:
        """The arrays that are complete with these bytes; raises ValueError for malformed lengths."""
        if not self._data:
            self._array_started_at = now
        self._data += data
        while (items := self._take_array()) is not None:
            yield self._array_started_at, items
            self._array_started_at = now

    def _take_array(self) -> list[bytes] | None:
        line_end = self._data.find(b"\r\n")
        if line_end < 0:
            return None
        items, position = [], line_end + 2
        for _ in range(int(self._data[1:line_end])):
            line_end = self._data.find(b"\r\n", position)
            if line_end < 0:
                return None
            start = line_end + 2
            end = start + int(self._data[position + 1 : line_end])
            if len(self._data) < end + 2:
                return None
            items.append(bytes(self._data[start:end]))
            position = end + 2
        del self._data[:position]
        return items


def decode_fields(text: bytes) -> dict[str, str]:
    """A field list (`name=value,...`, or `-` for none) as a mapping."""
    if text == b"-":
        return {}
    return dict(part.split("=", 1) for part in text.decode("ascii").split(","))


def encode_fields(fields: Mapping[str, object]) -> bytes:
    """A mapping as a field list."""
    return ",".join(f"{name}={value}" for name, value in fields.items()).encode() or b"-"


class EndpointRecord(NamedTuple):
    """One endpoint on the loopback address, as the change log describes it."""

    endpoint_id: int
    port: int
    state: EndpointState
    zone: int  # index in the settings' `areas`
    kind: int  # index in the settings' `models`
    weight: int  # in thousandths
    started_ms: int = 0  # Unix milliseconds; 0 where it is left out

    def encode(self) -> bytes:
        """The record of 27 bytes."""
        return _ENDPOINT_RECORD.pack(
            self.endpoint_id,
            _LOOPBACK,
            self.port,
            self.state,
            self.zone,
            self.kind,
            0,
            self.weight,
            self.started_ms,
        )


def encode_object_purge(object_id: str, purged_at_ms: int) -> bytes:
    """Payload of an object's purge; the id is in hexadecimal."""
    return struct.pack(">QQ", int(object_id, 16), purged_at_ms)


def encode_group_purge(group: int, purged_at_ms: int) -> bytes:
    """Payload of a group's purge."""
    return struct.pack(">HQ", group, purged_at_ms)


def encode_frame(sequence_number: int, frame_type: FrameType, payload: bytes = b"") -> bytes:
    """One frame of the change log."""
    return _FRAME_HEADER.pack(9 + len(payload), sequence_number, frame_type) + payload
