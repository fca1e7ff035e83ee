"""The requests that clients send: their classes, objects, time limits and wire form."""

from __future__ import annotations

import random

from edge_router.fault_injection.observations import ClientRequest
from edge_router.fault_injection.protocol import encode_request

CLASS_SHARES = {"photo": 0.55, "page": 0.3, "order": 0.08, "vote": 0.07}  # fractions of the requests
READ_CLASSES = ("photo", "page")
ORDER_CLASS = "order"  # not idempotent
VOTE_CLASS = "vote"  # idempotent, since it has an idempotency key
WRITE_CLASSES = (ORDER_CLASS, VOTE_CLASS)
OBJECTS = 300
GROUPS = 16
SEGMENTS = 3
TIMEOUTS = (0.12, 0.5, 1.0, 1.5)  # seconds
CONDITIONAL_SHARE = 0.2  # fraction of reads that name the client's stored copy
WRITE_BODY = b"b" * 100
_GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15  # as a factor, spreads consecutive numbers over all 64-bit ids


def object_id_of(number: int) -> str:
    """Returns the hexadecimal id of the object with popularity rank `number`."""
    return f"{number * _GOLDEN_RATIO_64 % (1 << 64):016x}"


def working_set_kb(object_id: str) -> int:
    """Returns the size of an object in KB, 20 to 220, derived from its id."""
    return 20 + int(object_id[:4], 16) % 200


class RequestGenerator:
    """Draws random requests of one router's clients."""

    def __init__(self, router: str, generator: random.Random) -> None:
        self._router = router
        self._random = generator
        # Entity tags of the copies that clients have stored, by object and segment.
        self._stored_etags: dict[tuple[str, int], str] = {}

    def draw(self) -> ClientRequest:
        """Draws the next request."""
        class_name = self._random.choices(list(CLASS_SHARES), list(CLASS_SHARES.values()))[0]
        number = min(int(self._random.paretovariate(0.9)), OBJECTS)
        request = ClientRequest(
            timeout=self._random.choice(TIMEOUTS),
            request_id=f"{self._random.getrandbits(64):016x}",
            router=self._router,
            class_name=class_name,
            object_id=object_id_of(number),
            segment=number % SEGMENTS,
            group=number % GROUPS,
        )
        if class_name in READ_CLASSES and self._random.random() < CONDITIONAL_SHARE:
            request.client_etag = self._stored_etags.get((request.object_id, request.segment), "")
        return request

    def store(self, request: ClientRequest) -> None:
        """Stores the entity tag of the copy in the answer to a request."""
        if request.response_etag:
            self._stored_etags[request.object_id, request.segment] = request.response_etag


def encode_client_request(fastcgi_id: int, request: ClientRequest) -> bytes:
    """Encodes a request as FastCGI records."""
    headers = {
        "X_TXN": request.request_id,
        "X_TTL_MS": str(round(request.timeout * 1000)),
        "X_ROW": request.object_id,
        "X_SEG": str(request.segment),
        "X_BUCKET": str(request.group),
        "X_WORKING_SET_KB": str(working_set_kb(request.object_id)),
    }
    if request.class_name == VOTE_CLASS:
        headers["X_TXN_KEY"] = f"k{request.request_id}"
    if request.client_etag:
        headers["X_ETAG"] = request.client_etag
    body = WRITE_BODY if request.class_name in WRITE_CLASSES else b""
    return encode_request(fastcgi_id, f"/svc/{request.class_name}", headers, body)
