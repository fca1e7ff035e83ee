"""Change log events (endpoints that drain, move, restart or are removed), and failures of the log."""

from __future__ import annotations

import contextlib
import struct
import time

import pytest
from fake_cache import FakeCache
from fake_change_log import (
    DRAINING,
    ENDPOINT_CHANGES,
    FULL_LIST,
    GROUP_PURGE,
    HEARTBEAT,
    REMOVED,
    UP,
    encode_endpoint,
    encode_group_purge,
)
from router_harness import RouterHarness
from socket_requests import request_objects
from tcp_endpoints import UnresponsiveAddress
from waiting import TEST_TIMEOUT


def test_attempt_at_a_removed_endpoint_ends_and_is_retried_elsewhere(router: RouterHarness) -> None:
    """Attempts at the endpoint end at once and connections to it are closed, as it can't respond any more."""
    client = router.connect()
    client.send_request()
    fetch = router.next_command()
    others = [cache for cache in router.caches if cache is not fetch.cache]
    router.change_log.send_event(
        2, FULL_LIST, b"".join(router.endpoint_record(cache, UP) for cache in others)
    )
    retry = router.next_command()
    assert retry.cache in others
    retry.reply(body=b"elsewhere")
    assert client.read_response().body == b"elsewhere"
    assert fetch.sock.recv(1) == b""


@pytest.mark.parametrize("state", [DRAINING, REMOVED])
def test_no_new_attempt_at_a_draining_or_removed_cache(router: RouterHarness, state: int) -> None:
    client, (leaving, staying) = router.connect(), router.caches
    assert {fetch.cache for fetch in request_objects(router, client)} == {leaving, staying}
    router.change_log.send_event(2, ENDPOINT_CHANGES, router.endpoint_record(leaving, state))
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 5, "the change")
    assert {fetch.cache for fetch in request_objects(router, client)} == {staying}


def test_draining_parent_is_no_longer_a_source(router: RouterHarness) -> None:
    client = router.connect()
    assert request_objects(router, client, 1)[0].fields["from"] == "s-00000020"
    parent = encode_endpoint(0x20, state=DRAINING)
    router.change_log.send_event(2, ENDPOINT_CHANGES, parent)
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 5, "the change")
    assert request_objects(router, client, 1)[0].fields["from"] == "s-00000030"


def test_new_cache_at_a_reused_address_gets_new_connections(router: RouterHarness) -> None:
    """Endpoints are identified by id, so the connections to the old cache are not used for the new one."""
    client, (old, _) = router.connect(), router.caches
    request_objects(router, client)
    assert old.listener.accepted
    new = encode_endpoint(0x99, old.listener.port, zone=1, machine_type=0)
    before = len(old.listener.accepted)
    router.change_log.send_event(2, ENDPOINT_CHANGES, router.endpoint_record(old, REMOVED) + new)
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 6, "the change")
    request_objects(router, client)
    assert len(old.listener.accepted) > before


def test_migrated_cache_is_reached_at_its_new_address(router: RouterHarness) -> None:
    client, (old, _) = router.connect(), router.caches
    assert old in {fetch.cache for fetch in request_objects(router, client)}
    moved = FakeCache(old.endpoint_id, router.commands)
    router.change_log.send_event(
        2, ENDPOINT_CHANGES, router.endpoint_record(old, UP, port=moved.listener.port)
    )
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 5, "the change")
    assert {fetch.cache for fetch in request_objects(router, client)} == {moved, router.caches[1]}
    moved.listener.close()


@pytest.mark.parametrize(("start_offset_ms", "lost"), [(1000, True), (-60_000, False)])
def test_connections_older_than_the_start_of_their_endpoint_are_closed(
    router: RouterHarness, start_offset_ms: int, lost: bool
) -> None:
    """They belong to the previous process, so their requests fail at once; newer ones are kept."""
    client = router.connect()
    client.send_request()
    fetch = router.next_command()
    router.change_log.send_event(
        2,
        ENDPOINT_CHANGES,
        router.endpoint_record(fetch.cache, UP, int(time.time() * 1000) + start_offset_ms),
    )
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 5, "the endpoint update")
    if lost:
        router.wait_until(lambda: router.log_lines("upstream-connection-lost"), "the end of the connection")
        fetch = router.next_command()
    fetch.reply(body=b"here")
    assert client.read_response().body == b"here"
    assert bool(router.log_lines("upstream-connection-lost")) is lost


@pytest.mark.parametrize("failure", ["closed", "gap", "unreadable", "silent", "trickling"])
def test_change_log_resumes_where_it_broke(router: RouterHarness, failure: str) -> None:
    assert router.change_log.resumed_from.get(timeout=TEST_TIMEOUT) == 1
    purge = encode_group_purge(40, 1)
    router.change_log.send_event(2, GROUP_PURGE, purge)
    router.change_log.send_event(2, HEARTBEAT)
    if failure == "closed":
        router.change_log.listener.accepted[-1].shutdown(2)
    elif failure == "gap":
        router.change_log.send_event(4, GROUP_PURGE, purge)
    elif failure == "unreadable":
        router.change_log.listener.accepted[-1].sendall(struct.pack(">IQB", 2, 3, HEARTBEAT))
    elif failure == "trickling":
        router.change_log.listener.accepted[-1].sendall(struct.pack(">IQB", 500, 3, ENDPOINT_CHANGES))

        def disconnected() -> bool:
            router.change_log.send_partial_frame_byte()
            return bool(router.log_lines("change-log-disconnected"))

        router.wait_until(disconnected, "the loss of the connection")
    assert router.change_log.resumed_from.get(timeout=TEST_TIMEOUT) == 2
    router.change_log.send_event(3, ENDPOINT_CHANGES, router.endpoint_record(router.caches[0], DRAINING))
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 5, "the next event")


def test_persistent_gap_is_filled_by_the_full_endpoint_list(router: RouterHarness) -> None:
    """The effect of the missing events, such as a drain or a purge, must still reach the router."""
    for _ in range(2):  # the log no longer has event 2
        assert router.change_log.resumed_from.get(timeout=TEST_TIMEOUT) == 1
        router.change_log.send_event(3, GROUP_PURGE, encode_group_purge(40, 1))
    assert router.change_log.resumed_from.get(timeout=TEST_TIMEOUT) == 0
    endpoints = b"".join(
        router.endpoint_record(cache, state)
        for cache, state in zip(router.caches, (DRAINING, UP), strict=True)
    )
    router.change_log.send_event(3, FULL_LIST, endpoints)
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 6, "the full endpoint list")


@pytest.mark.parametrize("event", ["drain", "source", "purge"])
def test_pending_attempt_is_checked_again_when_its_connection_is_established(event: str) -> None:
    """Meanwhile the cache may start to drain, its source may start to drain, or the object may be purged.

    The attempt must then not be sent to that cache, or only with the new source or with a maximum age.
    """
    limits = {"connect_timeout": 28_000.0, "conn_idle": 600_000.0, "most_tries": 8, "cancel": True}
    router = RouterHarness(limits=limits)  # time for the kernel to retry several times
    unresponsive, client, (slow, other) = UnresponsiveAddress(), router.connect(), router.caches
    router.change_log.send_event(
        2,
        ENDPOINT_CHANGES,
        router.endpoint_record(slow, UP, port=unresponsive.port) + router.endpoint_record(other, DRAINING),
    )
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 6, "the first change")
    client.send_request(X_TTL_MS="30000")
    client.send_request(2, path="/svc/nothing")
    assert client.read_response().status == 404  # so the first request has been decided
    if event == "drain":
        router.change_log.send_event(
            3,
            ENDPOINT_CHANGES,
            router.endpoint_record(slow, DRAINING, port=unresponsive.port)
            + router.endpoint_record(other, UP),
        )
        router.next_command().reply(body=b"other")
        assert client.read_response().body == b"other"
        with contextlib.suppress(TimeoutError):
            sock = unresponsive.accept_connection(3.0)
            sock.settimeout(1.0)
            assert sock.recv(1) == b""  # the connection may end, but nothing is sent
    else:
        parent = encode_endpoint(0x20, state=DRAINING if event == "source" else UP)
        # The object is in group 17; for `source`, another group is purged, which does not affect it.
        router.change_log.send_event(
            3, GROUP_PURGE, encode_group_purge(17 + (event == "source"), int(time.time() * 1000))
        )
        router.change_log.send_event(4, ENDPOINT_CHANGES, parent)
        router.wait_until(lambda: len(router.log_lines("endpoint")) == 7, "the change after the purge")
        fields = unresponsive.accept_connection().recv(1000)
        assert (b"oldest=" in fields, b"from=s-00000030" in fields) == (event == "purge", event == "source")
    unresponsive.close()
    router.close()


def test_unknown_events_and_endpoints_are_tolerated(router: RouterHarness) -> None:
    client, unknown = (
        router.connect(),
        struct.pack(">IIHBBBHIQ", 0x77, 0, 0, 9, 200, 200, 65535, 0, 2**64 - 1),
    )
    for number in range(2, 9):
        router.change_log.send_event(number, ENDPOINT_CHANGES, unknown + unknown)
    router.change_log.send_event(9, 77, b"?")
    endpoints = b"".join(router.endpoint_record(cache, UP) for cache in router.caches)
    router.change_log.send_event(10, FULL_LIST, endpoints + encode_endpoint(0x30, machine_type=2))
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 4 + 14 + 3, "the full endpoint list")
    assert {fetch.fields["from"] for fetch in request_objects(router, client)} == {"s-00000030"}
