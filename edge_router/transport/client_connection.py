"""The I/O of a `ClientSession` with trio."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from enum import Enum, auto

import trio

from edge_router.protocol.buffer import BufferFullError
from edge_router.protocol.fastcgi import FastCgiError
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.runtime.system_errors import is_local_failure
from edge_router.runtime.timers import STALL_MEMORY
from edge_router.transport.client_session import WRITE_SIZE, ClientSession, RequestHandler
from edge_router.transport.close_reason import CloseReason
from edge_router.transport.receive_age import last_received_ago

# Turns that connections with more input than one turn processes take together until all others had theirs.
MAX_BUSY_TURNS = 4
LINGER_TIMEOUT = 1.0  # seconds for which a closing connection still reads and discards input
# Bytes of input that a closing connection processes at most, and after that discards at most.
MAX_LINGER_BYTES = 1 << 20
# Turns and records of one poll; enough for `MAX_OPEN_REQUESTS` requests that arrived in several reads.
MAX_POLL_TURNS = 16
MAX_POLL_RECORDS = 512
_DISCARDED = bytearray(WRITE_SIZE)  # shared by all closing connections, as nobody reads it
WRITE_TIMEOUT = 10.0  # seconds for which a client may leave its responses unread


def busy_turns() -> trio.Semaphore:
    """Returns the turns that the busy ones among some connections share, in the order in which they ask."""
    return trio.Semaphore(MAX_BUSY_TURNS)


def no_stall() -> float:
    """Returns 0: the default `stall_duration`, for a process that never stalls."""
    return 0.0


class _Turn(Enum):
    """What came of one turn of reading and processing input."""

    NO_INPUT = auto()  # everything that has arrived is processed
    NOT_READ = auto()  # reading failed for a cause on this host; there may be input
    PROCESSED = auto()  # there may be more
    END_OF_STREAM = auto()


class ClientConnection(ClientSession):
    """A client session on a non-blocking socket; a task completes writes that would have blocked."""

    def __init__(
        self,
        sock: socket.socket,
        handler: RequestHandler,
        clock: Callable[[], float],
        budget: MemoryBudget,
        stall_duration: Callable[[], float] = no_stall,
        accept_delay: float = 0.0,
        shared_turns: trio.Semaphore | None = None,
    ) -> None:
        """Wraps an accepted socket.

        `stall_duration` returns the milliseconds for which input may have waited because the process stalled;
        `accept_delay` is the time in milliseconds for which the connection waited to be accepted;
        `shared_turns`, from `busy_turns`, is the same for all connections of the process.
        """
        super().__init__(sock, handler, clock, budget)
        self._sock: socket.socket = sock
        self._stall_duration = stall_duration
        self._accept_delay = accept_delay
        self._shared_turns = shared_turns or busy_turns()
        self._more_input = False  # the last read filled the buffer, so more is probably left to read
        self._accepted_at = clock()
        self.last_used = self._accepted_at - accept_delay
        # ms; no input that the last read left in the socket arrived before; None if it left none
        self._backlog_since: float | None = None
        # Set by a poll that left input, until the reading task has processed all of it. Polls do nothing
        # meanwhile, so that the work for one connection does not grow with the attempts that wait for it.
        self._input_left = False
        self._input_wait = trio.CancelScope()  # the reading task's wait for input
        self._closing_bytes = 0  # received since the connection started to close
        self._write_wanted = trio.Event()
        self._scope = trio.CancelScope()
        self._reading = trio.CancelScope()
        self._writing = trio.CancelScope()
        self._writer_started = False  # the writing task is started once, on the first blocked write
        self._nursery: trio.Nursery

    def close(self) -> None:
        """Closes the connection at once; `run` returns."""
        self._scope.cancel()

    def _on_write_blocked(self) -> None:
        self._write_wanted.set()
        self._start_writing()

    def _stop_reading(self) -> None:
        self._reading.cancel()

    def _stop_writing(self) -> None:
        """Cancels the writing task and half-closes.

        The half-close tells the client that requests sent from now on are not processed.
        """
        self._writing.cancel()
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    async def run(self) -> CloseReason | str:
        """Serves the connection until either side closes it; raises no network error.

        Returns why the connection ended: a `CloseReason` or the text of an error.
        """
        reason: CloseReason | str = CloseReason.CLOSED_LOCALLY
        with self._scope:
            try:
                async with trio.open_nursery() as self._nursery:
                    with self._reading:
                        reason = await self._read()
                        self._writing.cancel()
                    if self._close_reason:
                        reason = self._close_reason
                        # Has no effect on any known path: `_writing` is cancelled or its task has ended.
                        self._start_writing()
            finally:
                self._writer_started = True  # no writing task can be started any more
                self.on_closed()
            if self._close_reason or not self._decoder.keep_connection:
                await self._linger()
        return CloseReason.WRITE_TIMEOUT if self._client_stalled else reason

    async def _linger(self) -> None:
        """Half-closes, then discards input up to `MAX_LINGER_BYTES` within `LINGER_TIMEOUT`.

        Closing with unread bytes would reset the socket and lose responses.
        """
        remaining = MAX_LINGER_BYTES
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
        with trio.move_on_after(LINGER_TIMEOUT), contextlib.suppress(OSError):
            while remaining > 0:
                await trio.lowlevel.wait_readable(self._sock)
                if not (count := self._sock.recv_into(_DISCARDED)):
                    break
                remaining -= count

    async def _read(self) -> CloseReason | str:
        while True:
            try:
                await self._wait_for_turn()
                if self._reading.cancel_called:
                    continue  # input after the half-close is not processed
                turn = self._take_turn()
                if turn is _Turn.END_OF_STREAM:
                    return CloseReason.CLIENT_CLOSED
                if turn is _Turn.NO_INPUT:
                    self._input_left = False
                    self._on_input_processed()
                if self._close_reason and self._closing_bytes >= MAX_LINGER_BYTES:
                    return self._close_reason
            except (BufferFullError, FastCgiError) as error:
                self._close_reason = self._close_reason or str(error)
                return self._close_reason
            except OSError as error:
                return str(error) or type(error).__name__

    async def _wait_for_turn(self) -> None:
        """Waits until there may be input to process and the other connections had their turn.

        A connection that always has input shares its turns with others of its kind. However many these are,
        the time that usual connections wait for their turn stays bounded.
        """
        if self._records_left or self._input_left or self._more_input:
            async with self._shared_turns:
                return
        with trio.CancelScope() as self._input_wait:
            await trio.lowlevel.wait_readable(self._sock)

    def _take_turn(self) -> _Turn:
        """Reads once, unless the last turn left records to process, and processes input for one turn."""
        if not self._records_left and (result := self._receive()) is not _Turn.PROCESSED:
            return result
        self.on_received()
        return _Turn.PROCESSED

    def _receive(self) -> _Turn:
        """Reads once into the buffer; returns PROCESSED if there is input to process now."""
        try:
            with self._buffer.writable_view() as view:
                capacity = len(view)
                count = self._sock.recv_into(view)
        except BlockingIOError:
            self._buffer.shrink()
            self._backlog_since = None
            self._more_input = False
            return _Turn.NO_INPUT
        except OSError as error:
            if is_local_failure(error):
                return _Turn.NOT_READ
            raise
        if not count:
            return _Turn.END_OF_STREAM
        self._buffer.commit(count)
        self._more_input = count == capacity
        self._record_unread_time(self._more_input)
        if self._close_reason:
            self._closing_bytes += count
        return _Turn.PROCESSED

    def _record_unread_time(self, more: bool) -> None:
        """Records how long the last input may have waited; `more` is set if more may be left to read."""
        now, received_ago = self._clock(), last_received_ago(self._sock)
        max_age = max(received_ago or 0.0, self._stall_duration())
        if self._backlog_since is not None:
            max_age = max(max_age, now - self._backlog_since)
        since_accepted = now - self._accepted_at
        if self.silent and since_accepted < STALL_MEMORY * 1000.0:
            max_age = max(max_age, self._accept_delay + since_accepted)
        self._backlog_since = now - max_age if more else None
        self._max_unread_time = max_age
        self._final_bytes_unread_time = max_age if more or received_ago is None else received_ago

    def poll_input(self) -> bool:
        """Reads and processes the input within the limits of one poll; returns whether that was all of it.

        What is left is processed by the reading task, one turn after the other. If the stream has ended or
        failed, or the input is invalid, reports the open requests as disconnected; the reading task then ends
        the connection. What follows invalid input is unknown, and may be the end of the stream.
        """
        if self._reading.cancel_called:
            return True
        if self._processing_input or self._input_left:
            self._leave_input()
            return False
        try:
            if self._process_available_input():
                return True
        except (BufferFullError, FastCgiError) as error:
            self._notify_disconnected()
            self._start_closing(str(error))
            return True
        except OSError:
            self._notify_disconnected()
            return True
        self._leave_input()
        return False

    def _process_available_input(self) -> bool:
        """Takes turns within the limits of one poll; returns whether all input is processed."""
        end = self._decoder.completed_records + MAX_POLL_RECORDS
        for _ in range(MAX_POLL_TURNS):
            turn = self._take_turn()
            if turn is _Turn.END_OF_STREAM:
                self._notify_disconnected()
            if turn is not _Turn.PROCESSED:
                return turn is not _Turn.NOT_READ
            if self._decoder.completed_records >= end:
                break
        return False

    def _leave_input(self) -> None:
        """Leaves the input to the reading task, and wakes it."""
        self._input_left = True
        self._input_wait.cancel()

    def _start_writing(self) -> None:
        """Starts the writing task on the first blocked write; most connections never need one."""
        if not self._writer_started:
            self._writer_started = True
            self._nursery.start_soon(self._write)

    async def _write(self) -> None:
        """Continues blocked writes until the connection ends or the client stalls for `WRITE_TIMEOUT`."""
        with self._writing:
            while True:
                await self._write_wanted.wait()
                # Without a limit, a client that reads nothing would keep its responses in memory forever.
                with trio.move_on_after(WRITE_TIMEOUT) as write_timeout:
                    await trio.lowlevel.wait_writable(self._sock)
                if write_timeout.cancelled_caught:
                    self._client_stalled = True
                    break
                self._write_wanted = trio.Event()
                self.on_writable()
        self._reading.cancel()
