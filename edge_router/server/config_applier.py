"""Applies a configuration to the running router: the limits at startup, and what may change at a reload."""

from __future__ import annotations

from edge_router.config.platform_file import RouterConfig
from edge_router.config.reload import check_same_router
from edge_router.discovery.change_log_watcher import ChangeLogWatcher
from edge_router.proxy.connection_pool import connection_limit
from edge_router.proxy.request_router import RequestRouter
from edge_router.runtime.event_log import log
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.server.client_acceptor import MIN_CLIENTS, ClientAcceptor

# Fraction of the memory limit that buffered requests and responses may use. The rest is for the interpreter
# and for copies of their data, which the memory budget does not count.
BUFFER_MEMORY_SHARE = 0.25
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

    def apply_limits(self, config: RouterConfig) -> None:
        """Applies the limits on sockets, memory and CPU."""
        # Clients get half of the sockets, and upstream connections a third; the rest is a reserve.
        self._acceptor.max_clients = max(MIN_CLIENTS, config.max_sockets // 2)
        self._budget.limit = config.memory_mb * BUFFER_MEMORY_SHARE * 1e6
        self._router.dispatcher.pool.max_connections = connection_limit(config.max_sockets)
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
