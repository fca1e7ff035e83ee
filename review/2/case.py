"""Case 2: a keyed request whose first attempt waits for a connection while a second attempt overtakes it.

The home cache has three connections from the router and is busy on each. Meanwhile the keyed request comes
and gets a fourth connection, which comes up late. Its second attempt goes out on one of the three, which is
reset under it after the write has run.
"""

from __future__ import annotations

import copy
import os
import socket
import sys
import threading
import time
import traceback
from pathlib import Path
from typing import Any

from lib.backends import BACKLOG, Cache, ChangeLog, Fetch, Listener
from lib.deployment import SETTINGS, Router
from lib.fastcgi import Client, Request
from lib.record import Record

TROUBLE = os.environ.get("TROUBLE") != "0"
LATE = TROUBLE and os.environ.get("LATE") != "0"  # a connection to the home cache comes up late
RESET = TROUBLE and os.environ.get("RESET") != "0"  # a connection is reset under the keyed request
CONNECTIONS = 3  # to the home cache that come up at once; one more is late, and so one of four
ROW = "00000000000b0a7d"
WINDOW = 0.5  # seconds for which caches discard repeats, as in the settings
SLACK = 0.05  # seconds by which time limits are longer on sockets
CONNECT_TIMEOUT_MS = 1500.0
LATE_BY = 0.9  # seconds; the system repeats the router's SYN after 1 s, so the connection is up at about 1 s
ANSWER_TIME = 0.02  # seconds that a cache takes
BUSY_TIME = 0.15  # seconds that the home cache takes for the requests before the keyed one
DEADLINE_MS = 4000
KEYED = "note"  # begins the keys of the keyed requests


def settings() -> dict[str, Any]:
    """Returns the settings, with a class of keyed writes."""
    table = copy.deepcopy(SETTINGS)
    note = {
        "name": "guest-note",
        "importance": 2.0,
        "late_worth": 0.3,
        "on_time": 400.0,
        "aim_stretch": 2.0,
        "deadline": float(DEADLINE_MS),
        "effect": "token",
        "group": "all",
        "window": WINDOW * 1000.0,
    }
    table["classes"].append(note)
    for name, value in (("lifetime_by_class", 0.0), ("stale_for", 0.0), ("worth_when_old", 0.5)):
        table["domain"][name].append(value)
    table["domain"]["never_kept"].append(True)
    table["domain"]["in_pieces"].append(False)
    table["limits"]["connect_timeout"] = CONNECT_TIMEOUT_MS
    return table


class LateListener(Listener):
    """A listener that can let its queue of connections fill up, so that new ones come up late."""

    def __init__(self, serve: Any) -> None:
        self.accepting = threading.Event()
        self.accepting.set()
        self._fillers: list[socket.socket] = []
        super().__init__(serve, before_accept=self._wait)

    def _wait(self) -> None:
        self.accepting.wait()

    def fill(self) -> None:
        """Stops accepting and fills the queue with connections of its own."""
        self.accepting.clear()
        self.sock.listen(0)
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", self.port))
            self._fillers.append(sock)
        time.sleep(0.1)

    def release(self) -> None:
        """Accepts again; its own connections end."""
        for sock in self._fillers:
            sock.close()
        self._fillers.clear()
        self.sock.listen(BACKLOG)
        self.accepting.set()


class Writes:
    """What ran: all caches together discard repeats of a key within the window of its first arrival."""

    def __init__(self, notes: Record) -> None:
        self._notes = notes
        self._lock = threading.Lock()
        self._runs: dict[str, list[tuple[float, str]]] = {}
        self._reset: set[str] = set()  # the keys under which a connection was reset

    def handle(self, fetch: Fetch) -> None:
        """Runs a write, or answers a repeat."""
        now, key = time.monotonic(), fetch.fields["nonce"]
        with self._lock:
            runs = self._runs.setdefault(key, [])
            if not runs or now > runs[-1][0] + WINDOW + SLACK:
                runs.append((now, fetch.cache.name))
                after = f", {(now - runs[0][0]) * 1000.0:.0f} ms after the first" if runs[1:] else ""
                self._notes.note(f"{fetch.cache.name} runs {key}: run {len(runs)}{after}")
            else:
                self._notes.note(f"{fetch.cache.name} discards the repeat of {key}")
        if RESET and key.startswith(KEYED) and key not in self._reset:
            self._reset.add(key)
            self._notes.note(f"{fetch.cache.name} resets the connection under {fetch.txn}")
            fetch.reset()
            return
        taken = ANSWER_TIME if key.startswith(KEYED) else BUSY_TIME
        time.sleep(taken)
        fields = {"ver": "aa11", "born": int(time.time() * 1000), "tell": "via_origin"}
        fetch.answer("200", {**fields, "waited": round(taken * 1000.0)}, b"noted")

    def count(self) -> int:
        """Returns how many keys ran."""
        return len(self._runs)

    def run_twice(self) -> list[str]:
        """Returns the keys that ran more than once."""
        return [key for key, runs in self._runs.items() if len(runs) > 1]


def send_busy(client: Client, name: str) -> None:
    """Sends one request for each connection, all at once."""
    for number in range(CONNECTIONS):
        client.send(Request("guest-note", ROW, DEADLINE_MS, key=f"{name}-{number}"))


def play(router: Router, caches: list[Cache], notes: Record) -> None:
    """Sends the requests, the keyed one after the others."""
    client = Client(router.address, "client", notes)
    send_busy(client, "early")
    time.sleep(2.0 * BUSY_TIME)
    home = max(caches, key=lambda cache: cache.fetches)
    listener = home.listener
    assert isinstance(listener, LateListener)
    notes.note(f"the home cache is {home.name}")
    if LATE:
        notes.note(f"{home.name}: its queue of new connections is full")
        listener.fill()
    send_busy(client, "busy")
    client.send(Request("guest-note", ROW, DEADLINE_MS, key=KEYED))
    time.sleep(LATE_BY)
    if LATE:
        notes.note(f"{home.name} accepts connections again")
        listener.release()
    time.sleep(DEADLINE_MS / 1000.0 + 1.0 - LATE_BY)
    client.close()


def run(notes: Record) -> int:
    """Runs the case; returns the exit status."""
    writes = Writes(notes)
    caches = [Cache(0x11 + place, writes.handle, notes, listen=LateListener) for place in range(2)]
    parent, origin = Cache(0x21, writes.handle, notes), Cache(0x31, writes.handle, notes)
    router = Router(caches, parent, origin, ChangeLog(1, notes).listener.port, notes, settings())
    try:
        if not router.wait_until_ready():
            notes.note("the router did not become ready")
            return 2
        play(router, caches, notes)
    finally:
        router.close()
    twice = writes.run_twice()
    summary = f"{writes.count()} keyed requests, {len(twice)} ran twice: {' '.join(twice) or '-'}"
    notes.note(summary)
    print(summary)
    return 1 if twice else 0


if __name__ == "__main__":
    try:
        status = run(Record(Path(__file__).with_name("record.txt")))
    except Exception:  # a fault of the case itself, which judges nothing
        traceback.print_exc()
        status = 2
    sys.exit(status)
