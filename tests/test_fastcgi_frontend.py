"""The FastCGI side of the router: records, connections and their limits."""

from __future__ import annotations

import struct

import pytest
from fastcgi_client import (
    BEGIN_REQUEST,
    END_REQUEST,
    GET_VALUES,
    GET_VALUES_RESULT,
    UNKNOWN_TYPE,
    fastcgi_record,
    name_value_pair,
)
from router_harness import RouterHarness


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        fastcgi_record(BEGIN_REQUEST, 1, b"\0"),
        fastcgi_record(BEGIN_REQUEST, 1, struct.pack(">HB5x", 1, 1)) * 2,
        fastcgi_record(GET_VALUES, 0, b"\x20\x00abc"),
    ],
)
def test_malformed_fastcgi_closes_only_its_connection(router: RouterHarness, data: bytes) -> None:
    other, client = router.connect(), router.connect()
    other.send_request()
    fetch = router.next_command()
    client.sock.sendall(data)
    assert client.is_closed()
    fetch.reply()
    assert other.read_response().status == 200
    router.wait_until(lambda: router.log_lines("client-connection-error"), "the connection error")


@pytest.mark.parametrize(
    ("data", "kind", "content"),
    [
        (
            fastcgi_record(
                GET_VALUES, 0, name_value_pair("FCGI_MPXS_CONNS", "") + name_value_pair("ELSE", "")
            ),
            GET_VALUES_RESULT,
            name_value_pair("FCGI_MPXS_CONNS", "1"),
        ),
        (fastcgi_record(77, 0, b"?"), UNKNOWN_TYPE, b"\x4d" + bytes(7)),
        (fastcgi_record(BEGIN_REQUEST, 9, struct.pack(">HB5x", 2, 1)), END_REQUEST, b"\0\0\0\0\x03\0\0\0"),
    ],
)
def test_management_records_are_answered(
    router: RouterHarness, data: bytes, kind: int, content: bytes
) -> None:
    client = router.connect()
    client.sock.sendall(data)
    record = client.read_record()
    assert (record[0], record[2]) == (kind, content)


@pytest.mark.parametrize("sent", ["nothing", "half a record", "half a request"])
def test_incomplete_input_times_out_without_affecting_others(router: RouterHarness, sent: str) -> None:
    """An unfinished record, or none at all, ends the connection, as such clients could occupy all of them.

    An unfinished request is answered with 408, and its connection stays usable.
    """
    usual, client = router.connect(), router.connect()
    usual.send_request()
    fetch = router.next_command()
    request = client.encode_request(7)
    if sent == "half a record":
        client.sock.sendall(request[:10])
    elif sent == "half a request":
        client.sock.sendall(request[:-8])  # all but the end of the body
        assert client.read_response()[:2] == (7, 408)
        client.send_request(8)
        router.next_command().reply(body=b"goes on")
        assert client.read_response().body == b"goes on"
    if sent != "half a request":
        assert client.is_closed()
    fetch.reply(body=b"usual")
    assert usual.read_response().body == b"usual"


def test_connection_without_keep_flag_closes_after_its_response(router: RouterHarness) -> None:
    client = router.connect()
    client.sock.sendall(
        client.encode_request().replace(struct.pack(">HB5x", 1, 1), bytes((0, 1)) + bytes(6), 1)
    )
    router.next_command().reply(body=b"x" * 100_000)
    assert len(client.read_response().body) == 100_000
    assert client.is_closed()


def test_request_above_the_open_request_limit_of_a_connection_is_rejected(router: RouterHarness) -> None:
    client = router.connect()
    for ident in range(1, 34):  # one more than MAX_OPEN_REQUESTS
        client.send_request(ident)
    response = client.read_response()
    # No status line (0), and the protocol status OVERLOADED (2).
    assert (response.request_id, response.status, response.protocol_status) == (33, 0, 2)
