"""The system around the router misbehaves: clocks step, calls fail for a moment, nobody reads the log."""

from __future__ import annotations

import contextlib
import math
import queue
import struct
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from stand import SETTINGS, Client, Stand
from stonecove.soak.plan import Call, Fault


@pytest.fixture
def start() -> Iterator[Callable[..., Stand]]:
    """Starts routers that are ended with the test; none may log a bug."""
    running: list[Stand] = []

    def make(**what: Any) -> Stand:
        running.append(Stand(**what))
        return running[-1]

    yield make
    for stand in running:
        bugs = stand.lines("bug")
        stand.close()
        assert not bugs


def fetched(stand: Stand, client: Client, ident: int = 1, **what: Any) -> int:
    """The status of a request whose first attempt a cache fills and answers well."""
    client.send(ident, **what)
    stand.command().reply(body=b"good", tell="via_origin", waited=3)
    return client.answer().status


# -- the wall clock --


@pytest.mark.parametrize("step", [-3600.0, -1.5, 30.0, 3600.0])
def test_a_step_of_the_wall_clock_changes_no_answer(start: Callable[..., Stand], tmp_path: Path,
                                                    step: float) -> None:
    flag = tmp_path / "stepped"
    classes = [{**entry, "on_time": 400.0} for entry in SETTINGS["classes"]]
    stand = start(faults=[Fault(Call.CLOCK, step=step, flag=str(flag))], classes=classes)
    client = stand.client()
    assert fetched(stand, client) == 200
    flag.touch()
    for ident, path in enumerate(("/svc/image", "/svc/page", "/svc/page"), start=2):
        assert fetched(stand, client, ident, path=path) == 200
    client.send(9, X_TTL_MS="1000")
    limit = int(stand.command().fields["limit"])
    assert 500 < limit <= 1000
    assert client.answer().status == 503  # its time passes


@pytest.mark.parametrize("step", [-3600.0, 30.0, 3600.0])
def test_a_purge_told_after_a_step_is_heeded(start: Callable[..., Stand], tmp_path: Path,
                                             step: float) -> None:
    flag = tmp_path / "stepped"
    stand = start(faults=[Fault(Call.CLOCK, step=step, flag=str(flag))])
    client = stand.client()
    assert fetched(stand, client) == 200
    flag.touch()
    moment = int(time.time() * 1000)
    stand.log.tell(2, 4, struct.pack(">HQ", 17, moment))
    stand.log.tell(3, 2, stand.record(stand.caches[0], 0))
    stand.wait(lambda: len(stand.lines("node")) == 5, "the change after the purge")
    client.send(2)
    fetch = stand.command()
    assert time.time() * 1000 - int(fetch.fields["oldest"]) >= moment
    fetch.reply(body=b"old", born=moment - 1)
    stand.command().reply(body=b"new")
    assert client.answer().body == b"new"


def test_a_clock_that_was_wrong_at_the_start_is_found_out(start: Callable[..., Stand]) -> None:
    """Copies that the origin gave out just now show how far our clock is off."""
    stand = start(faults=[Fault(Call.CLOCK, step=3600.0, end=math.inf)])
    client = stand.client()

    def serve() -> None:
        with contextlib.suppress(queue.Empty, OSError):
            while True:
                stand.command().reply(body=b"good", tell="via_origin", waited=3)

    threading.Thread(target=serve, daemon=True).start()
    statuses = [client.ask(ident=ident, path="/svc/page", X_TTL_MS="2000").status for ident in range(1, 8)]
    assert statuses[2:] == [200] * 5
    assert len(stand.lines("peer-time-moved")) == 1
