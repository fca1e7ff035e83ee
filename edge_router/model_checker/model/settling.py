"""The checks at the end of a run: once nothing is pending, the router must have released all resources."""

from __future__ import annotations

from edge_router.model_checker.model.state import ModelState


def check_end(state: ModelState) -> None:
    """Checks, when nothing is pending, that every request has ended and that no resource is leaked."""
    for request in state.harness.observer.open_requests():
        state.harness.record_violation("ends", f"{request.class_name} is open, and nothing is pending")
    for name, count in held_resources(state).items():
        if count:
            state.harness.record_violation("no-leak", f"{name}: {count} when nothing is pending")


def held_resources(state: ModelState) -> dict[str, float]:
    """Returns how much of each resource the router holds; all are 0 when nothing is pending."""
    router, policy, session = state.harness.router, state.harness.router._policy, state.clients.session
    loads = [*policy.loads.by_endpoint.values(), policy.loads.zone_link]
    session_ids = 0 if session.finished else len(session._decoder.open_ids)
    unsent_responses = 0 if session.finished else len(session._responses) + session._unsent_bytes
    attempts_in_flight = sum(abs(load.in_flight) for load in loads)
    work_in_flight = round(sum(abs(load.in_flight_work) for load in loads), 6)
    return {
        "open requests": len(router.requests),
        "request ids": len(router.requests._by_request_id),
        "connections": router.dispatcher.pool.connection_count(),
        "attempts on connections": len(router.dispatcher._connection_of),
        "reserved bytes of the memory budget": state.harness.budget._used,
        "open requests of the front end": len(state.harness.frontend._open_requests),
        "open ids of the client connection": session_ids,
        "unsent responses to clients": unsent_responses,
        "requests pending in the policy": len(policy.pending),
        "load recorded by the policy": attempts_in_flight + work_in_flight,
    }
