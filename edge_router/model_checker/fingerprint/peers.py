"""Encodes the modelled peers: caches, clients, the change log, and what the observer has recorded."""

from __future__ import annotations

from typing import Any

from edge_router.model_checker.fingerprint.common import DERIVED, REFERENCE, Fields, Ledger, ReferenceFrame
from edge_router.model_checker.fingerprint.transport import encode_channel, encode_session
from edge_router.model_checker.model.change_log import ChangeLog
from edge_router.model_checker.model.clients import Clients
from edge_router.model_checker.model.endpoints import Endpoints
from edge_router.model_checker.model.harness import Harness
from edge_router.model_checker.model.state import ModelState
from edge_router.model_checker.observations import ObservedAttempt, ObservedRequest, RequestState
from edge_router.model_checker.peers import CacheChannel, UpstreamSocket
from edge_router.model_checker.properties import Observer
from edge_router.proxy.request_router import RequestRouter

EVENT_HEAD_SIZE = 13  # bytes of a change log event before its payload

PEERS: Ledger = {
    CacheChannel: Fields(
        "listening_endpoint_id connect_deadline never_connects sock pending_ids aborted_ids answered_ids "
        "attempt_numbers unsent",
        {
            "connection": REFERENCE,
            "observer": REFERENCE,
            "last_responses": "only sent a second time, and the router drops second responses by their id",
            "partial": DERIVED,
        },
    ),
    UpstreamSocket: Fields(
        "writable_bytes end _remaining", {"_observer": REFERENCE, "_channel": REFERENCE, "_command": DERIVED}
    ),
}


def encode_cache_channel(channel: CacheChannel, harness: Harness, frame: ReferenceFrame) -> tuple[Any, ...]:
    """Encodes a connection to a cache: the router's end, its socket, and what the cache has received."""
    sock, endpoint_id = channel.sock, channel.connection.endpoint_id
    return (
        endpoint_id,
        channel.listening_endpoint_id,
        round(channel.connect_deadline - harness.monotonic_now, 6),
        channel.never_connects,
        *encode_channel(channel, frame),
        -1 if sock.writable_bytes is None else sock.writable_bytes,
        "" if sock.end is None else sock.end.value,
        sock._remaining,
        tuple(sorted(channel.pending_ids)),
        tuple(sorted(channel.aborted_ids)),
        tuple(sorted(dict.fromkeys(channel.answered_ids))),
        tuple(sorted(channel.attempt_numbers.items())),
        channel.unsent,
        any(
            connection is channel.connection
            for connection in harness.router.dispatcher.pool._connections.get(endpoint_id, ())
        ),
    )


def encode_environment(state: ModelState, frame: ReferenceFrame) -> tuple[Any, ...]:
    """Encodes the client connection, the endpoint list, the change log, and the limits of the run."""
    harness = state.harness
    return (
        _client(state.clients, frame),
        _listed_endpoints(state.endpoints, frame),
        _change_log(state.change_log, "repeat" in state.scope.kinds),
        tuple(sorted(state.endpoints.listeners.items())),
        tuple((request.class_name, request.progress.value) for request in state.clients.requests),
        state.faults,
        round(harness.shutdown_deadline - harness.monotonic_now, 6),
        harness.expired,
    )


def _client(clients: Clients, frame: ReferenceFrame) -> tuple[Any, ...]:
    session = clients.session
    return (
        *encode_session(session, frame),
        session.closing,
        session.finished,
        -1 if session.sock.writable_bytes is None else session.sock.writable_bytes,
        session.sock.disconnected,
        tuple(sorted(clients.partial_responses.items())),
    )


def _listed_endpoints(endpoints: Endpoints, frame: ReferenceFrame) -> tuple[Any, ...]:
    return tuple(
        (endpoint_id, listed.name, int(listed.state), frame.time(listed.started))
        for endpoint_id, listed in sorted(endpoints.listed.items())
    )


def _change_log(log: ChangeLog, may_repeat: bool) -> tuple[Any, ...]:
    """Encodes the events that the router has not received yet, and the last event if it may be sent again."""
    decoder = log.decoder
    return (
        log.connected,
        log.skips_sequence,
        len(log.frames) - decoder.last_sequence,
        decoder._sequence_after_gap - decoder.last_sequence,
        decoder._replaying_all,
        tuple(log.frames[decoder.last_sequence :]),
        log.frames[-1][EVENT_HEAD_SIZE:] if may_repeat else b"",
    )


def encode_observer(observer: Observer, router: RequestRouter, frame: ReferenceFrame) -> tuple[Any, ...]:
    """Encodes the observer's records of purges and requests, as far as later checks depend on them."""
    purges = tuple(
        (frame.time(purge.notified_at), frame.time(purge.purged_at), purge.group, purge.object_key)
        for purge in observer.purges
    )
    requests = tuple(
        _request(request_id, request, router, frame) for request_id, request in observer.requests.items()
    )
    return (purges, requests)


def _request(
    request_id: str, request: ObservedRequest, router: RequestRouter, frame: ReferenceFrame
) -> tuple[Any, ...]:
    if request.state is not RequestState.OPEN and router.requests._by_request_id.get(request_id) is None:
        return (request_id, request.state.value, 0.0, (), ())  # no later check depends on the rest
    attempts = tuple(_attempt(attempt, frame) for attempt in request.attempts)
    history = (
        tuple(request.ended_attempts),
        request.started_attempts,
        tuple(sorted(request.status_codes.items())),
    )
    return (request_id, request.state.value, frame.time(request.deadline), attempts, history)


def _attempt(attempt: ObservedAttempt, frame: ReferenceFrame) -> tuple[Any, ...]:
    return (
        attempt.number,
        attempt.endpoint_id,
        frame.time(attempt.sent_at),
        attempt.known_purges,
        attempt.not_run,
        attempt.ended,
    )
