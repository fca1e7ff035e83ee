"""Accounts for the bytes of buffered requests and responses against the memory limit."""

from __future__ import annotations


class MemoryBudget:
    """The bytes reserved in the whole process, which the platform kills if it uses too much memory.

    Only `can_reserve` checks the limit (bytes).
    """

    def __init__(self) -> None:
        self.limit = 0.0
        self._used = 0

    @property
    def used(self) -> int:
        """The number of reserved bytes."""
        return self._used

    def can_reserve(self, count: int) -> bool:
        """Whether `count` more bytes fit within the limit."""
        return self._used + count <= self.limit

    def reserve(self, count: int) -> None:
        """Reserves `count` bytes, even beyond the limit."""
        self._used += count

    def release(self, count: int) -> None:
        """Releases `count` reserved bytes."""
        self._used -= count
