"""Requests that several socket tests send, and the statuses of the responses that they expect."""

from __future__ import annotations

from typing import Any

from fake_cache import ReceivedCommand
from fastcgi_client import ClientResponse, FastCgiClient
from router_harness import RouterHarness

WRITE_REQUEST: dict[str, Any] = {"path": "/svc/confirm"}
REJECTED_STATUS, FAILED_STATUS = 503, 502


def is_rejection(response: ClientResponse) -> bool:
    """Returns whether the response is a rejection that states when to retry."""
    return response.status == REJECTED_STATUS and int(response.headers["X-Throttle-Ms"]) > 0


def request_objects(router: RouterHarness, client: FastCgiClient, count: int = 12) -> list[ReceivedCommand]:
    """Requests `count` objects one after the other, has the cache answer each, and returns the commands."""
    fetches = []
    for number in range(count):
        client.send_request(X_ROW=f"{number + 1:016x}")
        fetches.append(router.next_command())
        fetches[-1].reply()
        assert client.read_response().status == 200
    return fetches
