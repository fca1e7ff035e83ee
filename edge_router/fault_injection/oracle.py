"""Checks what was observed from outside the routers against the rules of the protocol.

The rules are those of the operators' page `WIRE-robinbeam.md`, section "Invariants" (one final answer for
each request, no effect twice, nothing to draining endpoints after the grace period, no overload of a
recovering endpoint, no copy older than a purge), with the time limits of `PROTOCOL-robinbeam.md`, section
"The rules on sockets".

Each `check_` function takes the evidence of a run and yields the violations that it finds. Times are seconds
of the machine's monotonic clock.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from edge_router.fault_injection.cache_process import content_of, etag_of
from edge_router.fault_injection.observations import (
    AttemptStarted,
    CacheResponse,
    ClientRequest,
    Observations,
    RouterRun,
)
from edge_router.fault_injection.protocol import EndpointState
from edge_router.fault_injection.scenario import CLIENT_BANDWIDTH_KB, Scenario
from edge_router.fault_injection.traffic import ORDER_CLASS, READ_CLASSES, WRITE_CLASSES

# Tolerances and time limits, in seconds.
TIMING_TOLERANCE = 0.05  # by which routers may exceed the time limits of repeats, drains and purges
OBSERVATION_DELAY = 0.1  # by which a process on a busy machine may record an event too late
LATE_ANSWER_LIMIT = 0.5  # after the client's timeout; the protocol allows late answers until then
CANCELLATION_ALLOWANCE = 0.1  # after the client has cancelled, in which an attempt may still start
DEADLINE_TOLERANCE = 0.15  # by which the limit of an attempt may exceed the client's remaining time
# A request that is sent less than this, with `OBSERVATION_DELAY` added, before either side closes its
# connection needs no answer: the two can cross on the network, and a web server would send the request again.
CLOSE_RACE_TIME = 0.05
ACCEPT_TIME_AFTER_SIGTERM = 0.7  # requests sent later than this after SIGTERM need no answer
MAX_STARTUP_TIME = 10.0

NOT_EXECUTED_STATUSES = ("404", "503", "504")
COPY_STATUSES = ("200", "304")  # of cache responses that contain a copy or confirm the client's copy
OVERLOAD_STATUSES = (429, 503)
VOTE_CLASS_INDEX = 3
MEAN_OBJECT_KB = 120.0  # objects have 20 to 220 KB
CACHE_CAPACITY = 8.0  # concurrent transfers; the change log states them in thousandths
ERROR_LOG_EVENTS = ("internal-error", "invariant-violation", "backstop-timeout", "task-failed")
ALL_ROUTERS = "all"
NO_REQUEST = "-"


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule; `rule` is the rule's name in the report."""

    rule: str
    router: str
    request_id: str
    description: str

    def text(self) -> str:
        """Returns the line for the report."""
        return f"{self.rule}: {self.router} {self.request_id} {self.description}"


class Evidence:
    """The observations of a run, with attempts and cache responses indexed by request id."""

    def __init__(self, observations: Observations, scenario: Scenario) -> None:
        self.observations, self.scenario = observations, scenario
        self.requests = {request.request_id: request for request in observations.requests}
        self.attempts: dict[str, list[AttemptStarted]] = defaultdict(list)
        self.cache_responses: dict[str, list[CacheResponse]] = defaultdict(list)
        for attempt in sorted(observations.attempts, key=lambda attempt: attempt.at):
            self.attempts[attempt.request_id].append(attempt)
        for response in observations.cache_responses:
            self.cache_responses[response.request_id].append(response)

    def unanswered_because_router_ended(self, request: ClientRequest) -> bool:
        """Whether a request needs no answer because of a signal to its router.

        This holds for requests sent to a process that the fault `crash` killed later. It also holds for all
        requests sent more than `ACCEPT_TIME_AFTER_SIGTERM` after any SIGTERM to the router, including those
        to the processes that were started after it.
        """
        return request.sent_at is not None and any(
            run.router == request.router and _router_end_explains_loss(run, request.sent_at)
            for run in self.observations.router_runs
        )

    def known_not_executed(self, attempt: AttemptStarted) -> bool:
        """Whether the cache responded after the attempt's start that the request was not executed.

        A response to a later attempt of the request at the same cache counts, too.
        """
        return any(
            response.cache_id == attempt.cache_id
            and response.status in NOT_EXECUTED_STATUSES
            and response.at >= attempt.at
            for response in self.cache_responses[attempt.request_id]
        )

    def attempts_with_requests(self) -> Iterator[tuple[AttemptStarted, ClientRequest]]:
        """Yields each attempt with its request; leaves out attempts whose request is unknown."""
        for attempt in self.observations.attempts:
            if (request := self.requests.get(attempt.request_id)) is not None:
                yield attempt, request


def _router_end_explains_loss(run: RouterRun, sent_at: float) -> bool:
    if run.started_at > sent_at:
        return False
    if run.sigkill_at is not None and sent_at <= run.sigkill_at:
        return True
    return run.sigterm_at is not None and sent_at > run.sigterm_at + ACCEPT_TIME_AFTER_SIGTERM


def _violation(rule: str, request: ClientRequest, description: str) -> Violation:
    return Violation(rule, request.router, request.request_id, description)


def check_answered(evidence: Evidence) -> Iterator[Violation]:
    """Checks that each request gets its final answer, at most 0.5 s after its timeout (rule `lost`).

    Checked are the requests that a client has written completely. Exempt are cancelled requests, requests
    that raced with the end of their connection, and those that need no answer because of a signal (see
    `Evidence.unanswered_because_router_ended`). `OBSERVATION_DELAY` is added to the limits for the answer and
    for the race.
    """
    for request in evidence.observations.requests:
        if request.cancelled_at is not None or evidence.unanswered_because_router_ended(request):
            continue
        if not _answered_in_time(request) and not _raced_with_close(request):
            description = f"{request.class_name} timeout {request.timeout:.2f} s: {_describe_end(request)}"
            yield _violation("lost", request, description)


def _answered_in_time(request: ClientRequest) -> bool:
    if request.sent_at is None or request.answered_at is None:
        return False
    return request.answered_at <= request.sent_at + request.timeout + LATE_ANSWER_LIMIT + OBSERVATION_DELAY


def _raced_with_close(request: ClientRequest) -> bool:
    if request.sent_at is None or request.answered_at is not None or request.connection_lost_at is None:
        return False
    return request.connection_lost_at - request.sent_at < CLOSE_RACE_TIME + OBSERVATION_DELAY


def _describe_end(request: ClientRequest) -> str:
    if request.sent_at is not None and request.answered_at is not None:
        return f"answered {request.answered_at - request.sent_at:.3f} s after it was sent"
    if request.sent_at is not None and request.connection_lost_at is not None:
        return f"closed unanswered {request.connection_lost_at - request.sent_at:.3f} s after it was sent"
    return "no answer"


def check_answers(evidence: Evidence) -> Iterator[Violation]:
    """Checks that there is one answer, that it can be parsed, and that its content came from a cache.

    Rules: `second-answer`, `unreadable`, `false-current` (the router confirmed the client's copy, but no
    cache responded with that version), and `wrong-bytes` (the body differs from every copy that a cache
    responded with).
    """
    for request in evidence.observations.requests:
        if request.answer_count > 1:
            yield _violation("second-answer", request, f"{request.answer_count} answers")
        if request.parse_error is not None and request.cancelled_at is None:
            yield _violation("unreadable", request, request.parse_error)
        if request.status == 200:
            yield from _check_content(evidence, request)


def _check_content(evidence: Evidence, request: ClientRequest) -> Iterator[Violation]:
    responses = evidence.cache_responses[request.request_id]
    created = {response.copy_created_ms for response in responses if response.status in COPY_STATUSES}
    if request.not_modified:
        if not request.client_etag or request.client_etag not in map(etag_of, created):
            yield _violation("false-current", request, f"entity tag {request.client_etag!r}")
    elif request.class_name in READ_CLASSES + WRITE_CLASSES:
        segment = str(request.segment)
        if request.body not in {content_of(request.object_id, segment, created_ms) for created_ms in created}:
            yield _violation("wrong-bytes", request, f"{request.body[:50]!r}")


def check_attempt_starts(evidence: Evidence) -> Iterator[Violation]:
    """Checks that no attempt starts after the client has cancelled or has received its answer.

    It may start until `CANCELLATION_ALLOWANCE` after a cancellation (rule `begun-after-leaving`) and until
    the answer (rule `begun-after-answer`), each with the delays of observation added.
    """
    for attempt, request in evidence.attempts_with_requests():
        delay = OBSERVATION_DELAY + attempt.proxy_delay
        if request.cancelled_at is not None:
            rule, elapsed = "begun-after-leaving", attempt.at - request.cancelled_at
            allowed = CANCELLATION_ALLOWANCE + delay
        elif request.answered_at is not None:
            rule, elapsed = "begun-after-answer", attempt.at - request.answered_at
            allowed = delay
        else:
            continue
        if elapsed > allowed:
            yield _violation(
                rule,
                request,
                f"{elapsed:.3f} s after the cancellation or answer, at cache {attempt.cache_id:x}",
            )


def check_deadlines(evidence: Evidence) -> Iterator[Violation]:
    """Checks that the limit of an attempt exceeds the client's remaining time by at most 0.15 s.

    The delays of observation are added (rule `deadline`).
    """
    for attempt, request in evidence.attempts_with_requests():
        if request.sent_at is None:
            continue
        remaining = request.sent_at + request.timeout - attempt.at
        allowed = remaining + DEADLINE_TOLERANCE + OBSERVATION_DELAY + attempt.proxy_delay
        if attempt.limit_ms / 1000.0 > allowed:
            description = f"limit {attempt.limit_ms:.0f} ms, the client has {remaining * 1000:.0f} ms left"
            yield _violation("deadline", request, description)


def check_retries(evidence: Evidence) -> Iterator[Violation]:
    """Checks that writes are repeated only where that is safe, and rejected only if they were not executed.

    After an attempt that may have been executed, an order is neither repeated (rule `repeated`) nor rejected
    (rule `refused-after-run`). A vote has an idempotency key, so it may be repeated within the deduplication
    window of its class, with `TIMING_TOLERANCE` and the delays of observation added (rule `repeated-late`).
    """
    window = float(evidence.scenario.settings()["classes"][VOTE_CLASS_INDEX]["window"]) / 1000.0
    for request_id, attempts in evidence.attempts.items():
        request = evidence.requests.get(request_id)
        if request is None or request.class_name not in WRITE_CLASSES:
            continue
        possibly_executed = [attempt for attempt in attempts if not evidence.known_not_executed(attempt)]
        for attempt in attempts:
            earlier = [other for other in possibly_executed if other.at < attempt.at]
            if earlier:
                yield from _check_retry(request, attempt, earlier[0], window)
        if request.class_name == ORDER_CLASS and request.status in OVERLOAD_STATUSES and possibly_executed:
            yield _violation("refused-after-run", request, f"at cache {possibly_executed[0].cache_id:x}")


def _check_retry(
    request: ClientRequest, attempt: AttemptStarted, first: AttemptStarted, window: float
) -> Iterator[Violation]:
    """Checks an attempt that follows `first`, the earliest attempt that may have been executed."""
    if request.class_name == ORDER_CLASS:
        yield _violation("repeated", request, f"again at cache {attempt.cache_id:x}")
        return
    latest = first.at + window + TIMING_TOLERANCE + OBSERVATION_DELAY + attempt.proxy_delay
    if attempt.at > latest:
        yield _violation("repeated-late", request, f"{attempt.at - first.at:.3f} s after the first attempt")


def check_drains(evidence: Evidence) -> Iterator[Violation]:
    """Checks that attempts neither go to a drained or removed endpoint nor name it as their source.

    This holds once the grace period (`drain_grace`), `TIMING_TOLERANCE` and the delays of observation have
    passed since the change log sent the change to the router (rule `drain`).
    """
    grace = float(evidence.scenario.settings()["rules"]["drain_grace"]) / 1000.0
    histories: dict[tuple[str, int], list[tuple[float, EndpointState]]] = defaultdict(list)
    for change in evidence.observations.endpoint_changes:
        if change.at is not None:
            histories[change.router, change.endpoint_id].append((change.at, change.state))
    for history in histories.values():
        history.sort()
    for attempt, request in evidence.attempts_with_requests():
        min_age = grace + TIMING_TOLERANCE + OBSERVATION_DELAY + attempt.proxy_delay
        for endpoint_id in (attempt.cache_id, attempt.source_id):
            history = histories.get((request.router, endpoint_id), [])
            drain_at = _drain_in_force(history, attempt.at, min_age)
            if drain_at is not None:
                description = f"endpoint {endpoint_id:x}, change sent {attempt.at - drain_at:.3f} s before"
                yield _violation("drain", request, description)


def _drain_in_force(
    history: list[tuple[float, EndpointState]], attempt_at: float, min_age: float
) -> float | None:
    """Returns when the change was sent that forbids an attempt at `attempt_at`, or None if there is none.

    A drain or removal forbids attempts once `min_age` seconds have passed since it was sent, unless the
    endpoint has become ready again before the attempt.
    """
    position = bisect_right(history, attempt_at - min_age, key=lambda change: change[0]) - 1
    if position < 0 or history[position][1] is EndpointState.READY:
        return None
    later_changes = history[position + 1 :]
    if any(state is EndpointState.READY for at, state in later_changes if at <= attempt_at):
        return None
    return history[position][0]


def check_purges(evidence: Evidence) -> Iterator[Violation]:
    """Checks that no read is answered with a copy older than a purge that its router has to know.

    A router has to know a purge for each request whose first attempt starts after the grace period
    (`heed_within`, counted from the time at which the change log sent the purge), with `TIMING_TOLERANCE`
    and `OBSERVATION_DELAY` added (rule `purge`).
    """
    grace = float(evidence.scenario.settings()["domain"]["heed_within"]) / 1000.0
    allowed = grace + TIMING_TOLERANCE + OBSERVATION_DELAY
    for request in evidence.observations.requests:
        attempts = evidence.attempts[request.request_id]
        if request.status != 200 or request.class_name not in READ_CLASSES or not attempts:
            continue
        created_ms = int(request.response_etag or "0", 16)
        for purge in evidence.observations.purges:
            if purge.router != request.router or purge.at is None or not purge.covers(request):
                continue
            if created_ms < purge.purged_at_ms and purge.at + allowed < attempts[0].at:
                age = purge.purged_at_ms - created_ms
                yield _violation("purge", request, f"a copy {age} ms older than the purge")


def check_slow_starts(evidence: Evidence) -> Iterator[Violation]:
    """Checks that all routers together keep to the slow-start budget of each restarted cache.

    The warm-up counts from the time at which the change log first sent the restart to a router (rule
    `slow-start`).
    """
    rules = evidence.scenario.settings()["rules"]
    fetches: dict[tuple[int, int], list[float]] = defaultdict(list)
    for fetch in evidence.observations.fetches:
        fetches[fetch.cache_id, fetch.cache_started_ms].append(fetch.at)
    known_since: dict[tuple[int, int], float] = {}  # by cache and its start
    for change in evidence.observations.endpoint_changes:
        if change.started_ms and change.at is not None:
            known_since.setdefault((change.endpoint_id, change.started_ms), change.at)
    for start, times in fetches.items():
        if start in known_since:
            yield from _check_slow_start(start[0], sorted(times), known_since[start], rules)


def _check_slow_start(
    cache_id: int, times: list[float], known_since: float, rules: dict[str, float]
) -> Iterator[Violation]:
    """Checks the fetches of one restarted cache in each sliding window; yields the first violation only.

    While the cache warms up, its capacity grows linearly from the fraction `cold_from` to 1 over `warm_up`.
    In a window of `overload_for` it may receive `tip_multiple` times the fetches that it can serve at this
    capacity, plus a margin for chance (see `_add_margin_for_chance`).
    """
    window, warm_up = rules["overload_for"] / 1000.0, rules["warm_up"] / 1000.0
    for position, at in enumerate(times):
        age = at - known_since
        if age > warm_up:
            return
        capacity = rules["cold_from"] + (1 - rules["cold_from"]) * max(0.0, age) / warm_up
        allowed = _add_margin_for_chance(
            rules["tip_multiple"]
            * capacity
            * window
            * CACHE_CAPACITY
            / (MEAN_OBJECT_KB / CLIENT_BANDWIDTH_KB)
        )
        count = position + 1 - bisect_right(times, at - window)
        if count > allowed:
            description = f"cache {cache_id:x}: {count} fetches in the window, {allowed:.0f} allowed"
            yield Violation("slow-start", ALL_ROUTERS, NO_REQUEST, description)
            return


def _add_margin_for_chance(mean: float) -> float:
    """Returns `mean` plus a margin for chance, since the routers send their fetches independently.

    The margin is 2 standard deviations and 2 requests, or 3 of each if the mean is below 30. The standard
    deviation is the square root of the mean.
    """
    margin_factor = 3 if mean < 30 else 2
    return mean + margin_factor * math.sqrt(mean) + margin_factor


def check_processes(evidence: Evidence) -> Iterator[Violation]:
    """Checks the router processes.

    They end only after SIGKILL, or after SIGTERM with exit status 0 (rule `crash`), and log neither a
    traceback nor any of `ERROR_LOG_EVENTS` (rule `log`). If they become ready, they do so within
    `MAX_STARTUP_TIME` (rule `slow-to-ready`); one that never becomes ready is not reported.
    """
    for run in evidence.observations.router_runs:
        ended_by_signal = run.sigkill_at is not None or (run.sigterm_at is not None and run.exit_code == 0)
        if run.exit_code is not None and not ended_by_signal:
            yield Violation("crash", run.router, NO_REQUEST, f"exit code {run.exit_code}")
        if run.ready_at is not None and run.ready_at - run.started_at > MAX_STARTUP_TIME:
            yield Violation("slow-to-ready", run.router, NO_REQUEST, f"{run.ready_at - run.started_at:.1f} s")
        yield from _check_log(run)


def _check_log(run: RouterRun) -> Iterator[Violation]:
    for line in run.log.splitlines():
        words = line.split(" ")
        if len(words) > 1 and words[1] in ERROR_LOG_EVENTS:
            yield Violation("log", run.router, NO_REQUEST, line[:200])
    if "Traceback" in run.log:
        yield Violation("log", run.router, NO_REQUEST, run.log[run.log.index("Traceback") :][-600:])


def check_discovery(evidence: Evidence) -> Iterator[Violation]:
    """Checks that each change log has sent its router all events, also after moves (rule `discovery`).

    Whether the router has received them is not observed.
    """
    for router in evidence.observations.routers_behind_change_log:
        yield Violation("discovery", router, NO_REQUEST, "has not been sent all events of its change log")


RULES: tuple[Callable[[Evidence], Iterator[Violation]], ...] = (
    check_answered,
    check_answers,
    check_attempt_starts,
    check_deadlines,
    check_retries,
    check_drains,
    check_purges,
    check_slow_starts,
    check_processes,
    check_discovery,
)


def find_violations(observations: Observations, scenario: Scenario) -> list[Violation]:
    """Checks all rules and returns the violations."""
    evidence = Evidence(observations, scenario)
    return [violation for rule in RULES for violation in rule(evidence)]
