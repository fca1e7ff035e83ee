"""One run of the soak, drawn from a seed: settings, fleet, traffic, and the faults with their times."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from edge_router.fault_injection.plan import Call, Fault

ZONES = ("hub", "edge")
KINDS = ("box", "parent", "origin")
CACHE_ID, PARENT_ID, ORIGIN_ID = 0x100, 0x200, 0x300
FIRST_FAULT = 3.0  # seconds after all routers are ready
PACE_KB = 4000.0  # KB a second of one transfer, as the settings tell it


class Trouble(StrEnum):
    """What can go wrong at a time; the comment tells what it happens to."""

    HANG = "hang"  # a cache takes requests and answers none
    STOP = "stop"  # a cache process is stopped (SIGSTOP) and goes on later
    KILL = "kill"  # a cache process is killed and starts anew, cold
    RESET = "reset"  # connections to a cache are reset by the proxy
    PARTITION = "partition"  # the proxy passes nothing on, to and from a cache
    SLOW = "slow"  # the proxy passes bytes on in small pieces, with pauses
    LATE = "late"  # the proxy accepts connections and begins to pass on only later
    ERRORS = "errors"  # a cache answers `error` or `full`
    SPOILT = "spoilt"  # a cache answers what can't be read, twice, or only in part
    FORGET = "forget"  # a cache closes its idle connections with a reset
    DRAIN = "drain"  # the list says that a cache drains, then that it is gone, then that it is back
    PURGE = "purge"  # an object or a group is purged
    QUIET_LOG = "quiet-log"  # the change log says nothing more on its connections
    BROKEN_LOG = "broken-log"  # the change log's connections are reset
    SLOW_LOG = "slow-log"  # whole lists come in over seconds
    MOVED_LOG = "moved-log"  # a new configuration and SIGHUP: the change log is elsewhere
    RELOADS = "reloads"  # several new configurations in quick succession, back to the first address
    RESTART = "restart"  # a router gets SIGTERM and starts anew
    CRASH = "crash"  # a router gets SIGKILL and starts anew
    BURST = "burst"  # clients ask much more
    BAD_CLIENTS = "bad-clients"  # clients that send noise, halves or bodies without end
    FROZEN = "frozen"  # a router process is stopped for some hundred milliseconds


@dataclass(frozen=True, slots=True)
class Step:
    """One trouble: when (seconds after the start of the traffic), for how long, and whom it strikes."""

    at: float
    length: float
    trouble: Trouble
    target: int

    def text(self) -> str:
        """One line for the report."""
        return f"{self.at:6.2f} s  {self.trouble:<11} target {self.target} for {self.length:.2f} s"


@dataclass(frozen=True, slots=True)
class Scenario:
    """All of one run."""

    seed: int
    routers: int
    caches: int
    seconds: float
    rate: float  # requests a second at each router
    steps: tuple[Step, ...]
    # By router; the times count from the start of the traffic.
    system_faults: dict[int, tuple[Fault, ...]] = field(default_factory=dict)

    def settings(self) -> dict[str, Any]:
        """The settings that the routers get."""
        effects = (
            ("photo", "pure", 2000.0, 400.0),
            ("page", "pure", 1500.0, 400.0),
            ("order", "side_effect", 2000.0, 600.0),
            ("vote", "token", 2000.0, 600.0),
        )
        return {
            "areas": list(ZONES),
            "models": list(KINDS),
            "zone": 1,
            "fleet_size": self.routers,
            "classes": [
                {
                    "name": name,
                    "importance": 1.0,
                    "on_time": aim,
                    "aim_stretch": 1.0,
                    "deadline": deadline,
                    "effect": effect,
                    "late_worth": 0.2,
                    "group": "all",
                    "window": 1200.0,
                }
                for name, effect, deadline, aim in effects
            ],
            "domain": {
                "client_kb_per_s": PACE_KB,
                "heed_within": 500.0,
                "instances_by_zone": [0, self.routers],
                "joins": False,
                "never_kept": [False, False, True, True],
                "lifetime_by_class": [0.0, 10_000.0, 0.0, 0.0],
                "stale_for": [0.0, 5000.0, 0.0, 0.0],
                "purge_settles": 6000.0,
                "shield_kind": 1,
                "store_kind": 2,
                "may_pass_by": False,
                "zone_link_kb_per_s": [0.0, 0.0],
            },
            "limits": {
                "cancel": self.seed % 4 != 3,
                "connect_timeout": 400.0,
                "max_retry_after": 500.0,
                "most_tries": 8,
                "retry_after": True,
                "second_copies": self.seed % 3 != 2,
                "streams_per_conn": 100,
                "conn_idle": 4000.0,
            },
            "rules": {
                "cold_from": 0.25,
                "drain_grace": 1000.0,
                "overload_for": 1500.0,
                "tip_multiple": 4.0,
                "warm_up": 10_000.0,
            },
            "weights": "rough",
        }


_SYSTEM_FAULTS = (
    (Call.ACCEPT, "ECONNABORTED"),
    (Call.ACCEPT, "ENFILE"),
    (Call.ACCEPT, "ENOBUFS"),
    (Call.SOCKET, "ENFILE"),
    (Call.SOCKET, "EMFILE"),
    (Call.CONNECT, "EADDRNOTAVAIL"),
    (Call.CONNECT, "ENETUNREACH"),
    (Call.CONNECT, "ENOBUFS"),
    (Call.CONNECT, "ETIMEDOUT"),
    (Call.OPEN, "ENFILE"),
    (Call.OPEN, "EIO"),
    (Call.SEND, ""),
    (Call.RECEIVE, ""),
    (Call.SEND, "EHOSTUNREACH"),
    (Call.RECEIVE, "ETIMEDOUT"),
)
_CLOCK_STEPS = (-3600.0, -30.0, -1.5, 2.5, 30.0, 3600.0)


def _system_faults(random_numbers: random.Random, seconds: float) -> tuple[Fault, ...]:
    """Faults of one router's own system: calls that fail for a moment, and perhaps a clock that steps."""
    faults = []
    for _ in range(random_numbers.randint(0, 3)):
        call, error = random_numbers.choice(_SYSTEM_FAULTS)
        start = random_numbers.uniform(FIRST_FAULT, seconds - 2.0)
        broken = error in ("EHOSTUNREACH", "ETIMEDOUT") and call is not Call.CONNECT
        length, chance = (0.3, 0.05) if broken else (random_numbers.uniform(0.05, 1.0), 0.5)
        faults.append(Fault(call, error, start, start + length, chance))
    if random_numbers.random() < 0.5:
        start = random_numbers.uniform(FIRST_FAULT, seconds - 2.0)
        end = start + random_numbers.choice((2.0, 1e6))
        faults.append(Fault(Call.CLOCK, start=start, end=end, step=random_numbers.choice(_CLOCK_STEPS)))
    return tuple(faults)


def draw(seed: int, seconds: float = 20.0, routers: int = 6, caches: int = 6, rate: float = 20.0) -> Scenario:
    """The scenario of a seed. Troubles come one a second or so and last long enough to overlap."""
    random_numbers = random.Random(seed)
    steps, at = [], FIRST_FAULT
    while at < seconds - 4.0:
        trouble = random_numbers.choice(list(Trouble))
        target = random_numbers.randrange(1 << 16)
        steps.append(Step(at, random_numbers.uniform(0.3, 4.0), trouble, target))
        if random_numbers.random() < 0.4:  # two at the very same time
            other = random_numbers.choice(list(Trouble))
            steps.append(
                Step(
                    at + random_numbers.choice((0.0, 0.01, 0.05, 0.2)),
                    random_numbers.uniform(0.3, 3.0),
                    other,
                    random_numbers.randrange(1 << 16),
                )
            )
        at += random_numbers.uniform(0.3, 1.5)
    faults = {number: _system_faults(random_numbers, seconds) for number in range(routers)}
    steps.sort(key=lambda step: step.at)
    return Scenario(seed, routers, caches, seconds, rate, tuple(steps), faults)
