"""Fake backends to try out one edge router by hand: caches, which generate the objects, and the change log.

    python examples/fake_backends.py examples/config.json

The program listens on the addresses of the caches and of the change log in that configuration. It keeps the
requested objects in memory, so that the second request for an object is a hit, and prints one line per fetch.
The commands `drain ID`, `up ID` and `purge GROUP` on standard input add an event to the change log.
"""

from __future__ import annotations

import json
import struct
import sys
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import trio

from edge_router.fault_injection.protocol import (
    ArrayDecoder,
    EndpointRecord,
    EndpointState,
    FrameType,
    decode_fields,
    encode_array,
    encode_fields,
    encode_frame,
    encode_group_purge,
)

HEARTBEAT_INTERVAL = 1.0  # seconds
NO_FIELDS = b"-"  # stands for an empty list of fields
STATES = {"drain": EndpointState.DRAINING, "up": EndpointState.READY}  # by command


@dataclass(frozen=True, slots=True)
class StoredCopy:
    """A copy of an object that a cache has stored."""

    etag: str
    created_ms: int  # Unix milliseconds


class FakeBackends:
    """The state of all caches and of the change log."""

    def __init__(self, config: dict[str, Any]) -> None:
        self.endpoints = config["known"]["results"][0]["fleet"]["instances"]
        self._settings = config["settings"]
        self._first_sequence = self.last_sequence = config["known"]["seq"]
        self._frames: list[bytes] = []
        self._copies: dict[tuple[str, str, str], StoredCopy] = {}  # by cache, object and segment

    def frames_after(self, sequence: int) -> list[bytes]:
        """Returns the frames of the events that follow the event with this sequence number."""
        return self._frames[max(0, sequence - self._first_sequence) :]

    def _publish(self, frame_type: FrameType, payload: bytes) -> None:
        self.last_sequence += 1
        self._frames.append(encode_frame(self.last_sequence, frame_type, payload))

    def run_command(self, line: str) -> None:
        """Runs a command line from standard input."""
        command, _, value = line.strip().partition(" ")
        endpoint = next((entry for entry in self.endpoints if entry["instanceId"] == value), None)
        if command == "purge" and value.isdigit():
            self._copies.clear()
            self._publish(FrameType.GROUP_PURGED, encode_group_purge(int(value), int(time.time() * 1000)))
        elif command in STATES and endpoint is not None:
            self._publish(FrameType.ENDPOINT_CHANGES, self._record(endpoint, STATES[command]).encode())
        else:
            print(f"unknown command: {line.strip()!r}", flush=True)

    def _record(self, endpoint: dict[str, Any], state: EndpointState) -> EndpointRecord:
        return EndpointRecord(
            endpoint_id=int(endpoint["instanceId"].removeprefix("s-"), 16),
            port=int(endpoint["hostPort"].rpartition(":")[2]),
            state=state,
            zone=self._settings["areas"].index(endpoint["zone"]),
            kind=self._settings["models"].index(endpoint["machineType"]),
            weight=int(endpoint["weight"] * 1000),
            started_ms=endpoint["startedAtMs"],
        )

    def respond(self, cache: str, command: list[bytes]) -> bytes:
        """Returns a cache's response to a command; it is empty for an `abort`."""
        if command[0] == b"alive":
            return encode_array(command[1], b"alive", NO_FIELDS, b"")
        if command[0] != b"fetch":
            return b""
        fields = decode_fields(command[2])
        key = (cache, fields["item"], fields["chunk"])
        fill_result = "hit" if key in self._copies else "filled" if "from" in fields else None
        print(
            f"{cache} {fields['cls']} {fields['item']} part {fields['chunk']}: {fill_result or 'miss'}",
            flush=True,
        )
        if fill_result is None:
            return encode_array(command[1], b"404", NO_FIELDS, b"")
        copy = self._copies.get(key) or StoredCopy(f"{hash(key) & 0xFFFFFFFF:08x}", int(time.time() * 1000))
        if self._is_cacheable(fields):
            self._copies[key] = copy
        headers = {
            "ver": copy.etag,
            "born": copy.created_ms,
            "tell": fill_result,
            "meter": "inflight:1;util:0.1",
        }
        if fields.get("seen") == copy.etag:
            return encode_array(command[1], b"304", encode_fields(headers), b"")
        body = f"{fields['item']}/{fields['chunk']}\n".encode() * 100
        return encode_array(command[1], b"200", encode_fields(headers), body)

    def _is_cacheable(self, fields: dict[str, str]) -> bool:
        write_class = self._settings["classes"][-1]["name"]
        return fields["cls"] != write_class and fields.get("rank", "0") != "0"


async def serve_cache(backends: FakeBackends, cache: str, stream: trio.SocketStream) -> None:
    """Serves one connection to a cache."""
    decoder = ArrayDecoder()
    async for data in stream:
        for _, command in decoder.feed(trio.current_time(), bytes(data)):
            if response := backends.respond(cache, command):
                await stream.send_all(response)


async def serve_change_log(backends: FakeBackends, stream: trio.SocketStream) -> None:
    """Serves one connection to the change log, from the sequence number that the router sends first."""
    (sequence,) = struct.unpack(">Q", await stream.receive_some(8))
    try:
        while True:
            for frame in backends.frames_after(sequence):
                await stream.send_all(frame)
            sequence = backends.last_sequence
            await stream.send_all(encode_frame(sequence, FrameType.HEARTBEAT))
            with trio.move_on_after(HEARTBEAT_INTERVAL):
                while backends.last_sequence == sequence:
                    await trio.sleep(0.02)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


async def read_commands(backends: FakeBackends) -> None:
    """Runs the command lines from standard input until its end."""
    while line := await trio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True):
        backends.run_command(line)


async def main(path: str) -> None:
    """Serves all backends of the configuration file until the program is stopped."""
    config = json.loads(Path(path).read_bytes())
    backends = FakeBackends(config)
    async with trio.open_nursery() as nursery:
        for endpoint in backends.endpoints:
            host, _, port = endpoint["hostPort"].partition(":")
            serve = partial(serve_cache, backends, endpoint["instanceId"])
            await nursery.start(partial(trio.serve_tcp, serve, int(port), host=host))
        host, _, port = config["changelog"].partition(":")
        serve_log = partial(serve_change_log, backends)
        await nursery.start(partial(trio.serve_tcp, serve_log, int(port), host=host))
        print("the fake backends are up", flush=True)
        nursery.start_soon(read_commands, backends)


if __name__ == "__main__":
    if len(sys.argv) != 2:
        sys.exit("usage: fake_backends.py CONFIGURATION")
    try:
        trio.run(main, sys.argv[1])
    except KeyboardInterrupt:
        sys.exit(130)
