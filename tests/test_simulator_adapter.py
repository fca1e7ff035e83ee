"""The simulator adapter, tested with frames that are encoded by hand."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys

import pytest

from edge_router import simulator_adapter
from edge_router.config.settings_reader import read_settings
from edge_router.decision import messages
from edge_router.simulator_adapter import MalformedInputError, SimulatorAdapter, serve

SETTINGS = {
    "zone": 0,
    "classes": [{"deadline": 3000.0, "on_time": 500.0, "nobody_knows": 1}],
    "new_key": {"a": 1},
    "domain": {"shield_kind": 1, "store_kind": 2, "zone_link_kb_per_s": [9000.0], "client_kb_per_s": 900.0},
    "rules": {"warm_up": 9000.0},
    "limits": {"most_tries": 3, "cancel": True, "second_copies": True},
}


def launch(instance: int) -> bytes:
    text = json.dumps(SETTINGS).encode()
    return struct.pack(">BIQI", 70, instance, 5, len(text)) + text


def endpoint_list(instance: int) -> bytes:
    endpoints = [(0, 0xA000001), (1, 0xA000002), (2, 0xA000003)]
    entries = b"".join(
        struct.pack(">BdBHIHHf", role, 0.0, 2, 0, address, 80, 0, 1.0) for role, address in endpoints
    )
    return struct.pack(">BIBII", 30, instance, 2, 1, 3) + entries


def request(instance: int, number: int, time_remaining: float = 3000.0) -> bytes:
    return struct.pack(">BIIHHQdfffH", 80, instance, number, 0, 0, 99, time_remaining, 50.0, 4.0, 0.0, 0)


def attempt_ended(instance: int, number: int, code: int = 0, load: tuple[float, ...] = (1.0, 0.5)) -> bytes:
    return struct.pack(
        ">BIIBIHBdBIdB", 60, instance, number, 0, 0xA000001, 80, code, 12.0, code == 0, 1, 0.0, len(load)
    ) + struct.pack(f">{len(load)}f", *load)


# Events for which the policy returns no actions, if request 8 does not exist.
EVENTS_WITHOUT_ACTIONS = [
    struct.pack(">BIdHQ", 10, 3, 20.0, 4, 0),  # purge
    struct.pack(">BII", 20, 3, 8),  # timer fired
    struct.pack(">BIIBIHd", 40, 3, 8, 0, 0xA000001, 80, 1.0),  # response started
    # Health check result, with one load value.
    struct.pack(">BIdBIHB", 100, 3, 1.0, 0, 0xA000001, 80, 1) + struct.pack(">f", 0.25),
    struct.pack(">BIHH", 90, 3, 1, 2) + b"hi",  # peer message
    struct.pack(">BII", 110, 3, 8),  # client disconnected
]


def batch(*records: bytes, now: float = 1000.0) -> bytes:
    body = b"".join(records)
    return struct.pack(">dII", now, 16 + len(body), len(records)) + body


def serve_batches(*batches: bytes) -> list[tuple[int, bytes]]:
    sink = io.BytesIO()
    serve(io.BytesIO(b"".join(batches)), sink)
    data, replies = sink.getvalue(), []
    while data:
        count, length = struct.unpack_from(">II", data)
        replies.append((count, data[8:length]))
        data = data[length:]
    return replies


def test_empty_batch_gives_an_empty_reply() -> None:
    assert serve_batches(batch()) == [(0, b"")]


def test_request_becomes_an_attempt_and_a_timer() -> None:
    replies = serve_batches(batch(), batch(launch(3), endpoint_list(3)), batch(request(3, 8)))
    assert [count for count, _ in replies] == [0, 0, 2]
    start = struct.unpack_from(">BIIIHdIHBdB", replies[2][1])
    assert start == (80, 3, 8, 0xA000001, 80, 4000.0, 0xA000002, 80, 1, 0.0, 0)
    # The timer follows the StartAttempt record of 39 bytes.
    assert struct.unpack_from(">BII", replies[2][1], 39) == (110, 3, 8)


def test_every_event_is_decoded() -> None:
    for record in EVENTS_WITHOUT_ACTIONS:
        assert serve_batches(batch(launch(3), endpoint_list(3), record, request(3, 9)))[0][0] == 2
    assert serve_batches(
        batch(launch(3), endpoint_list(3), request(3, 8)),
        batch(attempt_ended(3, 8)),
    )[1] == (0, b"")


def test_instances_are_independent_and_restart_empty() -> None:
    stop = struct.pack(">BI", 50, 3)
    first = batch(launch(3), stop, launch(3), endpoint_list(3), launch(4))
    replies = serve_batches(first, batch(request(3, 1), request(4, 1)))
    assert replies[1][0] == 3
    # Instance 4 has no endpoints. Its rejection follows a StartAttempt (39 bytes) and a SetTimer (17 bytes).
    assert struct.unpack_from(">BII", replies[1][1], 56) == (60, 4, 1)


def test_actions_are_encoded() -> None:
    adapter = SimulatorAdapter()
    adapter.handle_batch(0.0, 2, launch(3) + endpoint_list(3))
    # Actions have codes separate from those of events: 60 is a rejection here, the end of an attempt there.
    expected = [
        (messages.CancelAttempt(1, 2), (30, 3, 1, 2), ">BIIB"),
        (messages.Fail(1), (40, 3, 1), ">BII"),
        (messages.Reject(1, 5.0), (60, 3, 1, 5.0), ">BIId"),
        (messages.StartHealthCheck(0xA0000010050), (20, 3, 0xA000001, 80), ">BIIH"),
        (messages.WatchEndpoints(), (70, 3, 1), ">BIB"),
        (messages.SetTimer(4, 9.0), (110, 3, 4, 9.0), ">BIId"),
        (messages.LogMessage("hi"), (50, 3, 2, b"hi"), ">BIH2s"),
    ]
    for action, fields, layout in expected:
        assert struct.unpack(layout, simulator_adapter._WRITERS[type(action)](3, action)) == fields


def test_exception_in_a_policy_becomes_an_error_record(monkeypatch: pytest.MonkeyPatch) -> None:
    adapter = SimulatorAdapter()
    adapter.handle_batch(0.0, 2, launch(3) + endpoint_list(3))

    def broken(now: float, event: object) -> list[object]:
        raise KeyError("planted error")

    monkeypatch.setattr(adapter.policies[3], "handle", broken)
    reply = adapter.handle_batch(1.0, 1, request(3, 8))
    assert reply[8] == 100
    assert b"planted error" in reply
    bad = json.dumps({"classes": []}).encode()
    reply = adapter.handle_batch(2.0, 1, struct.pack(">BIQI", 70, 5, 1, len(bad)) + bad)
    assert reply[8] == 100
    assert b"zone" in reply


@pytest.mark.parametrize(
    "data",
    [
        b"abc",
        batch(launch(3))[:-4],
        batch(b"\xff\x00\x00\x00\x01"),
        batch(request(3, 8)[:-3]),
        batch(request(3, 8))[:-50] + b"\0" * 50,
        struct.pack(">dII", 0.0, 3, 0),
        struct.pack(">dII", 0.0, 18, 0) + b"xx",
    ],
)
def test_malformed_input_is_rejected(data: bytes) -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "edge_router.simulator_adapter"], input=data, capture_output=True
    )
    if completed.returncode == 0:
        pytest.fail("the adapter accepted malformed input")
    assert b"malformed input" in completed.stderr
    assert b"Traceback" not in completed.stderr


def test_short_record_in_a_valid_batch_is_malformed_input() -> None:
    with pytest.raises(MalformedInputError):
        SimulatorAdapter().handle_batch(0.0, 1, request(3, 8)[:-3])


def test_settings_error_names_what_is_missing() -> None:
    for missing, table in (
        ("classes", {"zone": 1}),
        ("zone", {"classes": []}),
        ("deadline", {"zone": 1, "classes": [{}]}),
    ):
        with pytest.raises(ValueError, match=missing):
            read_settings(json.dumps(table))
