"""The translation of Unix times of peers: which evidence adjusts the offset of their clocks."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import set_sink
from edge_router.runtime.peer_clock import PeerClock

START = 1_000_000.0  # seconds; monotonic time equals Unix time at first, so that the two clocks agree


class Machine:
    """A local clock whose monotonic and wall time the test sets, in seconds."""

    def __init__(self) -> None:
        self.monotonic, self.wall_ahead = START, 0.0
        self.clock = Clock(lambda: self.monotonic, lambda: self.monotonic + self.wall_ahead)
        self.peers = PeerClock(self.clock)

    def receive_copy(self, age: float, peers_ahead: float = 0.0, round_trip: float = 0.02) -> None:
        """Receives a copy that the origin served `age` seconds before the response (peers' clock)."""
        sent = self.clock.now()
        self.monotonic += round_trip
        received = self.clock.now()
        self.peers.observe_copy(received + (peers_ahead - age) * 1000.0, sent, received)
        self.monotonic += 0.3

    def offset(self) -> float:
        """Returns the estimated seconds by which the peers' clock is ahead of the local one."""
        return (self.clock.now() - self.peers.to_local(self.clock.now())) / 1000.0


@pytest.fixture
def machine() -> Machine:
    return Machine()


@pytest.fixture(autouse=True)
def discard_log() -> Iterator[None]:
    set_sink(lambda _event, _fields: None)
    yield
    set_sink(None)


def test_copies_older_than_their_attempt_do_not_move_the_peer_clock(machine: Machine) -> None:
    """A parent may have fetched them from the origin earlier, for another request."""
    for _ in range(5):
        machine.receive_copy(1.4)
    assert machine.offset() == 0.0
    for age in (0.01, 1.4, 1.4, 1.4, 1.4, 0.01, 3.0, 1.4, 1.4, 1.4, 1.4, 1.4):
        machine.receive_copy(age)
        assert machine.offset() == 0.0


@pytest.mark.parametrize("peers_ahead", [-3600.0, -1.5, 30.0, 3600.0])
def test_clock_offset_is_learned_from_the_freshest_copies(machine: Machine, peers_ahead: float) -> None:
    for number in range(40):
        machine.receive_copy((0.01, 1.4, 0.6)[number % 3], peers_ahead)
    assert machine.offset() == pytest.approx(peers_ahead, abs=0.05)


def test_first_copy_that_agrees_with_the_corrected_wall_clock_sets_the_offset(machine: Machine) -> None:
    """The local clock was an hour ahead when the router started, and is corrected soon afterwards.

    One copy whose time agrees with the corrected clock is sufficient evidence.
    """
    machine.wall_ahead = -3600.0
    assert machine.offset() == 0.0
    machine.receive_copy(0.01, -3600.0)
    assert machine.offset() == pytest.approx(-3600.0, abs=0.05)


def test_event_from_the_future_adjusts_the_offset_unless_implausible(machine: Machine) -> None:
    machine.peers.observe_event(machine.clock.now() + 5000.0)
    assert machine.offset() == pytest.approx(5.0)
    machine.peers.observe_event(2.0**63)
    assert machine.offset() == pytest.approx(5.0)
