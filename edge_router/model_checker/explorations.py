"""Runs whole explorations: scopes, one connection, the codecs, random walks, and the search for mutations."""

from __future__ import annotations

import multiprocessing
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from edge_router.model_checker import codecs, mutations
from edge_router.model_checker.channels import ChannelMachine
from edge_router.model_checker.expander import Setup, WorkerPool
from edge_router.model_checker.machine import Machine
from edge_router.model_checker.results import Found, MachineFactory, Result
from edge_router.model_checker.scope import SMALL, WALK, Scope, named
from edge_router.model_checker.search import Options, Progress, breadth_first
from edge_router.model_checker.trace import Trace, model_factory, shrink
from edge_router.model_checker.walk import Walks, walk

CHANNEL_DEPTH = 14  # steps
MAX_SECONDS_PER_SCOPE = 400.0  # a scope that takes longer is ended and reported as incomplete
DEFAULT_OPTIONS = Options()
CODECS, CHANNEL = "codecs", "channel"  # names that stand for the two smaller checks in place of a scope


def channel_factory(mutation: str = "") -> MachineFactory:
    """Returns the factory of the channel machine, and plants the mutation in this process."""
    mutations.plant(mutation)

    def factory() -> Machine:
        return ChannelMachine()

    return factory


def explore(
    scope: Scope,
    workers: WorkerPool,
    options: Options = DEFAULT_OPTIONS,
    mutation: str = "",
    progress: Progress | None = None,
) -> Result:
    """Explores all states of a scope."""
    setup = Setup(model_factory, (scope, mutation), scope.depth, options.reduce, options.copying)
    return breadth_first(workers, setup, options, f"{scope}/{mutation}", progress)


def explore_all(
    scopes: tuple[Scope, ...],
    workers: WorkerPool,
    save: Path | None = None,
    report: Callable[[str, Result], None] | None = None,
    save_every: float = 20.0,
) -> Result:
    """Explores scopes one after the other, then one connection and the codecs.

    With `save`, the frontier of each scope is saved every `save_every` seconds in the file `<save>.<scope>`,
    from which a later run continues. `report` is called with the name and the result of each scope.
    """
    total = Result()

    def done(name: str, result: Result) -> None:
        total.add(result)
        if report:
            report(name, result)

    for scope in scopes:
        path = save.with_name(f"{save.name}.{scope.name}") if save else None
        options = Options(max_seconds=MAX_SECONDS_PER_SCOPE, save=path, save_every=save_every)
        done(scope.name, explore(scope, workers, options))
    done(CHANNEL, explore_channel(workers))
    done(CODECS, explore_codecs())
    return total


def explore_channel(workers: WorkerPool, mutation: str = "", stop_at_first: bool = False) -> Result:
    """Explores one connection with the channel machine."""
    setup = Setup(channel_factory, (mutation,), CHANNEL_DEPTH)
    return breadth_first(workers, setup, Options(stop_at_first=stop_at_first))


def explore_codecs(mutation: str = "", short: bool = True) -> Result:
    """Checks the decoders; in the result, a stream counts as a state, and a split as a transition."""
    began = time.monotonic()
    mutations.plant(mutation)
    try:
        checked = codecs.check(short)
    finally:
        mutations.plant("")
    return Result(
        states=checked.streams,
        transitions=checked.splits,
        seconds=time.monotonic() - began,
        found=checked.found,
    )


@dataclass(frozen=True)
class MutationResult:
    """Whether a mutation was found, and in which scope."""

    name: str
    breaks: str  # the property that it is expected to violate
    scope_name: str = ""  # the scope that found it; empty if none did
    found: Found | None = None
    states: int = 0  # explored until it was found, in all scopes that were searched
    seconds: float = 0.0
    crash: str = ""  # the exception that ended the search; empty if none did

    def trace(self) -> Trace | None:
        """Returns the counterexample; None if there is none or if it is not one of the router model."""
        if self.found is None or self.scope_name in (CODECS, CHANNEL):
            return None
        violation = self.found.violation
        return Trace(
            named(SMALL, self.scope_name),
            self.found.steps,
            violation.property_name,
            violation.detail,
            self.name,
        )


def search_mutation(name: str) -> MutationResult:
    """Searches the scopes of one mutation in this process until it is found, then restores the code."""
    mutation = mutations.by_name(name)
    began, states = time.monotonic(), 0
    scope_name, found, crash = "", None, ""
    try:
        with WorkerPool(1) as workers:
            for scope in mutation.scopes:
                result = _explore_mutated(scope, name, workers)
                states += result.states
                if result.found:
                    scope_name, found = scope, _expected_or_first(result.found, mutation.breaks)
                    break
    except Exception as error:
        crash = repr(error)
    finally:
        mutations.plant("")
    return MutationResult(name, mutation.breaks, scope_name, found, states, time.monotonic() - began, crash)


def _explore_mutated(scope: str, mutation: str, workers: WorkerPool) -> Result:
    if scope == CODECS:
        return explore_codecs(mutation)
    if scope == CHANNEL:
        return explore_channel(workers, mutation, stop_at_first=True)
    return explore(named(SMALL, scope), workers, Options(stop_at_first=True), mutation)


def _expected_or_first(found: list[Found], property_name: str) -> Found:
    return next(
        (candidate for candidate in found if candidate.violation.property_name == property_name), found[0]
    )


def search_mutations(names: list[str], processes: int) -> list[MutationResult]:
    """Searches several mutations, each in one process of a pool; returns the results in their order."""
    if processes == 1:
        return list(map(search_mutation, names))
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        return pool.map(search_mutation, names, chunksize=1)


def random_walks(first_seed: int, count: int, steps: int, scope: Scope = WALK, mutation: str = "") -> Walks:
    """Walks with `count` seeds from `first_seed` on, until the first violation, whose trace is shortened."""
    walks = Walks()
    factory = model_factory(scope, mutation)
    try:
        for seed in range(first_seed, first_seed + count):
            walk(factory, seed, steps, walks)
            if walks.found:
                found = walks.found[0]
                walks.found[0] = Found(
                    shrink(factory, found.steps, found.violation.property_name), found.violation
                )
                break
    finally:
        mutations.plant("")
    return walks


def random_walks_in_parallel(first_seed: int, count: int, steps: int, processes: int) -> Walks:
    """Walks in several processes; the walks are the same for any number of processes."""
    spans = [(seed, 1, steps) for seed in range(first_seed, first_seed + count)]
    total = Walks()
    if processes == 1:
        parts = [random_walks(*span) for span in spans]
    else:
        with multiprocessing.get_context("spawn").Pool(processes) as pool:
            parts = pool.starmap(random_walks, spans, chunksize=1)
    for part in parts:
        total.add(part)
    return total
