"""Shared by the encoders of all areas: the ledger's type, common reasons, and relative times and names."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from edge_router.decision.messages import Endpoint
from edge_router.proxy.request_table import ActiveRequest

REFERENCE = "a reference that never changes, to a callback, a clock or an object that is encoded separately"
FIXED = "set once, at the start"
REPORTED = "only reported in the log or the statistics; no decision depends on it"
DERIVED = "determined by fields that are encoded"


class Fields(NamedTuple):
    """The ledger's entry for one class of the core."""

    encoded: str  # names of fields, separated by spaces
    left_out: dict[str, str]  # by name: the reason why the fingerprint leaves it out

    def names(self) -> set[str]:
        """Returns the names of all listed fields."""
        return {*self.encoded.split(), *self.left_out}


Ledger = dict[type, Fields]


def fields_of(instance: object) -> set[str]:
    """Returns the names of an object's fields, whether in slots or in its dictionary."""
    names = set(getattr(instance, "__dict__", ()))
    for cls in type(instance).__mro__:
        names.update(getattr(cls, "__slots__", ()))
    return names


def rounded(value: float) -> float:
    """Rounds off the last digits, where rounding errors would make states differ, and a negative zero."""
    return round(value, 4) + 0.0


class ReferenceFrame:
    """The present time and the positions of requests in the scope, which an encoding is relative to."""

    def __init__(self, now: float, requests: Iterable[ActiveRequest]) -> None:
        self.now = now  # Unix milliseconds
        self._positions = {
            request.request_number: int(request.incoming.request_id, 16) for request in requests
        }

    def time(self, moment: float) -> float:
        """Returns the milliseconds from now to a Unix millisecond; 0 stays 0."""
        return round(moment - self.now, 3) + 0.0 if moment else 0.0

    def request_position(self, request_number: int) -> int:
        """Returns the position in the scope of an open request, from 1 on; -1 for one that has ended."""
        return self._positions.get(request_number, -1)

    def endpoint(self, endpoint: Endpoint) -> tuple[Any, ...]:
        """Encodes an entry of the endpoint list."""
        return (
            endpoint.endpoint_id,
            endpoint.role,
            self.time(endpoint.started_at),
            int(endpoint.state),
            endpoint.cell,
            endpoint.zone,
            endpoint.weight,
        )
