"""Sound caches and a sound change log, in threads of the case."""

from __future__ import annotations

import contextlib
import select
import socket
import struct
import threading
import time
from collections.abc import Callable
from typing import BinaryIO

from lib.record import Record

BACKLOG = 128  # connections that wait to be accepted


def array(*items: bytes) -> bytes:
    """Encodes a RESP array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


def read_array(stream: BinaryIO) -> list[bytes] | None:
    """Reads an array of bulk strings; None at the end of the stream."""
    line = stream.readline()
    if not line.endswith(b"\r\n"):
        return None
    items = []
    for _ in range(int(line[1:])):
        size = int(stream.readline()[1:])
        items.append(stream.read(size + 2)[:size])
    return items


class Listener:
    """Accepts connections and serves each in a thread."""

    def __init__(
        self,
        serve: Callable[[socket.socket], None],
        before_accept: Callable[[], None] = lambda: None,
    ) -> None:
        self._serve, self._before_accept = serve, before_accept
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self.port: int = self.sock.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                select.select([self.sock], [], [])
                self._before_accept()
                sock, _ = self.sock.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError), sock:
            self._serve(sock)


class Fetch:
    """A `fetch` that a cache has received whole."""

    def __init__(self, cache: Cache, sock: socket.socket, command: list[bytes]) -> None:
        self.cache, self.sock = cache, sock
        self.txn = command[1].decode()
        text = command[2].decode()
        self.fields = dict(pair.split("=", 1) for pair in text.split(",")) if text != "-" else {}

    def answer(self, status: str, fields: dict[str, object], body: bytes = b"") -> None:
        """Writes an answer."""
        text = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
        self.cache.notes.note(f"{self.cache.name} answers {self.txn} {status} {text} {len(body)} bytes")
        data = array(self.txn.encode(), status.encode(), text.encode(), body)
        with contextlib.suppress(OSError), self.cache.lock:
            self.sock.sendall(data)

    def reset(self) -> None:
        """Resets the connection without an answer."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.sock.shutdown(socket.SHUT_RD)  # ends the thread that reads


class Cache:
    """A cache: passes each fetch to a handler, in a thread of its own."""

    def __init__(
        self,
        endpoint_id: int,
        handle: Callable[[Fetch], None],
        notes: Record,
        listen: Callable[[Callable[[socket.socket], None]], Listener] = Listener,
    ) -> None:
        self.endpoint_id, self.name, self.notes = endpoint_id, f"s-{endpoint_id:08x}", notes
        self._handle = handle
        self.lock = threading.Lock()
        self.fetches = 0
        self.listener = listen(self._serve)

    def _serve(self, sock: socket.socket) -> None:
        stream = sock.makefile("rb")
        while (command := read_array(stream)) is not None:
            if command[0] == b"alive":
                sock.sendall(array(command[1], b"alive", b"-", b""))
            elif command[0] == b"abort":
                self.notes.note(f"{self.name} gets abort {command[1].decode()}")
            else:
                fetch = Fetch(self, sock, command)
                self.fetches += 1
                self.notes.note(f"{self.name} gets fetch {fetch.txn} {command[2].decode()}")
                threading.Thread(target=self._handle, args=(fetch,), daemon=True).start()


class ChangeLog:
    """The change log: tells the events after the number that a router names, and a heartbeat each second."""

    def __init__(self, first: int, notes: Record) -> None:
        self.last = first
        self._notes = notes
        self._first = first
        self._events: list[bytes] = []
        self._changed = threading.Condition()
        self.listener = Listener(self._serve)

    def add(self, kind: int, payload: bytes, text: str) -> None:
        """Adds an event and tells it."""
        with self._changed:
            self.last += 1
            self._events.append(struct.pack(">IQB", 9 + len(payload), self.last, kind) + payload)
            self._notes.note(f"change log event {self.last}: {text}")
            self._changed.notify_all()

    def _serve(self, sock: socket.socket) -> None:
        (number,) = struct.unpack(">Q", sock.recv(8, socket.MSG_WAITALL))
        self._notes.note(f"change log asked for events after {number}")
        heartbeat_at = time.monotonic()
        while True:
            with self._changed:
                if self.last <= number:
                    self._changed.wait(max(0.0, heartbeat_at - time.monotonic()))
                events, number = self._events[max(0, number - self._first) :], max(number, self.last)
            if not events:
                if time.monotonic() < heartbeat_at:
                    continue
                events = [struct.pack(">IQB", 9, number, 0)]
            heartbeat_at = time.monotonic() + 1.0
            sock.sendall(b"".join(events))


def endpoint_record(
    endpoint_id: int, port: int, state: int, zone: int, kind: int, weight: int, started_ms: int = 0
) -> bytes:
    """Encodes a record of the change log; the states are 0 ready, 1 draining, 2 gone."""
    return struct.pack(
        ">IIHBBBHIQ", endpoint_id, 0x7F000001, port, state, zone, kind, 0, weight * 1000, started_ms
    )
