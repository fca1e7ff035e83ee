"""`edge-router demo`: runs the router with simulated backends and prints what happens in each phase."""

from __future__ import annotations

import random
import sys
import threading
import time
from collections import Counter

from edge_router.fault_injection.fastcgi_client import GROUP, FastCgiClient
from edge_router.fault_injection.local_router import READ_CLASS, LocalRouter
from edge_router.fault_injection.protocol import EndpointState, ProtocolError, Response
from edge_router.fault_injection.simulated_backends import WRITE_CLASS, SimulatedBackends

CACHES = 3
PHASES = 4
WORKERS = 4  # concurrent clients
WRITE_INTERVAL = 7  # every seventh request is a write
OBJECTS = 24
DRAIN_NOTICE = 0.3  # seconds; the settings allow routers 0.25 s to stop sending to a draining cache
PURGE_NOTICE = 0.5  # seconds; the settings allow routers 0.5 s to apply a purge
OUTCOMES = {200: "served", 503: "rejected"}  # by status; any other status means "failed"


def _print(text: str) -> None:
    print(f"{time.strftime('%H:%M:%S')}  {text}", flush=True)


class Demonstration:
    """Runs the phases of the demonstration; counts the answers and collects the problems."""

    def __init__(self, router: LocalRouter, backends: SimulatedBackends, requests: int) -> None:
        self._router, self._backends, self._requests = router, backends, requests
        self._random = random.Random(7)
        self._lock = threading.Lock()
        self._outcomes: Counter[str] = Counter()
        self._problems: list[str] = []

    def run(self) -> list[str]:
        """Runs all phases; returns a description of each problem."""
        _print(f"the router is ready, with {CACHES} caches, a parent and an origin")
        self._run_phase(0, "ordinary traffic")
        self._drain()
        self._purge()
        self._stop_cache()
        self._stop_router()
        self._check_totals()
        return self._problems

    def _run_phase(self, phase: int, title: str) -> None:
        """Sends the requests of one phase from several concurrent clients."""
        answers_before = self._outcomes.total()
        numbers = range(phase * self._requests // PHASES, (phase + 1) * self._requests // PHASES)
        workers = [
            threading.Thread(target=self._send, args=(numbers[start::WORKERS],)) for start in range(WORKERS)
        ]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()
        answers = self._outcomes.total() - answers_before
        _print(f"{title}: {answers} answers, total so far {dict(self._outcomes)}")

    def _send(self, numbers: range) -> None:
        """Sends these requests one after the other on one connection, until one gets no answer."""
        client = FastCgiClient(self._router.port)
        for number in numbers:
            with self._lock:
                item = self._random.randrange(1, OBJECTS)
            class_name = READ_CLASS if number % WRITE_INTERVAL else WRITE_CLASS
            try:
                response = client.request_object(class_name, f"{item:016x}", f"{number + 1:016x}")
            except (OSError, EOFError, ProtocolError) as error:
                self._problems.append(f"request {number} got no answer: {error}")
                return
            self._record(number, item, class_name, response)
        client.close()

    def _record(self, number: int, item: int, class_name: str, response: Response) -> None:
        with self._lock:
            self._outcomes[OUTCOMES.get(response.status, "failed")] += 1
            served_read = response.status == 200 and class_name == READ_CLASS
            if served_read and not response.body.startswith(f"{item:x}:".encode()):
                self._problems.append(f"request {number} got another object")

    def _drain(self) -> None:
        cache = self._backends.caches[0]
        self._backends.publish_state(cache, EndpointState.DRAINING)
        time.sleep(DRAIN_NOTICE)
        fetches_before = cache.fetches
        self._run_phase(1, f"{cache.name} is draining")
        fetches = cache.fetches - fetches_before
        _print(f"{cache.name} got {fetches} fetches after the drain took effect")
        if fetches:
            self._problems.append("a draining cache got new requests")

    def _purge(self) -> None:
        purged_at_ms = self._backends.publish_group_purge(GROUP)
        time.sleep(PURGE_NOTICE)
        self._run_phase(2, f"group {GROUP} is purged")
        stale = self._backends.count_stale_copy_responses(purged_at_ms)
        _print(f"{stale} answers since then came from copies older than the purge")
        if stale:
            self._problems.append("an answer came from a copy older than the purge")

    def _stop_cache(self) -> None:
        cache = self._backends.caches[1]
        cache.close()
        self._run_phase(3, f"{cache.name} is down")

    def _stop_router(self) -> None:
        exit_status = self._router.terminate()
        _print(f"SIGTERM: the router exited with status {exit_status}")
        if exit_status != 0:
            self._problems.append(f"the router exited with status {exit_status}")

    def _check_totals(self) -> None:
        answers, repeated = self._outcomes.total(), self._backends.count_repeated_writes()
        if answers != self._requests:
            self._problems.append(f"{answers} answers to {self._requests} requests")
        if repeated:
            self._problems.append(f"{repeated} {WRITE_CLASS}s ran more than once")
        _print(f"{self._requests} requests, {answers} final answers, {repeated} {WRITE_CLASS}s run twice")
        for problem in self._problems:
            _print(f"PROBLEM: {problem}")


def run_demo(requests: int) -> int:
    """Runs the demonstration with this many requests; returns the exit status, 0 if there was no problem."""
    backends = SimulatedBackends(CACHES)
    try:
        with LocalRouter([sys.executable, "-m", "edge_router"], backends) as router:
            problems = Demonstration(router, backends, requests).run()
    finally:
        backends.close()
    return 1 if problems else 0
