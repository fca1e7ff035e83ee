"""Applies a configuration to the running router: the limits at startup, and what may change at a reload."""

from __future__ import annotations

import math

from edge_router.config.platform_file import RouterConfig
from edge_router.config.reload import check_same_router
from edge_router.discovery.change_log_watcher import ChangeLogWatcher
from edge_router.proxy.connection_pool import connection_limit
from edge_router.proxy.request_router import RequestRouter
from edge_router.runtime.event_log import log
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.server.client_acceptor import MIN_CLIENTS, ClientAcceptor
from edge_router.server.memory_gauge import MemoryGauge

# Fractions of the memory limit, and of what the program leaves of it when it is ready, that buffered requests
# and responses may use. The rest is for the state of requests and connections, for the buffers of those that
# receive, and for copies of data, which the memory budget does not count.
BUFFER_MEMORY_SHARE = 0.25
BUFFER_HEADROOM_SHARE = 0.5
MIN_BUFFER_BYTES = 1e6  # one request with its response, also where the program needs nearly all of the limit
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
        gauge = MemoryGauge()
        self._program_mb = gauge.resident_mb()  # before the first request; NaN if it is not known
        gauge.close()

    def buffer_limit(self, memory_mb: float) -> float:
        """Returns how many bytes requests and responses may use under a memory limit in MB (10**6 bytes)."""
        share = memory_mb * BUFFER_MEMORY_SHARE * 1e6
        if math.isnan(self._program_mb):
            return share
        headroom = (memory_mb - self._program_mb) * BUFFER_HEADROOM_SHARE * 1e6
        return min(share, max(MIN_BUFFER_BYTES, headroom))

    def apply_limits(self, config: RouterConfig) -> None:
        """Applies the limits on sockets, memory and CPU."""
        # Clients get half of the sockets, and upstream connections a third; the rest is a reserve.
        self._acceptor.max_clients = max(MIN_CLIENTS, config.max_sockets // 2)
        self._budget.limit = self.buffer_limit(config.memory_mb)
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
