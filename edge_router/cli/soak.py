"""`edge-router soak`: plays randomized faults around real router processes and judges what was seen."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

import click

MOST_LATENESS = 0.1  # seconds; a run in which the clients ran later than this proves nothing


@click.command()
@click.option("--seed", default=1, show_default=True, help="The first seed; it fixes settings and faults.")
@click.option(
    "--runs",
    default=1,
    show_default=True,
    type=click.IntRange(1, 1000),
    help="How many seeds are played, one after the other.",
)
@click.option("--seconds", default=20.0, show_default=True, type=click.FloatRange(8.0, 600.0))
@click.option("--routers", default=6, show_default=True, type=click.IntRange(1, 20))
@click.option("--caches", default=6, show_default=True, type=click.IntRange(2, 20))
@click.option(
    "--rate",
    default=20.0,
    show_default=True,
    type=click.FloatRange(1.0, 100.0),
    help="Requests a second at each router, in the mean.",
)
@click.option(
    "--keep",
    type=click.Path(path_type=Path),
    help="A folder in which configurations and logs are left, by seed.",
)
def soak(
    seed: int, runs: int, seconds: float, routers: int, caches: int, rate: float, keep: Path | None
) -> None:
    """Play routers, caches and clients as real processes while clocks, calls, peers and processes fail.

    Exits with 1 if any rule was broken, with 3 if a run was too late to prove anything.
    """
    from edge_router.fault_injection.harness import play
    from edge_router.fault_injection.oracle import judge
    from edge_router.fault_injection.scenario import draw

    broken = late = False
    for number in range(seed, seed + runs):
        scenario = draw(number, seconds, routers, caches, rate)
        seen = play(scenario, keep / str(number) if keep else None)
        violations = judge(seen, scenario)
        statuses = dict(sorted(Counter(asked.status for asked in seen.asked).items()))
        click.echo(
            f"seed {number}: {len(seen.asked)} requests, by status {statuses}, "
            f"{len(seen.begun)} attempts, {len(seen.lives)} router lives, "
            f"late {seen.lateness * 1000:.0f} ms, {len(violations)} violations"
        )
        for violation in violations:
            click.echo(f"  {violation.text()}")
        if violations:
            click.echo("\n".join(f"  {step.text()}" for step in scenario.steps))
        broken |= bool(violations)
        late |= seen.lateness > MOST_LATENESS
    sys.exit(1 if broken else 3 if late else 0)
