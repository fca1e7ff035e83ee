"""Accounts for the bytes of buffered requests and responses against the memory limit."""

from __future__ import annotations


class MemoryBudget:
    """One count for the whole process, which the platform kills if it uses too much memory.

    All counts are in bytes. The limit is checked by `can_reserve` alone.
    """

    def __init__(self) -> None:
        self.limit = 0.0
        self._used = 0

    @property
    def used(self) -> int:
        """How many bytes are reserved."""
        return self._used

    def can_reserve(self, count: int) -> bool:
        """Whether so many more bytes are within the limit."""
        return self._used + count <= self.limit

    def reserve(self, count: int) -> None:
        """Counts so many bytes as reserved, whatever the limit."""
        self._used += count

    def release(self, count: int) -> None:
        """Gives reserved bytes back."""
        self._used -= count
