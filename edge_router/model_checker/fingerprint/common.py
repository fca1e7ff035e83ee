"""What the encoders of all areas share: the ledger's form, the reasons, and relative times and numbers."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from edge_router.decision.messages import Endpoint
from edge_router.proxy.request_table import ActiveRequest

WIRING = "points to another part that is encoded on its own, and never changes"
FIXED = "set once from the settings"
REPORTED = "only reported to people, never read by the router"
DERIVED = "follows from what is encoded"


class Fields(NamedTuple):
    """The fields of one class of the core."""

    encoded: str  # names, separated by spaces
    left_out: dict[str, str]  # by name: the reason why the fingerprint leaves it out

    def names(self) -> set[str]:
        """All fields that are known."""
        return {*self.encoded.split(), *self.left_out}


Ledger = dict[type, Fields]


def fields_of(thing: object) -> set[str]:
    """The names of an object's fields, with or without slots."""
    names = set(getattr(thing, "__dict__", ()))
    for cls in type(thing).__mro__:
        names.update(getattr(cls, "__slots__", ()))
    return names


def rounded(value: float) -> float:
    """A quantity without the noise of its last digits, and without a negative zero."""
    return round(value, 4) + 0.0


class Frame:
    """The names that an encoding is relative to: the present, and the places of requests in the scope."""

    def __init__(self, now: float, requests: Iterable[ActiveRequest]) -> None:
        self.now = now  # Unix milliseconds
        self._places = {request.request_number: int(request.incoming.request_id, 16) for request in requests}

    def time(self, moment: float) -> float:
        """Milliseconds from now to a Unix millisecond; 0 stays 0."""
        return round(moment - self.now, 3) + 0.0 if moment else 0.0

    def place(self, req: int) -> int:
        """The place in the scope of an open request; -1 for one that has ended."""
        return self._places.get(req, -1)

    def node(self, node: Endpoint) -> tuple[Any, ...]:
        """An entry of the endpoint list."""
        return (
            node.endpoint_id,
            node.role,
            self.time(node.started_at),
            int(node.state),
            node.cell,
            node.zone,
            node.weight,
        )
