"""Case 1: usual requests while one bad client sends a request and then an endless message."""

from __future__ import annotations

import os
import random
import subprocess
import sys
import time
import traceback
from pathlib import Path

from lib.backends import Cache, ChangeLog, Fetch
from lib.deployment import ROOT, Router
from lib.endless_client import UNKNOWN_ROW
from lib.fastcgi import Client, Request
from lib.record import Record

TROUBLE = os.environ.get("TROUBLE") != "0"
CLIENTS = 8
MAX_OPEN = 32  # requests on one connection
REQUEST_INTERVAL = 0.05  # seconds between two requests of all usual clients together
QUIET_TIME = 3.0  # seconds before the bad client connects
FLOOD_TIME = 8.0  # seconds for which the bad client sends
AFTER_TIME = 2.0  # seconds of requests after it
LAST_ANSWERS = 4.0  # seconds; more than the longest time of a request and its slack
ANSWER_TIME = 0.02  # seconds that a cache takes


def serve(fetch: Fetch) -> None:
    """Answers like a cache that holds the object, with an error if the object's id is unknown."""
    time.sleep(ANSWER_TIME)
    if fetch.fields["item"] == UNKNOWN_ROW:
        fetch.answer("500", {})
        return
    born = int(time.time() * 1000)
    fetch.answer("200", {"ver": "aa11", "born": born, "tell": "hit"}, fetch.fields["item"].encode() * 100)


def send_requests(router: Router, notes: Record, seconds: float) -> list[Request]:
    """Sends the requests of the usual clients, each client in turn."""
    clients = [Client(router.address, f"client {number}", notes) for number in range(CLIENTS)]
    requests: list[Request] = []
    generator, turn, end = random.Random(1), 0, time.monotonic() + seconds
    while time.monotonic() < end:
        turn = (turn + 1) % CLIENTS
        if clients[turn].ended:  # the router closed it while it was idle
            clients[turn] = Client(router.address, f"client {turn}", notes)
        row, ttl_ms = f"{generator.randrange(1, 50):016x}", generator.choice((1500, 3000))
        request = Request("thumbs", row, ttl_ms)
        if clients[turn].open_count() < MAX_OPEN and clients[turn].send(request):
            requests.append(request)
        time.sleep(REQUEST_INTERVAL)
    return requests


def flood(router: Router, notes: Record) -> subprocess.Popen[str]:
    """Starts the bad client."""
    notes.note("the bad client connects")
    return subprocess.Popen(
        [sys.executable, "-m", "lib.endless_client", str(router.address[1]), str(FLOOD_TIME)],
        cwd=ROOT / "review",
        stdout=subprocess.PIPE,
        text=True,
    )


def run(notes: Record) -> int:
    """Runs the case; returns the exit status."""
    caches = [Cache(0x11 + place, serve, notes) for place in range(2)]
    parent, origin = Cache(0x21, serve, notes), Cache(0x31, serve, notes)
    router = Router(caches, parent, origin, ChangeLog(1, notes).listener.port, notes)
    bad_client: subprocess.Popen[str] | None = None
    try:
        if not router.wait_until_ready():
            notes.note("the router did not become ready")
            return 2
        requests = send_requests(router, notes, QUIET_TIME)
        bad_client = flood(router, notes) if TROUBLE else None
        requests += send_requests(router, notes, FLOOD_TIME + AFTER_TIME)
        time.sleep(LAST_ANSWERS)
        if bad_client is not None:
            notes.note(f"the bad client {bad_client.communicate()[0].strip()}")
    finally:
        if bad_client is not None and bad_client.poll() is None:
            bad_client.kill()
            bad_client.wait()
        ended = router.process.poll() is not None
        router.close()
    verdicts = [request.verdict(time.monotonic()) for request in requests]
    for request, verdict in zip(requests, verdicts, strict=True):
        if verdict.startswith("lost"):
            notes.note(f"{request.txn} {verdict}")
    lost = sum(verdict.startswith("lost") for verdict in verdicts)
    summary = f"{len(requests)} usual requests, {lost} lost, router {'ended' if ended else 'alive'}"
    notes.note(summary)
    print(summary)
    return 1 if lost or ended else 0


if __name__ == "__main__":
    try:
        status = run(Record(Path(__file__).with_name("record.txt")))
    except Exception:  # a fault of the case itself, which judges nothing
        traceback.print_exc()
        status = 2
    sys.exit(status)
