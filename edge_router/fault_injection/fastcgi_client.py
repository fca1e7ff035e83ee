"""A blocking FastCGI client, which takes the place of a web server in front of the router."""

from __future__ import annotations

import socket
from collections.abc import Iterator, Mapping

from edge_router.fault_injection.network import LOOPBACK
from edge_router.fault_injection.protocol import (
    ProtocolStatus,
    Record,
    RecordType,
    Response,
    decode_record_header,
    encode_request,
    parse_response,
)

TIMEOUT = 20.0  # seconds
REQUEST_TIMEOUT_MS = 3000
GROUP = 17  # purge group of all objects that `request_object` requests
WORKING_SET_KB = 40  # size stated for these objects
_FASTCGI_ID = 1  # the same for every request, since only one is open at a time
_OVERLOADED_RESPONSE = Response(503, {"Status": "503 Service Unavailable"}, b"")


class FastCgiClient:
    """One connection to a router that sends one request at a time."""

    def __init__(self, port: int, host: str = LOOPBACK) -> None:
        self._socket = socket.create_connection((host, port), TIMEOUT)
        self._stream = self._socket.makefile("rb")

    def request(self, path: str, headers: Mapping[str, str] | None = None) -> Response:
        """Sends a request and waits for the answer; header names are those of CGI without `HTTP_`.

        Raises EOFError if the router closes the connection, and ProtocolError if the answer can't be parsed.
        """
        self._socket.sendall(encode_request(_FASTCGI_ID, path, headers or {}))
        output = b""
        for record in self._records():
            if record.record_type == RecordType.STDOUT:
                output += record.content
            elif record.record_type == RecordType.END_REQUEST:
                overloaded = record.content[4] == ProtocolStatus.OVERLOADED
                return _OVERLOADED_RESPONSE if overloaded else parse_response(output)
        raise EOFError("the router closed the connection")

    def request_object(
        self, class_name: str, object_id: str, request_id: str, segment: str = "0"
    ) -> Response:
        """Requests one segment of an object; both ids are 16 hexadecimal digits. Raises like `request`."""
        headers = {
            "X_TXN": request_id,
            "X_TTL_MS": str(REQUEST_TIMEOUT_MS),
            "X_ROW": object_id,
            "X_SEG": segment,
            "X_BUCKET": str(GROUP),
            "X_WORKING_SET_KB": str(WORKING_SET_KB),
        }
        return self.request(f"/svc/{class_name}", headers)

    def _records(self) -> Iterator[Record]:
        while len(header := self._stream.read(8)) == 8:
            record_type, fastcgi_id, length, padding = decode_record_header(header)
            yield Record(record_type, fastcgi_id, self._stream.read(length + padding)[:length])

    def close(self) -> None:
        """Closes the connection."""
        self._socket.close()
