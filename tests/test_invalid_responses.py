"""Responses of caches that are malformed, stale or unexpected."""

from __future__ import annotations

import time
from typing import Any

import pytest
from fake_cache import resp_array
from router_harness import RouterHarness
from socket_requests import FAILED_STATUS, WRITE_REQUEST

VALID_RESPONSE_FIELDS = b"tell=hit,ver=aa11,born=1796128466000"


@pytest.mark.parametrize(("parameters", "status"), [({}, 200), (WRITE_REQUEST, FAILED_STATUS)])
@pytest.mark.parametrize(
    "parts",
    [
        b"*4\r\n$16\r\n9b1f",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"*1\r\n$3000000000\r\n",
        b"*" * 99,
        b"*0\r\n",
        (b"200", VALID_RESPONSE_FIELDS),
        (b"200", VALID_RESPONSE_FIELDS, b"body", b"more"),
        (b"999", VALID_RESPONSE_FIELDS, b""),
        (b"\xff\x00", VALID_RESPONSE_FIELDS, b""),
        (b"200", b"\x00\xfe", b"body"),
        (b"404", b"tell", b""),
        (b"503", b"-", b"full?"),
        (b"200", VALID_RESPONSE_FIELDS, bytes(240_001)),
    ],
)
def test_invalid_response_counts_as_possibly_executed_and_closes_its_connection(
    router: RouterHarness, parts: Any, parameters: dict[str, Any], status: int
) -> None:
    """Truncated responses (the rest never arrives), other protocols, and arrays with invalid items."""
    client = router.connect()
    client.send_request(**parameters)
    fetch = router.next_command()
    fetch.sock.sendall(parts if isinstance(parts, bytes) else resp_array(fetch.request_id.encode(), *parts))
    if status == 200:
        again = router.next_command()
        assert again.sock is not fetch.sock
        again.reply(body=b"whole")
    response = client.read_response()
    assert response.status == status
    assert router.commands.empty()
    assert response.body == (b"whole" if status == 200 else b"")
    assert router.log_lines("upstream-connection-lost")


@pytest.mark.parametrize(
    "fields", [b"-", VALID_RESPONSE_FIELDS[:8], VALID_RESPONSE_FIELDS.replace(b"born=1", b"born=x")]
)
def test_response_without_version_or_age_is_not_forwarded(router: RouterHarness, fields: bytes) -> None:
    client = router.connect()
    client.send_request()
    fetch = router.next_command()
    fetch.sock.sendall(resp_array(fetch.request_id.encode(), b"200", fields, b"whose?"))
    router.next_command().reply(body=b"whole")
    assert client.read_response().body == b"whole"


def test_unexpected_responses_keep_the_connection_in_use(router: RouterHarness) -> None:
    """Duplicate responses, and responses whose id is not that of an open request."""
    client = router.connect()
    used = set()
    for _ in range(3):
        client.send_request()
        fetch = router.next_command()
        fetch.sock.sendall(resp_array(b"0123456789abcdef", b"200", b"-", b"not asked for"))
        for body in (b"first", b"second"):
            fetch.reply(body=body)
        assert client.read_response().body == b"first"
        used.add(fetch.sock)
    assert len(used) == 1
    assert not router.log_lines("upstream-connection-lost")


def test_duplicate_response_is_not_forwarded(router: RouterHarness) -> None:
    client = router.connect()
    client.send_request(1)
    fetch = router.next_command()
    for body in (b"first", b"second"):
        fetch.reply(body=body)
    assert client.read_response().body == b"first"
    client.send_request(2)
    router.next_command().reply(body=b"third")
    assert client.read_response()[:1] == (2,)


@pytest.mark.parametrize(
    ("status", "fields", "parameters"),
    [
        ("200", {"born": int(time.time() * 1000) - 60_000}, {"path": "/svc/page"}),  # fresh for 20 s
        ("304", {"ver": "other"}, {"X_ETAG": "4be0"}),
        ("304", {}, {}),
    ],
)
def test_stale_or_mismatched_response_is_not_forwarded(
    router: RouterHarness, status: str, fields: dict[str, object], parameters: dict[str, Any]
) -> None:
    client = router.connect()
    client.send_request(**parameters)
    router.next_command().reply(status, b"", **fields)
    router.next_command().reply(body=b"good")
    assert client.read_response().body == b"good"
    assert len(router.log_lines("invalid-response")) == 1


def test_not_modified_requires_a_version_from_the_cache(router: RouterHarness) -> None:
    client = router.connect()
    client.send_request(X_ETAG="4be0", **WRITE_REQUEST)
    fetch = router.next_command()
    fetch.sock.sendall(resp_array(fetch.request_id.encode(), b"304", b"-", b""))
    assert client.read_response().status == FAILED_STATUS
