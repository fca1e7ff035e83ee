"""Mutations: faults of one line that are put into the loaded router, to test the model checker itself.

Each names a function of the router and one piece of its text to replace. A model checker that does not find
all of them can't be trusted. Each area of the core keeps its mutations in a module of its own.
"""

from __future__ import annotations

from edge_router.model_checker.mutations.common import Mutation, MutationError, Replacement, apply
from edge_router.model_checker.mutations.decision import DECISION_MUTATIONS
from edge_router.model_checker.mutations.proxy import PROXY_MUTATIONS
from edge_router.model_checker.mutations.transport import TRANSPORT_MUTATIONS

__all__ = ["MUTATIONS", "Mutation", "MutationError", "by_name", "plant"]

MUTATIONS: tuple[Mutation, ...] = (*DECISION_MUTATIONS, *PROXY_MUTATIONS, *TRANSPORT_MUTATIONS)

_applied: list[Replacement] = []


def by_name(name: str) -> Mutation:
    """The mutation of that name; raises KeyError."""
    for mutation in MUTATIONS:
        if mutation.name == name:
            return mutation
    raise KeyError(name)


def plant(name: str) -> None:
    """Applies a mutation in place of the one before; an empty name restores the original code.

    Raises KeyError for an unknown name, and MutationError if the source has changed.
    """
    while _applied:
        _applied.pop().undo()
    if not name:
        return
    mutation = by_name(name)
    if mutation.also:
        _applied.append(apply(by_name(mutation.also)))
    _applied.append(apply(mutation))
