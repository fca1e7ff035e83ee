"""Case 3: the router's memory while bad clients send half requests, after requests for large objects."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
import threading
import time
import traceback
from pathlib import Path

from lib.backends import Cache, ChangeLog, Fetch
from lib.deployment import ROOT, Router
from lib.fastcgi import Client, Request
from lib.record import Record

TROUBLE = os.environ.get("TROUBLE") != "0"
MEMORY_MB = 64  # the limit in the configuration, taken as MiB
SOCKETS = 256  # the limit in the configuration
CLIENTS = 8
BAD_CLIENTS = SOCKETS // 3 - CLIENTS  # all clients together hold at most a third of the descriptor limit
BURST = 56  # requests
BURST_INTERVAL = 0.008  # seconds; under 170 requests a second
BODY = b"x" * 240_000  # the largest object
SIZE_KB = (
    3484.0  # of the same object as the simulator counts it: 240,000 / flow_bytes_per_s x client_kb_per_s
)
ANSWER_TIME = 0.6  # seconds that a cache takes for it
SMALL_ANSWER_TIME = 0.1  # seconds that a cache takes for a small object
REQUEST_INTERVAL = 0.05  # seconds between two requests after the burst
BAD_TIME = 6.0  # seconds for which the bad clients go on
REST_TIME = 3.0  # seconds from the burst to the bad clients
LAST_ANSWERS = 2.0  # seconds


class Platform:
    """Kills the router when it is over its memory limit, as the deployment page says."""

    def __init__(self, router: Router, notes: Record) -> None:
        self._router, self._notes = router, notes
        self.highest_mb = 0.0
        self.killed = False
        self.stopped = False
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        status = Path(f"/proc/{self._router.process.pid}/status")
        noted = 0.0
        while not self.stopped and not self.killed:
            try:
                match = re.search(r"VmRSS:\s+(\d+) kB", status.read_text())
            except OSError:
                return
            resident_mb = int(match[1]) / 1024.0 if match else 0.0
            self.highest_mb = max(self.highest_mb, resident_mb)
            if self.highest_mb >= noted + 1.0:
                noted = self.highest_mb
                self._notes.note(f"router has {resident_mb:.1f} MiB resident, of {MEMORY_MB}")
            if resident_mb > MEMORY_MB:
                self._notes.note("the platform kills the router: over memory_mb")
                self._router.signal(signal.SIGKILL)
                self.killed = True
            time.sleep(0.01)


def serve(fetch: Fetch) -> None:
    """Answers like a cache that holds the object."""
    large = fetch.fields["cls"] == "full-media"
    time.sleep(ANSWER_TIME if large else SMALL_ANSWER_TIME)
    born = int(time.time() * 1000)
    fetch.answer("200", {"ver": "aa11", "born": born, "tell": "hit"}, BODY if large else b"thumb")


def send_requests(router: Router, notes: Record, platform: Platform) -> list[Request]:
    """Sends the usual requests, and starts the bad clients."""
    clients = [Client(router.address, f"client {number}", notes) for number in range(CLIENTS)]
    requests: list[Request] = []
    for number in range(BURST):
        requests.append(Request("full-media", f"{number:016x}", 6000, size_kb=SIZE_KB))
        clients[number % CLIENTS].send(requests[-1])
        time.sleep(BURST_INTERVAL)
    start = time.monotonic()
    bad_clients: subprocess.Popen[str] | None = None
    try:
        while (elapsed := time.monotonic() - start) < REST_TIME + BAD_TIME and not platform.killed:
            if TROUBLE and bad_clients is None and elapsed >= REST_TIME:
                notes.note(f"{BAD_CLIENTS} bad clients connect")
                arguments = [str(router.address[1]), str(BAD_CLIENTS), str(BAD_TIME)]
                bad_clients = subprocess.Popen(
                    [sys.executable, "-m", "lib.half_clients", *arguments],
                    cwd=ROOT / "review",
                    stdout=subprocess.PIPE,
                    text=True,
                )
            requests.append(Request("thumbs", f"{len(requests):016x}", 3000))
            clients[len(requests) % CLIENTS].send(requests[-1])
            time.sleep(REQUEST_INTERVAL)
        time.sleep(LAST_ANSWERS)
    finally:
        if bad_clients is not None:
            bad_clients.kill()
            bad_clients.wait()
    return requests


def run(notes: Record) -> int:
    """Runs the case; returns the exit status."""
    caches = [Cache(0x11 + place, serve, notes) for place in range(4)]
    parent, origin = Cache(0x21, serve, notes), Cache(0x31, serve, notes)
    log = ChangeLog(1, notes)
    router = Router(caches, parent, origin, log.listener.port, notes, memory_mb=MEMORY_MB)
    try:
        if not router.wait_until_ready():
            notes.note("the router did not become ready")
            return 2
        platform = Platform(router, notes)
        requests = send_requests(router, notes, platform)
        platform.stopped = True
        ended = router.process.poll() is not None
    finally:
        router.close()
    taken = [request for request in requests if request.sent_at]
    unanswered = sum(not request.answers for request in taken)
    summary = (
        f"{len(taken)} usual requests, {unanswered} without an answer, router "
        f"{'killed for memory' if platform.killed else 'ended' if ended else 'alive'}, "
        f"at most {platform.highest_mb:.1f} MiB of {MEMORY_MB}"
    )
    notes.note(summary)
    print(summary)
    return 1 if platform.killed or ended else 0


if __name__ == "__main__":
    try:
        status = run(Record(Path(__file__).with_name("record.txt")))
    except Exception:  # a fault of the case itself, which judges nothing
        traceback.print_exc()
        status = 2
    sys.exit(status)
