"""A full table of clients makes room for usual ones in time."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Callable

import pytest
from router_harness import RouterHarness
from test_client_floods import ANSWER_SLACK, TIMEOUT_MS, answer_all

SOCKETS = 64  # of which clients get 32
BAD_CLIENTS = {"silent": 300, "half requests": 60}


# Guards against usual requests that are lost behind connections which fill the table and bring no request.
@pytest.mark.parametrize("kind", BAD_CLIENTS)
def test_usual_request_is_answered_in_time_behind_clients_that_complete_none(
    start_router: Callable[..., RouterHarness], kind: str
) -> None:
    router = start_router(sockets=SOCKETS)
    answer_all(router)
    half_request = router.connect().encode_request()[:-8]
    with contextlib.ExitStack() as stack:
        for _ in range(BAD_CLIENTS[kind]):
            bad = stack.enter_context(socket.create_connection(router.address))
            bad.sendall(b"" if kind == "silent" else half_request)
        sent_at = time.monotonic()
        assert router.connect().request(X_TTL_MS=str(TIMEOUT_MS)).status == 200
        assert time.monotonic() - sent_at < TIMEOUT_MS / 1000.0 + ANSWER_SLACK


# Guards against a client that writes slowly and loses its request although nobody waits for its place.
def test_slow_client_keeps_its_time_while_the_table_is_not_full(router: RouterHarness) -> None:
    answer_all(router)
    client = router.connect()
    message = client.encode_request()
    client.sock.sendall(message[:-8])
    time.sleep(1.0)
    client.sock.sendall(message[-8:])
    assert client.read_response().status == 200


# Guards against a half request that a full table drops without an answer.
def test_evicted_half_request_is_answered(start_router: Callable[..., RouterHarness]) -> None:
    router = start_router(sockets=SOCKETS)
    clients = [router.connect() for _ in range(SOCKETS)]
    for client in clients:
        client.sock.sendall(client.encode_request()[:-8])
    assert clients[0].read_response().status == 408
    assert clients[0].is_closed()
