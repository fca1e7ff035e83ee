"""Runs one router process against simulated backends, on free loopback ports."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import tempfile
import time
from collections.abc import Sequence
from contextlib import AbstractContextManager
from pathlib import Path
from types import TracebackType

from edge_router.fault_injection.fastcgi_client import FastCgiClient
from edge_router.fault_injection.network import LOOPBACK, free_port
from edge_router.fault_injection.protocol import ProtocolError
from edge_router.fault_injection.simulated_backends import (
    KINDS,
    ORIGIN_KIND,
    PARENT_KIND,
    WRITE_CLASS,
    ZONES,
    SimulatedBackends,
)

READY_TIMEOUT = 20.0  # seconds
EXIT_TIMEOUT = 20.0  # seconds
READ_CLASS = "item-image"


def _class_settings() -> list[dict[str, object]]:
    return [
        {
            "name": name,
            "importance": 1.0,
            "on_time": 400.0,
            "deadline": 3000.0,
            "effect": effect,
            "late_worth": 0.2,
            "window": 5000.0,
        }
        for name, effect in ((READ_CLASS, "pure"), (WRITE_CLASS, "side_effect"))
    ]


def _settings() -> dict[str, object]:
    """Returns the section `settings` of the configuration file, with values for the simulated backends."""
    return {
        "areas": list(ZONES),
        "models": list(KINDS),
        "zone": 1,
        "fleet_size": 1,
        "weights": "nominal",
        "discovery": "push",
        "classes": _class_settings(),
        "domain": {
            "client_kb_per_s": 4200.0,
            "heed_within": 500.0,
            "instances_by_zone": [0, 1],
            "joins": True,
            "never_kept": [False, True],
            "lifetime_by_class": [0.0, 0.0],
            "purge_settles": 6000.0,
            "shield_kind": PARENT_KIND,
            "store_kind": ORIGIN_KIND,
            "zone_link_kb_per_s": [0.0, 60000.0],
        },
        "limits": {
            "cancel": True,
            "connect_timeout": 400.0,
            "max_retry_after": 1000.0,
            "most_tries": 8,
            "retry_after": True,
            "second_copies": True,
            "streams_per_conn": 100,
        },
        "rules": {
            "cold_from": 0.25,
            "drain_grace": 250.0,
            "overload_for": 3000.0,
            "tip_multiple": 4.0,
            "warm_up": 16000.0,
        },
    }


class LocalRouter(AbstractContextManager["LocalRouter"]):
    """A router process as a context manager.

    On entry it starts the process and waits until the process is ready; on exit it kills the process.
    """

    def __init__(
        self, command: Sequence[str], backends: SimulatedBackends, checkout: Path | None = None
    ) -> None:
        self.port = free_port()
        self._command, self._backends, self._checkout = command, backends, checkout
        self._folder = tempfile.TemporaryDirectory()
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def process_id(self) -> int:
        """The process id."""
        assert self._process is not None
        return self._process.pid

    def _config(self) -> dict[str, object]:
        return {
            "name": "n0",
            "listen": f"{LOOPBACK}:{self.port}",
            "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "changelog": f"{LOOPBACK}:{self._backends.change_log_port}",
            "known": self._backends.known(),
            "settings": _settings(),
        }

    def __enter__(self) -> LocalRouter:
        """Starts the process, from `checkout` if one was given; raises RuntimeError if it is not ready."""
        path = Path(self._folder.name, "config.json")
        path.write_text(json.dumps(self._config()))
        environment = {**os.environ, "RELAY_CONFIG": str(path)}
        if self._checkout is not None:
            environment["PYTHONPATH"] = str(self._checkout)
        self._process = subprocess.Popen(
            self._command, cwd=self._checkout, env=environment, stderr=subprocess.DEVNULL
        )
        try:
            self._wait_until_ready(self._process)
        except BaseException:
            self._kill(self._process)
            raise
        return self

    def _wait_until_ready(self, process: subprocess.Popen[bytes]) -> None:
        deadline = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < deadline and process.poll() is None:
            if self._answers_health_check():
                return
            time.sleep(0.02)
        raise RuntimeError("the router did not become ready")

    def _answers_health_check(self) -> bool:
        try:
            client = FastCgiClient(self.port)
            try:
                return client.request("/status/live").status == 200
            finally:
                client.close()
        except (OSError, EOFError, ProtocolError):
            return False

    def terminate(self) -> int:
        """Sends SIGTERM and returns the exit status; raises subprocess.TimeoutExpired after 20 s."""
        assert self._process is not None
        self._process.send_signal(signal.SIGTERM)
        return self._process.wait(EXIT_TIMEOUT)

    def _kill(self, process: subprocess.Popen[bytes]) -> None:
        if process.poll() is None:
            process.kill()
        process.wait()
        self._folder.cleanup()

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Kills the process if it is still running."""
        assert self._process is not None
        self._kill(self._process)
