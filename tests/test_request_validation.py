"""Invalid requests of clients and how they are answered."""

from __future__ import annotations

import time
from typing import Any

import pytest
from fastcgi_client import PARAMS, STDIN, ClientResponse, fastcgi_record
from router_harness import RouterHarness

from edge_router.protocol.fastcgi import MAX_PARAMS, ProtocolStatus
from edge_router.transport.client_session import MAX_CONSECUTIVE_REJECTIONS


@pytest.mark.parametrize("key", [None, "", "a,from=s-1", "a b", "a" * 129])
def test_request_without_valid_idempotency_key_is_rejected(
    keyed_router: RouterHarness, key: str | None
) -> None:
    client = keyed_router.connect()
    assert client.request(path="/svc/confirm", X_TXN_KEY=key).status == 400
    client.send_request(path="/svc/confirm", X_TXN_KEY="k1")
    assert keyed_router.next_command().fields["nonce"] == "k1"


@pytest.mark.parametrize(
    ("parameters", "status"),
    [
        ({"X_TXN": None}, 400),
        ({"X_TXN": "a,from=s-1"}, 400),
        ({"X_ROW": "xyz"}, 400),
        ({"X_SEG": "-1"}, 400),
        ({"X_TXN": "9b1f"}, 400),
        ({"X_ROW": "7f3a9c21e0b4d655f"}, 400),
        ({"X_SEG": "-4000000"}, 400),
        ({"X_SEG": "1e12"}, 400),
        ({"X_SEG": "70000"}, 400),
        ({"X_BUCKET": "256"}, 400),
        ({"X_BUCKET": ""}, 400),
        ({"X_TTL_MS": "99999999999"}, 400),
        ({"X_WORKING_SET_KB": "99999999999"}, 400),
        ({"X_TTL_MS": "soon"}, 400),
        ({"X_TTL_MS": "0"}, 400),
        ({"X_WORKING_SET_KB": "nan"}, 400),
        ({"path": "/svc/nothing"}, 404),
        ({"path": "/else"}, 404),
        ({"X_FILL": "y" * 40_000}, 413),
        # Guards against heads of very many short fields, whose parsing takes far more time than their bytes.
        ({f"F{number}": "" for number in range(MAX_PARAMS)}, 431),
    ],
)
def test_invalid_request_is_rejected_with_its_status(
    router: RouterHarness, parameters: dict[str, Any], status: int
) -> None:
    client = router.connect()
    assert client.request(**parameters).status == status
    assert router.log_lines("bad-request")
    client.send_request(2)
    router.next_command().reply()
    assert client.read_response().status == 200


@pytest.mark.parametrize(("kind", "status"), [(PARAMS, 413), (STDIN, 413)])
def test_oversized_request_is_answered_before_its_end(router: RouterHarness, kind: int, status: int) -> None:
    client = router.connect()
    client.sock.sendall(
        client.encode_request()[:-8].replace(
            fastcgi_record(PARAMS, 1), b"" if kind == PARAMS else fastcgi_record(PARAMS, 1)
        )
    )
    client.sock.sendall(fastcgi_record(kind, 1, bytes(60_000)) * 3)  # the stream is never ended
    assert client.read_response()[:2] == (1, status)


def test_second_request_with_the_id_of_an_open_one_is_rejected(router: RouterHarness) -> None:
    """Rejected because a cache response with this id could be returned to the wrong client."""
    client, other = router.connect(), router.connect()
    client.send_request(X_TXN="9b1f03aa5c7e2d41")
    fetch = router.next_command()
    assert other.request(X_TXN="9b1f03aa5c7e2d41", X_ROW="0123456789abcdef").status == 400
    fetch.reply(body=b"mine")
    assert client.read_response().body == b"mine"
    assert router.commands.empty()
    other.send_request(X_TXN="9b1f03aa5c7e2d41")  # the id is free again
    router.next_command().reply(body=b"now")
    assert other.read_response().body == b"now"


@pytest.mark.parametrize("interval", [0.0, 0.005])
def test_too_many_invalid_requests_close_the_connection_after_its_open_request(
    router: RouterHarness, interval: float
) -> None:
    """The open request is answered first, although the client continues to send.

    The first invalid requests are answered with a status each, and the following ones are rejected with a
    protocol status. The number of the latter depends on how the bytes arrive, unless they arrive one by one.
    """
    client = router.connect()
    client.send_request(1)
    fetch = router.next_command()
    for ident in range(2, 25):
        client.send_request(ident, path="/svc/nothing")
        time.sleep(interval)
    router.wait_until(lambda: len(router.log_lines("bad-request")) > 3, "the rejections")
    fetch.reply(body=b"first")
    responses: list[ClientResponse] = []

    def read_all() -> None:
        while True:
            responses.append(client.read_response())

    with pytest.raises(EOFError):
        read_all()
    assert [response.status for response in responses if response.body == b"first"] == [200]
    ends = [
        (response.status, response.protocol_status) for response in responses if response.body != b"first"
    ]
    rejected = ends.count((404, 0))
    assert ends == [(404, 0)] * rejected + [(0, ProtocolStatus.OVERLOADED)] * (len(ends) - rejected)
    if interval:
        assert (rejected, len(ends)) == (MAX_CONSECUTIVE_REJECTIONS + 1, 23)
    assert rejected > MAX_CONSECUTIVE_REJECTIONS
