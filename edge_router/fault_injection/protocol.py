"""The wire formats on the side of clients, caches and the change log: FastCGI, RESP and change log frames.

Source: the operators' page `PROTOCOL-robinbeam.md`, sections "Clients to edge routers", "Edge routers to
caches" and "The change log". The code is independent of the router's own codecs, so that a mistake in those
is noticed instead of being made on both sides.
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
_LONG_LENGTH = 1 << 31  # flag of a length that is encoded in four bytes
_FRAME_HEADER = struct.Struct(">IQB")  # length of what follows, sequence number, type
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
    """States of an endpoint in the change log."""

    READY = 0
    DRAINING = 1
    REMOVED = 2

    @property
    def lifecycle(self) -> str:
        """The name of the state in the configuration file."""
        return "up" if self is EndpointState.READY else self.name.lower()


class ProtocolError(Exception):
    """Raised for bytes that break the protocol."""


class Record(NamedTuple):
    """One FastCGI record."""

    record_type: int
    fastcgi_id: int
    content: bytes


class StreamReader:
    """Buffered reading from a stream; each method raises EOFError at the end of the stream."""

    def __init__(self, stream: trio.abc.ReceiveStream) -> None:
        self._stream = stream
        self._data = bytearray()

    async def _receive(self) -> None:
        chunk = await self._stream.receive_some(65_536)
        if not chunk:
            raise EOFError
        self._data += chunk

    async def exactly(self, count: int) -> bytes:
        """Reads the next `count` bytes."""
        while len(self._data) < count:
            await self._receive()
        consumed = bytes(self._data[:count])
        del self._data[:count]
        return consumed

    async def line(self) -> bytes:
        """Reads a line and consumes its end; raises ProtocolError after 64 bytes without a line end."""
        while (end := self._data.find(b"\r\n")) < 0:
            if len(self._data) > MAX_LINE:
                raise ProtocolError("a line is too long")
            await self._receive()
        consumed = bytes(self._data[:end])
        del self._data[: end + 2]
        return consumed


def encode_record(record_type: RecordType, fastcgi_id: int, content: bytes = b"") -> bytes:
    """Encodes one FastCGI record."""
    return _RECORD_HEADER.pack(1, record_type, fastcgi_id, len(content), 0, 0) + content


def _encode_param(name: str, value: str) -> bytes:
    length = len(value)
    encoded_length = struct.pack(">I", length | _LONG_LENGTH) if length > 127 else bytes((length,))
    return bytes((len(name),)) + encoded_length + name.encode() + value.encode()


def encode_begin(fastcgi_id: int) -> bytes:
    """Encodes the record that begins a request and asks to keep the connection open after it."""
    body = _BEGIN_BODY.pack(_ROLE_RESPONDER, _FLAG_KEEP_CONNECTION)
    return encode_record(RecordType.BEGIN_REQUEST, fastcgi_id, body)


def encode_request(fastcgi_id: int, path: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Encodes a complete request; the names of `headers` are those of CGI without the prefix `HTTP_`."""
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
    """The fields in the first 8 bytes of a FastCGI record."""

    record_type: int
    fastcgi_id: int
    content_length: int
    padding_length: int


def decode_record_header(header: bytes) -> RecordHeader:
    """Decodes the header of a record; raises ProtocolError for a FastCGI version other than 1."""
    version, record_type, fastcgi_id, content_length, padding_length, _ = _RECORD_HEADER.unpack(header)
    if version != 1:
        raise ProtocolError(f"FastCGI version {version}")
    return RecordHeader(record_type, fastcgi_id, content_length, padding_length)


async def read_records(reader: StreamReader) -> AsyncIterator[Record]:
    """Yields the records of a connection until it ends; raises EOFError if it ends within a record."""
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
    """Parses the content of STDOUT records; raises ProtocolError if it is not a complete response."""
    head, separator, body = text.partition(b"\r\n\r\n")
    try:
        lines = [line.split(": ", 1) for line in head.decode("ascii").split("\r\n")]
        headers = {name: value for name, value in lines}
        response = Response(int(headers["Status"][:3]), headers, body)
    except (ValueError, KeyError) as error:
        raise ProtocolError(f"not a CGI response: {head[:60]!r}") from error
    if not separator or headers.get("Content-Length") not in (None, str(len(body))):
        raise ProtocolError("the CGI response is cut short")
    return response


def encode_array(*items: bytes) -> bytes:
    """Encodes a RESP array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


async def read_arrays(reader: StreamReader) -> AsyncIterator[list[bytes]]:
    """Yields the RESP arrays of a connection until it ends; raises ProtocolError for other data."""
    while True:
        try:
            line = await reader.line()
        except EOFError:
            return
        if line[:1] != b"*" or not line[1:].isdigit():
            raise ProtocolError(f"not an array: {line!r}")
        items = []
        for _ in range(int(line[1:])):
            size = (await reader.line())[1:]
            if not size.isdigit() or int(size) > MAX_BULK:
                raise ProtocolError(f"invalid bulk string length: {size!r}")
            items.append((await reader.exactly(int(size) + 2))[:-2])
        yield items


class ArrayDecoder:
    """Decodes RESP arrays of bulk strings from received data, with the arrival time of their first byte."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._array_started_at = 0.0

    def feed(self, now: float, data: bytes) -> Iterator[tuple[float, list[bytes]]]:
        """Yields the arrays that `data`, received at `now`, completes; raises ValueError for invalid lengths.

        Each array comes with the time at which its first byte was received.
        """
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
    """Decodes a field list: `name=value,...`, or `-` if it is empty."""
    if text == b"-":
        return {}
    return dict(part.split("=", 1) for part in text.decode("ascii").split(","))


def encode_fields(fields: Mapping[str, object]) -> bytes:
    """Encodes a field list."""
    return ",".join(f"{name}={value}" for name, value in fields.items()).encode() or b"-"


class EndpointRecord(NamedTuple):
    """One endpoint on the loopback address, as the change log describes it."""

    endpoint_id: int
    port: int
    state: EndpointState
    zone: int  # index in the settings' `areas`
    kind: int  # index in the settings' `models`
    weight: int  # in thousandths of a concurrent transfer
    started_ms: int = 0  # Unix milliseconds; 0 where it is left out

    def encode(self) -> bytes:
        """Encodes the record, which has 27 bytes."""
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
    """Encodes the payload of an object's purge; `object_id` is hexadecimal."""
    return struct.pack(">QQ", int(object_id, 16), purged_at_ms)


def encode_group_purge(group: int, purged_at_ms: int) -> bytes:
    """Encodes the payload of a purge group's purge."""
    return struct.pack(">HQ", group, purged_at_ms)


def encode_frame(sequence_number: int, frame_type: FrameType, payload: bytes = b"") -> bytes:
    """Encodes one frame of the change log."""
    return _FRAME_HEADER.pack(9 + len(payload), sequence_number, frame_type) + payload
