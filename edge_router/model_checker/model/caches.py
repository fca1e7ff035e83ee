"""The caches of the router model: connections that come up or break, and answers of every kind."""

from __future__ import annotations

from dataclasses import dataclass

from edge_router.model_checker.model.clients import ETAG, Clients, place_of, txn_id
from edge_router.model_checker.model.harness import START, Harness
from edge_router.model_checker.peers import PartialAnswer, ServerChannel, SocketEnd
from edge_router.model_checker.scope import ANSWERS, NORMAL_ANSWERS, Scope
from edge_router.protocol import resp

STALE_AGE = 5000.0  # milliseconds by which a stale copy was born before the start
CHOKED_ROOM = (0, 20)  # bytes that a choked connection still accepts

_STALE_ANSWERS = ("old", "same")
_UNKNOWN_TXN = "f" * 16


@dataclass(frozen=True, slots=True)
class CacheAnswer:
    """An answer of a cache."""

    data: bytes  # as it is sent
    body: bytes
    born: float  # Unix milliseconds


class Caches:
    """What the caches do, connection by connection."""

    def __init__(self, harness: Harness, clients: Clients, scope: Scope) -> None:
        self._harness = harness
        self._clients = clients
        self._scope = scope

    # -- connections --

    def establish(self, name: str) -> None:
        """The connection is established."""
        channel = self._harness.channel(name)
        channel.on_connected(channel.sock)

    def refuse(self, name: str) -> None:
        """The connection is refused."""
        channel = self._harness.remove_channel(name)
        channel.on_connect_failed(ConnectionRefusedError("refused"))
        channel.on_closed()

    def never_establish(self, name: str) -> None:
        """The connection will never be established."""
        self._harness.channel(name).silent = True

    def lack_descriptor(self, name: str) -> None:
        """There is no descriptor for the connection."""
        channel = self._harness.remove_channel(name)
        channel.local_shortage = True
        channel.on_connect_failed(OSError(24, "too many open files"))
        channel.on_closed()

    def choke(self, name: str, room: int) -> None:
        """The connection accepts only so many bytes more."""
        self._harness.channel(name).sock.room = room

    def flush(self, name: str) -> None:
        """The connection accepts bytes again."""
        channel = self._harness.channel(name)
        channel.sock.room = None
        if channel._full:
            channel.on_writable()

    def reset(self, name: str) -> None:
        """The cache resets the connection."""
        self._harness.channel(name).sock.end = SocketEnd.RESET

    def hang_up(self, name: str) -> None:
        """The cache closes the connection."""
        self._harness.channel(name).sock.end = SocketEnd.CLOSED

    def end(self, name: str) -> None:
        """The router notices the end of a connection."""
        channel = self._harness.remove_channel(name)
        channel.on_closed("" if channel.closed else f"{channel.sock.end or ''} by the server")

    def give_up_connecting(self, name: str) -> None:
        """The router has waited for the connection as long as it may."""
        self._harness.remove_channel(name).on_closed("not up in time")

    # -- answers --

    def _make_answer(self, word: str, txn: str, node: int, cls: str) -> CacheAnswer:
        code, note = ANSWERS[word]
        born = START * 1000.0 - STALE_AGE if word in _STALE_ANSWERS else self._harness.now
        fields = [("tell", note)] if note else []
        if code in ("200", "304") and word != "bare":
            fields += [("ver", ETAG), ("born", f"{born:.0f}")]
        body = f"{word}|{cls}|{node:x}|{born:.0f}".encode() if code == "200" else b""
        fields += [("waited", "5"), ("meter", "busy:1;x0:0.5")]
        data = resp.encode(txn.encode(), code.encode(), resp.words(fields), body)
        return CacheAnswer(data, body, born)

    def _answer_to(self, word: str, channel: ServerChannel, place: int) -> CacheAnswer:
        cls = self._clients.requests[place].cls
        return self._make_answer(word, txn_id(place), channel.link.endpoint_id, cls)

    def _report(self, channel: ServerChannel, txn: str, code: str, body: bytes, born: float) -> None:
        number = channel.numbers.get(txn, -1)
        self._harness.observer.answer_received(txn, number, code, body, born)

    def answer(self, word: str, name: str, place: int) -> None:
        """The cache answers a request, in the way that the word names."""
        channel, txn = self._harness.channel(name), txn_id(place)
        answer = self._answer_to(word, channel, place)
        channel.answered(txn, answer.data)
        self._report(channel, txn, ANSWERS[word][0], answer.body, answer.born)
        channel.deliver(answer.data)

    def answer_again(self, name: str, place: int) -> None:
        """The cache sends its answer a second time."""
        channel = self._harness.channel(name)
        channel.deliver(channel.last[txn_id(place)])

    def answer_unknown(self, name: str) -> None:
        """The cache sends an answer under an id that was never used."""
        self._harness.channel(name).deliver(self._make_answer("full", _UNKNOWN_TXN, 0, "none").data)

    def answer_unreadable(self, name: str, place: int) -> None:
        """The cache sends an answer that can't be read."""
        channel, txn = self._harness.channel(name), txn_id(place)
        channel.answered(txn, b"")
        channel.deliver(resp.encode(txn.encode(), b"299", b"-", b""))

    def answer_half(self, name: str, place: int) -> None:
        """The cache sends the first half of an answer; the rest may follow."""
        channel, txn = self._harness.channel(name), txn_id(place)
        answer = self._answer_to("hit", channel, place)
        channel.answered(txn, answer.data)
        middle = len(answer.data) // 2
        channel.unsent = answer.data[middle:]
        channel.partial = PartialAnswer(txn, answer.body, answer.born)
        channel.deliver(answer.data[:middle])

    def answer_half_and_reset(self, name: str, place: int) -> None:
        """The cache resets the connection in the middle of an answer."""
        self.answer_half(name, place)
        channel = self._harness.channel(name)
        channel.unsent = b""
        channel.sock.end = SocketEnd.RESET

    def answer_rest(self, name: str) -> None:
        """The cache sends the second half of an answer."""
        channel = self._harness.channel(name)
        data, channel.unsent = channel.unsent, b""
        assert channel.partial is not None
        partial = channel.partial
        self._report(channel, partial.txn, "200", partial.body, partial.born)
        channel.deliver(data)

    # -- which steps are enabled --

    def router_steps(self) -> list[str]:
        """What the router itself does next on connections that have ended or are not established."""
        harness, steps = self._harness, []
        for channel in harness.channels:
            if channel.closed or (channel.connected and channel.sock.end):
                steps.append(f"end {harness.channel_name(channel)}")
            elif not channel.connected and harness.t >= channel.until:
                steps.append(f"notup {harness.channel_name(channel)}")
        return steps

    def enabled(self, channel: ServerChannel, fault_allowed: bool) -> list[str]:
        """The steps of a connection and of the cache at its other end."""
        if channel.closed or channel.sock.end:
            return []
        name = self._harness.channel_name(channel)
        kinds = self._scope.kinds if fault_allowed else ()
        steps = self._connection_steps(channel, name, kinds)
        if channel.unsent:
            return [f"rest {name}", *(f"{kind} {name}" for kind in ("reset", "hangup") if kind in kinds)]
        for txn in channel.asked:
            steps += self._answers_to(channel, name, txn, fault_allowed)
        if "choke" in kinds and channel.sock.room is None:
            steps += [f"choke{room} {name}" for room in CHOKED_ROOM]
        if channel.connected:
            steps += [f"{kind} {name}" for kind in ("reset", "hangup", "stray") if kind in kinds]
            if "second" in kinds:
                steps += [f"second {name} {place_of(txn)}" for txn in dict.fromkeys(channel.done)]
        return steps

    def _connection_steps(self, channel: ServerChannel, name: str, kinds: tuple[str, ...]) -> list[str]:
        if channel.connected:
            return [f"flush {name}"] if channel.sock.room is not None else []
        if channel.silent:
            return []
        return [f"up {name}", *(f"{kind} {name}" for kind in ("refuse", "never", "lack") if kind in kinds)]

    def _answers_to(self, channel: ServerChannel, name: str, txn: str, fault_allowed: bool) -> list[str]:
        """The answers that the cache may give; to an aborted request, one kind stands for all."""
        place = place_of(txn)
        if txn in channel.aborted:
            return [f"hit {name} {place}"]
        steps = [
            f"{answer} {name} {place}"
            for answer in self._scope.answers
            if (answer in NORMAL_ANSWERS or fault_allowed) and (answer != "same" or self._scope.seen)
        ]
        if fault_allowed:
            kinds = self._scope.kinds
            steps += [f"{kind} {name} {place}" for kind in ("spoil", "half", "trickle") if kind in kinds]
        return steps

    # -- checks --

    def check_connections(self) -> None:
        """Checks that the router closes connections to removed nodes and aborts what it gives up."""
        harness = self._harness
        for channel in harness.channels:
            name = harness.channel_name(channel)
            if not channel.closed and not harness.route.endpoints.contains(channel.link.endpoint_id):
                harness.violated("gone-closed", f"{name} stays open")
            if channel.connected and not (
                channel.closed or channel.sock.end or channel._full or channel._queue
            ):
                for txn in channel.asked:
                    if txn not in channel.aborted and txn not in channel.link.attempts:
                        harness.violated("cancelled", f"{name} was not notified of a cancelled attempt")

    def commands_will_go(self, channel: ServerChannel) -> bool:
        """Whether all commands that wait on the connection will be written, so that none ends an attempt."""
        if channel.sock.end:
            return False
        nodes = self._harness.route.endpoints
        attempts = [getattr(command, "_attempt", None) for command in channel._queue]
        return all(
            attempt is None
            or not (attempt.ended or attempt.purged)
            and nodes.is_ready(attempt.instruction.endpoint_id)
            and nodes.is_ready(attempt.instruction.source_id)
            for attempt in attempts
        )
