"""Starts the real router with fake caches and a fake change log for the socket tests."""

from __future__ import annotations

import json
import os
import queue
import resource
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from fake_cache import FakeCache, ReceivedCommand
from fake_change_log import FakeChangeLog, encode_endpoint
from fastcgi_client import FastCgiClient
from tcp_endpoints import free_address
from waiting import TEST_TIMEOUT, wait_until

from edge_router.fault_injection.system_call_faults import FAULTS_VARIABLE, FaultSchedule, SystemCallFault

SETTINGS: dict[str, Any] = {
    "areas": ["hub", "edge-1"],
    "models": ["box", "parent", "origin"],
    "zone": 1,
    "fleet_size": 1,
    "classes": [
        {"name": "image", "deadline": 9000.0, "on_time": 4000.0, "effect": "pure", "importance": 1.0},
        {
            "name": "confirm",
            "deadline": 9000.0,
            "on_time": 4000.0,
            "effect": "side_effect",
            "importance": 3.0,
        },
        {"name": "page", "deadline": 9000.0, "on_time": 4000.0, "effect": "pure", "importance": 1.0},
    ],
    "domain": {
        "shield_kind": 1,
        "store_kind": 2,
        "client_kb_per_s": 9e6,
        "zone_link_kb_per_s": [0.0, 9e9],
        "instances_by_zone": [0, 1],
        "never_kept": [False, True, False],
        "heed_within": 500.0,
        "lifetime_by_class": [0.0, 0.0, 20000.0],
        "purge_settles": 6000.0,
        "joins": True,
    },
    "limits": {
        "most_tries": 8,
        "cancel": True,
        "second_copies": True,
        "connect_timeout": 400.0,
        "retry_after": True,
        "max_retry_after": 1000.0,
        "conn_idle": 15000.0,
        "streams_per_conn": 100,
    },
    "report": {"fields": ["busy_reqs", "x0"], "how": "piggyback"},
    "weights": "nominal",
    "rules": {
        "drain_grace": 250.0,
        "cold_from": 0.25,
        "warm_up": 16000.0,
        "tip_multiple": 4.0,
        "overload_for": 3000.0,
    },
}


class RouterHarness:
    """A running edge router with two caches, a parent and an origin, and its change log."""

    def __init__(
        self,
        descriptors: int | None = None,
        memory_mb: float = 192,
        sockets: int = 1024,
        env: dict[str, str] | None = None,
        faults: Sequence[SystemCallFault] = (),
        **settings: Any,
    ) -> None:
        self.commands: queue.Queue[ReceivedCommand] = queue.Queue()
        self.caches = [FakeCache(0x10 + place, self.commands) for place in range(2)]
        self.change_log = FakeChangeLog()
        self.address = free_address()
        instances = [
            self.instance_config(cache.endpoint_id, cache.listener.port, 1, "box") for cache in self.caches
        ]
        instances += [self.instance_config(0x20, 1, 0, "parent"), self.instance_config(0x30, 1, 0, "origin")]
        endpoint_list = {"seq": 1, "fleet": {"generation": 1, "reset": True, "instances": instances}}
        known = {"seq": 1, "results": [endpoint_list]}
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": ":".join(map(str, self.address)),
            "seed": "8c1f30d27a5be964",
            "known": known,
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "changelog": f"127.0.0.1:{self.change_log.listener.port}",
            "settings": {**SETTINGS, **settings},
        }
        self._descriptors, self._env = descriptors, env or {}
        self._module = "edge_router"
        if faults:
            self._module = "edge_router.fault_injection.faulty_router"
            self._env[FAULTS_VARIABLE] = FaultSchedule(list(faults)).to_json()
        self.process = self.start()

    @staticmethod
    def instance_config(endpoint_id: int, port: int, zone: int, kind: str) -> dict[str, Any]:
        """Returns the entry of an endpoint in the configuration file; `kind` is its machine type."""
        return {
            "instanceId": f"s-{endpoint_id:08x}",
            "hostPort": f"127.0.0.1:{port}",
            "machineType": kind,
            "cell": 0,
            "zone": SETTINGS["areas"][zone],
            "lifecycle": "up",
            "weight": 9000,
            "startedAtMs": 0,
        }

    def endpoint_record(self, cache: FakeCache, state: int, started_at: int = 0, port: int = 0) -> bytes:
        """Returns the record of a cache in a change log event; `port` 0 stands for the cache's port."""
        port = port or cache.listener.port
        return encode_endpoint(cache.endpoint_id, port, state, zone=1, machine_type=0, started_at=started_at)

    def start(self) -> subprocess.Popen[bytes]:
        """Starts the router process and waits until it answers its liveness check or has exited."""
        self.directory = tempfile.TemporaryDirectory()
        path = Path(self.directory.name, "config.json")
        path.write_text(json.dumps(self.config))
        limit = self._descriptors

        def lower_descriptor_limit() -> None:
            if limit:
                resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

        with Path(self.directory.name, "log").open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", self._module],
                stderr=output,
                preexec_fn=lower_descriptor_limit,
                env={**os.environ, **self._env, "RELAY_CONFIG": str(path)},
            )
        wait_until(lambda: process.poll() is not None or self.is_live(), "the router is ready")
        return process

    def reload(self, text: str) -> None:
        """Replaces the configuration file and sends SIGHUP."""
        path = Path(self.directory.name, "config.json")
        path.with_suffix(".new").write_text(text)
        path.with_suffix(".new").rename(path)
        self.process.send_signal(signal.SIGHUP)

    def is_live(self) -> bool:
        """Returns whether the router answers its liveness check with 200."""
        try:
            return self.connect().request(path="/status/live").status == 200
        except (OSError, EOFError):
            return False

    def connect(self) -> FastCgiClient:
        """Opens a new client connection."""
        return FastCgiClient(self.address)

    def next_command(self, command: str = "fetch") -> ReceivedCommand:
        """Returns the next command of this name that any cache receives; drops other commands before it."""
        while (received := self.commands.get(timeout=TEST_TIMEOUT)).command != command:
            pass
        return received

    def log_lines(self, event: str) -> list[str]:
        """Returns the lines of the router's log for one event.

        The event `endpoint` has four lines after startup, one for each configured endpoint, and one more for
        each endpoint in a change log event.
        """
        text = Path(self.directory.name, "log").read_text()
        return [line for line in text.splitlines() if line.split(" ")[1:2] == [event]]

    @staticmethod
    def wait_until(condition: Callable[[], object], description: str) -> None:
        """Polls the condition until it is true; fails the test if it stays false."""
        wait_until(condition, description)

    def close(self) -> None:
        """Kills the router and closes the caches and the change log."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        for listener in (self.change_log.listener, *[cache.listener for cache in self.caches]):
            listener.close()
        self.directory.cleanup()
