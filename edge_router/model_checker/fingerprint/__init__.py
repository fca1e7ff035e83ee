"""Encodes a state of the router model in a canonical form, from which its fingerprint is computed.

Times are relative to the present. Requests are named by their position in the scope, and connections by their
endpoint and order. Runs that differ only in the absolute time or in the router's own numbering lead to the
same state.

Each area of the core has a module with its encoders and its part of the ledger. The ledger lists, for each
class, the fields that are encoded, and those that are left out, with the reason. `check_fields` reports each
field that the ledger does not list, since states that differ in it would count as one.
"""

from __future__ import annotations

import marshal

import xxhash

from edge_router.model_checker.fingerprint.common import Ledger, ReferenceFrame, fields_of
from edge_router.model_checker.fingerprint.decision import DECISION, encode_policy
from edge_router.model_checker.fingerprint.peers import (
    PEERS,
    encode_cache_channel,
    encode_environment,
    encode_observer,
)
from edge_router.model_checker.fingerprint.proxy import PROXY, encode_proxy
from edge_router.model_checker.fingerprint.transport import TRANSPORT, encode_timers
from edge_router.model_checker.model.state import ModelState

LEDGER: Ledger = {**DECISION, **PROXY, **TRANSPORT, **PEERS}


def check_fields(objects: list[object]) -> list[str]:
    """Returns a message for each field of these objects that the ledger does not list."""
    unknown = []
    for each in objects:
        known: set[str] = set()
        for cls in type(each).__mro__:
            if cls in LEDGER:
                known |= LEDGER[cls].names()
        unknown += [
            f"{type(each).__name__}.{name} is not in the ledger of the fingerprint"
            for name in sorted(fields_of(each) - known)
        ]
    return unknown


def fingerprint(data: bytes) -> int:
    """Returns a hash of 64 bits. Any two of n states share one with a probability of n * n / 2 ** 65."""
    return xxhash.xxh3_64_intdigest(data)


def encode_state(state: ModelState) -> bytes:
    """Encodes the whole state in its canonical form."""
    harness = state.harness
    frame = ReferenceFrame(harness.now, harness.router.requests)
    channels = [encode_cache_channel(channel, harness, frame) for channel in harness.channels]
    encoded = (
        encode_proxy(harness.router, harness.budget, frame),
        tuple(sorted(channels, key=lambda channel: channel[0])),
        encode_timers(harness.timers, harness.monotonic_now, frame),
        encode_policy(harness.router._policy, frame),
        encode_environment(state, frame),
        encode_observer(harness.observer, harness.router, frame),
    )
    return marshal.dumps(encoded, 2)


def all_parts(state: ModelState) -> list[object]:
    """Returns the objects of the state whose classes the ledger lists, for `check_fields`."""
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
