"""Graceful shutdown after SIGTERM: every accepted request is answered before the platform's SIGKILL."""

from __future__ import annotations

import signal

import pytest
from router_harness import SETTINGS, RouterHarness
from socket_requests import FAILED_STATUS, WRITE_REQUEST, is_rejection
from waiting import TEST_TIMEOUT


@pytest.mark.parametrize(("deadline_ms", "time_limit_s"), [(600.0, 0.8), (9000.0, 3.2)])
def test_shutdown_answers_requests_before_the_kill_timeout(deadline_ms: float, time_limit_s: float) -> None:
    """The time limit ends 0.5 s (KILL_MARGIN) before the platform's SIGKILL.

    SIGKILL follows SIGTERM after the longest deadline of any class, of which at most 3 s count, plus 0.7 s.
    """
    classes = [{**entry, "deadline": deadline_ms, "on_time": 500.0} for entry in SETTINGS["classes"]]
    router = RouterHarness(classes=classes)
    client = router.connect()
    client.send_request(X_TTL_MS="60000")
    router.next_command()
    router.process.send_signal(signal.SIGTERM)
    assert is_rejection(client.read_response())
    assert router.process.wait(TEST_TIMEOUT) == 0
    assert router.log_lines("shutdown-started")[0].endswith(f" within_s={time_limit_s}")
    assert router.log_lines("shutdown-complete")
    router.close()


def test_shutdown_completes_open_requests_and_accepts_more_during_the_grace_period(
    router: RouterHarness,
) -> None:
    early = router.connect()
    early.send_request()
    early_fetch = router.next_command()
    router.process.send_signal(signal.SIGTERM)
    router.wait_until(lambda: router.log_lines("shutdown-started"), "the shutdown")
    late = router.connect()
    late.send_request()
    router.next_command().reply(body=b"late")
    assert late.read_response().body == b"late"
    early_fetch.reply(body=b"early")
    assert early.read_response().body == b"early"
    assert router.process.wait(TEST_TIMEOUT) == 0
    router.process = router.start()  # because the fixture checks that the router has not exited


def test_shutdown_at_the_connection_limit_loses_no_request() -> None:
    """A connection that is still waiting to be accepted is served, and the process exits without an error."""
    router = RouterHarness(sockets=16)  # 8 of them for clients
    accepted = [router.connect() for _ in range(8)]
    for client in accepted:
        client.send_request()
    fetches = [router.next_command() for _ in accepted]
    late = router.connect()
    late.send_request(X_ROW="0123456789abcdef")
    router.process.send_signal(signal.SIGTERM)
    router.wait_until(lambda: router.log_lines("shutdown-started"), "the shutdown")
    for fetch in fetches:
        fetch.reply(body=b"held")
    assert {client.read_response().body for client in accepted} == {b"held"}
    router.next_command().reply(body=b"late")
    assert late.read_response().body == b"late"
    assert router.process.wait(TEST_TIMEOUT) == 0
    assert not router.log_lines("Exception")
    router.close()


def test_shutdown_answers_requests_that_no_cache_answers(router: RouterHarness) -> None:
    clients = [router.connect(), router.connect()]
    clients[0].send_request(X_TTL_MS="3600000")
    clients[1].send_request(X_TTL_MS="3600000", **WRITE_REQUEST)
    router.next_command(), router.next_command()
    router.process.send_signal(signal.SIGTERM)
    assert is_rejection(clients[0].read_response())
    assert clients[1].read_response().status == FAILED_STATUS
    assert router.process.wait(TEST_TIMEOUT) == 0
    router.process = router.start()  # because the fixture checks that the router has not exited
