"""The system around the router misbehaves: clocks step, calls fail for a moment, nobody reads the log."""

from __future__ import annotations

import contextlib
import json
import math
import os
import queue
import signal
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from stand import PATIENCE, SETTINGS, Client, Stand
from stonecove.soak.system_call_faults import SystemCall, SystemCallFault


def fetched(stand: Stand, client: Client, ident: int = 1, **what: Any) -> int:
    """The status of a request whose first attempt a cache fills and answers well."""
    client.send(ident, **what)
    stand.command().reply(body=b"good", tell="via_origin", waited=3)
    return client.answer().status


# -- the wall clock --


@pytest.mark.parametrize("step", [-3600.0, -1.5, 30.0, 3600.0])
def test_a_step_of_the_wall_clock_changes_no_answer(
    start: Callable[..., Stand], tmp_path: Path, step: float
) -> None:
    flag = tmp_path / "stepped"
    classes = [{**entry, "on_time": 400.0} for entry in SETTINGS["classes"]]
    stand = start(faults=[SystemCallFault(SystemCall.CLOCK, step=step, flag=str(flag))], classes=classes)
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
def test_a_purge_told_after_a_step_is_heeded(
    start: Callable[..., Stand], tmp_path: Path, step: float
) -> None:
    flag = tmp_path / "stepped"
    stand = start(faults=[SystemCallFault(SystemCall.CLOCK, step=step, flag=str(flag))])
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
    stand = start(faults=[SystemCallFault(SystemCall.CLOCK, step=3600.0, end=math.inf)])
    client = stand.client()

    def serve() -> None:
        with contextlib.suppress(queue.Empty, OSError):
            while True:
                stand.command().reply(body=b"good", tell="via_origin", waited=3)

    threading.Thread(target=serve, daemon=True).start()
    statuses = [client.ask(ident=ident, path="/svc/page", X_TTL_MS="2000").status for ident in range(1, 8)]
    assert statuses[2:] == [200] * 5
    assert len(stand.lines("peer-time-moved")) == 1


# -- calls that fail for a moment --


def serves_after(stand: Stand, until: float) -> None:
    """Checks that the router lives on, and serves on old and new connections once the trouble is over."""
    client = stand.client()
    assert fetched(stand, client) == 200
    time.sleep(max(0.0, until - time.monotonic()))
    assert stand.process.poll() is None
    assert fetched(stand, client, 2) == 200
    assert fetched(stand, stand.client()) == 200


@pytest.mark.parametrize("error", ["EMFILE", "ENFILE", "EIO"])
def test_statistics_that_cannot_be_read_end_nothing(start: Callable[..., Stand], error: str) -> None:
    """The span includes the writing of a statistics line."""
    now = time.monotonic()
    serves_after(start(faults=[SystemCallFault(SystemCall.OPEN, error, now + 2.0, now + 7.5)]), now + 7.7)


@pytest.mark.parametrize(
    "call, error",
    [
        (SystemCall.SOCKET, "ENFILE"),
        (SystemCall.ACCEPT, "ECONNABORTED"),
        (SystemCall.ACCEPT, "ENOBUFS"),
        (SystemCall.ACCEPT, "EPROTO"),
        (SystemCall.CONNECT, "ENOBUFS"),
        (SystemCall.CONNECT, "EADDRNOTAVAIL"),
    ],
)
def test_calls_that_fail_for_a_moment_end_nothing(
    start: Callable[..., Stand], call: SystemCall, error: str
) -> None:
    now = time.monotonic()
    serves_after(start(faults=[SystemCallFault(call, error, now + 1.5, now + 2.0)]), now + 2.2)


# -- the log --


def test_a_log_that_nobody_reads_stops_nothing(start: Callable[..., Stand]) -> None:
    stand = start()
    stand.process.send_signal(signal.SIGKILL)
    stand.process.wait()
    path = Path(stand.folder.name, "config.json")
    reader, writer = os.pipe()
    process = subprocess.Popen(
        [sys.executable, "-m", "stonecove"], stderr=writer, env={**os.environ, "RELAY_CONFIG": str(path)}
    )
    os.close(writer)
    try:
        stand.wait(stand.live, "the router is ready")
        client = stand.client()
        client.sock.settimeout(PATIENCE)
        for _ in range(2000):  # as many lines as no pipe holds
            process.send_signal(signal.SIGHUP)
            assert client.ask(path="/status/live").status == 200
        assert fetched(stand, client) == 200
        process.send_signal(signal.SIGTERM)
        assert process.wait(PATIENCE) == 0
    finally:
        process.kill()
        process.wait()
        os.close(reader)


def test_a_reload_whose_file_cannot_be_opened_for_a_moment_is_made_up_for(
    start: Callable[..., Stand], tmp_path: Path
) -> None:
    flag = tmp_path / "no-descriptors"
    stand = start(faults=[SystemCallFault(SystemCall.OPEN, "EMFILE", path="config.json", flag=str(flag))])
    flag.touch()
    changed = {**stand.config, "limits": {**stand.config["limits"], "sockets": 99}}
    stand.reload(json.dumps(changed))
    stand.wait(lambda: stand.lines("reload-refused"), "the failure")
    flag.unlink()
    stand.wait(lambda: stand.lines("reloaded"), "the reload")
    assert "sockets=99" in stand.lines("reloaded")[0]


# -- the stop and the start --


def test_a_connection_that_was_aborted_takes_no_other_along_at_the_stop(
    start: Callable[..., Stand], tmp_path: Path
) -> None:
    flag = tmp_path / "aborted"
    stand = start(
        sockets=16, faults=[SystemCallFault(SystemCall.ACCEPT, "ECONNABORTED", flag=str(flag), chance=0.7)]
    )
    held = [stand.client() for _ in range(8)]  # all places
    for client in held:
        client.send(path="/svc/confirm", X_TTL_MS="60000")
    for _ in held:
        stand.command()
    late = [stand.client() for _ in range(4)]
    for client in late:
        client.send()
    flag.touch()
    stand.process.send_signal(signal.SIGTERM)
    assert {client.answer().status for client in late} == {503}
    assert {client.answer().status for client in held} == {502}
    assert stand.process.wait(PATIENCE) == 0


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
def test_a_signal_during_the_stop_cuts_nothing_short(
    start: Callable[..., Stand], number: signal.Signals
) -> None:
    stand = start()
    client = stand.client()
    client.send()
    fetch = stand.command()
    stand.process.send_signal(signal.SIGTERM)
    stand.wait(lambda: stand.lines("stopping"), "the stop")
    for _ in range(3):
        stand.process.send_signal(number)
        time.sleep(0.05)
    fetch.reply(body=b"whole")
    assert client.answer().body == b"whole"
    assert stand.process.wait(PATIENCE) == 0
    assert stand.lines("stopped")


@pytest.mark.parametrize(
    "call, error, path",
    [
        (SystemCall.SOCKET, "ENFILE", ""),
        (SystemCall.OPEN, "EMFILE", "config.json"),
        (SystemCall.OPEN, "EIO", "config.json"),
    ],
)
def test_a_call_that_fails_at_the_start_is_made_again(
    start: Callable[..., Stand], call: SystemCall, error: str, path: str
) -> None:
    now = time.monotonic()
    stand = start(faults=[SystemCallFault(call, error, now, now + 1.0, path=path)])
    assert fetched(stand, stand.client()) == 200
    assert stand.lines("start-delayed")


# -- connections of our own --


@pytest.mark.parametrize(
    "call, error",
    [
        (SystemCall.SOCKET, "ENFILE"),
        (SystemCall.SOCKET, "ENOBUFS"),
        (SystemCall.CONNECT, "EADDRNOTAVAIL"),
        (SystemCall.CONNECT, "ENETUNREACH"),
        (SystemCall.CONNECT, "ENOBUFS"),
    ],
)
def test_a_lack_of_our_own_is_waited_out_and_blames_no_cache(
    start: Callable[..., Stand], tmp_path: Path, call: SystemCall, error: str
) -> None:
    flag = tmp_path / "lacking"
    stand = start(faults=[SystemCallFault(call, error, flag=str(flag))])
    client = stand.client()
    assert client.ask(path="/status/live").status == 200
    flag.touch()
    client.send()
    time.sleep(0.15)  # less than a connection may take
    flag.unlink()
    stand.command().reply(body=b"good")
    assert client.answer().body == b"good"
    assert not stand.lines("policy")


@pytest.mark.parametrize("call", [SystemCall.SEND, SystemCall.RECEIVE])
def test_buffers_that_lack_for_a_moment_end_no_connection(
    start: Callable[..., Stand], tmp_path: Path, call: SystemCall
) -> None:
    flag = tmp_path / "lacking"
    stand = start(faults=[SystemCallFault(call, "ENOBUFS", flag=str(flag), chance=0.5)])
    client = stand.client()
    assert fetched(stand, client) == 200
    flag.touch()
    assert [fetched(stand, client, ident) for ident in range(2, 8)] == [200] * 6
    assert not stand.lines("connection-lost") and not stand.lines("client-lost")


def test_a_whole_list_that_comes_in_over_seconds_is_taken(start: Callable[..., Stand]) -> None:
    stand = start()
    assert stand.log.since.get(timeout=PATIENCE) == 1
    stand.log.tell(1, 0)
    nodes = [stand.record(cache, 0) for cache in stand.caches]
    nodes += [
        struct.pack(">IIHBBBHIQ", 0x1000 + place, 0x7F000001, 1, 0, 0, 1, 0, 9000, 0) for place in range(3000)
    ]
    payload = b"".join(nodes)
    data = struct.pack(">IQB", 9 + len(payload), 2, 1) + payload
    sock = stand.log.listener.accepted[-1]
    for place in range(10):
        sock.sendall(data[place * len(data) // 10 : (place + 1) * len(data) // 10])
        time.sleep(0.4)
    stand.wait(lambda: len(stand.lines("node")) == 4 + 3002, "the whole list")
    assert stand.log.since.empty() and not stand.lines("changelog-lost")
