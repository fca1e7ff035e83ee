"""The rules of the protocol pages, checked against what was observed from outside the routers.

Each rule is one function from the evidence to the violations that it found. Moments are seconds of the
machine's monotonic clock.
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

TIMING_TOLERANCE = 0.05  # every time limit is so much longer on sockets
OBSERVATION_DELAY = 0.1  # by which processes of a busy machine may see an event later than it was
LATEST_ANSWER = 0.5  # after the client's timeout; the pages allow late answers until then
CANCELLATION_NOTICE = 0.1  # in which an attempt may still start after its client cancelled
DEADLINE_TOLERANCE = 0.15  # by which the limit of an attempt may exceed the client's remaining time
CROSSING_TIME = 0.05  # a request that crosses the close of its connection within this time is sent again
DRAIN_TIME = 0.7  # requests written so long after SIGTERM may be lost
MAX_STARTUP_TIME = 10.0
NOT_EXECUTED_STATUSES = ("404", "503", "504")
READABLE_STATUSES = ("200", "304")
OVERLOAD_STATUSES = (429, 503)
VOTE_CLASS_INDEX = 3
MEAN_OBJECT_KB = 120.0  # of the clients' objects: 20 to 220
CACHE_CAPACITY = 8.0  # transfers at once, as the endpoint list gives it
FAULT_LOG_EVENTS = ("internal-error", "invariant-violation", "backstop-timeout", "task-failed")
ALL_ROUTERS = "all"
NO_REQUEST = "-"


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule. `rule` is the name that the report prints."""

    rule: str
    router: str
    request_id: str
    description: str

    def text(self) -> str:
        """One line for the report."""
        return f"{self.rule}: {self.router} {self.request_id} {self.description}"


class Evidence:
    """The observations of a run, indexed by request."""

    def __init__(self, observations: Observations, scenario: Scenario) -> None:
        self.observations, self.scenario = observations, scenario
        self.requests = {request.request_id: request for request in observations.requests}
        self.attempts: dict[str, list[AttemptStarted]] = defaultdict(list)
        self.cache_responses: dict[str, list[CacheResponse]] = defaultdict(list)
        for attempt in sorted(observations.attempts, key=lambda attempt: attempt.at):
            self.attempts[attempt.request_id].append(attempt)
        for response in observations.cache_responses:
            self.cache_responses[response.request_id].append(response)

    def lost_with_router(self, request: ClientRequest) -> bool:
        """Whether the end of its router explains that a request got no answer."""
        return request.sent_at is not None and any(
            run.router == request.router and _end_explains_loss(run, request.sent_at)
            for run in self.observations.router_runs
        )

    def known_not_executed(self, attempt: AttemptStarted) -> bool:
        """Whether the cache has said, for this very attempt, that it did not execute it."""
        return any(
            response.cache_id == attempt.cache_id
            and response.status in NOT_EXECUTED_STATUSES
            and response.at >= attempt.at
            for response in self.cache_responses[attempt.request_id]
        )

    def attempts_with_requests(self) -> Iterator[tuple[AttemptStarted, ClientRequest]]:
        """Each attempt with its request, where that is known."""
        for attempt in self.observations.attempts:
            if (request := self.requests.get(attempt.request_id)) is not None:
                yield attempt, request


def _end_explains_loss(run: RouterRun, sent_at: float) -> bool:
    if run.started_at > sent_at:
        return False
    if run.sigkill_at is not None and sent_at <= run.sigkill_at:
        return True
    return run.sigterm_at is not None and sent_at > run.sigterm_at + DRAIN_TIME


def _violation(rule: str, request: ClientRequest, description: str) -> Violation:
    return Violation(rule, request.router, request.request_id, description)


def check_answered(evidence: Evidence) -> Iterator[Violation]:
    """Each request that was taken gets its final answer, at most half a second after its timeout."""
    for request in evidence.observations.requests:
        if request.cancelled_at is not None or evidence.lost_with_router(request):
            continue
        if not _answered_in_time(request) and not _crossed_close(request):
            description = f"{request.class_name} ttl {request.timeout:.2f} s: {_describe_end(request)}"
            yield _violation("lost", request, description)


def _answered_in_time(request: ClientRequest) -> bool:
    if request.sent_at is None or request.answered_at is None:
        return False
    return request.answered_at <= request.sent_at + request.timeout + LATEST_ANSWER + OBSERVATION_DELAY


def _crossed_close(request: ClientRequest) -> bool:
    if request.sent_at is None or request.answered_at is not None or request.connection_lost_at is None:
        return False
    return request.connection_lost_at - request.sent_at < CROSSING_TIME + OBSERVATION_DELAY


def _describe_end(request: ClientRequest) -> str:
    if request.sent_at is not None and request.answered_at is not None:
        return f"answered {request.answered_at - request.sent_at:.3f} s after it was sent"
    if request.sent_at is not None and request.connection_lost_at is not None:
        return f"closed unanswered {request.connection_lost_at - request.sent_at:.3f} s after it was sent"
    return "no answer"


def check_answers(evidence: Evidence) -> Iterator[Violation]:
    """One answer that can be parsed, with the bytes of a copy that a cache has answered with."""
    for request in evidence.observations.requests:
        if request.answer_count > 1:
            yield _violation("second-answer", request, f"{request.answer_count} answers")
        if request.parse_error is not None and request.cancelled_at is None:
            yield _violation("unreadable", request, request.parse_error)
        if request.status == 200:
            yield from _check_content(evidence, request)


def _check_content(evidence: Evidence, request: ClientRequest) -> Iterator[Violation]:
    responses = evidence.cache_responses[request.request_id]
    created = {response.copy_created_ms for response in responses if response.status in READABLE_STATUSES}
    if request.not_modified:
        if not request.client_etag or request.client_etag not in map(etag_of, created):
            yield _violation("false-current", request, f"tag {request.client_etag!r}")
    elif request.class_name in READ_CLASSES + WRITE_CLASSES:
        chunk = str(request.chunk)
        if request.body not in {content_of(request.object_id, chunk, created_ms) for created_ms in created}:
            yield _violation("wrong-bytes", request, f"{request.body[:50]!r}")


def check_attempt_starts(evidence: Evidence) -> Iterator[Violation]:
    """No attempt starts once its client has cancelled or has its answer."""
    for attempt, request in evidence.attempts_with_requests():
        delay = OBSERVATION_DELAY + attempt.proxy_delay
        if request.cancelled_at is not None:
            rule, excess = "begun-after-leaving", attempt.at - request.cancelled_at
            allowed = CANCELLATION_NOTICE + delay
        elif request.answered_at is not None:
            rule, excess = "begun-after-answer", attempt.at - request.answered_at
            allowed = delay
        else:
            continue
        if excess > allowed:
            yield _violation(rule, request, f"{excess:.3f} s after, at cache {attempt.cache_id:x}")


def check_deadlines(evidence: Evidence) -> Iterator[Violation]:
    """The limit of an attempt is at most the client's remaining time, and 0.15 s."""
    for attempt, request in evidence.attempts_with_requests():
        if request.sent_at is None:
            continue
        remaining = request.sent_at + request.timeout - attempt.at
        allowed = remaining + DEADLINE_TOLERANCE + OBSERVATION_DELAY + attempt.proxy_delay
        if attempt.limit_ms / 1000.0 > allowed:
            description = f"limit {attempt.limit_ms:.0f} ms, the client has {remaining * 1000:.0f} ms left"
            yield _violation("deadline", request, description)


def check_retries(evidence: Evidence) -> Iterator[Violation]:
    """A write is sent again only if that can't execute it twice, and rejected only if it was not executed."""
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
    """Checks an attempt after one that may have been executed."""
    if request.class_name == ORDER_CLASS:
        yield _violation("repeated", request, f"again at cache {attempt.cache_id:x}")
        return
    latest = first.at + window + TIMING_TOLERANCE + OBSERVATION_DELAY + attempt.proxy_delay
    if attempt.at > latest:
        yield _violation("repeated-late", request, f"{attempt.at - first.at:.3f} s after")


def check_drains(evidence: Evidence) -> Iterator[Violation]:
    """Nothing new goes to an endpoint, or names it as a source, after its drain and the grace period."""
    grace = float(evidence.scenario.settings()["rules"]["drain_grace"]) / 1000.0
    histories: dict[tuple[str, int], list[tuple[float, EndpointState]]] = defaultdict(list)
    for change in evidence.observations.endpoint_changes:
        if change.at is not None:
            histories[change.router, change.endpoint_id].append((change.at, change.state))
    for history in histories.values():
        history.sort()
    for attempt, request in evidence.attempts_with_requests():
        allowed = grace + TIMING_TOLERANCE + OBSERVATION_DELAY + attempt.proxy_delay
        for endpoint_id in (attempt.cache_id, attempt.source_id):
            history = histories.get((request.router, endpoint_id), [])
            drain_at = _binding_drain(history, attempt.at, allowed)
            if drain_at is not None:
                description = f"node {endpoint_id:x}, told {attempt.at - drain_at:.3f} s before"
                yield _violation("drain", request, description)


def _binding_drain(
    history: list[tuple[float, EndpointState]], attempt_at: float, allowed: float
) -> float | None:
    """When the drain was sent that forbids an attempt at that moment; None if there is none.

    A drain binds once it is older than `allowed`, unless the endpoint became ready again before the attempt.
    """
    position = bisect_right(history, attempt_at - allowed, key=lambda change: change[0]) - 1
    if position < 0 or history[position][1] is EndpointState.READY:
        return None
    later_changes = history[position + 1 :]
    if any(state is EndpointState.READY for at, state in later_changes if at <= attempt_at):
        return None
    return history[position][0]


def check_purges(evidence: Evidence) -> Iterator[Violation]:
    """No request sent after a purge is known and its grace is over is answered from an older copy."""
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
    """All routers together stay within the slow-start budget of each cache that has restarted."""
    rules = evidence.scenario.settings()["rules"]
    fetches: dict[tuple[int, int], list[float]] = defaultdict(list)
    for fetch in evidence.observations.fetches:
        fetches[fetch.cache_id, fetch.cache_started_ms].append(fetch.at)
    known_since: dict[tuple[int, int], float] = {}  # by cache and start; the first router that was told
    for change in evidence.observations.endpoint_changes:
        if change.started_ms and change.at is not None:
            known_since.setdefault((change.endpoint_id, change.started_ms), change.at)
    for start, times in fetches.items():
        if start in known_since:
            yield from _check_slow_start(start[0], sorted(times), known_since[start], rules)


def _check_slow_start(
    cache_id: int, times: list[float], known_since: float, rules: dict[str, float]
) -> Iterator[Violation]:
    """Checks the fetches of one restarted cache; reports the first excess only."""
    window, warm_up = rules["overload_for"] / 1000.0, rules["warm_up"] / 1000.0
    for position, at in enumerate(times):
        age = at - known_since
        if age > warm_up:
            return
        capacity = rules["cold_from"] + (1 - rules["cold_from"]) * max(0.0, age) / warm_up
        allowed = _with_random_excess(
            rules["tip_multiple"]
            * capacity
            * window
            * CACHE_CAPACITY
            / (MEAN_OBJECT_KB / CLIENT_BANDWIDTH_KB)
        )
        count = position + 1 - bisect_right(times, at - window)
        if count > allowed:
            description = f"cache {cache_id:x}: {count} requests of {allowed:.0f}"
            yield Violation("slow-start", ALL_ROUTERS, NO_REQUEST, description)
            return


def _with_random_excess(mean: float) -> float:
    """The most requests that count as chance where routers that act apart send `mean` of them."""
    deviations = 3 if mean < 30 else 2
    return mean + deviations * math.sqrt(mean) + deviations


def check_processes(evidence: Evidence) -> Iterator[Violation]:
    """Routers end only when they are told to, are ready in time, and log no bug and no broken rule."""
    for run in evidence.observations.router_runs:
        ended_as_told = run.sigkill_at is not None or (run.sigterm_at is not None and run.exit_code == 0)
        if run.exit_code is not None and not ended_as_told:
            yield Violation("crash", run.router, NO_REQUEST, f"exit code {run.exit_code}")
        if run.ready_at is not None and run.ready_at - run.started_at > MAX_STARTUP_TIME:
            yield Violation("slow-to-ready", run.router, NO_REQUEST, f"{run.ready_at - run.started_at:.1f} s")
        yield from _check_log(run)


def _check_log(run: RouterRun) -> Iterator[Violation]:
    for line in run.log.splitlines():
        words = line.split(" ")
        if len(words) > 1 and words[1] in FAULT_LOG_EVENTS:
            yield Violation("log", run.router, NO_REQUEST, line[:200])
    if "Traceback" in run.log:
        yield Violation("log", run.router, NO_REQUEST, run.log[run.log.index("Traceback") :][-600:])


def check_discovery(evidence: Evidence) -> Iterator[Violation]:
    """Each router follows its change log to its end, wherever it moved."""
    for router in evidence.observations.routers_behind_change_log:
        yield Violation("discovery", router, NO_REQUEST, "has not come to the end of its change log")


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
    """All violations of a run."""
    evidence = Evidence(observations, scenario)
    return [violation for rule in RULES for violation in rule(evidence)]
