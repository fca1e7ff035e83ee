"""Clients that break the protocol: random bytes, incomplete requests, overlong bodies, silent connections."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable

import trio

from edge_router.fault_injection.protocol import RecordType, encode_begin, encode_record
from edge_router.fault_injection.traffic import RequestGenerator, encode_client_request

CONNECT_INTERVAL = 0.05  # seconds between two connections
MIN_LIFETIME = 0.1  # seconds that each connection may last, also at the end of the fault
NOISE_SIZE = 300  # bytes
BODY_RECORDS, BODY_RECORD_SIZE = 200, 60_000  # 12 MB in total

_Behaviour = Callable[[trio.SocketStream], Awaitable[None]]


class BadClients:
    """All clients of one router that break the protocol."""

    def __init__(
        self, router: str, address: tuple[str, int], generator: random.Random, nursery: trio.Nursery
    ) -> None:
        self._address, self._random, self._nursery = address, generator, nursery
        self._requests = RequestGenerator(router, generator)

    async def run(self, duration: float) -> None:
        """Opens connections for `duration` seconds; each breaks the protocol in a randomly chosen way."""
        end = time.monotonic() + duration
        behaviours: list[_Behaviour] = [
            self._send_noise,
            self._send_incomplete_request,
            self._send_endless_body,
            self._stay_silent,
        ]
        while time.monotonic() < end:
            self._nursery.start_soon(self._run_one, self._random.choice(behaviours), end)
            await trio.sleep(CONNECT_INTERVAL)

    async def _run_one(self, behaviour: _Behaviour, end: float) -> None:
        try:
            with trio.move_on_after(max(MIN_LIFETIME, end - time.monotonic())):
                async with await trio.open_tcp_stream(*self._address) as stream:
                    await behaviour(stream)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def _send_noise(self, stream: trio.SocketStream) -> None:
        await stream.send_all(self._random.randbytes(NOISE_SIZE))
        await stream.receive_some(1000)

    async def _send_incomplete_request(self, stream: trio.SocketStream) -> None:
        data = encode_client_request(1, self._requests.draw())
        await stream.send_all(data[: self._random.randrange(1, len(data))])

    async def _send_endless_body(self, stream: trio.SocketStream) -> None:
        await stream.send_all(encode_begin(1) + encode_record(RecordType.PARAMS, 1))
        for _ in range(BODY_RECORDS):
            await stream.send_all(encode_record(RecordType.STDIN, 1, b"x" * BODY_RECORD_SIZE))

    async def _stay_silent(self, stream: trio.SocketStream) -> None:
        await stream.receive_some(1)
