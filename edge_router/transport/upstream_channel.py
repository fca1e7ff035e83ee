"""The state machine of one connection to an upstream server (a cache), without I/O.

A channel is connecting, then connected, then closed.

A subclass does the I/O: it reports events (`on_connected`, `on_received`, `on_writable`, `on_connect_failed`,
`on_closed`) and implements `_on_write_blocked` and `_stop`. `TrioUpstreamChannel` is such a subclass.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

from edge_router.protocol.buffer import ReceiveBuffer
from edge_router.protocol.resp import MAX_READ_SIZE, RespDecoder
from edge_router.runtime.system_errors import is_local_failure
from edge_router.transport.close_reason import CloseReason

MAX_ARRAYS_PER_TURN = 64  # that are processed until other connections have their turn


class Socket(Protocol):
    """The methods of a non-blocking socket that channels and client sessions use."""

    def send(self, data: bytes | memoryview, /) -> int:
        """Writes as much as fits and returns its size.

        Raises BlockingIOError if nothing fits, another OSError on a failure.
        """

    def recv(self, count: int, flags: int, /) -> bytes:
        """Reads up to `count` bytes; returns none at the end of the stream."""


class OutgoingCommand(Protocol):
    """A queued command that decides right before it is written whether it is still to be sent."""

    def encode(self) -> bytes | None:
        """Called right before the first byte is written; returns the bytes, or None to drop the command."""

    def may_continue(self) -> bool:
        """Called before more bytes are written of a command that was partly written.

        If it is False, the channel closes, as nothing else may follow on it.
        """

    def on_not_written(self) -> None:
        """Called if no byte could be written.

        The command is queued again, and encoded once more unless the channel closes before.
        """


class ChannelOwner(Protocol):
    """Receives the events of a connection."""

    def on_message(self, connection: UpstreamChannel, array: list[bytes]) -> None:
        """Handles a RESP array; raises RespError if it is malformed, which closes the connection."""

    def wants_item(self, first_item: bytes, size: int) -> bool:
        """Whether an item of `size` bytes after the head of an array with this first item is kept.

        Called each time some of its bytes arrive. An item that is not kept is empty.
        """

    def on_channel_closed(self, connection: UpstreamChannel, reason: str) -> None:
        """Called once, when the connection has closed or could not be established."""


class UpstreamChannel:
    """One connection to a server, from connecting to closed.

    Commands are written immediately as far as the socket accepts them, the rest once it is writable.
    """

    def __init__(self, owner: ChannelOwner, clock: Callable[[], float]) -> None:
        self._owner = owner
        self._clock = clock
        self._sock: Socket
        self._queue: deque[OutgoingCommand] = deque()
        self._partial_write = b""  # the unwritten rest of the current command
        self._partial_command: OutgoingCommand | None = None  # the command that this rest belongs to
        self._flushing = False
        self._write_blocked = False  # until `on_writable`
        self._close_reason: CloseReason | str = CloseReason.CLOSED_LOCALLY
        self.buffer = ReceiveBuffer(MAX_READ_SIZE)
        self.decoder = RespDecoder()
        self.decoder.wanted = owner.wants_item
        self.local_failure = False  # this host lacked a descriptor, memory, a port or a route for it
        self.connected = False  # it was established, or reset by the peer while connecting
        self.closed = False
        self.arrays_left = False  # the buffer may hold complete arrays, which wait for the next turn
        self.partial_received_at: float | None = None  # ms, last input of an incomplete response

    # Called by the owner.

    def send(self, command: OutgoingCommand) -> None:
        """Queues a command."""
        self._queue.append(command)
        if self.connected and not self._write_blocked:
            self._flush()

    def close(self) -> None:
        """Closes the connection and writes no more of its queue; the owner gets `on_channel_closed` later."""
        self.closed = True
        self._stop()

    # Implemented by the subclass that does the I/O.

    def _on_write_blocked(self) -> None:
        """Arranges a call of `on_writable` once the full socket buffer has space again."""

    def _stop(self) -> None:
        """Stops the I/O, after which the subclass calls `on_closed`."""

    # Called by the subclass that does the I/O.

    def on_connected(self, sock: Socket) -> None:
        """Writes the queued commands on the connection that was just established."""
        self._sock = sock
        self.connected = True
        self._flush()

    def on_received(self) -> None:
        """Processes bytes in the buffer for one turn; raises RespError if they are malformed.

        If `arrays_left` is set then, it has to be called again after the other connections had their turn.
        """
        self.arrays_left = False
        for count, array in enumerate(self.decoder.decode_arrays(self.buffer), 1):
            self._owner.on_message(self, array)
            if count >= MAX_ARRAYS_PER_TURN:
                self.arrays_left = True
                break
        self.buffer.shrink()
        self.partial_received_at = self._clock() if self.decoder.is_partial() or len(self.buffer) else None

    def on_writable(self) -> None:
        """Continues writing after the socket buffer was full."""
        self._write_blocked = False
        self._flush()

    def on_connect_failed(self, error: OSError) -> None:
        """Records that connecting failed.

        A reset counts as connected: unlike a refusal, it comes from a host that had accepted the connection.
        """
        self._close_reason = str(error) or type(error).__name__
        self.connected = self.connected or isinstance(error, ConnectionResetError)

    def on_closed(self, reason: CloseReason | str | None = None) -> None:
        """Reports the end to the owner; must be the last call, made once.

        The reference to the owner is dropped, as the cycle would keep the connection's buffers in memory.
        """
        self.closed = True
        self._owner.on_channel_closed(self, reason or self._close_reason)
        del self._owner, self.decoder.wanted

    def _flush(self) -> None:
        """Writes until the socket buffer is full.

        Each command is encoded only right before it is written, and again if none of its bytes could be
        written, because it may have to be dropped after events that happened while it waited.
        """
        if self._flushing:  # encoding a command may queue the next one
            return
        self._flushing = True
        try:
            while (self._partial_write or self._queue) and not self.closed and not self._write_blocked:
                self._write_next()
        finally:
            self._flushing = False

    def _closed_by_server(self) -> bool:
        """Whether the server has closed the connection; if so, closes this side too.

        Looks at the socket itself, as the end of the stream may not have been read yet. A socket error counts
        as closed unless its cause is on this host. Unread bytes hide the end of the stream that follows them.
        """
        try:
            closed = not self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError as error:
            closed = not is_local_failure(error)
        if closed:
            self._close_reason = CloseReason.SERVER_CLOSED
            self.close()
        return closed

    def _write_next(self) -> None:
        command = None
        if self._partial_write:
            if self._partial_command is not None and not self._partial_command.may_continue():
                self._close_reason = CloseReason.COMMAND_WITHDRAWN
                self.close()
                return
        else:
            if self._closed_by_server():
                return
            command = self._queue.popleft()
            self._partial_write = command.encode() or b""
            if not self._partial_write:
                return
        sent = 0
        try:
            sent = self._sock.send(self._partial_write)
        except BlockingIOError:
            pass
        except OSError as error:
            # After a failure on this host, writing continues once the socket is writable.
            if not is_local_failure(error):
                self._close_reason = str(error)
                self.close()
        if sent or command is None:
            self._partial_write = self._partial_write[sent:]
            self._partial_command = (command or self._partial_command) if self._partial_write else None
        else:
            command.on_not_written()
            self._partial_write = b""
            self._queue.appendleft(command)
        if self._partial_write or not sent:
            self._write_blocked = True
            self._on_write_blocked()
