"""Requests and responses are forwarded unchanged, and no request or client blocks the others."""

from __future__ import annotations

import pytest
from fake_cache import resp_array
from fastcgi_client import ABORT_REQUEST, fastcgi_record
from router_harness import RouterHarness
from socket_requests import FAILED_STATUS, WRITE_REQUEST


def test_request_is_forwarded_unchanged_and_response_returned_complete(router: RouterHarness) -> None:
    client, body = router.connect(), bytes(range(256)) * 900
    client.send_request(5, X_TXN="9b1f03aa5c7e2d41", X_ETAG='W/"4be0"')
    fetch = router.next_command()
    assert fetch.request_id == "9b1f03aa5c7e2d41"
    assert fetch.body == b""
    assert 0 < int(fetch.fields.pop("limit")) <= 8000
    assert fetch.fields == {
        "cls": "image",
        "item": "7f3a9c21e0b4d655",
        "chunk": "3",
        "from": "s-00000020",
        "rank": "1",
        "mode": "wait-for",
        "seen": "4be0",
    }
    fetch.reply(body=body, meter="busy_reqs:7;x0:0.5")
    response = client.read_response()
    assert (response.request_id, response.status, response.body, response.protocol_status) == (
        5,
        200,
        body,
        0,
    )
    assert "X-Notmod" not in response.headers


def test_write_request_is_filled_from_origin_with_its_body(router: RouterHarness) -> None:
    client, body = router.connect(), b"\x00\r\n$*" * 9600
    client.send_request(body=body, **WRITE_REQUEST)
    fetch = router.next_command()
    assert fetch.body == body
    assert fetch.fields["from"] == "s-00000030"
    assert "rank" not in fetch.fields
    fetch.reply(tell="via_origin")
    assert client.read_response().status == 200


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_records_and_replies_may_be_split_at_any_byte(router: RouterHarness, size: int) -> None:
    client = router.connect()
    data = client.encode_request(7, body=b"x" * 300, padding=5, X_SEG="0", X_FILL="y" * 200, **WRITE_REQUEST)
    for at in range(0, len(data), size):
        client.sock.sendall(data[at : at + size])
    fetch = router.next_command()
    assert fetch.body == b"x" * 300
    reply = resp_array(fetch.request_id.encode(), b"200", b"tell=hit,ver=aa11,born=1796128466000", b"abc")
    for at in range(0, len(reply), size):
        fetch.sock.sendall(reply[at : at + size])
    assert client.read_response()[:2] == (7, 200)


def test_responses_complete_out_of_order_and_large_one_does_not_block_others(router: RouterHarness) -> None:
    client = router.connect()
    for ident in range(1, 33):
        client.send_request(ident, X_ROW=f"{ident:016x}")
    fetches = {int(fetch.fields["item"], 16): fetch for fetch in (router.next_command() for _ in range(32))}
    fetches[9].reply(body=bytes(240_000))
    for ident in sorted(fetches, reverse=True):
        if ident != 9:
            fetches[ident].reply(body=b"%d" % ident)
    bodies = {response.request_id: response.body for response in (client.read_response() for _ in range(32))}
    assert bodies.pop(9) == bytes(240_000)
    assert bodies == {ident: b"%d" % ident for ident in range(1, 33) if ident != 9}


def test_client_that_does_not_read_does_not_block_others(router: RouterHarness) -> None:
    slow, quick = router.connect(), router.connect()
    for ident in range(1, 33):
        slow.send_request(ident, X_ROW=f"{ident:016x}")
        router.next_command().reply(body=bytes(240_000))
    quick.send_request()
    router.next_command().reply(body=b"quick")
    assert quick.read_response().body == b"quick"


def test_concurrent_requests_use_separate_upstream_connections(router: RouterHarness) -> None:
    """Requests do not share a connection, because an invalid response closes its connection."""
    client = router.connect()
    for ident in range(1, 9):
        client.send_request(ident, X_ROW=f"{ident:016x}", **WRITE_REQUEST)
    fetches = [router.next_command() for _ in range(8)]
    assert len({id(fetch.sock) for fetch in fetches}) == 8
    fetches[0].sock.sendall(b"noise\r\n")
    for fetch in fetches[1:]:
        fetch.reply()
    assert sorted(client.read_response().status for _ in range(8)) == [200] * 7 + [FAILED_STATUS]


def test_not_modified_response_when_client_copy_is_current(router: RouterHarness) -> None:
    client = router.connect()
    client.send_request(X_ETAG="4be0")
    router.next_command().reply("304", ver="4be0")
    response = client.read_response()
    assert (response.status, response.body, response.headers["X-Notmod"]) == (200, b"", "1")


def test_client_disconnect_cancels_its_attempt(router: RouterHarness) -> None:
    client = router.connect()
    client.send_request(3)
    fetch = router.next_command()
    client.sock.sendall(fastcgi_record(ABORT_REQUEST, 3))
    assert router.next_command("abort").request_id == fetch.request_id
    assert client.read_response()[:2] == (3, 0)
    client.send_request(3)  # the id is free again
    router.next_command().reply(body=b"new")
    assert client.read_response().body == b"new"
    client.send_request(4)
    fetch = router.next_command()
    client.sock.close()
    client._stream.close()
    assert router.next_command("abort").request_id == fetch.request_id


@pytest.mark.parametrize("path", ["/svc/confirm", "/svc/image"])
def test_idempotency_key_is_forwarded_unchanged_with_each_attempt(
    keyed_router: RouterHarness, path: str
) -> None:
    client = keyed_router.connect()
    client.send_request(path=path, X_TXN_KEY="Ab-9/x=1", body=b"")
    first = keyed_router.next_command()
    first.reply("503", tell="no_slot")
    second = keyed_router.next_command()
    assert [fetch.fields["nonce"] for fetch in (first, second)] == ["Ab-9/x=1"] * 2
    second.reply(body=b"done")
    assert client.read_response().body == b"done"
