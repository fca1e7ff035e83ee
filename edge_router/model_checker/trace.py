"""A counterexample: its steps in words, its file, its replay, and how it is made shorter."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, NamedTuple

from edge_router.model_checker import mutations
from edge_router.model_checker.machine import Machine, Violation
from edge_router.model_checker.model.harness import START
from edge_router.model_checker.model.router_model import RouterModel
from edge_router.model_checker.properties import PROPERTIES
from edge_router.model_checker.results import SETTLE, MachineFactory, Steps
from edge_router.model_checker.scope import ANSWERS, Scope

FORMAT = 1
_DESCRIPTIONS = {
    "ask": "client: request {0} ({cls}) comes in",
    "abort": "client: aborts request {0}",
    "retry": "client: asks again for request {0}",
    "leave": "client: the connection is closed",
    "stall": "client: accepts no bytes",
    "unstall": "client: reads again",
    "up": "{0}: the connection is up",
    "refuse": "{0}: the connection is refused",
    "never": "{0}: the connection will never come up",
    "lack": "{0}: no descriptor for the connection",
    "reset": "{0}: resets the connection",
    "hangup": "{0}: closes the connection",
    "choke0": "{0}: accepts no more bytes",
    "choke20": "{0}: accepts 20 more bytes",
    "flush": "{0}: accepts bytes again",
    "second": "{0}: answers request {1} a second time",
    "stray": "{0}: an answer with an unknown id",
    "spoil": "{0}: an answer to request {1} that can't be read",
    "half": "{0}: half an answer to request {1}, then a reset",
    "trickle": "{0}: half an answer to request {1}",
    "rest": "{0}: the rest of the answer",
    "drain": "list: {0} is draining",
    "gone": "list: {0} is gone",
    "replace": "list: {0} is gone, a new node has its address",
    "restart": "list: {0} has restarted",
    "back": "list: {0} is ready again",
    "join": "list: a new cache",
    "purge": "list: the object is purged",
    "purgeall": "list: the group is purged",
    "cut": "change log: the connection breaks",
    "mend": "change log: connected again, sends what was missed",
    "repeat": "change log: sends the last event again",
    "gap": "change log: the next event comes under a number too high",
    "term": "router: SIGTERM",
    "reload": "router: a new configuration allows one connection",
    "nomem": "router: the memory budget is used up",
    "nocpu": "router: over its share of CPU",
    "nolinks": "router: no descriptors for more connections",
    "relief": "router: the limits are as before",
    "wait": "time passes to the next alarm",
    "fire": "router: the alarms that are due are run",
    "decide": "router: decides what waits",
    "end": "router: notices the end of {0}",
    "notup": "router: gives up connecting {0}",
    "endsession": "router: ends the client connection",
    "expire": "router: ends all that is open",
    SETTLE: "all peers fall silent, and time passes until all is quiet",
}


class TracedStep(NamedTuple):
    """A step that was taken."""

    at: float  # ms since the start
    step: str
    text: str


@dataclass(frozen=True)
class Trace:
    """Steps that violate a property, and all that is needed to replay them."""

    scope: Scope
    steps: Steps
    property_name: str
    detail: str
    mutation: str = ""  # the planted fault; empty for the real code

    def to_json(self) -> str:
        """The text of the file, the same for the same trace."""
        table = {
            "format": FORMAT,
            "scope": asdict(self.scope),
            "seed": self.mutation,
            "steps": list(self.steps),
            "property": self.property_name,
            "why": self.detail,
        }
        return json.dumps(table, indent=1) + "\n"

    @classmethod
    def from_json(cls, text: str) -> Trace:
        """Reads the text of a file; raises ValueError if it is no trace."""
        try:
            table: dict[str, Any] = json.loads(text)
            if table["format"] != FORMAT:
                raise ValueError(f"format {table['format']}, not {FORMAT}")
            fields = {
                name: tuple(value) if isinstance(value, list) else value
                for name, value in table["scope"].items()
            }
            scope: Any = Scope
            return cls(
                scope(**fields),
                tuple(table["steps"]),
                str(table["property"]),
                str(table["why"]),
                str(table.get("seed", "")),
            )
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"no trace: {error!r}") from error

    @classmethod
    def read(cls, path: Path) -> Trace:
        """Reads a file; raises ValueError or OSError."""
        return cls.from_json(path.read_text())

    def factory(self) -> MachineFactory:
        """The factory of the model in which it was found, with its mutation planted."""
        return model_factory(self.scope, self.mutation)

    def replay(self) -> tuple[list[TracedStep], list[Violation]]:
        """Takes the steps again, as far as they are enabled; returns them and the violations in the end."""
        machine = self.factory()()
        assert isinstance(machine, RouterModel)
        taken = []
        for step in self.steps:
            if step != SETTLE and step not in machine.enabled():
                break
            taken.append(TracedStep(round(machine.now - START * 1000.0, 3), step, describe(machine, step)))
            if step == SETTLE:
                machine.settle()
            else:
                machine.do(step)
            if machine.violations:
                break
        return taken, machine.violations

    def report(self) -> str:
        """The steps and violations as text for a person on call."""
        taken, violations = self.replay()
        rule = PROPERTIES[self.property_name]
        lines = [f"{self.property_name}: {rule.rule} ({rule.source})"]
        if self.mutation:
            lines.append(f"with the seeded fault {self.mutation}")
        lines += [f"{step.at:9.1f} ms  {step.text}" for step in taken]
        lines += [
            f"           broken: {violation.property_name}: {violation.detail}" for violation in violations
        ]
        if not violations:
            lines.append("           nothing is broken")
        return "\n".join(lines)


def model_factory(scope: Scope, mutation: str = "") -> MachineFactory:
    """The factory of a model of the scope; plants the mutation in this process."""
    mutations.plant(mutation)

    def factory() -> Machine:
        return RouterModel(scope)

    return factory


def describe(model: RouterModel, step: str) -> str:
    """A step in words."""
    word, _, rest = step.partition(" ")
    args = rest.split()
    if word in ANSWERS:
        code, note = ANSWERS[word]
        return f"{args[0]}: answers request {args[1]} with {code}{f', {note}' if note else ''}"
    place = int(args[0]) if args and args[0].isdigit() else -1
    requests = model.state.clients.requests
    cls = requests[place].class_name if 0 <= place < len(requests) else ""
    return _DESCRIPTIONS.get(word, word).format(*args, cls=cls)


def shrink(factory: MachineFactory, steps: Steps, property_name: str) -> Steps:
    """The fewest steps found that violate the same property: parts are left out by halves, then one by one.

    After Zeller and Hildebrandt, "Simplifying and isolating failure-inducing input", 2002. Steps that are not
    enabled are skipped.
    """
    best = enabled_steps_to(factory, steps, property_name) or steps
    size = max(1, len(best) // 2)
    while size:
        start = 0
        while start < len(best):
            shorter = enabled_steps_to(factory, best[:start] + best[start + size :], property_name)
            if shorter is not None and len(shorter) < len(best):
                best = shorter
            else:
                start += size
        size //= 2
    return best


def enabled_steps_to(factory: MachineFactory, steps: Steps, property_name: str) -> Steps | None:
    """Takes those of the steps that are enabled; the ones up to a violation of the property, or None."""
    machine = factory()
    taken: list[str] = []
    for step in steps:
        if step != SETTLE and step not in machine.enabled():
            continue
        taken.append(step)
        if step == SETTLE:
            machine.settle()
        else:
            machine.do(step)
        if machine.violations:
            return tuple(taken) if machine.violations[0].property_name == property_name else None
    return None
