"""A small deployment: its configuration file, and the router as the deploy file starts it."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from lib.backends import Cache
from lib.fastcgi import Client, Request
from lib.record import Record

ROOT = Path(__file__).parent.parent.parent
EDGE, HUB = 1, 0  # positions in `areas`
BOX, PARENT, ORIGIN = 0, 1, 2  # positions in `models`
START_TIME = 30.0  # seconds within which a router has to be ready

SETTINGS: dict[str, Any] = {
    "areas": ["north-hub", "edge-1"],
    "models": ["small-box", "parent", "origin"],
    "zone": EDGE,
    "fleet_size": 1,
    "weights": "nominal",
    "discovery": "push",
    "classes": [
        {
            "name": "full-media",
            "importance": 2.0,
            "late_worth": 0.15,
            "on_time": 400.0,
            "aim_stretch": 2.0,
            "deadline": 6000.0,
            "effect": "pure",
            "group": "all",
            "window": 5000.0,
        },
        {
            "name": "thumbs",
            "importance": 1.0,
            "late_worth": 0.2,
            "on_time": 400.0,
            "aim_stretch": 2.0,
            "deadline": 3000.0,
            "effect": "pure",
            "group": "all",
            "window": 5000.0,
        },
    ],
    "domain": {
        "client_kb_per_s": 4500.0,
        "heed_within": 1000.0,
        "home_hub": [0, 0],
        "in_pieces": [False, False],
        "instances_by_zone": [0, 1],
        "joins": False,
        "lifetime_by_class": [0.0, 12000.0],
        "may_pass_by": False,
        "never_kept": [False, False],
        "parent_cold_from": 0.081,
        "parent_limit_factor": 2.0,
        "parent_warms_in": 22000.0,
        "purge_settles": 6000.0,
        "says": "all",
        "shield_kind": PARENT,
        "siblings": "silent",
        "stale_for": [0.0, 30000.0],
        "store_kind": ORIGIN,
        "worth_when_old": [0.7, 0.5],
        "zone_link_kb_per_s": [0.0, 90000.0],
    },
    "limits": {
        "cancel": True,
        "conn_idle": 15000.0,
        "connect_timeout": 400.0,
        "max_retry_after": 1000.0,
        "may_probe": False,
        "most_held": 20000,
        "most_tries": 8,
        "retry_after": False,
        "second_copies": True,
        "streams_per_conn": 100,
    },
    "report": {"fields": [], "how": "silent"},
    "rules": {
        "answer_slack": 8.0,
        "cold_from": 0.2,
        "drain_grace": 1000.0,
        "overload_for": 1500.0,
        "tip_multiple": 4.0,
        "warm_up": 17000.0,
    },
}


def free_port() -> int:
    """Returns a port that nothing listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def instance(endpoint_id: int, port: int, zone: int, kind: int, started_ms: int = 0) -> dict[str, Any]:
    """Returns an entry of the endpoint list in the configuration."""
    return {
        "instanceId": f"s-{endpoint_id:08x}",
        "hostPort": f"127.0.0.1:{port}",
        "zone": SETTINGS["areas"][zone],
        "machineType": SETTINGS["models"][kind],
        "cell": 0,
        "lifecycle": "up",
        "weight": 20,
        "startedAtMs": started_ms,
    }


class Router:
    """One edge router, started with the `run` line of the deploy file."""

    def __init__(
        self,
        caches: list[Cache],
        parent: Cache,
        origin: Cache,
        log_port: int,
        notes: Record,
        settings: dict[str, Any] | None = None,
        memory_mb: int = 128,
    ) -> None:
        self._notes = notes
        self._directory = tempfile.TemporaryDirectory()
        self.address = ("127.0.0.1", free_port())
        instances = [instance(cache.endpoint_id, cache.listener.port, EDGE, BOX) for cache in caches]
        instances.append(instance(parent.endpoint_id, parent.listener.port, HUB, PARENT))
        instances.append(instance(origin.endpoint_id, origin.listener.port, HUB, ORIGIN))
        fleet = {"generation": 1, "reset": True, "instances": instances}
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.address[1]}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 256},
            "changelog": f"127.0.0.1:{log_port}",
            "flow_bytes_per_s": 310000,
            "link_bytes_per_s": 12400000,
            "known": {"seq": 1, "results": [{"seq": 1, "fleet": fleet}]},
            "settings": settings or SETTINGS,
        }
        self.config_path = Path(self._directory.name, "config.json")
        self.write_config()
        self.log_path = Path(self._directory.name, "router.log")
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": self.config["listen"],
            "RELAY_CONFIG": str(self.config_path),
            "TMPDIR": self._directory.name,
        }
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        notes.note(f"router started: {run}")

    def write_config(self) -> None:
        """Writes the configuration file, replacing it in one step."""
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.rename(self.config_path)

    def wait_until_ready(self) -> bool:
        """Waits until the router answers `/status/live` with 200."""
        end = time.monotonic() + START_TIME
        while time.monotonic() < end and self.process.poll() is None:
            try:
                if self._is_live():
                    self._notes.note("router is ready")
                    return True
            except OSError:
                pass
            time.sleep(0.05)
        return False

    def _is_live(self) -> bool:
        client = Client(self.address, "health check", self._notes)
        request = Request("", "0" * 16, 1000)
        request.encode = lambda number: _health_request(number)  # type: ignore[method-assign]
        client.send(request)
        end = time.monotonic() + 1.0
        while not request.answers and not client.ended and time.monotonic() < end:
            time.sleep(0.01)
        client.close()
        return bool(request.answers) and request.answers[0][1].startswith("200")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the program that `run` started."""
        self._notes.note(f"router gets {number.name}")
        self.process.send_signal(number)

    def close(self) -> None:
        """Kills the router if it still runs, and copies the last lines of its log to the record."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        for line in self.log_path.read_text(errors="replace").splitlines()[-400:]:
            self._notes.note(f"router log: {line}")
        self._directory.cleanup()


def _health_request(number: int) -> bytes:
    from lib import fastcgi

    path = b"/status/live"
    params = bytes((11, len(path))) + b"SCRIPT_NAME" + path
    return (
        fastcgi.record(fastcgi.BEGIN_REQUEST, number, b"\0\1\1\0\0\0\0\0")
        + fastcgi.record(fastcgi.PARAMS, number, params)
        + fastcgi.record(fastcgi.PARAMS, number)
        + fastcgi.record(fastcgi.STDIN, number)
    )
