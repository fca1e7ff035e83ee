"""Simulated backends of one router, run in threads: caches, a parent, an origin and a change log.

They serve `edge-router demo` and `benchmarks/run_cost.py`. The caches of `edge-router soak`, which simulate
faults, are in `cache_process`.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from collections import Counter
from dataclasses import dataclass

from edge_router.fault_injection.network import LOOPBACK
from edge_router.fault_injection.protocol import (
    ArrayDecoder,
    EndpointRecord,
    EndpointState,
    FrameType,
    decode_fields,
    encode_array,
    encode_fields,
    encode_frame,
    encode_group_purge,
)
from edge_router.fault_injection.tcp_server import ThreadedTcpServer

ZONES = ("central", "edge-1")
KINDS = ("small-box", "parent", "origin")
CACHE_KIND, PARENT_KIND, ORIGIN_KIND = range(3)
FIRST_CACHE_ID, PARENT_ID, ORIGIN_ID = 0x11, 0x21, 0x31
WEIGHT = 20  # concurrent transfers, for each endpoint
FIRST_SEQUENCE_NUMBER = 1  # of the endpoint list in the configuration
PURGE_GRACE_MS = 500.0  # after which no cache response may contain a purged copy
HEARTBEAT_INTERVAL = 1.0  # seconds
BODY_PADDING = bytes(2000)
WRITE_CLASS = "pick-confirm"


@dataclass(frozen=True, slots=True)
class CopyResponse:
    """A response of a cache that contains a copy; both times are Unix milliseconds."""

    answered_ms: float
    created_ms: float


class SimulatedCache:
    """A cache, parent or origin; it creates its copy of an object at the first fetch."""

    def __init__(self, endpoint_id: int, kind: int, backends: SimulatedBackends) -> None:
        self.endpoint_id, self.kind = endpoint_id, kind
        self.fetches = 0
        self._backends = backends
        self._created_ms: dict[str, float] = {}  # creation times of the copies, by name
        self._server = ThreadedTcpServer(self._serve)
        self.port = self._server.port

    @property
    def name(self) -> str:
        """The name in the configuration and in logs."""
        return f"s-{self.endpoint_id:08x}"

    @property
    def zone(self) -> int:
        """The index of the zone in `ZONES`: caches are at the edge, the parent and the origin are central."""
        return 1 if self.kind == CACHE_KIND else 0

    def _serve(self, connection: socket.socket) -> None:
        decoder = ArrayDecoder()
        while data := connection.recv(65_536):
            for _, command in decoder.feed(0.0, data):
                if command[0] == b"fetch":
                    self.fetches += 1
                    connection.sendall(
                        self._backends.respond(self, command[1].decode(), decode_fields(command[2]))
                    )

    def copy(self, name: str, max_age_ms: float) -> tuple[float, bool]:
        """Returns when the copy was created (Unix milliseconds) and whether it is a hit.

        A missing copy, or one older than `max_age_ms`, is created now; a maximum age of 0 allows any age.
        """
        now = time.time() * 1000.0
        created_ms = self._created_ms.get(name)
        if created_ms is not None and (not max_age_ms or created_ms >= now - max_age_ms):
            return created_ms, True
        self._created_ms[name] = now
        return now, False

    def close(self) -> None:
        """Stops the cache: closes its connections and refuses new ones."""
        self._server.close()


class SimulatedBackends:
    """All servers that one router uses; they record writes and the copies in responses."""

    def __init__(self, caches: int) -> None:
        self._lock = threading.Lock()
        self._executions: Counter[str] = Counter()  # number of executions of each write, by request id
        self._copy_responses: list[CopyResponse] = []
        self.caches = [SimulatedCache(FIRST_CACHE_ID + n, CACHE_KIND, self) for n in range(caches)]
        self._sources = [
            SimulatedCache(PARENT_ID, PARENT_KIND, self),
            SimulatedCache(ORIGIN_ID, ORIGIN_KIND, self),
        ]
        self._frames: list[bytes] = []  # change log frames of the events after the first
        self._change_log_connections: list[socket.socket] = []
        self._change_log = ThreadedTcpServer(self._serve_change_log)
        self.change_log_port = self._change_log.port

    def respond(self, cache: SimulatedCache, request_id: str, fields: dict[str, str]) -> bytes:
        """Returns a cache's encoded response to a fetch."""
        with self._lock:
            if fields["cls"] == WRITE_CLASS:
                self._executions[request_id] += 1
                headers = {"tell": "filled", "ver": "c0", "born": f"{time.time() * 1000:.0f}"}
                return encode_array(request_id.encode(), b"200", encode_fields(headers), b"confirmed")
            name = f"{fields['item']}/{fields['chunk']}"
            created_ms, hit = cache.copy(name, float(fields.get("oldest", 0)))
            self._copy_responses.append(CopyResponse(time.time() * 1000.0, created_ms))
        object_id = int(fields["item"], 16)
        headers = {
            "tell": "hit" if hit else "filled",
            "ver": f"v{object_id:x}",
            "born": f"{created_ms:.0f}",
            "waited": "1",
        }
        body = f"{object_id:x}:".encode() + BODY_PADDING
        return encode_array(request_id.encode(), b"200", encode_fields(headers), body)

    def count_stale_copy_responses(self, purged_at_ms: float) -> int:
        """Counts cache responses with copies older than a purge, sent after the purge's grace period."""
        with self._lock:
            return sum(
                response.answered_ms > purged_at_ms + PURGE_GRACE_MS and response.created_ms < purged_at_ms
                for response in self._copy_responses
            )

    def count_repeated_writes(self) -> int:
        """Counts the writes that were executed more than once."""
        with self._lock:
            return sum(count > 1 for count in self._executions.values())

    def known(self) -> dict[str, object]:
        """Returns the entry `known` of the configuration file: the endpoint list at the router's start."""
        entries = [
            {
                "instanceId": cache.name,
                "hostPort": f"{LOOPBACK}:{cache.port}",
                "zone": ZONES[cache.zone],
                "machineType": KINDS[cache.kind],
                "cell": 0,
                "lifecycle": EndpointState.READY.lifecycle,
                "weight": WEIGHT,
                "startedAtMs": 0,
            }
            for cache in (*self.caches, *self._sources)
        ]
        endpoint_list = {"generation": 1, "reset": True, "instances": entries}
        number = FIRST_SEQUENCE_NUMBER
        return {"seq": number, "results": [{"seq": number, "fleet": endpoint_list}]}

    def _last_sequence_number(self) -> int:
        return FIRST_SEQUENCE_NUMBER + len(self._frames)

    def _serve_change_log(self, connection: socket.socket) -> None:
        """Serves a change log connection: sends the events that the router lacks, then heartbeats."""
        (last_known,) = struct.unpack(">Q", connection.recv(8, socket.MSG_WAITALL))
        with self._lock:
            for frame in self._frames[max(0, last_known - FIRST_SEQUENCE_NUMBER) :]:
                connection.sendall(frame)
            self._change_log_connections.append(connection)
        while True:
            time.sleep(HEARTBEAT_INTERVAL)
            with self._lock:
                connection.sendall(encode_frame(self._last_sequence_number(), FrameType.HEARTBEAT))

    def _publish(self, frame_type: FrameType, payload: bytes) -> None:
        with self._lock:
            self._frames.append(encode_frame(self._last_sequence_number() + 1, frame_type, payload))
            for connection in self._change_log_connections:
                with contextlib.suppress(OSError):
                    connection.sendall(self._frames[-1])

    def publish_state(self, cache: SimulatedCache, state: EndpointState) -> None:
        """Adds a cache's new state to the change log."""
        record = EndpointRecord(cache.endpoint_id, cache.port, state, cache.zone, cache.kind, WEIGHT * 1000)
        self._publish(FrameType.ENDPOINT_CHANGES, record.encode())

    def publish_group_purge(self, group: int) -> int:
        """Adds the purge of a purge group to the change log; returns its time in Unix milliseconds."""
        purged_at_ms = int(time.time() * 1000.0)
        self._publish(FrameType.GROUP_PURGED, encode_group_purge(group, purged_at_ms))
        return purged_at_ms

    def close(self) -> None:
        """Stops all servers."""
        for cache in (*self.caches, *self._sources):
            cache.close()
        self._change_log.close()
