"""One run of the fault injection, drawn from a seed: settings, fleet, traffic and scheduled faults."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from edge_router.fault_injection.system_call_faults import SystemCall, SystemCallFault

ZONES = ("hub", "edge")
ENDPOINT_KINDS = ("box", "parent", "origin")
FIRST_CACHE_ID, FIRST_PARENT_ID, ORIGIN_ID = 0x100, 0x200, 0x300
FIRST_FAULT_AT = 3.0  # seconds after the start of the traffic
QUIET_END = 4.0  # seconds at the end of the traffic in which no fault starts
CLIENT_BANDWIDTH_KB = 4000.0  # KB a second of one transfer, as the settings give it
SECOND_FAULT_CHANCE = 0.4  # of each fault, that another one starts at about the same time


class FaultKind(StrEnum):
    """What can go wrong in the router's environment; the comment says what happens."""

    HANG = "hang"  # a cache accepts requests and answers none
    PAUSE = "pause"  # a cache process is stopped (SIGSTOP) and continues later
    KILL = "kill"  # a cache process is killed and restarts with no copies
    RESET = "reset"  # the proxy resets connections to a cache
    PARTITION = "partition"  # the proxy forwards nothing, to and from a cache
    SLOW_LINK = "slow-link"  # the proxy forwards bytes in small pieces, with pauses
    SLOW_CONNECT = "slow-connect"  # the proxy accepts connections and starts to forward only later
    ERROR_RESPONSES = "error-responses"  # a cache answers with an error or with 'overloaded'
    CORRUPT_RESPONSES = "corrupt-responses"  # a cache's answers are malformed, sent twice, or cut short
    RESET_IDLE = "reset-idle"  # a cache resets its idle connections
    DRAIN = "drain"  # the change log says that a cache drains, then that it is removed, then that it is back
    PURGE = "purge"  # an object or a group is purged
    SILENT_LOG = "silent-log"  # the change log sends nothing more on its connections
    RESET_LOG = "reset-log"  # the change log's connections are reset
    SLOW_LOG = "slow-log"  # complete lists take seconds to arrive
    MOVED_LOG = "moved-log"  # a new configuration and SIGHUP: the change log has another address
    RELOADS = "reloads"  # several new configurations in quick succession, back to the first address
    RESTART = "restart"  # a router gets SIGTERM and restarts
    CRASH = "crash"  # a router gets SIGKILL and restarts
    BURST = "burst"  # clients send many more requests
    BAD_CLIENTS = "bad-clients"  # clients send noise, incomplete requests or bodies without end
    ROUTER_PAUSE = "router-pause"  # a router process is stopped for some hundred milliseconds


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault: when (seconds after the start of the traffic), for how many seconds, and what it affects.

    `target` chooses a cache or a router, modulo their number.
    """

    at: float
    duration: float
    kind: FaultKind
    target: int

    def text(self) -> str:
        """One line for the report."""
        return f"{self.at:6.2f} s  {self.kind:<17} target {self.target} for {self.duration:.2f} s"


@dataclass(frozen=True, slots=True)
class Scenario:
    """Everything that a seed fixes for one run."""

    seed: int
    routers: int
    caches: int
    seconds: float
    rate: float  # requests a second at each router
    faults: tuple[ScheduledFault, ...]
    # By router; the times count from the start of the traffic.
    system_call_faults: dict[int, tuple[SystemCallFault, ...]] = field(default_factory=dict)

    def settings(self) -> dict[str, Any]:
        """The settings that the routers get, in the form of the platform's configuration file."""
        return {
            "areas": list(ZONES),
            "models": list(ENDPOINT_KINDS),
            "zone": 1,
            "fleet_size": self.routers,
            "classes": _class_settings(),
            "domain": _domain_settings(self.routers),
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


def _class_settings() -> list[dict[str, Any]]:
    classes = (
        ("photo", "pure", 2000.0, 400.0),
        ("page", "pure", 1500.0, 400.0),
        ("order", "side_effect", 2000.0, 600.0),
        ("vote", "token", 2000.0, 600.0),
    )
    return [
        {
            "name": name,
            "importance": 1.0,
            "on_time": latency_objective,
            "aim_stretch": 1.0,
            "deadline": deadline,
            "effect": effect,
            "late_worth": 0.2,
            "group": "all",
            "window": 1200.0,
        }
        for name, effect, deadline, latency_objective in classes
    ]


def _domain_settings(routers: int) -> dict[str, Any]:
    return {
        "client_kb_per_s": CLIENT_BANDWIDTH_KB,
        "heed_within": 500.0,
        "instances_by_zone": [0, routers],
        "joins": False,
        "never_kept": [False, False, True, True],
        "lifetime_by_class": [0.0, 10_000.0, 0.0, 0.0],
        "stale_for": [0.0, 5000.0, 0.0, 0.0],
        "purge_settles": 6000.0,
        "shield_kind": 1,
        "store_kind": 2,
        "may_pass_by": False,
        "zone_link_kb_per_s": [0.0, 0.0],
    }


_FAILING_CALLS = (
    (SystemCall.ACCEPT, "ECONNABORTED"),
    (SystemCall.ACCEPT, "ENFILE"),
    (SystemCall.ACCEPT, "ENOBUFS"),
    (SystemCall.SOCKET, "ENFILE"),
    (SystemCall.SOCKET, "EMFILE"),
    (SystemCall.CONNECT, "EADDRNOTAVAIL"),
    (SystemCall.CONNECT, "ENETUNREACH"),
    (SystemCall.CONNECT, "ENOBUFS"),
    (SystemCall.CONNECT, "ETIMEDOUT"),
    (SystemCall.OPEN, "ENFILE"),
    (SystemCall.OPEN, "EIO"),
    (SystemCall.SEND, ""),
    (SystemCall.RECEIVE, ""),
    (SystemCall.SEND, "EHOSTUNREACH"),
    (SystemCall.RECEIVE, "ETIMEDOUT"),
)
_CLOCK_STEPS = (-3600.0, -30.0, -1.5, 2.5, 30.0, 3600.0)  # seconds
_FOREVER = 1e6  # seconds


def _draw_system_call_faults(generator: random.Random, seconds: float) -> tuple[SystemCallFault, ...]:
    """Faults of one router's own system: calls that fail for a moment, and perhaps a clock that steps."""
    faults = []
    for _ in range(generator.randint(0, 3)):
        call, error = generator.choice(_FAILING_CALLS)
        start = generator.uniform(FIRST_FAULT_AT, seconds - 2.0)
        breaks_connections = error in ("EHOSTUNREACH", "ETIMEDOUT") and call is not SystemCall.CONNECT
        duration, chance = (0.3, 0.05) if breaks_connections else (generator.uniform(0.05, 1.0), 0.5)
        faults.append(SystemCallFault(call, error, start, start + duration, chance))
    if generator.random() < 0.5:
        start = generator.uniform(FIRST_FAULT_AT, seconds - 2.0)
        end = start + generator.choice((2.0, _FOREVER))
        step = generator.choice(_CLOCK_STEPS)
        faults.append(SystemCallFault(SystemCall.CLOCK, start=start, end=end, step=step))
    return tuple(faults)


def _draw_faults(generator: random.Random, seconds: float) -> tuple[ScheduledFault, ...]:
    """Faults about once a second, long enough to overlap; some start together."""
    kinds = list(FaultKind)
    faults, at = [], FIRST_FAULT_AT
    while at < seconds - QUIET_END:
        kind = generator.choice(kinds)
        target = generator.randrange(1 << 16)
        faults.append(ScheduledFault(at, generator.uniform(0.3, 4.0), kind, target))
        if generator.random() < SECOND_FAULT_CHANCE:
            kind = generator.choice(kinds)
            second_at = at + generator.choice((0.0, 0.01, 0.05, 0.2))
            duration = generator.uniform(0.3, 3.0)
            faults.append(ScheduledFault(second_at, duration, kind, generator.randrange(1 << 16)))
        at += generator.uniform(0.3, 1.5)
    return tuple(sorted(faults, key=lambda fault: fault.at))


def draw_scenario(
    seed: int, seconds: float = 20.0, routers: int = 6, caches: int = 6, rate: float = 20.0
) -> Scenario:
    """The scenario of a seed."""
    generator = random.Random(seed)
    faults = _draw_faults(generator, seconds)
    system_call_faults = {number: _draw_system_call_faults(generator, seconds) for number in range(routers)}
    return Scenario(seed, routers, caches, seconds, rate, faults, system_call_faults)
