"""The state of the stages of a request, and of the tables of requests, nodes and purges."""

from __future__ import annotations

import math
from typing import Any

from edge_router.decision.messages import StartAttempt
from edge_router.discovery import endpoint_table, purge_history
from edge_router.model_checker.fingerprint.common import (
    DERIVED,
    FIXED,
    REPORTED,
    WIRING,
    Fields,
    Frame,
    Ledger,
    rounded,
)
from edge_router.proxy import admission, request_table, response_handler, response_validation
from edge_router.proxy.accounting import RequestAccounting
from edge_router.proxy.connection_pool import ConnectionPool
from edge_router.proxy.discovery_updates import DiscoveryUpdates
from edge_router.proxy.dispatcher import AttemptDispatcher
from edge_router.proxy.fetch_command import FetchCommand
from edge_router.proxy.request_router import RequestRouter
from edge_router.proxy.upstream_connections import UpstreamConnection
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.runtime.timers import TimerHandle

PROXY: Ledger = {
    RequestRouter: Fields(
        "_undecided",
        {
            "_settings": FIXED,
            "_clock": WIRING,
            "_timers": WIRING,
            "_policy": WIRING,
            "peer_clock": "peers and router share one clock here, so it stays as it was set",
            "purges": WIRING,
            "endpoints": WIRING,
            "requests": WIRING,
            "admission": WIRING,
            "accounting": WIRING,
            "response_handler": WIRING,
            "dispatcher": WIRING,
            "_discovery_updates": WIRING,
            "_action_handlers": FIXED,
            "_wake": WIRING,
            "_events": "empty between steps",
            "_processing": "false between steps",
            "_logged_at": REPORTED,
        },
    ),
    admission.AdmissionController: Fields(
        "cpu_credit latest_deadline",
        {
            "_random": "always the middle here",
            "_max_retry_after": FIXED,
            "_priority": FIXED,
            "_queue_time_limits": FIXED,
            "_requests": WIRING,
            "_budget": WIRING,
            "_max_requests": FIXED,
            "_bytes_per_stated_kb": FIXED,
        },
    ),
    RequestAccounting: Fields(
        "",
        {
            "_clock": WIRING,
            "_admission": WIRING,
            "_post": WIRING,
            "counts": REPORTED,
            "invariants": REPORTED,
            "_max_queue_time": REPORTED,
        },
    ),
    response_handler.ResponseHandler: Fields(
        "",
        {
            "_load_report_fields": FIXED,
            "_accounting": WIRING,
            "_clock": WIRING,
            "_peer_clock": WIRING,
            "validator": WIRING,
        },
    ),
    response_validation.ResponseValidator: Fields(
        "", {"_settings": FIXED, "_peer_clock": WIRING, "_purges": WIRING}
    ),
    purge_history.PurgeHistory: Fields("_purges", {"_retention": FIXED, "_next_sweep": DERIVED}),
    DiscoveryUpdates: Fields(
        "",
        {
            "_clock": WIRING,
            "_peer_clock": WIRING,
            "_endpoints": WIRING,
            "_purges": WIRING,
            "_requests": WIRING,
            "_dispatcher": WIRING,
            "_post": WIRING,
        },
    ),
    AttemptDispatcher: Fields(
        "_connection_of",
        {
            "_clock": WIRING,
            "_timers": WIRING,
            "_endpoints": WIRING,
            "_accounting": WIRING,
            "_response_handler": WIRING,
            "pool": WIRING,
        },
    ),
    ConnectionPool: Fields(
        "max_connections _connections",
        {
            "_clock": WIRING,
            "_timers": WIRING,
            "_endpoints": WIRING,
            "_settings": FIXED,
            "_counts": REPORTED,
            "_connect": WIRING,
        },
    ),
    UpstreamConnection: Fields(
        "endpoint_id address opened_at attempts abandoned_ids answered_ids suspect "
        "last_response_at last_used_at channel",
        {"_owner": WIRING},
    ),
    request_table.RequestTable: Fields(
        "_by_number _by_request_id", {"_last_number": "a request is named by its place"}
    ),
    request_table.ActiveRequest: Fields(
        "incoming deadline reserved_bytes answered backstop_timer ended_by_shutdown attempts",
        {"request_number": "a request is named by its place"},
    ),
    request_table.Attempt: Fields(
        "index instruction created_at sent_at purged ended reassigned timeout_timer outcome",
        {"request": WIRING},
    ),
    endpoint_table.EndpointTable: Fields("_endpoints", {"_starts": "peers and router share one clock here"}),
    MemoryBudget: Fields("limit _used", {}),
}


def encode_proxy(route: RequestRouter, memory: MemoryBudget, frame: Frame) -> tuple[Any, ...]:
    """The stages and the tables, in a form that can be sorted and compared."""
    return (
        getattr(route.admission.cpu_credit, "saved", 0.0),
        frame.time(route.admission.latest_deadline),
        _members(route, frame),
        _purges(route, frame),
        tuple(sorted(_request(request, frame) for request in route.requests)),
        tuple(
            sorted(
                (txn, frame.place(request.request_number))
                for txn, request in route.requests._by_request_id.items()
            )
        ),
        tuple((frame.time(came), frame.place(request.request_number)) for came, request in route._undecided),
        _links(route, frame),
        _attempts_on_links(route, frame),
        route.dispatcher.pool.max_connections,
        memory.limit,
        memory._used,
    )


def _members(route: RequestRouter, frame: Frame) -> tuple[Any, ...]:
    return tuple(
        (key, frame.node(member.endpoint), member.host, member.port)
        for key, member in sorted(route.endpoints._endpoints.items())
    )


def _purges(route: RequestRouter, frame: Frame) -> tuple[Any, ...]:
    return tuple(
        (name, tuple((frame.time(told), frame.time(unix)) for told, unix in found))
        for name, found in sorted(route.purges._purges.items())
    )


def _links(route: RequestRouter, frame: Frame) -> tuple[Any, ...]:
    return tuple(
        (key, tuple(_link(link, frame) for link in links))
        for key, links in sorted(route.dispatcher.pool._connections.items())
    )


def _attempts_on_links(route: RequestRouter, frame: Frame) -> tuple[Any, ...]:
    return tuple(
        sorted(
            (frame.place(attempt.request.request_number), attempt.index, link.endpoint_id)
            for attempt, link in route.dispatcher._connection_of.items()
        )
    )


def _request(request: request_table.ActiveRequest, frame: Frame) -> tuple[Any, ...]:
    return (
        int(request.incoming.request_id, 16),
        frame.time(request.deadline),
        request.reserved_bytes,
        request.answered,
        request.ended_by_shutdown,
        _alarm(request.backstop_timer),
        tuple(_attempt(attempt, frame) for attempt in request.attempts),
    )


def _alarm(alarm: TimerHandle | None) -> int:
    """Whether an alarm is set: -1 for none, else 0 or 1."""
    return -1 if alarm is None else int(alarm.callback is not None)


def _order(order: StartAttempt, frame: Frame) -> tuple[Any, ...]:
    """An order of the decision module, without the number of its request."""
    begin_by = order.start_before if order.start_before < math.inf else 0.0
    return (
        order.endpoint_id,
        frame.time(order.deadline),
        order.source_id,
        order.cache_rank,
        rounded(order.max_age),
        order.fill_mode,
        frame.time(begin_by),
    )


def _attempt(attempt: request_table.Attempt, frame: Frame) -> tuple[Any, ...]:
    return (
        attempt.index,
        _order(attempt.instruction, frame),
        frame.time(attempt.created_at),
        frame.time(attempt.sent_at or 0.0),
        attempt.purged,
        attempt.ended,
        attempt.reassigned,
        _alarm(attempt.timeout_timer),
        -1 if attempt.outcome is None else int(attempt.outcome),
    )


def _link(link: UpstreamConnection, frame: Frame) -> tuple[Any, ...]:
    """A connection to a cache as the send stage sees it, without its channel."""
    return (
        link.endpoint_id,
        link.address,
        frame.time(link.opened_at),
        tuple(sorted((txn, attempt.index) for txn, attempt in link.attempts.items())),
        tuple(sorted(link.abandoned_ids)),
        tuple(sorted(link.answered_ids)),
        link.suspect,
        frame.time(link.last_response_at),
        frame.time(link.last_used_at),
    )


def encode_command(command: Any, frame: Frame) -> tuple[Any, ...]:
    """A command (a fetch or an abort) that waits to be written."""
    if isinstance(command, FetchCommand):
        attempt = command.attempt
        return (frame.place(attempt.request.request_number), attempt.index, attempt.ended)
    return (command.request_id,)
