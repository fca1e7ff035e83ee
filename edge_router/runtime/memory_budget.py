"""Accounts for the bytes of buffered requests and responses against the memory limit."""

from __future__ import annotations

# Fraction of the limit for requests that are not complete; the rest is kept for those that can be answered.
INCOMPLETE_SHARE = 0.5
# Bytes of the incomplete requests of one client that its share does not limit, enough for the parameters of a
# usual one. Else all requests would be rejected while those of other clients use up the share.
CLIENT_ALLOWANCE = 4096
# Bytes that incomplete requests may always use within the limit, enough for one of the largest size.
MIN_INCOMPLETE_BYTES = 98_304


class MemoryBudget:
    """The bytes reserved in the whole process, which the platform kills if it uses too much memory.

    Only `can_reserve` checks the limit (bytes).
    """

    def __init__(self) -> None:
        self.limit = 0.0
        self._used = 0
        self._incomplete = 0  # reserved bytes of incomplete requests

    @property
    def used(self) -> int:
        """The number of reserved bytes."""
        return self._used

    def can_reserve(self, count: int) -> bool:
        """Whether `count` more bytes fit within the limit."""
        return self._used + count <= self.limit

    def can_reserve_incomplete(self, count: int, held: int) -> bool:
        """Whether `count` more bytes of an incomplete request fit within the limit and its share of it.

        `held` is how many bytes its client's incomplete requests use already.
        """
        if held + count <= CLIENT_ALLOWANCE:
            return self.can_reserve(count)
        incomplete_limit = max(MIN_INCOMPLETE_BYTES, self.limit * INCOMPLETE_SHARE)
        return self.can_reserve(count) and self._incomplete + count <= incomplete_limit

    def reserve_incomplete(self, count: int) -> None:
        """Reserves `count` bytes for an incomplete request."""
        self._incomplete += count
        self.reserve(count)

    def release_incomplete(self, count: int) -> None:
        """Releases `count` bytes that were reserved for an incomplete request."""
        self._incomplete -= count
        self.release(count)

    def reserve(self, count: int) -> None:
        """Reserves `count` bytes, even beyond the limit."""
        self._used += count

    def release(self, count: int) -> None:
        """Releases `count` reserved bytes."""
        self._used -= count
