"""Requests of clients that have left are neither sent on nor run again."""

from __future__ import annotations

import socket

import pytest
import trio
from request_router_harness import RequestRouterHarness, WritableSocket
from router_harness import SETTINGS
from test_client_floods import STRAY_BODY, encode

from edge_router.config.settings_reader import settings_from_json
from edge_router.proxy.fastcgi_frontend import FastCgiFrontend
from edge_router.transport.client_connection import ClientConnection

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
