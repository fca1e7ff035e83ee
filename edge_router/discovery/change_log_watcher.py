"""Follows the change log over trio: connects, resumes after the last event, reconnects with backoff."""

from __future__ import annotations

import random
from enum import StrEnum

import trio

from edge_router.discovery.change_log_decoder import ChangeLogDecoder
from edge_router.discovery.events import DiscoveryListener
from edge_router.protocol.buffer import BufferFullError, ReceiveBuffer
from edge_router.protocol.change_log_frames import MAX_FRAME_SIZE, ChangeLogError, decode_frames
from edge_router.runtime.event_log import log

# An event counts as received 2 s after a break and 4 s after the log stops: all waits must fit into that.
IDLE_TIMEOUT = 2.5  # seconds without progress that end a connection; heartbeats come each second
MIN_PROGRESS = 4096  # bytes of one frame that count as progress, since a long list may take long to arrive
MIN_BACKOFF, MAX_BACKOFF = 0.05, 0.4  # seconds before the next connection, doubled from one to the other
BACKOFF_JITTER = 0.5  # the part of a backoff that is random, so that a whole fleet does not reconnect in step
MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT = 0.8, 3.2  # seconds, doubled each time it ran out
READ_SIZE = 4096  # bytes


class DisconnectReason(StrEnum):
    """Why a connection to the change log ended without an error; logged as it is."""

    CONNECT_TIMEOUT = "not up in time"
    CLOSED = "closed by the log"
    IDLE = "silent"
    INTERNAL_ERROR = "an event can't be worked off"


class SequenceGapError(ChangeLogError):
    """Events are missing before this one; they have to be requested again."""

    def __init__(self, sequence: int) -> None:
        super().__init__(f"a gap before {sequence}")
        self.sequence = sequence


async def _send_all(sock: trio.socket.SocketType, data: bytes) -> None:
    """Sends all of the data, however little of it each write accepts."""
    while data:
        data = data[await sock.send(data) :]


class ChangeLogWatcher:
    """Follows the change log for as long as it runs, across any number of connections."""

    def __init__(self, host: str, port: int, last_sequence: int, seed: int) -> None:
        self._address = (host, port)
        self._random = random.Random(seed)
        self._decoder = ChangeLogDecoder(last_sequence)
        self._address_scope = trio.CancelScope()  # cancelled when the address changes

    def set_address(self, host: str, port: int) -> None:
        """Follows the log at another address from now on, after the same event.

        The old connection is closed at once, as it may stay open without any further event.
        """
        if (host, port) != self._address:
            self._address = (host, port)
            self._address_scope.cancel()

    async def run(self, listener: DiscoveryListener) -> None:
        """Follows the log for good, at whichever address it is."""
        while True:
            with trio.CancelScope() as self._address_scope:
                await self._reconnect_forever(listener)
            log(
                "change-log-address-changed",
                to=":".join(map(str, self._address)),
                last_sequence=self._decoder.last_sequence,
            )

    async def _reconnect_forever(self, listener: DiscoveryListener) -> None:
        """Connects again and again, with backoff between connections that brought no event."""
        backoff, connect_timeout = MIN_BACKOFF, MIN_CONNECT_TIMEOUT
        while True:
            sequence_before = self._decoder.last_sequence
            reason = await self._connection_result(listener, connect_timeout)
            log("change-log-disconnected", last_sequence=self._decoder.last_sequence, reason=reason)
            progressed = self._decoder.last_sequence != sequence_before
            backoff = MIN_BACKOFF if progressed else min(2 * backoff, MAX_BACKOFF)
            timed_out = reason is DisconnectReason.CONNECT_TIMEOUT
            connect_timeout = (
                min(2 * connect_timeout, MAX_CONNECT_TIMEOUT) if timed_out else MIN_CONNECT_TIMEOUT
            )
            await trio.sleep(backoff * self._random.uniform(1.0 - BACKOFF_JITTER, 1.0))

    async def _connection_result(
        self, listener: DiscoveryListener, connect_timeout: float
    ) -> DisconnectReason | str:
        """Follows the log over one connection; returns why it ended, or the error's text."""
        try:
            return await self._follow(listener, connect_timeout)
        except (OSError, BufferFullError, ChangeLogError) as error:
            return str(error) or type(error).__name__
        except Exception as error:  # an event that can't be processed must not end the router
            log("internal-error", location="change log", error=repr(error))
            return DisconnectReason.INTERNAL_ERROR

    async def _follow(self, listener: DiscoveryListener, connect_timeout: float) -> DisconnectReason:
        """Follows the log over one connection until that ends. The timeout is in seconds."""
        with trio.socket.socket() as sock:
            with trio.move_on_after(connect_timeout) as connecting:
                await sock.connect(self._address)
                await _send_all(sock, self._decoder.resume_request())
            if connecting.cancelled_caught:
                return DisconnectReason.CONNECT_TIMEOUT
            log("change-log-connected", last_sequence=self._decoder.last_sequence)
            return await self._process_frames(sock, listener)

    async def _process_frames(
        self, sock: trio.socket.SocketType, listener: DiscoveryListener
    ) -> DisconnectReason:
        """Processes frames until the connection ends or makes no progress; raises SequenceGapError.

        A log that is cut off or stops in the middle of a frame may leave the connection open, with a few
        bytes now and then. So only a complete frame, or a good part of a long one, counts as progress.
        """
        buffer, progress = ReceiveBuffer(MAX_FRAME_SIZE + READ_SIZE), 0
        with trio.move_on_after(IDLE_TIMEOUT) as idle:
            while True:
                with buffer.writable_view(READ_SIZE) as view:
                    count = await sock.recv_into(view)
                if not count:
                    return DisconnectReason.CLOSED
                buffer.commit(count)
                progress += count
                for frame in decode_frames(buffer):
                    progress = MIN_PROGRESS
                    if not self._decoder.process(frame, listener):
                        raise SequenceGapError(frame.sequence)
                if progress >= MIN_PROGRESS:
                    progress = 0
                    idle.deadline = trio.current_time() + IDLE_TIMEOUT
        return DisconnectReason.IDLE
