"""A FastCGI client for the tests, and the encoding of its records."""

from __future__ import annotations

import secrets
import socket
import struct
from typing import Any, NamedTuple

from waiting import TEST_TIMEOUT

BEGIN_REQUEST, ABORT_REQUEST, END_REQUEST, PARAMS, STDIN, STDOUT = range(1, 7)  # record types
GET_VALUES, GET_VALUES_RESULT, UNKNOWN_TYPE = range(9, 12)


def fastcgi_record(kind: int, request_id: int, content: bytes = b"", padding: int = 0) -> bytes:
    """Encodes one FastCGI record of version 1."""
    header = struct.pack(">BBHHBB", 1, kind, request_id, len(content), padding, 0)
    return header + content + bytes(padding)


def name_value_pair(name: str, value: str) -> bytes:
    """Encodes a name-value pair of a FastCGI stream; the name must be shorter than 128 bytes."""
    size = struct.pack(">I", len(value) | 1 << 31) if len(value) > 127 else bytes((len(value),))
    return bytes((len(name),)) + size + name.encode() + value.encode()


class ClientResponse(NamedTuple):
    """A complete response; `status` is 0 if the request ended without a status header."""

    request_id: int
    status: int
    headers: dict[str, str]
    body: bytes
    protocol_status: int


class FastCgiClient:
    """One FastCGI connection to the router."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, TEST_TIMEOUT)
        self._stream = self.sock.makefile("rb")
        self._received: dict[int, bytes] = {}

    def encode_request(
        self,
        request_id: int = 1,
        path: str = "/svc/image",
        body: bytes = b"",
        padding: int = 0,
        **fields: str | None,
    ) -> bytes:
        """Encodes the records of a request; a field that is None is left out."""
        table = {
            "X_TXN": secrets.token_hex(8),
            "X_TTL_MS": "8000",
            "X_SEG": "3",
            "X_ROW": "7f3a9c21e0b4d655",
            "X_BUCKET": "17",
            "X_WORKING_SET_KB": "4.5",
            **fields,
        }
        params = name_value_pair("SCRIPT_NAME", path) + b"".join(
            name_value_pair(f"HTTP_{name}", value) for name, value in table.items() if value is not None
        )
        stdin = fastcgi_record(STDIN, request_id, body, padding) if body else b""
        return (
            fastcgi_record(BEGIN_REQUEST, request_id, struct.pack(">HB5x", 1, 1))
            + fastcgi_record(PARAMS, request_id, params[:20], padding)
            + fastcgi_record(PARAMS, request_id, params[20:])
            + fastcgi_record(PARAMS, request_id)
            + stdin
            + fastcgi_record(STDIN, request_id)
        )

    def send_request(self, request_id: int = 1, **parameters: Any) -> None:
        """Sends a request without waiting for its response."""
        self.sock.sendall(self.encode_request(request_id, **parameters))

    def read_record(self) -> tuple[int, int, bytes]:
        """Returns the type, request id and content of the next record; raises EOFError at the end."""
        head = self._stream.read(8)
        if len(head) < 8:
            raise EOFError
        _, kind, request_id, length, padding, _ = struct.unpack(">BBHHBB", head)
        return kind, request_id, self._stream.read(length + padding)[:length]

    def read_response(self) -> ClientResponse:
        """Reads records until a response is complete, whatever its request id, and returns it."""
        while True:
            kind, request_id, content = self.read_record()
            if kind == STDOUT:
                self._received[request_id] = self._received.get(request_id, b"") + content
            elif kind == END_REQUEST:
                head, _, body = self._received.pop(request_id, b"").partition(b"\r\n\r\n")
                lines = [line.split(": ", 1) for line in head.decode().split("\r\n") if line]
                headers = {name: value for name, value in lines}
                status = int(headers.get("Status", "0")[:3])
                return ClientResponse(request_id, status, headers, body, content[4])

    def request(self, **parameters: Any) -> ClientResponse:
        """Sends a request and waits for the next response."""
        self.send_request(**parameters)
        return self.read_response()

    def is_closed(self) -> bool:
        """Waits for input, and returns whether the router has closed the connection instead."""
        try:
            return self.sock.recv(1) == b""
        except ConnectionResetError:
            return True
