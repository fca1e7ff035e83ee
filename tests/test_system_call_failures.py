"""Faults of the operating system: clock steps, failing system calls and a log that is not read."""

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
from fake_change_log import (
    ENDPOINT_CHANGES,
    FULL_LIST,
    GROUP_PURGE,
    HEARTBEAT,
    UP,
    encode_endpoint,
    encode_group_purge,
)
from fastcgi_client import FastCgiClient
from router_harness import SETTINGS, RouterHarness
from waiting import TEST_TIMEOUT

from edge_router.fault_injection.system_call_faults import SystemCall, SystemCallFault


def fetch_status(router: RouterHarness, client: FastCgiClient, request_id: int = 1, **what: Any) -> int:
    """Sends a request, answers its first attempt with a copy filled from the origin, returns its status."""
    client.send_request(request_id, **what)
    # Only the time of a copy that was just filled from the origin is evidence about the peers' clocks.
    router.next_command().reply(body=b"good", tell="via_origin", waited=3)
    return client.read_response().status


@pytest.mark.parametrize("step", [-3600.0, -1.5, 30.0, 3600.0])
def test_wall_clock_step_changes_no_response(
    start_router: Callable[..., RouterHarness], tmp_path: Path, step: float
) -> None:
    flag = tmp_path / "stepped"
    classes = [{**entry, "on_time": 400.0} for entry in SETTINGS["classes"]]
    router = start_router(
        faults=[SystemCallFault(SystemCall.CLOCK, step=step, flag=str(flag))], classes=classes
    )
    client = router.connect()
    assert fetch_status(router, client) == 200
    flag.touch()
    for request_id, path in enumerate(("/svc/image", "/svc/page", "/svc/page"), start=2):
        assert fetch_status(router, client, request_id, path=path) == 200
    client.send_request(9, X_TTL_MS="1000")
    limit = int(router.next_command().fields["limit"])
    assert 500 < limit <= 1000
    assert client.read_response().status == 503  # at its deadline


@pytest.mark.parametrize("step", [-3600.0, 30.0, 3600.0])
def test_purge_after_a_wall_clock_step_is_applied(
    start_router: Callable[..., RouterHarness], tmp_path: Path, step: float
) -> None:
    flag = tmp_path / "stepped"
    router = start_router(faults=[SystemCallFault(SystemCall.CLOCK, step=step, flag=str(flag))])
    client = router.connect()
    assert fetch_status(router, client) == 200
    flag.touch()
    moment = int(time.time() * 1000)
    router.change_log.send_event(2, GROUP_PURGE, encode_group_purge(17, moment))
    router.change_log.send_event(3, ENDPOINT_CHANGES, router.endpoint_record(router.caches[0], UP))
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 5, "the change after the purge")
    client.send_request(2)
    fetch = router.next_command()
    assert time.time() * 1000 - int(fetch.fields["oldest"]) >= moment
    fetch.reply(body=b"old", born=moment - 1)
    router.next_command().reply(body=b"new")
    assert client.read_response().body == b"new"


def test_wrong_wall_clock_at_startup_is_detected(start_router: Callable[..., RouterHarness]) -> None:
    """Copies that the origin has just served show the error of the local clock."""
    router = start_router(faults=[SystemCallFault(SystemCall.CLOCK, step=3600.0, end=math.inf)])
    client = router.connect()

    def serve() -> None:
        with contextlib.suppress(queue.Empty, OSError):
            while True:
                router.next_command().reply(body=b"good", tell="via_origin", waited=3)

    threading.Thread(target=serve, daemon=True).start()
    statuses = [
        client.request(request_id=request_id, path="/svc/page", X_TTL_MS="2000").status
        for request_id in range(1, 8)
    ]
    # The first two may fail: copies seem an hour old until three (MIN_CLEAR_EVIDENCE) have shown the error.
    assert statuses[2:] == [200] * 5
    assert len(router.log_lines("peer-clock-adjusted")) == 1


def check_serving_after_fault(router: RouterHarness, until: float) -> None:
    """Checks that the router still runs, and serves old and new connections, after the fault has ended."""
    client = router.connect()
    assert fetch_status(router, client) == 200
    time.sleep(max(0.0, until - time.monotonic()))
    assert router.process.poll() is None
    assert fetch_status(router, client, 2) == 200
    assert fetch_status(router, router.connect()) == 200


@pytest.mark.parametrize("error", ["EMFILE", "ENFILE", "EIO"])
def test_unreadable_statistics_do_not_stop_the_router(
    start_router: Callable[..., RouterHarness], error: str
) -> None:
    """The fault lasts until after a statistics line was due.

    It begins 2 s after the process is started; the first line is due 5 s (REPORT_INTERVAL) after startup.
    """
    now = time.monotonic()
    check_serving_after_fault(
        start_router(faults=[SystemCallFault(SystemCall.OPEN, error, now + 2.0, now + 7.5)]), now + 7.7
    )


@pytest.mark.parametrize(
    ("call", "error"),
    [
        (SystemCall.SOCKET, "ENFILE"),
        (SystemCall.ACCEPT, "ECONNABORTED"),
        (SystemCall.ACCEPT, "ENOBUFS"),
        (SystemCall.ACCEPT, "EPROTO"),
        (SystemCall.CONNECT, "ENOBUFS"),
        (SystemCall.CONNECT, "EADDRNOTAVAIL"),
    ],
)
def test_transient_system_call_failures_do_not_stop_the_router(
    start_router: Callable[..., RouterHarness], call: SystemCall, error: str
) -> None:
    now = time.monotonic()
    check_serving_after_fault(
        start_router(faults=[SystemCallFault(call, error, now + 1.5, now + 2.0)]), now + 2.2
    )


def test_unread_log_does_not_block_the_router(start_router: Callable[..., RouterHarness]) -> None:
    router = start_router()
    router.process.send_signal(signal.SIGKILL)
    router.process.wait()
    path = Path(router.directory.name, "config.json")
    reader, writer = os.pipe()
    process = subprocess.Popen(
        [sys.executable, "-m", "edge_router"], stderr=writer, env={**os.environ, "RELAY_CONFIG": str(path)}
    )
    os.close(writer)
    try:
        router.wait_until(router.is_live, "the router is ready")
        client = router.connect()
        client.sock.settimeout(TEST_TIMEOUT)
        for _ in range(2000):  # more lines than a pipe can hold
            process.send_signal(signal.SIGHUP)
            assert client.request(path="/status/live").status == 200
        assert fetch_status(router, client) == 200
        process.send_signal(signal.SIGTERM)
        assert process.wait(TEST_TIMEOUT) == 0
    finally:
        process.kill()
        process.wait()
        os.close(reader)


def test_reload_is_retried_when_its_file_cannot_be_opened(
    start_router: Callable[..., RouterHarness], tmp_path: Path
) -> None:
    flag = tmp_path / "descriptors-exhausted"
    router = start_router(
        faults=[SystemCallFault(SystemCall.OPEN, "EMFILE", path="config.json", flag=str(flag))]
    )
    flag.touch()
    changed = {**router.config, "limits": {**router.config["limits"], "sockets": 99}}
    router.reload(json.dumps(changed))
    router.wait_until(lambda: router.log_lines("configuration-rejected"), "the failure")
    flag.unlink()
    router.wait_until(lambda: router.log_lines("configuration-reloaded"), "the reload")
    assert "sockets=99" in router.log_lines("configuration-reloaded")[0]


def test_aborted_connection_does_not_affect_others_at_shutdown(
    start_router: Callable[..., RouterHarness], tmp_path: Path
) -> None:
    flag = tmp_path / "aborted"
    router = start_router(
        sockets=16, faults=[SystemCallFault(SystemCall.ACCEPT, "ECONNABORTED", flag=str(flag), chance=0.7)]
    )
    accepted = [router.connect() for _ in range(8)]  # as many clients as the limit allows
    for client in accepted:
        client.send_request(path="/svc/confirm", X_TTL_MS="60000")
    for _ in accepted:
        router.next_command()
    late = [router.connect() for _ in range(4)]
    for client in late:
        client.send_request()
    flag.touch()
    router.process.send_signal(signal.SIGTERM)
    assert {client.read_response().status for client in late} == {503}
    assert {client.read_response().status for client in accepted} == {502}
    assert router.process.wait(TEST_TIMEOUT) == 0


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
def test_signal_during_shutdown_does_not_shorten_it(
    start_router: Callable[..., RouterHarness], number: signal.Signals
) -> None:
    router = start_router()
    client = router.connect()
    client.send_request()
    fetch = router.next_command()
    router.process.send_signal(signal.SIGTERM)
    router.wait_until(lambda: router.log_lines("shutdown-started"), "the shutdown")
    for _ in range(3):
        router.process.send_signal(number)
        time.sleep(0.05)
    fetch.reply(body=b"whole")
    assert client.read_response().body == b"whole"
    assert router.process.wait(TEST_TIMEOUT) == 0
    assert router.log_lines("shutdown-complete")


@pytest.mark.parametrize(
    ("call", "error", "path"),
    [
        (SystemCall.SOCKET, "ENFILE", ""),
        (SystemCall.OPEN, "EMFILE", "config.json"),
        (SystemCall.OPEN, "EIO", "config.json"),
        # Guards against a router that ends, as a library it imports looks for another one in a file.
        (SystemCall.OPEN, "EIO", ""),
    ],
)
def test_failed_system_call_at_startup_is_retried(
    start_router: Callable[..., RouterHarness], call: SystemCall, error: str, path: str
) -> None:
    now = time.monotonic()
    router = start_router(faults=[SystemCallFault(call, error, now, now + 1.0, path=path)])
    assert fetch_status(router, router.connect()) == 200
    assert router.log_lines("start-delayed")


@pytest.mark.parametrize(
    ("call", "error"),
    [
        (SystemCall.SOCKET, "ENFILE"),
        (SystemCall.SOCKET, "ENOBUFS"),
        (SystemCall.CONNECT, "EADDRNOTAVAIL"),
        (SystemCall.CONNECT, "ENETUNREACH"),
        (SystemCall.CONNECT, "ENOBUFS"),
    ],
)
def test_local_resource_shortage_delays_requests_without_ejecting_a_cache(
    start_router: Callable[..., RouterHarness], tmp_path: Path, call: SystemCall, error: str
) -> None:
    flag = tmp_path / "shortage"
    router = start_router(faults=[SystemCallFault(call, error, flag=str(flag))])
    client = router.connect()
    assert client.request(path="/status/live").status == 200
    flag.touch()
    client.send_request()
    time.sleep(0.15)  # shorter than the connect timeout
    flag.unlink()
    router.next_command().reply(body=b"good")
    assert client.read_response().body == b"good"
    assert not router.log_lines("routing")


@pytest.mark.parametrize("call", [SystemCall.SEND, SystemCall.RECEIVE])
def test_buffer_shortage_does_not_close_connections(
    start_router: Callable[..., RouterHarness], tmp_path: Path, call: SystemCall
) -> None:
    flag = tmp_path / "shortage"
    router = start_router(faults=[SystemCallFault(call, "ENOBUFS", flag=str(flag), chance=0.5)])
    client = router.connect()
    assert fetch_status(router, client) == 200
    flag.touch()
    assert [fetch_status(router, client, request_id) for request_id in range(2, 8)] == [200] * 6
    assert not router.log_lines("upstream-connection-lost")
    assert not router.log_lines("client-connection-error")


def test_endpoint_list_received_over_seconds_is_accepted(start_router: Callable[..., RouterHarness]) -> None:
    router = start_router()
    assert router.change_log.resumed_from.get(timeout=TEST_TIMEOUT) == 1
    router.change_log.send_event(1, HEARTBEAT)
    records = [router.endpoint_record(cache, UP) for cache in router.caches]
    records += [encode_endpoint(0x1000 + number, weight=9000) for number in range(3000)]
    payload = b"".join(records)
    data = struct.pack(">IQB", 9 + len(payload), 2, FULL_LIST) + payload
    sock = router.change_log.listener.accepted[-1]
    for part in range(10):
        sock.sendall(data[part * len(data) // 10 : (part + 1) * len(data) // 10])
        time.sleep(0.4)
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 4 + 3002, "the full endpoint list")
    assert router.change_log.resumed_from.empty()
    assert not router.log_lines("change-log-disconnected")
