"""The caches, parents and origins of the router model, and the records of the change log that list them.

Source of the records: the operators' page `PROTOCOL-robinbeam.md`, section "The change log".
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

from edge_router.decision.messages import EndpointState
from edge_router.model_checker.model_settings import CACHE, ORIGIN, PARENT
from edge_router.model_checker.scope import Scope

FIRST_CACHE = 0x11  # endpoint id of c1
FIRST_PORT = 7000
FIRST_JOINED_ID = 0x5000  # base of the endpoint ids of caches that join later
FIRST_JOINED_PORT = 7500
REPLACEMENT_ID_OFFSET = 0x1000  # from the id of a replaced endpoint to that of the new one
LOCALHOST = 0x7F000001
ROUTER_ZONE, OTHER_ZONE = 1, 0
WEIGHT = 1000  # of every endpoint, as the change log gives it

_RECORD = struct.Struct(">IIHBBBHIQ")
_ROLES = {"c": CACHE, "p": PARENT, "o": ORIGIN, "n": CACHE}  # by the first letter of the name
_STATE_CODES = {EndpointState.READY: 0, EndpointState.DRAINING: 1, EndpointState.GONE: 2}


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint as the change log lists it."""

    name: str
    state: EndpointState
    started: float  # Unix milliseconds


class Endpoints:
    """Holds the endpoints by name, id and port."""

    def __init__(self, scope: Scope) -> None:
        self.ids: dict[str, int] = {}  # endpoint ids by name
        self.ports: dict[str, int] = {}  # by name
        self.listed: dict[int, ListedEndpoint] = {}  # by endpoint id
        self.listeners: dict[int, int] = {}  # by port: the id of the endpoint that listens there
        caches = [f"c{index + 1}" for index in range(scope.caches)]
        parents = [f"p{index + 1}" for index in range(scope.parents)]
        for index, name in enumerate([*caches, *parents, "o1"]):
            endpoint_id = FIRST_CACHE + index if name[0] == "c" else 0x100 * _ROLES[name[0]] + index
            self._add(name, endpoint_id, FIRST_PORT + index, 0.0)

    def _add(self, name: str, endpoint_id: int, port: int, started: float) -> None:
        self.ids[name] = endpoint_id
        self.ports[name] = port
        self.listeners[port] = endpoint_id
        self.listed[endpoint_id] = ListedEndpoint(name, EndpointState.READY, started)

    def name_of(self, endpoint_id: int) -> str:
        """Returns the name of the endpoint of that id."""
        return self.listed[endpoint_id].name

    def state_of(self, name: str) -> EndpointState:
        """Returns the state in which an endpoint is listed."""
        return self.listed[self.ids[name]].state

    def set_state(self, name: str, state: EndpointState, started: float | None = None) -> None:
        """Changes an endpoint's state, and its start time (Unix milliseconds) if one is given."""
        endpoint_id = self.ids[name]
        started_at = self.listed[endpoint_id].started if started is None else started
        self.listed[endpoint_id] = ListedEndpoint(name, state, started_at)

    def replace(self, name: str) -> str:
        """Removes an endpoint and lets a new one listen at its address; returns the new name."""
        new_name = self._next_cache_name() if name[0] == "c" else f"{name[0]}{int(name[1:]) + 5}"
        self.set_state(name, EndpointState.GONE)
        self._add(new_name, self.ids[name] + REPLACEMENT_ID_OFFSET, self.ports[name], 0.0)
        return new_name

    def join(self, started: float) -> str:
        """Adds a new cache at a new address, started at that Unix millisecond; returns its name."""
        name = self._next_cache_name()
        index = len(self.ids)
        self._add(name, FIRST_JOINED_ID + index, FIRST_JOINED_PORT + index + 1, started)
        return name

    def _next_cache_name(self) -> str:
        return f"n{sum(name[0] == 'n' for name in self.ids) + 1}"

    def record(self, name: str) -> bytes:
        """Encodes the endpoint's record in an event of the change log."""
        endpoint_id = self.ids[name]
        listed = self.listed[endpoint_id]
        return _RECORD.pack(
            endpoint_id,
            LOCALHOST,
            self.ports[name],
            _STATE_CODES[listed.state],
            ROUTER_ZONE if name[0] in "cn" else OTHER_ZONE,
            _ROLES[name[0]],
            1 if name == "c3" else 0,  # the cell
            WEIGHT,
            int(listed.started),
        )
