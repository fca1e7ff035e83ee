"""Runs one scenario: starts all processes and clients, and injects the faults at their times."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

import trio

from edge_router.fault_injection.faults import FaultInjector
from edge_router.fault_injection.fleet import Fleet
from edge_router.fault_injection.observations import Observations
from edge_router.fault_injection.scenario import Scenario

SETTLING_TIME = 3.5  # seconds after the end of the traffic in which open requests may finish


async def _sleep_until(moment: float) -> None:
    """Sleeps until a time of the machine's monotonic clock, in seconds."""
    await trio.sleep(max(0.0, moment - time.monotonic()))


async def _run_scenario(fleet: Fleet) -> Observations:
    scenario, start = fleet.scenario, fleet.traffic_starts_at
    await fleet.start()
    await _sleep_until(start)
    fleet.start_clients()
    injector = FaultInjector(fleet)
    async with trio.open_nursery() as nursery:
        for fault in scenario.faults:
            await _sleep_until(start + fault.at)
            nursery.start_soon(injector.inject, fault)
    await _sleep_until(start + scenario.seconds + SETTLING_TIME)
    fleet.observations.routers_behind_change_log += [
        router.name for router in fleet.routers if not router.change_log.has_sent_all_events()
    ]
    async with trio.open_nursery() as nursery:
        for router in fleet.routers:
            nursery.start_soon(fleet.terminate_router, router)
    return fleet.observations


def run_scenario(scenario: Scenario, folder: Path | None = None) -> Observations:
    """Runs a scenario in real time and returns the observations.

    Logs and configurations are left in `folder`, if one is given.
    """

    async def run(path: Path) -> Observations:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(scenario, path, nursery)
            try:
                observations = await _run_scenario(fleet)
            finally:
                fleet.kill_all()
            nursery.cancel_scope.cancel()
        return observations

    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return trio.run(run, folder)
    with tempfile.TemporaryDirectory() as temporary:
        return trio.run(run, Path(temporary))
