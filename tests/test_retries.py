"""Which requests are retried after a failure, and which failures count against a cache."""

from __future__ import annotations

import socket
import struct
from typing import Any

import pytest
from fake_change_log import ENDPOINT_CHANGES, REMOVED, UP
from router_harness import RouterHarness
from socket_requests import FAILED_STATUS, WRITE_REQUEST, is_rejection
from tcp_endpoints import UnresponsiveAddress


@pytest.mark.parametrize(
    ("status", "parameters", "retried"),
    [
        ("404", {}, True),
        ("503", {}, True),
        ("504", {}, True),
        ("500", {}, True),
        ("404", WRITE_REQUEST, True),
        ("503", WRITE_REQUEST, True),
        ("500", WRITE_REQUEST, False),
    ],
)
def test_only_unexecuted_or_idempotent_requests_are_retried(
    router: RouterHarness, status: str, parameters: dict[str, Any], retried: bool
) -> None:
    client = router.connect()
    client.send_request(**parameters)
    first = router.next_command()
    first.reply(status, tell="")
    if retried:
        second = router.next_command()
        assert second.request_id == first.request_id
        assert second.cache is not first.cache
        second.reply(body=b"ok")
        assert client.read_response().body == b"ok"
    else:
        assert client.read_response().status == FAILED_STATUS
        assert router.commands.empty()


@pytest.mark.parametrize(("parameters", "status"), [({}, 200), (WRITE_REQUEST, FAILED_STATUS)])
def test_broken_connection_counts_as_possibly_executed(
    router: RouterHarness, parameters: dict[str, Any], status: int
) -> None:
    client = router.connect()
    client.send_request(**parameters)
    fetch = router.next_command()
    fetch.sock.shutdown(2)
    if status == 200:
        router.next_command().reply()
    assert client.read_response().status == status
    assert router.commands.empty()


def test_refused_connection_counts_as_not_executed(router: RouterHarness) -> None:
    client = router.connect()
    client.send_request(**WRITE_REQUEST)
    home = router.next_command()
    home.reply()
    assert client.read_response().status == 200
    home.cache.listener.close()
    for _ in range(20):  # the old connection breaks first
        client.send_request(**WRITE_REQUEST)
        router.next_command().reply()
        assert client.read_response().status == 200


def test_connection_timeout_counts_as_not_executed(router: RouterHarness) -> None:
    unresponsive, client = UnresponsiveAddress(), router.connect()
    router.change_log.send_event(
        2, ENDPOINT_CHANGES, router.endpoint_record(router.caches[0], UP, port=unresponsive.port)
    )
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 5, "the change of the endpoint")
    for number in range(8):  # about half of the objects have this cache as their home cache
        client.send_request(X_ROW=f"{number + 1:016x}", **WRITE_REQUEST)
        router.next_command().reply()
        assert client.read_response().status == 200
    assert any("connect timeout expired" in line for line in router.log_lines("upstream-connection-lost"))
    unresponsive.close()


def test_request_is_rejected_at_once_when_no_cache_is_reachable(router: RouterHarness) -> None:
    client = router.connect()
    for cache in router.caches:
        cache.listener.close()
    assert is_rejection(client.request(X_TTL_MS="3600000"))


@pytest.mark.parametrize(("parameters", "rejected"), [({}, True), (WRITE_REQUEST, False)])
def test_request_to_unresponsive_cache_is_answered_at_the_deadline(
    router: RouterHarness, parameters: dict[str, Any], rejected: bool
) -> None:
    client = router.connect()
    response = client.request(X_TTL_MS="300", **parameters)
    assert is_rejection(response) if rejected else response.status == FAILED_STATUS
    fetch = router.next_command()
    assert router.next_command("abort").request_id == fetch.request_id
    fetch.reply(body=b"too late")
    client.send_request(2)
    router.next_command().reply(body=b"in time")
    response = client.read_response()
    assert (response.request_id, response.body) == (2, b"in time")


def test_loss_of_an_unused_connection_does_not_count_against_the_cache(router: RouterHarness) -> None:
    """A cache ends the connection after each response, so the next request needs a new one.

    If that counted as a failure, a healthy cache would be ejected and the write rejected. A request that was
    not sent did not run, so even a write is retried on another connection.
    """
    client, home = router.connect(), router.caches[0]
    router.change_log.send_event(2, ENDPOINT_CHANGES, router.endpoint_record(router.caches[1], REMOVED))
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 5, "the removal of a cache")
    for _ in range(4):
        client.send_request(**WRITE_REQUEST)
        fetch = router.next_command()
        fetch.reply()
        assert client.read_response().status == 200
        fetch.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        fetch.sock.shutdown(2)
    assert len(home.listener.accepted) == 4
    assert not router.log_lines("routing")


def test_occasional_connection_loss_does_not_eject_the_cache(router: RouterHarness) -> None:
    """Each lost request is retried at the same cache, without using the retry budget."""
    client = router.connect()
    for _ in range(40):  # more than the retry budget allows
        client.send_request()
        home = router.next_command()
        home.sock.shutdown(2)
        again = router.next_command()
        assert again.cache is home.cache
        again.reply()
        assert client.read_response().status == 200
    assert not router.log_lines("routing")


def test_simultaneous_connection_loss_does_not_eject_the_cache(router: RouterHarness) -> None:
    """All lost requests are retried at the same cache, which holds the object by then."""
    client = router.connect()
    for ident in range(1, 4):
        client.send_request(ident)
    fetches = [router.next_command() for _ in range(3)]
    for fetch in fetches:
        fetch.sock.shutdown(2)
    for _ in fetches:
        again = router.next_command()
        assert again.cache is fetches[0].cache
        again.reply()
    assert {client.read_response().status for _ in fetches} == {200}
    assert not router.log_lines("routing")
