"""Decides whether a cache's response is well formed and whether its copy may be served."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from edge_router.decision.messages import Outcome
from edge_router.decision.settings import ClassSettings, Settings
from edge_router.discovery.purge_history import PurgeHistory
from edge_router.protocol.resp import RespError
from edge_router.proxy.cache_response import NOT_MODIFIED, OUTCOME_BY_STATUS, CacheResponse
from edge_router.proxy.messages import ETAG_PATTERN, MAX_OBJECT_BYTES
from edge_router.proxy.request_table import Attempt
from edge_router.runtime.peer_clock import PeerClock

AGE_TOLERANCE = 50.0  # ms by which a copy may appear older than its maximum age
MAX_LOGGED_STATUS = 20  # characters of an unknown status that are logged


class MalformedResponseError(RespError):
    """A response that cannot be interpreted; no further data on its connection can be trusted."""


class DefectKind(StrEnum):
    """Why the copy in a well-formed response must not be served."""

    ETAG_MISMATCH = "not modified, but its entity tag is not that of the client's copy"
    NOT_MODIFIED_WITH_BODY = "not modified, but it has a body"
    PURGED = "older than a purge"
    TOO_OLD = "older than permitted"


@dataclass(frozen=True, slots=True)
class ResponseDefect:
    """Why a copy must not be served; for TOO_OLD with its age and the maximum age, both in ms."""

    kind: DefectKind
    age: float | None = None
    max_age: float | None = None

    def __str__(self) -> str:
        if self.kind is DefectKind.TOO_OLD:
            return f"{self.age:.0f} ms old, maximum age {self.max_age:.0f} ms"
        return self.kind.value


class ResponseValidator:
    """Validates responses against the settings, the purges and the instruction of the attempt."""

    def __init__(self, settings: Settings, peer_clock: PeerClock, purges: PurgeHistory) -> None:
        self._settings = settings
        self._peer_clock = peer_clock
        self._purges = purges

    def check_well_formed(self, attempt: Attempt, response: CacheResponse) -> None:
        """Raises MalformedResponseError for a response that cannot be interpreted.

        It has an unknown status, an error status with a body, too long a body, or lacks a valid entity tag or
        creation time. Its status proves nothing; in particular, the attempt may have run.
        """
        if response.status not in OUTCOME_BY_STATUS:
            raise MalformedResponseError(f"unknown response status {response.status[:MAX_LOGGED_STATUS]!r}")
        if OUTCOME_BY_STATUS[response.status] is not Outcome.OK:
            if response.body:
                raise MalformedResponseError("error response with a body")
            return
        if len(response.body) > MAX_OBJECT_BYTES:
            raise MalformedResponseError(f"response body has {len(response.body)} bytes")
        if self._class_settings(attempt).uncacheable:
            return
        if not ETAG_PATTERN.fullmatch(response.etag() or "") or not response.creation_time():
            raise MalformedResponseError("response lacks a valid entity tag or creation time")

    def find_defect(self, attempt: Attempt, response: CacheResponse) -> ResponseDefect | None:
        """Returns why the copy in a well-formed, successful response may not be served; None if it may."""
        incoming = attempt.request.incoming
        if response.status == NOT_MODIFIED:
            if incoming.client_etag is None or response.etag() != incoming.client_etag:
                return ResponseDefect(DefectKind.ETAG_MISMATCH)
            if response.body:
                return ResponseDefect(DefectKind.NOT_MODIFIED_WITH_BODY)
        class_settings = self._class_settings(attempt)
        if class_settings.uncacheable:
            return None
        created_at = response.creation_time() or 0.0
        purged_at = self._purges.newest_purge_time(
            incoming.object_key, incoming.purge_group, attempt.started_at
        )
        if created_at < purged_at:
            return ResponseDefect(DefectKind.PURGED)
        max_age = self._max_age(class_settings, attempt)
        age = attempt.started_at - self._peer_clock.to_local(created_at)
        if max_age is not None and age > max_age + AGE_TOLERANCE:
            return ResponseDefect(DefectKind.TOO_OLD, age, max_age)
        return None

    def _class_settings(self, attempt: Attempt) -> ClassSettings:
        return self._settings.classes[attempt.request.incoming.class_index]

    @staticmethod
    def _max_age(class_settings: ClassSettings, attempt: Attempt) -> float | None:
        """Returns the maximum age (ms): the attempt's, else the class's freshness lifetime, else None."""
        return attempt.instruction.max_age or class_settings.freshness_lifetime or None
