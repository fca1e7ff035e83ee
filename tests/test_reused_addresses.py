"""A new process at the address of one that has gone is not taken for the old one."""

from __future__ import annotations

import time
from typing import Any

import pytest
from conftest import PolicyHarness, make_endpoints, started_attempts
from fake_change_log import ENDPOINT_CHANGES, REMOVED, UP, encode_endpoint
from request_router_harness import Client, RequestRouterHarness, WritableSocket
from router_harness import RouterHarness
from socket_requests import request_objects

from edge_router.decision.messages import Endpoint, EndpointState, Outcome
from edge_router.decision.outlier_detection import EJECTION_SCORE
from edge_router.discovery.endpoint_table import EndpointTable
from edge_router.discovery.events import EndpointsChanged, ListedEndpoint

OLD, NEW, OTHER = 1, 2, 3  # endpoint ids


def listed(endpoint_id: int, port: int, started_at: float, state: EndpointState) -> ListedEndpoint:
    return ListedEndpoint(Endpoint(endpoint_id, 0, started_at, state, 0, 1, 1.0), "127.0.0.1", port)


READY, DRAINING = EndpointState.READY, EndpointState.DRAINING
OLD_READY, NEW_READY = listed(OLD, 7, 0.0, READY), listed(NEW, 7, 500.0, READY)


# Guards against requests for a cache that has gone, which its successor at the same address gets.
@pytest.mark.parametrize(
    "events",
    [
        [(True, [OLD_READY]), (False, [NEW_READY])],
        [(True, [OLD_READY, NEW_READY])],
        [(True, [NEW_READY, OLD_READY])],
        [(True, [OLD_READY]), (False, [NEW_READY]), (False, [listed(OLD, 7, 0.0, DRAINING)])],
        [(True, [listed(OLD, 7, 400.0, READY)]), (False, [NEW_READY]), (False, [NEW_READY])],
    ],
)
def test_endpoint_is_superseded_by_one_that_started_later_at_its_address(
    events: list[tuple[bool, list[ListedEndpoint]]],
) -> None:
    table = EndpointTable()
    for complete, endpoints in events:
        table.apply(EndpointsChanged(complete, tuple(endpoints)))
        table.remove_superseded(endpoints)
    assert not table.contains(OLD)
    assert table.is_ready(NEW)


@pytest.mark.parametrize(
    "other",
    [
        listed(OTHER, 8, 500.0, READY),
        listed(OTHER, 7, 0.0, READY),
        listed(OTHER, 7, 500.0, EndpointState.GONE),
    ],
    ids=["other address", "same start", "removed"],
)
def test_endpoint_is_not_superseded_without_a_successor(other: ListedEndpoint) -> None:
    table = EndpointTable()
    table.apply(EndpointsChanged(True, (OLD_READY,)))
    table.apply(EndpointsChanged(False, (other,)))
    assert table.remove_superseded([other]) == []
    assert table.is_ready(OLD)


# Guards against requests for a cache that has gone, which its successor at the same address gets.
def test_no_request_is_sent_for_a_cache_whose_address_has_a_new_process(router: RouterHarness) -> None:
    client, (old, other) = router.connect(), router.caches
    assert {fetch.cache for fetch in request_objects(router, client)} == {old, other}
    accepted = list(old.listener.accepted)
    started = int(time.time() * 1000) - 100_000  # warm by now
    new = encode_endpoint(
        0x99, old.listener.port, zone=1, machine_type=0, weight=9_000_000, started_at=started
    )
    router.change_log.send_event(2, ENDPOINT_CHANGES, new)
    router.wait_until(lambda: router.log_lines("endpoint-superseded"), "the change")
    assert f"id=s-{old.endpoint_id:08x}" in router.log_lines("endpoint-superseded")[0]
    # What reaches that address now comes on connections for the new endpoint.
    fetches = [fetch for fetch in request_objects(router, client) if fetch.cache is old]
    assert fetches
    assert not any(fetch.sock in accepted for fetch in fetches)


class RestartHarness(RequestRouterHarness):
    """A request router whose endpoints have addresses of their own, and may start again."""

    def update(self, endpoint_id: int, *, state: EndpointState = READY, **changes: Any) -> None:
        """Lists an endpoint in another form."""
        known = self.router.endpoints.get(endpoint_id)
        assert known is not None
        port = changes.pop("port", endpoint_id)
        endpoint = known._replace(state=state, **changes)
        self.router.on_discovery_event(
            EndpointsChanged(False, (ListedEndpoint(endpoint, "127.0.0.1", port),))
        )


# Guards against an attempt for a warm cache that reaches its cold successor, uncharged.
@pytest.mark.parametrize("change", ["restart", "restart of the source", "move"])
def test_waiting_attempt_is_not_sent_to_a_process_that_was_not_selected(change: str) -> None:
    harness, sock = RestartHarness(), WritableSocket()
    for endpoint_id in (0x10, 0x11, 0x30):
        harness.update(endpoint_id)
    client = Client()
    harness.request(client)
    attempt = harness.router.requests.unsent_attempts()[0]
    cache_id, source_id = attempt.instruction.endpoint_id, attempt.instruction.source_id
    started = harness.clock.now()
    if change == "restart":
        harness.update(cache_id, started_at=started)
    elif change == "restart of the source":
        harness.update(source_id, started_at=started)
    else:
        harness.update(cache_id, port=0x99)
    harness.channels[0].on_connected(sock)
    assert sock.written == b""
    # Either it has ended, and the policy decides anew, or it waits for a connection to the new address.
    assert attempt.ended is (change != "move")
    waiting = harness.router.requests.unsent_attempts()
    assert [each.ended for each in waiting] == [False]


# Guards against connections to a removed process that are kept, as the same event lists the endpoint again.
def test_connections_are_closed_if_one_event_removes_an_endpoint_and_lists_it_again(
    router: RouterHarness,
) -> None:
    client, (old, _) = router.connect(), router.caches
    request_objects(router, client)
    before = len(old.listener.accepted)
    both = router.endpoint_record(old, REMOVED) + router.endpoint_record(old, UP)
    router.change_log.send_event(2, ENDPOINT_CHANGES, both)
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 6, "the change")
    request_objects(router, client)
    assert len(old.listener.accepted) > before


# Guards against the ejection of a new process for failures of the one that it has replaced.
def test_failures_of_an_earlier_process_do_not_count_against_its_successor() -> None:
    policy = PolicyHarness(endpoints=[replace_weight(each) for each in make_endpoints()])
    attempts = [started_attempts(policy.request(key=key))[0] for key in range(40)]
    cache_id = attempts[0].endpoint_id
    policy.now += 50.0
    policy.update_endpoint(cache_id, started_at=policy.now - 20.0)
    for attempt in attempts:
        if attempt.endpoint_id == cache_id:
            policy.end_attempt(attempt, Outcome.ERROR)
    detector = policy.routing_policy.directory.cache_outliers[cache_id]
    assert detector.failure_score < EJECTION_SCORE
    assert detector.is_available(policy.now)


def replace_weight(endpoint: Endpoint) -> Endpoint:
    """Returns the endpoint with a weight that no test exhausts."""
    return endpoint._replace(weight=100.0)
