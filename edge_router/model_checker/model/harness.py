"""The real router core, with a clock, sockets and a random source that the model controls."""

from __future__ import annotations

import math
from typing import Any

from edge_router.decision.messages import Action, AttemptEnded, Event, StartAttempt
from edge_router.model_checker import scope as bounds
from edge_router.model_checker.model.endpoints import Endpoints
from edge_router.model_checker.peers import ServerChannel
from edge_router.model_checker.properties import Observer
from edge_router.model_checker.scope import CLASSES, Scope
from edge_router.proxy.connection_pool import connection_limit
from edge_router.proxy.fastcgi_frontend import FastCgiFrontend
from edge_router.proxy.request_router import RequestRouter
from edge_router.proxy.upstream_connections import UpstreamConnection
from edge_router.runtime import event_log as ground_log
from edge_router.runtime.clock import Clock
from edge_router.runtime.cpu_credit import CpuCredit
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.runtime.timers import Timers

START = 1_000_000.0  # the Unix second at which every run begins
CLOCK_STEP = 1e-7  # seconds past an alarm's time to which a wait goes, so that equal times are one instant
SHUTDOWN_GRACE = 0.5  # seconds after SIGTERM at which all open requests are ended
MEMORY = 1e6  # bytes of the memory budget
SOCKETS = 48
ROUTER_ID = 7


class MiddleRandom:
    """A random source that gives the middle of every range, so that chance adds no states."""

    def random(self) -> float:
        """The middle of 0 and 1."""
        return 0.5

    def uniform(self, least: float, most: float) -> float:
        """The middle of a range."""
        return (least + most) / 2


class FixedCredit(CpuCredit):
    """CPU credit that the model sets."""

    def __init__(self) -> None:
        self.saved = 0.0

    def set_share(self, cores: float) -> None:
        """Has no effect: the credit does not depend on cores here."""

    def remaining(self) -> float:
        """The credit that was set."""
        return self.saved


class Harness:
    """One router core; it is the observer of its connections to caches."""

    def __init__(self, scope: Scope, endpoints: Endpoints) -> None:
        self._endpoints = endpoints
        self.observer = Observer(CLASSES, scope.attempts)
        self.activate()
        self.t = START  # seconds
        self.clock = Clock(self._seconds, self._seconds)
        self.timers = Timers(self.clock, self._seconds)
        self.budget = MemoryBudget()
        self.budget.limit = MEMORY
        self.settings = bounds.settings(scope.attempts, scope.cancel)
        self.cpu = FixedCredit()
        self.channels: list[ServerChannel] = []  # those whose end the router has not been notified of
        self.route = RequestRouter(
            self.settings, ROUTER_ID, self.clock, self.timers, self.budget, 0.0, self._connect
        )
        self.route.admission.cpu_credit = self.cpu
        for chooser in (self.route.admission, self.route._policy):
            setattr(chooser, "_random", MiddleRandom())  # noqa: B010
        setattr(self.route._policy, "handle", ObservedHandler(self))  # noqa: B010
        self.route.dispatcher.max_connections = connection_limit(SOCKETS)
        self.front = FastCgiFrontend(self.settings, self.route)
        self.front.ready = True
        self.term_at = math.inf  # the second at which all open requests are ended after SIGTERM
        self.expired = False

    def _seconds(self) -> float:
        return self.t

    @property
    def now(self) -> float:
        """Unix milliseconds."""
        return self.t * 1000.0

    def activate(self) -> None:
        """Makes this the core whose log lines are read; there may be several copies in the process."""
        global _active
        _active = self
        ground_log.set_sink(_on_log_line)

    # -- what the core calls, and what it reports --

    def _connect(self, owner: Any, address: tuple[str, int], patience: float) -> ServerChannel:
        assert isinstance(owner, UpstreamConnection)
        process = self._endpoints.processes.get(address[1], 0)
        channel = ServerChannel(self, owner, self.clock.now, process, self.t + patience)
        self.channels.append(channel)
        return channel

    def violated(self, prop: str, why: str) -> None:
        """Records a violation of the property of that name."""
        self.observer.violated(prop, why)

    def fetch_started(self, channel: ServerChannel, txn: str, fields: dict[str, str]) -> None:
        """The first byte of a fetch is written."""
        if txn in channel.asked:
            cls, name = self.observer.requests[txn].cls, self.channel_name(channel)
            self.violated("one-id", f"id of {cls} is open already on {name}")
        number = self._attempt_number(channel, txn)
        source = int(fields["from"].removeprefix("s-"), 16) if "from" in fields else None
        channel.numbers[txn] = number
        self.observer.first_byte_sent(txn, number, channel.link.endpoint_id, source, self.now)

    def _attempt_number(self, channel: ServerChannel, txn: str) -> int:
        """The number of the request's attempt on that connection; -1 if the router has none."""
        for attempt, link in self.route.dispatcher._connection_of.items():
            if link.channel is channel and attempt.request.incoming.request_id == txn:
                return attempt.index
        return -1

    def txn_of(self, req: int) -> str | None:
        """The id of an open request; None for one that is over."""
        request = self.route.requests.get(req)
        return request.incoming.request_id if request is not None else None

    def on_log_line(self, event: str, fields: dict[str, object]) -> None:
        """The core has logged an event."""
        if event == "internal-error":
            self.violated("no-slip", f"{fields.get('where')}: {fields.get('error')}")
        elif event == "backstop-timeout" and not self.expired:
            self.violated("decided", f"request {fields.get('req')} was left to the backstop")

    # -- connections to caches --

    def channel_name(self, channel: ServerChannel) -> str:
        """The node of a connection, and its place among the connections to that node."""
        node = channel.link.endpoint_id
        same = [other for other in self.channels if other.link.endpoint_id == node]
        return f"{self._endpoints.name_of(node)}.{same.index(channel)}"

    def channel(self, name: str) -> ServerChannel:
        """The connection of that name; raises StopIteration if there is none."""
        return next(channel for channel in self.channels if self.channel_name(channel) == name)

    def remove_channel(self, name: str) -> ServerChannel:
        """Takes a connection that ends out of the list."""
        channel = self.channel(name)
        self.channels.remove(channel)
        return channel

    # -- time --

    def wait(self) -> None:
        """Lets time pass to the next alarm."""
        self.t = max(self.t, self._next_time()) + CLOCK_STEP

    def _next_time(self) -> float:
        times = [self.timers.next_due(), self.term_at if not self.expired else math.inf]
        times += [channel.until for channel in self.channels if not channel.connected and not channel.closed]
        return min(times)

    def run_timers(self) -> None:
        """Runs the alarms that are due."""
        self.timers.run_due()

    def decide(self) -> None:
        """Lets the core decide the requests that wait for it."""
        self.route.run_decisions()

    def idle(self) -> bool:
        """Whether no request, connection, decision or alarm is pending, but for the sweep of connections."""
        alarms = any(
            alarm.callback is not None and getattr(alarm.callback, "__name__", "") != "_sweep"
            for _, _, alarm in self.timers._heap
        )
        stopping = self.term_at < math.inf and not self.expired
        return not (alarms or len(self.route.requests) or self.channels or self.route._undecided or stopping)

    # -- shutdown --

    def terminate(self) -> None:
        """The router receives SIGTERM."""
        self.term_at = self.t + SHUTDOWN_GRACE
        self.route.admission.latest_deadline = self.now + SHUTDOWN_GRACE * 1000.0

    def expire(self) -> None:
        """The time that SIGTERM left is over."""
        self.expired = True
        self.route.expire_all()

    # -- limits --

    def strained(self) -> bool:
        """Whether any of the router's limits is lower than at the start."""
        return (
            self.budget.limit < MEMORY
            or self.route.dispatcher.max_connections < connection_limit(SOCKETS)
            or self.cpu.saved < 0
        )

    def restore_limits(self) -> None:
        """Sets all limits as at the start."""
        self.budget.limit = MEMORY
        self.route.dispatcher.max_connections = connection_limit(SOCKETS)
        self.cpu.saved = 0.0

    def exhaust_memory(self) -> None:
        """Leaves nothing of the memory budget."""
        self.budget.limit = 0.0

    def exhaust_cpu(self) -> None:
        """Leaves the router over its share of CPU."""
        self.cpu.saved = -1.0

    def limit_links(self, most: int) -> None:
        """Allows so many connections to caches."""
        self.route.dispatcher.max_connections = most


_active: Harness | None = None


def _on_log_line(event: str, fields: dict[str, object]) -> None:
    if _active is not None:
        _active.on_log_line(event, fields)


class ObservedHandler:
    """The decision module's `handle`, with the observer notified of events and actions."""

    def __init__(self, harness: Harness) -> None:
        self._harness = harness
        self._director = harness.route._policy

    def __call__(self, now: float, event: Event) -> list[Action]:
        harness = self._harness
        if isinstance(event, AttemptEnded) and (txn := harness.txn_of(event.request_number)):
            harness.observer.attempt_ended(txn, event.attempt_index, event.outcome)
        actions = type(self._director).handle(self._director, now, event)
        for action in actions:
            if isinstance(action, StartAttempt) and (txn := harness.txn_of(action.request_number)):
                harness.observer.attempt_ordered(txn)
        return actions
