"""The part of the router model that the fingerprint reads."""

from __future__ import annotations

from typing import Protocol

from stonecove.explore.peers import ClientSession, ServerChannel
from stonecove.explore.properties import Witness
from stonecove.explore.scope import Scope
from stonecove.ground.timers import Timers
from stonecove.interface import NodeState
from stonecove.memory.budget import Budget
from stonecove.stages.route import Route
from stonecove.wire.changelog import Follower


class RouterState(Protocol):
    """One router and its modelled surroundings, as they stand between two steps."""

    scope: Scope
    t: float  # seconds on the clock of the run
    faults: int  # how many more may be injected
    route: Route
    budget: Budget
    timers: Timers
    witness: Witness
    channels: list[ServerChannel]
    session: ClientSession
    heads: dict[int, bytes]  # the part of each answer that has reached the client, by FastCGI id
    requests: list[tuple[str, str]]  # class and state
    members: dict[int, tuple[str, NodeState, float]]  # name, state and start of each node
    processes: dict[int, int]  # the node that listens at each port
    follower: Follower
    log: list[bytes]
    log_up: bool
    log_skips: bool
    term_at: float  # the second at which all requests are ended after SIGTERM
    expired: bool

    @property
    def now(self) -> float:
        """Unix milliseconds."""
