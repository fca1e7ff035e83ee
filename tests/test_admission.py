"""Admission control: limits on connections, requests, memory, descriptors and CPU."""

from __future__ import annotations

import pytest
from router_harness import SETTINGS, RouterHarness
from socket_requests import is_rejection

from edge_router.config.settings_reader import settings_from_json
from edge_router.proxy.admission import AdmissionController, ShedReason
from edge_router.proxy.request_table import RequestTable
from edge_router.runtime.memory_budget import MemoryBudget


def test_idle_clients_are_evicted_and_busy_ones_stay() -> None:
    """Idle clients are evicted because they must not keep out a client that has a request."""
    router = RouterHarness(sockets=16)  # of which clients get 8
    busy, partial = router.connect(), router.connect()
    busy.send_request()
    fetch = router.next_command()
    partial.sock.sendall(partial.encode_request()[:40])
    idle = [router.connect() for _ in range(6)]
    for client in idle[:3]:
        # These have sent a request and stay connected; the other idle clients send nothing.
        assert client.request(path="/status/live").status == 200
    for _ in range(8):
        late = router.connect()
        assert late.request(path="/status/live").status == 200
    partial.sock.sendall(partial.encode_request()[40:])
    router.next_command().reply(body=b"halfway")
    assert partial.read_response().body == b"halfway"
    fetch.reply(body=b"busy")
    assert busy.read_response().body == b"busy"
    assert idle[-1].is_closed()
    router.close()


def test_request_above_the_in_flight_limit_is_rejected() -> None:
    router = RouterHarness(limits={**SETTINGS["limits"], "most_held": 1})
    client = router.connect()
    client.send_request(1)
    fetch = router.next_command()
    client.send_request(2)
    response = client.read_response()
    assert response.request_id == 2
    assert is_rejection(response)
    fetch.reply()
    assert client.read_response()[:2] == (1, 200)
    router.close()


def test_request_above_the_memory_budget_is_rejected_and_memory_is_released() -> None:
    router = RouterHarness(memory_mb=0.1)  # of which the buffers get a quarter: 25,000 bytes
    client = router.connect()
    for _ in range(5):
        response = client.request(body=bytes(30_000))
        assert (response.status, response.protocol_status) == (0, 2)
        assert is_rejection(client.request(X_WORKING_SET_KB="100"))
        client.send_request(body=bytes(2000))
        router.next_command().reply(body=bytes(20_000))
        assert client.read_response().status == 200
    router.close()


def test_running_out_of_descriptors_does_not_stop_the_router() -> None:
    router = RouterHarness(descriptors=24)
    clients = [router.connect() for _ in range(60)]
    router.wait_until(lambda: router.log_lines("descriptors-exhausted"), "the descriptor error")
    for client in clients:
        client.sock.close()
        client._stream.close()
    client = router.connect()
    client.send_request()
    router.next_command().reply()
    assert client.read_response().status == 200
    router.close()


def test_above_the_cpu_share_only_requests_that_waited_are_shed() -> None:
    """Requests that have hardly waited are admitted, because shedding all of them would sustain the overload.

    A change of the CPU share applies at once.
    """
    settings = settings_from_json({"zone": 0, "classes": [{"deadline": 5000.0, "on_time": 900.0}]})
    admission = AdmissionController(settings, RequestTable(), MemoryBudget(), 0.0, 1)
    admission.cpu_credit.set_share(1e-9)
    assert admission.cpu_credit.remaining() < 0
    # Requests that waited for at most 20 ms (MIN_QUEUE_TIME_LIMIT) are never shed. Those that waited for more
    # than 360 ms, the queue time limit of the class, are shed whatever the CPU share.
    assert [
        admission.shed_reason(1000.0 + queue_time, 1000.0, 0) for queue_time in (0.0, 20.0, 30.0, 400.0)
    ] == [
        None,
        None,
        ShedReason.CPU,
        ShedReason.QUEUE_TIME,
    ]
    admission.cpu_credit.set_share(1.0)
    assert admission.shed_reason(1030.0, 1000.0, 0) is None


@pytest.mark.parametrize(
    ("queue_time", "shed"), [(10.0, []), (50.0, [0]), (100.0, [0, 1]), (9000.0, [0, 1, 2])]
)
def test_requests_that_waited_too_long_are_shed_by_priority_weight(
    queue_time: float, shed: list[int]
) -> None:
    classes = [{"deadline": 5000.0, "on_time": 200.0, "importance": weight} for weight in (1.0, 2.0, 4.5)]
    settings = settings_from_json({"zone": 0, "classes": classes})
    admission = AdmissionController(settings, RequestTable(), MemoryBudget(), 0.0, 1)
    assert [
        class_index
        for class_index in range(3)
        if admission.shed_reason(1000.0 + queue_time, 1000.0, class_index)
    ] == shed
