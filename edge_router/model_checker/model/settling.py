"""The end of a run: peers fall silent, and everything that the router holds must be released."""

from __future__ import annotations

from edge_router.model_checker.model.state import ModelState


def check_end(state: ModelState) -> None:
    """Checks, in a quiet state, that every request has ended and that nothing is leaked."""
    for request in state.harness.observer.open_requests():
        state.harness.record_violation("ends", f"{request.class_name} is open, and nothing more will happen")
    for name, count in held_resources(state).items():
        if count:
            state.harness.record_violation("no-leak", f"{name}: {count} when all is quiet")


def held_resources(state: ModelState) -> dict[str, float]:
    """How much of each kind of resource the router holds; all are 0 in a quiet state."""
    router, policy, session = state.harness.router, state.harness.router._policy, state.clients.session
    loads = [*policy.loads.by_endpoint.values(), policy.loads.zone_link]
    session_ids = 0 if session.finished else len(session._decoder.open_ids)
    unsent_answers = 0 if session.finished else len(session._responses) + session._unsent_bytes
    attempts_out = sum(abs(load.in_flight) for load in loads)
    work_out = round(sum(abs(load.in_flight_work) for load in loads), 6)
    return {
        "open requests": len(router.requests),
        "request ids": len(router.requests._by_request_id),
        "connections": router.dispatcher.pool.connection_count(),
        "attempts on connections": len(router.dispatcher._connection_of),
        "bytes of the budget": state.harness.budget._used,
        "requests of the front": len(state.harness.front._open_requests),
        "ids of the client": session_ids,
        "answers unsent": unsent_answers,
        "requests in the module": len(policy.pending),
        "load in the module": attempts_out + work_out,
    }
