"""The type of a mutation, and the code that installs one in place of the original function."""

from __future__ import annotations

import inspect
import sys
import textwrap
from typing import Any, NamedTuple


class Mutation(NamedTuple):
    """A fault in one function of the router, and the scopes that are searched for a violation.

    Any violation counts as found; the tests also require the expected property.
    """

    name: str
    owner: Any  # the class or module that holds the function
    function: str
    old: str  # must occur exactly once in the source of the function
    new: str  # replaces `old`
    scopes: tuple[str, ...]  # searched in this order until one finds a violation; also `codecs`, `channel`
    breaks: str  # name of the property that it is expected to violate
    also: str = ""  # name of a second mutation that is needed to make the fault visible


class MutationError(Exception):
    """The text that a mutation replaces does not occur exactly once in its function."""

    def __init__(self, mutation: Mutation, occurrences: int) -> None:
        super().__init__(
            f"{mutation.name}: {mutation.old!r} occurs {occurrences} times in {mutation.function}"
        )
        self.mutation = mutation
        self.occurrences = occurrences


class Replacement(NamedTuple):
    """The original of a function that was replaced, kept so that it can be restored."""

    owner: Any
    function: str
    original: Any

    def undo(self) -> None:
        """Restores the original function."""
        setattr(self.owner, self.function, self.original)


def apply(mutation: Mutation) -> Replacement:
    """Compiles the mutated function and installs it in this process. The files on disk are not changed.

    Raises MutationError if `old` does not occur exactly once in the source of the function.
    """
    original = inspect.getattr_static(mutation.owner, mutation.function)
    function = original.__func__ if isinstance(original, (staticmethod, classmethod)) else original
    text = textwrap.dedent(inspect.getsource(function))
    occurrences = text.count(mutation.old)
    if occurrences != 1:
        raise MutationError(mutation, occurrences)
    code = compile(text.replace(mutation.old, mutation.new), f"<{mutation.name}>", "exec")
    namespace: dict[str, Any] = {}
    exec(code, vars(sys.modules[function.__module__]), namespace)
    setattr(mutation.owner, mutation.function, namespace[mutation.function])
    return Replacement(mutation.owner, mutation.function, original)
