"""The adapter between the simulator and the routing policy.

It reads batches of events from standard input and writes the actions to standard output. It runs one policy
for each router of the simulation, and makes no decisions itself.

Source: the operators' page `WIRE-robinbeam.md`, section "Frames" and those after it, which define the codes
of the records and their fields.
"""

from __future__ import annotations

import struct
import sys
import traceback
from collections.abc import Callable
from typing import Any, BinaryIO

from edge_router.config.settings_reader import read_settings
from edge_router.decision import messages
from edge_router.decision.policy import RoutingPolicy

_BATCH_HEADER = struct.Struct(">dII")
_REPLY_HEADER = struct.Struct(">II")
_INSTANCE = struct.Struct(">I")
_LAUNCH = struct.Struct(">IQI")
_ENDPOINT_LIST = struct.Struct(">IBII")
_ENDPOINT_ENTRY = struct.Struct(">BdBHIHHf")
_REQUEST = struct.Struct(">IIHHQdfffH")
_ATTEMPT_ENDED = struct.Struct(">IIBIHBdBIdB")
_INSTANCE_AND_NUMBER = struct.Struct(">II")
_RESPONSE_STARTED = struct.Struct(">IIBIHd")
_HEALTH_CHECK_RESULT = struct.Struct(">IdBIHB")
_PURGE = struct.Struct(">IdHQ")
_PEER_MESSAGE = struct.Struct(">IHH")
_START_ATTEMPT = struct.Struct(">BIIIHdIHBdB")
_CANCEL_ATTEMPT = struct.Struct(">BIIB")
_REJECT = struct.Struct(">BIId")
_FAIL = struct.Struct(">BII")
_SET_TIMER = struct.Struct(">BIId")
_START_HEALTH_CHECK = struct.Struct(">BIIH")
_WATCH_ENDPOINTS = struct.Struct(">BIB")
_TEXT = struct.Struct(">BIH")

_OUTCOMES = {int(outcome): outcome for outcome in messages.Outcome}
_ENDPOINT_STATES = {int(state): state for state in messages.EndpointState}
_UPDATE_KINDS = {int(kind): kind for kind in messages.UpdateKind}
# The codes of events and those of actions are two separate sets; the same number may be in both.
_LIST_CODE, _STOP_CODE, _LAUNCH_CODE, _PEER_CODE = 30, 50, 70, 90  # events
_LOG_CODE, _ERROR_CODE = 50, 100  # actions
_MAX_TEXT_BYTES = 60_000
_ERROR_LINES = 6  # lines of a traceback that an error record contains


class MalformedInputError(Exception):
    """The input is not a sequence of valid batches."""


def _floats(body: bytes, at: int, count: int) -> tuple[tuple[float, ...], int]:
    return struct.unpack_from(f">{count}f", body, at), at + 4 * count


def _read_request(body: bytes, at: int) -> tuple[int, messages.Event, int]:
    instance, number, class_index, _, key, remaining, size_kb, group, segment, _ = _REQUEST.unpack_from(
        body, at
    )
    return (
        instance,
        messages.RequestReceived(number, class_index, key, remaining, size_kb, int(group), int(segment)),
        at + _REQUEST.size,
    )


def _read_attempt_ended(body: bytes, at: int) -> tuple[int, messages.Event, int]:
    instance, number, attempt, address, port, code, duration, closed, result, wait, count = (
        _ATTEMPT_ENDED.unpack_from(body, at)
    )
    load, end = _floats(body, at + _ATTEMPT_ENDED.size, count)
    endpoint_id, outcome = address << 16 | port, _OUTCOMES.get(code, messages.Outcome.UNKNOWN)
    return (
        instance,
        messages.AttemptEnded(
            number, attempt, endpoint_id, outcome, duration, bool(closed), result, wait, load
        ),
        end,
    )


def _read_timer_fired(body: bytes, at: int) -> tuple[int, messages.Event, int]:
    instance, token = _INSTANCE_AND_NUMBER.unpack_from(body, at)
    return instance, messages.TimerFired(token), at + _INSTANCE_AND_NUMBER.size


def _read_response_started(body: bytes, at: int) -> tuple[int, messages.Event, int]:
    instance, number, attempt, address, port, _ = _RESPONSE_STARTED.unpack_from(body, at)
    return (
        instance,
        messages.ResponseStarted(number, attempt, address << 16 | port),
        at + _RESPONSE_STARTED.size,
    )


def _read_health_check_result(body: bytes, at: int) -> tuple[int, messages.Event, int]:
    instance, duration, code, address, port, count = _HEALTH_CHECK_RESULT.unpack_from(body, at)
    load, end = _floats(body, at + _HEALTH_CHECK_RESULT.size, count)
    return (
        instance,
        messages.HealthCheckResult(address << 16 | port, code == messages.Outcome.OK, duration, load),
        end,
    )


def _read_purge(body: bytes, at: int) -> tuple[int, messages.Event, int]:
    instance, age, group, key = _PURGE.unpack_from(body, at)
    return instance, messages.PurgeReceived(age, group, key), at + _PURGE.size


def _read_client_disconnected(body: bytes, at: int) -> tuple[int, messages.Event, int]:
    instance, number = _INSTANCE_AND_NUMBER.unpack_from(body, at)
    return instance, messages.ClientDisconnected(number), at + _INSTANCE_AND_NUMBER.size


def _read_endpoint_list(body: bytes, at: int) -> tuple[int, messages.Event, int]:
    instance, kind, _, count = _ENDPOINT_LIST.unpack_from(body, at)
    at += _ENDPOINT_LIST.size
    end = at + count * _ENDPOINT_ENTRY.size
    endpoints = []
    for role, started_at, state_code, cell, address, port, zone, weight in _ENDPOINT_ENTRY.iter_unpack(
        body[at:end]
    ):
        state = _ENDPOINT_STATES.get(state_code, messages.EndpointState.DRAINING)
        endpoint_id = address << 16 | port
        endpoints.append(messages.Endpoint(endpoint_id, role, started_at, state, cell, zone, weight))
    if len(endpoints) != count:
        raise MalformedInputError("an endpoint list is cut short")
    return (
        instance,
        messages.EndpointListUpdate(_UPDATE_KINDS.get(kind, messages.UpdateKind.FAILED), tuple(endpoints)),
        end,
    )


# By event code.
_READERS: dict[int, Callable[[bytes, int], tuple[int, messages.Event, int]]] = {
    10: _read_purge,
    20: _read_timer_fired,
    _LIST_CODE: _read_endpoint_list,
    40: _read_response_started,
    60: _read_attempt_ended,
    80: _read_request,
    100: _read_health_check_result,
    110: _read_client_disconnected,
}


def _write_start_attempt(instance: int, action: messages.StartAttempt) -> bytes:
    # The record has no field for `start_before`, which only the edge router checks.
    endpoint_id, source_id = action.endpoint_id, action.source_id
    return _START_ATTEMPT.pack(
        80,
        instance,
        action.request_number,
        endpoint_id >> 16,
        endpoint_id & 65535,
        action.deadline,
        source_id >> 16,
        source_id & 65535,
        action.cache_rank,
        action.max_age,
        action.fill_mode,
    )


def _write_text(code: int, instance: int, text: str) -> bytes:
    data = text.encode("utf-8", "replace")[:_MAX_TEXT_BYTES]
    return _TEXT.pack(code, instance, len(data)) + data


# By type of action; the first number packed is the action code.
_WRITERS: dict[type, Callable[[int, Any], bytes]] = {
    messages.StartAttempt: _write_start_attempt,
    messages.CancelAttempt: lambda instance, action: _CANCEL_ATTEMPT.pack(
        30, instance, action.request_number, action.attempt_index
    ),
    messages.Reject: lambda instance, action: _REJECT.pack(
        60, instance, action.request_number, action.retry_after
    ),
    messages.Fail: lambda instance, action: _FAIL.pack(40, instance, action.request_number),
    messages.SetTimer: lambda instance, action: _SET_TIMER.pack(110, instance, action.token, action.fire_at),
    messages.StartHealthCheck: lambda instance, action: _START_HEALTH_CHECK.pack(
        20, instance, action.endpoint_id >> 16, action.endpoint_id & 65535
    ),
    messages.WatchEndpoints: lambda instance, _: _WATCH_ENDPOINTS.pack(70, instance, 1),
    messages.LogMessage: lambda instance, action: _write_text(_LOG_CODE, instance, action.text),
}


class SimulatorAdapter:
    """The policies of the simulated routers, by instance number."""

    def __init__(self) -> None:
        self.policies: dict[int, RoutingPolicy] = {}

    def _launch(self, body: bytes, at: int) -> int:
        instance, entropy, count = _LAUNCH.unpack_from(body, at)
        at += _LAUNCH.size
        if at + count > len(body):
            raise MalformedInputError("the settings are cut short")
        self.policies[instance] = RoutingPolicy(read_settings(body[at : at + count]), entropy)
        return int(at + count)

    def _handle_record(self, now: float, body: bytes, at: int, out: list[bytes]) -> int:
        """Processes the record at `at`, adds its actions to `out`, and returns the offset of the next record.

        Raises MalformedInputError if the record cannot be read.
        """
        code, at = body[at], at + 1
        if code == _LAUNCH_CODE:
            return self._launch(body, at)
        if code == _STOP_CODE:
            self.policies.pop(_INSTANCE.unpack_from(body, at)[0], None)
            return at + _INSTANCE.size
        if code == _PEER_CODE:
            _, _, count = _PEER_MESSAGE.unpack_from(body, at)
            return int(at + _PEER_MESSAGE.size + count)
        reader = _READERS.get(code)
        if reader is None:
            raise MalformedInputError(f"unknown event code {code}")
        instance, event, end = reader(body, at)
        policy = self.policies.get(instance)
        if policy is not None:
            out.extend(_WRITERS[type(action)](instance, action) for action in policy.handle(now, event))
        return end

    def handle_batch(self, now: float, count: int, body: bytes) -> bytes:
        """Returns the reply to a batch of `count` records.

        An exception of a policy becomes an error record, and the rest of the batch is dropped.
        Raises MalformedInputError if a record cannot be read.
        """
        out: list[bytes] = []
        at = 0
        for _ in range(count):
            start = at
            try:
                at = self._handle_record(now, body, at, out)
            except (struct.error, IndexError) as error:
                # If the batch is cut short, `unpack_from` fails or the record starts past the body's end.
                # Other errors of these types come from the policy or from packing its actions.
                if start >= len(body) or "unpack" in str(error):
                    raise MalformedInputError(f"a record is cut short: {error}") from error
                out.append(self._error_record(body, start))
                break
            except MalformedInputError:
                raise
            except Exception:
                out.append(self._error_record(body, start))
                break
        else:
            if at != len(body):
                raise MalformedInputError("extra bytes follow the last record of a batch")
        data = b"".join(out)
        return _REPLY_HEADER.pack(len(out), _REPLY_HEADER.size + len(data)) + data

    @staticmethod
    def _error_record(body: bytes, start: int) -> bytes:
        instance = _INSTANCE.unpack_from(body, start + 1)[0]
        return _write_text(
            _ERROR_CODE, instance, "\n".join(traceback.format_exc().splitlines()[-_ERROR_LINES:])
        )


def _read_up_to(stream: BinaryIO, count: int) -> bytes:
    data = b""
    while len(data) < count:
        more = stream.read(count - len(data))
        if not more:
            break
        data += more
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the input ends; raises MalformedInputError if one cannot be read."""
    adapter = SimulatorAdapter()
    while head := _read_up_to(source, _BATCH_HEADER.size):
        if len(head) < _BATCH_HEADER.size:
            raise MalformedInputError("the input ends within a batch header")
        now, length, count = _BATCH_HEADER.unpack(head)
        body = _read_up_to(source, length - _BATCH_HEADER.size) if length >= _BATCH_HEADER.size else b""
        if len(body) != length - _BATCH_HEADER.size:
            raise MalformedInputError("the input ends within a batch, or the length in its header is wrong")
        sink.write(adapter.handle_batch(now, count, body))
        sink.flush()


def main() -> int:
    """Runs the adapter; returns the exit status, 2 if the input is malformed."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedInputError as error:
        print(f"edge-router: malformed input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
