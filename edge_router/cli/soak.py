"""`edge-router soak`: injects random faults around real router processes and checks what was observed."""

from __future__ import annotations

import sys
from collections import Counter
from enum import IntEnum
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from edge_router.fault_injection.observations import Observations

MAX_HARNESS_DELAY = 0.1  # seconds; if the clients send a request later than this, the run is inconclusive


class ExitStatus(IntEnum):
    """Exit statuses of the command."""

    PASSED = 0
    VIOLATIONS = 1
    INCONCLUSIVE = 3


def _summary(observations: Observations) -> str:
    statuses = Counter(request.status for request in observations.requests)
    by_status = dict(sorted((status or 0, count) for status, count in statuses.items()))
    return (
        f"{len(observations.requests)} requests, by status {by_status}, "
        f"{len(observations.attempts)} attempts, {len(observations.router_runs)} router processes, "
        f"harness delay {observations.max_harness_delay * 1000:.0f} ms"
    )


@click.command()
@click.option(
    "--seed",
    default=1,
    show_default=True,
    help="First seed; with the other options, a seed determines settings and faults.",
)
@click.option(
    "--runs",
    default=1,
    show_default=True,
    type=click.IntRange(1, 1000),
    help="Number of seeds to run, one after the other.",
)
@click.option("--seconds", default=20.0, show_default=True, type=click.FloatRange(8.0, 600.0))
@click.option("--routers", default=6, show_default=True, type=click.IntRange(1, 20))
@click.option("--caches", default=6, show_default=True, type=click.IntRange(2, 20))
@click.option(
    "--rate",
    default=20.0,
    show_default=True,
    type=click.FloatRange(1.0, 100.0),
    help="Mean number of requests per second at each router.",
)
@click.option(
    "--keep",
    type=click.Path(path_type=Path),
    help="Keep the configurations and logs in this folder, by seed.",
)
def soak(
    seed: int, runs: int, seconds: float, routers: int, caches: int, rate: float, keep: Path | None
) -> None:
    """Run routers, caches and clients as real processes while clocks, system calls, peers and processes fail.

    Exits with 1 if any rule was violated, else with 3 if in any run a client sent a request more than 100 ms
    late, so that the run proves nothing.
    """
    from edge_router.fault_injection.harness import run_scenario
    from edge_router.fault_injection.oracle import find_violations
    from edge_router.fault_injection.scenario import draw_scenario

    violated = inconclusive = False
    for number in range(seed, seed + runs):
        scenario = draw_scenario(number, seconds, routers, caches, rate)
        observations = run_scenario(scenario, keep / str(number) if keep else None)
        violations = find_violations(observations, scenario)
        click.echo(f"seed {number}: {_summary(observations)}, {len(violations)} violations")
        for violation in violations:
            click.echo(f"  {violation.text()}")
        if violations:
            click.echo("\n".join(f"  {fault.text()}" for fault in scenario.faults))
        violated |= bool(violations)
        inconclusive |= observations.max_harness_delay > MAX_HARNESS_DELAY
    if violated:
        sys.exit(ExitStatus.VIOLATIONS)
    sys.exit(ExitStatus.INCONCLUSIVE if inconclusive else ExitStatus.PASSED)
