"""The routing policy: makes the decisions of one router with the other modules of this package.

Decaying request counts select the top set of objects, which the caches admit, and the density of an object
(requests per KB) sets its cache rank. A weighted rendezvous hash, the same at all routers, selects the home
cache of an object and, among all parents, the source of its fill. The rest of the policy handles failures,
overload and purges. A policy sees only the traffic of its own router. Times are milliseconds of the router's
clock.

Sources: the operators' pages `DESIGN-robinbeam.md` and `WIRE-robinbeam.md`, section "Invariants" (rule 4).
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

from edge_router.decision import rules
from edge_router.decision.candidate_selector import CandidateSelector
from edge_router.decision.class_work import ClassWork
from edge_router.decision.copy_tracker import MAX_TRACKED_COPIES, CopyTracker
from edge_router.decision.endpoint_directory import EndpointDirectory
from edge_router.decision.link_loads import LinkLoads
from edge_router.decision.messages import (
    Action,
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    Endpoint,
    EndpointId,
    EndpointListUpdate,
    Event,
    Fail,
    FillMode,
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
from edge_router.decision.outcome_recorder import OutcomeRecorder
from edge_router.decision.pending_request import AttemptRecord, PendingRequest
from edge_router.decision.placement import MAX_CACHED_RANKINGS
from edge_router.decision.popularity import COUNT_HALF_LIFE_FACTOR, MAX_COUNTED_OBJECTS, Popularity
from edge_router.decision.purges import RecentPurges, purge_retention
from edge_router.decision.retry_budget import RetryBudget
from edge_router.decision.settings import Settings
from edge_router.decision.slow_start import Charge

OVERDUE_OBJECTIVE_SHARE = 0.6  # of the latency objective, after which an attempt is overdue
OVERDUE_EXPECTED_FACTOR = 1.5  # multiple of the duration expected at the present load; not overdue before
# At this slowdown of the cache's or the zone's link no hedged request is sent, unless the cache or the source
# of the overdue attempt is ejected.
MAX_HEDGING_SLOWDOWN = 1.5
MIN_SILENCE_FACTOR = 3.0  # multiple of the connect timeout; silence counts as a cache failure after it
# Limit of the fetches sent to the origin for each that it answers; requests above it, chosen at random, avoid
# the origin.
MAX_ORIGIN_FETCHES_PER_ANSWER = 1.25
TIMER_TOLERANCE = 0.001  # milliseconds by which a timer may fire early
# The attempt was not sent, or arrived after its deadline and was not run, so it added almost no load.
NO_LOAD_ON_CACHE = frozenset((Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class RoutingPolicy:
    """Decides for one router: `handle` takes an event and returns the actions that it causes."""

    def __init__(self, settings: Settings, entropy: int) -> None:
        """`entropy` seeds the random choices. Raises ValueError if the settings lack classes."""
        self._settings = settings
        self._random = random.Random(entropy)
        self._actions: list[Action] = []
        self.pending: dict[int, PendingRequest] = {}
        self.directory = EndpointDirectory(settings)
        self.loads = LinkLoads(settings, self.directory)
        half_life = COUNT_HALF_LIFE_FACTOR * max(settings.slow_start_duration, settings.purge_settle_time)
        self.popularity = Popularity(half_life)
        self.purges = RecentPurges(purge_retention(settings))
        self.copies = CopyTracker(settings.slow_start_duration, self.purges)
        self.retry_budget = RetryBudget()
        self.class_work = [ClassWork(each.latency_objective) for each in settings.classes]
        self.candidates = CandidateSelector(self.directory, self.loads, self.popularity)
        self.outcomes = OutcomeRecorder(self.directory, self.loads, self.popularity, self.copies, self._emit)
        self._handlers: dict[type, Callable[[float, Any], None]] = {
            EndpointListUpdate: self._on_endpoint_list,
            RequestReceived: self._on_request,
            AttemptEnded: self._on_attempt_ended,
            ClientDisconnected: self._on_client_disconnected,
            TimerFired: self._on_timer,
            PurgeReceived: self.purges.record,
        }  # ResponseStarted changes no decision; HealthCheckResult never comes, as no health check is started

    def handle(self, now: float, event: Event) -> list[Action]:
        """Processes one event; returns the actions to perform, in order."""
        self._actions = []
        if handler := self._handlers.get(type(event)):
            handler(now, event)
        return self._actions

    def limit_tracked_objects(self, count: int) -> None:
        """Limits each table that has entries for objects; what is over the limit is dropped step by step."""
        self.popularity.max_objects = min(count, MAX_COUNTED_OBJECTS)
        self.copies.max_copies = min(count, MAX_TRACKED_COPIES)
        self.directory.max_rankings = min(count, MAX_CACHED_RANKINGS)

    def _emit(self, action: Action) -> None:
        self._actions.append(action)

    def statistics(self, now: float) -> dict[str, float]:
        """The state that decisions depend on, by the names of the statistics that operators read."""
        return {
            "link_fills": float(self.loads.zone_link.in_flight),
            "link_capacity": self.loads.zone_link.capacity,
            "link_slowdown": self.loads.zone_link.slowdown(now),
            "fill_wait": self.loads.fill_wait,
            "origin_slowdown": self.loads.origin.slowdown(now),
            "retry_budget": self.retry_budget.tokens,
        }

    def _on_endpoint_list(self, now: float, event: EndpointListUpdate) -> None:
        if event.kind is UpdateKind.FAILED:
            return
        if event.kind is UpdateKind.CACHED and self._settings.endpoint_list_polled:
            self._actions.append(WatchEndpoints())
        self.directory.update(event)
        self.loads.forget_unlisted()

    def _on_request(self, now: float, event: RequestReceived) -> None:
        if not 0 <= event.class_index < len(self._settings.classes):
            self._actions.append(Reject(event.request_number, 0.0, RejectionReason.CLASS.value))
            return
        settings = self._settings.classes[event.class_index]
        work = self.loads.work_of(event.size_kb)
        self.class_work[event.class_index].record_request(work)
        self.retry_budget.record_request()
        if not settings.uncacheable:
            self.popularity.record_request(now, event.object_key, event.size_kb, event.segment)
        pending = PendingRequest(now, event, settings, work)
        self.pending[event.request_number] = pending
        if not self._try_candidates(now, pending):
            self._give_up(pending)

    def _try_candidates(self, now: float, pending: PendingRequest, no_fill: bool = False) -> bool:
        """Sends the request to the first cache and source that may take it; False if there is none.

        With `no_fill`, or while the zone's link is congested, a cacheable request must be answered from the
        cache's copy. While the origin is overloaded, a random part of the cacheable requests avoids it. A
        request under either restriction is not sent again if one of its attempts has ended with MISS.
        """
        cacheable = not pending.settings.uncacheable
        pending.avoids_origin = cacheable and (
            self._random.random() * self.loads.origin.slowdown(now) > MAX_ORIGIN_FETCHES_PER_ANSWER
        )
        no_fill = cacheable and (no_fill or self.loads.check_zone_link_congestion(now, pending))
        if pending.missed and (no_fill or pending.avoids_origin):
            pending.rejection_reason = RejectionReason.LINK if no_fill else RejectionReason.ORIGIN
            return False
        for cache_id in self.candidates.caches(now, pending):
            sources = (cache_id,) if no_fill else self.candidates.sources(now, pending, cache_id)
            for source_id in sources:
                if self._try_send(now, pending, cache_id, source_id):
                    return True
        return False

    def _try_send(
        self, now: float, pending: PendingRequest, cache_id: EndpointId, source_id: EndpointId
    ) -> bool:
        """Starts an attempt; False if a rule or a slow-start budget forbids it. All attempts start here."""
        request = pending.request
        cache = self.directory.caches.endpoints.get(cache_id)  # ready ones only, none is draining
        if cache is None or not self._may_send(now, pending, cache, source_id):
            return False
        charge = self._charge_slow_start(now, pending, cache, source_id)
        if charge is None:
            return False
        self.directory.start_trials(now, cache_id, source_id)
        attempt = self._new_attempt(now, pending, cache, source_id, charge)
        start_before = pending.start_before()
        self.loads.start_attempt(pending, attempt)
        pending.attempts.append(attempt)
        pending.tried_endpoints.add(cache_id)
        age_limit = self.purges.max_copy_age(now, request.object_key, request.purge_group)
        rank = 0 if pending.settings.uncacheable else self.popularity.cache_rank(request.object_key)
        self._actions.append(
            StartAttempt(
                request.request_number,
                cache_id,
                pending.deadline,
                source_id,
                rank,
                self._acceptable_copy_age(pending, age_limit),
                self._fill_mode(pending, age_limit),
                start_before,
            )
        )
        if attempt.overdue_at < pending.deadline:
            self._actions.append(SetTimer(request.request_number, attempt.overdue_at))
        return True

    def _may_send(self, now: float, pending: PendingRequest, cache: Endpoint, source_id: EndpointId) -> bool:
        """Whether the request is open, may have one more attempt at this cache, and the source is ready."""
        if pending.request.request_number not in self.pending or now >= pending.deadline:
            return False
        if len(pending.attempts) >= self._settings.max_attempts:
            return False
        if pending.in_flight_attempts() and not self._settings.hedging_allowed:
            return False
        first = pending.first_possible_run()
        first_endpoint = self.directory.endpoints.get(first.endpoint_id) if first else None
        if rules.repeat_denial(pending.settings, now, first, first_endpoint, cache):
            return False
        return (
            source_id == cache.endpoint_id
            or source_id in self.directory.parents.endpoints
            or source_id in self.directory.origins
        )

    def _charge_slow_start(
        self, now: float, pending: PendingRequest, cache: Endpoint, source_id: EndpointId
    ) -> Charge | None:
        """Charges both slow-start budgets; returns the source's charge, None if a budget is used up."""
        # Rule 4: at a cache each attempt counts as its class's mean work; a parent is charged only for the
        # fills that come to it, each with the work of its request, as far as that is known.
        directory, loads = self.directory, self.loads
        mean_work = self.class_work[pending.request.class_index].mean()
        fill_work = pending.work or mean_work
        if not directory.cache_budget.allows(now, cache, mean_work, *loads.transfers_and_share(cache)):
            return None
        parent = directory.parents.endpoints.get(source_id)
        if parent is not None:
            transfers, share = loads.transfers_and_share(parent)
            if not directory.parent_budget.allows(now, parent, fill_work, transfers, share):
                return None
        directory.cache_budget.charge(now, cache.endpoint_id, mean_work)
        return directory.parent_budget.charge(now, source_id, fill_work)

    def _new_attempt(
        self, now: float, pending: PendingRequest, cache: Endpoint, source_id: EndpointId, charge: Charge
    ) -> AttemptRecord:
        cache_id, loads = cache.endpoint_id, self.loads
        fill_expected = source_id != cache_id and not self.copies.has_copy(now, pending.request, cache)
        cache_load = loads.for_endpoint(cache_id)
        wait = loads.fill_wait if fill_expected else 0.0
        expected = pending.work * cache_load.expected_slowdown(now) + wait
        overdue_at = now + max(
            OVERDUE_OBJECTIVE_SHARE * pending.latency_objective, OVERDUE_EXPECTED_FACTOR * expected
        )
        return AttemptRecord(
            cache_id,
            source_id,
            now,
            overdue_at,
            fill_expected,
            charge,
            cache_load,
            loads.for_endpoint(source_id),
        )

    def _acceptable_copy_age(self, pending: PendingRequest, age_limit: float) -> float:
        """The maximum age of an acceptable copy in milliseconds; 0 means no limit.

        A copy within its stale lifetime is also accepted by requests that avoid the origin and, in retries
        and hedged requests, from the second attempt on.
        """
        settings = pending.settings
        lifetime = settings.freshness_lifetime
        accepts_stale = pending.avoids_origin or len(pending.attempts) > 1
        if lifetime > 0 and settings.stale_lifetime > 0 and accepts_stale:
            lifetime += settings.stale_lifetime
        if lifetime > 0:
            return min(age_limit, lifetime)
        return age_limit if age_limit < math.inf else 0.0

    def _fill_mode(self, pending: PendingRequest, age_limit: float) -> int:
        """The `FillMode` flags of the attempt.

        After a purge, and from the second attempt on (a retry or a hedged request), the request is not
        coalesced with another one's fill, which may have begun earlier.
        """
        mode = 0
        if pending.avoids_origin:
            mode = int(FillMode.CACHED_ONLY)
        elif pending.settings.freshness_lifetime > 0:
            mode = int(FillMode.BACKGROUND_REFRESH)
        if self._settings.coalesces_fills and age_limit == math.inf and len(pending.attempts) <= 1:
            mode |= FillMode.COALESCE
        return mode

    def _on_attempt_ended(self, now: float, event: AttemptEnded) -> None:
        pending = self.pending.get(event.request_number)
        if pending is None or event.attempt_index >= len(pending.attempts):
            return
        attempt = pending.attempts[event.attempt_index]
        if not attempt.in_flight:
            return
        self._end_attempt(pending, attempt)
        self.outcomes.record_end(now, pending, attempt, event)
        if event.outcome is Outcome.OK and event.body_received and not pending.work:
            transfer_time = max(0.0, event.duration - event.fill_wait)
            self.class_work[pending.request.class_index].record_transfer(transfer_time)
        if event.request_closed or event.outcome is Outcome.OK:
            if any(earlier.in_flight for earlier in pending.attempts[: event.attempt_index]):
                self.retry_budget.refund()
            self._close(pending)
            return
        attempt.may_have_run = event.outcome not in rules.PROVES_NOT_RUN
        pending.missed |= event.outcome is Outcome.MISS
        if pending.in_flight_attempts():
            return
        if not self._retry(now, pending, event.outcome):
            self._give_up(pending)

    def _retry(self, now: float, pending: PendingRequest, outcome: Outcome) -> bool:
        """Sends the request again; False if its deadline, the retry budget or the rules forbid it.

        A retry takes nothing from the budget if the outcome is in `NO_LOAD_ON_CACHE`, or if the request's
        only attempt so far ended with a reset connection: the retry may go to the same cache, which may
        already hold the object.
        """
        if now >= pending.deadline:
            pending.rejection_reason = RejectionReason.TIME
            return False
        pending.rejection_reason = RejectionReason.RETRY_BUDGET
        free = outcome in NO_LOAD_ON_CACHE or (outcome is Outcome.RESET and len(pending.attempts) == 1)
        return (free or self.retry_budget.try_spend()) and self._try_candidates(now, pending)

    def _on_timer(self, now: float, event: TimerFired) -> None:
        pending = self.pending.get(event.token)
        if pending is None:
            return
        due = [
            attempt
            for attempt in pending.attempts
            if attempt.in_flight and not attempt.overdue and now + TIMER_TOLERANCE >= attempt.overdue_at
        ]
        for attempt in due:
            self._on_overdue(now, pending, attempt)

    def _on_overdue(self, now: float, pending: PendingRequest, attempt: AttemptRecord) -> None:
        """Handles an attempt that has not ended in the expected time; may send a hedged request.

        The attempt counts against its cache, but only after a minimum silence, until which a second timer is
        set. If the cache has answered another attempt since the start of this one, the attempt counts against
        the source of an expected fill instead.

        Hedged requests are limited by the retry budget and by the attempts in flight. While neither cache nor
        source is ejected, the hedged request may go to the same cache, as possibly only the answer was lost:
        ejecting the cache would not help then, and it probably holds the object by now. Therefore a cacheable
        hedged request must be answered from a copy, and it is sent only if the links are not slowed down.
        """
        cache_id, loads = attempt.endpoint_id, self.loads
        answered_since = self.directory.cache_outliers[cache_id].last_success >= attempt.started_at
        silent_until = attempt.started_at + MIN_SILENCE_FACTOR * self._settings.connect_timeout
        if not answered_since and now + TIMER_TOLERANCE < silent_until:
            self._actions.append(SetTimer(pending.request.request_number, silent_until))
        else:
            self.outcomes.record_overdue(now, attempt)
        if attempt.fill_expected:
            pending.failed_sources.add(attempt.source_id)
        available = self.directory.is_available(now, cache_id, attempt.source_id)
        if available:
            pending.tried_endpoints.discard(cache_id)
        slowdown = max(loads.for_endpoint(cache_id).slowdown(now), loads.zone_link.slowdown(now))
        worthwhile = not available or slowdown < MAX_HEDGING_SLOWDOWN
        max_other_attempts = 1 if available else 2
        if (
            pending.in_flight_attempts() <= max_other_attempts
            and worthwhile
            and self.retry_budget.try_spend()
        ):
            self._try_candidates(now, pending, no_fill=available)

    def _on_client_disconnected(self, now: float, event: ClientDisconnected) -> None:
        if pending := self.pending.get(event.request_number):
            self._close(pending)

    def _end_attempt(self, pending: PendingRequest, attempt: AttemptRecord) -> None:
        attempt.in_flight = False
        self.loads.end_attempt(pending, attempt)

    def _close(self, pending: PendingRequest) -> None:
        """Removes a request that has its final answer, and cancels its attempts in flight."""
        del self.pending[pending.request.request_number]
        for index, attempt in enumerate(pending.attempts):
            if attempt.in_flight:
                self._end_attempt(pending, attempt)
                if self._settings.cancellation_allowed:
                    self._actions.append(CancelAttempt(pending.request.request_number, index))

    def _give_up(self, pending: PendingRequest) -> None:
        """Gives the final answer without a response: `Reject` where a retry can do no harm, else `Fail`."""
        request_number, settings = pending.request.request_number, self._settings
        may_have_run = any(attempt.may_have_run for attempt in pending.attempts)
        if rules.may_reject(pending.settings, may_have_run):
            retry_after = 0.0
            if settings.retry_after_allowed:  # random, so that rejected clients don't all retry at once
                retry_after = settings.max_retry_after * self._random.uniform(0.5, 1.0)
            self._actions.append(Reject(request_number, retry_after, pending.rejection_reason.value))
        else:
            self._actions.append(Fail(request_number))
        self._close(pending)
