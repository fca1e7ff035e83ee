"""Checks the decoders of RESP and FastCGI: each split of a stream into reads must decode to the same.

Legal streams of up to `ALL_SPLITS_MAX_SIZE` bytes are split in all 2 ** (n - 1) ways; longer ones are left
whole, and split byte by byte, at each single offset and at each pair of offsets. Changed streams are legal
ones that are truncated at each offset or have one byte replaced; they are left whole, and split byte by byte
and in the middle. Illegal streams are written by hand, and split like legal ones, but at no pairs of offsets;
those longer than `SINGLE_SPLITS_MAX_SIZE` bytes are only left whole and split byte by byte. Every split must
give the same outcome, and a decoder may raise only its own errors.
"""

from __future__ import annotations

import itertools
import struct
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from edge_router.model_checker.machine import Violation
from edge_router.model_checker.results import Found
from edge_router.protocol import fastcgi, resp
from edge_router.protocol.buffer import BufferFullError, ReceiveBuffer
from edge_router.protocol.fastcgi import RecordType
from edge_router.runtime.memory_budget import MemoryBudget

ALL_SPLITS_MAX_SIZE = 12  # bytes
SINGLE_SPLITS_MAX_SIZE = 200  # bytes; longer illegal streams are not split at each offset
SHORT_RUN_PAIRS_MAX_SIZE = 40  # bytes; a short run splits longer legal streams at no pairs of offsets
MAX_DETAIL_LENGTH, MAX_HEX_LENGTH, MAX_SPLIT_LENGTH = 300, 200, 80  # characters in a report
MAX_UNREAD = 1 << 20  # bytes that the receive buffer may hold
CHANGED_BYTES = (0x00, 0x01, 0x0A, 0x0D, 0x24, 0x2A, 0x30, 0x39, 0x7F, 0xFF)

Outcome = tuple[tuple[str, ...], str]  # what was decoded, and the error that ended it
Split = tuple[int, ...]  # the offsets at which a stream is split
Decode = Callable[[Iterator[bytes]], Outcome]


@dataclass
class CheckResult:
    """The counts and violations of a check."""

    streams: int = 0
    splits: int = 0
    found: list[Found] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Stream:
    """Bytes to be decoded, and a name for reports."""

    name: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Codec:
    """A decoder, and the streams to check it with."""

    name: str
    legal: list[bytes]
    illegal: list[bytes]
    decode: Decode


def splits_of(size: int, short: bool) -> Iterator[Split]:
    """Yields ways to split `size` bytes: all of them if there are few, else those at one or two offsets.

    Longer streams are also left whole and split into single bytes; `short` leaves out the pairs of offsets.
    """
    if size <= ALL_SPLITS_MAX_SIZE:
        for count in range(size):
            yield from itertools.combinations(range(1, size), count)
        return
    yield ()
    yield tuple(range(1, size))
    yield from ((offset,) for offset in range(1, size))
    if not short:
        yield from itertools.combinations(range(1, size), 2)


def pieces(data: bytes, split: Split) -> Iterator[bytes]:
    """Yields the bytes between the offsets of the split."""
    for begin, end in itertools.pairwise((0, *split, len(data))):
        yield data[begin:end]


def decode_resp(parts: Iterator[bytes]) -> Outcome:
    """Decodes RESP from these reads."""
    buffer, decoder, out = ReceiveBuffer(MAX_UNREAD), resp.RespDecoder(), []
    try:
        for part in parts:
            buffer.append(part)
            for array in decoder.decode_arrays(buffer):
                out.append(repr(array))
            if len(buffer) > max(resp.MAX_LINE_SIZE, (decoder._bulk_size or 0) + 2) + len(part):
                return (*out,), "buffered too much"
    except (resp.RespError, BufferFullError) as error:
        return (*out,), type(error).__name__
    return (*out,), ""


def decode_fastcgi(parts: Iterator[bytes]) -> Outcome:
    """Decodes FastCGI from these reads; all of the memory budget must be released in the end."""
    budget = MemoryBudget()
    budget.limit = 4e5
    buffer, decoder, out = ReceiveBuffer(MAX_UNREAD), fastcgi.FastCgiDecoder(budget, lambda: 1.0), []
    error = ""
    try:
        for part in parts:
            buffer.append(part)
            for event in decoder.decode_events(buffer):
                out.append(repr(event))
            if any(
                partial.size() > fastcgi.MAX_PARAMS_SIZE + fastcgi.MAX_BODY_SIZE
                for partial in decoder._partial_requests.values()
            ):
                error = "buffered too much"
                break
    except (fastcgi.FastCgiError, BufferFullError) as problem:
        error = type(problem).__name__
    decoder.close()
    if budget._used:
        error += f" and {budget._used} bytes not released"
    return (*out, f"open ids {sorted(decoder.open_ids)}, rejected {decoder.consecutive_rejections}"), error


def _begin(ident: int, role: int = 1, flags: int = 1) -> bytes:
    return fastcgi.record(RecordType.BEGIN_REQUEST, ident, struct.pack(">HB5x", role, flags))


def _padded(kind: int, ident: int, content: bytes, padding: int) -> bytes:
    return struct.pack(">BBHHBB", 1, kind, ident, len(content), padding, 0) + content + b"\xee" * padding


def legal_resp() -> list[bytes]:
    """Returns short legal streams of RESP."""
    return [
        resp.encode(b""),
        resp.encode(b"a"),
        resp.encode(b"\r\n"),
        resp.encode(b"a", b"bc"),
        resp.encode(b"") + resp.encode(b"x"),
        resp.encode(b"0" * 16, b"200", b"tell=hit", b"body"),
    ]


def illegal_resp() -> list[bytes]:
    """Returns handwritten streams that violate RESP."""
    return [
        b"*0\r\n",
        b"*17\r\n",
        b"*1\r\n$999999\r\n",
        b"*1\r\n$1\r\nab\r\n",
        b"*1\r\n$-1\r\n",
        b"+OK\r\n",
        b"*" + b"1" * 40,
        b"*1\r\n$" + b"0" * 4000 + b"\r\n",
        b"\r\n\r\n",
        b"* 1\r\n$1\r\na\r\n",
    ]


def legal_fastcgi() -> list[bytes]:
    """Returns short legal streams of FastCGI."""
    pair = b"\x01\x01ab"
    request = (
        _begin(1)
        + fastcgi.record(RecordType.PARAMS, 1, pair)
        + fastcgi.record(RecordType.PARAMS, 1)
        + fastcgi.record(RecordType.STDIN, 1)
    )
    return [
        _begin(1)[:8],
        request,
        request + fastcgi.record(RecordType.ABORT_REQUEST, 1),
        _begin(2, 3),
        fastcgi.record(RecordType.GET_VALUES, 0, b"\x0f\x00FCGI_MPXS_CONNS"),
        _begin(1)
        + _padded(RecordType.PARAMS, 1, pair, 3)
        + fastcgi.record(RecordType.PARAMS, 1)
        + _padded(RecordType.STDIN, 1, b"xy", 5)
        + fastcgi.record(RecordType.STDIN, 1),
        _begin(1) + fastcgi.record(RecordType.ABORT_REQUEST, 1),
    ]


def illegal_fastcgi() -> list[bytes]:
    """Returns handwritten streams that violate FastCGI."""
    body = b"".join(fastcgi.record(RecordType.STDIN, 1, b"z" * 60_000) for _ in range(3))
    return [
        fastcgi.record(RecordType.BEGIN_REQUEST, 1, b"\0\1"),
        _begin(1) + _begin(1),
        b"\x02" + _begin(1)[1:],
        _begin(1)
        + fastcgi.record(RecordType.PARAMS, 1, b"\x05\x05ab")
        + fastcgi.record(RecordType.PARAMS, 1)
        + fastcgi.record(RecordType.STDIN, 1),
        fastcgi.record(RecordType.GET_VALUES, 0, b"\x85"),
        fastcgi.record(77, 0, b"?"),
        _begin(1) + fastcgi.record(RecordType.PARAMS, 1) + body,
    ]


def changed(data: bytes) -> Iterator[bytes]:
    """Yields the stream truncated at each offset, and with each byte replaced by each of `CHANGED_BYTES`."""
    for offset in range(len(data)):
        yield data[:offset]
        for value in CHANGED_BYTES:
            if data[offset] != value:
                yield data[:offset] + bytes((value,)) + data[offset + 1 :]


def _violation(outcome: Outcome, expected: Outcome, legal: bool) -> Violation | None:
    """The violation in an outcome; `expected` is the outcome of the same stream when it is not split."""
    if "not released" in outcome[1] or "too much" in outcome[1]:
        return Violation("bounded", outcome[1])
    if legal and outcome[1]:
        return Violation("legal-read", outcome[1])
    if outcome != expected:
        return Violation("same-split", f"{outcome!r}, without a split {expected!r}"[:MAX_DETAIL_LENGTH])
    return None


def _check_stream(
    stream: Stream, decode: Decode, splits: Iterable[Split], checked: CheckResult, legal: bool = False
) -> None:
    """Decodes a stream in each split, until the first violation."""
    checked.streams += 1
    expected: Outcome | None = None
    for split in splits:
        checked.splits += 1
        violation: Violation | None
        try:
            outcome = decode(pieces(stream.data, split))
        except Exception as error:
            violation = Violation("clean-error", f"{type(error).__name__}: {error}")
        else:
            expected = expected or outcome
            violation = _violation(outcome, expected, legal)
        if violation is not None:
            steps = (stream.name, stream.data.hex()[:MAX_HEX_LENGTH], str(split)[:MAX_SPLIT_LENGTH])
            checked.found.append(Found(steps, violation))
            return


def _few_splits(size: int) -> tuple[Split, ...]:
    """No split, a split into single bytes, and a split in the middle."""
    half = size // 2
    return ((), tuple(range(1, size)), (half,)[:half])


def _check_codec(codec: Codec, short: bool, checked: CheckResult) -> None:
    for data in codec.legal:
        splits = splits_of(len(data), short and len(data) > SHORT_RUN_PAIRS_MAX_SIZE)
        _check_stream(Stream(codec.name, data), codec.decode, splits, checked, legal=True)
        for other in changed(data):
            stream = Stream(f"{codec.name}, changed", other)
            _check_stream(stream, codec.decode, _few_splits(len(other)), checked)
    for data in codec.illegal:
        few_splits: Iterable[Split] = ((), tuple(range(1, len(data))))
        splits = splits_of(len(data), True) if len(data) <= SINGLE_SPLITS_MAX_SIZE else iter(few_splits)
        _check_stream(Stream(f"{codec.name}, illegal", data), codec.decode, splits, checked)


def check(short: bool = False) -> CheckResult:
    """Checks all streams of both codecs; `short` leaves out splits of long streams at pairs of offsets."""
    checked = CheckResult()
    for codec in (
        Codec("resp", legal_resp(), illegal_resp(), decode_resp),
        Codec("fastcgi", legal_fastcgi(), illegal_fastcgi(), decode_fastcgi),
    ):
        _check_codec(codec, short, checked)
    return checked
