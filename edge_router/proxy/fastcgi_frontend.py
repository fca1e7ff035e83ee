"""The FastCGI front: turns its requests into the stages' and the stages' answers into CGI responses."""

from __future__ import annotations

from functools import lru_cache, partial

from edge_router.decision.settings import Settings
from edge_router.protocol.fastcgi import COMPLETE
from edge_router.proxy.exchange import BadRequestError, FinalResponse, ResponseStatus
from edge_router.proxy.request_parser import RequestParser
from edge_router.proxy.request_router import RequestRouter
from edge_router.proxy.request_table import ActiveRequest
from edge_router.runtime.event_log import log_rate_limited
from edge_router.transport.client_session import ClientSession

READY_PATH = "/status/live"
_LINES = {
    ResponseStatus.SERVED: "200 OK",
    ResponseStatus.NOT_MODIFIED: "200 OK",
    ResponseStatus.REJECTED: "503 Service Unavailable",
    ResponseStatus.FAILED: "502 Bad Gateway",
}
_REASONS = {400: "Bad Request", 404: "Not Found", 408: "Request Timeout", 413: "Content Too Large"}


def _head(status: str, **fields: object) -> bytes:
    lines = [f"Status: {status}", *(f"{name.replace('_', '-')}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def head_of(answer: FinalResponse) -> bytes:
    """The CGI header of an answer."""
    fields: dict[str, object] = {"Content_Type": "application/octet-stream"}
    fields["Content_Length"] = len(answer.body)
    if answer.status is ResponseStatus.NOT_MODIFIED:
        fields["X_Notmod"] = 1
    if answer.status is ResponseStatus.REJECTED:
        fields["X_Throttle_Ms"] = max(0, round(answer.retry_after))
    if answer.etag:
        fields["X_Etag"] = answer.etag
    return _head(_LINES[answer.status], **fields)


@lru_cache(256)
def _name(name: str) -> str:
    """The field that CGI calls so; empty if it is none."""
    return "-".join(word.capitalize() for word in name[5:].split("_")) if name.startswith("HTTP_") else ""


def fields_of(params: dict[str, str]) -> dict[str, str]:
    """The header fields among CGI's parameters, named as on the page: HTTP_X_TXN is X-Txn."""
    return {field: value for name, value in params.items() if (field := _name(name))}


class FastCgiFrontend:
    """Takes the requests of all client connections."""

    def __init__(self, settings: Settings, route: RequestRouter) -> None:
        self._parser = RequestParser(settings)
        self._router = route
        self._open: dict[tuple[ClientSession, int], ActiveRequest] = {}
        self.ready = False

    def on_request(
        self, connection: ClientSession, ident: int, params: dict[str, str], body: bytes, bad: str
    ) -> bool:
        """A request has come in; says whether it could be taken."""
        path = params.get("SCRIPT_NAME", "") + params.get("PATH_INFO", "")
        if path == READY_PATH and not bad:
            connection.send_response(ident, _head("200 OK" if self.ready else "503 Service Unavailable"), b"")
            return True
        try:
            if bad:
                raise BadRequestError(413 if "too long" in bad else 408 if "in time" in bad else 400, bad)
            if params.get("CONTENT_LENGTH", "") not in ("", str(len(body))):
                raise BadRequestError(400, "CONTENT_LENGTH is not that of the body")
            asked = self._parser.parse(path, fields_of(params), body, partial(self._reply, connection, ident))
            asked.time_unread, asked.poll_client = connection.time_unread, connection.poll_input
            if self._router.requests.is_unanswered(asked.request_id):
                raise BadRequestError(400, "X-Txn is that of an open request")
        except BadRequestError as error:
            log_rate_limited("bad-request", status=error.status, reason=str(error))
            connection.send_response(
                ident, _head(f"{error.status} {_REASONS[error.status]}", Content_Length=0), b""
            )
            return False
        request = self._router.on_request(asked)
        if request is not None and not request.answered:
            self._open[connection, ident] = request
        return True

    def _reply(self, connection: ClientSession, ident: int, answer: FinalResponse) -> None:
        self._open.pop((connection, ident), None)
        connection.send_response(ident, head_of(answer), answer.body)

    def on_aborted(self, connection: ClientSession, ident: int) -> None:
        """The client no longer waits: its id is free again once the end is written."""
        request = self._open.pop((connection, ident), None)
        if request is not None:
            self._router.on_client_disconnected(request)
            connection.end_request(ident, COMPLETE)

    def on_disconnected(self, connection: ClientSession, ident: int) -> None:
        """The client sends no more. Nothing new goes out for it; if it still reads, it is owed an answer."""
        request = self._open.pop((connection, ident), None)
        if request is not None:
            answer = self._router.response_without_decision(request)
            self._router.on_client_disconnected(request)
            connection.send_response(ident, head_of(answer), answer.body)
