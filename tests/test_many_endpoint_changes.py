"""Many changes of the endpoint list, as in a large fleet, must not keep requests waiting."""

from __future__ import annotations

import struct
from typing import Any

import pytest
import trio
from conftest import CACHES, ORIGIN, PARENTS, PolicyHarness
from fake_change_log import HEARTBEAT

from edge_router.decision.messages import Endpoint, EndpointListUpdate, EndpointState, UpdateKind
from edge_router.discovery.change_log_watcher import FRAMES_PER_TURN, ChangeLogWatcher

OTHER_ZONE = 2
HEARTBEAT_FRAME = struct.pack(">IQB", 9, 0, HEARTBEAT)


# Guards against a cost of each change that grows with the fleet, also for caches that the router never uses.
@pytest.mark.parametrize("state", EndpointState)
def test_change_of_a_cache_in_another_zone_rebuilds_no_ranking(
    policy: PolicyHarness, state: EndpointState
) -> None:
    directory = policy.routing_policy.directory
    before = directory.caches, directory.parents, directory.origins
    other = Endpoint(99, 0, 0.0, state, 0, OTHER_ZONE, 1.0)
    policy.handle(EndpointListUpdate(UpdateKind.DELTA, (other,)))
    assert all(
        new is old
        for new, old in zip((directory.caches, directory.parents, directory.origins), before, strict=True)
    )
    assert (99 in directory.endpoints) is (state is not EndpointState.GONE)


# Guards against lists that miss a change, since only changes of endpoints in them are looked at.
@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
@pytest.mark.parametrize("endpoint_id", [CACHES[0], PARENTS[0], ORIGIN])
def test_endpoint_that_leaves_a_list_and_returns_is_selected_again(
    policy: PolicyHarness, endpoint_id: int, state: EndpointState
) -> None:
    directory = policy.routing_policy.directory

    def selected() -> set[int]:
        return {*directory.caches.endpoints, *directory.parents.endpoints, *directory.origins}

    everything = selected()
    policy.update_endpoint(endpoint_id, state=state)
    assert selected() == everything - {endpoint_id}
    policy.update_endpoint(endpoint_id)
    assert selected() == everything


# Guards against requests that wait while the router processes all changes that arrived in one read.
def test_other_tasks_run_between_the_frames_of_one_read() -> None:
    turns, turns_at_frame = 0, []
    frames = 4 * FRAMES_PER_TURN

    class Decoder:
        last_sequence = 0

        def process(self, frame: Any, listener: Any) -> bool:
            """Records how often the other task has run."""
            turns_at_frame.append(turns)
            return True

    async def run() -> None:
        nonlocal turns
        listener: Any = None
        watcher = ChangeLogWatcher("127.0.0.1", 1, 0, 0)
        watcher._decoder = Decoder()  # type: ignore[assignment]
        ours, theirs = trio.socket.socketpair()
        with ours, theirs:
            await theirs.send(HEARTBEAT_FRAME * frames)
            theirs.shutdown(trio.socket.SHUT_WR)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watcher._process_frames, ours, listener)
                while len(turns_at_frame) < frames:
                    turns += 1
                    await trio.lowlevel.checkpoint()

    trio.run(run)
    assert turns_at_frame[-1] - turns_at_frame[0] >= frames // FRAMES_PER_TURN - 1
