"""The state of the modelled peers: caches, clients, the change log, and what the observer remembers."""

from __future__ import annotations

from typing import Any

from edge_router.model_checker.fingerprint.common import DERIVED, WIRING, Fields, Frame, Ledger
from edge_router.model_checker.fingerprint.transport import encode_channel, encode_session
from edge_router.model_checker.model.change_log import ChangeLog
from edge_router.model_checker.model.clients import Clients
from edge_router.model_checker.model.endpoints import Endpoints
from edge_router.model_checker.model.harness import Harness
from edge_router.model_checker.model.state import ModelState
from edge_router.model_checker.peers import LinkSocket, ServerChannel
from edge_router.model_checker.properties import ObservedAttempt, ObservedRequest, Observer, RequestState
from edge_router.proxy.request_router import RequestRouter

EVENT_HEAD = 13  # bytes of an event of the change log before its payload

PEERS: Ledger = {
    ServerChannel: Fields(
        "process until silent sock asked aborted done numbers unsent",
        {"link": WIRING, "observer": WIRING, "last": DERIVED, "partial": DERIVED},
    ),
    LinkSocket: Fields("room end _remaining", {"_observer": WIRING, "_channel": WIRING, "_command": DERIVED}),
}


def encode_server(channel: ServerChannel, harness: Harness, frame: Frame) -> tuple[Any, ...]:
    """A connection to a modelled cache: the router's end, its socket, and what the cache knows."""
    sock, node = channel.sock, channel.link.endpoint_id
    return (
        node,
        channel.process,
        round(channel.until - harness.t, 6),
        channel.silent,
        *encode_channel(channel, frame),
        -1 if sock.room is None else sock.room,
        "" if sock.end is None else sock.end.value,
        sock._remaining,
        tuple(sorted(channel.asked)),
        tuple(sorted(channel.aborted)),
        tuple(sorted(dict.fromkeys(channel.done))),
        tuple(sorted(channel.numbers.items())),
        channel.unsent,
        any(link is channel.link for link in harness.route.dispatcher.pool._connections.get(node, ())),
    )


def encode_surroundings(state: ModelState, frame: Frame) -> tuple[Any, ...]:
    """The client connection, the endpoint list, the change log, and the limits of the run."""
    harness = state.harness
    return (
        _client(state.clients, frame),
        _members(state.endpoints, frame),
        _change_log(state.change_log, "repeat" in state.scope.kinds),
        tuple(sorted(state.endpoints.processes.items())),
        tuple((request.cls, request.progress.value) for request in state.clients.requests),
        state.faults,
        round(harness.term_at - harness.t, 6),
        harness.expired,
    )


def _client(clients: Clients, frame: Frame) -> tuple[Any, ...]:
    session = clients.session
    return (
        *encode_session(session, frame),
        session.closing,
        session.finished,
        -1 if session.sock.room is None else session.sock.room,
        session.sock.gone,
        tuple(sorted(clients.heads.items())),
    )


def _members(endpoints: Endpoints, frame: Frame) -> tuple[Any, ...]:
    return tuple(
        (node, member.name, int(member.state), frame.time(member.started))
        for node, member in sorted(endpoints.members.items())
    )


def _change_log(log: ChangeLog, may_repeat: bool) -> tuple[Any, ...]:
    """What the router has not received yet; and the last event, where it may be sent again."""
    follower = log.follower
    return (
        log.up,
        log.skips,
        len(log.frames) - follower.last_sequence,
        follower._sequence_after_gap - follower.last_sequence,
        follower._replaying_all,
        tuple(log.frames[follower.last_sequence :]),
        log.frames[-1][EVENT_HEAD:] if may_repeat else b"",
    )


def encode_observer(observer: Observer, route: RequestRouter, frame: Frame) -> tuple[Any, ...]:
    """What the observer has to remember of purges and requests."""
    purges = tuple(
        (frame.time(purge.notified_at), frame.time(purge.purged_at), purge.group, purge.key)
        for purge in observer.purges
    )
    requests = tuple(_request(txn, request, route, frame) for txn, request in observer.requests.items())
    return (purges, requests)


def _request(txn: str, request: ObservedRequest, route: RequestRouter, frame: Frame) -> tuple[Any, ...]:
    if request.state is not RequestState.OPEN and route.requests._by_request_id.get(txn) is None:
        return (txn, request.state.value, 0.0, (), ())  # nothing that follows depends on the rest
    attempts = tuple(_attempt(attempt, frame) for attempt in request.attempts)
    history = (tuple(request.ended), request.orders, tuple(sorted(request.codes.items())))
    return (txn, request.state.value, frame.time(request.due), attempts, history)


def _attempt(attempt: ObservedAttempt, frame: Frame) -> tuple[Any, ...]:
    return (
        attempt.number,
        attempt.node,
        frame.time(attempt.sent_at),
        attempt.known_purges,
        attempt.not_run,
        attempt.over,
    )
