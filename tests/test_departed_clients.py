"""Requests of clients that have left are neither sent on nor run again."""

from __future__ import annotations

import socket

import pytest
import trio
from request_router_harness import RequestRouterHarness, WritableSocket
from router_harness import SETTINGS, RouterHarness
from test_client_floods import STRAY_BODY, encode

from edge_router.config.settings_reader import settings_from_json
from edge_router.proxy.fastcgi_frontend import FastCgiFrontend
from edge_router.proxy.run_history import MAX_REMEMBERED_RUNS, RUN_MEMORY_TIME, RunHistory
from edge_router.transport.client_connection import ClientConnection

REQUEST_ID = "9b1f03aa5c7e2d41"
UNREADABLE = b"\xff" * 64


# Guards against attempts for a client that has closed its connection behind input that ends the poll early.
@pytest.mark.parametrize(
    "unread",
    [b"", UNREADABLE, STRAY_BODY * 500 + UNREADABLE],
    ids=["nothing", "unreadable", "records and unreadable"],
)
def test_attempt_is_not_sent_for_a_client_that_closed_with_unread_input(unread: bytes) -> None:
    harness, sock, (ours, theirs) = RequestRouterHarness(), WritableSocket(), socket.socketpair()
    frontend = FastCgiFrontend(settings_from_json(SETTINGS), harness.router)

    async def receive() -> None:
        connection = ClientConnection(ours, frontend, harness.clock.now, harness.budget)
        theirs.sendall(encode(1))
        connection._take_turn()
        assert not harness.router.run_decisions()
        theirs.sendall(unread)
        theirs.close()
        harness.channels[0].on_connected(sock)
        assert sock.written == b""

    with ours, theirs:
        ours.setblocking(False)
        trio.run(receive)


# Guards against a request that runs twice, as its id comes again when its first client has left.
@pytest.mark.parametrize("answered", [False, True])
def test_request_that_may_have_run_is_not_run_again_under_the_same_id(
    router: RouterHarness, answered: bool
) -> None:
    first, again = router.connect(), router.connect()
    first.send_request(path="/svc/confirm", X_TXN=REQUEST_ID)
    fetch = router.next_command()
    if answered:
        fetch.reply()
        assert first.read_response().status == 200
    else:
        first.sock.shutdown(socket.SHUT_RDWR)
        assert router.next_command("abort").request_id == REQUEST_ID
    assert again.request(path="/svc/confirm", X_TXN=REQUEST_ID).status == 400
    assert router.commands.empty()
    # A request that never ran is free to come again.
    again.send_request(path="/svc/confirm", X_TXN=REQUEST_ID[::-1])
    router.next_command().reply("404")
    assert again.read_response().status in (502, 503)
    again.send_request(path="/svc/confirm", X_TXN=REQUEST_ID[::-1])
    assert router.next_command().request_id == REQUEST_ID[::-1]


def test_remembered_runs_are_limited_in_number_and_time() -> None:
    history = RunHistory()
    for number in range(MAX_REMEMBERED_RUNS + 1):
        history.record(number / 1e6, f"{number:016x}")
    assert not history.may_have_run(1.0, f"{0:016x}")
    assert history.may_have_run(RUN_MEMORY_TIME - 1.0, f"{MAX_REMEMBERED_RUNS:016x}")
    assert not history.may_have_run(RUN_MEMORY_TIME + 1.0, f"{MAX_REMEMBERED_RUNS:016x}")
    assert not history._ids
