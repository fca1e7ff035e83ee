"""The scenario of one run, drawn from a seed: settings, fleet size, request rate and scheduled faults."""

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
FAULT_FREE_END = 4.0  # seconds at the end of the traffic in which no fault starts
CLIENT_BANDWIDTH_KB = 4000.0  # KB/s of one transfer, as stated in the settings
SECOND_FAULT_CHANCE = 0.4  # probability that a second fault starts at about the same time as a fault


class FaultKind(StrEnum):
    """Faults in the routers' environment; the values are their names in the report."""

    HANG = "hang"  # a cache accepts requests and answers none of them
    PAUSE = "pause"  # a cache process is stopped (SIGSTOP) and continues later
    KILL = "kill"  # a cache process is killed and restarts with no copies
    RESET = "reset"  # the proxy resets connections to a cache
    PARTITION = "partition"  # the proxy forwards nothing to and from a cache
    SLOW_LINK = "slow-link"  # the proxy forwards bytes in small pieces, with pauses
    SLOW_CONNECT = "slow-connect"  # the proxy accepts connections but starts to forward only later
    ERROR_RESPONSES = "error-responses"  # a cache answers some requests with status 500 or 503 (overloaded)
    CORRUPT_RESPONSES = "corrupt-responses"  # a cache's answers are malformed, sent twice, or cut short
    RESET_IDLE = "reset-idle"  # a cache resets its idle connections
    DRAIN = "drain"  # the change log announces a cache as draining, then as removed, then as ready
    PURGE = "purge"  # an object or a purge group is purged
    SILENT_LOG = "silent-log"  # the change log sends nothing on its connections
    RESET_LOG = "reset-log"  # the change log closes its connections
    SLOW_LOG = "slow-log"  # the change log closes its connections, then takes seconds to send a list
    MOVED_LOG = "moved-log"  # the change log moves to another address (new configuration and SIGHUP)
    RELOADS = "reloads"  # several such moves in quick succession; the last one returns to the first address
    RESTART = "restart"  # a router gets SIGTERM and restarts
    CRASH = "crash"  # a router gets SIGKILL and restarts
    BURST = "burst"  # a router's clients send several times their usual rate
    BAD_CLIENTS = "bad-clients"  # clients send random bytes, incomplete requests, overlong bodies or nothing
    ROUTER_PAUSE = "router-pause"  # a router process is stopped (SIGSTOP) for some hundred milliseconds


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault: its start (seconds after the start of the traffic), its duration in seconds and its target.

    `target` modulo the number of caches or routers is the index of the affected one.
    """

    at: float
    duration: float
    kind: FaultKind
    target: int

    def text(self) -> str:
        """Returns the line for the report."""
        return f"{self.at:6.2f} s  {self.kind:<17} target {self.target} for {self.duration:.2f} s"


@dataclass(frozen=True, slots=True)
class Scenario:
    """All parameters of one run, as drawn from a seed."""

    seed: int
    routers: int
    caches: int
    seconds: float
    rate: float  # mean requests per second at each router
    faults: tuple[ScheduledFault, ...]
    # By number of the router; the times are seconds after the start of the traffic.
    system_call_faults: dict[int, tuple[SystemCallFault, ...]] = field(default_factory=dict)

    def settings(self) -> dict[str, Any]:
        """Returns the section `settings` of the routers' configuration file."""
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
_BEYOND_RUN = 1e6  # seconds; longer than any run


def _draw_system_call_faults(generator: random.Random, seconds: float) -> tuple[SystemCallFault, ...]:
    """Draws the system call faults of one router: calls that fail for a short time, perhaps a clock step."""
    faults = []
    for _ in range(generator.randint(0, 3)):
        call, error = generator.choice(_FAILING_CALLS)
        start = generator.uniform(FIRST_FAULT_AT, seconds - 2.0)
        breaks_connections = error in ("EHOSTUNREACH", "ETIMEDOUT") and call is not SystemCall.CONNECT
        duration, chance = (0.3, 0.05) if breaks_connections else (generator.uniform(0.05, 1.0), 0.5)
        faults.append(SystemCallFault(call, error, start, start + duration, chance))
    if generator.random() < 0.5:
        start = generator.uniform(FIRST_FAULT_AT, seconds - 2.0)
        end = start + generator.choice((2.0, _BEYOND_RUN))
        step = generator.choice(_CLOCK_STEPS)
        faults.append(SystemCallFault(SystemCall.CLOCK, start=start, end=end, step=step))
    return tuple(faults)


def _draw_faults(generator: random.Random, seconds: float) -> tuple[ScheduledFault, ...]:
    """Draws about one fault per second, most of them long enough to overlap; some start together."""
    kinds = list(FaultKind)
    faults, at = [], FIRST_FAULT_AT
    while at < seconds - FAULT_FREE_END:
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
    """Draws the scenario of a seed; the same arguments always give the same scenario."""
    generator = random.Random(seed)
    faults = _draw_faults(generator, seconds)
    system_call_faults = {number: _draw_system_call_faults(generator, seconds) for number in range(routers)}
    return Scenario(seed, routers, caches, seconds, rate, faults, system_call_faults)
