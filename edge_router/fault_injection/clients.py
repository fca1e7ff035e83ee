"""FastCGI clients, as web servers are: they send requests in an open loop and cancel some of them."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field

import trio

from edge_router.fault_injection.observations import ClientRequest, Observations
from edge_router.fault_injection.protocol import (
    ProtocolError,
    ProtocolStatus,
    RecordType,
    StreamReader,
    encode_record,
    parse_response,
    read_records,
)
from edge_router.fault_injection.traffic import RequestGenerator, encode_client_request

# Seconds after which an idle connection is not used again. Routers close idle client connections after 60 s,
# sooner if connections or descriptors run out, and when they stop.
IDLE_TIMEOUT = 3.0
CONNECT_TIMEOUT = 2.0  # seconds
MAX_REQUESTS_PER_CONNECTION = 8  # concurrent requests
NEW_CONNECTION_SHARE = 0.1  # fraction of requests that open a connection although one could be reused
SPLIT_SHARE = 0.1  # fraction of requests that are written in two parts
SPLIT_SIZE, SPLIT_PAUSE = 20, 0.02  # bytes of the first part, seconds before the second
CANCEL_SHARE = 0.04  # fraction of requests that are cancelled
MAX_CANCEL_DELAY = 0.2  # seconds
ABORT_SHARE = 0.7  # fraction of cancellations by an abort record; the others close the connection

_CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError)


@dataclass(slots=True, eq=False)
class ClientConnection:
    """One connection to a router, with its open requests and their output by FastCGI request id."""

    stream: trio.SocketStream
    open_requests: dict[int, ClientRequest] = field(default_factory=dict)
    output: dict[int, bytes] = field(default_factory=dict)
    next_fastcgi_id: int = 1
    last_used_at: float = field(default_factory=time.monotonic)
    closed: bool = False
    send_lock: trio.Lock = field(default_factory=trio.Lock)  # records of two requests must not interleave

    def is_usable(self) -> bool:
        """Whether another request may be sent on the connection."""
        idle_time = time.monotonic() - self.last_used_at
        room = len(self.open_requests) < MAX_REQUESTS_PER_CONNECTION
        return not self.closed and room and idle_time < IDLE_TIMEOUT

    def new_fastcgi_id(self) -> int:
        """Returns the next FastCGI request id, which no open request has."""
        fastcgi_id = self.next_fastcgi_id
        self.next_fastcgi_id = fastcgi_id % 60_000 + 1
        return fastcgi_id


class Clients:
    """All clients of one router that keep to the protocol."""

    def __init__(
        self,
        router: str,
        address: tuple[str, int],
        seed: int,
        observations: Observations,
        nursery: trio.Nursery,
    ) -> None:
        self._address, self._observations, self._nursery = address, observations, nursery
        self._random = random.Random(seed)
        self._requests = RequestGenerator(router, self._random)
        self._connections: list[ClientConnection] = []
        self.rate_factor = 1.0
        self.sending = True  # whether new requests are sent to the router

    async def run(self, rate: float, until: float) -> None:
        """Sends requests without waiting for answers.

        `rate` is the mean number of requests per second, `until` a time of the machine's monotonic clock.
        """
        next_at = time.monotonic()
        while next_at < until:
            next_at += self._random.expovariate(rate * self.rate_factor)
            await trio.sleep(max(0.0, next_at - time.monotonic()))
            delay = time.monotonic() - next_at
            self._observations.max_harness_delay = max(self._observations.max_harness_delay, delay)
            if self.sending:
                self._nursery.start_soon(self._send_one)

    async def _send_one(self) -> None:
        request = self._requests.draw()
        try:
            connection = await self._acquire_connection()
        except OSError:
            return  # the request was never sent, so it needs no answer
        fastcgi_id = connection.new_fastcgi_id()
        if not await self._send(connection, fastcgi_id, request):
            return
        self._observations.requests.append(request)
        if self._random.random() < CANCEL_SHARE:
            await trio.sleep(self._random.uniform(0.0, MAX_CANCEL_DELAY))
            await self._cancel(connection, fastcgi_id, request)

    async def _acquire_connection(self) -> ClientConnection:
        """Returns an open connection or a new one; raises OSError if it can't connect in time."""
        usable = [connection for connection in self._connections if connection.is_usable()]
        if usable and self._random.random() >= NEW_CONNECTION_SHARE:
            return self._random.choice(usable)
        try:
            with trio.fail_after(CONNECT_TIMEOUT):
                stream = await trio.open_tcp_stream(*self._address)
        except trio.TooSlowError as error:
            raise OSError("no connection within the timeout") from error
        connection = ClientConnection(stream)
        self._connections.append(connection)
        self._nursery.start_soon(self._read, connection)
        return connection

    async def _send(self, connection: ClientConnection, fastcgi_id: int, request: ClientRequest) -> bool:
        """Writes a request; returns False if the connection failed before the request was complete."""
        data = encode_client_request(fastcgi_id, request)
        connection.open_requests[fastcgi_id] = request
        connection.last_used_at = time.monotonic()
        try:
            async with connection.send_lock:
                if self._random.random() < SPLIT_SHARE:
                    await connection.stream.send_all(data[:SPLIT_SIZE])
                    await trio.sleep(SPLIT_PAUSE)
                    data = data[SPLIT_SIZE:]
                await connection.stream.send_all(data)
        except _CONNECTION_ERRORS:
            connection.open_requests.pop(fastcgi_id, None)
            connection.closed = True
            return False
        if request.sent_at is None:  # unless the answer was read before this task resumed
            request.sent_at = time.monotonic()
        return True

    async def _cancel(self, connection: ClientConnection, fastcgi_id: int, request: ClientRequest) -> None:
        if request.answered_at is not None or connection.closed:
            return
        if self._random.random() < ABORT_SHARE:
            await self._abort(connection, fastcgi_id, request)
            return
        connection.closed = True
        now = time.monotonic()
        for other in connection.open_requests.values():
            if other.cancelled_at is None:
                other.cancelled_at = now
        await trio.aclose_forcefully(connection.stream)

    async def _abort(self, connection: ClientConnection, fastcgi_id: int, request: ClientRequest) -> None:
        request.cancelled_at = time.monotonic()  # set first, since the abort itself may cause an answer
        try:
            async with connection.send_lock:
                await connection.stream.send_all(encode_record(RecordType.ABORT_REQUEST, fastcgi_id))
        except _CONNECTION_ERRORS:
            request.cancelled_at = None

    async def _read(self, connection: ClientConnection) -> None:
        """Reads the answers on a connection until it ends."""
        try:
            async for record in read_records(StreamReader(connection.stream)):
                connection.last_used_at = time.monotonic()
                fastcgi_id = record.fastcgi_id
                if record.record_type == RecordType.STDOUT:
                    connection.output[fastcgi_id] = connection.output.get(fastcgi_id, b"") + record.content
                elif record.record_type == RecordType.END_REQUEST:
                    self._finish(connection, fastcgi_id, record.content[4])
        except (trio.BrokenResourceError, trio.ClosedResourceError, ProtocolError, EOFError):
            pass
        connection.closed = True
        for request in connection.open_requests.values():
            request.connection_lost_at = time.monotonic()
        if connection in self._connections:
            self._connections.remove(connection)
        await trio.aclose_forcefully(connection.stream)

    def _finish(self, connection: ClientConnection, fastcgi_id: int, protocol_status: int) -> None:
        """Records the answer to a request."""
        text = connection.output.pop(fastcgi_id, b"")
        request = connection.open_requests.pop(fastcgi_id, None)
        if request is None:
            return
        now = time.monotonic()
        if request.sent_at is None:
            request.sent_at = now
        request.answer_count += 1
        request.answered_at = now
        if protocol_status == ProtocolStatus.OVERLOADED:
            request.status = 503
            return
        if not text and request.cancelled_at is not None:
            return
        try:
            response = parse_response(text)
        except ProtocolError as error:
            request.parse_error = str(error)
            return
        request.status, request.body = response.status, response.body
        request.not_modified = response.headers.get("X-Notmod") == "1"
        request.response_etag = response.headers.get("X-Etag", "")
        if request.status == 200:
            self._requests.store(request)
