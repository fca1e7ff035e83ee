"""Input that arrived while the router could not read: requests that aged, clients that disconnected.

The tests stop the router with SIGSTOP, so that all input sent meanwhile is unread when it continues. Without
a correction, such requests would get too long a limit, and attempts would start for clients that have left.
"""

from __future__ import annotations

import contextlib
import queue
import signal
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from fake_cache import ReceivedCommand
from fastcgi_client import ABORT_REQUEST, FastCgiClient, fastcgi_record
from router_harness import SETTINGS, RouterHarness

from edge_router.fault_injection.system_call_faults import SystemCall, SystemCallFault

MAX_LIMIT_EXCESS = 150  # ms by which the forwarded limit may exceed the time the client has left
UNREAD_TIME = 0.6  # seconds


@contextlib.contextmanager
def paused(router: RouterHarness) -> Iterator[None]:
    """Stops the router process within the `with` block, so that it reads nothing."""
    router.process.send_signal(signal.SIGSTOP)
    yield
    router.process.send_signal(signal.SIGCONT)


def fetches(router: RouterHarness, count: int) -> list[ReceivedCommand]:
    """Returns the next `count` fetch commands, or fewer if none arrives for a second."""
    received: list[ReceivedCommand] = []
    with contextlib.suppress(queue.Empty):
        while len(received) < count:
            if (fetch := router.commands.get(timeout=1.0)).command == "fetch":
                received.append(fetch)
    return received


def disconnect(client: FastCgiClient, how: str) -> None:
    """Abandons request 1 of the client by an abort, a close or a reset."""
    if how == "abort":
        client.sock.sendall(fastcgi_record(ABORT_REQUEST, 1))
    elif how == "close":
        client.sock.shutdown(socket.SHUT_RDWR)
    else:
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        socket.close(client.sock.detach())


@pytest.mark.parametrize("connection", ["resting", "new"])
def test_time_spent_unread_is_deducted_from_the_deadline(
    start_router: Callable[..., RouterHarness], connection: str
) -> None:
    router = start_router()
    client = router.connect()
    assert client.request(path="/status/live").status == 200
    with paused(router):
        if connection == "new":
            client = router.connect()
        client.send_request(X_TTL_MS="3000")
        sent = time.monotonic()
        time.sleep(UNREAD_TIME)
    limit = int(router.next_command().fields["limit"])
    time_left = 3000 - (time.monotonic() - sent) * 1000
    assert limit <= time_left + MAX_LIMIT_EXCESS


def test_limit_of_each_unread_request_does_not_exceed_its_remaining_time(
    start_router: Callable[..., RouterHarness],
) -> None:
    """The kernel reports only when the last bytes arrived.

    The earlier requests are therefore charged for the whole time in which the router read nothing.
    """
    router = start_router()
    client, sent = router.connect(), {}
    assert client.request(path="/status/live").status == 200
    with paused(router):
        for request_id in (1, 2, 3):
            client.send_request(request_id, X_TXN=f"{request_id:016x}", X_TTL_MS="3000")
            sent[f"{request_id:016x}"] = time.monotonic()
            time.sleep(0.3)
    for fetch in fetches(router, 3):
        time_left = 3000 - (time.monotonic() - sent[fetch.request_id]) * 1000
        assert int(fetch.fields["limit"]) <= time_left + MAX_LIMIT_EXCESS


@pytest.mark.parametrize("how", ["abort", "close", "reset"])
def test_no_attempt_starts_for_a_client_that_disconnected_unread(
    start_router: Callable[..., RouterHarness], how: str
) -> None:
    """Hedged requests become due, and the clients disconnect, while the router is stopped.

    The router handles the two in a random order, so the test has several rounds.
    """
    classes = [{**entry, "on_time": 400.0} for entry in SETTINGS["classes"]]
    router = start_router(classes=classes)
    for _ in range(5):
        clients = [router.connect() for _ in range(3)]
        for client in clients:
            client.send_request()
        for _ in clients:
            router.next_command()
        with paused(router):
            for client in clients:
                disconnect(client, how)
            time.sleep(0.4)
        assert fetches(router, 1) == []


def test_half_closed_client_gets_a_final_response(
    start_router: Callable[..., RouterHarness],
) -> None:
    """The router can't tell a half-close from a disconnect, so it has to respond to both."""
    router = start_router()
    client = router.connect()
    client.send_request()
    router.next_command()
    client.sock.shutdown(socket.SHUT_WR)
    assert client.read_response().status in (200, 502, 503)


def test_limit_of_requests_on_an_unaccepted_connection_does_not_exceed_their_remaining_time(
    start_router: Callable[..., RouterHarness], tmp_path: Path
) -> None:
    """Requests arrive on one connection while accept(2) fails with ENOBUFS.

    The earlier ones are charged for the whole time in which the connection may have been pending.
    """
    flag = tmp_path / "no-buffers"
    router = start_router(faults=[SystemCallFault(SystemCall.ACCEPT, "ENOBUFS", flag=str(flag))])
    flag.touch()
    time.sleep(0.1)
    client, sent = router.connect(), {}
    for request_id in (1, 2, 3):
        client.send_request(request_id, X_TXN=f"{request_id:016x}", X_TTL_MS="3000")
        sent[f"{request_id:016x}"] = time.monotonic()
        time.sleep(0.2)
    flag.unlink()
    received = fetches(router, 3)
    assert len(received) == 3
    for fetch in received:
        time_left = 3000 - (time.monotonic() - sent[fetch.request_id]) * 1000
        assert int(fetch.fields["limit"]) <= time_left + MAX_LIMIT_EXCESS


def test_request_that_expired_unread_is_rejected_and_not_sent(
    start_router: Callable[..., RouterHarness],
) -> None:
    router = start_router()
    client = router.connect()
    assert client.request(path="/status/live").status == 200
    with paused(router):
        client.send_request(X_TTL_MS="300")
        time.sleep(UNREAD_TIME)
    assert client.read_response().status == 503
    assert fetches(router, 1) == []
