"""A state of the router model in a canonical form, from which its fingerprint is made.

Times are relative to the present, requests are named by their place in the scope, and connections by endpoint
and order, so that runs which differ in those names alone give the same state. Each area of the core has a
module with its encoders and its part of the ledger: the fields of each class that are encoded, and those left
out, with the reason. A class with a field that the ledger does not list is refused (`check_fields`), since a
field that was forgotten would merge states that differ.
"""

from __future__ import annotations

import marshal

import xxhash

from edge_router.model_checker.fingerprint.common import Frame, Ledger, fields_of
from edge_router.model_checker.fingerprint.decision import DECISION, encode_director
from edge_router.model_checker.fingerprint.peers import (
    PEERS,
    encode_observer,
    encode_server,
    encode_surroundings,
)
from edge_router.model_checker.fingerprint.proxy import PROXY, encode_proxy
from edge_router.model_checker.fingerprint.transport import TRANSPORT, encode_timers
from edge_router.model_checker.model.state import ModelState

LEDGER: Ledger = {**DECISION, **PROXY, **TRANSPORT, **PEERS}


def check_fields(things: list[object]) -> list[str]:
    """One message for each field of these objects that the ledger does not list."""
    unknown = []
    for thing in things:
        known: set[str] = set()
        for cls in type(thing).__mro__:
            if cls in LEDGER:
                known |= LEDGER[cls].names()
        unknown += [
            f"{type(thing).__name__}.{name} is not in the ledger of the fingerprint"
            for name in sorted(fields_of(thing) - known)
        ]
    return unknown


def fingerprint(data: bytes) -> int:
    """A hash of 64 bits. Two of n states share one by chance with a probability of n * n / 2 ** 65."""
    return xxhash.xxh3_64_intdigest(data)


def encode_state(state: ModelState) -> bytes:
    """The canonical form of the whole state."""
    harness = state.harness
    frame = Frame(harness.now, harness.router.requests)
    servers = [encode_server(channel, harness, frame) for channel in harness.channels]
    encoded = (
        encode_proxy(harness.router, harness.budget, frame),
        tuple(sorted(servers, key=lambda server: server[0])),
        encode_timers(harness.timers, harness.monotonic_now, frame),
        encode_director(harness.router._policy, frame),
        encode_surroundings(state, frame),
        encode_observer(harness.observer, harness.router, frame),
    )
    return marshal.dumps(encoded, 2)


def all_parts(state: ModelState) -> list[object]:
    """The objects of the state whose classes the ledger lists, to check their fields."""
    harness, session = state.harness, state.clients.session
    router = harness.router
    policy = router._policy
    parts: list[object] = [
        router,
        router.admission,
        router.accounting,
        router.response_handler,
        router.response_handler.validator,
        router._discovery_updates,
        router.dispatcher,
        router.dispatcher.pool,
        router.requests,
        router.endpoints,
        router.purges,
        harness.budget,
        harness.timers,
        session,
        session._decoder,
        policy,
        policy.popularity,
        policy.purges,
        policy.directory,
        policy.directory.cache_budget,
        policy.loads,
        policy.loads.zone_link,
        policy.copies,
        policy.retry_budget,
        policy.candidates,
        policy.outcomes,
    ]
    for request in router.requests:
        parts += [request, *request.attempts]
    for channel in harness.channels:
        parts += [channel, channel.sock, channel.connection, channel.decoder]
    for pending in policy.pending.values():
        parts += [pending, *pending.attempts]
    parts += list(policy.directory.cache_outliers.values())
    return parts
