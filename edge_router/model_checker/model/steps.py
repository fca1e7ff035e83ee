"""The steps of the router model: which may be taken, what each does, and which parts of the state it touches.

A step is a string: a word, then its arguments, separated by spaces. Arguments are the name of a connection
(`c1.0`) or an endpoint (`c1`), and the index of a request in the scope.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from edge_router.decision.messages import EndpointState
from edge_router.model_checker.model.clients import request_id_at
from edge_router.model_checker.model.state import ModelState
from edge_router.model_checker.scope import ALL_FAULTS, ANSWERS, NORMAL_ANSWERS

DIGITS = "0123456789"

# Steps without arguments, by word.
ACTIONS: dict[str, Callable[[ModelState], None]] = {
    "wait": lambda state: state.harness.wait(),
    "fire": lambda state: state.harness.run_timers(),
    "decide": lambda state: state.harness.decide(),
    "expire": lambda state: state.harness.expire(),
    "endsession": lambda state: state.clients.end_session(),
    "leave": lambda state: state.clients.disconnect(),
    "stall": lambda state: state.clients.stall(),
    "unstall": lambda state: state.clients.unstall(),
    "join": lambda state: state.change_log.join(),
    "purge": lambda state: state.change_log.purge(state.clients.purged_object()),
    "purgeall": lambda state: state.change_log.purge_group(),
    "cut": lambda state: state.change_log.cut(),
    "mend": lambda state: state.change_log.reconnect(),
    "repeat": lambda state: state.change_log.repeat(),
    "gap": lambda state: state.change_log.skip(),
    "term": lambda state: state.harness.terminate(),
    "reload": lambda state: state.harness.limit_connections(1),
    "nomem": lambda state: state.harness.exhaust_memory(),
    "nocpu": lambda state: state.harness.exhaust_cpu(),
    "nolinks": lambda state: state.harness.limit_connections_to_present(),
    "relief": lambda state: state.harness.restore_limits(),
}
# Steps of a client, by word; the argument is the index of the request.
REQUEST_ACTIONS: dict[str, Callable[[ModelState, int], None]] = {
    "ask": lambda state, index: state.clients.send_request(index),
    "abort": lambda state, index: state.clients.abort(index),
    "retry": lambda state, index: state.clients.retry(index),
}
# Steps of a connection or an endpoint, by word; the argument is its name.
TARGET_ACTIONS: dict[str, Callable[[ModelState, str], None]] = {
    "end": lambda state, name: state.caches.end(name),
    "notup": lambda state, name: state.caches.give_up_connecting(name),
    "up": lambda state, name: state.caches.establish(name),
    "refuse": lambda state, name: state.caches.refuse(name),
    "never": lambda state, name: state.caches.never_establish(name),
    "lack": lambda state, name: state.caches.run_out_of_descriptors(name),
    "flush": lambda state, name: state.caches.lift_write_limit(name),
    "reset": lambda state, name: state.caches.reset(name),
    "hangup": lambda state, name: state.caches.hang_up(name),
    "stray": lambda state, name: state.caches.answer_unknown(name),
    "rest": lambda state, name: state.caches.answer_rest(name),
    "drain": lambda state, name: state.change_log.drain(name),
    "back": lambda state, name: state.change_log.undrain(name),
    "gone": lambda state, name: state.change_log.remove(name),
    "restart": lambda state, name: state.change_log.restart(name),
    "replace": lambda state, name: state.change_log.replace(name),
}
# Faulty responses, by word; the arguments are the name of the connection and the index of the request.
ANSWER_ACTIONS: dict[str, Callable[[ModelState, str, int], None]] = {
    "second": lambda state, name, index: state.caches.answer_again(name, index),
    "spoil": lambda state, name, index: state.caches.answer_unreadable(name, index),
    "half": lambda state, name, index: state.caches.answer_half_and_reset(name, index),
    "trickle": lambda state, name, index: state.caches.answer_half(name, index),
}

# By word: the only part that the step touches. These steps never reach the decision module.
PARTS = {"stall": "client", "cut": "log", "gap": "log", "nocpu": "cpu", "nomem": "budget", "reload": "limit"}


def split(step: str) -> tuple[str, list[str]]:
    """Splits a step into its word and its arguments."""
    word, *arguments = step.split()
    return word, arguments


def apply(state: ModelState, step: str) -> None:
    """Carries out one step, and counts it if it is a fault."""
    word, arguments = split(step)
    if word in ANSWERS:
        state.faults -= word not in NORMAL_ANSWERS
        state.caches.answer(word, arguments[0], int(arguments[1]))
        return
    kind = word.rstrip(DIGITS)
    if kind in ALL_FAULTS:
        state.faults -= 1
    if kind == "choke":
        state.caches.limit_writes(arguments[0], int(word.removeprefix(kind)))
    elif word in ACTIONS:
        ACTIONS[word](state)
    elif word in REQUEST_ACTIONS:
        REQUEST_ACTIONS[word](state, int(arguments[0]))
    elif word in TARGET_ACTIONS:
        TARGET_ACTIONS[word](state, arguments[0])
    else:
        ANSWER_ACTIONS[word](state, arguments[0], int(arguments[1]))


def router_steps(state: ModelState) -> list[str]:
    """Returns the steps of the router itself that are taken before any time passes."""
    harness, session = state.harness, state.clients.session
    steps = state.caches.router_steps()
    if session.closing and not session.finished:
        steps.append("endsession")
    if harness.router._undecided:
        steps.append("decide")
    if harness.timers.next_due() <= harness.monotonic_now:
        steps.append("fire")
    if harness.monotonic_now >= harness.shutdown_deadline and not harness.expired:
        steps.append("expire")
    return steps


def enabled_steps(state: ModelState) -> list[str]:
    """Returns all steps that may be taken now, always in the same order for the same state."""
    fault_allowed = state.faults > 0
    steps = router_steps(state)
    if not steps and not state.harness.idle():
        steps.append("wait")
    steps += state.clients.enabled(fault_allowed)
    for channel in state.harness.channels:
        steps += state.caches.enabled(channel, fault_allowed)
    if fault_allowed:
        steps += _endpoint_faults(state)
        steps += _change_log_faults(state)
        steps += state.clients.connection_faults()
        steps += _limit_faults(state)
    steps += _recoveries(state)
    return steps


def _endpoint_faults(state: ModelState) -> list[str]:
    steps = []
    kinds = state.scope.kinds
    for name in state.scope.targets:
        if name not in state.endpoints.ids:
            continue
        endpoint_state = state.endpoints.state_of(name)
        if endpoint_state is EndpointState.READY:
            possible: tuple[str, ...] = ("drain", "gone", "replace", "restart")
        elif endpoint_state is EndpointState.DRAINING:
            possible = ("gone", "back")
        else:
            possible = ()
        steps += [f"{kind} {name}" for kind in possible if kind in kinds]
    return steps


def _change_log_faults(state: ModelState) -> list[str]:
    possible = ["join"]
    if state.change_log.connected:
        possible += ["cut", "repeat"]
        if not state.change_log.skips_sequence:
            possible.append("gap")
    possible += ["purge", "purgeall"]
    return [kind for kind in possible if kind in state.scope.kinds]


def _limit_faults(state: ModelState) -> list[str]:
    possible = ["term"] if state.harness.shutdown_deadline == math.inf else []
    possible += ["reload", "nomem", "nocpu", "nolinks"]
    return [kind for kind in possible if kind in state.scope.kinds]


def _recoveries(state: ModelState) -> list[str]:
    steps, session = [], state.clients.session
    if not state.change_log.connected:
        steps.append("mend")
    if state.scope.relief and state.harness.limits_lowered():
        steps.append("relief")
    if session.stalled() and not session.closing:
        steps.append("unstall")
    return steps


def touched_parts(state: ModelState, step: str) -> frozenset[str] | None:
    """Returns the parts that a step touches: the name of a connection to a cache, or a value of `PARTS`.

    None stands for a step that is not confined to one part, or that may reach the decision module, which
    depends on everything. When only one fault may still be injected, each fault disables all others, so all
    faults that are confined to one part also touch the part `faults`.
    """
    word, arguments = split(step)
    kind = word.rstrip(DIGITS)
    part = _touched_channel(state, kind, arguments) or PARTS.get(kind)
    if part is None:
        return None
    if kind in ALL_FAULTS and state.faults < 2:
        return frozenset((part, "faults"))
    return frozenset((part,))


def _touched_channel(state: ModelState, kind: str, arguments: list[str]) -> str | None:
    """Returns the name of the connection that is all that a step touches; None if it touches more."""
    if kind in ("up", "flush"):
        confined = state.caches.commands_will_be_sent(state.harness.channel(arguments[0]))
    elif kind in ("choke", "never", "stray"):
        confined = True
    elif kind in ("reset", "hangup"):
        confined = state.scope.fine  # the router notices in the separate step `end`
    elif kind == "second":
        request_id = request_id_at(int(arguments[1]))
        confined = request_id not in state.harness.channel(arguments[0]).connection.attempts
    else:
        confined = False
    return arguments[0] if confined else None
