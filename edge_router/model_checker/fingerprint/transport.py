"""The state of the codecs, the connections, the client sessions and the timers."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from edge_router.model_checker.fingerprint.common import REPORTED, WIRING, Fields, Frame, Ledger
from edge_router.model_checker.fingerprint.proxy import encode_command
from edge_router.protocol import fastcgi
from edge_router.protocol.resp import RespDecoder
from edge_router.proxy import request_table
from edge_router.runtime.timers import Timers
from edge_router.transport.client_session import ClientSession
from edge_router.transport.upstream_channel import UpstreamChannel

TRANSPORT: Ledger = {
    Timers: Fields(
        "_heap",
        {
            "_clock": WIRING,
            "_monotonic": WIRING,
            "_wake": WIRING,
            "_sequence": "the order of equal times is that of the heap",
            "_last_run": "read for what waits unread; bytes are read as soon as they arrive here",
            "_stall_start": "read for what waits unread; bytes are read as soon as they arrive here",
            "_stall_end": "read for what waits unread; bytes are read as soon as they arrive here",
        },
    ),
    UpstreamChannel: Fields(
        "_queue _partial_write _write_blocked buffer decoder local_shortage connected closed "
        "partial_received_at",
        {
            "_owner": WIRING,
            "_clock": WIRING,
            "_sock": WIRING,
            "_flushing": "false between steps",
            "_close_reason": REPORTED,
        },
    ),
    RespDecoder: Fields("_items _missing_items _bulk_size", {}),
    ClientSession: Fields(
        "_decoder _buffer _close_reason _partial_since silent _control_records _responses _unsent_bytes "
        "_partial_write _write_blocked _client_stalled closing finished",
        {
            "_sock": WIRING,
            "sock": "encoded by its fields",
            "_handler": WIRING,
            "_clock": WIRING,
            "_budget": WIRING,
            "last_used": "read by the check of idle clients, which is not played here",
            "time_unread": "bytes are read as soon as they arrive here",
            "_max_unread_time": "bytes are read as soon as they arrive here",
            "_last_unread_time": "bytes are read as soon as they arrive here",
        },
    ),
    fastcgi.FastCgiDecoder: Fields(
        "_partial_requests open_ids consecutive_rejections keep_connection",
        {"_budget": WIRING, "_clock": WIRING},
    ),
}


def encode_channel(channel: UpstreamChannel, frame: Frame) -> tuple[Any, ...]:
    """A connection to a cache: its queue, buffers and decoder."""
    buffer, decoder = channel.buffer, channel.decoder
    return (
        tuple(encode_command(command, frame) for command in channel._queue),
        channel._partial_write,
        channel._write_blocked,
        bytes(buffer._data[buffer._start : buffer._end]),
        tuple(decoder._items),
        decoder._missing_items,
        decoder._bulk_size,
        channel.local_shortage,
        channel.connected,
        channel.closed,
        frame.time(channel.partial_received_at or 0.0),
    )


def encode_session(session: ClientSession, frame: Frame) -> tuple[Any, ...]:
    """A client connection: its decoder, its buffers and what it still owes."""
    decoder = session._decoder
    return (
        tuple(sorted(decoder.open_ids)),
        tuple(sorted(decoder._partial_requests)),
        decoder.consecutive_rejections,
        decoder.keep_connection,
        len(session._buffer),
        str(session._close_reason or ""),
        frame.time(session._partial_since or 0.0),
        session.silent,
        tuple(session._control_records),
        tuple((request_id, tuple(records)) for request_id, records in session._responses),
        session._unsent_bytes,
        bytes(session._partial_write),
        session._write_blocked,
        session._client_stalled,
    )


def encode_timers(timers: Timers, seconds: float, frame: Frame) -> tuple[Any, ...]:
    """All alarms that are set, in their order; `seconds` is the present on the clock of the timers."""
    return tuple(
        (round(due - seconds, 6), _call(alarm.callback, frame))
        for due, _, alarm in sorted(timers._heap, key=lambda entry: entry[:2])
        if alarm.callback is not None
    )


def _call(call: Callable[[], None], frame: Frame) -> tuple[Any, ...]:
    """What an alarm will do: the name of the function, and the requests and attempts it is bound to."""
    if not isinstance(call, partial):
        return (getattr(call, "__name__", ""),)
    found: list[Any] = [getattr(call.func, "__name__", "")]
    for argument in call.args:
        if isinstance(argument, request_table.Attempt):
            found += [frame.place(argument.request.request_number), argument.index]
        elif isinstance(argument, request_table.ActiveRequest):
            found.append(frame.place(argument.request_number))
        else:
            found.append(frame.place(getattr(argument, "token", -1)))
    return tuple(found)
