"""Mutations: small faults that are put into the loaded router to test the model checker itself.

Each mutation names a function of the router and a piece of its source text to replace. A model checker that
does not find all of them can't be trusted. There is one module of mutations for each area of the core.
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
    """Returns the mutation of that name; raises KeyError if there is none."""
    for mutation in MUTATIONS:
        if mutation.name == name:
            return mutation
    raise KeyError(name)


def plant(name: str) -> None:
    """Removes the present mutation, and applies another one unless the name is empty.

    Raises KeyError for an unknown name, and MutationError if the source no longer has the text to replace.
    """
    while _applied:
        _applied.pop().undo()
    if not name:
        return
    mutation = by_name(name)
    if mutation.also:
        _applied.append(apply(by_name(mutation.also)))
    _applied.append(apply(mutation))
