"""Race conditions on real sockets.

The tests force them by change log events, signals, and connections that are not accepted.
"""

from __future__ import annotations

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import trio
import trio.testing
from fake_change_log import DRAINING, ENDPOINT_CHANGES, UP
from fastcgi_client import ABORT_REQUEST, FastCgiClient, fastcgi_record
from router_harness import SETTINGS, RouterHarness
from tcp_endpoints import UnresponsiveAddress, free_address
from waiting import TEST_TIMEOUT

from edge_router.discovery.change_log_watcher import ChangeLogWatcher
from edge_router.protocol.fastcgi import InvalidRequest
from edge_router.proxy.request_router import RequestRouter
from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import set_sink
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.transport.client_connection import ClientConnection
from edge_router.transport.client_session import MAX_CONSECUTIVE_REJECTIONS, ClientSession
from edge_router.transport.close_reason import CloseReason

TIME_WAIT = "06"  # a connection state in /proc/net/tcp


def limits(**changes: Any) -> dict[str, Any]:
    return {**SETTINGS["limits"], **changes}


def wait_for_decisions(client: FastCgiClient) -> None:
    """Returns once earlier requests are decided, as each round takes an iteration of the event loop."""
    for _ in range(5):
        assert client.request(request_id=9, path="/status/live").status == 200


def refuses_connections(router: RouterHarness) -> bool:
    """Whether the router refuses a new connection."""
    try:
        router.connect().sock.close()
    except ConnectionRefusedError:
        return True
    return False


class AcceptingHandler:
    """A session handler that answers every request with 200."""

    def __init__(self) -> None:
        self.request_count = 0
        self.request_received = trio.Event()

    def on_request(
        self,
        connection: ClientSession,
        request_id: int,
        params: dict[str, str],
        body: bytes,
        invalid: InvalidRequest | None,
    ) -> bool:
        """Answers the request."""
        self.request_count += 1
        self.request_received.set()
        connection.send_response(request_id, b"Status: 200 OK\r\n\r\n", b"")
        return True

    def on_aborted(self, connection: ClientSession, request_id: int) -> None:
        """Does nothing, as the handler starts no attempts."""

    def on_disconnected(self, connection: ClientSession, request_id: int) -> None:
        """Does nothing, as the handler starts no attempts."""


def connections_to(unresponsive: UnresponsiveAddress) -> int:
    """Returns the number of the router's connections to this address, without the two fillers."""
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return sum(int(row[2].split(":")[1], 16) == unresponsive.port and row[3] != TIME_WAIT for row in rows) - 2


def test_pending_attempt_is_not_sent_after_client_disconnect(
    start_router: Callable[..., RouterHarness],
) -> None:
    """Holds also where cancellation is not allowed, as an attempt that was not sent needs none."""
    router = start_router(limits=limits(connect_timeout=28_000.0, conn_idle=600_000.0, cancel=False))
    unresponsive, (slow, other) = UnresponsiveAddress(), router.caches
    router.change_log.send_event(
        2,
        ENDPOINT_CHANGES,
        router.endpoint_record(slow, UP, port=unresponsive.port) + router.endpoint_record(other, DRAINING),
    )
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 6, "the change")
    left, stays = router.connect(), router.connect()
    left.send_request(1, X_TXN="00000000000000aa", X_TTL_MS="30000")
    wait_for_decisions(left)
    left.sock.sendall(fastcgi_record(ABORT_REQUEST, 1))
    assert left.read_response()[:2] == (1, 0)
    stays.send_request(1, X_TXN="00000000000000bb", X_TTL_MS="30000")
    wait_for_decisions(stays)
    # The second request uses the connection that the first one was waiting for.
    assert connections_to(unresponsive) == 1
    received = unresponsive.accept_connection().recv(1000)
    assert b"00000000000000bb" in received
    assert b"00000000000000aa" not in received
    unresponsive.close()


@pytest.mark.parametrize("how", ["abort", "close"])
def test_disconnect_on_a_connection_being_closed_aborts_the_attempt(
    start_router: Callable[..., RouterHarness], how: str
) -> None:
    """The router closes the connection because of invalid requests, while an earlier request is open."""
    router = start_router()
    client = router.connect()
    client.send_request(1)
    fetch = router.next_command()
    for _ in range(MAX_CONSECUTIVE_REJECTIONS + 1):
        assert client.request(request_id=2, path="/svc/nothing").status == 404
    client.send_request(3)  # rejected, as the connection is being closed
    assert client.read_response()[:2] == (3, 0)
    if how == "abort":
        client.sock.sendall(fastcgi_record(ABORT_REQUEST, 1))
    else:
        client.sock.shutdown(socket.SHUT_RDWR)
    assert router.next_command("abort").request_id == fetch.request_id


def test_idle_connection_with_an_unread_request_is_not_closed() -> None:
    """The request arrives at the moment when the idle connection is to be closed."""

    async def request_while_closing() -> None:
        ours, theirs = socket.socketpair()
        with ours, theirs:
            ours.setblocking(False)
            handler, budget = AcceptingHandler(), MemoryBudget()
            budget.limit = 1e6
            connection = ClientConnection(ours, handler, Clock().now, budget)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.run)
                await trio.testing.wait_all_tasks_blocked()
                theirs.sendall(
                    FastCgiClient.encode_request(FastCgiClient.__new__(FastCgiClient), path="/status/live")
                )
                connection.close_if_idle(CloseReason.EVICTED)
                assert not connection.is_closing()
                with trio.fail_after(TEST_TIMEOUT):
                    await handler.request_received.wait()
                assert b"200 OK" in theirs.recv(1000)
                connection.close_if_idle(CloseReason.EVICTED)
                theirs.sendall(
                    FastCgiClient.encode_request(FastCgiClient.__new__(FastCgiClient), path="/status/live")
                )
                assert theirs.recv(1000) == b""  # a half-close, not a reset
                theirs.shutdown(socket.SHUT_WR)
            assert handler.request_count == 1  # the one after the half-close was not processed

    trio.run(request_while_closing)


def test_change_log_reconnects_while_idle_clients_use_all_connections(
    start_router: Callable[..., RouterHarness],
) -> None:
    """The limits leave a reserve, so client, cache and change log connections fit in together."""
    router = start_router(sockets=64, descriptors=64)  # of which clients get 32
    busy = [router.connect() for _ in range(8)]
    for client in busy:
        client.send_request()
    fetches = [router.next_command() for _ in busy]  # each on a separate connection
    idle = [router.connect() for _ in range(60)]
    wait_for_decisions(busy[0])
    assert router.change_log.resumed_from.get(timeout=TEST_TIMEOUT) == 1
    router.change_log.listener.accepted[-1].shutdown(socket.SHUT_RDWR)
    assert router.change_log.resumed_from.get(timeout=TEST_TIMEOUT) == 1
    router.change_log.send_event(2, ENDPOINT_CHANGES, router.endpoint_record(router.caches[0], DRAINING))
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 5, "the next event")
    for fetch in fetches:
        fetch.reply(body=b"served")
    assert {client.read_response().body for client in busy} == {b"served"}
    for client in idle:
        client.sock.close()


def test_routers_reconnect_to_a_lost_change_log_with_jitter() -> None:
    def failure_times(seed: int) -> list[float]:
        """Returns the times at which a router with that seed fails to connect."""
        times: list[float] = []

        async def follow() -> None:
            with trio.CancelScope() as scope:

                def record_time(event: str, fields: dict[str, object]) -> None:
                    times.append(trio.current_time())
                    if len(times) == 6:
                        scope.cancel()

                set_sink(record_time)
                await ChangeLogWatcher(*free_address(), 0, seed).run(RequestRouter.__new__(RequestRouter))

        trio.run(follow, clock=trio.testing.MockClock(autojump_threshold=0))
        set_sink(None)
        return times

    first, second = failure_times(1), failure_times(2)
    for times in (first, second):
        gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
        for gap, max_gap in zip(gaps, (0.1, 0.2, 0.4, 0.4, 0.4), strict=True):
            assert 0.5 * max_gap <= gap <= max_gap + 0.001
    assert all(abs(one - other) > 1e-6 for one, other in zip(first[1:], second[1:], strict=True))


def test_partially_received_request_is_answered_after_the_grace_period(
    start_router: Callable[..., RouterHarness],
) -> None:
    router = start_router()
    client = router.connect()
    whole = client.encode_request()
    client.sock.sendall(whole[:40])
    router.process.send_signal(signal.SIGTERM)
    router.wait_until(lambda: refuses_connections(router), "the end of the grace period")
    client.sock.sendall(whole[40:])
    router.next_command().reply(body=b"whole")
    assert client.read_response().body == b"whole"
    assert router.process.wait(TEST_TIMEOUT) == 0


def test_idle_connection_is_half_closed_at_shutdown_and_not_reset(
    start_router: Callable[..., RouterHarness],
) -> None:
    router = start_router()
    client = router.connect()
    wait_for_decisions(client)
    router.process.send_signal(signal.SIGTERM)
    assert client.sock.recv(1) == b""
    client.send_request()
    assert client.sock.recv(1) == b""
    client.sock.shutdown(socket.SHUT_WR)
    assert router.process.wait(TEST_TIMEOUT) == 0
    assert router.commands.empty()


def test_unaccepted_connections_are_answered_at_shutdown(
    start_router: Callable[..., RouterHarness],
) -> None:
    """The connection limit is reached until shutdown, so no waiting client was accepted before."""
    router = start_router(sockets=16)  # of which clients get 8
    held = [router.connect() for _ in range(8)]
    for client in held:
        client.send_request(path="/svc/confirm", X_TTL_MS="60000")
    for _ in held:
        router.next_command()
    late = [router.connect() for _ in range(2)]
    for client in late:
        client.send_request()
    router.process.send_signal(signal.SIGTERM)
    assert {client.read_response().status for client in late} == {503}
    assert {client.read_response().status for client in held} == {502}
    assert router.process.wait(TEST_TIMEOUT) == 0


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signal_during_startup_is_handled_once_ready(
    start_router: Callable[..., RouterHarness], tmp_path: Path, number: signal.Signals
) -> None:
    router = start_router()
    router.process.kill()
    router.process.wait(TEST_TIMEOUT)
    path, whole = tmp_path / "config.json", tmp_path / "whole.json"
    whole.write_text(json.dumps(router.config))
    os.mkfifo(path)
    with Path(router.directory.name, "log").open("wb") as output:
        router.process = subprocess.Popen(
            [sys.executable, "-m", "edge_router"],
            stderr=output,
            env={**os.environ, "RELAY_CONFIG": str(path)},
        )
    with path.open("w") as pipe:  # blocks until the router opens it during startup
        whole.rename(path)
        router.process.send_signal(number)
        pipe.write(json.dumps(router.config))
    expected_event = "configuration-reloaded" if number == signal.SIGHUP else "shutdown-complete"
    router.wait_until(
        lambda: router.log_lines(expected_event) or router.process.poll() is not None,
        "the effect of the signal",
    )
    assert router.log_lines("ready")
    assert router.log_lines(expected_event)


def test_stopping_router_does_not_report_itself_live(start_router: Callable[..., RouterHarness]) -> None:
    router = start_router()
    client = router.connect()
    whole = client.encode_request(path="/status/live")
    client.sock.sendall(whole[:40])  # so that the connection is not idle
    router.process.send_signal(signal.SIGTERM)
    router.wait_until(lambda: router.log_lines("shutdown-started"), "the shutdown")
    client.sock.sendall(whole[40:])
    assert client.read_response().status == 503


def test_pending_retry_is_not_sent_after_its_deduplication_window(
    start_router: Callable[..., RouterHarness],
) -> None:
    window = 700.0
    classes = [{**cls, "effect": "token", "group": "all", "window": window} for cls in SETTINGS["classes"]]
    router = start_router(classes=classes, limits=limits(connect_timeout=28_000.0, conn_idle=600_000.0))
    client, probe = router.connect(), router.connect()
    client.send_request(X_TXN_KEY="k1", X_TTL_MS="30000")
    first = router.next_command()
    sent = time.monotonic()
    unresponsive, other = (
        UnresponsiveAddress(),
        next(cache for cache in router.caches if cache is not first.cache),
    )
    router.change_log.send_event(
        2, ENDPOINT_CHANGES, router.endpoint_record(other, UP, port=unresponsive.port)
    )
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 5, "the change")
    first.reply("500")
    wait_for_decisions(probe)
    assert connections_to(unresponsive) == 1  # the retry started within its window
    while time.monotonic() < sent + window / 1000.0:
        time.sleep(0.05)
    received: list[bytes] = []
    accepting = threading.Thread(
        target=lambda: received.append(unresponsive.accept_connection().recv(1000)), daemon=True
    )
    accepting.start()  # no connection is accepted if the kernel drops the one on which nothing was sent
    assert client.read_response().status == 503
    router.process.send_signal(signal.SIGTERM)
    assert router.process.wait(TEST_TIMEOUT) == 0
    unresponsive.close()
    accepting.join(TEST_TIMEOUT)
    assert received in ([], [b""])  # not a byte of the retry was sent
