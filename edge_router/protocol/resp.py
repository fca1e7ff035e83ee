"""RESP, as far as the caches speak it (arrays of bulk strings): a codec without I/O."""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence

from edge_router.protocol.buffer import ReceiveBuffer

MAX_ITEMS = 16  # in one array
MAX_BULK_SIZE = 1 << 18  # bytes
MAX_LINE_SIZE = 32  # bytes of a length line

_LINE_END = b"\r\n"
_FIELD_PATTERN = rb"[a-z0-9_]+=[!-+\--~]*"  # printable ASCII without blanks and commas
_FIELD_LIST = re.compile(_FIELD_PATTERN + b"(," + _FIELD_PATTERN + b")*")


class RespError(Exception):
    """Bytes that are not an array of bulk strings, or a bulk string that is not a field list."""


def encode(*items: bytes) -> bytes:
    """One array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join([b"$%d\r\n%b\r\n" % (len(item), item) for item in items])


class RespDecoder:
    """Decodes the arrays of one connection, however the bytes were split into reads."""

    def __init__(self) -> None:
        self._items: list[bytes] = []
        self._missing_items = 0
        self._bulk_size: int | None = None  # of the partial item, once its length line was read

    def missing_bytes(self, unread: int) -> int:
        """How many bytes the partial item needs beyond those unread, so that a long one takes few reads."""
        return 0 if self._bulk_size is None else max(0, self._bulk_size + len(_LINE_END) - unread)

    def is_partial(self) -> bool:
        """Whether an array has begun and is not complete."""
        return self._missing_items > 0

    @staticmethod
    def _read_length(buffer: ReceiveBuffer, prefix: bytes, minimum: int, maximum: int) -> int | None:
        """Consumes a line like `*4` or `$16` and returns its number; None if the line is not complete yet.

        Raises RespError if the line has another prefix or a number out of bounds.
        """
        end = buffer.find(_LINE_END, MAX_LINE_SIZE)
        if end < 0:
            if len(buffer) >= MAX_LINE_SIZE:
                raise RespError("a length line does not end")
            return None
        line = buffer.read(end)
        buffer.skip(len(_LINE_END))
        if line[:1] != prefix or not line[1:].isdigit() or not minimum <= int(line[1:]) <= maximum:
            raise RespError(f"a length line reads {line!r}")
        return int(line[1:])

    def decode_arrays(self, buffer: ReceiveBuffer) -> Iterator[list[bytes]]:
        """Consumes the complete arrays of the buffer; raises RespError if the bytes are none."""
        while True:
            if not self._missing_items:
                count = self._read_length(buffer, b"*", 1, MAX_ITEMS)
                if count is None:
                    return
                self._missing_items, self._items = count, []
            elif self._bulk_size is None:
                size = self._read_length(buffer, b"$", 0, MAX_BULK_SIZE)
                if size is None:
                    return
                self._bulk_size = size
            else:
                if len(buffer) < self._bulk_size + len(_LINE_END):
                    return
                self._items.append(buffer.read(self._bulk_size))
                if buffer.read(len(_LINE_END)) != _LINE_END:
                    raise RespError("a bulk string is longer than its length")
                self._missing_items, self._bulk_size = self._missing_items - 1, None
                if not self._missing_items:
                    yield self._items


def encode_fields(fields: Sequence[tuple[str, str]]) -> bytes:
    """Encodes a field list as `name=value,...`; `-` if it is empty."""
    return ",".join(f"{name}={value}" for name, value in fields).encode() or b"-"


def parse_fields(text: bytes) -> dict[str, str]:
    """Parses a field list as encode_fields writes it; raises RespError if it is malformed."""
    if text == b"-":
        return {}
    if not _FIELD_LIST.fullmatch(text):
        raise RespError(f"fields read {text[:40]!r}")
    return dict(pair.split("=", 1) for pair in text.decode("ascii").split(","))
