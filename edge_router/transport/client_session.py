"""The life of one client connection, without its I/O: requests in, answers out by turns.

Whoever does the I/O makes a `Session`, tells it what happens (`received`, `writable`, `ended`) and does
what `_blocked`, `_stop_reading`, `_stop_writing` and `close` ask for. `wire/client.py` does so with trio.
"""

from __future__ import annotations

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
from edge_router.runtime.system_errors import is_local_shortage
from edge_router.transport.upstream_channel import Socket

MOST_UNREAD = 2 * (65_536 + 256 + 8)
MOST_OWED = 1000  # protocol records that wait to be written
MOST_TURNED_AWAY = 20  # requests in a row that can't be taken, after which a connection is ended
TAKE_IN = 2000.0  # ms within which what has begun to come in is whole; a bad client is owed an end within 3 s
GULP = 65_536  # bytes handed to the socket at once


class RequestHandler(Protocol):
    """Who takes the requests of all connections."""

    def on_request(
        self,
        connection: ClientSession,
        ident: int,
        params: dict[str, str],
        body: bytes,
        invalid: InvalidRequest | None,
    ) -> bool:
        """A request has come in, or is ended for what is bad with it; exactly one answer or an end is owed.

        Says whether it was one that can be taken.
        """

    def on_aborted(self, connection: ClientSession, ident: int) -> None:
        """The client has left this request."""

    def on_disconnected(self, connection: ClientSession, ident: int) -> None:
        """The client sends no more: it has closed the connection, or its half of it."""


class ClientSession:
    """One client connection: requests in, answers out by turns, record by record."""

    def __init__(
        self, sock: Socket, handler: RequestHandler, clock: Callable[[], float], budget: MemoryBudget
    ) -> None:
        self._sock = sock
        self._handler = handler
        self._clock = clock
        self._budget = budget
        self._decoder = FastCgiDecoder(budget, clock)
        self._buffer = ReceiveBuffer(MOST_UNREAD)
        self._leaving = ""  # why the connection ends once all that is open on it is answered
        self._partial_since = clock()  # when a record began to come in that is not whole; 0: there is none
        self.silent = True  # not a byte has come so far
        self.time_unread = 0.0  # ms for which the request that is being handed on may have waited unread
        self._unread_most = 0.0  # the same for all that came with the last bytes,
        self._unread_last = 0.0  # and for the last of it
        self._urgent: deque[bytes] = deque()
        self._answers: deque[tuple[int, deque[bytes]]] = deque()
        self._unsent = 0  # bytes of answers that wait to be written
        self._rest = memoryview(b"")  # of what was begun to be written
        self._full = False  # the socket takes no more
        self._broken = False
        self.last_used = clock()

    # -- what whoever does the I/O carries out --

    def close(self) -> None:
        """The connection is to be ended."""

    def _blocked(self) -> None:
        """The socket takes no more: `writable` is to be called once it does."""

    def _stop_reading(self) -> None:
        """Nothing more is to be taken in."""

    def _stop_writing(self) -> None:
        """Nothing more is to be written."""

    # -- what whoever does the I/O tells --

    def on_received(self) -> None:
        """More bytes are in the buffer; raises FastCgiError if they can't be read."""
        self.silent = False
        now = self.last_used = self._clock()
        held = len(self._buffer)
        for event in self._decoder.decode_events(self._buffer):
            if isinstance(event, RequestComplete) and self._leaving:
                self._turn_away(event.ident)
            elif isinstance(event, RequestComplete):
                self._request(event)
            elif isinstance(event, RequestAborted):
                self._handler.on_aborted(self, event.ident)
            else:
                self._owe(event.data)
        if not len(self._buffer):
            self._partial_since = 0.0
        elif len(self._buffer) < held or not self._partial_since:
            self._partial_since = now
        if self._decoder.rejected_in_a_row > MOST_TURNED_AWAY:
            self._leave("turned away too often")

    def on_writable(self) -> None:
        """The socket takes more again."""
        self._full = False
        self._pump()

    def on_closed(self) -> None:
        """The connection is over; to be called once, as the last."""
        self._decoder.close()
        self._left()
        self._budget.release(self._unsent)
        self._unsent = 0

    def _left(self) -> None:
        """The client sends no more."""
        for ident in sorted(self._decoder.open_ids):
            self._handler.on_disconnected(self, ident)

    # -- for those who use it --

    def is_quiet(self) -> bool:
        """Whether no request that came in whole is open, and nothing waits to be written."""
        return not (self._decoder.complete_count() or self._urgent or self._answers or self._rest)

    def is_idle(self) -> bool:
        """Whether it is quiet and nothing is coming in either."""
        return self.is_quiet() and not self._decoder.partial_count() and not self._partial_since

    def check_timeouts(self, now: float) -> None:
        """Ends what has been coming in for too long.

        Guards against clients that connect and say nothing, or begin and never end.
        """
        if (
            self._partial_since
            and self._partial_since < now - TAKE_IN
            and not (self.silent and self._unread())
        ):
            self._leave("says nothing" if self.silent else "a record is not whole in time")
        for event in self._decoder.expire_partial(now - TAKE_IN):
            self._handler.on_request(self, *event)

    def _leave(self, why: str) -> None:
        """Takes no more requests, and ends the connection once all that is open on it is answered.

        Until then it is read: a client that closes, or aborts what is open, wants no further attempts.
        """
        if not self._leaving:
            self._leaving, self.last_used = why, self._clock()
        self._pump()

    def is_closing(self) -> bool:
        """Whether the connection is being ended."""
        return bool(self._leaving)

    def close_if_idle(self, why: str) -> None:
        """Ends a connection that rests, unless a request is there already that has not been read."""
        if not self._leaving and (self.is_idle() or self.silent) and not self._unread():
            self._leave(why)

    def poll_input(self) -> None:
        """Takes in what has come meanwhile, also the client's leaving: the last look before an attempt."""

    def _unread(self) -> bool:
        """Whether bytes wait to be read."""
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def _turn_away(self, ident: int) -> None:
        """Refuses a request that comes while the connection is being ended."""
        self._decoder.open_ids.discard(ident)
        self._owe(end_record(ident, ProtocolStatus.OVERLOADED))

    def send_response(self, ident: int, head: bytes, body: bytes) -> None:
        """Queues the whole answer to a request."""
        records = response_records(ident, head, body)
        size = sum(map(len, records))
        self._unsent += size
        self._budget.reserve(size)
        self._answers.append((ident, records))
        self._pump()

    def end_request(self, ident: int, status: int) -> None:
        """Ends a request without an answer."""
        self._decoder.open_ids.discard(ident)
        self._owe(end_record(ident, status, 1 if status == ProtocolStatus.COMPLETE else 0))

    def _owe(self, data: bytes) -> None:
        """Guards against a client that asks on and on and reads nothing."""
        if len(self._urgent) >= MOST_OWED:
            self._broken = True
            self.close()
        self._urgent.append(data)
        self._pump()

    def _request(self, event: RequestComplete) -> None:
        """Hands a request on. Guards against one that is sent again whenever it is turned away."""
        self.time_unread = self._unread_most if len(self._buffer) else self._unread_last
        if self._handler.on_request(self, *event):
            self._decoder.rejected_in_a_row = 0
        else:
            self._decoder.rejected_in_a_row += 1

    def _gulp(self) -> bytes:
        """The next bytes to write: what the protocol owes first, then one record of each answer by turns."""
        parts: list[bytes] = []
        size = 0
        while size < GULP and (self._urgent or self._answers):
            if self._urgent:
                part = self._urgent.popleft()
            else:
                ident, records = self._answers.popleft()
                part = records.popleft()
                self._unsent -= len(part)
                self._budget.release(len(part))
                if records:
                    self._answers.append((ident, records))
                else:
                    # before the client sees the end and uses the id again
                    self._decoder.open_ids.discard(ident)
            parts.append(part)
            size += len(part)
        return b"".join(parts)

    def _pump(self) -> None:
        """Writes until the socket takes no more; once all is written and no more is owed, ends the rest."""
        while not self._full:
            if not self._rest and not (data := self._gulp()):
                left = (
                    self._decoder.complete_count()
                    if self._leaving
                    else self._decoder.keep_connection or self._decoder.open_ids
                )
                if not left:
                    self._stop_writing()
                    self._stop_reading()
                return
            self._rest = self._rest or memoryview(data)
            try:
                sent = self._sock.send(self._rest)
            except BlockingIOError:
                sent = 0
            except OSError as error:
                if not is_local_shortage(error):
                    self.close()
                    return
                sent = 0
            self.last_used = self._clock()
            self._rest = self._rest[sent:]
            if self._rest:
                self._full = True
                self._blocked()
