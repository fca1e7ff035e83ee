"""Attempts that another one of their request overtakes while they wait to be written, or for their rest."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from conftest import make_class, make_incoming_request
from fake_cache import ReceivedCommand, resp_array
from request_router_harness import Client, RequestRouterHarness, WritableSocket
from router_harness import SETTINGS, RouterHarness
from test_race_conditions import wait_for_decisions

from edge_router.decision import rules
from edge_router.decision.messages import Endpoint, EndpointState
from edge_router.decision.rules import PossibleRun, SendDenial
from edge_router.decision.settings import DeduplicationScope, Idempotency
from edge_router.fault_injection.system_call_faults import SystemCall, SystemCallFault
from edge_router.proxy.messages import ResponseStatus
from edge_router.transport.close_reason import CloseReason

WINDOW = 700.0  # ms
KEYED = {"effect": "token", "group": "all", "window": WINDOW}
ROW = "00000000000000b1"
OBJECTIVE = 200.0  # ms; a hedged request is sent after a part of it


def classes(**changes: Any) -> list[dict[str, Any]]:
    return [{**entry, "on_time": OBJECTIVE, **changes} for entry in SETTINGS["classes"]]


def break_connection(fetch: ReceivedCommand) -> None:
    """Ends the connection under a request that has run."""
    fetch.sock.shutdown(socket.SHUT_RDWR)


# Guards against a keyed write that runs twice, as its waiting first attempt is sent after a second one.
@pytest.mark.parametrize("end", [break_connection, lambda fetch: fetch.reply("500")])
def test_waiting_attempt_is_not_sent_after_the_window_of_one_that_overtook_it(
    start_router: Callable[..., RouterHarness], tmp_path: Path, end: Callable[[ReceivedCommand], None]
) -> None:
    """While connect(2) fails, the second attempt takes the connection of an earlier request."""
    flag = tmp_path / "no-buffers"
    router = start_router(
        classes=classes(**KEYED),
        limits={**SETTINGS["limits"], "connect_timeout": 28_000.0},
        faults=[SystemCallFault(SystemCall.CONNECT, "ENOBUFS", flag=str(flag))],
    )
    client, probe = router.connect(), router.connect()
    client.send_request(1, X_ROW=ROW, X_TXN_KEY="k0")
    earlier = router.next_command()
    flag.touch()
    client.send_request(2, X_ROW=ROW, X_TXN_KEY="k1")
    wait_for_decisions(probe)
    earlier.reply()
    assert client.read_response().status == 200
    second = router.next_command()
    end(second)
    time.sleep(WINDOW / 1000.0)
    flag.unlink()
    assert client.read_response().status == 503
    assert router.commands.empty()
    assert any("reason=window-over" in line for line in router.log_lines("attempt-not-sent"))


class OvertakenAttempt:
    """A request whose first attempt waits for a connection, or to be written, while a second one is sent."""

    def __init__(self, first_bytes: int | None, **class_changes: Any) -> None:
        """Sends the attempts; of the first, `first_bytes` are written before (None: it has no connection)."""
        self.harness, self.client = RequestRouterHarness(classes=classes(**class_changes)), Client()
        incoming = make_incoming_request(self.client.receive)
        incoming.idempotency_key = "k1"
        assert self.harness.router.on_request(incoming) is not None
        self.harness.router.run_decisions()
        self.first, self.first_socket = self.harness.channels[0], WritableSocket(first_bytes or 0)
        if first_bytes:
            self.first.on_connected(self.first_socket)
        self.harness.advance(OBJECTIVE)
        self.second, self.second_socket = self.harness.channels[1], WritableSocket()
        self.second.on_connected(self.second_socket)
        assert self.second_socket.written

    def answer_second(self) -> None:
        """The cache of the second attempt answers."""
        born = int(self.harness.clock.now())
        fields = f"tell=hit,ver=aa11,born={born}".encode()
        request_id = self.second_socket.written.split(b"\r\n")[4]
        self.second.buffer.append(resp_array(request_id, b"200", fields, b""))
        self.second.on_received()

    def write_rest(self) -> bytes:
        """Lets the first attempt be written, and returns all that is written then."""
        self.first_socket.writable_bytes = 1e9
        if self.first.connected:
            before = len(self.first_socket.written)
            self.first.on_writable()
            return self.first_socket.written[before:]
        self.first.on_connected(self.first_socket)
        return self.first_socket.written


# Guards against a waiting attempt of a keyed request that is sent outside the window or after the answer.
@pytest.mark.parametrize("wait", [0.5 * WINDOW, WINDOW])
def test_overtaken_attempt_is_sent_only_within_the_window_of_the_second(wait: float) -> None:
    request = OvertakenAttempt(None, **KEYED)
    request.second.on_closed("reset")
    request.harness.advance(wait)
    assert bool(request.write_rest()) is (wait < WINDOW)
    rejected = [response.status for response in request.client.responses] == [ResponseStatus.REJECTED]
    assert rejected is (wait >= WINDOW)


# Guards against a write that runs twice, as the rest of its first attempt is written after the second ran.
@pytest.mark.parametrize("answered", [False, True])
@pytest.mark.parametrize("changes", [KEYED, {"effect": "pure"}])
def test_rest_of_an_overtaken_attempt_is_written_only_if_it_may_still_run(
    answered: bool, changes: dict[str, Any]
) -> None:
    request = OvertakenAttempt(20, **changes)
    if answered:
        request.answer_second()
        assert [response.status for response in request.client.responses] == [ResponseStatus.SERVED]
    else:
        request.second.on_closed("reset")
        request.harness.advance(WINDOW)
    rest = request.write_rest()
    assert bool(rest) is (changes["effect"] == "pure")
    assert request.first.closed is (changes["effect"] != "pure")
    if request.first.closed:
        assert request.first._close_reason == CloseReason.COMMAND_WITHDRAWN


# Guards against a repeat, allowed when it was decided, to a cache that does not recognise it when it is sent.
@pytest.mark.parametrize(
    ("scope", "candidate", "expected"),
    [
        (DeduplicationScope.ALL, (9, 9), None),
        (DeduplicationScope.ZONE, (1, 9), None),
        (DeduplicationScope.ZONE, (2, 1), SendDenial.REPEAT_FORBIDDEN),
        (DeduplicationScope.CELL, (9, 1), None),
        (DeduplicationScope.CELL, (1, 2), SendDenial.REPEAT_FORBIDDEN),
    ],
)
def test_repeat_is_denied_outside_the_scope_of_the_attempt_that_ran(
    scope: DeduplicationScope, candidate: tuple[int, int], expected: SendDenial | None
) -> None:
    def endpoint(endpoint_id: int, zone: int, cell: int) -> Endpoint:
        return Endpoint(endpoint_id, 0, 0.0, EndpointState.READY, cell, zone, 1.0)

    keyed = make_class(
        idempotency=Idempotency.WITH_KEY, deduplication_scope=scope, deduplication_window=WINDOW
    )
    first, other = endpoint(11, 1, 1), endpoint(12, *candidate)
    run = PossibleRun(first.endpoint_id, 0.0)
    assert rules.repeat_denial(keyed, 1.0, run, first, other) is expected
    assert rules.repeat_denial(keyed, WINDOW, run, first, first) is SendDenial.WINDOW_OVER
    assert rules.repeat_denial(keyed, WINDOW, None, None, other) is None
    unsafe = make_class(idempotency=Idempotency.NONE)
    assert rules.repeat_denial(unsafe, 1.0, run, first, first) is SendDenial.REPEAT_FORBIDDEN
