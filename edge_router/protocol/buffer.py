"""The receive buffer of a connection: it grows as needed, and has no memory while it is empty."""

from __future__ import annotations

import struct
from typing import Any

INITIAL_SIZE = 4096  # bytes of a buffer that is used, and the default minimum size of a view to receive into


class BufferFullError(Exception):
    """The peer sent more unread bytes than the buffer may hold."""


class ReceiveBuffer:
    """A byte buffer of at most `max_size` bytes; those from `_start` up to `_end` are unread."""

    def __init__(self, max_size: int) -> None:
        self._data = bytearray()
        self._max_size = max_size
        self._start = 0
        self._end = 0

    def __len__(self) -> int:
        return self._end - self._start

    def writable_view(self, min_size: int = INITIAL_SIZE) -> memoryview:
        """Returns a view of the free space to receive into.

        It has at least `min_size` bytes, or fewer if `max_size` allows no more.
        Release the view (or leave its `with` block) before any other call: the buffer can't be resized while
        a view exists. Raises BufferFullError if there is no free space.
        """
        if self._start == self._end:
            self._start = self._end = 0
        if len(self._data) - self._end < min_size and self._start:
            unread = self._end - self._start
            self._data[:unread] = self._data[self._start : self._end]
            self._start, self._end = 0, unread
        if len(self._data) - self._end < min_size:
            size = min(self._max_size, max(2 * len(self._data), self._end + min_size))
            if size <= self._end:
                raise BufferFullError(f"receive buffer is full: {self._end} bytes are unread")
            data = bytearray(size)  # of exactly this size; extending it would allocate more
            data[: self._end] = memoryview(self._data)[: self._end]
            self._data = data
        return memoryview(self._data)[self._end :]

    def shrink(self) -> None:
        """Gives the memory of an empty buffer back, as its connection may rest for long."""
        if self._start == self._end and self._data:
            self._data = bytearray()
            self._start = self._end = 0

    def commit(self, count: int) -> None:
        """Marks `count` bytes of the last view as received."""
        self._end += count

    def append(self, data: bytes | bytearray) -> None:
        """Appends bytes; raises BufferFullError if there is no free space."""
        with self.writable_view(len(data)) as view:
            view[: len(data)] = data
        self.commit(len(data))

    def find(self, delimiter: bytes, within: int) -> int:
        """Returns the delimiter's offset from the first unread byte; -1 if not within that many bytes."""
        position = self._data.find(delimiter, self._start, min(self._end, self._start + within))
        return position - self._start if position >= 0 else -1

    def peek_struct(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Unpacks the next bytes without consuming them; the caller checks that there are enough."""
        return layout.unpack_from(self._data, self._start)

    def read(self, count: int) -> bytes:
        """Consumes and returns the next `count` bytes, or all if there are fewer."""
        data = bytes(self._data[self._start : min(self._end, self._start + count)])
        self._start += len(data)
        return data

    def skip(self, count: int) -> None:
        """Consumes the next `count` bytes, or all if there are fewer."""
        self._start = min(self._end, self._start + count)
