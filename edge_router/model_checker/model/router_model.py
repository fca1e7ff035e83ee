"""The machine that the search explores: the state of a router model, and its steps."""

from __future__ import annotations

from edge_router.model_checker.fingerprint import encode_state
from edge_router.model_checker.machine import Violation
from edge_router.model_checker.model import settling, steps
from edge_router.model_checker.model.state import ModelState
from edge_router.model_checker.scope import Scope

MAX_SETTLING_STEPS = 400  # maximum number of steps, as returned by `default`, that `settle` takes
# Prefixes of the router's steps that are taken at once, unless the scope is `fine`; `end` also matches
# `endsession`.
IMMEDIATE_STEPS = ("end", "decide")


class RouterModel:
    """One router in its modelled environment (implements `machine.Machine`)."""

    def __init__(self, scope: Scope) -> None:
        self.state = ModelState.initial(scope)
        for step in scope.prefix:
            self.do(step)

    @property
    def now(self) -> float:
        """The present in Unix milliseconds."""
        return self.state.harness.now

    @property
    def violations(self) -> list[Violation]:
        """The violations found so far."""
        return self.state.harness.observer.violations

    def enabled(self) -> list[str]:
        """Returns all steps that may be taken now, always in the same order for the same state."""
        return steps.enabled_steps(self.state)

    def touches(self, step: str) -> frozenset[str] | None:
        """Returns the parts of the state that a step reads or writes; None if it may touch all of them."""
        return steps.touched_parts(self.state, step)

    def do(self, step: str) -> None:
        """Takes a step, and unless the scope is `fine` the immediate steps of the router that follow."""
        self.state.harness.activate()
        steps.apply(self.state, step)
        while not self.state.scope.fine and (following := self._immediate_step()):
            steps.apply(self.state, following)
        self._check()

    def _immediate_step(self) -> str | None:
        router_steps = steps.router_steps(self.state)
        return next((step for step in router_steps if step.startswith(IMMEDIATE_STEPS)), None)

    def _check(self) -> None:
        """Checks the properties that must hold between any two steps."""
        state, harness = self.state, self.state.harness
        if not state.clients.session.stalled():
            harness.observer.check_overdue(harness.now)
        state.change_log.check_followed()
        for attempt in harness.router.dispatcher._connection_of:
            if attempt.request.answered and harness.settings.cancellation_allowed:
                class_name = attempt.request.incoming.class_name
                harness.record_violation(
                    "cancelled",
                    f"attempt {attempt.index} of {class_name} is in flight after the final answer",
                )
        state.caches.check_connections()

    def default(self) -> str | None:
        """Returns the step that is taken if no peer does anything; None when nothing is pending."""
        router_steps = steps.router_steps(self.state)
        if router_steps:
            return router_steps[0]
        return None if self.state.harness.idle() else "wait"

    def settle(self) -> None:
        """Takes default steps, then checks that all requests have ended and nothing is leaked."""
        session = self.state.clients.session
        if session.stalled() and not session.closing:
            self.do("unstall")
        for _ in range(MAX_SETTLING_STEPS):
            step = self.default()
            if step is None or self.violations:
                break
            self.do(step)
        else:
            self.state.harness.record_violation(
                "ends", f"something is pending after {MAX_SETTLING_STEPS} default steps"
            )
        if not self.violations:
            settling.check_end(self.state)

    def encode(self) -> bytes:
        """Returns the state in its canonical form."""
        return encode_state(self.state)
