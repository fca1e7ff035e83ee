"""Purges of cached objects, also when the router's wall clock is set back."""

from __future__ import annotations

import struct
import time
from pathlib import Path

import pytest
from fake_change_log import ENDPOINT_CHANGES, GROUP_PURGE, OBJECT_PURGE, UP, encode_group_purge
from router_harness import RouterHarness
from socket_requests import is_rejection, request_objects


@pytest.mark.parametrize(
    ("kind", "name"),
    [(OBJECT_PURGE, struct.pack(">Q", 0x7F3A9C21E0B4D655)), (GROUP_PURGE, struct.pack(">H", 17))],
)
def test_purge_limits_the_age_of_accepted_copies(router: RouterHarness, kind: int, name: bytes) -> None:
    client = router.connect()
    client.send_request()
    router.next_command().reply()
    assert client.read_response().status == 200
    purged_at = int(time.time() * 1000) - 100
    router.change_log.send_event(2, kind, name + struct.pack(">Q", purged_at))

    def send_request_and_check_age_limit() -> bool:
        """Returns whether the cache was sent a maximum age, which must exclude copies before the purge."""
        client.send_request()
        fetch = router.next_command()
        fetch.reply()
        assert client.read_response().status == 200
        max_age = int(fetch.fields.get("oldest", 0))
        assert not max_age or time.time() * 1000 - max_age >= purged_at
        return max_age > 0

    router.wait_until(send_request_and_check_age_limit, "the purge")


def test_response_older_than_the_purge_is_not_forwarded(router: RouterHarness) -> None:
    client, purged_at = router.connect(), int(time.time() * 1000)
    router.change_log.send_event(2, GROUP_PURGE, encode_group_purge(17, purged_at))
    router.change_log.send_event(3, ENDPOINT_CHANGES, router.endpoint_record(router.caches[0], UP))
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 5, "the change after the purge")
    client.send_request()
    router.next_command().reply(body=b"old", born=purged_at - 5000)
    router.next_command().reply(body=b"new")
    assert client.read_response().body == b"new"


def test_wall_clock_that_is_set_back_affects_no_timer_and_no_purge(tmp_path: Path) -> None:
    """The clock is set back by an hour as soon as the file `flag` exists.

    A timeout measured by the wall clock would expire an hour late. A purge at the new wall time seems an hour
    old to the router, and has to apply as a new one.
    """
    flag = tmp_path / "set-back"
    tmp_path.joinpath("sitecustomize.py").write_text(
        "import os, time\nread_clock = time.time\n"
        f"time.time = lambda: read_clock() - (3600 if os.path.exists({str(flag)!r}) else 0)\n"
    )
    router = RouterHarness(env={"PYTHONPATH": str(tmp_path)})
    client = router.connect()
    request_objects(router, client, 2)
    flag.touch()
    assert is_rejection(client.request(X_TTL_MS="300"))
    assert router.next_command("abort").command == "abort"
    router.change_log.send_event(2, GROUP_PURGE, encode_group_purge(17, int((time.time() - 3600) * 1000)))
    router.change_log.send_event(3, ENDPOINT_CHANGES, router.endpoint_record(router.caches[0], UP))
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 5, "the change after the purge")
    client.send_request()
    assert int(router.next_command().fields["oldest"]) < 1_000_000  # ms; far below the hour
    router.close()
