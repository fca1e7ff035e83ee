"""A small machine that explores the life of one connection: connecting, established, partly written, ended.

It consists of one real `UpstreamChannel` and a socket that accepts as many bytes as a step allows. Commands
have three bytes, and one of them is withdrawn when it is its turn to be written.
"""

from __future__ import annotations

import marshal
from collections.abc import Callable

from edge_router.model_checker.machine import Violation
from edge_router.protocol.resp import RespError, encode
from edge_router.transport.upstream_channel import UpstreamChannel

WITHDRAWN = "-no"  # the command that is withdrawn instead of written
COMMANDS = ("aaa", "bbb", WITHDRAWN)
ANSWER = encode(b"ok")


class LimitedSocket:
    """A socket that accepts `writable_bytes` bytes, then none."""

    def __init__(self) -> None:
        self.writable_bytes = 99
        self.reset = False
        self.ended = False
        self.written = b""

    def send(self, data: bytes | memoryview, /) -> int:
        """Accepts up to `writable_bytes` bytes."""
        if self.reset:
            raise ConnectionResetError("reset")
        count = min(self.writable_bytes, len(data))
        if not count:
            raise BlockingIOError
        self.writable_bytes -= count
        self.written += bytes(data[:count])
        return count

    def recv(self, count: int, flags: int, /) -> bytes:
        """Peeks at the socket; only its end can be seen, since answers are delivered by steps."""
        if self.reset:
            raise ConnectionResetError("reset")
        if self.ended:
            return b""
        raise BlockingIOError


class RecordedCommand:
    """A command that records whether it was written."""

    def __init__(self, machine: ChannelMachine, text: str) -> None:
        self.machine, self.text = machine, text
        self.begun = 0
        self.state = "waiting"

    def encode(self) -> bytes | None:
        """The bytes of the command; None if it is withdrawn."""
        if self.machine.ends:
            self.machine.record_violation("told-once", f"{self.text} begins on a connection that has ended")
        self.begun += 1
        self.state = "dropped" if self.text == WITHDRAWN else "begun"
        return None if self.text == WITHDRAWN else self.text.encode()

    def may_continue(self) -> bool:
        """Whether the rest may be written: always."""
        return True

    def on_not_written(self) -> None:
        """The channel reports that none of the command was written."""
        if self.text.encode() in self.machine.sock.written:
            self.machine.record_violation(
                "order-kept", f"{self.text} was written, but is reported as not written"
            )
        self.state = "waiting"


class ChannelMachine:
    """One channel, explored by the same search as the router."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.sock = LimitedSocket()
        self.ends: list[str] = []
        self.received_answers = 0
        self.channel = UpstreamChannel(self, self._clock)
        self.commands: list[RecordedCommand] = []
        self.answer_is_partial = False
        self.finished = False

    @staticmethod
    def _clock() -> float:
        return 1.0

    def record_violation(self, property_name: str, detail: str) -> None:
        """Records a violation of the property."""
        self.violations.append(Violation(property_name, detail))

    def on_message(self, connection: UpstreamChannel, array: list[bytes]) -> None:
        """The channel has decoded an array."""
        self.received_answers += 1

    def wants_item(self, first_item: bytes, size: int) -> bool:
        """Whether an item of an array is kept: always."""
        return True

    def on_channel_closed(self, connection: UpstreamChannel, reason: str) -> None:
        """The channel reports its end."""
        self.ends.append(reason)
        if len(self.ends) > 1:
            self.record_violation("told-once", f"the owner was notified of the end {len(self.ends)} times")

    def enabled(self) -> list[str]:
        """All steps that may be taken now."""
        if self.finished:
            return []
        steps = [f"room {count}" for count in (0, 1, 99) if count != self.sock.writable_bytes]
        if len(self.commands) < len(COMMANDS):
            steps.append("put")
        steps.append("close" if not self.channel.closed else "ended")
        if not self.channel.connected:
            return [*steps, "up", "refused", "reset-at-connect"] if not self.channel.closed else steps
        if not self.sock.reset:
            steps.append("die")
        if not self.sock.ended and not self.sock.reset:
            steps.append("end")
            if self.answer_is_partial:
                steps.append("rest")
            elif self.received_answers < 2:
                steps += ["answer", "half"]
        if (self.sock.ended or self.sock.reset) and not self.channel.closed:
            steps.append("ended")
        if (
            self.channel._write_blocked
            and (self.sock.writable_bytes or self.sock.reset)
            and not self.channel.closed
        ):
            steps.append("writable")
        return steps

    def do(self, step: str) -> None:
        """Takes a step, and checks that commands are written in order."""
        word, _, rest = step.partition(" ")
        self.finished = word in ("refused", "reset-at-connect", "ended")
        if word == "room":
            self.sock.writable_bytes = int(rest)
        else:
            ACTIONS[word](self)
        self._check()

    def put(self) -> None:
        """The router puts its next command on the channel."""
        command = RecordedCommand(self, COMMANDS[len(self.commands)])
        self.commands.append(command)
        self.channel.send(command)

    def fail_connecting(self, error: OSError) -> None:
        """The connection can't be established."""
        self.channel.on_connect_failed(error)
        self.channel.on_closed()

    def receive(self, data: bytes, *, partial: bool) -> None:
        """Receives bytes of an answer; `partial` says that more will follow."""
        self.answer_is_partial = partial
        self.channel.buffer.append(data)
        try:
            self.channel.on_received()
        except RespError:
            self.record_violation("clean-error", "a legal answer can't be decoded")

    def _check(self) -> None:
        expected = b"".join(command.text.encode() for command in self.commands if command.text != WITHDRAWN)
        if not expected.startswith(self.sock.written):
            self.record_violation("order-kept", f"written {self.sock.written!r} of {expected!r}")
        for command in self.commands:
            written = command.text.encode()[:1] in self.sock.written
            if command.state == "waiting" and written:
                self.record_violation(
                    "order-kept", f"{command.text} was written, but still counts as waiting"
                )

    def touches(self, step: str) -> frozenset[str] | None:
        """None: each step may read or write the whole state."""
        return None

    def default(self) -> str | None:
        """The step that continues writing, or else closes the channel."""
        names = self.enabled()
        return next((step for step in ("writable", "close", "ended") if step in names), None)

    def settle(self) -> None:
        """Closes the channel, and checks that its owner was notified."""
        for _ in range(20):
            step = self.default()
            if step is None or self.violations:
                break
            self.do(step)
        if not self.ends:
            self.record_violation("told-once", "the owner was never notified of the end")

    def encode(self) -> bytes:
        """The state in its canonical form."""
        channel, sock = self.channel, self.sock
        return marshal.dumps(
            (
                sock.writable_bytes,
                sock.reset,
                sock.ended,
                sock.written,
                len(self.ends),
                self.received_answers,
                self.answer_is_partial,
                channel.connected,
                channel.closed,
                channel._write_blocked,
                bytes(channel._partial_write),
                len(channel._queue),
                channel.partial_received_at or 0.0,
                len(channel.buffer),
                tuple((command.state, command.begun) for command in self.commands),
            ),
            2,
        )


# What each step does, by the name of the step; `room`, which has a number, is handled in `do`.
ACTIONS: dict[str, Callable[[ChannelMachine], None]] = {
    "put": ChannelMachine.put,
    "up": lambda machine: machine.channel.on_connected(machine.sock),
    "refused": lambda machine: machine.fail_connecting(ConnectionRefusedError()),
    "reset-at-connect": lambda machine: machine.fail_connecting(ConnectionResetError()),
    "die": lambda machine: setattr(machine.sock, "reset", True),
    "end": lambda machine: setattr(machine.sock, "ended", True),
    "answer": lambda machine: machine.receive(ANSWER, partial=False),
    "half": lambda machine: machine.receive(ANSWER[:3], partial=True),
    "rest": lambda machine: machine.receive(ANSWER[3:], partial=False),
    "writable": lambda machine: machine.channel.on_writable(),
    "close": lambda machine: machine.channel.close(),
    "ended": lambda machine: machine.channel.on_closed(),
}
