"""Fixtures and builders that several test modules share, and the handling of known failures."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from router_harness import SETTINGS, RouterHarness

from edge_router.decision.messages import (
    Action,
    AttemptEnded,
    Endpoint,
    EndpointListUpdate,
    EndpointState,
    Event,
    Outcome,
    RequestReceived,
    StartAttempt,
    UpdateKind,
)
from edge_router.decision.policy import RoutingPolicy
from edge_router.decision.settings import ClassSettings, DeduplicationScope, Idempotency, Settings
from edge_router.proxy.messages import FinalResponse, IncomingRequest

KNOWN_FAILURES_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3

# Endpoint ids.
CACHES = (11, 12, 13, 14)
PARENTS = (21, 22)
ORIGIN = 31


def make_class(**changes: Any) -> ClassSettings:
    """Returns a request class with default settings, except for the given changes."""
    base = ClassSettings(
        name="pictures",
        priority_weight=2.0,
        late_priority_weight=0.1,
        latency_objective=700.0,
        latency_objective_per_work=1.5,
        deadline=4000.0,
        idempotency=Idempotency.IDEMPOTENT,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window=2000.0,
        freshness_lifetime=0.0,
        stale_lifetime=0.0,
        stale_priority_weight=0.5,
        uncacheable=False,
    )
    return replace(base, **changes)


def make_settings(*classes: ClassSettings, **changes: Any) -> Settings:
    """Returns settings of a fleet of two routers, except for the given changes."""
    base = Settings(
        classes=classes or (make_class(),),
        zone=1,
        fleet_size=2,
        routers_by_zone=(0, 1, 1),
        zone_link_bandwidth=(0.0, 20000.0, 20000.0),
        client_bandwidth=1000.0,
        parent_role=1,
        origin_role=2,
        coalesces_fills=True,
        endpoints_weighted=False,
        bypass_allowed=False,
        sibling_fills="any",
        slow_start_initial_capacity=0.2,
        slow_start_duration=10000.0,
        overload_factor=2.0,
        overload_window=1000.0,
        parent_slow_start_initial_capacity=0.1,
        parent_slow_start_duration=12000.0,
        parent_overload_factor=2.0,
        purge_notice_time=500.0,
        purge_settle_time=5000.0,
        drain_grace_period=250.0,
        max_attempts=4,
        hedging_allowed=True,
        cancellation_allowed=True,
        health_checks_allowed=True,
        retry_after_allowed=True,
        max_retry_after=900.0,
        connect_timeout=300.0,
        load_report_fields=(),
        endpoint_list_polled=False,
    )
    return replace(base, **changes)


def make_endpoints() -> list[Endpoint]:
    """Returns four caches in zone 1, two parents and an origin in zone 0, all ready."""
    ready = EndpointState.READY
    endpoints = [Endpoint(endpoint_id, 0, 0.0, ready, endpoint_id % 2, 1, 1.0) for endpoint_id in CACHES]
    endpoints += [Endpoint(endpoint_id, 1, 0.0, ready, 0, 0, 1.0) for endpoint_id in PARENTS]
    return [*endpoints, Endpoint(ORIGIN, 2, 0.0, ready, 0, 0, 1.0)]


def make_incoming_request(respond: Callable[[FinalResponse], None]) -> IncomingRequest:
    return IncomingRequest(
        request_id="9b1f03aa5c7e2d41",
        class_name="image",
        object_id="7f3a9c21e0b4d655",
        segment_text="0",
        class_index=0,
        object_key=7,
        segment=0,
        purge_group=17,
        size_kb=4.5,
        timeout=3000.0,
        client_etag=None,
        body=b"",
        respond=respond,
    )


class PolicyHarness:
    """Passes events to a routing policy, with a clock that the test advances; numbers the requests."""

    def __init__(self, settings: Settings | None = None, endpoints: list[Endpoint] | None = None) -> None:
        self.routing_policy = RoutingPolicy(settings or make_settings(), 7)
        self.now = 100_000.0  # ms
        self.last_request_id = 0
        self.endpoints = make_endpoints() if endpoints is None else endpoints
        self.handle(EndpointListUpdate(UpdateKind.CACHED, tuple(self.endpoints)))

    def handle(self, event: Event, wait: float = 0.0) -> list[Action]:
        """Advances the clock by `wait` milliseconds and passes the event to the policy."""
        self.now += wait
        return self.routing_policy.handle(self.now, event)

    def request(self, key: int = 5, wait: float = 1.0, **changes: Any) -> list[Action]:
        """Sends a new request for the object `key` after `wait` milliseconds."""
        self.last_request_id += 1
        request = RequestReceived(self.last_request_id, 0, key, 4000.0, 100.0, 3, 0)
        return self.handle(request._replace(**changes), wait)

    def end_attempt(
        self,
        attempt: StartAttempt,
        outcome: Outcome = Outcome.OK,
        wait: float = 1.0,
        fill_result: int = 0,
        attempt_index: int = 0,
        closed: bool | None = None,
    ) -> list[Action]:
        """Ends an attempt after `wait` milliseconds, which is also its reported duration.

        `closed` is whether this ends the request too; None means only if the outcome is OK.
        """
        is_closed = outcome is Outcome.OK if closed is None else closed
        return self.handle(
            AttemptEnded(
                attempt.request_number,
                attempt_index,
                attempt.endpoint_id,
                outcome,
                wait,
                is_closed,
                fill_result,
                0.0,
                (),
            ),
            wait,
        )

    def update_endpoint(
        self, endpoint_id: int, kind: UpdateKind = UpdateKind.DELTA, **changes: Any
    ) -> list[Action]:
        """Sends an endpoint list update with one of the original endpoints, except for the given changes.

        Changes of earlier calls are not kept.
        """
        original = next(endpoint for endpoint in self.endpoints if endpoint.endpoint_id == endpoint_id)
        return self.handle(EndpointListUpdate(kind, (original._replace(**changes),)))


def started_attempts(actions: list[Action]) -> list[StartAttempt]:
    """Returns the actions that start an attempt."""
    return [action for action in actions if isinstance(action, StartAttempt)]


@pytest.fixture
def start_router() -> Iterator[Callable[..., RouterHarness]]:
    """Starts routers that are closed after the test; none may log an error, failed task or violation."""
    running: list[RouterHarness] = []

    def make(**options: Any) -> RouterHarness:
        running.append(RouterHarness(**options))
        return running[-1]

    yield make
    unexpected = [
        line
        for router in running
        for event in ("internal-error", "task-failed", "invariant-violation")
        for line in router.log_lines(event)
    ]
    for router in running:
        router.close()
    assert not unexpected


@pytest.fixture
def router() -> Iterator[RouterHarness]:
    """A router with the default settings; it must neither exit nor log an internal error in the test."""
    running = RouterHarness()
    yield running
    assert running.process.poll() is None, "the router exited during the test"
    assert not running.log_lines("internal-error")
    running.close()


@pytest.fixture
def keyed_router() -> Iterator[RouterHarness]:
    """A router whose class `confirm` may be repeated under an idempotency key."""
    changes = {"confirm": {"effect": "token", "group": "all", "window": 5000.0}}
    running = RouterHarness(classes=[{**cls, **changes.get(cls["name"], {})} for cls in SETTINGS["classes"]])
    yield running
    running.close()


@pytest.fixture
def policy() -> PolicyHarness:
    """A policy harness with the default settings and endpoints."""
    return PolicyHarness()


def known_failures() -> Iterator[tuple[str, str]]:
    """Yields each test that is expected to fail, with its cause, from lines of `test | cause | issue`.

    A test named without parameters stands for all its parameter sets, all of which then have to fail.
    """
    if KNOWN_FAILURES_FILE.exists():
        for line in filter(str.strip, KNOWN_FAILURES_FILE.read_text().splitlines()):
            test, cause, issue = (part.strip() for part in line.split("|"))
            yield test, f"{cause} (issue {issue})"


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the listed tests as expected failures; if a listed test passes, the run fails."""
    listed = dict(known_failures())
    if len(listed) > MAX_KNOWN_FAILURES:
        raise pytest.UsageError(f"KNOWN-RED.txt lists more than {MAX_KNOWN_FAILURES} tests")
    for item in items:
        if cause := listed.get(item.nodeid) or listed.get(item.nodeid.partition("[")[0]):
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))


def pytest_terminal_summary(terminalreporter: Any) -> None:
    """Prints the expected failures."""
    for test, cause in known_failures():
        terminalreporter.write_line(f"known red: {test}: {cause}")
