"""Stage 4, send: takes an attempt to its cache, with the last look before its first byte."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from functools import partial

from edge_router.decision import rules
from edge_router.decision.messages import EndpointId, FillMode, Outcome, StartAttempt
from edge_router.decision.settings import Settings
from edge_router.discovery.endpoint_table import EndpointTable
from edge_router.protocol import resp
from edge_router.proxy.accounting import RequestAccounting
from edge_router.proxy.request_table import Attempt
from edge_router.proxy.response_handler import CacheResponse, ResponseHandler
from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import log_rate_limited
from edge_router.runtime.timers import Timers
from edge_router.transport.upstream_channel import ChannelOwner, UpstreamChannel

IDLE_PART = 0.6  # a connection idle for this part of the allowed time is closed before the cache does it
SILENT = 3.0  # connect time-outs without a byte, though some are owed, after which a connection gets no more
MOST_LINKS = 16  # connections to one node; what breaks or is spoilt takes along all that is on its connection
SWEEP = 200.0
STUCK = 400.0  # ms without a byte in the middle of an answer, after which its connection is of no use
MODES = (
    (FillMode.COALESCE, "wait-for"),
    (FillMode.CACHED_ONLY, "no-fetch"),
    (FillMode.NO_PARENT_CACHING, "no-keep"),
    (FillMode.BACKGROUND_REFRESH, "background"),
)

# Opens a connection for its owner, to that address, within so many seconds.
Connect = Callable[[ChannelOwner, tuple[str, int], float], UpstreamChannel]


def encode_fetch(attempt: Attempt, now: float) -> bytes:
    """The words of a fetch."""
    order, asked = attempt.instruction, attempt.request.incoming
    fields = [
        ("cls", asked.class_name),
        ("item", asked.object_id),
        ("chunk", asked.segment_text),
        ("limit", str(max(1, int(order.deadline - now)))),
    ]
    if asked.idempotency_key:
        fields.append(("nonce", asked.idempotency_key))
    if order.source_id != order.endpoint_id:
        fields.append(("from", f"s-{order.source_id:08x}"))
    if order.cache_rank:
        fields.append(("rank", str(order.cache_rank)))
    if order.max_age > 0:
        fields.append(("oldest", str(max(1, int(order.max_age)))))
    if mode := "+".join(word for bit, word in MODES if order.fill_mode & bit):
        fields.append(("mode", mode))
    if asked.client_etag:
        fields.append(("seen", asked.client_etag))
    return resp.encode(b"fetch", asked.request_id.encode(), resp.words(fields), asked.body)


class UpstreamConnection:
    """A connection to a node and the attempts that are on it."""

    def __init__(
        self, node: EndpointId, send: AttemptDispatcher, address: tuple[str, int], now: float
    ) -> None:
        self.endpoint_id = node
        self.address = address
        self.opened_at = now
        self.attempts: dict[str, Attempt] = {}
        self.abandoned_ids: deque[str] = deque(maxlen=256)
        self.answered_ids: deque[str] = deque(maxlen=256)
        self.suspect = False  # an attempt was given up on it after a long silence
        self.last_received_at = now
        self.last_used_at = now
        self._dispatcher = send
        self.channel: UpstreamChannel

    def on_message(self, connection: UpstreamChannel, array: list[bytes]) -> None:
        """An answer came in."""
        self._dispatcher.on_response(self, array)

    def on_channel_closed(self, connection: UpstreamChannel, why: str) -> None:
        """The connection is over."""
        self._dispatcher.on_connection_lost(self, why)

    def accepts(self, txn: str, now: float, streams: int, silence: float) -> bool:
        """Whether another attempt may go on this connection.

        Guards against two answers under one id, and against a connection to a machine that has vanished. An
        id goes on a connection once: a late or second answer to its first attempt would be taken for the word
        on the next, which may run although that word was `full`.
        """
        if (
            self.channel.closed
            or self.suspect
            or txn in self.attempts
            or txn in self.abandoned_ids
            or (txn in self.answered_ids)
        ):
            return False
        if not self.attempts:
            return True
        if len(self.attempts) >= streams:
            return False
        oldest = min((a.sent_at or a.created_at for a in self.attempts.values()), default=now)
        return now - max(oldest, self.last_received_at) < silence


class FetchCommand:
    """An attempt in a connection's queue."""

    def __init__(self, send: AttemptDispatcher, attempt: Attempt) -> None:
        self._send = send
        self._attempt = attempt

    def encode(self) -> bytes | None:
        """The last look; None if the attempt can't go any more."""
        return self._send.begin(self._attempt)

    def on_not_written(self) -> None:
        """Not a byte went out."""
        self._attempt.sent_at = 0.0


class AbortCommand:
    """Gives an attempt up that was written."""

    def __init__(self, txn: str) -> None:
        self._txn = txn

    def encode(self) -> bytes | None:
        """The words."""
        return resp.encode(b"abort", self._txn.encode())

    def on_not_written(self) -> None:
        """Then the connection is over, and with it the attempt."""


class AttemptDispatcher:
    """All connections to caches."""

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        nodes: EndpointTable,
        settings: Settings,
        book: RequestAccounting,
        relay: ResponseHandler,
        connect: Connect,
    ) -> None:
        self._clock, self._timers, self._endpoints, self._settings = clock, timers, nodes, settings
        self._accounting, self._response_handler, self._connect = book, relay, connect
        self.max_connections = 0
        self._connections: dict[EndpointId, list[UpstreamConnection]] = {}
        self._connection_of: dict[Attempt, UpstreamConnection] = {}
        self._timers.call_at(clock.now() + SWEEP, self._sweep)

    def connection_count(self) -> int:
        """How many connections there are."""
        return sum(map(len, self._connections.values()))

    def dispatch(self, attempt: Attempt) -> None:
        """Sends an attempt on its way."""
        attempt.timeout_timer = self._timers.call_at(
            attempt.instruction.deadline, partial(self.on_attempt_timeout, attempt)
        )
        self._place(attempt)

    def _place(self, attempt: Attempt) -> None:
        """Puts an attempt on a connection."""
        order = attempt.instruction
        if not self.check_sendable(attempt):
            return
        link = self._pick_connection(
            order.endpoint_id, attempt.request.incoming.request_id, self._clock.now()
        )
        if link is None:  # our own lack, which says nothing of the cache
            log_rate_limited(
                "no-upstream-connection",
                request=attempt.request.incoming.request_id,
                endpoint=f"s-{order.endpoint_id:08x}",
                upstream_connections=self.connection_count(),
            )
            self._accounting.attempt_ended(attempt, Outcome.NOT_SENT)
            return
        link.attempts[attempt.request.incoming.request_id] = attempt
        self._connection_of[attempt] = link
        link.channel.send(FetchCommand(self, attempt))

    def _pick_connection(self, node: EndpointId, txn: str, now: float) -> UpstreamConnection | None:
        """A free connection, else a new one, else the one with the least on it.

        Guards against one answer that is spoilt taking many others along.
        """
        silence = SILENT * max(self._settings.connect_timeout, 100.0)
        address, links = self._endpoints.address(node), self._connections.get(node, [])
        for link in links:
            if not link.attempts and link.address == address and link.accepts(txn, now, 1, silence):
                link.last_used_at = now
                return link
        fair = max(2, self.max_connections // max(1, len(self._connections)))
        if len(links) < min(MOST_LINKS, fair) and (
            self.connection_count() < self.max_connections or self._make_room()
        ):
            self._accounting.counts["upstream_connections_opened"] += 1
            link = UpstreamConnection(node, self, address, now)
            link.channel = self._connect(link, address, max(self._settings.connect_timeout, 1.0) / 1000.0)
            self._connections.setdefault(node, []).append(link)
            return link
        for link in sorted(links, key=lambda link: len(link.attempts)):
            if link.address == address and link.accepts(
                txn, now, self._settings.max_streams_per_connection, silence
            ):
                link.last_used_at = now
                return link
        return None

    def _make_room(self) -> bool:
        """Closes the connection that has been idle for longest; says whether there was one."""
        idle = [
            link
            for links in self._connections.values()
            for link in links
            if not link.attempts and not link.channel.closed
        ]
        if idle:
            min(idle, key=lambda link: link.last_used_at).channel.close()
        return bool(idle)

    def check_sendable(self, attempt: Attempt) -> bool:
        """Whether the attempt may still go; if not, it ends as never sent.

        Guards against drains, ends and purges that were told after the order, a window that has passed, and
        work for a client that has left or has its answer, also where the settings allow no cancelling.
        """
        if attempt.ended:
            return False
        order: StartAttempt = attempt.instruction
        denied = rules.send_denial(
            self._clock.now(),
            answered=attempt.request.answered,
            purged=attempt.purged,
            deadline=order.deadline,
            start_before=order.start_before,
            endpoint_ready=self._endpoints.is_ready(order.endpoint_id),
            source_ready=order.source_id == order.endpoint_id or self._endpoints.is_ready(order.source_id),
        )
        if denied is not None:
            self._accounting.counts[f"not_sent_{denied.value}"] += 1
            log_rate_limited(
                "attempt-not-sent",
                request=attempt.request.incoming.request_id,
                reason=denied.value,
                endpoint=f"s-{attempt.instruction.endpoint_id:08x}",
                attempt=attempt.index,
            )
            self._finish(attempt, Outcome.NOT_SENT)
        return denied is None

    def begin(self, attempt: Attempt) -> bytes | None:
        """The bytes of an attempt whose first byte is about to be written; None if it can't go.

        Guards against work for a client whose leaving has come, but was not read so far.
        """
        attempt.request.incoming.poll_client()
        if not self.check_sendable(attempt):
            return None
        now, order = self._clock.now(), attempt.instruction
        listed = self._endpoints.is_ready(order.endpoint_id) and (
            order.source_id == order.endpoint_id or self._endpoints.is_ready(order.source_id)
        )
        self._accounting.invariants.check_send(attempt, now, listed)
        attempt.sent_at = now
        return encode_fetch(attempt, now)

    def cancel(self, attempt: Attempt, outcome: Outcome = Outcome.CANCELLED) -> None:
        """Gives an attempt up; what was written is aborted by its id."""
        link = self._connection_of.get(attempt)
        if attempt.sent_at and link is not None and not link.channel.closed:
            link.abandoned_ids.append(attempt.request.incoming.request_id)
            link.channel.send(AbortCommand(attempt.request.incoming.request_id))
            silent_for = self._clock.now() - max(attempt.sent_at, link.last_received_at)
            # Guards against a connection on which nothing comes back taking the next attempt, too.
            link.suspect |= silent_for > SILENT * max(self._settings.connect_timeout, 100.0)
        self._finish(attempt, outcome)

    def on_attempt_timeout(self, attempt: Attempt) -> None:
        """The time of an attempt has run out; one that was never written surely did not run."""
        if link := self._connection_of.get(attempt):
            now = self._clock.now()
            log_rate_limited(
                "attempt-timeout",
                request=attempt.request.incoming.request_id,
                endpoint=f"s-{link.endpoint_id:08x}",
                address=":".join(map(str, link.address)),
                connected=link.channel.connected,
                connection_age_ms=now - link.opened_at,
                silent_ms=now - link.last_received_at,
                sent_ago_ms=now - attempt.sent_at if attempt.sent_at else -1.0,
                open=len(link.attempts),
            )
        self.cancel(attempt, Outcome.TIMEOUT if attempt.sent_at else Outcome.CONNECT_FAILED)

    def _finish(self, attempt: Attempt, outcome: Outcome) -> None:
        self._unlink(attempt)
        self._accounting.attempt_ended(attempt, outcome)

    def _unlink(self, attempt: Attempt) -> None:
        link = self._connection_of.pop(attempt, None)
        if link is not None:
            link.attempts.pop(attempt.request.incoming.request_id, None)

    def on_response(self, link: UpstreamConnection, array: list[bytes]) -> None:
        """An answer on a connection; one under an id that is not open there is not owed, and dropped.

        Raises RespError if it can't be read: then nothing on this connection can be trusted any more.
        """
        if len(array) != 4:
            raise resp.RespError(f"an answer of {len(array)} parts")
        txn, reply = (
            array[0].decode("latin-1"),
            CacheResponse(array[1].decode("latin-1"), resp.fields_of(array[2]), array[3]),
        )
        attempt = link.attempts.get(txn)
        if attempt is None or not attempt.sent_at:
            if txn in link.abandoned_ids:
                link.last_received_at = self._clock.now()
            return
        if why := self._response_handler.validate_response(attempt, reply):
            raise resp.RespError(why)
        link.last_received_at = link.last_used_at = self._clock.now()
        link.answered_ids.append(txn)
        self._unlink(attempt)
        self._response_handler.on_response(attempt, reply)

    def on_connection_lost(self, link: UpstreamConnection, why: str) -> None:
        """A connection is over: what was written may have run, the rest did not.

        What was not written goes by another connection, once, if this one had come up: a connection that is
        reset says little of the cache.
        """
        links = self._connections.get(link.endpoint_id, [])
        if link in links:
            links.remove(link)
        if not links:
            self._connections.pop(link.endpoint_id, None)
        if link.attempts:
            log_rate_limited(
                "upstream-connection-lost",
                endpoint=f"s-{link.endpoint_id:08x}",
                open=len(link.attempts),
                reason=why,
            )
        for attempt in list(link.attempts.values()):
            if attempt.ended:
                continue
            if link.channel.connected and not attempt.sent_at and not attempt.reassigned:
                attempt.reassigned = True
                self._unlink(attempt)
                self._place(attempt)
            else:
                unseen = Outcome.NOT_SENT if link.channel.local_shortage else Outcome.CONNECT_FAILED
                self._finish(attempt, Outcome.RESET if attempt.sent_at else unseen)

    def on_endpoint_restarted(self, node: EndpointId, moment: float) -> None:
        """The node was started anew then. Guards against waiting on connections to what ran before;

        those opened since lead to the new process, and what is out on them goes on.
        """
        for link in list(self._connections.get(node, [])):
            if link.opened_at < moment:
                link.channel.close()

    def close_removed_endpoints(self) -> None:
        """Closes the connections to nodes that are listed no more: nobody there answers what is out."""
        for node in [node for node in self._connections if not self._endpoints.contains(node)]:
            for link in list(self._connections[node]):
                link.channel.close()

    def _sweep(self) -> None:
        """Closes connections that are idle, stuck or in doubt.

        Guards against writing into one that the cache is closing, and against one that stays open in the
        middle of an answer.
        """
        now = self._clock.now()
        self._timers.call_at(now + SWEEP, self._sweep)
        for links in list(self._connections.values()):
            for link in list(links):
                idle = now - link.last_used_at > IDLE_PART * self._settings.connection_idle_timeout
                stuck = link.channel.partial_since and now - link.channel.partial_since > STUCK
                if stuck or (not link.attempts and (idle or link.suspect)):
                    link.channel.close()


def connection_limit(sockets: int) -> int:
    """Connections to caches that a limit on descriptors leaves room for."""
    return max(4, math.floor(sockets / 3))
