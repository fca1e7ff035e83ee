"""Follows the change log over trio."""

from __future__ import annotations

import random

import trio

from edge_router.discovery.change_log import MOST_FRAME, ChangeLogDecoder, ChangeLogError, frames
from edge_router.discovery.events import DiscoveryListener
from edge_router.protocol.buffer import BufferFullError, ReceiveBuffer
from edge_router.runtime.event_log import log

# What the log tells counts as told 2 s after a break and 4 s after it stops: all waits must fit into that.
QUIET = 2.5  # a frame comes each second; after so many seconds without progress the connection is given up
LEAST_PROGRESS = 4096  # bytes of one frame that count as progress, for a long list may take long to come in
BACK_OFF = 0.05, 0.4  # seconds before the next connection, doubled from the first to the second,
NOT_UP = "not up in time"
JITTER = 0.5  # less up to this part of them: a fleet that lost its log at once does not come back in step
CONNECT_WAIT = 0.8, 3.2  # seconds for a connection to come up: the first time, doubled up to the second


async def _send_all(sock: trio.socket.SocketType, data: bytes) -> None:
    """Guards against a write that is short, after which the log would wait for the rest for good."""
    while data:
        data = data[await sock.send(data) :]


class ChangeLogWatcher:
    """Follows the change log for good: resumes after the last number, however often it breaks."""

    def __init__(self, host: str, port: int, last: int, seed: int) -> None:
        self._address = (host, port)
        self._random = random.Random(seed)
        self._decoder = ChangeLogDecoder(last)
        self._scope = trio.CancelScope()

    def set_address(self, host: str, port: int) -> None:
        """Follows the log at another address from now on, after the same last number.

        The connection to the old one is given up at once: it may stay open and tell nothing more.
        """
        if (host, port) != self._address:
            self._address = (host, port)
            self._scope.cancel()

    async def run(self, sink: DiscoveryListener) -> None:
        """Follows the log for good, wherever it is."""
        while True:
            with trio.CancelScope() as self._scope:
                await self._keep(sink)
            log(
                "change-log-address-changed",
                to=":".join(map(str, self._address)),
                last_sequence=self._decoder.last_sequence,
            )

    async def _keep(self, sink: DiscoveryListener) -> None:
        """Connects again and again, with a short back-off."""
        wait, patience = BACK_OFF[0], CONNECT_WAIT[0]
        while True:
            before = self._decoder.last_sequence
            why = "closed"
            try:
                why = await self._follow(sink, patience)
            except (OSError, BufferFullError, ChangeLogError) as error:
                why = str(error) or type(error).__name__
            except Exception as error:  # guards against one event that can't be worked off ending the process
                log("internal-error", location="change log", error=repr(error))
                why = "an event can't be worked off"
            log("change-log-disconnected", last_sequence=self._decoder.last_sequence, reason=why)
            wait = BACK_OFF[0] if self._decoder.last_sequence != before else min(2 * wait, BACK_OFF[1])
            patience = min(2 * patience, CONNECT_WAIT[1]) if why == NOT_UP else CONNECT_WAIT[0]
            await trio.sleep(wait * self._random.uniform(1.0 - JITTER, 1.0))

    async def _follow(self, sink: DiscoveryListener, patience: float) -> str:
        """Follows the log over one connection; returns why it ended. Patience is in seconds."""
        with trio.socket.socket() as sock:
            with trio.move_on_after(patience) as waiting:
                await sock.connect(self._address)
                await _send_all(sock, self._decoder.hello())
            if waiting.cancelled_caught:
                return NOT_UP
            log("change-log-connected", last_sequence=self._decoder.last_sequence)
            return await self._take_frames(sock, sink)

    async def _take_frames(self, sock: trio.socket.SocketType, sink: DiscoveryListener) -> str:
        """Takes in what comes until the connection ends or makes no progress; returns why.

        Guards against a log that was cut off or stops in the middle of a frame: the connection stays open,
        and bytes may still trickle in. A whole frame counts as progress, or a good part of a long one.
        """
        buffer, progress = ReceiveBuffer(MOST_FRAME + 4096), 0
        with trio.move_on_after(QUIET) as quiet:
            while True:
                with buffer.writable_view(4096) as view:
                    count = await sock.recv_into(view)
                if not count:
                    return "closed by the log"
                buffer.commit(count)
                progress += count
                for frame in frames(buffer):
                    progress = LEAST_PROGRESS
                    if not self._decoder.process(frame, sink):
                        return f"a gap before {frame.sequence}"
                if progress >= LEAST_PROGRESS:
                    progress = 0
                    quiet.deadline = trio.current_time() + QUIET
        return "silent"
