"""Counterexamples: their files, their replay, their steps in words, and how they are shortened."""

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

FORMAT = 1  # of the file of a trace
_DESCRIPTIONS = {
    "ask": "client: sends request {0} ({cls})",
    "abort": "client: aborts request {0}",
    "retry": "client: sends request {0} again, under a new id",
    "leave": "client: closes the connection",
    "stall": "client: stops reading",
    "unstall": "client: resumes reading",
    "up": "{0}: the connection is established",
    "refuse": "{0}: refuses the connection",
    "never": "{0}: the connection will never be established",
    "lack": "{0}: the router has no descriptor for the connection",
    "reset": "{0}: resets the connection",
    "hangup": "{0}: closes the connection",
    "choke0": "{0}: accepts no more bytes",
    "choke20": "{0}: accepts 20 more bytes",
    "flush": "{0}: accepts bytes again",
    "second": "{0}: answers request {1} a second time",
    "stray": "{0}: sends an answer with an unknown request id",
    "spoil": "{0}: sends an answer to request {1} that can't be decoded",
    "half": "{0}: sends half of an answer to request {1}, then resets the connection",
    "trickle": "{0}: sends half of an answer to request {1}",
    "rest": "{0}: sends the rest of the answer",
    "drain": "change log: {0} is draining",
    "gone": "change log: {0} is gone",
    "replace": "change log: {0} is gone, and a new node has its address",
    "restart": "change log: {0} has restarted",
    "back": "change log: {0} is ready again",
    "join": "change log: a new cache is added",
    "purge": "change log: the object is purged",
    "purgeall": "change log: the group is purged",
    "cut": "change log: the connection breaks",
    "mend": "change log: the connection is restored, and missed events are sent",
    "repeat": "change log: sends the last event again",
    "gap": "change log: the next event will have a sequence number that is one too high",
    "term": "router: SIGTERM",
    "reload": "router: a new configuration allows one connection",
    "nomem": "router: the memory budget is used up",
    "nocpu": "router: has used more than its share of CPU",
    "nolinks": "router: has no descriptors for more connections",
    "relief": "router: the limits are restored",
    "wait": "time passes until the next timer is due",
    "fire": "router: runs the timers that are due",
    "decide": "router: decides waiting requests",
    "end": "router: notices the end of {0}",
    "notup": "router: gives up connecting to {0}",
    "endsession": "router: ends the client connection",
    "expire": "router: ends all open requests",
    SETTLE: "all peers do nothing more, and time passes until nothing is left to do",
}


class TracedStep(NamedTuple):
    """A step that was taken in a replay."""

    at: float  # ms since the start
    step: str
    text: str


@dataclass(frozen=True)
class Trace:
    """Steps that violate a property, and what is needed to replay them."""

    scope: Scope
    steps: Steps
    property_name: str
    detail: str
    mutation: str = ""  # its name; empty for the real code

    def to_json(self) -> str:
        """Returns the text of the file, which is the same for equal traces."""
        table = {
            "format": FORMAT,
            "scope": asdict(self.scope),
            "seed": self.mutation,  # the key of the file format for a mutation
            "steps": list(self.steps),
            "property": self.property_name,
            "why": self.detail,
        }
        return json.dumps(table, indent=1) + "\n"

    @classmethod
    def from_json(cls, text: str) -> Trace:
        """Reads the text of a file; raises ValueError if it is not a trace."""
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
            raise ValueError(f"not a trace: {error!r}") from error

    @classmethod
    def read(cls, path: Path) -> Trace:
        """Reads a file; raises ValueError if it is not a trace, and OSError if it can't be read."""
        return cls.from_json(path.read_text())

    def factory(self) -> MachineFactory:
        """The factory of the model that violates the property; plants the mutation in this process."""
        return model_factory(self.scope, self.mutation)

    def replay(self) -> tuple[list[TracedStep], list[Violation]]:
        """Takes the steps until one is not enabled or violates a property.

        Returns the steps that were taken, and the violations.
        """
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
        """Returns the property, the steps and the violations as text."""
        taken, violations = self.replay()
        rule = PROPERTIES[self.property_name]
        lines = [f"{self.property_name}: {rule.rule} ({rule.source})"]
        if self.mutation:
            lines.append(f"with the mutation {self.mutation}")
        lines += [f"{step.at:9.1f} ms  {step.text}" for step in taken]
        lines += [
            f"           broken: {violation.property_name}: {violation.detail}" for violation in violations
        ]
        if not violations:
            lines.append("           no property is violated")
        return "\n".join(lines)


def model_factory(scope: Scope, mutation: str = "") -> MachineFactory:
    """Returns the factory of a model of the scope, and plants the mutation in this process."""
    mutations.plant(mutation)

    def factory() -> Machine:
        return RouterModel(scope)

    return factory


def describe(model: RouterModel, step: str) -> str:
    """Describes a step in words."""
    word, _, rest = step.partition(" ")
    args = rest.split()
    if word in ANSWERS:
        status, note = ANSWERS[word]
        return f"{args[0]}: answers request {args[1]} with {status}{f', {note}' if note else ''}"
    index = int(args[0]) if args and args[0].isdigit() else -1
    requests = model.state.clients.requests
    cls = requests[index].class_name if 0 <= index < len(requests) else ""
    return _DESCRIPTIONS.get(word, word).format(*args, cls=cls)


def shrink(factory: MachineFactory, steps: Steps, property_name: str) -> Steps:
    """Returns fewer steps that violate the same property: leaves out halves, then smaller and smaller parts.

    Steps that are not enabled are skipped. The method is that of Zeller and Hildebrandt, "Simplifying and
    isolating failure-inducing input", 2002.
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
    """Takes the steps that are enabled, and returns them once they violate the property.

    Returns None if they violate another property first, or none.
    """
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
