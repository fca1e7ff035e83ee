"""The statistics line of the log counts rejected requests by reason."""

from __future__ import annotations

from conftest import make_incoming_request
from router_harness import SETTINGS

from edge_router.config.settings_reader import settings_from_json
from edge_router.proxy.messages import FinalResponse, ResponseStatus
from edge_router.proxy.request_router import RequestRouter
from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import set_sink
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.runtime.timers import Timers
from edge_router.transport.upstream_channel import ChannelOwner, UpstreamChannel


def test_statistics_line_counts_rejections_by_reason() -> None:
    lines: list[tuple[str, dict[str, object]]] = []
    clock, responses = Clock(lambda: 1000.0, lambda: 1000.0), list[FinalResponse]()
    budget = MemoryBudget()
    budget.limit = 1e9
    router = RequestRouter(
        settings_from_json(SETTINGS), 7, clock, Timers(clock, lambda: 0.0), budget, 0.0, fail_on_connect
    )
    router.on_request(make_incoming_request(responses.append))
    assert not router.run_decisions()
    set_sink(lambda event, fields: lines.append((event, fields)))
    try:
        router.accounting.log_statistics(**router.statistics())
    finally:
        set_sink(None)
    assert [response.status for response in responses] == [ResponseStatus.REJECTED]
    assert [(event, fields["rejected_no_cache"]) for event, fields in lines] == [("stats", 1)]


def fail_on_connect(owner: ChannelOwner, address: tuple[str, int], timeout: float) -> UpstreamChannel:
    """Fails the test: no connection may be opened."""
    raise AssertionError("no connection may be opened")
