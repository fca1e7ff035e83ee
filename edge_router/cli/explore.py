"""`edge-router explore`: runs the model checker, which plays every order of events within stated bounds.

It executes the router's own code, with simulated peers and time.
"""

from __future__ import annotations

import os
import sys
import time
from enum import IntEnum
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click

if TYPE_CHECKING:
    from edge_router.model_checker.results import Result
    from edge_router.model_checker.scope import Scope
    from edge_router.model_checker.trace import Trace

MAX_VIOLATIONS_SHOWN = 6  # per scope, each of another property


class ExitStatus(IntEnum):
    """Exit statuses of the commands."""

    NO_VIOLATIONS = 0
    VIOLATIONS = 1  # for `seeded`: a mutation was not found
    INVALID_INPUT = 2  # arguments are invalid, or a file can't be read


@click.group()
def explore() -> None:
    """Check the router's properties in every order of events within stated bounds.

    Exit status 0: no violation, 1: violations found, 2: invalid arguments or an unreadable file. The command
    `seeded` exits with 0 if all mutations were found, and with 1 if any was not.
    """


def _process_count(requested: int) -> int:
    return requested or min(8, len(os.sched_getaffinity(0)))


def _exit_invalid_input(message: str) -> NoReturn:
    click.echo(f"edge-router explore: {message}", err=True)
    sys.exit(ExitStatus.INVALID_INPUT)


def _summary_line(scope: str, result: Result) -> str:
    rate = result.states / result.seconds if result.seconds else 0.0
    return (
        f"scope={scope} states={result.states} transitions={result.transitions} depth={result.depth} "
        f"violations={len(result.found)} seconds={result.seconds:.1f} states_per_s={rate:.0f}"
    )


def _report_violations(
    scope_name: str, result: Result, scopes: tuple[Scope, ...], folder: Path | None
) -> None:
    """Prints the first violation of each property, for `MAX_VIOLATIONS_SHOWN` properties at most.

    Saves their traces in the folder if there is one; violations by the channel and the codecs have no trace.
    """
    from edge_router.model_checker.scope import named
    from edge_router.model_checker.trace import Trace, model_factory, shrink

    reported: set[str] = set()
    for found in result.found:
        if found.violation.property_name in reported or len(reported) >= MAX_VIOLATIONS_SHOWN:
            continue
        reported.add(found.violation.property_name)
        if scope_name in ("channel", "codecs"):
            click.echo(
                f"  {found.violation.property_name}: {found.violation.detail}: {' / '.join(found.steps)}"
            )
            continue
        scope = named(scopes, scope_name)
        steps = shrink(model_factory(scope), found.steps, found.violation.property_name)
        trace = Trace(scope, steps, found.violation.property_name, found.violation.detail)
        click.echo(trace.report())
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
            path = folder / f"{scope_name}-{found.violation.property_name}.json"
            path.write_text(trace.to_json())
            click.echo(f"  saved as {path}")


@explore.command("run")
@click.option(
    "--scope", "scope_name", default="small", show_default=True, help="small, full, or the name of one scope."
)
@click.option(
    "--processes", default=0, type=click.IntRange(0, 64), help="Worker processes; 0: one per core, at most 8."
)
@click.option(
    "--save",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Save the progress of each scope in FILE.<scope>, and continue from it if it exists.",
)
@click.option(
    "--save-every",
    default=20.0,
    show_default=True,
    type=click.FloatRange(0.0),
    help="Seconds between two saves of the progress.",
)
@click.option(
    "--traces",
    type=click.Path(path_type=Path, file_okay=False),
    help="Save counterexamples in this folder, except those of the connection and the codecs.",
)
@click.option(
    "--depth", type=click.IntRange(1, 60), help="Maximum number of steps; only with a single scope."
)
def run_command(
    scope_name: str,
    processes: int,
    save: Path | None,
    save_every: float,
    traces: Path | None,
    depth: int | None,
) -> None:
    """Explore all states of a scope or a set of scopes, then those of one connection, then the codecs.

    A scope is a set of requests, peers and faults, with a maximum number of steps. One that takes longer than
    400 s is ended and reported as incomplete.
    """
    from edge_router.model_checker.expander import WorkerPool
    from edge_router.model_checker.explorations import explore_all
    from edge_router.model_checker.frontier import SavedFrontierError
    from edge_router.model_checker.scope import SCOPES, named

    try:
        scopes = (
            SCOPES[scope_name]
            if scope_name in SCOPES
            else (named(SCOPES["small"] + SCOPES["full"], scope_name),)
        )
    except KeyError:
        names = ", ".join(scope.name for scope in SCOPES["full"])
        _exit_invalid_input(f"unknown scope {scope_name!r}; expected small, full or one of {names}")
    if depth is not None:
        if scope_name in SCOPES:
            _exit_invalid_input("--depth needs a single scope, not small or full")
        scopes = (scopes[0].with_bounds(depth=depth),)

    def report(name: str, result: Result) -> None:
        note = "" if result.complete else " (incomplete: stopped at the time limit)"
        click.echo(
            f"{name:10} {result.states:9} states {result.transitions:9} transitions "
            f"{result.seconds:6.1f} s  {len(result.found)} violations{note}"
        )
        _report_violations(name, result, scopes, traces)

    started_at = time.monotonic()
    try:
        with WorkerPool(_process_count(processes)) as workers:
            total = explore_all(scopes, workers, save, report, save_every)
    except SavedFrontierError as error:
        _exit_invalid_input(str(error))
    total.seconds = time.monotonic() - started_at
    click.echo(_summary_line(scope_name, total))
    sys.exit(ExitStatus.VIOLATIONS if total.found else ExitStatus.NO_VIOLATIONS)


@explore.command("seeded")
@click.option("--only", multiple=True, help="Name of a mutation; may be repeated. [default: all]")
@click.option(
    "--processes", default=0, type=click.IntRange(0, 64), help="Worker processes; 0: one per core, at most 8."
)
def seeded_command(only: tuple[str, ...], processes: int) -> None:
    """Plant each mutation in the router's code, and print which property it violates.

    Exits with 1 if any mutation was not found.
    """
    from edge_router.model_checker.explorations import search_mutations
    from edge_router.model_checker.mutations import MUTATIONS

    names = [mutation.name for mutation in MUTATIONS]
    if unknown := [name for name in only if name not in names]:
        _exit_invalid_input(f"unknown mutation {unknown[0]!r}")
    started_at = time.monotonic()
    results = search_mutations(list(only) or names, _process_count(processes))
    from rich.console import Console
    from rich.table import Table

    table = Table("mutation", "found by", "scope", "states", "steps", "seconds")
    for result in results:
        found_by = (
            result.found.violation.property_name
            if result.found
            else f"crash: {result.crash}"
            if result.crash
            else "nothing"
        )
        table.add_row(
            result.name,
            found_by,
            result.scope_name or "-",
            str(result.states),
            str(len(result.found.steps)) if result.found else "-",
            f"{result.seconds:.1f}",
        )
    Console(width=120).print(table)
    missed = [result.name for result in results if result.found is None]
    click.echo(
        f"seeded={len(results)} found={len(results) - len(missed)} "
        f"seconds={time.monotonic() - started_at:.1f}"
    )
    sys.exit(ExitStatus.VIOLATIONS if missed else ExitStatus.NO_VIOLATIONS)


@explore.command("walk")
@click.option("--walks", default=16, show_default=True, type=click.IntRange(1, 100_000))
@click.option(
    "--steps",
    default=3000,
    show_default=True,
    type=click.IntRange(10, 1_000_000),
    help="Maximum number of steps in each walk.",
)
@click.option(
    "--seed",
    default=1,
    show_default=True,
    type=int,
    help="Random seed of the first walk; each further walk uses the next number.",
)
@click.option(
    "--processes", default=0, type=click.IntRange(0, 64), help="Worker processes; 0: one per core, at most 8."
)
@click.option(
    "--traces", type=click.Path(path_type=Path, file_okay=False), help="Save counterexamples in this folder."
)
def walk_command(walks: int, steps: int, seed: int, processes: int, traces: Path | None) -> None:
    """Run random walks beyond the bounds of the scopes; the same seeds give the same walks."""
    from edge_router.model_checker.explorations import random_walks_in_parallel
    from edge_router.model_checker.results import Result
    from edge_router.model_checker.scope import WALK

    started_at = time.monotonic()
    totals = random_walks_in_parallel(seed, walks, steps, _process_count(processes))
    _report_violations(WALK.name, Result(found=totals.found), (WALK,), traces)
    click.echo(
        f"walks={totals.walks} steps={totals.steps} kinds={len(totals.step_counts)} "
        f"violations={len(totals.found)} seconds={time.monotonic() - started_at:.1f}"
    )
    sys.exit(ExitStatus.VIOLATIONS if totals.found else ExitStatus.NO_VIOLATIONS)


def _read_trace(path: Path) -> Trace:
    from edge_router.model_checker.trace import Trace

    try:
        return Trace.read(path)
    except (OSError, ValueError) as error:
        _exit_invalid_input(f"{path}: {error}")


@explore.command("replay")
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option(
    "--chart",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Draw the trace to this .svg or .png file.",
)
def replay_command(file: Path, chart: Path | None) -> None:
    """Replay a saved trace and print its steps. Exits with 1 if they still violate the property."""
    trace = _read_trace(file)
    _, violations = trace.replay()
    click.echo(trace.report())
    if chart is not None:
        from edge_router.model_checker.chart import draw

        if chart.suffix not in (".svg", ".png"):
            _exit_invalid_input(f"{chart}: the file name of a chart must end in .svg or .png")
        draw(trace, chart)
        click.echo(f"chart written to {chart}")
    sys.exit(ExitStatus.VIOLATIONS if violations else ExitStatus.NO_VIOLATIONS)


@explore.command("report")
@click.option(
    "--lines/--no-lines", default=True, help="List the lines that were not executed, with the reason."
)
@click.option(
    "--depth",
    default=5,
    show_default=True,
    type=click.IntRange(1, 12),
    help="Maximum number of steps in each scope of the small set.",
)
def report_command(lines: bool, depth: int) -> None:
    """Print the properties, the hard cases, and how much of the router's core an exploration executes."""
    from edge_router.model_checker.reach import report

    for line in report(depth, lines):
        click.echo(line)
