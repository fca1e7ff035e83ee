"""A stand-in for the platform: starts the router with the commands of the deploy file, and ends it."""

from __future__ import annotations

import asyncio
import atexit
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from stand_ins.caches import Cache
from stand_ins.change_log import ChangeLog
from stand_ins.clients import Connection

ROOT = Path(__file__).resolve().parents[2]
READY_WITHIN = 30.0  # seconds, DEPLOY-robinbeam.md
ZONES, KINDS = ["hub", "edge-1"], ["small-box", "parent", "origin"]
STATM_RESIDENT = 1
MIB = 1 << 20  # a megabyte of the limit is taken as the larger unit


def class_settings(name: str, deadline: float, effect: str = "pure") -> dict[str, Any]:
    """Returns the settings of one class."""
    return {
        "name": name, "importance": 1.0, "late_worth": 0.2, "on_time": 400.0, "aim_stretch": 2.0,
        "deadline": deadline, "effect": effect, "group": "all", "window": 5000.0, "streamed": False,
    }  # fmt: skip


def settings() -> dict[str, Any]:
    """Returns settings like those of the example in `WIRE-robinbeam.md`, for one zone and its hub."""
    return {
        "areas": ZONES, "models": KINDS, "zone": 1, "fleet_size": 1, "weights": "nominal",
        "discovery": "push", "self_index": 0, "tenants": [],
        "classes": [class_settings("full-media", 6000.0), class_settings("thumbs", 3000.0)],
        "domain": {
            "client_kb_per_s": 4500.0, "heed_within": 1000.0, "home_hub": [0, 0],
            "instances_by_zone": [0, 1], "in_pieces": [False, False], "joins": False,
            "lifetime_by_class": [0.0, 12000.0], "may_pass_by": False, "never_kept": [False, False],
            "origin_bears": 3000.0, "origin_stops_at": 2.5, "parent_cold_from": 0.081,
            "parent_limit_factor": 2.0, "parent_warms_in": 22000.0, "purge_settles": 6000.0,
            "says": "all", "shield_kind": 1, "siblings": "silent", "stale_for": [0.0, 30000.0],
            "store_kind": 2, "worth_when_old": [0.7, 0.5], "zone_link_kb_per_s": [0.0, 90000.0],
        },
        "limits": {
            "cancel": True, "conn_idle": 15000.0, "connect_timeout": 400.0, "max_retry_after": 1000.0,
            "may_probe": False, "most_held": 20000, "most_tries": 8, "peers": False,
            "retry_after": False, "second_copies": True, "streams_per_conn": 100,
        },
        "report": {"fields": [], "how": "silent"},
        "rules": {
            "answer_slack": 8.0, "ask_within": 10000.0, "cold_from": 0.2, "drain_grace": 1000.0,
            "overload_for": 1500.0, "tip_multiple": 4.0, "warm_up": 17000.0,
        },
    }  # fmt: skip


def instance(cache: Cache, kind: int, weight: float, started: int = 0) -> dict[str, Any]:
    """Returns the entry of a cache in `known`; caches are in zone 1, all others in the hub."""
    return {
        "instanceId": f"s-{cache.endpoint_id:08x}", "hostPort": f"{cache.address[0]}:{cache.address[1]}",
        "zone": ZONES[1 if kind == 0 else 0], "machineType": KINDS[kind], "cell": 0,
        "lifecycle": "up", "weight": weight, "startedAtMs": started,
    }  # fmt: skip


def free_address() -> tuple[str, int]:
    """Returns an address on which nothing listens now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address: tuple[str, int] = sock.getsockname()
        return address


class Router:
    """One router process, started with `run` of the deploy file."""

    def __init__(
        self,
        change_log: tuple[str, int],
        instances: list[dict[str, Any]],
        router_settings: dict[str, Any],
        limits: dict[str, float],
    ) -> None:
        self.address = free_address()
        self._folder = tempfile.TemporaryDirectory()
        self._config = Path(self._folder.name, "config.json")
        self.log = Path(self._folder.name, "log.txt")
        self.table: dict[str, Any] = {
            "name": "n0", "listen": f"{self.address[0]}:{self.address[1]}", "seed": "8c1f30d27a5be964",
            "limits": limits, "changelog": f"{change_log[0]}:{change_log[1]}",
            "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
            "known": {"seq": 1, "results": [{"seq": 1, "fleet": {
                "generation": 1, "reset": True, "instances": instances}}]},
            "settings": router_settings,
        }  # fmt: skip
        self.process: asyncio.subprocess.Process
        self.peak_bytes = 0
        self.killed_for_memory = False
        self._sampler: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the router and waits until it has answered a request for /status/live with 200."""
        self._config.write_text(json.dumps(self.table))
        run = tomllib.loads(Path(ROOT, "deploy", "balancer.toml").read_text())["run"]
        listen = f"{self.address[0]}:{self.address[1]}"
        env = {**os.environ, "RELAY_CONFIG": str(self._config), "RELAY_NAME": "n0", "RELAY_LISTEN": listen}
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env={**env, "TMPDIR": self._folder.name}, stderr=log
            )
        atexit.register(self._kill)  # also if the case itself fails
        end = time.monotonic() + READY_WITHIN
        while time.monotonic() < end and self.process.returncode is None:
            with contextlib.suppress(OSError):
                connection = await Connection.open(self.address)
                result = await connection.request("/status/live", {}, 1000, 1000)
                connection.close()
                if result.status == 200:
                    self._sampler = asyncio.create_task(self._sample_memory())
                    return
            await asyncio.sleep(0.1)
        could_not_run("the router did not become ready: " + self.log.read_text()[-500:])

    def resident(self) -> int:
        """Returns the resident bytes of the router's process; 0 if it has ended."""
        with contextlib.suppress(OSError, IndexError, ValueError):
            words = Path(f"/proc/{self.process.pid}/statm").read_text().split()
            return int(words[STATM_RESIDENT]) * os.sysconf("SC_PAGE_SIZE")
        return 0

    async def _sample_memory(self) -> None:
        while True:
            self.peak_bytes = max(self.peak_bytes, self.resident())
            if self.peak_bytes > self.table["limits"]["memory_mb"] * MIB and not self.killed_for_memory:
                self.killed_for_memory = True  # "Over memory_mb the edge router is killed."
                self.process.send_signal(signal.SIGKILL)
            await asyncio.sleep(0.01)

    def _kill(self) -> None:
        """Ends the process if it still runs."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGKILL)

    async def stop(self) -> None:
        """Ends the process and removes its folder."""
        if self._sampler is not None:
            self._sampler.cancel()
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        self._folder.cleanup()


async def stop_all(*stand_ins: Cache | ChangeLog) -> None:
    """Ends the stand-ins of this process, so that nothing is left open at its end."""
    for each in stand_ins:
        each.stop()
    await asyncio.sleep(0.1)


def could_not_run(reason: str) -> None:
    """Ends the case with exit status 2."""
    print(f"the case could not run: {reason}", file=sys.stderr)
    sys.exit(2)


def trouble() -> bool:
    """Returns whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes `record.txt` in the folder of a case."""

    def __init__(self, case: str) -> None:
        self._lines = [f"trouble: {int(trouble())}"]
        self._path = Path(case).resolve().parent / "record.txt"
        self._start = time.time()

    def add(self, line: str) -> None:
        """Adds a line with the time since the start, and prints it."""
        self._lines.append(f"{time.time() - self._start:8.3f} {line}")

    def finish(self, broken: bool, verdict: str) -> int:
        """Writes the file; returns the exit status: 1 if the rule was broken, else 0."""
        word = "BROKEN" if broken else "held"
        self._lines.append(f"verdict: {word}: {verdict}")
        self._path.write_text("\n".join(self._lines) + "\n")
        print(f"{word}: {verdict}")
        return 1 if broken else 0


class LoopLag:
    """Measures how late this process itself runs, so that a lateness of the stand-ins is not taken for one of
    the router.
    """

    INTERVAL = 0.02  # seconds
    LIMIT = 0.4  # seconds of lag above which a verdict against the router would not be fair

    def __init__(self) -> None:
        self.worst = 0.0
        self._task = asyncio.create_task(self._measure())

    async def _measure(self) -> None:
        while True:
            due = time.monotonic() + self.INTERVAL
            await asyncio.sleep(self.INTERVAL)
            self.worst = max(self.worst, time.monotonic() - due)

    def stop(self, record: Record) -> None:
        """Adds the worst lag to the record; ends the case if it was above the limit."""
        self._task.cancel()
        record.add(f"the stand-ins ran at most {self.worst * 1000:.0f} ms late")
        if self.worst > self.LIMIT:
            record.finish(False, "could not run: the stand-ins were too slow")
            could_not_run("the stand-ins were too slow")
