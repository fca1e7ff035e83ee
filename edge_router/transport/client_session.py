"""The state machine of one client connection, without I/O.

Decodes requests, and interleaves the records of the responses so that a long one does not delay the others.

A subclass does the I/O: it reports events (`on_received`, `on_writable`, `on_closed`) and implements
`_on_write_blocked`, `_stop_reading`, `_stop_writing`, `poll_input` and `close`, and calls
`_on_input_processed`. `ClientConnection` is such a subclass.
"""

from __future__ import annotations

import math
import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

from edge_router.protocol.buffer import ReceiveBuffer
from edge_router.protocol.fastcgi import (
    FastCgiDecoder,
    InvalidRequest,
    ProtocolStatus,
    RequestAborted,
    RequestComplete,
    end_record,
    response_records,
)
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.runtime.system_errors import is_local_failure
from edge_router.transport.close_reason import CloseReason
from edge_router.transport.upstream_channel import Socket

# Input that waits to be decoded; the content of a record is taken out as it arrives.
MAX_BUFFERED_BYTES = 16_384
MAX_CONTROL_RECORDS = 256  # management and end records that wait to be written
MAX_CONSECUTIVE_REJECTIONS = 20  # rejected requests in a row; one more closes the connection
# Records of no use since the last accepted request, and their bytes; more close the connection.
MAX_STRAY_RECORDS = 1000
MAX_STRAY_BYTES = 1 << 20
# Records, and complete requests among them, that are processed until other connections have their turn.
MAX_RECORDS_PER_TURN = 128
MAX_REQUESTS_PER_TURN = 8
RECEIVE_TIMEOUT = 2000.0  # ms to complete a record or request; clients must get an error within 3 s
WRITE_SIZE = 65_536  # approximate bytes for one send(2)


class RequestHandler(Protocol):
    """Receives the requests of all client connections."""

    def on_request(
        self,
        connection: ClientSession,
        request_id: int,
        params: dict[str, str],
        body: bytes,
        invalid: InvalidRequest | None,
    ) -> bool:
        """Handles a complete request, or an invalid one, of which `invalid` says what is wrong.

        Each request needs exactly one response or end record. Returns whether the request was acceptable.
        """

    def on_aborted(self, connection: ClientSession, request_id: int) -> None:
        """Handles an abort of this request by the client."""

    def on_disconnected(self, connection: ClientSession, request_id: int) -> None:
        """Handles the end of the connection, or its half-close by the client, while this request is open."""


class ClientSession:
    """One client connection: its requests, its unsent responses and its timeouts."""

    def __init__(
        self, sock: Socket, handler: RequestHandler, clock: Callable[[], float], budget: MemoryBudget
    ) -> None:
        self._sock = sock
        self._handler = handler
        self._clock = clock
        self._budget = budget
        self._decoder = FastCgiDecoder(budget, clock)
        self._buffer = ReceiveBuffer(MAX_BUFFERED_BYTES)
        self._close_reason: CloseReason | str | None = None  # set once new requests are rejected
        # Start of the incomplete record, or of the connection until it has received a byte (ms); else None.
        self._partial_since: float | None = clock()
        self.silent = True  # until the first byte is received
        # Milliseconds for which the request that is passed to the handler may have waited to be read.
        self.time_unread = 0.0
        self._max_unread_time = 0.0  # ms, upper bound for all input of the last read
        # Milliseconds for which the last bytes of that input waited; the upper bound if that is unknown.
        self._final_bytes_unread_time = 0.0
        self._received_at = clock()  # when that read was made
        self._records_left = False  # the buffer holds complete records, which wait for the next turn
        self._processing_input = False  # what is to be written then waits for the end of the turn
        self._input_callbacks: dict[
            Callable[[], None], None
        ] = {}  # called by `_on_input_processed`, in order
        self._control_records: deque[bytes] = deque()
        self._responses: deque[tuple[int, deque[bytes]]] = deque()
        self._unsent_bytes = 0  # bytes of `_responses`, reserved in the memory budget
        self._partial_write = memoryview(b"")  # the unwritten rest of the last write
        self._blocked_write_bytes = 0  # size of that whole write, reserved in the memory budget
        self._write_blocked = False  # until `on_writable`
        self._client_stalled = False  # the client does not read its responses
        self.last_used = clock()

    # Implemented by the subclass that does the I/O.

    def close(self) -> None:
        """Closes the connection at once."""

    def _on_write_blocked(self) -> None:
        """Arranges a call of `on_writable` once the full socket buffer has space again."""

    def _stop_reading(self) -> None:
        """Stops reading."""

    def _stop_writing(self) -> None:
        """Stops writing and half-closes the connection."""

    # Called by the subclass that does the I/O.

    def on_received(self) -> bool:
        """Processes bytes in the buffer for one turn; raises FastCgiError if they break the protocol.

        Returns whether complete records are left, for which the caller gives it another turn after the other
        connections had theirs: a client may send faster than its input can be processed.
        """
        self.silent = False
        now = self.last_used = self._clock()
        if not self._records_left:
            self._received_at = now
        completed_before = self._decoder.completed_records
        self._processing_input = True
        try:
            self._records_left = self._process_records()
        finally:
            self._processing_input = False
            self._flush()
        self._buffer.shrink()
        if not len(self._buffer) and not self._decoder.in_record():
            self._partial_since = None
        elif self._decoder.completed_records != completed_before or self._partial_since is None:
            self._partial_since = now
        if self._decoder.consecutive_rejections > MAX_CONSECUTIVE_REJECTIONS:
            self._start_closing(CloseReason.TOO_MANY_REJECTED)
        elif self._decoder.stray_records > MAX_STRAY_RECORDS or self._decoder.stray_bytes > MAX_STRAY_BYTES:
            self._start_closing(CloseReason.TOO_MANY_STRAY)
        return self._records_left

    def _process_records(self) -> bool:
        """Processes records in the buffer up to the limits of one turn; returns whether any may be left."""
        requests, end = 0, self._decoder.completed_records + MAX_RECORDS_PER_TURN
        for event in self._decoder.decode_events(self._buffer, MAX_RECORDS_PER_TURN):
            if isinstance(event, RequestComplete):
                requests += 1
                if self._close_reason:
                    self._reject(event.request_id)
                else:
                    self._dispatch_request(event)
                if requests >= MAX_REQUESTS_PER_TURN:
                    return len(self._buffer) > 0
            elif isinstance(event, RequestAborted):
                self._handler.on_aborted(self, event.request_id)
            else:
                self._send_control_record(event.data)
        return self._decoder.completed_records >= end and len(self._buffer) > 0

    def on_writable(self) -> None:
        """Continues writing after the socket buffer was full."""
        self._write_blocked = False
        self._flush()

    def on_closed(self) -> None:
        """Releases all memory and reports open requests as disconnected; must be the last call, made once."""
        self._decoder.close()
        self._input_callbacks.clear()
        self._notify_disconnected()
        self._budget.release(self._unsent_bytes + self._blocked_write_bytes)
        self._unsent_bytes = self._blocked_write_bytes = 0

    def _notify_disconnected(self) -> None:
        """Reports the disconnection to the handler, for each open request."""
        for request_id in sorted(self._decoder.open_ids):
            self._handler.on_disconnected(self, request_id)

    # Called by the owner of the connection and by the request handler; the subclass implements `poll_input`.

    def is_fully_answered(self) -> bool:
        """Whether every complete request is answered and nothing is left to write."""
        return not (
            self._decoder.complete_count() or self._control_records or self._responses or self._partial_write
        )

    def is_idle(self) -> bool:
        """Whether it is fully answered and has no incomplete request or record either."""
        return self.is_fully_answered() and not self._decoder.partial_count() and self._partial_since is None

    def check_timeouts(self, now: float) -> None:
        """Applies `RECEIVE_TIMEOUT` to incomplete requests and records and to silent connections.

        `now` is in ms. Incomplete requests are passed to the handler as invalid. A connection that has an
        incomplete record, or from which nothing has been read, starts to close; the latter does not if it has
        unread input. Without this limit, clients that send nothing, or never complete a request, would occupy
        connection slots.
        """
        if (
            self._partial_since is not None
            and self._partial_since < now - RECEIVE_TIMEOUT
            and not (self.silent and self._has_unread_input())
        ):
            self._start_closing(
                CloseReason.NOTHING_RECEIVED if self.silent else CloseReason.INCOMPLETE_RECORD
            )
        for event in self._decoder.expire_partial(now - RECEIVE_TIMEOUT):
            self._handler.on_request(self, *event)

    def _start_closing(self, reason: CloseReason | str) -> None:
        """Rejects new requests, and closes the connection once all complete requests are answered.

        Input is read until then, as a request that the client aborts needs no further attempts.
        """
        if not self._close_reason:
            self._close_reason, self.last_used = reason, self._clock()
        self._flush()

    def is_closing(self) -> bool:
        """Whether the connection is being closed and rejects new requests."""
        return bool(self._close_reason)

    def close_if_idle(self, reason: CloseReason) -> None:
        """Starts to close an idle connection, unless unread input has arrived."""
        if not self._close_reason and (self.is_idle() or self.silent) and not self._has_unread_input():
            self._start_closing(reason)

    def close_if_silent(self) -> bool:
        """Closes the connection at once if nothing has arrived on it; returns whether it does."""
        if not self.silent or self._has_unread_input():
            return False
        self.close()
        return True

    def is_incomplete_since(self, begun_before: float) -> bool:
        """Whether nothing complete is open, and a request or record began before that time (ms)."""
        if self._close_reason or self._decoder.complete_count():
            return False
        record_begun = self._partial_since is not None and self._partial_since < begun_before
        return record_begun or self._decoder.has_partial_since(begun_before)

    def reject_incomplete(self, reason: CloseReason) -> None:
        """Passes all incomplete requests to the handler as invalid, and starts to close the connection."""
        for event in self._decoder.expire_partial(math.inf):
            self._handler.on_request(self, *event)
        self._start_closing(reason)

    def poll_input(self) -> bool:
        """Processes input that has arrived, such as an abort; called right before an attempt is sent.

        Returns whether that was all of it; the rest may withdraw the request of the attempt.
        """
        return True

    def call_when_input_processed(self, callback: Callable[[], None]) -> None:
        """Calls `callback` once the input that `poll_input` has left is processed.

        It is not called if the connection ends before: its requests are reported as disconnected then.
        """
        self._input_callbacks[callback] = None

    def cancel_input_callback(self, callback: Callable[[], None]) -> None:
        """Drops a callback: its request may end long before the input of a client that never stops."""
        self._input_callbacks.pop(callback, None)

    def _on_input_processed(self) -> None:
        """Calls those that wait until all input is processed."""
        callbacks, self._input_callbacks = self._input_callbacks, {}
        for callback in callbacks:
            callback()

    def _has_unread_input(self) -> bool:
        """Whether the socket has unread input."""
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def _reject(self, request_id: int) -> None:
        """Rejects a request that arrives while the connection is being closed."""
        self._decoder.open_ids.discard(request_id)
        self._send_control_record(end_record(request_id, ProtocolStatus.OVERLOADED))

    def send_response(self, request_id: int, head: bytes, body: bytes) -> None:
        """Queues the complete response to a request."""
        records = response_records(request_id, head, body)
        size = sum(map(len, records))
        self._unsent_bytes += size
        self._budget.reserve(size)
        self._responses.append((request_id, records))
        self._flush()

    def end_request(self, request_id: int, status: int) -> None:
        """Ends a request without a response."""
        # A request without a response is COMPLETE only if the client aborted it: application status 1.
        self._decoder.open_ids.discard(request_id)
        self._send_control_record(
            end_record(request_id, status, 1 if status == ProtocolStatus.COMPLETE else 0)
        )

    def _send_control_record(self, data: bytes) -> None:
        """Queues a management or end record.

        Closes the connection if `MAX_CONTROL_RECORDS` are queued: the client sends but does not read.
        """
        if len(self._control_records) >= MAX_CONTROL_RECORDS:
            self._client_stalled = True
            self.close()
        self._control_records.append(data)
        self._flush()

    def _dispatch_request(self, event: RequestComplete) -> None:
        """Passes a request to the handler and counts consecutive rejections.

        They are limited because some clients resend a rejected request at once.
        """
        unread_time = self._max_unread_time if len(self._buffer) else self._final_bytes_unread_time
        self.time_unread = unread_time + self.last_used - self._received_at
        if self._handler.on_request(self, *event):
            self._decoder.request_accepted()
        else:
            self._decoder.consecutive_rejections += 1

    def _next_write(self) -> bytes:
        """Returns the next bytes to write: control records first, then records of the responses in turn."""
        parts: list[bytes] = []
        size = 0
        while size < WRITE_SIZE and (self._control_records or self._responses):
            if self._control_records:
                part = self._control_records.popleft()
            else:
                request_id, records = self._responses.popleft()
                part = records.popleft()
                self._unsent_bytes -= len(part)
                self._budget.release(len(part))
                if records:
                    self._responses.append((request_id, records))
                else:
                    self._decoder.open_ids.discard(request_id)  # before the client can reuse the id
            parts.append(part)
            size += len(part)
        return b"".join(parts)

    def _flush(self) -> None:
        """Writes until the socket buffer is full; closes the connection if sending fails for a remote cause.

        Once everything is written, stops writing and reading in two cases: the connection is closing and has
        no complete request left, or the client asked not to keep it open and no request is open.
        """
        while not self._write_blocked and not self._processing_input:
            if not self._partial_write and not (data := self._next_write()):
                keep_open = (
                    self._decoder.complete_count()
                    if self._close_reason
                    else self._decoder.keep_connection or self._decoder.open_ids
                )
                if not keep_open:
                    self._stop_writing()
                    self._stop_reading()
                return
            self._partial_write = self._partial_write or memoryview(data)
            try:
                sent = self._sock.send(self._partial_write)
            except BlockingIOError:
                sent = 0
            except OSError as error:
                if not is_local_failure(error):
                    self.close()
                    return
                sent = 0
            self.last_used = self._clock()
            self._account_blocked_write(self._partial_write, sent)
            self._partial_write = self._partial_write[sent:]
            if self._partial_write:
                self._write_blocked = True
                self._on_write_blocked()

    def _account_blocked_write(self, data: memoryview, sent: int) -> None:
        """Reserves a write that is blocked, of which the whole memory is kept until its last byte is sent."""
        if sent == len(data):
            self._budget.release(self._blocked_write_bytes)
            self._blocked_write_bytes = 0
        elif not self._blocked_write_bytes:
            self._blocked_write_bytes = len(data)
            self._budget.reserve(self._blocked_write_bytes)
