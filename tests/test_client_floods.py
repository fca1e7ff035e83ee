"""Clients and caches that send faster than their input is processed must not delay others."""

from __future__ import annotations

import contextlib
import itertools
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
import trio
import trio.testing
from conftest import make_incoming_request
from fake_cache import resp_array
from fastcgi_client import ABORT_REQUEST, BEGIN_REQUEST, PARAMS, STDIN, FastCgiClient, fastcgi_record
from request_router_harness import Client, RequestRouterHarness, WritableSocket
from router_harness import SETTINGS, RouterHarness
from test_race_conditions import AcceptingHandler
from waiting import TEST_TIMEOUT

from edge_router.config.settings_reader import settings_from_json
from edge_router.protocol.buffer import ReceiveBuffer
from edge_router.protocol.fastcgi import MAX_OPEN_REQUESTS
from edge_router.proxy.fastcgi_frontend import FastCgiFrontend
from edge_router.proxy.request_router import DECISION_BATCH
from edge_router.proxy.request_table import ActiveRequest
from edge_router.runtime.clock import Clock
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.server.client_acceptor import ClientAcceptor
from edge_router.transport.client_connection import (
    MAX_BUSY_TURNS,
    MAX_POLL_RECORDS,
    ClientConnection,
    busy_turns,
)
from edge_router.transport.client_session import (
    MAX_RECORDS_PER_TURN,
    MAX_REQUESTS_PER_TURN,
    MAX_STRAY_RECORDS,
    ClientSession,
)
from edge_router.transport.upstream_channel import MAX_ARRAYS_PER_TURN, UpstreamChannel

FLOOD_TIME = 2.0  # seconds
TIMEOUT_MS = 1500  # of the usual requests
ANSWER_SLACK = 0.55  # seconds after a request's time, as in the rule on lost requests
BEGIN = fastcgi_record(BEGIN_REQUEST, 2, struct.pack(">HB5x", 1, 1))
# Records that bring no request further: those sent once, and those repeated after them.
STRAY_RECORDS = {
    "unknown type": (b"", fastcgi_record(77, 0)),
    "management": (b"", fastcgi_record(9, 0)),
    "body of no request": (b"", fastcgi_record(STDIN, 2, b"x" * 64)),
    "empty parameters": (BEGIN, fastcgi_record(PARAMS, 2)),
    "withdrawn while incomplete": (b"", BEGIN + fastcgi_record(ABORT_REQUEST, 2)),
}
SMALL_RECORD = fastcgi_record(PARAMS, 2, b"a")
UNKNOWN_TYPE_RECORD, STRAY_BODY = STRAY_RECORDS["unknown type"][1], STRAY_RECORDS["body of no request"][1]


@contextlib.contextmanager
def flood(client: FastCgiClient, first: bytes, repeated: bytes) -> Iterator[None]:
    """Sends `repeated` over and over, until the router closes the connection or the block ends."""
    ended = threading.Event()

    def send() -> None:
        with contextlib.suppress(OSError):
            client.sock.sendall(first)
            while not ended.is_set():
                client.sock.sendall(repeated)

    thread = threading.Thread(target=send, daemon=True)
    thread.start()
    yield
    ended.set()
    client.sock.close()
    thread.join()


def answer_all(router: RouterHarness) -> None:
    """Answers every command of the router, in a thread."""

    def answer() -> None:
        while True:
            command = router.commands.get()
            with contextlib.suppress(OSError):
                command.reply(body=b"served")

    threading.Thread(target=answer, daemon=True).start()


def encode(request_id: int) -> bytes:
    return FastCgiClient.encode_request(FastCgiClient.__new__(FastCgiClient), request_id)


# Guards against requests that are lost because one client's endless message keeps the event loop.
def test_requests_are_answered_in_time_while_another_client_sends_an_endless_message(
    router: RouterHarness,
) -> None:
    answer_all(router)
    usual, bad = router.connect(), router.connect()
    first = bad.encode_request(1) + BEGIN + fastcgi_record(PARAMS, 2)
    with flood(bad, first, fastcgi_record(STDIN, 3) * 50_000):
        end = time.monotonic() + FLOOD_TIME
        while time.monotonic() < end:
            sent_at = time.monotonic()
            assert usual.request(X_TTL_MS=str(TIMEOUT_MS)).status == 200
            assert time.monotonic() - sent_at < TIMEOUT_MS / 1000.0 + ANSWER_SLACK


class EndlessSocket(socket.socket):
    """A socket with input that never ends; fails the test after more than any turn may read."""

    remaining = 1 << 23

    def __init__(self, sock: socket.socket, data: bytes) -> None:
        super().__init__(fileno=sock.detach())
        self.data = data

    def recv_into(self, buffer: memoryview, nbytes: int = 0, flags: int = 0) -> int:  # type: ignore[override]
        """Fills the buffer with whole repetitions of the data, at least with one."""
        count = len(buffer) // len(self.data) * len(self.data)
        buffer[:count] = self.data * (count // len(self.data))
        self.remaining -= count
        assert self.remaining > 0, "the router does not stop reading"
        return count


@contextlib.contextmanager
def connection_with_endless_input(
    data: bytes, shared_turns: trio.Semaphore | None = None
) -> Iterator[tuple[ClientConnection, AcceptingHandler]]:
    """A client connection, outside an event loop, that receives the data again and again."""
    ours, theirs = socket.socketpair()
    handler, budget = AcceptingHandler(), MemoryBudget()
    budget.limit = 1e6
    with EndlessSocket(ours, data) as sock, theirs:
        sock.setblocking(False)
        theirs.sendall(b"x")  # so that the system reports it as readable
        yield ClientConnection(sock, handler, Clock().now, budget, shared_turns=shared_turns), handler


# Guards against usual requests that wait for one turn of each of hundreds of clients that send at full speed.
def test_connections_that_always_have_input_share_their_turns(monkeypatch: pytest.MonkeyPatch) -> None:
    data = fastcgi_record(PARAMS, 2, bytes(8))  # a part of every buffer size, so that reads fill the buffer
    turns: list[ClientConnection] = []
    turns_after_pass: list[int] = []
    take_turn = ClientConnection._take_turn

    def count_turn(connection: ClientConnection) -> Any:
        turns.append(connection)
        return take_turn(connection)

    async def run() -> None:
        shared_turns = busy_turns()
        with contextlib.ExitStack() as stack:
            async with trio.open_nursery() as nursery:
                for _ in range(10 * MAX_BUSY_TURNS):
                    connection, _ = stack.enter_context(connection_with_endless_input(data, shared_turns))
                    nursery.start_soon(connection.run)
                for _ in range(60):
                    await trio.lowlevel.checkpoint()
                    turns_after_pass.append(len(turns))
                nursery.cancel_scope.cancel()

    monkeypatch.setattr(ClientConnection, "_take_turn", count_turn)
    trio.run(run)
    # In the first passes each connection finds out that it has more input than one turn takes.
    passes, first = 40, 10
    taken = turns_after_pass[first + passes] - turns_after_pass[first]
    assert passes <= taken <= (passes + 1) * MAX_BUSY_TURNS
    assert len(set(turns[-10 * MAX_BUSY_TURNS :])) == 10 * MAX_BUSY_TURNS  # one after the other


# Guards against a poll before an attempt that reads for as long as the client sends.
def test_poll_of_a_client_that_never_stops_sending_returns() -> None:
    async def poll() -> None:
        with connection_with_endless_input(STRAY_BODY) as (connection, _):
            assert not connection.poll_input()
            while not connection.is_closing():  # the reading task's turns, of which the socket allows so many
                connection._take_turn()

    trio.run(poll)


# Guards against one connection's pipelined requests delaying all other connections.
def test_one_turn_takes_a_bounded_number_of_requests() -> None:
    handler, budget, (ours, theirs) = AcceptingHandler(), MemoryBudget(), socket.socketpair()
    budget.limit = 1e6
    count = 3 * MAX_REQUESTS_PER_TURN

    async def receive() -> None:
        connection = ClientConnection(ours, handler, Clock().now, budget)
        theirs.sendall(b"".join(encode(request_id) for request_id in range(1, count + 1)))
        connection._take_turn()
        assert handler.request_count == MAX_REQUESTS_PER_TURN
        assert connection.poll_input()  # nothing is left then
        assert handler.request_count == count

    with ours, theirs:
        ours.setblocking(False)
        trio.run(receive)


# Guards against clients that send useless records without end and are never turned away.
@pytest.mark.parametrize("kind", STRAY_RECORDS)
def test_client_that_sends_only_stray_records_is_closed(router: RouterHarness, kind: str) -> None:
    client = router.connect()
    first, repeated = STRAY_RECORDS[kind]
    with flood(client, first, repeated * 100):
        router.wait_until(lambda: router.log_lines("client-connection-error"), "the close")
    assert "records that belong to no request" in router.log_lines("client-connection-error")[0]


# Guards against requests that are lost because stray records are counted over a connection's whole life.
def test_stray_records_between_requests_are_accepted(router: RouterHarness) -> None:
    answer_all(router)
    client = router.connect()
    for _ in range(3):
        client.sock.sendall(STRAY_BODY * 800)
        assert client.request().status == 200


class UnreadClient(Client):
    """A client whose input is processed completely only when the test says so."""

    def __init__(self) -> None:
        super().__init__()
        self.input_processed = False
        self.waiters: list[Callable[[], None]] = []

    def poll_input(self) -> bool:
        """Returns whether all input is processed."""
        return self.input_processed

    def call_when_input_processed(self, callback: Callable[[], None]) -> None:
        """Keeps the callback."""
        self.waiters.append(callback)

    def cancel_input_callback(self, callback: Callable[[], None]) -> None:
        """Drops the callback."""
        self.waiters.remove(callback)

    def process_input(self) -> None:
        """Processes all input."""
        self.input_processed = True
        for callback in self.waiters:
            callback()


def request_of_unread_client(harness: RequestRouterHarness, client: UnreadClient) -> ActiveRequest:
    """Passes a request to the router, has it decided, and establishes the connection to its cache."""
    incoming = make_incoming_request(client.receive)
    incoming.client_input = client
    request = harness.router.on_request(incoming)
    assert request is not None
    harness.router.run_decisions()
    return request


# Guards against an attempt for a request whose abort is behind input that was not processed yet.
@pytest.mark.parametrize("withdrawn", [False, True])
def test_attempt_waits_until_the_input_of_its_client_is_processed(withdrawn: bool) -> None:
    harness, client, sock = RequestRouterHarness(), UnreadClient(), WritableSocket()
    request = request_of_unread_client(harness, client)
    harness.channels[0].on_connected(sock)
    harness.advance(10.0)
    assert sock.written == b""
    if withdrawn:
        harness.router.on_client_disconnected(request)
    client.process_input()
    assert (request.incoming.request_id.encode() in sock.written) is not withdrawn


# Guards against memory that grows with each request withdrawn by a client whose input is never processed.
def test_withdrawn_request_leaves_no_callback_at_a_client_that_sends_without_end() -> None:
    harness, client, sock = RequestRouterHarness(), UnreadClient(), WritableSocket()
    request = request_of_unread_client(harness, client)
    harness.channels[0].on_connected(sock)
    assert len(client.waiters) == 1
    harness.router.on_client_disconnected(request)
    assert client.waiters == []


# Guards against a healthy cache that is ejected since clients send without end, and their attempts wait.
def test_attempt_that_waits_for_its_client_at_its_deadline_is_no_failure_of_the_cache() -> None:
    harness, client, sock = RequestRouterHarness(), UnreadClient(), WritableSocket()
    request = request_of_unread_client(harness, client)
    harness.channels[0].on_connected(sock)
    harness.advance(request.incoming.timeout)
    counts = harness.router.accounting.counts
    assert (counts["not_sent"], counts["connect_failed"]) == (1, 0)
    assert len(client.responses) == 1


# Guards against polls whose work grows with the attempts that wait for one client, one poll for each.
def test_polls_for_many_attempts_of_one_client_process_no_more_than_one_poll() -> None:
    async def poll() -> None:
        with connection_with_endless_input(SMALL_RECORD) as (connection, _):
            connection._buffer.append(BEGIN)
            for _ in range(MAX_OPEN_REQUESTS):
                assert not connection.poll_input()
            processed = connection._decoder.completed_records
            assert processed <= MAX_POLL_RECORDS + MAX_RECORDS_PER_TURN

    trio.run(poll)


# Guards against usual requests that wait behind polls for the open requests of clients that send endlessly.
def test_requests_are_answered_in_time_beside_endless_messages_behind_open_requests(
    router: RouterHarness,
) -> None:
    answer_all(router)
    new_ids = map("{:016x}".format, itertools.count(1))
    with contextlib.ExitStack() as floods:
        for _ in range(8):
            bad = router.connect()
            requests = b"".join(
                bad.encode_request(number, X_TTL_MS="6000", X_TXN=next(new_ids), X_ROW=next(new_ids))
                for number in range(1, MAX_OPEN_REQUESTS)
            )
            begin = fastcgi_record(BEGIN_REQUEST, MAX_OPEN_REQUESTS, struct.pack(">HB5x", 1, 1))
            piece = fastcgi_record(PARAMS, MAX_OPEN_REQUESTS, b"a") * 33_000 + begin
            floods.enter_context(flood(bad, requests + begin, piece))
        end = time.monotonic() + 2 * FLOOD_TIME
        while time.monotonic() < end:
            sent_at = time.monotonic()
            router.connect().request(X_TTL_MS=str(TIMEOUT_MS))
            assert time.monotonic() - sent_at < TIMEOUT_MS / 1000.0 + ANSWER_SLACK


# Guards against records that a poll has left, and that wait until the client sends something else.
def test_records_that_a_poll_has_left_are_processed_without_further_input() -> None:
    processed: list[bool] = []

    async def receive() -> None:
        handler, budget, (ours, theirs) = AcceptingHandler(), MemoryBudget(), socket.socketpair()
        budget.limit = 1e6
        with ours, theirs, trio.move_on_after(TEST_TIMEOUT) as timeout:
            ours.setblocking(False)
            connection = ClientConnection(ours, handler, Clock().now, budget)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.run)
                await trio.testing.wait_all_tasks_blocked()
                theirs.sendall(STRAY_BODY * (MAX_STRAY_RECORDS - 100) + encode(1))
                assert not connection.poll_input()
                connection.call_when_input_processed(lambda: processed.append(True))
                while not processed:
                    await trio.lowlevel.checkpoint()
                assert handler.request_count == 1
                nursery.cancel_scope.cancel()
        assert not timeout.cancelled_caught

    trio.run(receive)


# Guards against usual requests that wait behind hundreds of withdrawn ones.
def test_withdrawn_requests_take_nothing_from_a_batch_of_decisions() -> None:
    harness, usual = RequestRouterHarness(), Client()
    for number in range(5 * DECISION_BATCH):
        incoming = make_incoming_request(Client().receive)
        incoming.request_id = f"{number:016x}"
        request = harness.router.on_request(incoming)
        assert request is not None
        harness.router.on_client_disconnected(request)
    harness.request(usual)
    assert len(harness.channels) == 1


class MessageCounter:
    """The owner of a channel; counts the arrays."""

    def __init__(self) -> None:
        self.count = 0

    def on_message(self, connection: UpstreamChannel, array: list[bytes]) -> None:
        """Counts an array."""
        self.count += 1

    def wants_item(self, first_item: bytes, size: int) -> bool:
        """Returns True: every item is needed."""
        return True

    def on_channel_closed(self, connection: UpstreamChannel, reason: str) -> None:
        """Does nothing."""


# Guards against a cache that sends answers without end and keeps the event loop.
def test_responses_of_a_cache_are_processed_in_turns() -> None:
    owner = MessageCounter()
    channel = UpstreamChannel(owner, Clock().now)
    channel.buffer = ReceiveBuffer(1 << 16)
    channel.buffer.append(resp_array(b"id", b"200", b"-", b"") * (MAX_ARRAYS_PER_TURN + 1))
    channel.on_received()
    assert (owner.count, channel.arrays_left) == (MAX_ARRAYS_PER_TURN, True)
    channel.on_received()
    assert (owner.count, channel.arrays_left) == (MAX_ARRAYS_PER_TURN + 1, False)


class EndlessListener(socket.socket):
    """A listener with a new connection at each accept, which ends at the next; fails after too many."""

    remaining = 100_000
    connection: socket.socket | None = None

    def accept(self) -> tuple[socket.socket, object]:
        """Returns one end of a new connection."""
        self.remaining -= 1
        assert self.remaining > 0, "the router does not stop accepting"
        if self.connection is not None:
            self.connection.close()
        self.connection = socket.socketpair()[0]
        return self.connection, None


# Guards against a shutdown that accepts for as long as clients connect and answers nobody.
def test_accepting_at_shutdown_ends_in_time_while_clients_connect_without_end() -> None:
    accepted: list[object] = []
    harness = RequestRouterHarness()
    frontend = FastCgiFrontend(settings_from_json(SETTINGS), harness.router)
    acceptor = ClientAcceptor(
        frontend, harness.clock, harness.timers, harness.budget, lambda: 0, accepted.append
    )

    async def accept() -> None:
        with EndlessListener() as listener, trio.fail_after(TEST_TIMEOUT):
            await acceptor.accept_remaining(listener, trio.current_time() + 0.1)

    trio.run(accept)
    assert accepted


# Guards against a system call for each useless record.
def test_replies_of_one_turn_are_written_together() -> None:
    sock = WritableSocket()
    session = ClientSession(sock, AcceptingHandler(), Clock().now, MemoryBudget())
    session._buffer.append(UNKNOWN_TYPE_RECORD * 50)
    session.on_received()
    assert sock.writes == 1
