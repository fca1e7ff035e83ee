"""A stand-in for a web server (`PROTOCOL-robinbeam.md`, "Clients to edge routers")."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from dataclasses import dataclass

from stand_ins.wire import END, STDOUT, unix_ms, whole_request


@dataclass
class Result:
    """What a client saw of one request. Times are Unix milliseconds."""

    txn: str
    sent: float  # when its last byte was written
    ttl: float
    ended: float = 0.0
    status: int = 0  # of the CGI response; 0: none came
    protocol_status: int = -1  # of END_REQUEST; -1: none came
    body: bytes = b""
    answers: int = 0
    closed: bool = False  # the connection ended before the answer was whole

    def kind(self) -> str:
        """Returns served, refused, failed, closed or unanswered."""
        if self.answers == 0:
            return "closed" if self.closed else "unanswered"
        if self.status == 200:
            return "served"
        return "refused" if self.status in (429, 503) or self.protocol_status == 2 else "failed"

    def took(self) -> float:
        """Returns the milliseconds from the last byte to the end of the answer."""
        return self.ended - self.sent


class Connection:
    """One FastCGI connection with any number of open requests."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.opened = unix_ms()
        self.ended = False
        self._open: dict[int, tuple[Result, asyncio.Event, bytearray]] = {}
        self._task = asyncio.create_task(self._read())

    @classmethod
    async def open(cls, address: tuple[str, int]) -> Connection:
        """Connects to the router."""
        return cls(*await asyncio.open_connection(*address, limit=1 << 20))

    async def request(
        self, path: str, fields: dict[str, str], ttl: float, wait: float, body: bytes = b""
    ) -> Result:
        """Sends a request and waits for its answer, for `wait` milliseconds at most."""
        number = next(each for each in range(1, 33) if each not in self._open)
        txn = secrets.token_hex(8)
        fields = {"X-Txn": txn, "X-Ttl-Ms": f"{ttl:.0f}", **fields}
        result, done = Result(txn, unix_ms(), ttl), asyncio.Event()
        self._open[number] = (result, done, bytearray())
        if self.ended:
            result.closed = True
            return result
        with contextlib.suppress(ConnectionError):
            self.writer.write(whole_request(number, path, fields, body))
            await self.writer.drain()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(done.wait(), wait / 1000.0)
        return result

    def close(self) -> None:
        """Closes the connection."""
        self._task.cancel()
        self.writer.transport.abort()

    async def _read(self) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                header = await self.reader.readexactly(8)
                number = int.from_bytes(header[2:4], "big")
                size = int.from_bytes(header[4:6], "big")
                content = (await self.reader.readexactly(size + header[6]))[:size]
                self._on_record(header[1], number, content)
        self.ended = True
        for result, done, _ in self._open.values():
            result.closed = True
            done.set()

    def _on_record(self, kind: int, number: int, content: bytes) -> None:
        if number not in self._open:
            return
        result, done, stdout = self._open[number]
        if kind == STDOUT:
            stdout += content
        elif kind == END:
            del self._open[number]
            result.ended, result.answers = unix_ms(), result.answers + 1
            result.protocol_status = content[4]
            head, _, result.body = bytes(stdout).partition(b"\r\n\r\n")
            for line in head.split(b"\r\n"):
                if line.lower().startswith(b"status:"):
                    result.status = int(line.split()[1])
            done.set()


LOST_AFTER = 550.0  # ms after a client's time: half a second (STANDING.md) and 50 ms for sockets (PROTOCOL)
PATIENCE = 3000.0  # ms after its time for which a client still reads, to see how late an answer comes


def is_lost(result: Result) -> bool:
    """Returns whether a request got no whole answer up to half a second after its time."""
    return result.answers != 1 or result.took() > result.ttl + LOST_AFTER


def describe(result: Result) -> str:
    """Returns what a client saw, for the record."""
    took = f"{result.took():.0f} ms" if result.answers else "-"
    return (
        f"request {result.txn} ttl {result.ttl:.0f} ms: {result.kind()}, took {took}, lost {is_lost(result)}"
    )


class UsualClient:
    """A web server: keeps one connection, and opens another one if the router has closed it."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._connection: Connection | None = None

    async def request(self, path: str, fields: dict[str, str], ttl: float) -> Result:
        """Sends a request; one that crosses a close within 50 ms is sent once more, on a new connection."""
        for _ in range(2):
            if self._connection is None or self._connection.ended:
                self._connection = await Connection.open(self._address)
            result = await self._connection.request(path, fields, ttl, ttl + PATIENCE)
            if not (result.closed and unix_ms() - result.sent < 50.0):
                break
        if result.answers == 0:
            self.close()
        return result

    def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None


def object_fields(size_kb: float, row: str = "") -> dict[str, str]:
    """Returns the fields of a request for an object, a new one unless `row` names it."""
    return {
        "X-Row": row or "000" + secrets.token_hex(8)[3:],
        "X-Seg": "0",
        "X-Bucket": str(secrets.randbelow(256)),
        "X-Working-Set-Kb": f"{size_kb:.1f}",
    }
