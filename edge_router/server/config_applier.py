"""Applies a configuration to the running router: the limits at startup, and what may change at a reload."""

from __future__ import annotations

import math

from edge_router.config.platform_file import RouterConfig
from edge_router.config.reload import check_same_router
from edge_router.discovery.change_log_watcher import ChangeLogWatcher
from edge_router.proxy.request_router import RequestRouter
from edge_router.runtime.event_log import log
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.server.client_acceptor import MIN_CLIENTS, ClientAcceptor
from edge_router.server.memory_plan import MemoryPlan

RESTART_FIELDS = ("transfer_bandwidth", "settings")  # fields of `RouterConfig` that only a restart changes


class ConfigApplier:
    """Passes the limits and the address of the change log to the parts of the router that use them."""

    def __init__(
        self,
        initial: RouterConfig,
        budget: MemoryBudget,
        router: RequestRouter,
        acceptor: ClientAcceptor,
        change_log: ChangeLogWatcher,
    ) -> None:
        self._initial = initial
        self._budget = budget
        self._router = router
        self._acceptor = acceptor
        self._change_log = change_log
        self._memory_plan = MemoryPlan.measured()

    def apply_limits(self, config: RouterConfig) -> None:
        """Applies the limits on sockets, memory and CPU."""
        allotment = self._memory_plan.allot(config.memory_mb, config.max_sockets)
        self._acceptor.max_clients = max(MIN_CLIENTS, allotment.max_clients)
        self._budget.limit = allotment.buffer_bytes
        self._router.dispatcher.pool.max_connections = allotment.max_upstream_connections
        if allotment.tracked_objects < math.inf:
            self._router.limit_tracked_objects(int(allotment.tracked_objects))
        self._router.admission.cpu_credit.set_share(config.cpu_cores)

    def reload(self, config: RouterConfig) -> None:
        """Applies what can change without a restart: the limits and the address of the change log.

        Raises IdentityMismatchError, and applies nothing, if the configuration is that of another router.
        """
        check_same_router(self._initial, config)
        unapplied = [name for name in RESTART_FIELDS if getattr(config, name) != getattr(self._initial, name)]
        log(
            "configuration-reloaded",
            change_log=":".join(map(str, config.change_log_address)),
            max_sockets=config.max_sockets,
            memory_mb=config.memory_mb,
            cores=config.cpu_cores,
            waits_for_restart=",".join(unapplied) or "nothing",
        )
        self.apply_limits(config)
        self._change_log.set_address(*config.change_log_address)
