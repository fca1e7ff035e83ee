"""Measures the router's CPU time per request and its memory when ready, against those of another checkout.

    python -m benchmarks.run_cost [--short] [--against DIR]

The two checkouts are measured alternately in the same run. Each is started by the `run` command of its deploy
file; where that names the checkout's virtual environment, the running interpreter is used instead.
"""

from __future__ import annotations

import argparse
import os
import shlex
import sys
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path
from statistics import median

from edge_router.fault_injection.fastcgi_client import FastCgiClient
from edge_router.fault_injection.local_router import READ_CLASS, LocalRouter
from edge_router.fault_injection.simulated_backends import SimulatedBackends

THIS_CHECKOUT = Path(__file__).parent.parent
VENV_PYTHON_PREFIX = "exec .venv/bin/python "  # of the command in a deploy file
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")  # per second
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")  # bytes
WARM_UP_REQUESTS = 200  # sent before the measurement
OBJECTS = 20
CACHES = 3


@dataclass(frozen=True, slots=True)
class Cost:
    """The measured cost of one run of the router."""

    cpu_us: float  # microseconds of CPU time per request
    resident_mb: float  # resident memory when the router is ready, before any request


@dataclass(frozen=True, slots=True)
class Plan:
    """The extent of a measurement."""

    rounds: int
    requests: int  # per round and checkout


SHORT, LONG = Plan(rounds=3, requests=1500), Plan(rounds=9, requests=3000)


def _cpu_seconds(process_id: int) -> float:
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def _resident_mb(process_id: int) -> float:
    pages = int(Path(f"/proc/{process_id}/statm").read_text().split()[1])
    return pages * PAGE_SIZE / 1e6


def run_command(checkout: Path) -> list[str]:
    """Returns the command of the checkout's deploy file; raises OSError or KeyError if there is none."""
    command: str = tomllib.loads((checkout / "deploy" / "balancer.toml").read_text())["run"]
    if command.startswith(VENV_PYTHON_PREFIX):
        command = f"exec {shlex.quote(sys.executable)} {command.removeprefix(VENV_PYTHON_PREFIX)}"
    return ["/bin/sh", "-c", command]


def _send(client: FastCgiClient, numbers: range) -> None:
    for number in numbers:
        client.request_object(READ_CLASS, f"{number % OBJECTS + 1:016x}", f"{number + 1:016x}")


def measure(checkout: Path, requests: int) -> Cost:
    """Starts the checkout's router once and sends it this many requests, one after the other."""
    backends = SimulatedBackends(CACHES)
    try:
        with LocalRouter(run_command(checkout), backends, checkout) as router:
            resident_mb = _resident_mb(router.process_id)
            client = FastCgiClient(router.port)
            _send(client, range(WARM_UP_REQUESTS))
            cpu_before = _cpu_seconds(router.process_id)
            _send(client, range(WARM_UP_REQUESTS, WARM_UP_REQUESTS + requests))
            cpu_us = (_cpu_seconds(router.process_id) - cpu_before) / requests * 1e6
            client.close()
            return Cost(cpu_us, resident_mb)
    finally:
        backends.close()


def measure_alternately(checkouts: dict[str, Path], plan: Plan) -> dict[str, list[Cost]]:
    """Measures each checkout once per round, so that other load on the machine affects all of them alike."""
    costs: dict[str, list[Cost]] = {name: [] for name in checkouts}
    for _ in range(plan.rounds):
        for name, checkout in checkouts.items():
            costs[name].append(measure(checkout, plan.requests))
            time.sleep(0.1)
    return costs


def report(costs: dict[str, list[Cost]]) -> None:
    """Prints ranges and medians, then all figures on one line."""
    figures = {}
    for name, runs in costs.items():
        cpu_us, resident_mb = [run.cpu_us for run in runs], [run.resident_mb for run in runs]
        figures[f"{name}_us"], figures[f"{name}_mb"] = median(cpu_us), median(resident_mb)
        print(
            f"{name:6} CPU per request {min(cpu_us):.0f} to {max(cpu_us):.0f} us, "
            f"median {median(cpu_us):.0f}; "
            f"when ready {min(resident_mb):.2f} to {max(resident_mb):.2f} MB, "
            f"median {median(resident_mb):.2f}"
        )
    pairs = list(zip(costs["here"], costs["other"], strict=True))
    figures["cpu_ratio"] = median(here.cpu_us / other.cpu_us for here, other in pairs)
    figures["mb_ratio"] = median(here.resident_mb / other.resident_mb for here, other in pairs)
    print(" ".join(f"{name}={value:.4g}" for name, value in figures.items()))


def main() -> None:
    """Measures both checkouts and prints the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true", help="fewer rounds with fewer requests")
    parser.add_argument(
        "--against", type=Path, default=THIS_CHECKOUT, help="the other checkout (default: this one)"
    )
    arguments = parser.parse_args()
    checkouts = {"other": arguments.against.resolve(), "here": THIS_CHECKOUT}
    report(measure_alternately(checkouts, SHORT if arguments.short else LONG))


if __name__ == "__main__":
    main()
