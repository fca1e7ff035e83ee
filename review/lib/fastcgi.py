"""A FastCGI client: encodes requests, and matches the answers on a connection to them."""

from __future__ import annotations

import secrets
import socket
import struct
import threading
import time
from dataclasses import dataclass, field

from lib.record import Record

BEGIN_REQUEST, ABORT_REQUEST, END_REQUEST, PARAMS, STDIN, STDOUT = range(1, 7)
ANSWER_SLACK = 0.55  # seconds after a request's time: half a second, and 50 ms for time limits on sockets


def record(kind: int, number: int, content: bytes = b"") -> bytes:
    """Encodes one record."""
    return struct.pack(">BBHHBB", 1, kind, number, len(content), 0, 0) + content


def _pair(name: str, value: str) -> bytes:
    return bytes((len(name), len(value))) + name.encode() + value.encode()


@dataclass
class Request:
    """A request of a client, and what came back."""

    class_name: str
    row: str
    ttl_ms: int
    bucket: int = 17
    etag: str = ""
    key: str = ""
    size_kb: float = 80.5
    txn: str = field(default_factory=lambda: secrets.token_hex(8))
    sent_at: float = 0.0  # monotonic seconds, once the last byte is written
    answers: list[tuple[float, str, dict[str, str], bytes]] = field(default_factory=list)
    closed_at: float | None = None  # when its connection ended before an answer

    def encode(self, number: int) -> bytes:
        """Encodes the request under a number."""
        fields = {
            "X_TXN": self.txn,
            "X_TTL_MS": str(self.ttl_ms),
            "X_ROW": self.row,
            "X_SEG": "0",
            "X_BUCKET": str(self.bucket),
            "X_WORKING_SET_KB": f"{self.size_kb:.1f}",
            "X_ETAG": self.etag,
            "X_TXN_KEY": self.key,
        }
        params = _pair("SCRIPT_NAME", f"/svc/{self.class_name}") + b"".join(
            _pair(f"HTTP_{name}", value) for name, value in fields.items() if value
        )
        return (
            record(BEGIN_REQUEST, number, struct.pack(">HB5x", 1, 1))
            + record(PARAMS, number, params)
            + record(PARAMS, number)
            + record(STDIN, number)
        )

    def due(self) -> float:
        """Returns the last moment at which an answer is in time for the rule."""
        return self.sent_at + self.ttl_ms / 1000.0 + ANSWER_SLACK

    def verdict(self, now: float) -> str:
        """Returns `open`, `answered`, or how the request was lost."""
        if len(self.answers) > 1:
            return "lost: second answer"
        if self.answers:
            return "answered" if self.answers[0][0] <= self.due() else "lost: answered too late"
        if self.closed_at is not None and self.closed_at <= self.due():
            return "lost: connection ended without an answer"
        return "lost: never answered" if now > self.due() else "open"


class Client:
    """One connection of a usual client; a thread reads the answers."""

    def __init__(self, address: tuple[str, int], name: str, notes: Record) -> None:
        self._name, self._notes = name, notes
        self._sock = socket.create_connection(address, 5.0)
        self._sock.settimeout(None)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open: dict[int, Request] = {}
        self._lock = threading.Lock()
        self.ended = False
        threading.Thread(target=self._read, daemon=True).start()

    def send(self, request: Request) -> bool:
        """Sends a request under a free number; returns whether all of it was written."""
        with self._lock:
            number = next(number for number in range(1, 33) if number not in self._open)
            self._open[number] = request
        self._notes.note(f"{self._name} sends {request.txn} {request.class_name} ttl={request.ttl_ms} ms")
        try:
            self._sock.sendall(request.encode(number))
        except OSError as error:  # not written whole, so not taken
            self._notes.note(f"{self._name} could not send {request.txn}: {error}")
            with self._lock:
                self._open.pop(number, None)
            return False
        request.sent_at = time.monotonic()
        return True

    def open_count(self) -> int:
        """Returns how many requests wait for an answer."""
        return len(self._open)

    def close(self) -> None:
        """Closes the connection."""
        self._sock.close()

    def _read(self) -> None:
        stdout: dict[int, bytes] = {}
        reason = "end of stream"
        try:
            stream = self._sock.makefile("rb")
            while len(head := stream.read(8)) == 8:
                _, kind, number, length, padding, _ = struct.unpack(">BBHHBB", head)
                content = stream.read(length + padding)[:length]
                if kind == STDOUT:
                    stdout[number] = stdout.get(number, b"") + content
                elif kind == END_REQUEST:
                    self._on_end(number, stdout.pop(number, b""), content)
        except (OSError, ValueError) as error:
            reason = str(error)
        self.ended = True
        with self._lock:
            for request in self._open.values():
                request.closed_at = time.monotonic()
                self._notes.note(f"{self._name} connection ended ({reason}), no answer to {request.txn}")

    def _on_end(self, number: int, stdout: bytes, end: bytes) -> None:
        head, _, body = stdout.partition(b"\r\n\r\n")
        headers = dict(line.split(": ", 1) for line in head.decode("latin-1").split("\r\n") if line)
        status = headers.get("Status", f"end {end[4]}")
        with self._lock:
            request = self._open.pop(number, None)
        if request is not None:
            now = time.monotonic()
            request.answers.append((now, status, headers, body))
            after = (now - request.sent_at) * 1000.0
            self._notes.note(
                f"{self._name} answer {request.txn} {status!r} {len(body)} bytes after {after:.0f} ms"
            )
