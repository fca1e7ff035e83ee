"""The FastCGI frontend: converts FastCGI requests to the proxy's messages, and final responses to CGI.

Source of the header fields: the operators' page `PROTOCOL-robinbeam.md`, "Clients to edge routers".
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache, partial
from http import HTTPStatus

from edge_router.decision.settings import Settings
from edge_router.protocol.fastcgi import InvalidRequest, ProtocolStatus, RequestError
from edge_router.proxy.messages import BadRequestError, FinalResponse, ResponseStatus
from edge_router.proxy.request_parser import RequestParser
from edge_router.proxy.request_router import RequestRouter
from edge_router.proxy.request_table import ActiveRequest
from edge_router.runtime.event_log import log_rate_limited
from edge_router.transport.client_session import ClientSession

READY_PATH = "/status/live"  # polled until the router is ready for requests

_HEADER_PREFIX = "HTTP_"  # prefix of the CGI parameters that hold header fields
_CACHED_NAMES = 256  # parameter names whose header fields are cached
_SERVED = "200 OK"
_UNAVAILABLE = "503 Service Unavailable"
_STATUS_LINES = {
    ResponseStatus.SERVED: _SERVED,
    ResponseStatus.NOT_MODIFIED: _SERVED,
    ResponseStatus.REJECTED: _UNAVAILABLE,
    ResponseStatus.FAILED: "502 Bad Gateway",
}
_ERROR_STATUS_LINES = {
    HTTPStatus.BAD_REQUEST: "400 Bad Request",
    HTTPStatus.NOT_FOUND: "404 Not Found",
    HTTPStatus.REQUEST_TIMEOUT: "408 Request Timeout",
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: "413 Content Too Large",
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: "431 Request Header Fields Too Large",
}
_INVALID_REQUEST_STATUSES = {
    RequestError.PARAMS_TOO_LONG: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RequestError.BODY_TOO_LONG: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RequestError.RECEIVE_TIMEOUT: HTTPStatus.REQUEST_TIMEOUT,
    RequestError.MALFORMED_PARAMS: HTTPStatus.BAD_REQUEST,
    RequestError.TOO_MANY_PARAMS: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
}


def _encode_head(status_line: str, fields: Mapping[str, object]) -> bytes:
    """Returns the head of a CGI response, including the empty line that ends it."""
    lines = [f"Status: {status_line}", *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_response_head(response: FinalResponse) -> bytes:
    """Returns the head of the CGI response for a final response."""
    fields: dict[str, object] = {
        "Content-Type": "application/octet-stream",
        "Content-Length": len(response.body),
    }
    if response.status is ResponseStatus.NOT_MODIFIED:
        fields["X-Notmod"] = 1
    if response.status is ResponseStatus.REJECTED:
        fields["X-Throttle-Ms"] = max(0, round(response.retry_after))
    if response.etag is not None:
        fields["X-Etag"] = response.etag
    return _encode_head(_STATUS_LINES[response.status], fields)


@lru_cache(_CACHED_NAMES)
def _field_name(parameter: str) -> str | None:
    """Returns the name of the header field that a CGI parameter holds; None if it holds none."""
    if not parameter.startswith(_HEADER_PREFIX):
        return None
    return "-".join(word.capitalize() for word in parameter.removeprefix(_HEADER_PREFIX).split("_"))


def header_fields(params: Mapping[str, str]) -> dict[str, str]:
    """Returns the header fields among the CGI parameters, by field name: HTTP_X_TXN becomes X-Txn."""
    return {name: value for parameter, value in params.items() if (name := _field_name(parameter))}


class FastCgiFrontend:
    """Serves the requests of all client sessions."""

    def __init__(self, settings: Settings, router: RequestRouter) -> None:
        self._parser = RequestParser(settings)
        self._router = router
        self._open_requests: dict[tuple[ClientSession, int], ActiveRequest] = {}
        self.ready = False  # whether READY_PATH is answered with status 200

    def on_request(
        self,
        connection: ClientSession,
        request_id: int,
        params: dict[str, str],
        body: bytes,
        invalid: InvalidRequest | None,
    ) -> bool:
        """Handles a request, complete or found invalid by the decoder; returns whether it was valid."""
        path = params.get("SCRIPT_NAME", "") + params.get("PATH_INFO", "")
        if path == READY_PATH and invalid is None:
            connection.send_response(
                request_id, _encode_head(_SERVED if self.ready else _UNAVAILABLE, {}), b""
            )
            return True
        try:
            if invalid is not None:
                raise BadRequestError(_INVALID_REQUEST_STATUSES[invalid.error], str(invalid))
            if params.get("CONTENT_LENGTH", "") not in ("", str(len(body))):
                raise BadRequestError(HTTPStatus.BAD_REQUEST, "CONTENT_LENGTH differs from the body length")
            respond = partial(self._respond, connection, request_id)
            incoming = self._parser.parse(path, header_fields(params), body, respond)
            incoming.time_unread = connection.time_unread
            incoming.client_input = connection
            if conflict := self._router.id_conflict(incoming):
                raise BadRequestError(HTTPStatus.BAD_REQUEST, f"X-Txn is the id of {conflict}")
        except BadRequestError as error:
            log_rate_limited("bad-request", status=error.status.value, reason=str(error))
            head = _encode_head(_ERROR_STATUS_LINES[error.status], {"Content-Length": 0})
            connection.send_response(request_id, head, b"")
            return False
        request = self._router.on_request(incoming)
        if request is not None and not request.answered:
            self._open_requests[connection, request_id] = request
        return True

    def _respond(self, connection: ClientSession, request_id: int, response: FinalResponse) -> None:
        self._open_requests.pop((connection, request_id), None)
        connection.send_response(request_id, encode_response_head(response), response.body)

    def on_aborted(self, connection: ClientSession, request_id: int) -> None:
        """Handles the abort of a request; the session frees its id once END_REQUEST is written."""
        request = self._open_requests.pop((connection, request_id), None)
        if request is not None:
            self._router.on_client_disconnected(request)
            connection.end_request(request_id, ProtocolStatus.COMPLETE)

    def on_disconnected(self, connection: ClientSession, request_id: int) -> None:
        """Handles that the client closed its side: no further attempt is sent, but it may read a response."""
        request = self._open_requests.pop((connection, request_id), None)
        if request is not None:
            response = self._router.response_handler.fallback_response(request)
            self._router.on_client_disconnected(request)
            connection.send_response(request_id, encode_response_head(response), response.body)
