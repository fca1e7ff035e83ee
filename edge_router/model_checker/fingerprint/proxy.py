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
from edge_router.proxy import admission, dispatch, request_table, response_handler
from edge_router.proxy.accounting import Book
from edge_router.proxy.request_router import Route
from edge_router.runtime.memory_budget import Budget
from edge_router.runtime.timers import Alarm

PROXY: Ledger = {
    Route: Fields(
        "_undecided",
        {
            "_settings": FIXED,
            "_clock": WIRING,
            "_timers": WIRING,
            "_director": WIRING,
            "peer_time": "peers and router share one clock here, so it stays as it was set",
            "purges": WIRING,
            "nodes": WIRING,
            "requests": WIRING,
            "admit": WIRING,
            "book": WIRING,
            "relay": WIRING,
            "send": WIRING,
            "_carry": FIXED,
            "_wake": WIRING,
            "_events": "empty between steps",
            "_busy": "false between steps",
            "_said": REPORTED,
        },
    ),
    admission.Admit: Fields(
        "cpu latest",
        {
            "_random": "always the middle here",
            "_longest_pause": FIXED,
            "_priority": FIXED,
            "_patience": FIXED,
            "_requests": WIRING,
            "_budget": WIRING,
            "_most": FIXED,
            "_bytes_per_kb": FIXED,
        },
    ),
    Book: Fields(
        "",
        {
            "_clock": WIRING,
            "_admit": WIRING,
            "_post": WIRING,
            "counts": REPORTED,
            "check": REPORTED,
            "_waited": REPORTED,
        },
    ),
    response_handler.Relay: Fields(
        "",
        {
            "_settings": FIXED,
            "_book": WIRING,
            "_clock": WIRING,
            "_peer_time": WIRING,
            "_purges": WIRING,
        },
    ),
    purge_history.ToldPurges: Fields("_told", {"_kept_for": FIXED, "_next_sweep": DERIVED}),
    dispatch.Send: Fields(
        "most_links _links _where",
        {
            "_clock": WIRING,
            "_timers": WIRING,
            "_nodes": WIRING,
            "_settings": FIXED,
            "_book": WIRING,
            "_relay": WIRING,
            "_connect": WIRING,
        },
    ),
    dispatch.Link: Fields(
        "node address opened_at open given_up answered doubtful heard_at used_at connection",
        {"_send": WIRING},
    ),
    request_table.OpenRequests: Fields("_open _txns", {"_next": "a request is named by its place"}),
    request_table.OpenRequest: Fields(
        "asked deadline holds answered backstop expired attempts",
        {"req": "a request is named by its place"},
    ),
    request_table.Attempt: Fields(
        "number order ordered_at written_at outdated ended moved alarm outcome",
        {"request": WIRING},
    ),
    endpoint_table.NodeTable: Fields("_members", {"_starts": "peers and router share one clock here"}),
    Budget: Fields("most _used", {}),
}


def encode_proxy(route: Route, memory: Budget, frame: Frame) -> tuple[Any, ...]:
    """The stages and the tables, in a form that can be sorted and compared."""
    return (
        getattr(route.admit.cpu, "saved", 0.0),
        frame.time(route.admit.latest),
        _members(route, frame),
        _purges(route, frame),
        tuple(sorted(_request(request, frame) for request in route.requests)),
        tuple(sorted((txn, frame.place(request.req)) for txn, request in route.requests._txns.items())),
        tuple((frame.time(came), frame.place(request.req)) for came, request in route._undecided),
        _links(route, frame),
        _attempts_on_links(route, frame),
        route.send.most_links,
        memory.most,
        memory._used,
    )


def _members(route: Route, frame: Frame) -> tuple[Any, ...]:
    return tuple(
        (key, frame.node(member.endpoint), member.host, member.port)
        for key, member in sorted(route.nodes._members.items())
    )


def _purges(route: Route, frame: Frame) -> tuple[Any, ...]:
    return tuple(
        (name, tuple((frame.time(told), frame.time(unix)) for told, unix in found))
        for name, found in sorted(route.purges._told.items())
    )


def _links(route: Route, frame: Frame) -> tuple[Any, ...]:
    return tuple(
        (key, tuple(_link(link, frame) for link in links)) for key, links in sorted(route.send._links.items())
    )


def _attempts_on_links(route: Route, frame: Frame) -> tuple[Any, ...]:
    return tuple(
        sorted(
            (frame.place(attempt.request.req), attempt.number, link.node)
            for attempt, link in route.send._where.items()
        )
    )


def _request(request: request_table.OpenRequest, frame: Frame) -> tuple[Any, ...]:
    return (
        int(request.asked.request_id, 16),
        frame.time(request.deadline),
        request.holds,
        request.answered,
        request.expired,
        _alarm(request.backstop),
        tuple(_attempt(attempt, frame) for attempt in request.attempts),
    )


def _alarm(alarm: Alarm | None) -> int:
    """Whether an alarm is set: -1 for none, else 0 or 1."""
    return -1 if alarm is None else int(alarm.call is not None)


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
        attempt.number,
        _order(attempt.order, frame),
        frame.time(attempt.ordered_at),
        frame.time(attempt.written_at),
        attempt.outdated,
        attempt.ended,
        attempt.moved,
        _alarm(attempt.alarm),
        -1 if attempt.outcome is None else int(attempt.outcome),
    )


def _link(link: dispatch.Link, frame: Frame) -> tuple[Any, ...]:
    """A connection to a cache as the send stage sees it, without its channel."""
    return (
        link.node,
        link.address,
        frame.time(link.opened_at),
        tuple(sorted((txn, attempt.number) for txn, attempt in link.open.items())),
        tuple(sorted(link.given_up)),
        tuple(sorted(link.answered)),
        link.doubtful,
        frame.time(link.heard_at),
        frame.time(link.used_at),
    )


def encode_command(command: Any, frame: Frame) -> tuple[Any, ...]:
    """A command (a fetch or an abort) that waits to be written."""
    if isinstance(command, dispatch.Fetch):
        attempt = command._attempt
        return (frame.place(attempt.request.req), attempt.number, attempt.ended)
    return (command._txn,)
