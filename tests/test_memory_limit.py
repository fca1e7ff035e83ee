"""The memory that clients and caches can make the router use is bounded by its limit."""

from __future__ import annotations

import contextlib
import re
import socket
import struct
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from conftest import PolicyHarness, make_incoming_request, started_attempts
from fake_cache import resp_array
from fastcgi_client import BEGIN_REQUEST, PARAMS, STDIN, fastcgi_record
from request_router_harness import Client, RequestRouterHarness, WritableSocket
from router_harness import RouterHarness
from test_client_floods import MessageCounter, encode
from test_race_conditions import AcceptingHandler

from edge_router.decision.messages import FillResult
from edge_router.decision.popularity import MAX_COUNTED_OBJECTS
from edge_router.protocol.buffer import ReceiveBuffer
from edge_router.protocol.resp import MAX_BULK_SIZE, MAX_READ_SIZE, RespDecoder, RespError
from edge_router.proxy.messages import MAX_OBJECT_BYTES, ResponseStatus
from edge_router.runtime.clock import Clock
from edge_router.runtime.memory_budget import INCOMPLETE_SHARE, MemoryBudget
from edge_router.runtime.timers import MIN_COMPACTED_TIMERS, Timers
from edge_router.server.memory_plan import (
    CLIENT_BYTES,
    MIN_BUFFER_BYTES,
    MIN_TRACKED_OBJECTS,
    OBJECT_BYTES,
    UPSTREAM_BYTES,
    MemoryPlan,
)
from edge_router.transport.client_session import MAX_BUFFERED_BYTES, ClientSession
from edge_router.transport.upstream_channel import UpstreamChannel

MEMORY_MB = 64
SOCKETS = 256
LARGE_REQUESTS = 56
BAD_CLIENTS = 77  # with the usual ones, a third of the sockets
HALF_BODY = 60_000  # bytes
SMALL_HEADROOM_MB = 7.2
MANY_CLIENTS = 500
READING_TIME = 1.0  # seconds, in which the router reads all that the bad clients have sent
BEGIN = struct.pack(">HB5x", 1, 1)


def half_request(request_id: int) -> bytes:
    """Encodes a request whose body stops short."""
    return (
        fastcgi_record(BEGIN_REQUEST, request_id, BEGIN)
        + fastcgi_record(PARAMS, request_id)
        + fastcgi_record(STDIN, request_id, b"x" * HALF_BODY)
    )


def peak_memory(router: RouterHarness) -> int:
    """Returns the largest resident memory (bytes) that the router has had."""
    status = Path(f"/proc/{router.process.pid}/status").read_text()
    peak = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert peak is not None
    return int(peak[1]) * 1024


# Guards against a router that is killed because half requests come on top of buffers of earlier answers.
def test_half_requests_after_large_answers_do_not_exceed_the_memory_limit(
    start_router: Callable[..., RouterHarness],
) -> None:
    router = start_router(memory_mb=MEMORY_MB, sockets=SOCKETS)
    usual = [router.connect() for _ in range(8)]
    for number in range(LARGE_REQUESTS):
        usual[number % 8].send_request(number // 8 + 1, X_ROW=f"{number:016x}", X_WORKING_SET_KB="240")
    fetches = [router.next_command() for _ in range(LARGE_REQUESTS)]
    for fetch in fetches:
        fetch.reply(body=b"x" * MAX_OBJECT_BYTES)
    for number in range(LARGE_REQUESTS):
        assert usual[number % 8].read_response().status == 200
    wrong_length = struct.pack(">BBHHBB", 1, STDIN, 1, 65_535, 0, 0) + b"x" * 65_400
    message = b"".join(half_request(number) for number in range(1, 5)) + wrong_length
    bad = [router.connect() for _ in range(BAD_CLIENTS)]
    for client in bad:
        client.sock.settimeout(5.0)
        client.sock.sendall(message)
    end = time.monotonic() + READING_TIME
    while time.monotonic() < end:
        usual[0].send_request()
        router.next_command().reply()
        assert usual[0].read_response().status == 200
    assert peak_memory(router) < MEMORY_MB * 1e6


# Guards against a router that is killed for the memory of hundreds of connections with half requests.
def test_half_requests_of_hundreds_of_clients_do_not_exceed_a_small_memory_limit(
    start_router: Callable[..., RouterHarness],
) -> None:
    program_mb = peak_memory(start_router()) / 1e6
    memory_mb = program_mb + SMALL_HEADROOM_MB
    router = start_router(memory_mb=memory_mb, sockets=1024)
    message = b"".join(half_request(number) for number in range(1, 5))
    with contextlib.ExitStack() as stack:
        for _ in range(MANY_CLIENTS):
            client = stack.enter_context(socket.create_connection(router.address))
            client.setblocking(False)
            with contextlib.suppress(OSError):
                client.send(message)
        time.sleep(READING_TIME)
        assert router.process.poll() is None
        assert peak_memory(router) < memory_mb * 1e6


# Guards against idle connections that keep the buffer of their last large answer.
def test_buffer_of_a_large_answer_is_given_back_at_once() -> None:
    channel = UpstreamChannel(MessageCounter(), Clock().now)
    answer = resp_array(b"id", b"200", b"-", b"x" * MAX_OBJECT_BYTES)
    for start in range(0, len(answer), MAX_READ_SIZE // 2):
        channel.buffer.append(answer[start : start + MAX_READ_SIZE // 2])
        assert len(channel.buffer._data) <= MAX_READ_SIZE
        channel.on_received()
    assert len(channel.buffer._data) == 0


# Guards against answers to attempts that were given up, which no budget counts.
def test_body_of_an_answer_that_nobody_waits_for_is_not_kept() -> None:
    owner = MessageCounter()
    owner.wants_item = lambda first_item, size: first_item == b"open"  # type: ignore[method-assign]
    channel = UpstreamChannel(owner, Clock().now)
    for request_id, kept in ((b"gone", 0), (b"open", MAX_READ_SIZE // 2)):
        answer = resp_array(request_id, b"200", b"-", b"x" * MAX_READ_SIZE)
        split = answer.index(b"x") + MAX_READ_SIZE // 2
        channel.buffer.append(answer[:split])
        channel.on_received()
        assert len(channel.decoder._bulk) == kept
        channel.buffer.append(answer[split:])
        channel.on_received()
    assert owner.count == 2


# Guards against clients that read slowly, each of which keeps a write that no budget counts.
def test_blocked_write_stays_reserved_until_it_is_sent() -> None:
    budget, sock = MemoryBudget(), WritableSocket(1000)
    session = ClientSession(sock, AcceptingHandler(), Clock().now, budget)
    session.send_response(1, b"Status: 200 OK\r\n\r\n", b"x" * MAX_OBJECT_BYTES)
    assert budget.used > MAX_OBJECT_BYTES
    sock.writable_bytes = 1e9
    session.on_writable()
    assert budget.used == 0
    assert len(sock.written) > MAX_OBJECT_BYTES


# Guards against an answer whose items together are far longer than any object.
def test_array_of_many_long_items_is_invalid() -> None:
    buffer, decoder = ReceiveBuffer(1 << 20), RespDecoder()
    buffer.append(b"*16\r\n" + b"$%d\r\n%b\r\n" % (MAX_BULK_SIZE, b"x" * MAX_BULK_SIZE) + b"$1\r\nx\r\n")
    with pytest.raises(RespError, match="too long"):
        list(decoder.decode_arrays(buffer))


# Guards against receive buffers of clients that no budget counts.
def test_content_of_an_incomplete_record_is_reserved_and_not_buffered() -> None:
    ours, theirs = socket.socketpair()
    budget = MemoryBudget()
    budget.limit = 1e6
    with ours, theirs:
        session = ClientSession(ours, AcceptingHandler(), Clock().now, budget)
        message = half_request(1)[:-100]
        for start in range(0, len(message), 1000):
            session._buffer.append(message[start : start + 1000])
            session.on_received()
            assert len(session._buffer._data) <= MAX_BUFFERED_BYTES
        assert budget.used == HALF_BODY - 100
        session.on_closed()
    assert budget.used == 0


# Guards against incomplete requests that use up the memory of those that can be answered.
def test_incomplete_requests_leave_memory_for_complete_ones() -> None:
    harness, client = RequestRouterHarness(), Client()
    harness.budget.limit = 4.0 * HALF_BODY
    session = ClientSession(socket.socketpair()[0], AcceptingHandler(), harness.clock.now, harness.budget)
    for request_id in range(1, 10):
        for part in (half_request(request_id)[:12_000], half_request(request_id)[12_000:]):
            for start in range(0, len(part), MAX_BUFFERED_BYTES // 2):
                session._buffer.append(part[start : start + MAX_BUFFERED_BYTES // 2])
                session.on_received()
    assert harness.budget.used <= 2.0 * HALF_BODY
    harness.request(client)
    assert len(harness.channels) == 1
    assert ResponseStatus.REJECTED not in [response.status for response in client.responses]


# Guards against usual requests that are rejected while half requests of others use up their share exactly.
def test_parameters_of_a_usual_request_are_kept_while_others_use_up_the_share() -> None:
    budget = MemoryBudget()
    budget.limit = 1e6
    budget.reserve_incomplete(round(budget.limit * INCOMPLETE_SHARE))
    ours, theirs = socket.socketpair()
    with ours, theirs:
        handler = AcceptingHandler()
        session = ClientSession(ours, handler, Clock().now, budget)
        session._buffer.append(encode(1))
        session.on_received()
        assert handler.request_count == 1
        session._buffer.append(half_request(2)[:MAX_BUFFERED_BYTES])  # much more than that has no place
        session.on_received()
        assert session._decoder._partial_requests[2].over_budget


# Guards against memory that grows with each request that ends long before its time is over.
def test_cancelled_timers_are_dropped() -> None:
    clock = Clock(lambda: 0.0, lambda: 0.0)
    timers, fired = Timers(clock, lambda: 0.0), []
    kept = [timers.call_at(60_000.0, lambda: fired.append(1)) for _ in range(3)]
    for _ in range(5 * MIN_COMPACTED_TIMERS):
        timers.call_at(60_000.0, lambda: None).cancel()
    assert len(timers._heap) <= MIN_COMPACTED_TIMERS
    assert all(any(entry[2] is handle for entry in timers._heap) for handle in kept)


# Guards against buffers that may use memory which the program itself needs.
@pytest.mark.parametrize(
    ("memory_mb", "program_mb", "expected"),
    [(192.0, 30.0, 48e6), (64.0, 30.0, 16e6), (40.0, 30.0, 5e6), (32.0, 31.0, MIN_BUFFER_BYTES)],
)
def test_buffers_use_a_part_of_the_memory_that_the_program_leaves(
    memory_mb: float, program_mb: float, expected: float
) -> None:
    assert MemoryPlan(program_mb).buffer_limit(memory_mb) == expected


# Guards against connections and tables whose memory no limit counts, beside buffers that use all of theirs.
@pytest.mark.parametrize("sockets", [256, 512, 1024])
@pytest.mark.parametrize("memory_mb", [192.0, 96.0, 64.0, 56.0, 48.0])
def test_connections_buffers_and_tables_together_fit_into_the_memory(memory_mb: float, sockets: int) -> None:
    plan = MemoryPlan(30.0)
    allotment = plan.allot(memory_mb, sockets)
    assert allotment.max_clients >= sockets // 3
    assert allotment.buffer_bytes >= MIN_BUFFER_BYTES
    used = (
        allotment.max_clients * CLIENT_BYTES
        + allotment.max_upstream_connections * UPSTREAM_BYTES
        + allotment.buffer_bytes
        + min(MAX_COUNTED_OBJECTS, allotment.tracked_objects) * OBJECT_BYTES
    )
    assert used <= (memory_mb - plan.program_mb) * 1e6 or allotment.tracked_objects == MIN_TRACKED_OBJECTS


# Guards against tables that grow with each new object until the router is over its memory limit.
def test_tables_of_the_policy_are_limited_together() -> None:
    policy = PolicyHarness()
    policy.routing_policy.limit_tracked_objects(500)
    policy.update_endpoint(policy.endpoints[0].endpoint_id)
    for key in range(2_000):
        attempt = started_attempts(policy.request(key=key, size_kb=0.1))[0]
        policy.end_attempt(attempt, fill_result=FillResult.HIT)
    routing_policy = policy.routing_policy
    assert len(routing_policy.popularity._counts) <= 500
    assert len(routing_policy.copies.last_used) <= 500
    for hashing in (routing_policy.directory.caches, routing_policy.directory.parents):
        assert hashing.ranked.cache_info().currsize <= 500


# Guards against requests without a stated size that reserve no memory for their responses.
def test_requests_of_unknown_size_reserve_memory_by_the_responses_of_others() -> None:
    harness, limit = RequestRouterHarness(), 2 * MAX_OBJECT_BYTES
    harness.budget.limit = limit
    admission = harness.router.admission

    def admitted() -> int:
        """Returns how many requests of unknown size are admitted at the same time."""
        requests = []
        for _ in range(100):
            incoming = make_incoming_request(Client().receive)
            incoming.size_kb = 0.0
            if (request := admission.admit(harness.clock.now(), incoming)) is None:
                break
            requests.append(request)
        for request in requests:
            admission.release(request)
        return len(requests)

    incoming = make_incoming_request(Client().receive)
    incoming.size_kb = 0.0
    assert admitted() == 2  # any response may have the largest size
    for _ in range(20):
        admission.record_body(incoming, MAX_OBJECT_BYTES // 20)
    assert 10 < admitted() < 40


# Guards against responses larger than expected that take the router over its memory limit.
@pytest.mark.parametrize(
    ("class_index", "expected"), [(0, ResponseStatus.REJECTED), (1, ResponseStatus.FAILED)]
)
def test_response_larger_than_expected_is_dropped_while_memory_is_short(
    class_index: int, expected: ResponseStatus
) -> None:
    harness, client, sock = RequestRouterHarness(), Client(), WritableSocket()
    harness.budget.limit = 50_000.0
    incoming = make_incoming_request(client.receive)
    incoming.class_index = class_index
    assert harness.router.on_request(incoming) is not None
    harness.router.run_decisions()
    channel = harness.channels[0]
    channel.on_connected(sock)
    fields = b"tell=hit,ver=aa11,born=%d" % harness.clock.now()
    answer = resp_array(incoming.request_id.encode(), b"200", fields, b"x" * MAX_OBJECT_BYTES)
    for start in range(0, len(answer), MAX_READ_SIZE // 2):
        channel.buffer.append(answer[start : start + MAX_READ_SIZE // 2])
        channel.on_received()
        assert len(channel.decoder._bulk) == 0
        harness.budget.limit = 1e9  # a body of which a part was dropped stays dropped
    assert [response.status for response in client.responses] == [expected]
    assert harness.budget.used == 0
    assert not channel.closed
