"""Encodes the stages of a request, and the tables of requests, endpoints, connections and purges."""

from __future__ import annotations

import math
from typing import Any

from edge_router.decision.messages import StartAttempt
from edge_router.discovery import endpoint_table, purge_history
from edge_router.model_checker.fingerprint.common import (
    DERIVED,
    FIXED,
    REFERENCE,
    REPORTED,
    Fields,
    Ledger,
    ReferenceFrame,
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
            "_clock": REFERENCE,
            "_timers": REFERENCE,
            "_policy": REFERENCE,
            "peer_clock": "constant, as peers and router share one clock in the model",
            "purges": REFERENCE,
            "endpoints": REFERENCE,
            "requests": REFERENCE,
            "admission": REFERENCE,
            "accounting": REFERENCE,
            "response_handler": REFERENCE,
            "dispatcher": REFERENCE,
            "_discovery_updates": REFERENCE,
            "_action_handlers": FIXED,
            "_wake": REFERENCE,
            "_events": "empty between steps",
            "_processing": "false between steps",
            "_logged_at": REPORTED,
        },
    ),
    admission.AdmissionController: Fields(
        "cpu_credit latest_deadline",
        {
            "_random": "replaced by a source without state, which always returns the middle of the range",
            "_max_retry_after": FIXED,
            "_priority": FIXED,
            "_queue_time_limits": FIXED,
            "_requests": REFERENCE,
            "_budget": REFERENCE,
            "_max_requests": FIXED,
            "_bytes_per_stated_kb": FIXED,
            "_mean_body_bytes": "only used for requests without a stated size, of which the model has none",
        },
    ),
    RequestAccounting: Fields(
        "",
        {
            "_clock": REFERENCE,
            "_admission": REFERENCE,
            "_post": REFERENCE,
            "counts": REPORTED,
            "invariants": REPORTED,
            "_max_queue_time": REPORTED,
            "_classes": FIXED,
            "_run_history": "no client of the model uses an id twice",
        },
    ),
    response_handler.ResponseHandler: Fields(
        "",
        {
            "_classes": FIXED,
            "_admission": REFERENCE,
            "_load_report_fields": FIXED,
            "_accounting": REFERENCE,
            "_clock": REFERENCE,
            "_peer_clock": REFERENCE,
            "validator": REFERENCE,
        },
    ),
    response_validation.ResponseValidator: Fields(
        "", {"_settings": FIXED, "_peer_clock": REFERENCE, "_purges": REFERENCE}
    ),
    purge_history.PurgeHistory: Fields(
        "_purges",
        {
            "_retention": FIXED,
            "_next_sweep": "time of the next cleanup, which only drops purges without effect",
        },
    ),
    DiscoveryUpdates: Fields(
        "",
        {
            "_clock": REFERENCE,
            "_peer_clock": REFERENCE,
            "_endpoints": REFERENCE,
            "_purges": REFERENCE,
            "_requests": REFERENCE,
            "_dispatcher": REFERENCE,
            "_post": REFERENCE,
        },
    ),
    AttemptDispatcher: Fields(
        "_connection_of",
        {
            "_classes": FIXED,
            "_clock": REFERENCE,
            "_timers": REFERENCE,
            "_endpoints": REFERENCE,
            "_accounting": REFERENCE,
            "_response_handler": REFERENCE,
            "_admission": REFERENCE,
            "pool": REFERENCE,
        },
    ),
    ConnectionPool: Fields(
        "max_connections _connections",
        {
            "_clock": REFERENCE,
            "_timers": REFERENCE,
            "_endpoints": REFERENCE,
            "_settings": FIXED,
            "_counts": REPORTED,
            "_connect": REFERENCE,
        },
    ),
    UpstreamConnection: Fields(
        "endpoint_id address opened_at attempts abandoned_ids answered_ids suspect "
        "last_response_at last_used_at channel",
        {"_owner": REFERENCE},
    ),
    request_table.RequestTable: Fields(
        "_by_number _by_request_id", {"_last_number": "requests are named by their position in the scope"}
    ),
    request_table.ActiveRequest: Fields(
        "incoming deadline reserved_bytes answered backstop_timer ended_by_shutdown attempts",
        {"request_number": "requests are named by their position in the scope"},
    ),
    request_table.Attempt: Fields(
        "index instruction created_at sent_at purged ended reassigned body_dropped timeout_timer outcome "
        "process_starts",
        {
            "request": REFERENCE,
            "body_bytes": "every body of the model has the same size",
            "input_callback": "none, as polls of the model process all input",
        },
    ),
    endpoint_table.EndpointTable: Fields(
        "_endpoints",
        {
            "_ids_by_address": DERIVED,
            "_starts": "not needed, as peers and router share one clock in the model",
        },
    ),
    MemoryBudget: Fields("limit _used _incomplete", {}),
}


def encode_proxy(router: RequestRouter, budget: MemoryBudget, frame: ReferenceFrame) -> tuple[Any, ...]:
    """Encodes the stages and the tables as tuples that can be sorted and compared."""
    return (
        getattr(router.admission.cpu_credit, "saved", 0.0),
        frame.time(router.admission.latest_deadline),
        _endpoints(router, frame),
        _purges(router, frame),
        tuple(sorted(_request(request, frame) for request in router.requests)),
        tuple(
            sorted(
                (request_id, frame.request_position(request.request_number))
                for request_id, request in router.requests._by_request_id.items()
            )
        ),
        tuple(
            (frame.time(received_at), frame.request_position(request.request_number))
            for received_at, request in router._undecided
        ),
        _connections(router, frame),
        _connections_of_attempts(router, frame),
        router.dispatcher.pool.max_connections,
        budget.limit,
        budget._used,
        budget._incomplete,
    )


def _endpoints(router: RequestRouter, frame: ReferenceFrame) -> tuple[Any, ...]:
    return tuple(
        (key, frame.endpoint(address.endpoint), address.host, address.port)
        for key, address in sorted(router.endpoints._endpoints.items())
    )


def _purges(router: RequestRouter, frame: ReferenceFrame) -> tuple[Any, ...]:
    return tuple(
        (key, tuple((frame.time(received_at), frame.time(purged_at)) for received_at, purged_at in purges))
        for key, purges in sorted(router.purges._purges.items())
    )


def _connections(router: RequestRouter, frame: ReferenceFrame) -> tuple[Any, ...]:
    return tuple(
        (key, tuple(_connection(connection, frame) for connection in connections))
        for key, connections in sorted(router.dispatcher.pool._connections.items())
    )


def _connections_of_attempts(router: RequestRouter, frame: ReferenceFrame) -> tuple[Any, ...]:
    return tuple(
        sorted(
            (frame.request_position(attempt.request.request_number), attempt.index, connection.endpoint_id)
            for attempt, connection in router.dispatcher._connection_of.items()
        )
    )


def _request(request: request_table.ActiveRequest, frame: ReferenceFrame) -> tuple[Any, ...]:
    return (
        int(request.incoming.request_id, 16),
        frame.time(request.deadline),
        request.reserved_bytes,
        request.answered,
        request.ended_by_shutdown,
        _timer_state(request.backstop_timer),
        tuple(_attempt(attempt, frame) for attempt in request.attempts),
    )


def _timer_state(timer: TimerHandle | None) -> int:
    """Returns 1 for a timer that was not cancelled, 0 for a cancelled one, and -1 for none."""
    return -1 if timer is None else int(timer.callback is not None)


def _instruction(instruction: StartAttempt, frame: ReferenceFrame) -> tuple[Any, ...]:
    """Encodes an instruction of the decision module, without the number of its request."""
    start_before = instruction.start_before if instruction.start_before < math.inf else 0.0
    return (
        instruction.endpoint_id,
        frame.time(instruction.deadline),
        instruction.source_id,
        instruction.cache_rank,
        rounded(instruction.max_age),
        instruction.fill_mode,
        frame.time(start_before),
    )


def _attempt(attempt: request_table.Attempt, frame: ReferenceFrame) -> tuple[Any, ...]:
    return (
        attempt.index,
        _instruction(attempt.instruction, frame),
        frame.time(attempt.created_at),
        frame.time(attempt.sent_at or 0.0),
        attempt.purged,
        attempt.ended,
        attempt.reassigned,
        attempt.body_dropped,
        tuple(map(frame.time, attempt.process_starts)),
        _timer_state(attempt.timeout_timer),
        -1 if attempt.outcome is None else int(attempt.outcome),
    )


def _connection(connection: UpstreamConnection, frame: ReferenceFrame) -> tuple[Any, ...]:
    """Encodes a connection to a cache as the dispatcher sees it, without its channel."""
    return (
        connection.endpoint_id,
        connection.address,
        frame.time(connection.opened_at),
        tuple(sorted((request_id, attempt.index) for request_id, attempt in connection.attempts.items())),
        tuple(sorted(connection.abandoned_ids)),
        tuple(sorted(connection.answered_ids)),
        connection.suspect,
        frame.time(connection.last_response_at),
        frame.time(connection.last_used_at),
    )


def encode_command(command: Any, frame: ReferenceFrame) -> tuple[Any, ...]:
    """Encodes a command (a fetch or an abort) that waits to be written."""
    if isinstance(command, FetchCommand):
        attempt = command.attempt
        return (frame.request_position(attempt.request.request_number), attempt.index, attempt.ended)
    return (command.request_id,)
