"""Three ways to restore a state: replaying its steps, `copy.deepcopy`, and pickling the whole machine.

Settings never change, so all copies share them; pickled copies also share the scope and the request parser.
"""

from __future__ import annotations

import copy
import copyreg
import functools
import io
import pickle
import pickletools
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from edge_router.decision.settings import ClassSettings, Settings
from edge_router.model_checker.machine import Machine
from edge_router.model_checker.scope import Scope
from edge_router.proxy.request_parser import RequestParser

_shared: list[object] = []
_shared_indexes: dict[int, int] = {}


def _share(value: object) -> tuple[Callable[[int], object], tuple[int]]:
    index = _shared_indexes.get(id(value))
    if index is None:
        index = _shared_indexes[id(value)] = len(_shared)
        _shared.append(value)
    return _shared_at, (index,)


def _shared_at(index: int) -> object:
    return _shared[index]


def _cached(method: Callable[..., Any], size: int) -> Any:
    return functools.lru_cache(size)(method)


_REDUCERS: dict[type, Callable[[Any], Any]] = {
    **copyreg.dispatch_table,
    Settings: _share,
    ClassSettings: _share,
    Scope: _share,
    RequestParser: _share,
    memoryview: lambda view: (memoryview, (bytes(view),)),
    type(functools.lru_cache(1)(len)): lambda cache: (
        _cached,
        (cache.__wrapped__, cache.cache_parameters()["maxsize"]),
    ),
}


_class_numbers: dict[tuple[str, str], int] = {}


def _number_classes(names: Iterable[tuple[str, str]]) -> None:
    """Registers a number for each class, by which pickles in this process refer to it.

    Looking up classes by name would take a quarter of the time of a copy. The numbers are valid only in this
    process. They stay registered for unpickling. `Pickle.capture` registers them for pickling, and only while
    it runs, so that all other pickles use class names that other processes can read.
    """
    for name in names:
        if name not in _class_numbers:
            _class_numbers[name] = 0x1000 + len(_class_numbers)
            copyreg._inverted_registry[_class_numbers[name]] = name  # type: ignore[attr-defined]


def _classes_named_in(data: bytes) -> Iterable[tuple[str, str]]:
    texts: list[str] = []
    memo: dict[int, str] = {}
    found = []
    for op, argument, _ in pickletools.genops(data):
        if "UNICODE" in op.name:
            texts.append(str(argument))
        elif op.name == "MEMOIZE":
            memo[len(memo)] = texts[-1] if texts else ""
        elif op.name in ("BINGET", "LONG_BINGET"):
            texts.append(memo.get(int(argument or 0), ""))
        elif op.name == "STACK_GLOBAL":
            found.append((texts[-2], texts[-1]))
    return found


class StateCopier(Protocol):
    """Captures a state, and restores it any number of times."""

    def capture(self, machine: Machine, steps: tuple[str, ...]) -> None:
        """Captures the state of the machine, which these steps have led to."""

    def restore(self) -> Machine:
        """A new machine in the captured state, which shares nothing that changes with the captured one."""


class Replay:
    """Restores a state by replaying all steps from the start."""

    def __init__(self, start: Callable[[], Machine]) -> None:
        self._start = start
        self._steps: tuple[str, ...] = ()

    def capture(self, machine: Machine, steps: tuple[str, ...]) -> None:
        """Stores the steps."""
        self._steps = steps

    def restore(self) -> Machine:
        """A new machine after the steps."""
        return run(self._start, self._steps)


class DeepCopy:
    """Restores a state by copying it object by object."""

    def __init__(self) -> None:
        self._copied: Machine | None = None

    def capture(self, machine: Machine, steps: tuple[str, ...]) -> None:
        """Stores a copy."""
        self._copied = self._copy(machine)

    @staticmethod
    def _copy(machine: Machine) -> Machine:
        dispatch = copy._deepcopy_dispatch  # type: ignore[attr-defined]
        extra = {
            Settings: lambda x, memo: x,
            ClassSettings: lambda x, memo: x,
            memoryview: lambda x, memo: memoryview(bytes(x)),
        }
        dispatch.update(extra)
        try:
            return copy.deepcopy(machine)
        finally:
            for cls in extra:
                dispatch.pop(cls, None)

    def restore(self) -> Machine:
        """A new copy of the stored copy."""
        assert self._copied is not None
        return self._copy(self._copied)


class Pickle:
    """Pickles the whole machine once, and unpickles it for each copy."""

    def __init__(self) -> None:
        self._data = b""

    def capture(self, machine: Machine, steps: tuple[str, ...]) -> None:
        """Pickles the machine."""
        out = io.BytesIO()
        pickler = pickle.Pickler(out, pickle.HIGHEST_PROTOCOL)
        pickler.dispatch_table = _REDUCERS
        copyreg._extension_registry.update(_class_numbers)  # type: ignore[attr-defined]
        try:
            pickler.dump(machine)
        finally:
            for name in _class_numbers:
                del copyreg._extension_registry[name]  # type: ignore[attr-defined]
        self._data = out.getvalue()
        if not _class_numbers:  # the first pickle shows which classes need numbers; pickle again with them
            _number_classes(_classes_named_in(self._data))
            self.capture(machine, steps)

    def restore(self) -> Machine:
        """A machine unpickled from the stored bytes."""
        machine: Machine = pickle.loads(self._data)
        return machine

    def __len__(self) -> int:
        return len(self._data)


def run(start: Callable[[], Machine], steps: tuple[str, ...]) -> Machine:
    """A new machine after these steps."""
    machine = start()
    for step in steps:
        machine.do(step)
    return machine
