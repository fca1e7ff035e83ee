"""The parts of one router model."""

from __future__ import annotations

from dataclasses import dataclass

from stonecove.explore.model.caches import Caches
from stonecove.explore.model.change_log import ChangeLog
from stonecove.explore.model.clients import Clients
from stonecove.explore.model.endpoints import Endpoints
from stonecove.explore.model.harness import Harness
from stonecove.explore.scope import Scope


@dataclass(slots=True)
class ModelState:
    """One router and its modelled surroundings."""

    scope: Scope
    faults: int  # how many more may be injected
    endpoints: Endpoints
    harness: Harness
    change_log: ChangeLog
    clients: Clients
    caches: Caches

    @classmethod
    def initial(cls, scope: Scope) -> ModelState:
        """The state before the first step of a scope."""
        endpoints = Endpoints(scope)
        harness = Harness(scope, endpoints)
        change_log = ChangeLog(harness, endpoints)
        clients = Clients(harness, scope)
        return cls(
            scope, scope.faults, endpoints, harness, change_log, clients, Caches(harness, clients, scope)
        )
