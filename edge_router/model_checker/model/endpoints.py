"""The caches, parents and origins of the router model, and the records of the change log that list them."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from edge_router.decision.messages import EndpointState
from edge_router.model_checker.scope import CACHE, ORIGIN, PARENT, Scope

FIRST_CACHE = 0x11  # node id of c1
FIRST_PORT = 7000
JOINED_NODES = 0x5000  # node ids from which caches that join are numbered
JOINED_PORTS = 7500
REPLACED_BY = 0x1000  # distance from the node id of a replaced node to that of the new one
LOCALHOST = 0x7F000001
ROUTER_ZONE, OTHER_ZONE = 1, 0
WEIGHT = 1000

_RECORD = struct.Struct(">IIHBBBHIQ")
_KINDS = {"c": CACHE, "p": PARENT, "o": ORIGIN, "n": CACHE}  # by the first letter of the name
_STATE_CODES = {EndpointState.READY: 0, EndpointState.DRAINING: 1, EndpointState.GONE: 2}


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A node as the change log lists it."""

    name: str
    state: EndpointState
    started: float  # Unix milliseconds


class Endpoints:
    """The nodes by name, id and address."""

    def __init__(self, scope: Scope) -> None:
        self.nodes: dict[str, int] = {}  # node ids by name
        self.ports: dict[str, int] = {}  # by name
        self.members: dict[int, Endpoint] = {}  # by node id
        self.processes: dict[int, int] = {}  # by port: the id of the node that listens there
        caches = [f"c{place + 1}" for place in range(scope.caches)]
        parents = [f"p{place + 1}" for place in range(scope.parents)]
        for place, name in enumerate([*caches, *parents, "o1"]):
            node = FIRST_CACHE + place if name[0] == "c" else 0x100 * _KINDS[name[0]] + place
            self._add(name, node, FIRST_PORT + place, 0.0)

    def _add(self, name: str, node: int, port: int, started: float) -> None:
        self.nodes[name] = node
        self.ports[name] = port
        self.processes[port] = node
        self.members[node] = Endpoint(name, EndpointState.READY, started)

    def name_of(self, node: int) -> str:
        """The name of a node."""
        return self.members[node].name

    def state_of(self, name: str) -> EndpointState:
        """The state that the list gives for a node."""
        return self.members[self.nodes[name]].state

    def set_state(self, name: str, state: EndpointState, started: float | None = None) -> None:
        """Changes a node's state, and its start (Unix milliseconds) if one is given."""
        node = self.nodes[name]
        since = self.members[node].started if started is None else started
        self.members[node] = Endpoint(name, state, since)

    def replace(self, name: str) -> str:
        """Removes a node and lets a new one listen at its address; returns the new name."""
        new_name = self._next_cache_name() if name[0] == "c" else f"{name[0]}{int(name[1:]) + 5}"
        self.set_state(name, EndpointState.GONE)
        self._add(new_name, self.nodes[name] + REPLACED_BY, self.ports[name], 0.0)
        return new_name

    def join(self, started: float) -> str:
        """Adds a new cache at an address of its own; returns its name."""
        name = self._next_cache_name()
        place = len(self.nodes)
        self._add(name, JOINED_NODES + place, JOINED_PORTS + place + 1, started)
        return name

    def _next_cache_name(self) -> str:
        return f"n{sum(name[0] == 'n' for name in self.nodes) + 1}"

    def record(self, name: str) -> bytes:
        """The node's record in an event of the change log."""
        node = self.nodes[name]
        member = self.members[node]
        return _RECORD.pack(
            node,
            LOCALHOST,
            self.ports[name],
            _STATE_CODES[member.state],
            ROUTER_ZONE if name[0] in "cn" else OTHER_ZONE,
            _KINDS[name[0]],
            1 if name == "c3" else 0,  # the cell
            WEIGHT,
            int(member.started),
        )
