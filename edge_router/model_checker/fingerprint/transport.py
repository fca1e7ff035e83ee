"""Encodes the codecs, the connections, the client sessions and the timers."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from edge_router.model_checker.fingerprint.common import (
    DERIVED,
    REFERENCE,
    REPORTED,
    Fields,
    Ledger,
    ReferenceFrame,
)
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
            "_clock": REFERENCE,
            "_monotonic": REFERENCE,
            "_wake": REFERENCE,
            "_compact_at": "no model sets as many timers",
            "_sequence": "timers are encoded in the order in which they fire, also at equal times",
            "_longest_run": REPORTED,
            "_last_run": "only used for the time that bytes wait unread, which is 0 in the model",
            "_stall_start": "only used for the time that bytes wait unread, which is 0 in the model",
            "_stall_end": "only used for the time that bytes wait unread, which is 0 in the model",
        },
    ),
    UpstreamChannel: Fields(
        "_queue _partial_write _partial_command _write_blocked buffer decoder local_failure connected closed "
        "partial_received_at",
        {
            "_owner": REFERENCE,
            "_clock": REFERENCE,
            "_sock": REFERENCE,
            "_flushing": "false between steps",
            "arrays_left": "no connection of the model brings as many responses at once as a turn processes",
            "_close_reason": REPORTED,
        },
    ),
    RespDecoder: Fields(
        "_bulk_received _items _missing_items _bulk_size _bulk",
        {"_array_size": "follows from the items", "wanted": REFERENCE},
    ),
    ClientSession: Fields(
        "_decoder _buffer _close_reason _partial_since silent _control_records _responses _unsent_bytes "
        "_partial_write _blocked_write_bytes _write_blocked _client_stalled closing finished",
        {
            "_sock": REFERENCE,
            "sock": "encoded by its fields, with the environment",
            "_handler": REFERENCE,
            "_clock": REFERENCE,
            "_budget": REFERENCE,
            "last_used": "read by the check of idle clients, which the model does not run",
            "time_unread": "in the model, bytes are read as soon as they arrive",
            "_max_unread_time": "in the model, bytes are read as soon as they arrive",
            "_final_bytes_unread_time": "in the model, bytes are read as soon as they arrive",
            "_received_at": "in the model, bytes are read as soon as they arrive",
            "_records_left": "no client of the model sends as many records at once as a turn processes",
            "_processing_input": "false between steps",
            "_input_callbacks": "empty, as polls of the model process all input",
        },
    ),
    fastcgi.FastCgiDecoder: Fields(
        "_partial_requests open_ids consecutive_rejections keep_connection _record",
        {
            "_partial_bytes": DERIVED,
            "completed_records": "only compared before and after one read",
            "_budget": REFERENCE,
            "_clock": REFERENCE,
            "stray_records": "clients of the model send too few records to reach the limit",
            "stray_bytes": "clients of the model send too few records to reach the limit",
        },
    ),
}


def encode_channel(channel: UpstreamChannel, frame: ReferenceFrame) -> tuple[Any, ...]:
    """Encodes a connection to a cache: its queue, buffers and decoder."""
    buffer, decoder = channel.buffer, channel.decoder
    return (
        tuple(encode_command(command, frame) for command in channel._queue),
        channel._partial_write,
        encode_command(channel._partial_command, frame) if channel._partial_command else (),
        channel._write_blocked,
        bytes(buffer._data[buffer._start : buffer._end]),
        tuple(decoder._items),
        decoder._missing_items,
        decoder._bulk_size,
        bytes(decoder._bulk),
        decoder._bulk_received,
        channel.local_failure,
        channel.connected,
        channel.closed,
        frame.time(channel.partial_received_at or 0.0),
    )


def encode_session(session: ClientSession, frame: ReferenceFrame) -> tuple[Any, ...]:
    """Encodes a client connection: its decoder, its buffers and the responses that it still has to send."""
    decoder = session._decoder
    return (
        tuple(sorted(decoder.open_ids)),
        tuple(sorted(decoder._partial_requests)),
        decoder.consecutive_rejections,
        decoder.keep_connection,
        decoder._record is not None and (decoder._record.request_id, decoder._record.missing),
        len(session._buffer),
        str(session._close_reason or ""),
        frame.time(session._partial_since or 0.0),
        session.silent,
        tuple(session._control_records),
        tuple((request_id, tuple(records)) for request_id, records in session._responses),
        session._unsent_bytes,
        bytes(session._partial_write),
        session._blocked_write_bytes,
        session._write_blocked,
        session._client_stalled,
    )


def encode_timers(timers: Timers, monotonic_now: float, frame: ReferenceFrame) -> tuple[Any, ...]:
    """Encodes all timers that are set, in the order in which they fire; `monotonic_now` is in seconds."""
    return tuple(
        (round(due - monotonic_now, 6), _callback(timer.callback, frame))
        for due, _, timer in sorted(timers._heap, key=lambda entry: entry[:2])
        if timer.callback is not None
    )


def _callback(callback: Callable[[], None], frame: ReferenceFrame) -> tuple[Any, ...]:
    """Encodes what a timer will do: the function's name, and the requests and attempts it is bound to."""
    if not isinstance(callback, partial):
        return (getattr(callback, "__name__", ""),)
    encoded: list[Any] = [getattr(callback.func, "__name__", "")]
    for argument in callback.args:
        if isinstance(argument, request_table.Attempt):
            encoded += [frame.request_position(argument.request.request_number), argument.index]
        elif isinstance(argument, request_table.ActiveRequest):
            encoded.append(frame.request_position(argument.request_number))
        else:
            encoded.append(frame.request_position(getattr(argument, "token", -1)))
    return tuple(encoded)
