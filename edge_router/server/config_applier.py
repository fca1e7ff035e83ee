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
# receive, and for copies of data, which the memory budget does not count. Where many connections are allowed,
# their state may need more than that.
BUFFER_MEMORY_SHARE = 0.25
BUFFER_HEADROOM_SHARE = 0.5
# Bytes of the state of one connection, with its task and a part of its input.
CLIENT_BYTES = 14_000
UPSTREAM_BYTES = 14_000
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

    def buffer_limit(self, memory_mb: float, connection_bytes: float = 0.0) -> float:
        """Returns how many bytes requests and responses may use under a memory limit in MB (10**6 bytes).

        `connection_bytes` is what the state of all connections needs.
        """
        share = memory_mb * BUFFER_MEMORY_SHARE * 1e6
        headroom = self._headroom(memory_mb)
        if math.isnan(headroom):
            return share
        available = min(headroom * BUFFER_HEADROOM_SHARE, headroom - connection_bytes)
        return min(share, max(MIN_BUFFER_BYTES, available))

    def _headroom(self, memory_mb: float) -> float:
        """Returns how many bytes the program leaves of the memory limit when it is ready; NaN if unknown."""
        return (memory_mb - self._program_mb) * 1e6

    def client_limit(self, max_sockets: int, memory_mb: float) -> int:
        """Returns how many clients may be connected.

        They get half of the sockets, as far as their state leaves memory for requests. The third of the
        sockets that usual clients may hold is never cut.
        """
        wanted = max_sockets // 2
        headroom = self._headroom(memory_mb)
        if not math.isnan(headroom):
            upstream_bytes = connection_limit(max_sockets) * UPSTREAM_BYTES
            fitting = math.floor((headroom - MIN_BUFFER_BYTES - upstream_bytes) / CLIENT_BYTES)
            wanted = min(wanted, max(max_sockets // 3, fitting))
        return max(MIN_CLIENTS, wanted)

    def apply_limits(self, config: RouterConfig) -> None:
        """Applies the limits on sockets, memory and CPU."""
        # Clients get half of the sockets, and upstream connections a third; the rest is a reserve.
        max_clients = self.client_limit(config.max_sockets, config.memory_mb)
        max_upstream = connection_limit(config.max_sockets)
        connection_bytes = max_clients * CLIENT_BYTES + max_upstream * UPSTREAM_BYTES
        self._acceptor.max_clients = max_clients
        self._budget.limit = self.buffer_limit(config.memory_mb, connection_bytes)
        self._router.dispatcher.pool.max_connections = max_upstream
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
