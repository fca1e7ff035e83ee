"""The pool of connections to cache endpoints: selects, opens, evicts and closes them, within a limit."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable

from edge_router.decision.messages import EndpointId
from edge_router.decision.settings import Settings
from edge_router.discovery.endpoint_table import EndpointTable
from edge_router.proxy.upstream_connections import ConnectionOwner, UpstreamConnection
from edge_router.runtime.clock import Clock
from edge_router.runtime.timers import Timers
from edge_router.transport.upstream_channel import ChannelOwner, UpstreamChannel

# Fraction of the endpoints' idle timeout after which an idle connection is closed. It is closed before the
# endpoint closes it, because a request that is written to a closing connection would be lost.
IDLE_FRACTION = 0.6
# Connect timeouts without a complete response after which a connection with open attempts takes no further
# one, counted from its last response or, if that is later, from the start of its oldest open attempt.
MAX_SILENCE_FACTOR = 3.0
MIN_CONNECT_TIMEOUT = 100.0  # ms; lower bound of the connect timeout in this calculation
MAX_CONNECTIONS_PER_ENDPOINT = 16  # several, because a broken connection ends all attempts on it
SWEEP_INTERVAL = 200.0  # ms
MAX_PARTIAL_TIME = 400.0  # ms without a byte within a response, after which the connection is closed
SOCKETS_PER_CONNECTION = 3  # one upstream connection is allowed per this many descriptors of the limit
MIN_CONNECTION_LIMIT = 4

# Opens a channel for an owner to an address; the last argument is the connect timeout in seconds.
Connect = Callable[[ChannelOwner, tuple[str, int], float], UpstreamChannel]


def connection_limit(max_sockets: int) -> int:
    """Return how many upstream connections may be open under a limit on descriptors."""
    return max(MIN_CONNECTION_LIMIT, math.floor(max_sockets / SOCKETS_PER_CONNECTION))


class ConnectionPool:
    """All connections to cache endpoints."""

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        endpoints: EndpointTable,
        settings: Settings,
        counts: Counter[str],
        connect: Connect,
    ) -> None:
        self._clock, self._timers, self._endpoints, self._settings = clock, timers, endpoints, settings
        self._counts, self._connect = counts, connect
        self.max_connections = 0
        self._connections: dict[EndpointId, list[UpstreamConnection]] = {}
        self._timers.call_at(clock.now() + SWEEP_INTERVAL, self._sweep)

    def connection_count(self) -> int:
        """Return how many connections are open or being opened."""
        return sum(map(len, self._connections.values()))

    def max_silence(self) -> float:
        """Return how long (ms) a connection with open attempts may be silent; see `MAX_SILENCE_FACTOR`."""
        return MAX_SILENCE_FACTOR * max(self._settings.connect_timeout, MIN_CONNECT_TIMEOUT)

    def acquire(
        self, endpoint_id: EndpointId, request_id: str, owner: ConnectionOwner
    ) -> UpstreamConnection | None:
        """Return an idle connection, else a new one, else the least loaded one; None if there is none.

        An existing connection is returned only if it leads to the endpoint's current address and accepts the
        attempt. Attempts share a connection only as the last choice, because a single malformed response ends
        all attempts on its connection.
        """
        now, max_silence = self._clock.now(), self.max_silence()
        address, connections = self._endpoints.address(endpoint_id), self._connections.get(endpoint_id, [])
        for connection in connections:
            if (
                not connection.attempts
                and connection.address == address
                and connection.accepts(request_id, now, 1, max_silence)
            ):
                connection.last_used_at = now
                return connection
        if self._may_open(len(connections)):
            return self._open(endpoint_id, owner, address, now)
        max_streams = self._settings.max_streams_per_connection
        for connection in sorted(connections, key=lambda connection: len(connection.attempts)):
            if connection.address == address and connection.accepts(
                request_id, now, max_streams, max_silence
            ):
                connection.last_used_at = now
                return connection
        return None

    def _may_open(self, endpoint_connections: int) -> bool:
        """Return whether an endpoint may have one more connection; if necessary, an idle one is evicted."""
        fair_share = max(2, self.max_connections // max(1, len(self._connections)))
        return endpoint_connections < min(MAX_CONNECTIONS_PER_ENDPOINT, fair_share) and (
            self.connection_count() < self.max_connections or self._evict_idle()
        )

    def _open(
        self, endpoint_id: EndpointId, owner: ConnectionOwner, address: tuple[str, int], now: float
    ) -> UpstreamConnection:
        self._counts["upstream_connections_opened"] += 1
        connection = UpstreamConnection(endpoint_id, owner, address, now)
        connection.channel = self._connect(
            connection, address, max(self._settings.connect_timeout, 1.0) / 1000.0
        )
        self._connections.setdefault(endpoint_id, []).append(connection)
        return connection

    def _evict_idle(self) -> bool:
        """Close the connection that has been idle for longest; return whether there was one."""
        idle = [
            connection
            for connections in self._connections.values()
            for connection in connections
            if not connection.attempts and not connection.channel.closed
        ]
        if idle:
            min(idle, key=lambda connection: connection.last_used_at).channel.close()
        return bool(idle)

    def remove(self, connection: UpstreamConnection) -> None:
        """Remove a connection that has ended or could not be established."""
        connections = self._connections.get(connection.endpoint_id, [])
        if connection in connections:
            connections.remove(connection)
        if not connections:
            self._connections.pop(connection.endpoint_id, None)

    def close_opened_before(self, endpoint_id: EndpointId, started_at: float) -> None:
        """Close connections to an endpoint that were opened before its process started, at `started_at`.

        Connections opened later lead to the new process; the attempts on them continue.
        """
        for connection in list(self._connections.get(endpoint_id, [])):
            if connection.opened_at < started_at:
                connection.channel.close()

    def close_removed_endpoints(self) -> None:
        """Close the connections to endpoints that are no longer listed, because these answer nothing."""
        removed = [key for key in self._connections if not self._endpoints.contains(key)]
        for endpoint_id in removed:
            for connection in list(self._connections[endpoint_id]):
                connection.channel.close()

    def _sweep(self) -> None:
        """Close unused connections that are idle or suspect, and those stuck in the middle of a response."""
        now = self._clock.now()
        self._timers.call_at(now + SWEEP_INTERVAL, self._sweep)
        max_idle = IDLE_FRACTION * self._settings.connection_idle_timeout
        for connections in list(self._connections.values()):
            for connection in list(connections):
                idle = now - connection.last_used_at > max_idle
                partial_since = connection.channel.partial_received_at
                stuck = partial_since is not None and now - partial_since > MAX_PARTIAL_TIME
                if stuck or (not connection.attempts and (idle or connection.suspect)):
                    connection.channel.close()
