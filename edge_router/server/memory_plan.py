"""Divides the memory that the program leaves of its limit among buffers, connections and tables.

The parts together fit into the limit, except under limits that leave hardly any memory beside the program.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from edge_router.proxy.connection_pool import connection_limit
from edge_router.server.memory_gauge import MemoryGauge

# Fractions of the memory limit, and of what the program leaves of it when it is ready, that buffered requests
# and responses may use. The rest is for connections and tables, and for copies of data.
BUFFER_MEMORY_SHARE = 0.25
BUFFER_HEADROOM_SHARE = 0.5
MIN_BUFFER_BYTES = 1e6  # one request with its response, also where the program needs nearly all of the limit
# Bytes of the state of one connection, with its task and a part of its input.
CLIENT_BYTES = 14_000
UPSTREAM_BYTES = 14_000
# Fraction of the headroom for copies of data, and for freed blocks that the allocator keeps.
COPY_HEADROOM_SHARE = 0.1
OBJECT_BYTES = 1_100  # of one object in the tables of the routing policy, with some ten endpoints
MIN_TRACKED_OBJECTS = 2_000


@dataclass(frozen=True, slots=True)
class Allotment:
    """What the parts of the router may use under one memory limit."""

    max_clients: int
    max_upstream_connections: int
    buffer_bytes: float
    tracked_objects: float  # infinite if the memory of the program is not known


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """Allots memory; `program_mb` is what the program uses when it is ready, in MB (10**6 bytes), or NaN."""

    program_mb: float

    @classmethod
    def measured(cls) -> MemoryPlan:
        """Returns the plan for the memory that the process uses now, before its first request."""
        gauge = MemoryGauge()
        program_mb = gauge.resident_mb()
        gauge.close()
        return cls(program_mb)

    def allot(self, memory_mb: float, max_sockets: int) -> Allotment:
        """Returns the limits under a memory limit in MB (10**6 bytes) and a limit on descriptors.

        Clients get half of the descriptors, and upstream connections a third; the rest is a reserve.
        """
        max_upstream = connection_limit(max_sockets)
        upstream_bytes = max_upstream * UPSTREAM_BYTES
        max_clients = self._client_limit(memory_mb, max_sockets, upstream_bytes)
        connection_bytes = max_clients * CLIENT_BYTES + upstream_bytes
        buffer_bytes = self.buffer_limit(memory_mb, connection_bytes)
        headroom = self._headroom(memory_mb) * (1.0 - COPY_HEADROOM_SHARE)
        table_bytes = headroom - connection_bytes - buffer_bytes
        tracked_objects = (
            math.inf if math.isnan(table_bytes) else max(MIN_TRACKED_OBJECTS, table_bytes // OBJECT_BYTES)
        )
        return Allotment(max_clients, max_upstream, buffer_bytes, tracked_objects)

    def _headroom(self, memory_mb: float) -> float:
        """Returns how many bytes the program leaves of the memory limit; NaN if unknown."""
        return (memory_mb - self.program_mb) * 1e6

    def _client_limit(self, memory_mb: float, max_sockets: int, upstream_bytes: int) -> int:
        """Returns how many clients may be connected.

        They get half of the descriptors, as far as their state leaves memory for requests. The third of the
        descriptors that usual clients may hold is never cut.
        """
        wanted = max_sockets // 2
        headroom = self._headroom(memory_mb)
        if math.isnan(headroom):
            return wanted
        fitting = math.floor((headroom - MIN_BUFFER_BYTES - upstream_bytes) / CLIENT_BYTES)
        return min(wanted, max(max_sockets // 3, fitting))

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
