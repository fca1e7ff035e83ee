"""The router's real core, with a clock, sockets and a random source that the model controls."""

from __future__ import annotations

import math
from typing import Any

from edge_router.decision.messages import Action, AttemptEnded, Event, StartAttempt
from edge_router.model_checker.model.endpoints import Endpoints
from edge_router.model_checker.model_settings import CLASSES, model_settings
from edge_router.model_checker.peers import CacheChannel
from edge_router.model_checker.properties import Observer
from edge_router.model_checker.scope import Scope
from edge_router.proxy.connection_pool import connection_limit
from edge_router.proxy.fastcgi_frontend import FastCgiFrontend
from edge_router.proxy.request_router import RequestRouter
from edge_router.proxy.upstream_connections import UpstreamConnection
from edge_router.runtime import event_log
from edge_router.runtime.clock import Clock
from edge_router.runtime.cpu_credit import CpuCredit
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.runtime.timers import Timers

START = 1_000_000.0  # the Unix second at which every run begins
# `wait` advances the clock this many seconds beyond the next due time, so that timers of equal times are due
# together.
CLOCK_STEP = 1e-7
SHUTDOWN_GRACE = 0.5  # seconds from SIGTERM until all open requests are ended
MEMORY = 1e6  # bytes, limit of the memory budget
SOCKETS = 48  # limit on open sockets
ROUTER_ID = 7


class MiddleRandom:
    """A random source that always returns the middle of the range, so that randomness adds no states."""

    def random(self) -> float:
        """Returns the middle between 0 and 1."""
        return 0.5

    def uniform(self, least: float, most: float) -> float:
        """Returns the middle of the range."""
        return (least + most) / 2


class FixedCredit(CpuCredit):
    """A CPU credit that the model sets."""

    def __init__(self) -> None:
        self.saved = 0.0  # below 0 the router is over its share

    def set_share(self, cores: float) -> None:
        """Has no effect: in the model the credit does not depend on the number of cores."""

    def remaining(self) -> float:
        """Returns the credit that was set."""
        return self.saved


class Harness:
    """Runs one router core, and is the `ChannelObserver` of its connections to caches."""

    def __init__(self, scope: Scope, endpoints: Endpoints) -> None:
        self._endpoints = endpoints
        self.observer = Observer(CLASSES, scope.attempts)
        self.activate()
        self.monotonic_now = START  # seconds
        self.clock = Clock(self._seconds, self._seconds)
        self.timers = Timers(self.clock, self._seconds)
        self.budget = MemoryBudget()
        self.budget.limit = MEMORY
        self.settings = model_settings(scope.attempts, scope.cancel)
        self.cpu = FixedCredit()
        self.channels: list[CacheChannel] = []  # connections whose end the router has not been notified of
        self.router = RequestRouter(
            self.settings, ROUTER_ID, self.clock, self.timers, self.budget, 0.0, self._connect
        )
        self.router.admission.cpu_credit = self.cpu
        for owner in (self.router.admission, self.router._policy):
            setattr(owner, "_random", MiddleRandom())  # noqa: B010
        setattr(self.router._policy, "handle", ObservedHandler(self))  # noqa: B010
        self.router.dispatcher.pool.max_connections = connection_limit(SOCKETS)
        self.frontend = FastCgiFrontend(self.settings, self.router)
        self.frontend.ready = True
        # Monotonic seconds at which all open requests are ended after SIGTERM; infinite before it.
        self.shutdown_deadline = math.inf
        self.expired = False  # `shutdown_deadline` has passed, and all open requests were ended

    def _seconds(self) -> float:
        return self.monotonic_now

    @property
    def now(self) -> float:
        """The present in Unix milliseconds."""
        return self.monotonic_now * 1000.0

    def activate(self) -> None:
        """Makes this the harness that receives log lines; the process may hold several copies of it."""
        global _active
        _active = self
        event_log.set_sink(_on_log_line)

    def _connect(self, connection: Any, address: tuple[str, int], timeout: float) -> CacheChannel:
        assert isinstance(connection, UpstreamConnection)
        listening_endpoint_id = self._endpoints.listeners.get(address[1], 0)
        channel = CacheChannel(
            self, connection, self.clock.now, listening_endpoint_id, self.monotonic_now + timeout
        )
        self.channels.append(channel)
        return channel

    def record_violation(self, property_name: str, detail: str) -> None:
        """Records a violation of the property of that name."""
        self.observer.record_violation(property_name, detail)

    def fetch_started(self, channel: CacheChannel, request_id: str, fields: dict[str, str]) -> None:
        """Checks and records a fetch whose first byte is written."""
        if request_id in channel.pending_ids:
            class_name, name = self.observer.requests[request_id].class_name, self.channel_name(channel)
            self.record_violation("one-id", f"the id of {class_name} is already open on {name}")
        number = self._attempt_number(channel, request_id)
        source = int(fields["from"].removeprefix("s-"), 16) if "from" in fields else None
        channel.attempt_numbers[request_id] = number
        self.observer.first_byte_sent(request_id, number, channel.connection.endpoint_id, source, self.now)

    def _attempt_number(self, channel: CacheChannel, request_id: str) -> int:
        """Returns the number of the request's attempt on that connection; -1 if the router has none."""
        for attempt, connection in self.router.dispatcher._connection_of.items():
            if connection.channel is channel and attempt.request.incoming.request_id == request_id:
                return attempt.index
        return -1

    def request_id_of(self, request_number: int) -> str | None:
        """Returns the id of an open request; None for one that has ended."""
        request = self.router.requests.get(request_number)
        return request.incoming.request_id if request is not None else None

    def on_log_line(self, event: str, fields: dict[str, object]) -> None:
        """Records a violation if the core has logged an internal error or a backstop timeout."""
        if event == "internal-error":
            self.record_violation("no-slip", f"{fields.get('location')}: {fields.get('error')}")
        elif event == "backstop-timeout" and not self.expired:
            self.record_violation("decided", f"request {fields.get('request')} was left to the backstop")

    def channel_name(self, channel: CacheChannel) -> str:
        """Returns the name of a connection, such as `c1.0`: its endpoint, and its index among those to it."""
        endpoint_id = channel.connection.endpoint_id
        same = [other for other in self.channels if other.connection.endpoint_id == endpoint_id]
        return f"{self._endpoints.name_of(endpoint_id)}.{same.index(channel)}"

    def channel(self, name: str) -> CacheChannel:
        """Returns the connection of that name; raises StopIteration if there is none."""
        return next(channel for channel in self.channels if self.channel_name(channel) == name)

    def remove_channel(self, name: str) -> CacheChannel:
        """Removes a connection that ends from the list, and returns it."""
        channel = self.channel(name)
        self.channels.remove(channel)
        return channel

    def wait(self) -> None:
        """Advances the clock to the next time at which something is due."""
        self.monotonic_now = max(self.monotonic_now, self._next_time()) + CLOCK_STEP

    def _next_time(self) -> float:
        times = [self.timers.next_due(), self.shutdown_deadline if not self.expired else math.inf]
        times += [
            channel.connect_deadline
            for channel in self.channels
            if not channel.connected and not channel.closed
        ]
        return min(times)

    def run_timers(self) -> None:
        """Runs the timers that are due."""
        self.timers.run_due()

    def decide(self) -> None:
        """Lets the core decide the requests that wait for it."""
        self.router.run_decisions()

    def idle(self) -> bool:
        """Whether no request, connection, decision or timer is pending, except the sweep of connections."""
        timers_set = any(
            timer.callback is not None and getattr(timer.callback, "__name__", "") != "_sweep"
            for _, _, timer in self.timers._heap
        )
        stopping = self.shutdown_deadline < math.inf and not self.expired
        return not (
            timers_set or len(self.router.requests) or self.channels or self.router._undecided or stopping
        )

    def terminate(self) -> None:
        """Applies the time limits of a shutdown, as the router does on SIGTERM."""
        self.shutdown_deadline = self.monotonic_now + SHUTDOWN_GRACE
        self.router.admission.latest_deadline = self.now + SHUTDOWN_GRACE * 1000.0

    def expire(self) -> None:
        """Ends all open requests, as the time that SIGTERM left is over."""
        self.expired = True
        self.router.expire_all()

    def limits_lowered(self) -> bool:
        """Whether any of the router's limits is lower than at the start."""
        return (
            self.budget.limit < MEMORY
            or self.router.dispatcher.pool.max_connections < connection_limit(SOCKETS)
            or self.cpu.saved < 0
        )

    def restore_limits(self) -> None:
        """Restores all limits to what they were at the start."""
        self.budget.limit = MEMORY
        self.router.dispatcher.pool.max_connections = connection_limit(SOCKETS)
        self.cpu.saved = 0.0

    def exhaust_memory(self) -> None:
        """Sets the memory budget to 0."""
        self.budget.limit = 0.0

    def exhaust_cpu(self) -> None:
        """Sets the CPU credit so that the router is over its share."""
        self.cpu.saved = -1.0

    def limit_connections_to_present(self) -> None:
        """Allows no more connections to caches than are open now."""
        self.limit_connections(self.router.dispatcher.pool.connection_count())

    def limit_connections(self, max_connections: int) -> None:
        """Limits the number of connections to caches."""
        self.router.dispatcher.pool.max_connections = max_connections


_active: Harness | None = None


def _on_log_line(event: str, fields: dict[str, object]) -> None:
    if _active is not None:
        _active.on_log_line(event, fields)


class ObservedHandler:
    """Replaces the policy's `handle`, and notifies the observer of starts and ends of attempts."""

    def __init__(self, harness: Harness) -> None:
        self._harness = harness
        self._policy = harness.router._policy

    def __call__(self, now: float, event: Event) -> list[Action]:
        """Handles an event at `now` (Unix milliseconds) and returns the actions."""
        harness = self._harness
        if isinstance(event, AttemptEnded) and (request_id := harness.request_id_of(event.request_number)):
            harness.observer.attempt_ended(request_id, event.attempt_index, event.outcome)
        actions = type(self._policy).handle(self._policy, now, event)
        for action in actions:
            if isinstance(action, StartAttempt) and (
                request_id := harness.request_id_of(action.request_number)
            ):
                harness.observer.attempt_started(request_id)
        return actions
