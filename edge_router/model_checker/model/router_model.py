"""The machine that the search explores: the state of a router model, and its steps."""

from __future__ import annotations

from edge_router.model_checker.fingerprint import encode_state
from edge_router.model_checker.machine import Violation
from edge_router.model_checker.model import settling, steps
from edge_router.model_checker.model.state import ModelState
from edge_router.model_checker.scope import Scope

MAX_SETTLING_STEPS = 400  # default steps within which everything must be quiet
IMMEDIATE_STEPS = ("end", "decide")  # the router's turns that a coarse scope takes at once


class RouterModel:
    """One router and its modelled surroundings (see `machine.Machine`)."""

    def __init__(self, scope: Scope) -> None:
        self.state = ModelState.initial(scope)
        for step in scope.prefix:
            self.do(step)

    @property
    def now(self) -> float:
        """Unix milliseconds."""
        return self.state.harness.now

    @property
    def violations(self) -> list[Violation]:
        """The violations found so far."""
        return self.state.harness.observer.violations

    def enabled(self) -> list[str]:
        """All steps that may be taken now, always in the same order for the same state."""
        return steps.enabled_steps(self.state)

    def touches(self, step: str) -> frozenset[str] | None:
        """The parts of the state that a step reads or writes; None for perhaps all of them."""
        return steps.touched_parts(self.state, step)

    def do(self, step: str) -> None:
        """Takes a step, and in a coarse scope the router's own turns that follow at once."""
        self.state.harness.activate()
        steps.apply(self.state, step)
        while not self.state.scope.fine and (turn := self._immediate_turn()):
            steps.apply(self.state, turn)
        self._check()

    def _immediate_turn(self) -> str | None:
        turns = steps.router_steps(self.state)
        return next((turn for turn in turns if turn.startswith(IMMEDIATE_STEPS)), None)

    def _check(self) -> None:
        """Checks what must hold between any two steps."""
        state, harness = self.state, self.state.harness
        if not state.clients.session.stalled():
            harness.observer.check_overdue(harness.now)
        state.change_log.check_followed()
        for attempt in harness.router.dispatcher._connection_of:
            if attempt.request.answered and harness.settings.cancellation_allowed:
                class_name = attempt.request.incoming.class_name
                harness.record_violation("cancelled", f"attempt {attempt.index} of {class_name} stays out")
        state.caches.check_connections()

    def default(self) -> str | None:
        """The step by which a run goes on if no peer does anything; None when all is quiet."""
        turns = steps.router_steps(self.state)
        if turns:
            return turns[0]
        return None if self.state.harness.idle() else "wait"

    def settle(self) -> None:
        """Lets time pass with silent peers, then checks that all requests end and nothing is leaked."""
        session = self.state.clients.session
        if session.stalled() and not session.closing:
            self.do("unstall")
        for _ in range(MAX_SETTLING_STEPS):
            step = self.default()
            if step is None or self.violations:
                break
            self.do(step)
        else:
            self.state.harness.record_violation("ends", f"not quiet after {MAX_SETTLING_STEPS} steps")
        if not self.violations:
            settling.check_end(self.state)

    def encode(self) -> bytes:
        """The state in its canonical form."""
        return encode_state(self.state)
