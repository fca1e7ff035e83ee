"""The state of the modelled peers: caches, clients, the change log, and what the observer remembers."""

from __future__ import annotations

from typing import Any

from stonecove.explore.fingerprint.common import DERIVED, WIRING, Fields, Frame, Ledger
from stonecove.explore.fingerprint.state import RouterState
from stonecove.explore.fingerprint.transport import encode_channel, encode_session
from stonecove.explore.peers import LinkSocket, ServerChannel
from stonecove.explore.properties import Seen, Witness

PEERS: Ledger = {
    ServerChannel: Fields(
        "process until silent sock asked aborted done numbers halfway",
        {"link": WIRING, "world": WIRING, "last": DERIVED, "owed": DERIVED},
    ),
    LinkSocket: Fields("room dead _midway", {"_world": WIRING, "_channel": WIRING, "_command": DERIVED}),
}


def encode_server(channel: ServerChannel, state: RouterState, frame: Frame) -> tuple[Any, ...]:
    """A connection to a modelled cache: the router's end, its socket, and what the cache knows."""
    sock, node = channel.sock, channel.link.node
    return (
        node,
        channel.process,
        round(channel.until - state.t, 6),
        channel.silent,
        *encode_channel(channel, frame),
        -1 if sock.room is None else sock.room,
        sock.dead,
        sock._midway,
        tuple(sorted(channel.asked)),
        tuple(sorted(channel.aborted)),
        tuple(sorted(dict.fromkeys(channel.done))),
        tuple(sorted(channel.numbers.items())),
        channel.halfway,
        any(link is channel.link for link in state.route.send._links.get(node, ())),
    )


def encode_surroundings(state: RouterState, frame: Frame) -> tuple[Any, ...]:
    """The client connection, the endpoint list, the change log, and the limits of the run."""
    members = tuple(
        (node, name, int(node_state), frame.time(started))
        for node, (name, node_state, started) in sorted(state.members.items())
    )
    return (
        _client(state, frame),
        members,
        _change_log(state),
        tuple(sorted(state.processes.items())),
        tuple(state.requests),
        state.faults,
        round(state.term_at - state.t, 6),
        state.expired,
    )


def _client(state: RouterState, frame: Frame) -> tuple[Any, ...]:
    session = state.session
    return (
        *encode_session(session, frame),
        session.closing,
        session.finished,
        -1 if session.sock.room is None else session.sock.room,
        session.sock.gone,
        tuple(sorted(state.heads.items())),
    )


def _change_log(state: RouterState) -> tuple[Any, ...]:
    log, follower = state.log, state.follower
    return (
        state.log_up,
        state.log_skips,
        len(log) - follower.last,
        follower._jumped - follower.last,
        follower._from_start,
        tuple(log[follower.last :]),
        log[-1][13:] if "repeat" in state.scope.kinds else b"",
    )


def encode_witness(witness: Witness, state: RouterState, frame: Frame) -> tuple[Any, ...]:
    """What the observer has to remember of purges and requests."""
    purges = tuple((frame.time(told), frame.time(at), group, key) for told, at, group, key in witness.purges)
    return (purges, tuple(_seen(txn, seen, state, frame) for txn, seen in witness.seen.items()))


def _seen(txn: str, seen: Seen, state: RouterState, frame: Frame) -> tuple[Any, ...]:
    if seen.state != "open" and state.route.requests._txns.get(txn) is None:
        return (txn, seen.state, 0.0, (), ())  # nothing that follows depends on a request that is over
    sent = tuple(
        (sent.number, sent.node, frame.time(sent.at), sent.purges, sent.not_run, sent.over)
        for sent in seen.sent
    )
    history = (tuple(seen.ended), seen.orders, tuple(sorted(seen.words.items())))
    return (txn, seen.state, frame.time(seen.due), sent, history)
