"""The caches of the router model: their connections to the router, and their responses of every kind."""

from __future__ import annotations

from dataclasses import dataclass

from edge_router.model_checker.model.clients import ETAG, Clients, request_id_at, request_index
from edge_router.model_checker.model.harness import START, Harness
from edge_router.model_checker.peers import CacheChannel, PartialResponse, SocketEnd
from edge_router.model_checker.scope import ANSWERS, NORMAL_ANSWERS, Scope
from edge_router.protocol import resp
from edge_router.proxy.fetch_command import FetchCommand

STALE_AGE = 5000.0  # milliseconds before the start of the run at which a stale copy was made
LIMITED_WRITE_SIZES = (0, 20)  # bytes that a connection still accepts after the fault `choke`

_STALE_ANSWERS = ("old", "same")
_UNKNOWN_REQUEST_ID = "f" * 16


@dataclass(frozen=True, slots=True)
class CacheResponse:
    """A response of a cache."""

    data: bytes  # encoded as it is sent
    body: bytes
    created_at: float  # Unix milliseconds


class Caches:
    """Carries out what the caches do on their connections, named as by `Harness.channel_name`."""

    def __init__(self, harness: Harness, clients: Clients, scope: Scope) -> None:
        self._harness = harness
        self._clients = clients
        self._scope = scope

    def establish(self, name: str) -> None:
        """Establishes the connection."""
        channel = self._harness.channel(name)
        channel.on_connected(channel.sock)

    def refuse(self, name: str) -> None:
        """Refuses the connection."""
        channel = self._harness.remove_channel(name)
        channel.on_connect_failed(ConnectionRefusedError("refused"))
        channel.on_closed()

    def never_establish(self, name: str) -> None:
        """Leaves the connection unestablished until the router gives up."""
        self._harness.channel(name).never_connects = True

    def run_out_of_descriptors(self, name: str) -> None:
        """Lets the connection fail as the router has no file descriptor for it."""
        channel = self._harness.remove_channel(name)
        channel.local_failure = True
        channel.on_connect_failed(OSError(24, "too many open files"))
        channel.on_closed()

    def limit_writes(self, name: str, writable_bytes: int) -> None:
        """Lets the connection accept only `writable_bytes` further bytes."""
        self._harness.channel(name).sock.writable_bytes = writable_bytes

    def lift_write_limit(self, name: str) -> None:
        """Lets the connection accept any number of bytes again."""
        channel = self._harness.channel(name)
        channel.sock.writable_bytes = None
        if channel._write_blocked:
            channel.on_writable()

    def reset(self, name: str) -> None:
        """Resets the connection from the side of the cache."""
        self._harness.channel(name).sock.end = SocketEnd.RESET

    def hang_up(self, name: str) -> None:
        """Closes the connection from the side of the cache."""
        self._harness.channel(name).sock.end = SocketEnd.CLOSED

    def end(self, name: str) -> None:
        """Lets the router notice the end of the connection."""
        channel = self._harness.remove_channel(name)
        channel.on_closed("" if channel.closed else f"{channel.sock.end or ''} by the server")

    def give_up_connecting(self, name: str) -> None:
        """Lets the router give up on a connection that was not established in time."""
        self._harness.remove_channel(name).on_closed("connect timeout expired")

    def _make_response(self, kind: str, request_id: str, endpoint_id: int, class_name: str) -> CacheResponse:
        code, note = ANSWERS[kind]
        created_at = START * 1000.0 - STALE_AGE if kind in _STALE_ANSWERS else self._harness.now
        fields = [("tell", note)] if note else []
        if code in ("200", "304") and kind != "bare":
            fields += [("ver", ETAG), ("born", f"{created_at:.0f}")]
        body = f"{kind}|{class_name}|{endpoint_id:x}|{created_at:.0f}".encode() if code == "200" else b""
        fields += [("waited", "5"), ("meter", "busy:1;x0:0.5")]
        data = resp.encode(request_id.encode(), code.encode(), resp.encode_fields(fields), body)
        return CacheResponse(data, body, created_at)

    def _response_to(self, kind: str, channel: CacheChannel, index: int) -> CacheResponse:
        class_name = self._clients.requests[index].class_name
        return self._make_response(kind, request_id_at(index), channel.connection.endpoint_id, class_name)

    def _notify_observer(
        self, channel: CacheChannel, request_id: str, code: str, body: bytes, created_at: float
    ) -> None:
        number = channel.attempt_numbers.get(request_id, -1)
        self._harness.observer.response_received(request_id, number, code, body, created_at)

    def answer(self, kind: str, name: str, index: int) -> None:
        """Answers a request by the response that `kind`, a key of `ANSWERS`, names."""
        channel, request_id = self._harness.channel(name), request_id_at(index)
        response = self._response_to(kind, channel, index)
        channel.record_response(request_id, response.data)
        self._notify_observer(channel, request_id, ANSWERS[kind][0], response.body, response.created_at)
        channel.deliver(response.data)

    def answer_again(self, name: str, index: int) -> None:
        """Sends the response to a request a second time."""
        channel = self._harness.channel(name)
        channel.deliver(channel.last_responses[request_id_at(index)])

    def answer_unknown(self, name: str) -> None:
        """Sends a response under a request id that was never used."""
        self._harness.channel(name).deliver(self._make_response("full", _UNKNOWN_REQUEST_ID, 0, "none").data)

    def answer_unreadable(self, name: str, index: int) -> None:
        """Sends a response that can't be decoded."""
        channel, request_id = self._harness.channel(name), request_id_at(index)
        channel.record_response(request_id, b"")
        channel.deliver(resp.encode(request_id.encode(), b"299", b"-", b""))

    def answer_half(self, name: str, index: int) -> None:
        """Sends the first half of a response; `answer_rest` may send the rest."""
        channel, request_id = self._harness.channel(name), request_id_at(index)
        response = self._response_to("hit", channel, index)
        channel.record_response(request_id, response.data)
        middle = len(response.data) // 2
        channel.unsent = response.data[middle:]
        channel.partial = PartialResponse(request_id, response.body, response.created_at)
        channel.deliver(response.data[:middle])

    def answer_half_and_reset(self, name: str, index: int) -> None:
        """Sends the first half of a response, then resets the connection."""
        self.answer_half(name, index)
        channel = self._harness.channel(name)
        channel.unsent = b""
        channel.sock.end = SocketEnd.RESET

    def answer_rest(self, name: str) -> None:
        """Sends the second half of a response."""
        channel = self._harness.channel(name)
        data, channel.unsent = channel.unsent, b""
        assert channel.partial is not None
        partial = channel.partial
        self._notify_observer(channel, partial.request_id, "200", partial.body, partial.created_at)
        channel.deliver(data)

    def router_steps(self) -> list[str]:
        """Returns the steps in which the router notices ended connections and connect timeouts."""
        harness, steps = self._harness, []
        for channel in harness.channels:
            if channel.closed or (channel.connected and channel.sock.end):
                steps.append(f"end {harness.channel_name(channel)}")
            elif not channel.connected and harness.monotonic_now >= channel.connect_deadline:
                steps.append(f"notup {harness.channel_name(channel)}")
        return steps

    def enabled(self, channel: CacheChannel, fault_allowed: bool) -> list[str]:
        """Returns the steps of a connection and of its cache; faults only if they are allowed."""
        if channel.closed or channel.sock.end:
            return []
        name = self._harness.channel_name(channel)
        kinds = self._scope.kinds if fault_allowed else ()
        steps = self._connection_steps(channel, name, kinds)
        if channel.unsent:
            return [f"rest {name}", *(f"{kind} {name}" for kind in ("reset", "hangup") if kind in kinds)]
        for request_id in channel.pending_ids:
            steps += self._answer_steps(channel, name, request_id, fault_allowed)
        if "choke" in kinds and channel.sock.writable_bytes is None:
            steps += [f"choke{size} {name}" for size in LIMITED_WRITE_SIZES]
        if channel.connected:
            steps += [f"{kind} {name}" for kind in ("reset", "hangup", "stray") if kind in kinds]
            if "second" in kinds:
                steps += [
                    f"second {name} {request_index(request_id)}"
                    for request_id in dict.fromkeys(channel.answered_ids)
                ]
        return steps

    def _connection_steps(self, channel: CacheChannel, name: str, kinds: tuple[str, ...]) -> list[str]:
        if channel.connected:
            return [f"flush {name}"] if channel.sock.writable_bytes is not None else []
        if channel.never_connects:
            return []
        return [f"up {name}", *(f"{kind} {name}" for kind in ("refuse", "never", "lack") if kind in kinds)]

    def _answer_steps(
        self, channel: CacheChannel, name: str, request_id: str, fault_allowed: bool
    ) -> list[str]:
        """Returns the responses that the cache may give; to an aborted request, only one kind."""
        index = request_index(request_id)
        if request_id in channel.aborted_ids:
            return [f"hit {name} {index}"]
        steps = [
            f"{answer} {name} {index}"
            for answer in self._scope.answers
            if (answer in NORMAL_ANSWERS or fault_allowed) and (answer != "same" or self._scope.seen)
        ]
        if fault_allowed:
            kinds = self._scope.kinds
            steps += [f"{kind} {name} {index}" for kind in ("spoil", "half", "trickle") if kind in kinds]
        return steps

    def check_connections(self) -> None:
        """Checks that connections to removed endpoints are closed and cancelled attempts are aborted."""
        harness = self._harness
        for channel in harness.channels:
            name = harness.channel_name(channel)
            if not channel.closed and not harness.router.endpoints.contains(channel.connection.endpoint_id):
                harness.record_violation("gone-closed", f"{name} stays open though its endpoint is removed")
            if channel.connected and not (
                channel.closed or channel.sock.end or channel._write_blocked or channel._queue
            ):
                for request_id in channel.pending_ids:
                    if (
                        request_id not in channel.aborted_ids
                        and request_id not in channel.connection.attempts
                    ):
                        harness.record_violation(
                            "cancelled", f"no abort of a cancelled attempt was sent on {name}"
                        )

    def commands_will_be_sent(self, channel: CacheChannel) -> bool:
        """Whether every command queued on the connection would be written.

        A command that is not written ends its attempt, and this reaches the decision module.
        """
        if channel.sock.end:
            return False
        endpoints = self._harness.router.endpoints
        attempts = [command.attempt for command in channel._queue if isinstance(command, FetchCommand)]
        return all(
            not (attempt.ended or attempt.purged)
            and endpoints.is_ready(attempt.instruction.endpoint_id)
            and endpoints.is_ready(attempt.instruction.source_id)
            for attempt in attempts
        )
