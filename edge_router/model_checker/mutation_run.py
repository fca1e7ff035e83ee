"""Runs whole explorations: scopes, the two smaller machines, random walks, and the search for mutations."""

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

CHANNEL_DEPTH = 14
MOST_SECONDS_PER_SCOPE = 400.0  # then a scope is given up, and reported as incomplete
DEFAULT_OPTIONS = Options()
CODECS, CHANNEL = "codecs", "channel"  # the smaller machines, where a scope may be named


def channel_factory(mutation: str = "") -> MachineFactory:
    """The factory of the machine of one connection; plants the mutation in this process."""
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
    """Explores scopes one after the other, then the two smaller machines.

    With `save`, each scope's frontier is saved in a file of that name and the scope's, from which a later
    run continues. `report` is called with the name and the result of each scope.
    """
    total = Result()

    def done(name: str, result: Result) -> None:
        total.add(result)
        if report:
            report(name, result)

    for scope in scopes:
        path = save.with_name(f"{save.name}.{scope.name}") if save else None
        options = Options(max_seconds=MOST_SECONDS_PER_SCOPE, save=path, save_every=save_every)
        done(scope.name, explore(scope, workers, options))
    done(CHANNEL, explore_channel(workers))
    done(CODECS, explore_codecs())
    return total


def explore_channel(workers: WorkerPool, mutation: str = "", stop_at_first: bool = False) -> Result:
    """Explores the life of one connection."""
    setup = Setup(channel_factory, (mutation,), CHANNEL_DEPTH)
    return breadth_first(workers, setup, Options(stop_at_first=stop_at_first))


def explore_codecs(mutation: str = "", short: bool = True) -> Result:
    """Splits the streams of both codecs in all ways; a stream counts as a state, a split as a transition."""
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


# -- mutations --


@dataclass(frozen=True)
class MutationResult:
    """Whether a mutation was found, and where."""

    name: str
    breaks: str  # the property that it was expected to violate
    where: str = ""  # the scope that found it; empty if none did
    found: Found | None = None
    states: int = 0  # until then, over all scopes that were tried
    seconds: float = 0.0
    crash: str = ""

    def trace(self) -> Trace | None:
        """The counterexample, if it is one of the router model."""
        if self.found is None or self.where in (CODECS, CHANNEL):
            return None
        violation = self.found.violation
        return Trace(
            named(SMALL, self.where), self.found.steps, violation.property_name, violation.detail, self.name
        )


def search_mutation(name: str) -> MutationResult:
    """Searches the scopes of one mutation in this process, and restores the code afterwards."""
    mutation = mutations.by_name(name)
    began, states = time.monotonic(), 0
    where, found, crash = "", None, ""
    try:
        with WorkerPool(1) as workers:
            for scope in mutation.scopes:
                result = _explore_mutated(scope, name, workers)
                states += result.states
                if result.found:
                    where, found = scope, _expected_or_first(result.found, mutation.breaks)
                    break
    except Exception as error:
        crash = repr(error)
    finally:
        mutations.plant("")
    return MutationResult(name, mutation.breaks, where, found, states, time.monotonic() - began, crash)


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
    """Searches several mutations, each in one process of a pool; in the order of the names."""
    if processes == 1:
        return list(map(search_mutation, names))
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        return pool.map(search_mutation, names, chunksize=1)


# -- random walks --


def random_walks(first_seed: int, count: int, steps: int, scope: Scope = WALK, mutation: str = "") -> Walks:
    """Walks with the random seeds from `first_seed` on; stops at the first violation, with a short trace."""
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
    """Walks on several processes; the same walks for any number of them."""
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
