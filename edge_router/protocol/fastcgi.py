"""A codec without I/O for the server side of FastCGI 1.0, in the Responder role.

Source: the FastCGI 1.0 specification; section 8 lists the types and constants.
"""

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
    """The types of records; plain integers, as comparing enum members for each record would be slower."""

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
    """The values of protocolStatus in an END_REQUEST record."""

    COMPLETE = 0
    CANT_MPX_CONN = 1
    OVERLOADED = 2
    UNKNOWN_ROLE = 3


class RequestError(StrEnum):
    """Why a request is invalid; the log shows the value."""

    PARAMS_TOO_LONG = "parameters are too long"
    BODY_TOO_LONG = "body is too long"
    RECEIVE_TIMEOUT = "request not complete at the receive timeout"
    MALFORMED_PARAMS = "malformed parameters"
    TOO_MANY_PARAMS = "too many parameters"


PROTOCOL_VERSION = 1
RESPONDER = 1  # the only role that is served
KEEP_CONN = 1  # flag of BEGIN_REQUEST: the client closes the connection, not the server

MAX_OPEN_REQUESTS = 32  # on one connection
MAX_PARAMS_SIZE = 32_768  # bytes
MAX_PARAMS = 256  # name-value pairs; each costs far more memory and CPU time than its bytes
MAX_BODY_SIZE = 65_536  # bytes
MAX_CONTROL_CONTENT = 1024  # bytes of a record that is not part of a stream
MAX_RECORD_CONTENT = 16_384  # bytes of a response in one record; small, so that responses interleave

# Those of a request may be long, and their content is consumed in parts.
_STREAM_TYPES = frozenset((RecordType.PARAMS, RecordType.STDIN, RecordType.DATA))
_HEADER = struct.Struct(">BBHHBB")
_BEGIN = struct.Struct(">HB5x")
_END = struct.Struct(">IB3x")
_UNKNOWN_TYPE = struct.Struct(">B7x")
_LONG_LENGTH = 128  # a first byte of at least this value begins a length of four bytes
_ABORTED_APP_STATUS = 1  # application status of a request that was aborted while incomplete
_VARIABLES = {"FCGI_MAX_CONNS": "300", "FCGI_MAX_REQS": "9600", "FCGI_MPXS_CONNS": "1"}


class FastCgiError(Exception):
    """A record breaks the protocol; the connection has to be closed."""


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """What is wrong with a request; `str()` gives the reason to log."""

    error: RequestError
    detail: str | None = None

    def __str__(self) -> str:
        return self.error.value if self.detail is None else f"{self.error}: {self.detail}"


class RequestComplete(NamedTuple):
    """A completely received request, or an invalid one, which has to be answered with an error.

    `invalid` is set for an invalid request, whose `params` and `body` are empty.
    """

    request_id: int
    params: dict[str, str]
    body: bytes
    invalid: InvalidRequest | None


class RequestAborted(NamedTuple):
    """The client aborted a complete request and no longer waits for the response."""

    request_id: int


class RecordReply(NamedTuple):
    """Encoded records to send back, which need no decision of the router."""

    data: bytes


DecoderEvent = RequestComplete | RequestAborted | RecordReply


@dataclass(slots=True)
class _PartialRecord:
    """A record of which the header has been received, and not all of the rest."""

    record_type: int
    request_id: int
    missing: int  # bytes of the content that were not consumed yet
    padding: int
    is_stream: bool  # its content is consumed in parts; that of other records is needed whole
    is_empty: bool  # it has no content


@dataclass(slots=True)
class _PartialRequest:
    """A request of which not all records have been received."""

    started_at: float  # ms on the decoder's clock
    params: bytearray = field(default_factory=bytearray)
    body: bytearray = field(default_factory=bytearray)
    params_size: int = 0  # bytes received, also those that were dropped
    body_size: int = 0  # bytes received, also those that were dropped
    params_complete: bool = False
    over_budget: bool = False  # content was dropped, as the memory budget was used up

    def size(self) -> int:
        """Returns how many bytes are reserved for the request in the memory budget."""
        return len(self.params) + len(self.body)


def record(record_type: int, request_id: int, content: bytes = b"") -> bytes:
    """Encodes one record, without padding."""
    return _HEADER.pack(PROTOCOL_VERSION, record_type, request_id, len(content), 0, 0) + content


def end_record(request_id: int, status: int = ProtocolStatus.COMPLETE, app_status: int = 0) -> bytes:
    """Encodes the END_REQUEST record of a request."""
    return record(RecordType.END_REQUEST, request_id, _END.pack(app_status, status))


def response_records(request_id: int, head: bytes, body: bytes) -> deque[bytes]:
    """Encodes a complete response; the last element holds the end of STDOUT and the END_REQUEST record."""
    first = max(0, MAX_RECORD_CONTENT - len(head))
    records = deque((record(RecordType.STDOUT, request_id, head + body[:first]),))
    for start in range(first, len(body), MAX_RECORD_CONTENT):
        records.append(record(RecordType.STDOUT, request_id, body[start : start + MAX_RECORD_CONTENT]))
    records.append(record(RecordType.STDOUT, request_id) + end_record(request_id))
    return records


def _read_length(data: bytes, position: int) -> tuple[int, int]:
    """Returns the length encoded at this position in one or four bytes, and the position after it."""
    if data[position] < _LONG_LENGTH:
        return data[position], position + 1
    return int.from_bytes(data[position : position + 4], "big") & 0x7FFFFFFF, position + 4


class TooManyPairsError(ValueError):
    """The data has more than `MAX_PARAMS` name-value pairs."""


def parse_pairs(data: bytes) -> dict[str, str]:
    """Parses name-value pairs.

    Raises ValueError if they are truncated, and TooManyPairsError if they are more than `MAX_PARAMS`.
    """
    found: dict[str, str] = {}
    count = position = 0
    while position < len(data):
        count += 1
        if count > MAX_PARAMS:
            raise TooManyPairsError(f"more than {MAX_PARAMS} name-value pairs")
        try:
            name_size, position = _read_length(data, position)
            value_size, position = _read_length(data, position)
        except IndexError:
            raise ValueError("truncated length") from None
        value_start = position + name_size
        end = value_start + value_size
        if end > len(data):
            raise ValueError("truncated name-value pair")
        name = data[position:value_start].decode("latin-1")
        found[name] = data[value_start:end].decode("latin-1")
        position = end
    return found


def _get_values_result(query: bytes) -> bytes:
    """Encodes the GET_VALUES_RESULT record that answers the content of a GET_VALUES record."""
    try:
        names = parse_pairs(query)
    except ValueError as error:
        raise FastCgiError(f"malformed GET_VALUES: {error}") from error
    content = b"".join(
        bytes((len(name), len(_VARIABLES[name]))) + name.encode() + _VARIABLES[name].encode()
        for name in names
        if name in _VARIABLES
    )
    return record(RecordType.GET_VALUES_RESULT, 0, content)


class FastCgiDecoder:
    """Decodes the records of one connection to requests, regardless of how their bytes are split into reads.

    `clock` returns milliseconds; the bytes of partial requests are reserved in `budget`.
    """

    def __init__(self, budget: MemoryBudget, clock: Callable[[], float]) -> None:
        self._budget = budget
        self._clock = clock
        self._partial_requests: dict[int, _PartialRequest] = {}
        self._partial_bytes = 0  # reserved for them
        self._record: _PartialRecord | None = None
        self.completed_records = 0  # since the connection was opened
        self.open_ids: set[int] = set()  # ids in use, until their END_REQUEST is written
        # Requests rejected in a row, here or by the handler. The session counts the latter, and resets the
        # number after each accepted request. Requests that are not complete in time do not count.
        self.consecutive_rejections = 0
        # Records and their bytes, since the last accepted request, that brought no request further: of
        # unknown types, management records, and records of requests that are not being received.
        self.stray_records = 0
        self.stray_bytes = 0
        self.keep_connection = True  # whether the client asked to keep it open after the responses

    def complete_count(self) -> int:
        """Returns how many complete requests are unanswered."""
        return len(self.open_ids) - len(self._partial_requests)

    def partial_count(self) -> int:
        """Returns how many requests have begun and are not complete."""
        return len(self._partial_requests)

    def request_accepted(self) -> None:
        """Starts the counts of rejected requests and stray records again, as the handler took a request."""
        self.consecutive_rejections = self.stray_records = self.stray_bytes = 0

    def in_record(self) -> bool:
        """Returns whether a record has begun, of which not all content has been received."""
        return self._record is not None

    def decode_events(self, buffer: ReceiveBuffer, max_records: int | None = None) -> Iterator[DecoderEvent]:
        """Consumes what the buffer holds, up to the end of `max_records` records.

        The content of a record is consumed as it arrives, so that the buffer stays small. Raises FastCgiError
        if the records break the protocol.
        """
        end = None if max_records is None else self.completed_records + max_records
        while self.completed_records != end:
            record_begun = self._record or self._begin_record(buffer)
            if record_begun is None:
                return
            if (content := self._read_content(record_begun, buffer)) and (
                event := self._on_content(record_begun.record_type, record_begun.request_id, content)
            ):
                yield event
            padding = record_begun.padding
            if record_begun.missing or len(buffer) < padding:
                return
            buffer.skip(padding)
            self._record = None
            self.completed_records += 1
            if record_begun.is_empty and (
                event := self._on_content(record_begun.record_type, record_begun.request_id, b"")
            ):
                yield event

    def _begin_record(self, buffer: ReceiveBuffer) -> _PartialRecord | None:
        """Consumes the header of a record; returns None if it is not complete yet."""
        if len(buffer) < _HEADER.size:
            return None
        version, record_type, request_id, length, padding, _ = buffer.peek_struct(_HEADER)
        if version != PROTOCOL_VERSION:
            raise FastCgiError(f"unsupported protocol version {version}")
        is_stream = bool(request_id) and record_type in _STREAM_TYPES
        if not is_stream and length > MAX_CONTROL_CONTENT:
            raise FastCgiError(f"content of {length} bytes in a record of type {record_type}")
        buffer.skip(_HEADER.size)
        self._record = _PartialRecord(record_type, request_id, length, padding, is_stream, not length)
        return self._record

    @staticmethod
    def _read_content(record_begun: _PartialRecord, buffer: ReceiveBuffer) -> bytes:
        """Consumes the content that has arrived; nothing of one that is needed whole before all of it has."""
        if not record_begun.is_stream and len(buffer) < record_begun.missing:
            return b""
        content = buffer.read(record_begun.missing)
        record_begun.missing -= len(content)
        return content

    def expire_partial(self, started_before: float) -> Iterator[RequestComplete]:
        """Yields, as invalid, the partial requests that began before this time (ms on the clock)."""
        for request_id in [
            request_id
            for request_id, partial in self._partial_requests.items()
            if partial.started_at < started_before
        ]:
            yield self._complete_as_invalid(request_id, RequestError.RECEIVE_TIMEOUT)

    def has_partial_since(self, started_before: float) -> bool:
        """Returns whether a partial request began before this time (ms on the clock)."""
        return any(partial.started_at < started_before for partial in self._partial_requests.values())

    def close(self) -> None:
        """Releases the memory of partial requests; no input may follow."""
        for request_id in list(self._partial_requests):
            self._discard_partial(request_id)

    def _on_content(self, record_type: int, request_id: int, content: bytes) -> DecoderEvent | None:
        """Handles the content of a record, or a part of it if its type is in `_STREAM_TYPES`."""
        if record_type == RecordType.GET_VALUES:
            self._count_stray(content)
            return RecordReply(_get_values_result(content))
        if not request_id or record_type > RecordType.GET_VALUES_RESULT:
            self._count_stray(content)
            return RecordReply(record(RecordType.UNKNOWN_TYPE, 0, _UNKNOWN_TYPE.pack(record_type)))
        if record_type == RecordType.BEGIN_REQUEST:
            return self._on_begin(request_id, content)
        if record_type == RecordType.ABORT_REQUEST:
            return self._on_abort(request_id)
        partial = self._partial_requests.get(request_id)
        if partial is not None and record_type == RecordType.PARAMS:
            return self._on_params(request_id, partial, content)
        if partial is not None and record_type == RecordType.STDIN:
            return self._on_stdin(request_id, partial, content)
        self._count_stray(content)
        return None  # FastCGI 1.0: records of unknown requests are ignored

    def _count_stray(self, content: bytes) -> None:
        self.stray_records += 1
        self.stray_bytes += _HEADER.size + len(content)

    def _on_begin(self, request_id: int, content: bytes) -> RecordReply | None:
        if len(content) < _BEGIN.size:
            raise FastCgiError("truncated BEGIN_REQUEST")
        if request_id in self.open_ids:
            raise FastCgiError(f"request id {request_id} is already open")
        role, flags = _BEGIN.unpack_from(content)
        self.keep_connection = bool(flags & KEEP_CONN)
        if role != RESPONDER:
            return self._reject(request_id, ProtocolStatus.UNKNOWN_ROLE)
        if len(self.open_ids) >= MAX_OPEN_REQUESTS:
            return self._reject(request_id, ProtocolStatus.OVERLOADED)
        self.open_ids.add(request_id)
        self._partial_requests[request_id] = _PartialRequest(self._clock())
        return None

    def _on_abort(self, request_id: int) -> RequestAborted | RecordReply | None:
        if request_id not in self.open_ids:
            self._count_stray(b"")
            return None
        if request_id not in self._partial_requests:
            return RequestAborted(request_id)
        self._count_stray(b"")
        self._discard_partial(request_id)
        self.open_ids.discard(request_id)
        return RecordReply(end_record(request_id, ProtocolStatus.COMPLETE, _ABORTED_APP_STATUS))

    def _on_params(self, request_id: int, partial: _PartialRequest, content: bytes) -> RequestComplete | None:
        partial.params_size += len(content)
        if not content:
            if partial.params_complete:
                self._count_stray(content)
            partial.params_complete = True
        elif partial.params_complete or partial.params_size > MAX_PARAMS_SIZE:
            return self._complete_as_invalid(request_id, RequestError.PARAMS_TOO_LONG)
        elif self._reserve(partial, len(content)):
            partial.params += content
        return None

    def _on_stdin(
        self, request_id: int, partial: _PartialRequest, content: bytes
    ) -> RequestComplete | RecordReply | None:
        if not content:
            return self._on_end_of_body(request_id, partial)
        partial.body_size += len(content)
        if partial.body_size > MAX_BODY_SIZE:
            return self._complete_as_invalid(request_id, RequestError.BODY_TOO_LONG)
        if self._reserve(partial, len(content)):
            partial.body += content
        return None

    def _reserve(self, partial: _PartialRequest, count: int) -> bool:
        """Reserves memory for more content of a request; returns whether there was enough.

        A request that once found too little is rejected at its end, so all of its content is dropped.
        """
        if not partial.over_budget and self._budget.can_reserve_incomplete(count, self._partial_bytes):
            self._budget.reserve_incomplete(count)
            self._partial_bytes += count
            return True
        self._release(partial)
        partial.params, partial.body, partial.over_budget = bytearray(), bytearray(), True
        return False

    def _on_end_of_body(self, request_id: int, partial: _PartialRequest) -> RequestComplete | RecordReply:
        self._discard_partial(request_id)
        if partial.over_budget:
            return self._reject(request_id, ProtocolStatus.OVERLOADED)
        try:
            params = parse_pairs(bytes(partial.params))
        except TooManyPairsError:
            return RequestComplete(request_id, {}, b"", InvalidRequest(RequestError.TOO_MANY_PARAMS))
        except ValueError as error:
            invalid = InvalidRequest(RequestError.MALFORMED_PARAMS, str(error))
            return RequestComplete(request_id, {}, b"", invalid)
        return RequestComplete(request_id, params, bytes(partial.body), None)

    def _complete_as_invalid(self, request_id: int, error: RequestError) -> RequestComplete:
        """Returns a partial request as complete and invalid; later records of the request are ignored."""
        self._discard_partial(request_id)
        return RequestComplete(request_id, {}, b"", InvalidRequest(error))

    def _reject(self, request_id: int, status: ProtocolStatus) -> RecordReply:
        """Ends a request with an END_REQUEST record of this status, without passing it to the handler."""
        self.open_ids.discard(request_id)
        self.consecutive_rejections += 1
        return RecordReply(end_record(request_id, status))

    def _discard_partial(self, request_id: int) -> None:
        """Removes a partial request and releases its memory."""
        self._release(self._partial_requests.pop(request_id))

    def _release(self, partial: _PartialRequest) -> None:
        """Releases the memory that is reserved for a partial request."""
        self._budget.release_incomplete(partial.size())
        self._partial_bytes -= partial.size()
