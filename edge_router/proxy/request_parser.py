"""Validates the fields of a client's request.

Source: the operators' page `PROTOCOL-robinbeam.md`, "Clients to edge routers".
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from http import HTTPStatus

from edge_router.decision.settings import Idempotency, Settings
from edge_router.proxy.messages import ETAG_PATTERN, BadRequestError, FinalResponse, IncomingRequest

PATH_PREFIX = "/svc/"
MAX_SEGMENT = 65_535
MAX_PURGE_GROUP = 255
MAX_SIZE_KB = 1e7
MAX_TIMEOUT = 3_600_000.0  # ms

# Names of the request fields.
REQUEST_ID = "X-Txn"
TIMEOUT = "X-Ttl-Ms"
OBJECT_ID = "X-Row"
SEGMENT = "X-Seg"
PURGE_GROUP = "X-Bucket"
SIZE_KB = "X-Working-Set-Kb"
CLIENT_ETAG = "X-Etag"
IDEMPOTENCY_KEY = "X-Txn-Key"

# Texts are forwarded in a list of fields, so no pattern allows a comma, a space or a control character.
_HEX_ID = re.compile(r"[0-9a-fA-F]{16}")
_INTEGER = re.compile(r"[0-9]{1,9}")
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
_TOKEN = re.compile(r"[!-+\--~]{1,128}")


def _text(fields: Mapping[str, str], name: str, pattern: re.Pattern[str], default: str | None = None) -> str:
    """Returns a field's text; raises BadRequestError if it is missing or does not match the pattern."""
    text = fields.get(name, default)
    if text is None:
        raise BadRequestError(HTTPStatus.BAD_REQUEST, f"{name} is missing")
    if not pattern.fullmatch(text):
        raise BadRequestError(HTTPStatus.BAD_REQUEST, f"{name} is malformed")
    return text


def _number(
    fields: Mapping[str, str],
    name: str,
    pattern: re.Pattern[str],
    maximum: float,
    default: str | None = None,
) -> float:
    """Returns a field's number; raises BadRequestError if it is missing, malformed or above the maximum."""
    value = float(_text(fields, name, pattern, default))
    if value > maximum:
        raise BadRequestError(HTTPStatus.BAD_REQUEST, f"{name} is out of range")
    return value


def _normalize_etag(text: str) -> str | None:
    """Returns an entity tag without quotes and weak prefix; None if it cannot be forwarded."""
    etag = text.strip().removeprefix("W/").strip('"')
    return etag if ETAG_PATTERN.fullmatch(etag) else None


class RequestParser:
    """Validates requests against the classes of the settings."""

    def __init__(self, settings: Settings) -> None:
        self._class_indexes = {
            class_settings.name: index for index, class_settings in enumerate(settings.classes)
        }
        self._classes_with_key = {
            index
            for index, class_settings in enumerate(settings.classes)
            if class_settings.idempotency is Idempotency.WITH_KEY
        }

    def parse(
        self, path: str, fields: Mapping[str, str], body: bytes, respond: Callable[[FinalResponse], None]
    ) -> IncomingRequest:
        """Returns the request with this path, fields and body; raises BadRequestError if it is invalid."""
        class_name = path.removeprefix(PATH_PREFIX)
        class_index = self._class_indexes.get(class_name)
        if not path.startswith(PATH_PREFIX) or class_index is None:
            raise BadRequestError(HTTPStatus.NOT_FOUND, "the path names no known class")
        object_id = _text(fields, OBJECT_ID, _HEX_ID)
        segment = _number(fields, SEGMENT, _INTEGER, MAX_SEGMENT, "0")
        timeout = _number(fields, TIMEOUT, _DECIMAL, MAX_TIMEOUT)
        if timeout <= 0:
            raise BadRequestError(HTTPStatus.BAD_REQUEST, f"{TIMEOUT} is 0")
        idempotency_key = None
        if IDEMPOTENCY_KEY in fields or class_index in self._classes_with_key:
            # Required for these classes, because caches recognize a retry only by its key.
            idempotency_key = _text(fields, IDEMPOTENCY_KEY, _TOKEN)
        return IncomingRequest(
            request_id=_text(fields, REQUEST_ID, _HEX_ID),
            class_name=class_name,
            object_id=object_id,
            segment_text=fields.get(SEGMENT, "0"),
            class_index=class_index,
            object_key=int(object_id, 16),
            segment=int(segment),
            purge_group=int(_number(fields, PURGE_GROUP, _INTEGER, MAX_PURGE_GROUP, "0")),
            size_kb=_number(fields, SIZE_KB, _DECIMAL, MAX_SIZE_KB, "0"),
            timeout=timeout,
            client_etag=_normalize_etag(fields.get(CLIENT_ETAG, "")),
            body=body,
            respond=respond,
            idempotency_key=idempotency_key,
        )
