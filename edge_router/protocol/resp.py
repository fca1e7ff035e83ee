"""A codec without I/O for the part of RESP that the caches use: arrays of bulk strings.

Source: the operators' page `PROTOCOL-robinbeam.md`, section "Edge routers to caches".
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Sequence

from edge_router.protocol.buffer import ReceiveBuffer

MAX_ITEMS = 16  # bulk strings in one array
MAX_BULK_SIZE = 1 << 18  # bytes, also of all bulk strings of one array together
MAX_READ_SIZE = 65_536  # bytes that are buffered before they are moved to the bulk string that they belong to
MAX_LINE_SIZE = 32  # bytes of a length line such as `*4` or `$16`, with its line end

HEAD_ITEMS = 3  # first items of an array, which are always kept

_LINE_END = b"\r\n"
_FIELD_PATTERN = rb"[a-z0-9_]+=[!-+\--~]*"  # values: printable ASCII without spaces and commas
_FIELD_LIST = re.compile(_FIELD_PATTERN + b"(," + _FIELD_PATTERN + b")*")


class RespError(Exception):
    """The input is not an array of bulk strings, or a bulk string is not a field list."""


def encode(*items: bytes) -> bytes:
    """Encodes one array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join([b"$%d\r\n%b\r\n" % (len(item), item) for item in items])


def every_item(_first_item: bytes, _size: int) -> bool:
    """Returns True: the default of `RespDecoder.wanted`."""
    return True


class RespDecoder:
    """Decodes the arrays of one connection, regardless of how their bytes are split into reads."""

    def __init__(self) -> None:
        # Whether an item after the head of an array is kept: called with the array's first item and the size
        # of that item, each time some of its bytes arrive.
        self.wanted: Callable[[bytes, int], bool] = every_item
        self._items: list[bytes] = []
        self._missing_items = 0
        self._bulk_size: int | None = None  # size of the item that comes next, once its length line was read
        self._bulk = bytearray()  # the bytes of that item received so far
        self._bulk_received = 0  # how many these are, also those that are not wanted
        self._array_size = 0  # announced sizes of the items of this array so far

    def missing_bytes(self, unread: int) -> int:
        """Returns how many bytes to read for the partial item at most, so that a long item takes few reads.

        `unread` is the number of bytes in the buffer that were not consumed yet.
        """
        if self._bulk_size is None:
            return 0
        missing = self._bulk_size + len(_LINE_END) - self._bulk_received - unread
        return min(MAX_READ_SIZE, max(0, missing))

    def is_partial(self) -> bool:
        """Whether an array has begun and is not complete."""
        return self._missing_items > 0

    @staticmethod
    def _read_length(buffer: ReceiveBuffer, prefix: bytes, minimum: int, maximum: int) -> int | None:
        """Consumes a length line and returns its number; None if the line is not complete yet.

        Raises RespError if the line has another prefix, no number or one that is out of bounds.
        """
        end = buffer.find(_LINE_END, MAX_LINE_SIZE)
        if end < 0:
            if len(buffer) >= MAX_LINE_SIZE:
                raise RespError("length line is too long")
            return None
        line = buffer.read(end)
        buffer.skip(len(_LINE_END))
        if line[:1] != prefix or not line[1:].isdigit() or not minimum <= int(line[1:]) <= maximum:
            raise RespError(f"invalid length line {line!r}")
        return int(line[1:])

    def decode_arrays(self, buffer: ReceiveBuffer) -> Iterator[list[bytes]]:
        """Consumes and yields the complete arrays in the buffer; raises RespError if they are malformed."""
        while True:
            if not self._missing_items:
                count = self._read_length(buffer, b"*", 1, MAX_ITEMS)
                if count is None:
                    return
                self._missing_items, self._items, self._array_size = count, [], 0
            elif self._bulk_size is None:
                size = self._read_length(buffer, b"$", 0, MAX_BULK_SIZE)
                if size is None:
                    return
                self._array_size += size
                if self._array_size > MAX_BULK_SIZE:
                    raise RespError("array is too long")
                self._bulk_size = size
            else:
                self._read_bulk(buffer, self._bulk_size)
                if self._bulk_received < self._bulk_size or len(buffer) < len(_LINE_END):
                    return
                self._items.append(bytes(self._bulk))
                self._bulk, self._bulk_received = bytearray(), 0
                if buffer.read(len(_LINE_END)) != _LINE_END:
                    raise RespError("bulk string does not end after its announced length")
                self._missing_items, self._bulk_size = self._missing_items - 1, None
                if not self._missing_items:
                    yield self._items

    def _read_bulk(self, buffer: ReceiveBuffer, size: int) -> None:
        """Consumes what has arrived of an item of `size` bytes, and keeps it if it is needed."""
        data = buffer.read(size - self._bulk_received)
        self._bulk_received += len(data)
        if len(self._items) < HEAD_ITEMS or self.wanted(self._items[0], size):
            self._bulk += data
        else:
            self._bulk.clear()


def encode_fields(fields: Sequence[tuple[str, str]]) -> bytes:
    """Encodes a field list as `name=value,...`; `-` if it is empty."""
    return ",".join(f"{name}={value}" for name, value in fields).encode() or b"-"


def parse_fields(text: bytes) -> dict[str, str]:
    """Parses a field list in the format of `encode_fields`; raises RespError if it is malformed."""
    if text == b"-":
        return {}
    if not _FIELD_LIST.fullmatch(text):
        raise RespError(f"malformed field list {text[:40]!r}")
    return dict(pair.split("=", 1) for pair in text.decode("ascii").split(","))
