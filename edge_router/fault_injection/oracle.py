"""The rules of the pages, checked against what was seen from outside the routers.

Each rule is one function from the observations to its violations. A violation names the request, the times
and the rule. Moments are seconds of the machine's monotonic clock.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from edge_router.fault_injection.cache_process import content
from edge_router.fault_injection.observations import Answered, Asked, Begun, Observations
from edge_router.fault_injection.scenario import Scenario

SLACK = 0.05  # every time limit is so much longer on sockets
LAG = 0.1  # by which processes of a busy machine may see a thing later than it was
LATE_FOR = 0.5  # an answer that comes so long after its time only earns nothing
BEGUN_AFTER_LEAVING = 0.1
DEADLINE_EXCESS = 0.15
CROSSING = 0.05  # a request that crosses the close of its connection within this time is sent once more
TERM_TAKES = 0.7  # requests written so long after SIGTERM may be lost
READY_WITHIN = 10.0
NOT_RUN = ("404", "503", "504")
MEAN_KB = 120.0  # of the clients' objects: 20 to 220
PACE_KB = 4000.0
CACHE_WEIGHT = 8.0  # transfers at once, as the list tells it


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule."""

    rule: str
    router: str
    txn: str
    what: str

    def text(self) -> str:
        """One line for the report."""
        return f"{self.rule}: {self.router} {self.txn} {self.what}"


class Evidence:
    """The observations, by request."""

    def __init__(self, seen: Observations, scenario: Scenario) -> None:
        self.seen, self.scenario = seen, scenario
        self.asked = {asked.txn: asked for asked in seen.asked}
        self.begun: dict[str, list[Begun]] = defaultdict(list)
        self.answered: dict[str, list[Answered]] = defaultdict(list)
        for begun in sorted(seen.begun, key=lambda begun: begun.at):
            self.begun[begun.txn].append(begun)
        for answer in seen.answered:
            self.answered[answer.txn].append(answer)

    def excused(self, asked: Asked) -> bool:
        """Whether the end of its router explains that a request got no answer."""
        for life in self.seen.lives:
            if life.router != asked.router or not life.started_at <= asked.sent_at:
                continue
            if life.killed_at and asked.sent_at <= life.killed_at:
                return True
            if life.term_at and asked.sent_at > life.term_at + TERM_TAKES:
                return True
        return False

    def proven_not_run(self, fetch: Begun) -> bool:
        """Whether the cache has said, for this very attempt, that it did not run."""
        return any(
            answer.cache == fetch.cache and answer.word in NOT_RUN and answer.at >= fetch.at
            for answer in self.answered[fetch.txn]
        )


def lost(evidence: Evidence) -> Iterator[Violation]:
    """Each request that was taken gets its final answer, at most half a second after its time."""
    for asked in evidence.seen.asked:
        if asked.left_at or evidence.excused(asked):
            continue
        due = asked.sent_at + asked.ttl + LATE_FOR + LAG
        if asked.answered_at and asked.answered_at <= due:
            continue
        if not asked.answered_at and asked.closed_at and asked.closed_at - asked.sent_at < CROSSING + LAG:
            continue
        yield Violation("lost", asked.router, asked.txn, f"{asked.cls} ttl {asked.ttl:.2f} s: {_fate(asked)}")


def _fate(asked: Asked) -> str:
    if asked.answered_at:
        return f"answered {asked.answered_at - asked.sent_at:.3f} s after it was sent"
    if asked.closed_at:
        return f"closed unanswered {asked.closed_at - asked.sent_at:.3f} s after it was sent"
    return "no answer"


def answered_well(evidence: Evidence) -> Iterator[Violation]:
    """One answer that can be read, with the bytes of a copy that a cache has answered with."""
    for asked in evidence.seen.asked:
        if asked.answers > 1:
            yield Violation("second-answer", asked.router, asked.txn, f"{asked.answers} answers")
        if asked.unreadable and not asked.left_at:
            yield Violation("unreadable", asked.router, asked.txn, asked.unreadable)
        if asked.status != 200:
            continue
        answers = [answer for answer in evidence.answered[asked.txn] if answer.word in ("200", "304")]
        if asked.current:
            if not asked.tag or not any(f"{answer.born:x}" == asked.tag for answer in answers):
                yield Violation("false-current", asked.router, asked.txn, f"tag {asked.tag!r}")
        elif asked.cls in ("photo", "page", "order", "vote"):
            bodies = {content(asked.item, str(asked.chunk), answer.born) for answer in answers}
            if asked.body not in bodies:
                yield Violation("wrong-bytes", asked.router, asked.txn, f"{asked.body[:50]!r}")


def begun_too_late(evidence: Evidence) -> Iterator[Violation]:
    """No attempt begins once its client has left or has its answer."""
    for fetch in evidence.seen.begun:
        asked = evidence.asked.get(fetch.txn)
        if asked is None:
            continue
        if asked.left_at and fetch.at > asked.left_at + BEGUN_AFTER_LEAVING + LAG + fetch.late:
            yield Violation(
                "begun-after-leaving",
                asked.router,
                fetch.txn,
                f"{fetch.at - asked.left_at:.3f} s after, at cache {fetch.cache:x}",
            )
        if asked.answered_at and not asked.left_at and fetch.at > asked.answered_at + LAG + fetch.late:
            yield Violation(
                "begun-after-answer",
                asked.router,
                fetch.txn,
                f"{fetch.at - asked.answered_at:.3f} s after, at cache {fetch.cache:x}",
            )


def deadline_passed_on(evidence: Evidence) -> Iterator[Violation]:
    """The limit of an attempt is at most what its client has left, and 0.15 s."""
    for fetch in evidence.seen.begun:
        asked = evidence.asked.get(fetch.txn)
        if asked is None or not asked.sent_at:
            continue
        left = asked.sent_at + asked.ttl - fetch.at
        if fetch.limit_ms / 1000.0 > left + DEADLINE_EXCESS + LAG + fetch.late:
            yield Violation(
                "deadline",
                asked.router,
                fetch.txn,
                f"limit {fetch.limit_ms:.0f} ms, the client has {left * 1000:.0f} ms left",
            )


def repeated(evidence: Evidence) -> Iterator[Violation]:
    """What may not be repeated is sent again only if it surely did not run, and refused only then."""
    window = float(evidence.scenario.settings()["classes"][3]["window"]) / 1000.0
    for txn, fetches in evidence.begun.items():
        asked = evidence.asked.get(txn)
        if asked is None or asked.cls not in ("order", "vote"):
            continue
        may_have_run = [fetch for fetch in fetches if not evidence.proven_not_run(fetch)]
        for fetch in fetches:
            before = [other for other in may_have_run if other.at < fetch.at]
            if before and asked.cls == "order":
                yield Violation("repeated", asked.router, txn, f"again at cache {fetch.cache:x}")
            elif before and fetch.at > before[0].at + window + SLACK + LAG + fetch.late:
                yield Violation("repeated-late", asked.router, txn, f"{fetch.at - before[0].at:.3f} s after")
        if asked.cls == "order" and asked.status in (429, 503) and may_have_run:
            yield Violation("refused-after-run", asked.router, txn, f"at cache {may_have_run[0].cache:x}")


def drained(evidence: Evidence) -> Iterator[Violation]:
    """Nothing new goes to a node, or names it as a source, after its drain was told and the grace is over."""
    grace = float(evidence.scenario.settings()["rules"]["drain_grace"]) / 1000.0
    changes: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
    for told in evidence.seen.told:
        if told.node:
            changes[told.router, told.node].append((told.at, told.state))
    for fetch in evidence.seen.begun:
        asked = evidence.asked.get(fetch.txn)
        for node in (fetch.cache, fetch.source):
            found = sorted(changes.get((asked.router, node), [])) if asked else []
            place = bisect_right(found, (fetch.at - grace - SLACK - LAG - fetch.late, 99)) - 1
            later_ready = any(state == 0 for at, state in found[place + 1 :] if at <= fetch.at)
            if asked and place >= 0 and found[place][1] != 0 and not later_ready:
                yield Violation(
                    "drain",
                    asked.router,
                    fetch.txn,
                    f"node {node:x}, told {fetch.at - found[place][0]:.3f} s before",
                )


def purged(evidence: Evidence) -> Iterator[Violation]:
    """No request sent after a purge was told and its grace is over is answered from an older copy."""
    heed = float(evidence.scenario.settings()["domain"]["heed_within"]) / 1000.0
    purges = [told for told in evidence.seen.told if not told.node and told.purged_unix_ms]
    for asked in evidence.seen.asked:
        if asked.status != 200 or asked.cls not in ("photo", "page") or not evidence.begun[asked.txn]:
            continue
        sent = evidence.begun[asked.txn][0].at
        born = int(asked.answer_tag or "0", 16)
        for told in purges:
            names = told.item == asked.item if told.item else told.group == asked.group
            if (
                told.router == asked.router
                and names
                and born < told.purged_unix_ms
                and (told.at + heed + SLACK + LAG < sent)
            ):
                yield Violation(
                    "purge",
                    asked.router,
                    asked.txn,
                    f"a copy {told.purged_unix_ms - born} ms older than the purge",
                )


def overloaded_cold(evidence: Evidence) -> Iterator[Violation]:
    """All routers together stay within the slow-start budget of each cache that has started anew."""
    rules = evidence.scenario.settings()["rules"]
    window, warm_up = rules["overload_for"] / 1000.0, rules["warm_up"] / 1000.0
    starts: dict[tuple[int, int], list[float]] = defaultdict(list)
    for fetch in evidence.seen.fetched:
        starts[fetch.cache, fetch.started].append(fetch.at)
    told = {(one.node, one.started): one.at for one in reversed(evidence.seen.told) if one.started}
    for (cache, started), times in starts.items():
        if (cache, started) not in told:
            continue
        times.sort()
        for place, at in enumerate(times):
            age = at - told[cache, started]
            if age > warm_up:
                break
            present = rules["cold_from"] + (1 - rules["cold_from"]) * max(0.0, age) / warm_up
            calls = rules["tip_multiple"] * present * window * CACHE_WEIGHT / (MEAN_KB / PACE_KB)
            most = calls + (3 if calls < 30 else 2) * math.sqrt(calls) + (3 if calls < 30 else 2)
            count = place + 1 - bisect_right(times, at - window)
            if count > most:
                yield Violation("slow-start", "all", "-", f"cache {cache:x}: {count} requests of {most:.0f}")
                break


def processes(evidence: Evidence) -> Iterator[Violation]:
    """Routers end only when they are told to, are ready in time, and log no bug and no broken rule."""
    for life in evidence.seen.lives:
        if life.exit_code is not None and not life.killed_at and not (life.term_at and life.exit_code == 0):
            yield Violation("crash", life.router, "-", f"exit code {life.exit_code}")
        if life.ready_at and life.ready_at - life.started_at > READY_WITHIN:
            yield Violation("slow-to-ready", life.router, "-", f"{life.ready_at - life.started_at:.1f} s")
        for line in life.log.splitlines():
            if line.split(" ")[1:2] in (
                ["internal-error"],
                ["invariant-violation"],
                ["backstop-timeout"],
                ["task-failed"],
            ):
                yield Violation("log", life.router, "-", line[:200])
        if "Traceback" in life.log:
            yield Violation("log", life.router, "-", life.log[life.log.index("Traceback") :][-600:])


def discovery(evidence: Evidence) -> Iterator[Violation]:
    """Each router follows its change log to its end, wherever it moved."""
    for router in evidence.seen.not_following:
        yield Violation("discovery", router, "-", "has not come to the end of its change log")


RULES: tuple[Callable[[Evidence], Iterator[Violation]], ...] = (
    lost,
    answered_well,
    begun_too_late,
    deadline_passed_on,
    repeated,
    drained,
    purged,
    overloaded_cold,
    processes,
    discovery,
)


def judge(seen: Observations, scenario: Scenario) -> list[Violation]:
    """All violations of a run."""
    evidence = Evidence(seen, scenario)
    return [violation for rule in RULES for violation in rule(evidence)]
