"""The server side of FastCGI 1.0 in the role Responder: a codec without I/O."""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import NamedTuple

from edge_router.protocol.buffer import ReceiveBuffer
from edge_router.runtime.memory_budget import MemoryBudget


class RecordType:
    """The types of records; FastCGI 1.0, section 8. Plain numbers, as they are compared for each record."""

    BEGIN_REQUEST = 1
    ABORT_REQUEST = 2
    END_REQUEST = 3
    PARAMS = 4
    STDIN = 5
    STDOUT = 6
    STDERR = 7
    DATA = 8
    GET_VALUES = 9
    GET_VALUES_RESULT = 10
    UNKNOWN_TYPE = 11


class ProtocolStatus(IntEnum):
    """The protocol status in an END_REQUEST record."""

    COMPLETE = 0
    CANT_MPX_CONN = 1
    OVERLOADED = 2
    UNKNOWN_ROLE = 3


class RequestError(StrEnum):
    """Why a request is invalid, in the words of the log."""

    PARAMS_TOO_LONG = "the parameters are too long"
    BODY_TOO_LONG = "the body is too long"
    INCOMPLETE_IN_TIME = "not whole in time"
    MALFORMED_PARAMS = "parameters"


PROTOCOL_VERSION = 1
RESPONDER = 1  # the one role that is served
KEEP_CONN = 1  # the flag of BEGIN_REQUEST that leaves the closing to the client

MAX_OPEN_REQUESTS = 32  # on one connection
MAX_PARAMS_SIZE = 32_768  # bytes
MAX_BODY_SIZE = 65_536  # bytes
MAX_RECORD_CONTENT = 16_384  # bytes of a response in one record; small, so that responses can interleave

_HEADER = struct.Struct(">BBHHBB")
_BEGIN = struct.Struct(">HB5x")
_END = struct.Struct(">IB3x")
_UNKNOWN_TYPE = struct.Struct(">B7x")
_LONG_LENGTH = 128  # a first byte from here on begins a length of four bytes
_ABORTED_APP_STATUS = 1  # of a request that was aborted before it was complete
_VALUES = {"FCGI_MAX_CONNS": "300", "FCGI_MAX_REQS": "9600", "FCGI_MPXS_CONNS": "1"}


class FastCgiError(Exception):
    """Records that break the protocol; the connection has to be closed."""


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """What is wrong with a request; its text is the reason that is logged."""

    error: RequestError
    detail: str | None = None

    def __str__(self) -> str:
        return self.error.value if self.detail is None else f"{self.error}: {self.detail}"


class RequestComplete(NamedTuple):
    """A request that was received completely, or, with `invalid` set, one to be answered with an error.

    `params` and `body` are empty if the request is invalid.
    """

    ident: int
    params: dict[str, str]
    body: bytes
    invalid: InvalidRequest | None


class RequestAborted(NamedTuple):
    """The client no longer waits for the response to a complete request."""

    ident: int


class RecordReply(NamedTuple):
    """Records to send that answer records of the client by the protocol alone."""

    data: bytes


DecoderEvent = RequestComplete | RequestAborted | RecordReply


@dataclass(slots=True)
class _PartialRequest:
    """A request that is not complete yet."""

    started_at: float  # ms on the decoder's clock
    params: bytearray = field(default_factory=bytearray)
    body: bytearray = field(default_factory=bytearray)
    params_complete: bool = False
    over_budget: bool = False  # content was dropped for lack of memory

    def size(self) -> int:
        """The bytes reserved for it in the memory budget."""
        return len(self.params) + len(self.body)


def record(record_type: int, ident: int, content: bytes = b"") -> bytes:
    """One record, without padding."""
    return _HEADER.pack(PROTOCOL_VERSION, record_type, ident, len(content), 0, 0) + content


def end_record(ident: int, status: int = ProtocolStatus.COMPLETE, app_status: int = 0) -> bytes:
    """The END_REQUEST record of a request."""
    return record(RecordType.END_REQUEST, ident, _END.pack(app_status, status))


def response_records(ident: int, head: bytes, body: bytes) -> deque[bytes]:
    """The records of a complete response, the last with its END_REQUEST."""
    first = max(0, MAX_RECORD_CONTENT - len(head))
    records = deque((record(RecordType.STDOUT, ident, head + body[:first]),))
    for start in range(first, len(body), MAX_RECORD_CONTENT):
        records.append(record(RecordType.STDOUT, ident, body[start : start + MAX_RECORD_CONTENT]))
    records.append(record(RecordType.STDOUT, ident) + end_record(ident))
    return records


def _read_length(data: bytes, position: int) -> tuple[int, int]:
    """The length at this position, of one or four bytes, and the position after it."""
    if data[position] < _LONG_LENGTH:
        return data[position], position + 1
    return int.from_bytes(data[position : position + 4], "big") & 0x7FFFFFFF, position + 4


def parse_pairs(data: bytes) -> dict[str, str]:
    """Name-value pairs; raises ValueError if they are truncated."""
    found, position = {}, 0
    while position < len(data):
        try:
            name_size, position = _read_length(data, position)
            value_size, position = _read_length(data, position)
        except IndexError:
            raise ValueError("a length is cut short") from None
        value_start = position + name_size
        end = value_start + value_size
        if end > len(data):
            raise ValueError("a pair is cut short")
        name = data[position:value_start].decode("latin-1")
        found[name] = data[value_start:end].decode("latin-1")
        position = end
    return found


def _values_result(query: bytes) -> bytes:
    """The GET_VALUES_RESULT record for the names in a GET_VALUES record."""
    try:
        names = parse_pairs(query)
    except ValueError as error:
        raise FastCgiError(f"values asked for: {error}") from error
    content = b"".join(
        bytes((len(name), len(_VALUES[name]))) + name.encode() + _VALUES[name].encode()
        for name in names
        if name in _VALUES
    )
    return record(RecordType.GET_VALUES_RESULT, 0, content)


class FastCgiDecoder:
    """Decodes the records of one connection to requests, however the bytes were split into reads.

    `clock` gives milliseconds; the bytes of partial requests are reserved in `budget`.
    """

    def __init__(self, budget: MemoryBudget, clock: Callable[[], float]) -> None:
        self._budget = budget
        self._clock = clock
        self._partial_requests: dict[int, _PartialRequest] = {}
        self.open_ids: set[int] = set()  # ids in use, until their END_REQUEST is written
        self.rejected_in_a_row = 0  # requests
        self.keep_connection = True  # whether the client wants it kept open once all requests are answered

    def complete_count(self) -> int:
        """How many complete requests are unanswered."""
        return len(self.open_ids) - len(self._partial_requests)

    def partial_count(self) -> int:
        """How many requests have begun and are not complete."""
        return len(self._partial_requests)

    def decode_events(self, buffer: ReceiveBuffer) -> Iterator[DecoderEvent]:
        """Consumes the complete records of the buffer; raises FastCgiError if they break the protocol."""
        while len(buffer) >= _HEADER.size:
            version, record_type, ident, length, padding, _ = buffer.peek_struct(_HEADER)
            if version != PROTOCOL_VERSION:
                raise FastCgiError(f"version {version}")
            if len(buffer) < _HEADER.size + length + padding:
                return
            buffer.skip(_HEADER.size)
            content = buffer.read(length)
            buffer.skip(padding)
            event = self._on_record(record_type, ident, content)
            if event is not None:
                yield event

    def expire_partial(self, started_before: float) -> Iterator[RequestComplete]:
        """Ends the partial requests that began before this time (ms on the clock)."""
        for ident in [
            ident for ident, partial in self._partial_requests.items() if partial.started_at < started_before
        ]:
            yield self._reject_invalid(ident, RequestError.INCOMPLETE_IN_TIME)

    def close(self) -> None:
        """Releases the memory of partial requests; no more input follows."""
        for ident in list(self._partial_requests):
            self._discard_partial(ident)

    def _on_record(self, record_type: int, ident: int, content: bytes) -> DecoderEvent | None:
        if record_type == RecordType.GET_VALUES:
            return RecordReply(_values_result(content))
        if not ident or record_type > RecordType.GET_VALUES_RESULT:
            return RecordReply(record(RecordType.UNKNOWN_TYPE, 0, _UNKNOWN_TYPE.pack(record_type)))
        if record_type == RecordType.BEGIN_REQUEST:
            return self._on_begin(ident, content)
        if record_type == RecordType.ABORT_REQUEST:
            return self._on_abort(ident)
        partial = self._partial_requests.get(ident)
        if partial is None:
            return None  # FastCGI 1.0 has records of unknown ids ignored
        if record_type == RecordType.PARAMS:
            return self._on_params(ident, partial, content)
        if record_type == RecordType.STDIN:
            return self._on_stdin(ident, partial, content)
        return None

    def _on_begin(self, ident: int, content: bytes) -> RecordReply | None:
        if len(content) < _BEGIN.size:
            raise FastCgiError("BEGIN_REQUEST is cut short")
        if ident in self.open_ids:
            raise FastCgiError(f"id {ident} is open already")
        role, flags = _BEGIN.unpack_from(content)
        self.keep_connection = bool(flags & KEEP_CONN)
        if role != RESPONDER:
            return self._reject(ident, ProtocolStatus.UNKNOWN_ROLE)
        if len(self.open_ids) >= MAX_OPEN_REQUESTS:
            return self._reject(ident, ProtocolStatus.OVERLOADED)
        self.open_ids.add(ident)
        self._partial_requests[ident] = _PartialRequest(self._clock())
        return None

    def _on_abort(self, ident: int) -> RequestAborted | RecordReply | None:
        if ident not in self.open_ids:
            return None
        if ident not in self._partial_requests:
            return RequestAborted(ident)
        self._discard_partial(ident)
        self.open_ids.discard(ident)
        return RecordReply(end_record(ident, ProtocolStatus.COMPLETE, _ABORTED_APP_STATUS))

    def _on_params(self, ident: int, partial: _PartialRequest, content: bytes) -> RequestComplete | None:
        if not content:
            partial.params_complete = True
        elif not self._budget.can_reserve(len(content)):
            partial.over_budget = True
        elif partial.params_complete or len(partial.params) + len(content) > MAX_PARAMS_SIZE:
            return self._reject_invalid(ident, RequestError.PARAMS_TOO_LONG)
        else:
            partial.params += content
            self._budget.reserve(len(content))
        return None

    def _on_stdin(
        self, ident: int, partial: _PartialRequest, content: bytes
    ) -> RequestComplete | RecordReply | None:
        if not content:
            return self._on_end_of_body(ident, partial)
        if not self._budget.can_reserve(len(content)):
            partial.over_budget = True
        elif len(partial.body) + len(content) > MAX_BODY_SIZE:
            return self._reject_invalid(ident, RequestError.BODY_TOO_LONG)
        else:
            partial.body += content
            self._budget.reserve(len(content))
        return None

    def _on_end_of_body(self, ident: int, partial: _PartialRequest) -> RequestComplete | RecordReply:
        self._discard_partial(ident)
        if partial.over_budget:
            return self._reject(ident, ProtocolStatus.OVERLOADED)
        try:
            params = parse_pairs(bytes(partial.params))
        except ValueError as error:
            invalid = InvalidRequest(RequestError.MALFORMED_PARAMS, str(error))
            return RequestComplete(ident, {}, b"", invalid)
        return RequestComplete(ident, params, bytes(partial.body), None)

    def _reject_invalid(self, ident: int, error: RequestError) -> RequestComplete:
        """Ends a partial request with an error; the records that still come for it are ignored."""
        self._discard_partial(ident)
        return RequestComplete(ident, {}, b"", InvalidRequest(error))

    def _reject(self, ident: int, status: ProtocolStatus) -> RecordReply:
        self.open_ids.discard(ident)
        self.rejected_in_a_row += 1
        return RecordReply(end_record(ident, status))

    def _discard_partial(self, ident: int) -> None:
        """Takes a request off the partial ones and releases its memory."""
        self._budget.release(self._partial_requests.pop(ident).size())
