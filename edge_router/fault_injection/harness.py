"""Plays one scenario: starts all processes, lets clients ask, and carries out the troubles in time."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

import trio

from edge_router.fault_injection.fleet import Fleet
from edge_router.fault_injection.observations import Observations
from edge_router.fault_injection.scenario import Scenario
from edge_router.fault_injection.troubles import Troubles

SETTLE = 3.5  # seconds after the last request for what is still open


async def _play(fleet: Fleet) -> Observations:
    """The whole run; returns what was seen."""
    scenario, start = fleet.scenario, fleet.start
    await fleet.boot()
    await trio.sleep(max(0.0, start - time.monotonic()))
    fleet.start_clients()
    troubles = Troubles(fleet)
    async with trio.open_nursery() as nursery:
        for step in scenario.steps:
            await trio.sleep(max(0.0, start + step.at - time.monotonic()))
            nursery.start_soon(troubles.play, step)
    await trio.sleep(max(0.0, start + scenario.seconds + SETTLE - time.monotonic()))
    fleet.seen.not_following += [seat.name for seat in fleet.routers if not seat.log.followed()]
    async with trio.open_nursery() as stops:
        for seat in fleet.routers:
            stops.start_soon(fleet.terminate, seat)
    return fleet.seen


def play(scenario: Scenario, folder: Path | None = None) -> Observations:
    """Plays a scenario in real time; logs and configurations are left in `folder`, if one is given."""

    async def run(path: Path) -> Observations:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(scenario, path, nursery)
            try:
                seen = await _play(fleet)
            finally:
                fleet.kill_all()
            nursery.cancel_scope.cancel()
        return seen

    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return trio.run(run, folder)
    with tempfile.TemporaryDirectory() as temporary:
        return trio.run(run, Path(temporary))
