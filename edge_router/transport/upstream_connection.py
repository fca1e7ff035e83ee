"""The I/O of an `UpstreamChannel` with trio."""

from __future__ import annotations

import socket
from collections.abc import Callable

import trio

from edge_router.protocol.buffer import BufferFullError
from edge_router.protocol.resp import RespError
from edge_router.runtime.system_errors import is_local_failure
from edge_router.transport.close_reason import CloseReason
from edge_router.transport.upstream_channel import ChannelOwner, UpstreamChannel

LOCAL_FAILURE_RETRY_DELAY = 0.01  # seconds before connecting again


class TrioUpstreamChannel(UpstreamChannel):
    """A channel on a non-blocking socket; a task completes writes that would have blocked."""

    def __init__(
        self,
        owner: ChannelOwner,
        address: tuple[str, int],
        connect_timeout: float,
        clock: Callable[[], float],
    ) -> None:
        """Prepares a connection to `address`; `connect_timeout` is in seconds."""
        super().__init__(owner, clock)
        self._address = address
        self._connect_timeout = connect_timeout
        self._sock: socket.socket
        self._write_wanted = trio.Event()
        self._scope = trio.CancelScope()

    def _stop(self) -> None:
        self._scope.cancel()

    def _on_write_blocked(self) -> None:
        self._write_wanted.set()

    async def run(self) -> None:
        """Connects, then reads and writes until either side closes it; raises no network error."""
        reason: CloseReason | str | None = None
        try:
            with self._scope:
                reason = await self._run_with_retries()
        except OSError as error:
            self.on_connect_failed(error)
        finally:
            self.on_closed(reason)

    async def _run_with_retries(self) -> CloseReason | str:
        """Connects, retrying after failures on this host, and serves the connection; returns why it ended.

        Retried here because the server is not at fault. Otherwise all attempts of a request would be used up
        within moments.
        """
        deadline = trio.current_time() + self._connect_timeout
        while True:
            try:
                self._sock = socket.socket()
                with trio.socket.from_stdlib_socket(self._sock) as sock:
                    return await self._run_once(sock, deadline)
            except OSError as error:
                self.local_failure = is_local_failure(error) and not self.connected
                if not self.local_failure or trio.current_time() + LOCAL_FAILURE_RETRY_DELAY >= deadline:
                    raise
            await trio.sleep(LOCAL_FAILURE_RETRY_DELAY)
            self.local_failure = False

    async def _run_once(self, sock: trio.socket.SocketType, deadline: float) -> CloseReason | str:
        sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        with trio.move_on_at(deadline) as connect_scope:
            await sock.connect(self._address)
        if connect_scope.cancelled_caught:
            return CloseReason.CONNECT_TIMEOUT
        self.on_connected(self._sock)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write)
            reason = await self._read()
            nursery.cancel_scope.cancel()
        return reason

    async def _read(self) -> CloseReason | str:
        buffer, decoder = self.buffer, self.decoder
        try:
            while True:
                if self.arrays_left:
                    await trio.lowlevel.checkpoint()
                    self.on_received()
                    continue
                await trio.lowlevel.wait_readable(self._sock)
                with buffer.writable_view(max(4096, decoder.missing_bytes(len(buffer)))) as view:
                    try:
                        count = self._sock.recv_into(view)
                    except BlockingIOError:
                        continue
                    except OSError as error:
                        if is_local_failure(error):
                            continue
                        raise
                if not count:
                    return CloseReason.SERVER_CLOSED
                buffer.commit(count)
                self.on_received()
        except (OSError, RespError, BufferFullError) as error:
            return str(error) or type(error).__name__

    async def _write(self) -> None:
        while True:
            await self._write_wanted.wait()
            await trio.lowlevel.wait_writable(self._sock)
            self._write_wanted = trio.Event()
            self.on_writable()
