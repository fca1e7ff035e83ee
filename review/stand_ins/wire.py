"""The encodings of `PROTOCOL-robinbeam.md`: FastCGI, RESP and the frames of the change log."""

from __future__ import annotations

import asyncio
import socket
import struct
import time

BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6
COMPLETE_LIST, CHANGES, OBJECT_PURGE, GROUP_PURGE = 1, 2, 3, 4
READY, DRAINING, GONE = 0, 1, 2
KEEP_CONN = 1


def unix_ms() -> float:
    """Returns the system's Unix time in milliseconds."""
    return time.time() * 1000.0


def record(kind: int, number: int, content: bytes = b"") -> bytes:
    """Encodes one FastCGI record."""
    return struct.pack(">BBHHBB", 1, kind, number, len(content), 0, 0) + content


def _pair(name: str, value: str) -> bytes:
    return bytes((len(name), len(value))) + name.encode() + value.encode()


def begin_and_params(number: int, path: str, fields: dict[str, str]) -> bytes:
    """Encodes a request up to the end of its parameters; `fields` are named as headers (X-Txn)."""
    params = _pair("SCRIPT_NAME", path) + b"".join(
        _pair("HTTP_" + name.upper().replace("-", "_"), value) for name, value in fields.items()
    )
    return (
        record(BEGIN, number, struct.pack(">HB5x", 1, KEEP_CONN))
        + record(PARAMS, number, params)
        + record(PARAMS, number)
    )


def whole_request(number: int, path: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes a whole request."""
    content = record(STDIN, number, body) if body else b""
    return begin_and_params(number, path, fields) + content + record(STDIN, number)


async def read_array(reader: asyncio.StreamReader) -> list[bytes]:
    """Reads one RESP array of bulk strings."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    items = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        items.append((await reader.readexactly(size + 2))[:-2])
    return items


def array(*items: bytes) -> bytes:
    """Encodes one RESP array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


def fields_of(text: bytes) -> dict[str, str]:
    """Decodes a list of fields."""
    return {} if text == b"-" else dict(pair.split("=", 1) for pair in text.decode().split(","))


def field_list(fields: dict[str, str]) -> bytes:
    """Encodes a list of fields."""
    return ",".join(f"{name}={value}" for name, value in fields.items()).encode() or b"-"


def frame(number: int, kind: int, payload: bytes = b"") -> bytes:
    """Encodes one frame of the change log."""
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload


def endpoint_record(
    endpoint_id: int, address: tuple[str, int], state: int, zone: int, kind: int, weight: float, started: int
) -> bytes:
    """Encodes the record of one cache; `started` is in Unix milliseconds, 0 if it did not start late."""
    host = socket.inet_aton(address[0])
    rest = struct.pack(">HBBBHIQ", address[1], state, zone, kind, 0, round(weight * 1000), started)
    return struct.pack(">I", endpoint_id) + host + rest
