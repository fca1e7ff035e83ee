"""The fault-injection run: a short one on real processes, and an oracle that finds planted violations."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable

import pytest

from edge_router.fault_injection.cache_process import content
from edge_router.fault_injection.observations import Answered, Asked, Begun, Observations, RouterLife, Told
from edge_router.fault_injection.oracle import judge
from edge_router.fault_injection.plan import Call, Fault, FaultPlan
from edge_router.fault_injection.protocol import CommandScanner, resp_array
from edge_router.fault_injection.scenario import draw

ITEM, TAG = "00000000000000aa", f"{5000:x}"


def good() -> Observations:
    """One request served without fault, at a router that ran and stopped normally."""
    asked = Asked(
        "t1",
        "n0",
        "photo",
        ITEM,
        0,
        3,
        1.0,
        sent_at=10.0,
        answered_at=10.2,
        status=200,
        answers=1,
        answer_tag=TAG,
        body=content(ITEM, "0", 5000),
    )
    return Observations(
        asked=[asked],
        begun=[Begun(10.01, 0x100, "t1", "photo", 970.0, 0x200, 0.0)],
        answered=[Answered(10.1, 0x100, "t1", "200", 5000)],
        told=[Told(1.0, "n0", 0x100, 0)],
        lives=[RouterLife("n0", 0.0, ready_at=0.5, term_at=20.0, ended_at=21.0, exit_code=0)],
    )


def plant_order_sent_twice(seen: Observations) -> None:
    seen.asked[0].cls = "order"
    seen.begun.append(Begun(10.05, 0x101, "t1", "order", 900.0, 0x200, 0.0))


def plant_refused_order(seen: Observations) -> None:
    seen.asked[0].cls, seen.asked[0].status = "order", 503
    seen.answered.clear()


PLANTED: list[tuple[str, Callable[[Observations], None]]] = [
    ("lost", lambda seen: setattr(seen.asked[0], "answered_at", 0.0)),
    ("lost", lambda seen: setattr(seen.asked[0], "answered_at", 11.7)),
    ("second-answer", lambda seen: setattr(seen.asked[0], "answers", 2)),
    ("unreadable", lambda seen: setattr(seen.asked[0], "unreadable", "noise")),
    ("wrong-bytes", lambda seen: setattr(seen.asked[0], "body", b"noise")),
    ("false-current", lambda seen: setattr(seen.asked[0], "current", True)),
    ("begun-after-leaving", lambda seen: setattr(seen.asked[0], "left_at", 9.5)),
    ("begun-after-answer", lambda seen: seen.begun.append(Begun(10.5, 0x101, "t1", "photo", 1.0, 0, 0.0))),
    ("deadline", lambda seen: setattr(seen.begun[0], "limit_ms", 1300.0)),
    ("repeated", plant_order_sent_twice),
    ("refused-after-run", plant_refused_order),
    ("drain", lambda seen: seen.told.append(Told(8.0, "n0", 0x100, 1))),
    ("drain", lambda seen: seen.told.append(Told(8.0, "n0", 0x200, 2))),
    ("purge", lambda seen: seen.told.append(Told(8.0, "n0", item=ITEM, purged_unix_ms=5001))),
    ("crash", lambda seen: setattr(seen.lives[0], "exit_code", 1)),
    ("slow-to-ready", lambda seen: setattr(seen.lives[0], "ready_at", 11.0)),
    ("discovery", lambda seen: seen.not_following.append("n0")),
    ("log", lambda seen: setattr(seen.lives[0], "log", "1.0 bug where=here")),
]


@pytest.mark.parametrize("rule, plant", PLANTED)
def test_oracle_finds_each_planted_violation(rule: str, plant: Callable[[Observations], None]) -> None:
    seen, scenario = good(), draw(1)
    assert judge(seen, scenario) == []
    plant(seen)
    assert rule in {violation.rule for violation in judge(seen, scenario)}


def test_seed_determines_the_scenario() -> None:
    assert draw(5) == draw(5)
    assert draw(5) != draw(6)


def test_fault_plan_round_trips_through_the_environment() -> None:
    plan = FaultPlan([Fault(Call.CONNECT, "ENOBUFS", 1.0, 2.0, 0.5), Fault(Call.CLOCK, step=-3.0)], 9)
    copy = FaultPlan.from_json(plan.to_json())
    assert (copy.faults, copy.seed) == (plan.faults, plan.seed)


@pytest.mark.parametrize("size", [1, 3, 1000])
def test_commands_are_parsed_across_any_split(size: int) -> None:
    data = resp_array(b"fetch", b"t1", b"cls=a,limit=5", b"\r\n") + resp_array(b"abort", b"t1")
    scanner, found = CommandScanner(), []
    for at in range(0, len(data), size):
        found += [items for _, items in scanner.feed(0.0, data[at : at + size])]
    assert found == [[b"fetch", b"t1", b"cls=a,limit=5", b"\r\n"], [b"abort", b"t1"]]


def test_short_run_violates_no_rule() -> None:
    words = ("soak", "--seed", "1", "--seconds", "9", "--routers", "3", "--caches", "3")
    ran = subprocess.run(
        [sys.executable, "-m", "edge_router", *words],
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert ran.returncode in (0, 3), ran.stdout + ran.stderr
    assert " 0 violations" in ran.stdout
