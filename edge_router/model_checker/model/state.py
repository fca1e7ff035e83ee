"""The state of one router model, made of its parts."""

from __future__ import annotations

from dataclasses import dataclass

from edge_router.model_checker.model.caches import Caches
from edge_router.model_checker.model.change_log import ChangeLog
from edge_router.model_checker.model.clients import Clients
from edge_router.model_checker.model.endpoints import Endpoints
from edge_router.model_checker.model.harness import Harness
from edge_router.model_checker.scope import Scope


@dataclass(slots=True)
class ModelState:
    """One router and its modelled environment."""

    scope: Scope
    faults: int  # number of faults that may still be injected
    endpoints: Endpoints
    harness: Harness
    change_log: ChangeLog
    clients: Clients
    caches: Caches

    @classmethod
    def initial(cls, scope: Scope) -> ModelState:
        """Returns the state before the first step of a scope."""
        endpoints = Endpoints(scope)
        harness = Harness(scope, endpoints)
        change_log = ChangeLog(harness, endpoints)
        clients = Clients(harness, scope)
        return cls(
            scope, scope.faults, endpoints, harness, change_log, clients, Caches(harness, clients, scope)
        )
