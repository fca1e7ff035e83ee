"""Races on real sockets: what crosses is forced to, by events, paused peers and connections held back."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from stand import PATIENCE, SETTINGS, Client, Hanging, Stand, record

TIME_WAIT = "06"


@pytest.fixture
def start() -> Iterator[Callable[..., Stand]]:
    """Starts routers that are ended with the test."""
    running: list[Stand] = []

    def make(**what: Any) -> Stand:
        running.append(Stand(**what))
        return running[-1]

    yield make
    for stand in running:
        bugs = stand.lines("bug")
        stand.close()
        assert not bugs


def limits(**changes: Any) -> dict[str, Any]:
    return {**SETTINGS["limits"], **changes}


def settle(client: Client) -> None:
    """Returns once what was sent before has been decided: each round takes the router a turn of its loop."""
    for _ in range(5):
        assert client.ask(ident=9, path="/status/live").status == 200


def connections_to(hanging: Hanging) -> int:
    """How many connections the router has under way there; two more are the fillers."""
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return sum(int(row[2].split(":")[1], 16) == hanging.port and row[3] != TIME_WAIT for row in rows) - 2


# -- clients that leave --


def test_what_waits_for_a_connection_is_not_sent_once_the_client_left(start: Callable[..., Stand]) -> None:
    """Also where nothing may be cancelled: what was never sent needs no cancelling."""
    stand = start(limits=limits(connect_timeout=28_000.0, conn_idle=600_000.0, cancel=False))
    hanging, (slow, other) = Hanging(), stand.caches
    stand.log.tell(2, 2, stand.record(slow, 0, port=hanging.port) + stand.record(other, 1))
    stand.wait(lambda: len(stand.lines("node")) == 6, "the change")
    left, stays = stand.client(), stand.client()
    left.send(1, X_TXN="00000000000000aa", X_TTL_MS="30000")
    settle(left)
    left.sock.sendall(record(2, 1))
    assert left.answer()[:2] == (1, 0)
    stays.send(1, X_TXN="00000000000000bb", X_TTL_MS="30000")
    settle(stays)
    assert connections_to(hanging) == 1  # the second request goes by the connection that the first gave up
    asked = hanging.open().recv(1000)
    assert b"00000000000000bb" in asked and b"00000000000000aa" not in asked
    hanging.close()


def test_a_waiting_repeat_is_not_sent_after_its_window(start: Callable[..., Stand]) -> None:
    window = 700.0
    classes = [{**cls, "effect": "token", "group": "all", "window": window} for cls in SETTINGS["classes"]]
    stand = start(classes=classes, limits=limits(connect_timeout=28_000.0, conn_idle=600_000.0))
    client, probe = stand.client(), stand.client()
    client.send(X_TXN_KEY="k1", X_TTL_MS="30000")
    first = stand.command()
    sent = time.monotonic()
    hanging, other = Hanging(), next(cache for cache in stand.caches if cache is not first.cache)
    stand.log.tell(2, 2, stand.record(other, 0, port=hanging.port))
    stand.wait(lambda: len(stand.lines("node")) == 5, "the change")
    first.reply("500")
    settle(probe)
    assert connections_to(hanging) == 1  # the repeat was ordered within its window
    while time.monotonic() < sent + window / 1000.0:
        time.sleep(0.05)
    sock = hanging.open()
    assert client.answer().status == 503
    sock.settimeout(PATIENCE)
    stand.process.send_signal(signal.SIGTERM)
    assert sock.recv(1000) == b""  # not a byte went out until the router ended
    hanging.close()
