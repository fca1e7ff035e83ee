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
from fastcgi_client import FastCgiClient
from router_harness import SETTINGS, RouterHarness
from waiting import TEST_TIMEOUT

from stonecove.soak.plan import Call, Fault


def fetch_status(router: RouterHarness, client: FastCgiClient, ident: int = 1, **what: Any) -> int:
    """The status of a request whose first attempt a cache fills and answers well."""
    client.send_request(ident, **what)
    router.next_command().reply(body=b"good", tell="via_origin", waited=3)
    return client.read_response().status


# -- the wall clock --


@pytest.mark.parametrize("step", [-3600.0, -1.5, 30.0, 3600.0])
def test_a_step_of_the_wall_clock_changes_no_answer(
    start_router: Callable[..., RouterHarness], tmp_path: Path, step: float
) -> None:
    flag = tmp_path / "stepped"
    classes = [{**entry, "on_time": 400.0} for entry in SETTINGS["classes"]]
    router = start_router(faults=[Fault(Call.CLOCK, step=step, flag=str(flag))], classes=classes)
    client = router.connect()
    assert fetch_status(router, client) == 200
    flag.touch()
    for ident, path in enumerate(("/svc/image", "/svc/page", "/svc/page"), start=2):
        assert fetch_status(router, client, ident, path=path) == 200
    client.send_request(9, X_TTL_MS="1000")
    limit = int(router.next_command().fields["limit"])
    assert 500 < limit <= 1000
    assert client.read_response().status == 503  # its time passes


@pytest.mark.parametrize("step", [-3600.0, 30.0, 3600.0])
def test_a_purge_told_after_a_step_is_heeded(
    start_router: Callable[..., RouterHarness], tmp_path: Path, step: float
) -> None:
    flag = tmp_path / "stepped"
    router = start_router(faults=[Fault(Call.CLOCK, step=step, flag=str(flag))])
    client = router.connect()
    assert fetch_status(router, client) == 200
    flag.touch()
    moment = int(time.time() * 1000)
    router.change_log.send_event(2, 4, struct.pack(">HQ", 17, moment))
    router.change_log.send_event(3, 2, router.endpoint_record(router.caches[0], 0))
    router.wait_until(lambda: len(router.log_lines("node")) == 5, "the change after the purge")
    client.send_request(2)
    fetch = router.next_command()
    assert time.time() * 1000 - int(fetch.fields["oldest"]) >= moment
    fetch.reply(body=b"old", born=moment - 1)
    router.next_command().reply(body=b"new")
    assert client.read_response().body == b"new"


def test_a_clock_that_was_wrong_at_the_start_is_found_out(start_router: Callable[..., RouterHarness]) -> None:
    """Copies that the origin gave out just now show how far our clock is off."""
    router = start_router(faults=[Fault(Call.CLOCK, step=3600.0, end=math.inf)])
    client = router.connect()

    def serve() -> None:
        with contextlib.suppress(queue.Empty, OSError):
            while True:
                router.next_command().reply(body=b"good", tell="via_origin", waited=3)

    threading.Thread(target=serve, daemon=True).start()
    statuses = [
        client.request(request_id=ident, path="/svc/page", X_TTL_MS="2000").status for ident in range(1, 8)
    ]
    assert statuses[2:] == [200] * 5
    assert len(router.log_lines("peer-time-moved")) == 1


# -- calls that fail for a moment --


def check_serving_after(router: RouterHarness, until: float) -> None:
    """Checks that the router lives on, and serves on old and new connections once the trouble is over."""
    client = router.connect()
    assert fetch_status(router, client) == 200
    time.sleep(max(0.0, until - time.monotonic()))
    assert router.process.poll() is None
    assert fetch_status(router, client, 2) == 200
    assert fetch_status(router, router.connect()) == 200


@pytest.mark.parametrize("error", ["EMFILE", "ENFILE", "EIO"])
def test_statistics_that_cannot_be_read_end_nothing(
    start_router: Callable[..., RouterHarness], error: str
) -> None:
    """The span includes the writing of a statistics line."""
    now = time.monotonic()
    check_serving_after(start_router(faults=[Fault(Call.OPEN, error, now + 2.0, now + 7.5)]), now + 7.7)


@pytest.mark.parametrize(
    "call, error",
    [
        (Call.SOCKET, "ENFILE"),
        (Call.ACCEPT, "ECONNABORTED"),
        (Call.ACCEPT, "ENOBUFS"),
        (Call.ACCEPT, "EPROTO"),
        (Call.CONNECT, "ENOBUFS"),
        (Call.CONNECT, "EADDRNOTAVAIL"),
    ],
)
def test_calls_that_fail_for_a_moment_end_nothing(
    start_router: Callable[..., RouterHarness], call: Call, error: str
) -> None:
    now = time.monotonic()
    check_serving_after(start_router(faults=[Fault(call, error, now + 1.5, now + 2.0)]), now + 2.2)


# -- the log --


def test_a_log_that_nobody_reads_stops_nothing(start_router: Callable[..., RouterHarness]) -> None:
    router = start_router()
    router.process.send_signal(signal.SIGKILL)
    router.process.wait()
    path = Path(router.directory.name, "config.json")
    reader, writer = os.pipe()
    process = subprocess.Popen(
        [sys.executable, "-m", "stonecove"], stderr=writer, env={**os.environ, "RELAY_CONFIG": str(path)}
    )
    os.close(writer)
    try:
        router.wait_until(router.is_live, "the router is ready")
        client = router.connect()
        client.sock.settimeout(TEST_TIMEOUT)
        for _ in range(2000):  # as many lines as no pipe holds
            process.send_signal(signal.SIGHUP)
            assert client.request(path="/status/live").status == 200
        assert fetch_status(router, client) == 200
        process.send_signal(signal.SIGTERM)
        assert process.wait(TEST_TIMEOUT) == 0
    finally:
        process.kill()
        process.wait()
        os.close(reader)


def test_a_reload_whose_file_cannot_be_opened_for_a_moment_is_made_up_for(
    start_router: Callable[..., RouterHarness], tmp_path: Path
) -> None:
    flag = tmp_path / "no-descriptors"
    router = start_router(faults=[Fault(Call.OPEN, "EMFILE", path="config.json", flag=str(flag))])
    flag.touch()
    changed = {**router.config, "limits": {**router.config["limits"], "sockets": 99}}
    router.reload(json.dumps(changed))
    router.wait_until(lambda: router.log_lines("reload-refused"), "the failure")
    flag.unlink()
    router.wait_until(lambda: router.log_lines("reloaded"), "the reload")
    assert "sockets=99" in router.log_lines("reloaded")[0]


# -- the stop and the start --


def test_a_connection_that_was_aborted_takes_no_other_along_at_the_stop(
    start_router: Callable[..., RouterHarness], tmp_path: Path
) -> None:
    flag = tmp_path / "aborted"
    router = start_router(sockets=16, faults=[Fault(Call.ACCEPT, "ECONNABORTED", flag=str(flag), chance=0.7)])
    held = [router.connect() for _ in range(8)]  # all places
    for client in held:
        client.send_request(path="/svc/confirm", X_TTL_MS="60000")
    for _ in held:
        router.next_command()
    late = [router.connect() for _ in range(4)]
    for client in late:
        client.send_request()
    flag.touch()
    router.process.send_signal(signal.SIGTERM)
    assert {client.read_response().status for client in late} == {503}
    assert {client.read_response().status for client in held} == {502}
    assert router.process.wait(TEST_TIMEOUT) == 0


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
def test_a_signal_during_the_stop_cuts_nothing_short(
    start_router: Callable[..., RouterHarness], number: signal.Signals
) -> None:
    router = start_router()
    client = router.connect()
    client.send_request()
    fetch = router.next_command()
    router.process.send_signal(signal.SIGTERM)
    router.wait_until(lambda: router.log_lines("stopping"), "the stop")
    for _ in range(3):
        router.process.send_signal(number)
        time.sleep(0.05)
    fetch.reply(body=b"whole")
    assert client.read_response().body == b"whole"
    assert router.process.wait(TEST_TIMEOUT) == 0
    assert router.log_lines("stopped")


@pytest.mark.parametrize(
    "call, error, path",
    [(Call.SOCKET, "ENFILE", ""), (Call.OPEN, "EMFILE", "config.json"), (Call.OPEN, "EIO", "config.json")],
)
def test_a_call_that_fails_at_the_start_is_made_again(
    start_router: Callable[..., RouterHarness], call: Call, error: str, path: str
) -> None:
    now = time.monotonic()
    router = start_router(faults=[Fault(call, error, now, now + 1.0, path=path)])
    assert fetch_status(router, router.connect()) == 200
    assert router.log_lines("start-delayed")


# -- connections of our own --


@pytest.mark.parametrize(
    "call, error",
    [
        (Call.SOCKET, "ENFILE"),
        (Call.SOCKET, "ENOBUFS"),
        (Call.CONNECT, "EADDRNOTAVAIL"),
        (Call.CONNECT, "ENETUNREACH"),
        (Call.CONNECT, "ENOBUFS"),
    ],
)
def test_a_lack_of_our_own_is_waited_out_and_blames_no_cache(
    start_router: Callable[..., RouterHarness], tmp_path: Path, call: Call, error: str
) -> None:
    flag = tmp_path / "lacking"
    router = start_router(faults=[Fault(call, error, flag=str(flag))])
    client = router.connect()
    assert client.request(path="/status/live").status == 200
    flag.touch()
    client.send_request()
    time.sleep(0.15)  # less than a connection may take
    flag.unlink()
    router.next_command().reply(body=b"good")
    assert client.read_response().body == b"good"
    assert not router.log_lines("policy")


@pytest.mark.parametrize("call", [Call.SEND, Call.RECEIVE])
def test_buffers_that_lack_for_a_moment_end_no_connection(
    start_router: Callable[..., RouterHarness], tmp_path: Path, call: Call
) -> None:
    flag = tmp_path / "lacking"
    router = start_router(faults=[Fault(call, "ENOBUFS", flag=str(flag), chance=0.5)])
    client = router.connect()
    assert fetch_status(router, client) == 200
    flag.touch()
    assert [fetch_status(router, client, ident) for ident in range(2, 8)] == [200] * 6
    assert not router.log_lines("connection-lost") and not router.log_lines("client-lost")


def test_a_whole_list_that_comes_in_over_seconds_is_taken(start_router: Callable[..., RouterHarness]) -> None:
    router = start_router()
    assert router.change_log.resumed_from.get(timeout=TEST_TIMEOUT) == 1
    router.change_log.send_event(1, 0)
    nodes = [router.endpoint_record(cache, 0) for cache in router.caches]
    nodes += [
        struct.pack(">IIHBBBHIQ", 0x1000 + place, 0x7F000001, 1, 0, 0, 1, 0, 9000, 0) for place in range(3000)
    ]
    payload = b"".join(nodes)
    data = struct.pack(">IQB", 9 + len(payload), 2, 1) + payload
    sock = router.change_log.listener.accepted[-1]
    for place in range(10):
        sock.sendall(data[place * len(data) // 10 : (place + 1) * len(data) // 10])
        time.sleep(0.4)
    router.wait_until(lambda: len(router.log_lines("node")) == 4 + 3002, "the whole list")
    assert router.change_log.resumed_from.empty() and not router.log_lines("changelog-lost")
