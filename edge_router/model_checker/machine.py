"""The interface between the search and the machines that it explores."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class Violation(NamedTuple):
    """A property that does not hold, and a description of what was observed."""

    property_name: str
    detail: str


class Machine(Protocol):
    """A deterministic system whose steps are chosen by the search; each step is identified by its name."""

    @property
    def violations(self) -> list[Violation]:
        """The violations found so far."""

    def enabled(self) -> list[str]:
        """The steps that may be taken now, always in the same order for the same state."""

    def do(self, step: str) -> None:
        """Takes an enabled step, and adds the properties that it violates to `violations`."""

    def encode(self) -> bytes:
        """The whole state in a canonical form, which is equal for states with the same possible futures."""

    def touches(self, step: str) -> frozenset[str] | None:
        """The parts of the state that the step reads or writes; None if it may be any of them."""

    def default(self) -> str | None:
        """The step that follows if no peer does anything; None if nothing more will happen."""

    def settle(self) -> None:
        """Takes default steps until none is left, and checks the properties of a quiet state."""


def independent(one: frozenset[str] | None, other: frozenset[str] | None) -> bool:
    """Whether two steps commute: they touch no common part, so either order gives the same state."""
    return one is not None and other is not None and not one & other
