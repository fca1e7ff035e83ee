"""The wire forms as clients, caches and the change log see them.

Written from the protocol page and independent of the router's own codecs, so that a mistake in those does not
hide itself.
"""

from __future__ import annotations

import struct
from collections.abc import AsyncIterator, Iterator, Mapping
from typing import NamedTuple

import trio

BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = range(1, 7)
OVERLOADED = 2
MOST_LINE = 64
MOST_BULK = 1 << 20


class ProtocolError(Exception):
    """Bytes that break the protocol."""


class Record(NamedTuple):
    """One FastCGI record."""

    kind: int
    ident: int
    content: bytes


class Reader:
    """Buffered reading from a stream; `ended` is raised as EOFError."""

    def __init__(self, stream: trio.abc.ReceiveStream) -> None:
        self._stream = stream
        self._data = bytearray()

    async def _more(self) -> None:
        chunk = await self._stream.receive_some(65_536)
        if not chunk:
            raise EOFError
        self._data += chunk

    async def exactly(self, count: int) -> bytes:
        """So many bytes."""
        while len(self._data) < count:
            await self._more()
        taken = bytes(self._data[:count])
        del self._data[:count]
        return taken

    async def line(self) -> bytes:
        """The bytes up to the next line end, which is consumed."""
        while (end := self._data.find(b"\r\n")) < 0:
            if len(self._data) > MOST_LINE:
                raise ProtocolError("a line does not end")
            await self._more()
        taken = bytes(self._data[:end])
        del self._data[: end + 2]
        return taken


def record(kind: int, ident: int, content: bytes = b"") -> bytes:
    """One FastCGI record as bytes."""
    return struct.pack(">BBHHBB", 1, kind, ident, len(content), 0, 0) + content


def _pair(name: str, value: str) -> bytes:
    size = struct.pack(">I", len(value) | 1 << 31) if len(value) > 127 else bytes((len(value),))
    return bytes((len(name),)) + size + name.encode() + value.encode()


def request_records(ident: int, path: str, fields: Mapping[str, str], body: bytes = b"") -> bytes:
    """A whole request; `fields` are named as CGI names headers, without the prefix."""
    params = _pair("SCRIPT_NAME", path)
    params += b"".join(_pair(f"HTTP_{name}", value) for name, value in fields.items())
    return (
        record(BEGIN, ident, struct.pack(">HB5x", 1, 1))
        + record(PARAMS, ident, params)
        + record(PARAMS, ident)
        + (record(STDIN, ident, body) if body else b"")
        + record(STDIN, ident)
    )


async def records(reader: Reader) -> AsyncIterator[Record]:
    """The records of a connection until it ends."""
    while True:
        try:
            head = await reader.exactly(8)
        except EOFError:
            return
        version, kind, ident, length, padding, _ = struct.unpack(">BBHHBB", head)
        if version != 1:
            raise ProtocolError(f"version {version}")
        content = await reader.exactly(length + padding)
        yield Record(kind, ident, content[:length])


class Response(NamedTuple):
    """A CGI response."""

    status: int
    headers: dict[str, str]
    body: bytes


def parse_response(text: bytes) -> Response:
    """The response that STDOUT records carried; raises ProtocolError if it is none."""
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


def resp_array(*items: bytes) -> bytes:
    """One RESP array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


async def resp_arrays(reader: Reader) -> AsyncIterator[list[bytes]]:
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
            if not size.isdigit() or int(size) > MOST_BULK:
                raise ProtocolError(f"no bulk string: {size!r}")
            items.append((await reader.exactly(int(size) + 2))[:-2])
        yield items


class CommandScanner:
    """RESP arrays out of a stream that is passed on, with the time at which the first byte of each came."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._since = 0.0

    def feed(self, now: float, data: bytes) -> Iterator[tuple[float, list[bytes]]]:
        """The arrays that are whole with these bytes."""
        if not self._data:
            self._since = now
        self._data += data
        while (found := self._take()) is not None:
            yield self._since, found
            self._since = now

    def _take(self) -> list[bytes] | None:
        head = self._data.find(b"\r\n")
        if head < 0:
            return None
        items, at = [], head + 2
        for _ in range(int(self._data[1:head])):
            end = self._data.find(b"\r\n", at)
            if end < 0:
                return None
            size = int(self._data[at + 1 : end])
            if len(self._data) < end + 2 + size + 2:
                return None
            items.append(bytes(self._data[end + 2 : end + 2 + size]))
            at = end + 2 + size + 2
        del self._data[:at]
        return items


def fields_from(text: bytes) -> dict[str, str]:
    """A field list as a table."""
    if text == b"-":
        return {}
    return dict(part.split("=", 1) for part in text.decode("ascii").split(","))


def fields_to(fields: Mapping[str, object]) -> bytes:
    """A table as a field list."""
    return ",".join(f"{name}={value}" for name, value in fields.items()).encode() or b"-"


class NodeRecord(NamedTuple):
    """One entry of a list, as the change log tells it."""

    ident: int
    port: int
    state: int  # 0 ready, 1 draining, 2 gone
    zone: int
    kind: int
    weight: int  # in thousandths
    started: int  # Unix milliseconds; 0 where it is not told

    def encode(self) -> bytes:
        """The record of 27 bytes."""
        return struct.pack(
            ">IIHBBBHIQ",
            self.ident,
            0x7F000001,
            self.port,
            self.state,
            self.zone,
            self.kind,
            0,
            self.weight,
            self.started,
        )


def frame(number: int, kind: int, payload: bytes = b"") -> bytes:
    """One frame of the change log."""
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload
