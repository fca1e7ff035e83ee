"""The routing policy: which cache and source each request goes to, and what follows from its end.

The ordinary path: aged counts admit the top set of objects, their density ranks them, a weighted rendezvous
hash shared by all routers names the home cache and, over all parents, the source of a fill. The rest handles
failures, overload and purges. A policy sees only its own router's traffic.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from edge_router.decision import rules
from edge_router.decision.link_load import LinkLoad
from edge_router.decision.messages import (
    Action,
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    Endpoint,
    EndpointId,
    EndpointListUpdate,
    EndpointState,
    Event,
    Fail,
    FillMode,
    FillResult,
    LogMessage,
    Outcome,
    PurgeReceived,
    Reject,
    RejectionReason,
    RequestReceived,
    SetTimer,
    StartAttempt,
    TimerFired,
    UpdateKind,
    WatchEndpoints,
)
from edge_router.decision.outlier_detection import (
    EJECTION_SCORE,
    EJECTION_TIME,
    RESET_SCORE,
    OutlierDetector,
    OutlierDetectors,
)
from edge_router.decision.pending_request import AttemptRecord, PendingRequest
from edge_router.decision.placement import RendezvousHash, segment_key, slow_start_unit
from edge_router.decision.popularity import COUNT_HALF_LIFE, MAX_COUNTED_OBJECTS, Popularity
from edge_router.decision.purges import PURGE_RETENTION_FACTOR, RecentPurges
from edge_router.decision.retry_budget import RetryBudget
from edge_router.decision.settings import Settings
from edge_router.decision.slow_start import SlowStartBudget

OVERDUE_OBJECTIVE_SHARE = 0.6  # an attempt is overdue after this part of its latency objective
OVERDUE_EXPECTED_FACTOR = 1.5  # and not before this multiple of the time that the load lets expect
MAX_HEDGING_SLOWDOWN = 1.5  # no hedged request is sent over links slowed down by more
MIN_SILENCE = 3.0  # an overdue attempt counts against its cache after this many connect timeouts
CROWDED_SHARED, CROWDED_ALONE = 0.65, 0.8  # part of the latency objective that sending may take up
MAX_ORIGIN_SLOWDOWN = 1.25  # fetches sent to the origin for each that it answers; the rest spare it
MAX_FILL_SLOWDOWN = 3.0  # one fill is evidence of no more slowdown than this
FILL_WAIT_LEARNING_RATE = 0.1  # weight of one wait for the first byte of a fill
COPY_LIFETIME = 1.0  # a copy is thought to be in its cache for this many slow-start times
HOT_FAIR_SHARE = 0.5  # an object with more than this part of one cache's fair share goes to one cache more
MEAN_WORK_SAMPLES = 1000.0
MIN_LATENCY_OBJECTIVE = 0.001  # milliseconds
TIMER_TOLERANCE = 0.001  # milliseconds by which a timer may fire early

_UNSEEN = frozenset((Outcome.CONNECT_FAILED, Outcome.NOT_SENT))
_SOURCE_NOTES = frozenset((FillResult.SOURCE_REFUSED, FillResult.SOURCE_FAILED, FillResult.SOURCE_MISS))


@dataclass(slots=True)
class MeanWork:
    """The mean work of the requests of one class, in milliseconds of sending at full speed."""

    requests: int = 0
    mean: float = 0.0

    def record(self, work: float) -> None:
        """Adds a request; the mean follows about the last thousand."""
        self.requests += 1
        self.mean += (work - self.mean) / min(self.requests, MEAN_WORK_SAMPLES)


class RoutingPolicy:
    """Decides for one director. handle() takes one event and returns the actions it leads to."""

    def __init__(self, settings: Settings, entropy: int) -> None:
        if not settings.classes:
            raise ValueError("settings lack 'classes'")
        self._set = settings
        self._pace = settings.client_bandwidth if settings.client_bandwidth > 0 else math.inf
        self._shortest = max(MIN_LATENCY_OBJECTIVE, min(cls.latency_objective for cls in settings.classes))
        self._random = random.Random(entropy)
        zone, links, directors = settings.zone, settings.zone_link_bandwidth, settings.routers_by_zone
        self._zone_share = 1.0 / max(
            1, directors[zone] if 0 <= zone < len(directors) else settings.fleet_size
        )
        self._crowded_at = (
            CROWDED_SHARED + (CROWDED_ALONE - CROWDED_SHARED) * self._zone_share
        )  # others add work unseen
        self._link_size = (links[zone] if 0 <= zone < len(links) else 0.0) / self._pace  # transfers at once
        self._out: list[Action] = []
        self._listed: dict[EndpointId, Endpoint] = {}
        self._rings()
        self._popularity = Popularity(
            COUNT_HALF_LIFE * max(settings.slow_start_duration, settings.purge_settle_time)
        )
        self._cache_health: OutlierDetectors = defaultdict(OutlierDetector)
        self._source_health: OutlierDetectors = defaultdict(OutlierDetector)
        self._cold_caches = SlowStartBudget(
            settings.slow_start_initial_capacity,
            settings.slow_start_duration,
            settings.overload_factor,
            settings.overload_window,
        )
        self._cold_parents = SlowStartBudget(
            settings.parent_slow_start_initial_capacity,
            settings.parent_slow_start_duration,
            settings.parent_overload_factor,
            settings.overload_window,
        )
        self._purges = RecentPurges(
            settings.purge_settle_time * PURGE_RETENTION_FACTOR + settings.purge_notice_time
        )
        self._held: dict[int, PendingRequest] = {}
        self._loads: dict[EndpointId, LinkLoad] = {}
        self._wait = 0.0  # how long fills lately waited for their first byte; a failed one, its wanted time
        self._origin = LinkLoad.of_share(
            1.0, 1.0, self._shortest
        )  # fetches asked of it against those it answered
        self._link = LinkLoad.of_share(self._link_size, self._zone_share, self._shortest)
        self._copies: dict[tuple[int, int, EndpointId], float] = {}
        self._mean_work = [MeanWork() for _ in settings.classes]
        self._retry_budget = RetryBudget()
        self._pause = EJECTION_TIME * max(settings.connect_timeout, 1.0)
        self._handlers: dict[type, Callable[[float, Any], None]] = {
            EndpointListUpdate: self._on_list,
            RequestReceived: self._on_request,
            AttemptEnded: self._on_end,
            ClientDisconnected: self._on_left,
            TimerFired: self._on_due,
            PurgeReceived: self._purges.record,
        }  # streams go on by themselves, probes are not sent

    def handle(self, now: float, event: Event) -> list[Action]:
        """Takes one event; returns what is to be done, in order."""
        self._out = []
        if handler := self._handlers.get(type(event)):
            handler(now, event)
        return self._out

    def statistics(self, now: float) -> dict[str, float]:
        """For the operators: what the decisions rest on now."""
        return {
            "link_fills": float(self._link.in_flight),
            "link_capacity": self._link.capacity,
            "link_slowdown": self._link.slowdown(now),
            "fill_wait": self._wait,
            "origin_slowdown": self._origin.slowdown(now),
            "retry_budget": self._retry_budget.tokens,
        }

    # -- the list --

    def _on_list(self, now: float, event: EndpointListUpdate) -> None:
        if event.kind is UpdateKind.FAILED:
            return
        before = self._listed
        if event.kind is not UpdateKind.DELTA:
            self._listed = {}
            if event.kind is UpdateKind.CACHED and self._set.endpoint_list_polled:
                self._out.append(WatchEndpoints())
        for node in event.endpoints:
            known = before.get(node.endpoint_id)
            if known is not None and node.started_at != known.started_at:
                self._cache_health.pop(node.endpoint_id, None)
                self._source_health.pop(node.endpoint_id, None)
            if node.state is EndpointState.GONE:
                self._listed.pop(node.endpoint_id, None)
            else:
                self._listed[node.endpoint_id] = node
        self._forget()
        self._rings()

    def _forget(self) -> None:
        """Danger: tables that grow with every node that ever was."""
        tables: list[dict[EndpointId, Any]] = [
            self._cache_health,
            self._source_health,
            self._loads,
            self._cold_caches.charges,
            self._cold_parents.charges,
        ]
        for table in tables:
            for node in [node for node in table if node not in self._listed]:
                del table[node]

    def _rings(self) -> None:
        """Sorts the ready nodes by role."""
        parent, origin, weighted = self._set.parent_role, self._set.origin_role, self._set.endpoints_weighted
        ready = sorted(n for n in self._listed.values() if n.state is EndpointState.READY)
        self._origins = [n.endpoint_id for n in ready if n.role == origin]
        self._parents = RendezvousHash([n for n in ready if n.role == parent], weighted)
        self._caches = RendezvousHash(
            [n for n in ready if n.role not in (parent, origin) and n.zone == self._set.zone], weighted
        )

    # -- a request --

    def _on_request(self, now: float, event: RequestReceived) -> None:
        if not 0 <= event.class_index < len(self._set.classes):
            self._out.append(Reject(event.request_number, 0.0, RejectionReason.CLASS.value))
            return
        cls = self._set.classes[event.class_index]
        work = event.size_kb / self._pace * 1000.0
        self._mean_work[event.class_index].record(work)
        held = PendingRequest(now, event, cls, work)
        self._retry_budget.record_request()
        if not cls.uncacheable:
            self._popularity.record_request(now, event.object_key, event.size_kb, event.segment)
        self._held[event.request_number] = held
        if not self._try(now, held):
            self._give_up(held)

    def _try(self, now: float, held: PendingRequest, look: bool = False) -> bool:
        """Sends the request to the first cache and source that will do; False if there is none.

        Danger: the location's link in is crowded; then a cache is only asked, once, for what it holds.
        """
        # Danger: an origin that is asked for more than it can do, and stops.
        held.spares_origin = not held.settings.uncacheable and (
            self._random.random() * self._origin.slowdown(now) > MAX_ORIGIN_SLOWDOWN
        )
        look = not held.settings.uncacheable and (look or self._link_crowded(now, held))
        if held.missed and (look or held.spares_origin):
            held.rejection_reason = RejectionReason.LINK if look else RejectionReason.ORIGIN
            return False
        for node in self._cache_choices(now, held):
            for source in (node,) if look else self._source_choices(now, held, node):
                if self._leave(now, held, node, source):
                    return True
        return False

    def _cache_choices(self, now: float, held: PendingRequest) -> Iterator[EndpointId]:
        """The home, spread for a hot object, then the rest in hash order; doubtful caches come last."""
        key, caches = segment_key(held.request), self._caches
        order = caches.ranked(key)
        good = [
            node
            for node in order
            if node not in held.tried_endpoints
            and self._fit(now, key, node, caches, self._cache_health, self._cold_caches)
        ]
        spread = self._spread(held.request.object_key, len(order))
        if spread > 1 and len(good) > 1:
            loads = {node: self._load(node) for node in good[:spread]}
            good[:spread] = sorted(
                loads,
                key=lambda node: (
                    loads[node].in_flight_work / loads[node].capacity,
                    loads[node].in_flight_work,
                ),
            )
        # Danger: one cache's link is crowded while its neighbours idle; bounded loads walk on.
        yield from (node for node in good if not self._crowded(now, held, node))
        if not good:
            yield from sorted(order, key=lambda node: node in held.tried_endpoints)

    def _crowded(self, now: float, held: PendingRequest, node: EndpointId) -> bool:
        """Whether the answer would come too late even from a copy."""
        return held.work * self._load(node).expected_slowdown(now) > self._crowded_at * held.latency_objective

    def _link_crowded(self, now: float, held: PendingRequest) -> bool:
        """Whether the answer would come too late if it had to be filled."""
        late = (
            self._wait + held.work * self._link.expected_slowdown(now)
            > self._crowded_at * held.latency_objective
        )
        if late:
            self._wait *= (
                1 - FILL_WAIT_LEARNING_RATE
            )  # each request held off lets the next ones try a little sooner
        return late

    def _has_copy(self, now: float, held: PendingRequest, node: EndpointId) -> bool:
        """Whether the cache probably holds the object, as this director had it kept there lately."""
        request = held.request
        since = self._copies.get((request.object_key, request.segment, node), -math.inf)
        purged = self._purges.max_copy_age(now, request.object_key, request.purge_group)
        if now - since > min(COPY_LIFETIME * self._set.slow_start_duration, purged):
            return False
        return since >= self._caches.endpoints[node].started_at

    def _spread(self, key: int, caches: int) -> int:
        """Over how many caches an object of the top set goes, by its heat against a cache's fair share."""
        if self._popularity.is_warming_up() or not self._popularity.in_top_set(key):
            return 1
        return 1 + int(self._popularity.byte_share(key) * caches / HOT_FAIR_SHARE)

    @staticmethod
    def _fit(
        now: float,
        key: int,
        node: EndpointId,
        ring: RendezvousHash,
        health: OutlierDetectors,
        cold: SlowStartBudget,
    ) -> bool:
        """Whether the node is healthy and, while it warms, takes this object already."""
        if not health[node].is_available(now):
            return False
        present = cold.available_capacity(now, ring.endpoints[node].started_at)
        return present >= 1.0 or slow_start_unit(key, node) < present

    def _source_choices(self, now: float, held: PendingRequest, node: EndpointId) -> Iterator[EndpointId]:
        """The home parent and the next ones in hash order, the origin last."""
        key, parents = held.request.object_key, self._parents
        order = () if held.settings.uncacheable else parents.ranked(key)
        good = [
            parent
            for parent in order
            if parent not in held.failed_sources
            and self._fit(now, key, parent, parents, self._source_health, self._cold_parents)
        ]
        yield from sorted(good + self._origins, key=lambda source: self._crowded(now, held, source))
        yield from (parent for parent in order if parent not in good)
        yield node

    # -- the one way out --

    def _leave(self, now: float, held: PendingRequest, node: EndpointId, source: EndpointId) -> bool:
        """Every attempt leaves here, where the five rules are kept; False if they forbid this one."""
        request, settings = held.request, self._set
        cache = self._caches.endpoints.get(node)
        if cache is None or request.request_number not in self._held or now >= held.deadline:
            return False  # drains (the ring holds ready nodes only) and final answers
        parent = self._parents.endpoints.get(source)
        if (
            len(held.attempts) >= settings.max_attempts
            or not self._may_repeat(now, held, cache)
            or (parent is None and source not in self._origins and source != node)
        ):
            return False
        work = self._mean_work[request.class_index].mean
        if not self._cold_caches.allows(now, cache, work, *self._bears(cache)):
            return False
        if parent is not None and not self._cold_parents.allows(now, parent, held.work, *self._bears(parent)):
            return False
        self._cold_caches.charge(now, node, work)
        entry = self._cold_parents.charge(now, source, held.work)
        for table, name in ((self._cache_health, node), (self._source_health, source)):
            table[name].start_trial(now, self._pause)
        fills = source != node and not self._has_copy(now, held, node)
        expected = held.work * self._load(node).expected_slowdown(now) + (self._wait if fills else 0.0)
        due = now + max(OVERDUE_OBJECTIVE_SHARE * held.latency_objective, OVERDUE_EXPECTED_FACTOR * expected)
        begin_by = held.start_before()
        self._begin(
            held, AttemptRecord(node, source, now, due, fills, entry, self._load(node), self._load(source))
        )
        keep = 0 if held.settings.uncacheable else self._popularity.cache_rank(request.object_key)
        age, how = self._copy_wanted(now, held)
        self._out.append(
            StartAttempt(request.request_number, node, held.deadline, source, keep, age, how, begin_by)
        )
        if due < held.deadline:
            self._out.append(SetTimer(request.request_number, due))
        return True

    def _load(self, node: EndpointId) -> LinkLoad:
        load = self._loads.get(node)
        if load is None:
            size, share = self._bears(self._listed[node]) if node in self._listed else (1.0, 1.0)
            load = self._loads[node] = LinkLoad.of_share(size, share, self._shortest)
        return load

    def _may_repeat(self, now: float, held: PendingRequest, cache: Endpoint) -> bool:
        """Danger: an effect that happens twice."""
        if held.pending_attempts() and not self._set.hedging_allowed:
            return False
        first = held.first_run()
        node, sent = (first.endpoint_id, first.sent_at) if first else (None, None)
        return rules.may_repeat(held.settings, now, node, sent, cache, self._listed)

    def _copy_wanted(self, now: float, held: PendingRequest) -> tuple[float, int]:
        """The oldest copy that will do, and how to fill. A repeat, or one to spare the origin, takes old."""
        cls, request = held.settings, held.request
        limit = self._purges.max_copy_age(now, request.object_key, request.purge_group)
        how = (
            int(FillMode.CACHED_ONLY)
            if held.spares_origin
            else int(FillMode.BACKGROUND_REFRESH)
            if cls.freshness_lifetime > 0
            else 0
        )
        if self._set.coalesces_fills and limit == math.inf and len(held.attempts) <= 1:
            how |= FillMode.COALESCE  # a fill under way may have begun before a purge
        most = cls.freshness_lifetime
        if (
            cls.freshness_lifetime > 0
            and cls.stale_lifetime > 0
            and (held.spares_origin or len(held.attempts) > 1)
        ):
            most += cls.stale_lifetime
        if most > 0:
            return min(limit, most), how
        return (limit if limit < math.inf else 0.0), how

    def _bears(self, node: Endpoint) -> tuple[float, float]:
        """Transfers at once, told by the weight or else a part of the links that it feeds; our share.

        Where neither is told they are 0, unknown; a cache's are learned from its hits.
        """
        if node.role == self._set.parent_role:
            share = 1.0 / max(1, self._set.fleet_size)
            size = sum(self._set.zone_link_bandwidth) / self._pace / max(1, len(self._parents.endpoints))
        else:
            share, size = self._zone_share, self._link_size / max(1, len(self._caches.endpoints))
        return node.weight if self._set.endpoints_weighted and node.weight > 0 else size, share

    # -- ends of attempts --

    def _on_end(self, now: float, event: AttemptEnded) -> None:
        held = self._held.get(event.request_number)
        if held is None or event.attempt_index >= len(held.attempts):
            return
        attempt = held.attempts[event.attempt_index]
        if not attempt.pending:
            return
        self._ended(held, attempt)
        self._judge(now, held, attempt, event)
        if event.request_closed or event.outcome is Outcome.OK:
            if any(earlier.pending for earlier in held.attempts[: event.attempt_index]):
                self._retry_budget.refund()  # the copy was needed
            self._close(held)
            return
        attempt.may_have_run = event.outcome not in rules.PROVES_NOT_RUN
        held.missed |= event.outcome is Outcome.MISS
        # What no cache has seen adds no work when it is tried again; a break is made good once a request.
        free = event.outcome in _UNSEEN or (event.outcome is Outcome.RESET and len(held.attempts) == 1)
        if held.pending_attempts():
            return
        held.rejection_reason = RejectionReason.TIME if now >= held.deadline else RejectionReason.RETRY_BUDGET
        if now < held.deadline and (free or self._retry_budget.try_spend()) and self._try(now, held):
            return
        self._give_up(held)

    def _begin(self, held: PendingRequest, attempt: AttemptRecord) -> None:
        """Books an attempt on the cache's link and, if a miss is likely, on the location's."""
        attempt.cache_load.in_flight += 1
        attempt.cache_load.in_flight_work += held.work
        if attempt.fill_expected:
            self._link.in_flight += 1
            attempt.source_load.in_flight += 1
        attempt.concurrent_attempts, attempt.concurrent_fills = (
            attempt.cache_load.in_flight,
            self._link.in_flight,
        )
        held.attempts.append(attempt)
        held.tried_endpoints.add(attempt.endpoint_id)

    def _ended(self, held: PendingRequest, attempt: AttemptRecord) -> None:
        attempt.pending = False
        if attempt.fill_expected:
            self._link.in_flight -= 1
            attempt.source_load.in_flight -= 1
        attempt.cache_load.in_flight -= 1
        attempt.cache_load.in_flight_work -= held.work

    def _judge(self, now: float, held: PendingRequest, attempt: AttemptRecord, event: AttemptEnded) -> None:
        """Tells cache, source and origin apart by the outcome and its note."""
        note, outcome = event.fill_result, event.outcome
        if note in (FillResult.FILLED_BY_ORIGIN, FillResult.ORIGIN_FAILED):
            self._origin.record_transfer(
                now, self._shortest, self._shortest * (note == FillResult.FILLED_BY_ORIGIN)
            )
        if outcome is Outcome.OK:
            self._cache_health[attempt.endpoint_id].record_success(now)
            if note == FillResult.HIT:
                attempt.cache_load.record_transfer(now, event.duration, held.work)
                if not self._set.endpoints_weighted and held.work > 0:
                    attempt.cache_load.update_capacity(
                        attempt.concurrent_attempts, event.duration / held.work
                    )
            if note == FillResult.HIT or self._popularity.cache_rank(held.request.object_key):
                self._copied(now, (held.request.object_key, held.request.segment, attempt.endpoint_id))
            if note in (FillResult.FILLED, FillResult.FILLED_BY_ORIGIN):
                self._wait += FILL_WAIT_LEARNING_RATE * (event.fill_wait - self._wait)
                came = min(max(held.work, event.duration - event.fill_wait), MAX_FILL_SLOWDOWN * held.work)
                if self._link_size <= 0 and held.work > 0:  # danger: fills that take all places of the caches
                    self._link.update_capacity(attempt.concurrent_fills, came / held.work)
                ways = [attempt.cache_load, self._link, attempt.source_load]
                felt = [
                    load.slowdown(now) for load in ways
                ]  # each is blamed for what the others don't explain
                for place, load in enumerate(ways):
                    others = max(felt[:place] + felt[place + 1 :])
                    load.record_transfer(now, came, max(held.work, min(came, held.work * others)))
                self._source_health[attempt.source_id].record_success(now)
            elif note == FillResult.HIT:
                attempt.parent_charge.work = 0.0  # it never reached the parent
            return
        if note in _SOURCE_NOTES or note == FillResult.ORIGIN_FAILED:
            held.failed_sources.add(attempt.source_id)
            if note != FillResult.SOURCE_MISS:
                self._wait += FILL_WAIT_LEARNING_RATE * (held.latency_objective - self._wait)
            self._cache_health[attempt.endpoint_id].record_success(now)
            if note == FillResult.SOURCE_FAILED:
                self._bad(self._source_health, attempt.source_id, now, attempt.sent_at, 1)
        elif outcome is Outcome.CONNECT_FAILED:
            self._bad(self._cache_health, attempt.endpoint_id, now, attempt.sent_at, EJECTION_SCORE)
        elif outcome is Outcome.RESET:  # danger: a cache ejected for one connection, with all that was on it
            health = self._cache_health[attempt.endpoint_id]
            if health.is_new_reset(now, attempt.sent_at):
                self._bad(self._cache_health, attempt.endpoint_id, now, attempt.sent_at, RESET_SCORE)
            if health.is_available(now):
                held.tried_endpoints.discard(
                    attempt.endpoint_id
                )  # it may well hold the object, unlike the next one
        elif outcome is Outcome.ERROR:
            self._bad(self._cache_health, attempt.endpoint_id, now, attempt.sent_at, 1)

    def _copied(self, now: float, copy: tuple[int, int, EndpointId]) -> None:
        """Notes where a copy is; those too old to be thought there any more go first."""
        self._copies.pop(copy, None)
        self._copies[copy] = now
        for _ in range(2):
            oldest = next(iter(self._copies))
            if (
                len(self._copies) < MAX_COUNTED_OBJECTS
                and now - self._copies[oldest] <= COPY_LIFETIME * self._set.slow_start_duration
            ):
                break
            del self._copies[oldest]

    def _bad(self, table: OutlierDetectors, node: EndpointId, now: float, sent: float, marks: float) -> None:
        if table[node].record_failure(now, sent, self._pause, marks):
            self._out.append(
                LogMessage(f"{'cache' if table is self._cache_health else 'source'} {node:x} ejected")
            )

    def _on_due(self, now: float, event: TimerFired) -> None:
        """An attempt may be overdue: blame what has not been heard of since, and send a second copy.

        Danger: answers that are lost while their cache lives, so that no ejection helps.
        """
        if not (held := self._held.get(event.token)):
            return
        for attempt in [
            a for a in held.attempts if a.pending and not a.overdue and now + TIMER_TOLERANCE >= a.overdue_at
        ]:
            cache = self._cache_health[attempt.endpoint_id]
            alive, least = (
                cache.last_success >= attempt.sent_at,
                attempt.sent_at + MIN_SILENCE * self._set.connect_timeout,
            )
            if not alive and now + TIMER_TOLERANCE < least:
                self._out.append(SetTimer(event.token, least))
            else:
                attempt.overdue = True
                if not alive:
                    self._bad(self._cache_health, attempt.endpoint_id, now, attempt.sent_at, 1)
                elif attempt.fill_expected:
                    self._bad(self._source_health, attempt.source_id, now, attempt.sent_at, 1)
            if attempt.fill_expected:
                held.failed_sources.add(attempt.source_id)
            down = not (cache.is_available(now) and self._source_health[attempt.source_id].is_available(now))
            if not down:
                held.tried_endpoints.discard(
                    attempt.endpoint_id
                )  # if just the answer was lost, it holds the object by now
            calm = (
                max(self._load(attempt.endpoint_id).slowdown(now), self._link.slowdown(now))
                < MAX_HEDGING_SLOWDOWN
            )
            if held.pending_attempts() <= 1 + down and (calm or down) and self._retry_budget.try_spend():
                self._try(now, held, look=not down)

    def _on_left(self, now: float, event: ClientDisconnected) -> None:
        if held := self._held.get(event.request_number):
            self._close(held)

    def _close(self, held: PendingRequest) -> None:
        """The request has its final answer; what is still out is called off."""
        del self._held[held.request.request_number]
        for number, attempt in enumerate(held.attempts):
            if attempt.pending:
                self._ended(held, attempt)
                if self._set.cancellation_allowed:
                    self._out.append(CancelAttempt(held.request.request_number, number))

    def _give_up(self, held: PendingRequest) -> None:
        """The final answer of this director: refused where a retry is surely harmless, else failed."""
        may_have_run = any(attempt.may_have_run for attempt in held.attempts)
        if rules.may_reject(
            held.settings, may_have_run
        ):  # danger: refused clients that all come back together
            pause = (
                self._set.max_retry_after * self._random.uniform(0.5, 1.0)
                if self._set.retry_after_allowed
                else 0.0
            )
            self._out.append(Reject(held.request.request_number, pause, held.rejection_reason.value))
        else:
            self._out.append(Fail(held.request.request_number))
        self._close(held)
