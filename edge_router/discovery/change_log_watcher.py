"""Follows the change log with trio: connects, resumes after the last event, reconnects with backoff.

Source: the operators' page `PROTOCOL-robinbeam.md`, section "The change log". By `TERMS-robinbeam.md`,
section "Bad peers", the router has to know an event at the latest 2 s after a disconnect, or 4 s after the
log falls silent.
"""

from __future__ import annotations

import random
from enum import StrEnum

import trio

from edge_router.discovery.change_log_decoder import ChangeLogDecoder
from edge_router.discovery.events import DiscoveryListener
from edge_router.protocol.buffer import BufferFullError, ReceiveBuffer
from edge_router.protocol.change_log_frames import MAX_FRAME_SIZE, ChangeLogError, decode_frames
from edge_router.runtime.event_log import log

# The idle timeout, one backoff and the first connect timeout together fit into the 4 s, and the latter two
# into the 2 s. The longer connect timeouts follow only if connecting took longer than the one before.
IDLE_TIMEOUT = 2.5  # seconds without progress until a connection is closed; heartbeats come every second
FRAMES_PER_TURN = 8  # that are processed until other tasks have their turn
MIN_PROGRESS_BYTES = 4096  # part of a frame that counts as progress, as a long list arrives slowly
MIN_BACKOFF, MAX_BACKOFF = 0.05, 0.4  # seconds before reconnecting, doubled from the one to the other
BACKOFF_JITTER = 0.5  # fraction of a backoff that is random, so that routers do not all reconnect at once
MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT = 0.8, 3.2  # seconds, doubled after each timeout
READ_SIZE = 4096  # bytes


class DisconnectReason(StrEnum):
    """Why a connection to the change log ended without a network error; the log shows the value."""

    CONNECT_TIMEOUT = "connect timeout expired"
    CLOSED = "closed by the change log"
    IDLE = "no progress before the idle timeout"
    INTERNAL_ERROR = "internal error while processing an event"


class SequenceGapError(ChangeLogError):
    """Events before this one are missing and have to be requested again."""

    def __init__(self, sequence: int) -> None:
        super().__init__(f"events before {sequence} are missing")
        self.sequence = sequence


async def _send_all(sock: trio.socket.SocketType, data: bytes) -> None:
    """Sends all of the data, in several writes if necessary."""
    while data:
        data = data[await sock.send(data) :]


class ChangeLogWatcher:
    """Follows the change log until cancelled, across any number of connections."""

    def __init__(self, host: str, port: int, last_sequence: int, seed: int) -> None:
        self._address = (host, port)
        self._random = random.Random(seed)
        self._decoder = ChangeLogDecoder(last_sequence)
        self._address_scope = trio.CancelScope()  # cancelled when the address changes

    def set_address(self, host: str, port: int) -> None:
        """Follows the log at another address from now on, resuming after the last event.

        The old connection is closed at once, as it may stay open without delivering further events.
        """
        if (host, port) != self._address:
            self._address = (host, port)
            self._address_scope.cancel()

    async def run(self, listener: DiscoveryListener) -> None:
        """Follows the log until cancelled, also across changes of its address."""
        while True:
            with trio.CancelScope() as self._address_scope:
                await self._reconnect_forever(listener)
            log(
                "change-log-address-changed",
                to=":".join(map(str, self._address)),
                last_sequence=self._decoder.last_sequence,
            )

    async def _reconnect_forever(self, listener: DiscoveryListener) -> None:
        """Reconnects after each connection, with a backoff in between.

        The backoff grows with each connection that neither delivers an event nor makes the decoder request
        all events again.
        """
        backoff, connect_timeout = MIN_BACKOFF, MIN_CONNECT_TIMEOUT
        while True:
            sequence_before = self._decoder.last_sequence
            reason = await self._follow_once(listener, connect_timeout)
            log("change-log-disconnected", last_sequence=self._decoder.last_sequence, reason=reason)
            progressed = self._decoder.last_sequence != sequence_before
            backoff = MIN_BACKOFF if progressed else min(2 * backoff, MAX_BACKOFF)
            timed_out = reason is DisconnectReason.CONNECT_TIMEOUT
            connect_timeout = (
                min(2 * connect_timeout, MAX_CONNECT_TIMEOUT) if timed_out else MIN_CONNECT_TIMEOUT
            )
            await trio.sleep(backoff * self._random.uniform(1.0 - BACKOFF_JITTER, 1.0))

    async def _follow_once(
        self, listener: DiscoveryListener, connect_timeout: float
    ) -> DisconnectReason | str:
        """Follows the log over one connection; returns why it ended or the text of the error."""
        try:
            return await self._connect_and_follow(listener, connect_timeout)
        except (OSError, BufferFullError, ChangeLogError) as error:
            return str(error) or type(error).__name__
        except Exception as error:  # an event that can't be processed must not stop the router
            log("internal-error", location="change log", error=repr(error))
            return DisconnectReason.INTERNAL_ERROR

    async def _connect_and_follow(
        self, listener: DiscoveryListener, connect_timeout: float
    ) -> DisconnectReason:
        """Connects within `connect_timeout` seconds and follows the log until the connection ends."""
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
        """Processes frames until the connection ends or makes no progress within `IDLE_TIMEOUT`.

        Raises SequenceGapError if events are missing and have to be requested again.

        A change log that hangs may leave the connection open, or send a few bytes of a frame now and then.
        So only a complete frame, or `MIN_PROGRESS_BYTES` of a long one, count as progress.
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
                for number, frame in enumerate(decode_frames(buffer), 1):
                    progress = MIN_PROGRESS_BYTES
                    if not self._decoder.process(frame, listener):
                        raise SequenceGapError(frame.sequence)
                    if number % FRAMES_PER_TURN == 0:
                        idle.deadline = trio.current_time() + IDLE_TIMEOUT
                        await trio.lowlevel.checkpoint()
                if progress >= MIN_PROGRESS_BYTES:
                    progress = 0
                    idle.deadline = trio.current_time() + IDLE_TIMEOUT
        return DisconnectReason.IDLE
