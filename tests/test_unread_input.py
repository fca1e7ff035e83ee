"""What a client sent while the router could not read: requests grow old, and clients leave, unseen.

The router is stopped (SIGSTOP) to force the crossing: all that comes meanwhile is there when it goes on.
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

from stand import SETTINGS, Client, Fetch, Stand, record
from stonecove.soak.system_call_faults import SystemCall, SystemCallFault

EXCESS = 150  # ms by which the limit passed on may exceed what the client has left
UNREAD = 0.6  # seconds


@contextlib.contextmanager
def stopped(stand: Stand) -> Iterator[None]:
    """The router reads nothing meanwhile."""
    stand.process.send_signal(signal.SIGSTOP)
    yield
    stand.process.send_signal(signal.SIGCONT)


def fetches(stand: Stand, count: int) -> list[Fetch]:
    """The next fetches, as many as there are within a second, so many at most."""
    found: list[Fetch] = []
    with contextlib.suppress(queue.Empty):
        while len(found) < count:
            if (fetch := stand.commands.get(timeout=1.0)).word == "fetch":
                found.append(fetch)
    return found


def leave(client: Client, how: str) -> None:
    """The client no longer waits for its request 1."""
    if how == "abort":
        client.sock.sendall(record(2, 1))
    elif how == "close":
        client.sock.shutdown(socket.SHUT_RDWR)
    else:
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        socket.close(client.sock.detach())


@pytest.mark.parametrize("connection", ["resting", "new"])
def test_the_time_that_a_request_waited_unread_is_taken_off_its_deadline(
    start: Callable[..., Stand], connection: str
) -> None:
    stand = start()
    client = stand.client()
    assert client.ask(path="/status/live").status == 200
    with stopped(stand):
        if connection == "new":
            client = stand.client()
        client.send(X_TTL_MS="3000")
        sent = time.monotonic()
        time.sleep(UNREAD)
    limit = int(stand.command().fields["limit"])
    left = 3000 - (time.monotonic() - sent) * 1000
    assert limit <= left + EXCESS


def test_of_requests_that_came_one_by_one_the_oldest_counts(start: Callable[..., Stand]) -> None:
    stand = start()
    client, sent = stand.client(), {}
    assert client.ask(path="/status/live").status == 200
    with stopped(stand):
        for ident in (1, 2, 3):
            client.send(ident, X_TXN=f"{ident:016x}", X_TTL_MS="3000")
            sent[f"{ident:016x}"] = time.monotonic()
            time.sleep(0.3)
    for fetch in fetches(stand, 3):
        left = 3000 - (time.monotonic() - sent[fetch.txn]) * 1000
        assert int(fetch.fields["limit"]) <= left + EXCESS


@pytest.mark.parametrize("how", ["abort", "close", "reset"])
def test_no_attempt_begins_for_a_client_that_left_unseen(start: Callable[..., Stand], how: str) -> None:
    """Second copies fall due, and the clients leave, while the router is stopped.

    Which of the two it looks at first is left to chance, so there are several rounds.
    """
    classes = [{**entry, "on_time": 400.0} for entry in SETTINGS["classes"]]
    stand = start(classes=classes)
    for _ in range(5):
        clients = [stand.client() for _ in range(3)]
        for client in clients:
            client.send()
        for _ in clients:
            stand.command()
        with stopped(stand):
            for client in clients:
                leave(client, how)
            time.sleep(0.4)
        assert fetches(stand, 1) == []


def test_a_client_that_only_ends_its_sending_gets_its_answer(start: Callable[..., Stand]) -> None:
    """It can't be told from one that left, so nothing new is begun; but a final answer is owed."""
    stand = start()
    client = stand.client()
    client.send()
    stand.command()
    client.sock.shutdown(socket.SHUT_WR)
    assert client.answer().status in (200, 502, 503)


def test_of_requests_on_a_connection_that_waited_to_be_accepted_the_oldest_counts(
    start: Callable[..., Stand], tmp_path: Path
) -> None:
    """Accepting fails for a while, as without descriptors; meanwhile one connection gets one request more."""
    flag = tmp_path / "no-buffers"
    stand = start(faults=[SystemCallFault(SystemCall.ACCEPT, "ENOBUFS", flag=str(flag))])
    flag.touch()
    time.sleep(0.1)
    client, sent = stand.client(), {}
    for ident in (1, 2, 3):
        client.send(ident, X_TXN=f"{ident:016x}", X_TTL_MS="3000")
        sent[f"{ident:016x}"] = time.monotonic()
        time.sleep(0.2)
    flag.unlink()
    found = fetches(stand, 3)
    assert len(found) == 3
    for fetch in found:
        left = 3000 - (time.monotonic() - sent[fetch.txn]) * 1000
        assert int(fetch.fields["limit"]) <= left + EXCESS


def test_a_request_whose_time_was_over_unread_is_refused_and_not_sent(start: Callable[..., Stand]) -> None:
    stand = start()
    client = stand.client()
    assert client.ask(path="/status/live").status == 200
    with stopped(stand):
        client.send(X_TTL_MS="300")
        time.sleep(UNREAD)
    assert client.answer().status == 503
    assert fetches(stand, 1) == []
