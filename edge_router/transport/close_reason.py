"""Why a connection was closed, in the words that the log shows."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """A reason that is known beforehand; where an error ends a connection, its text is the reason."""

    CLIENT_CLOSED = "closed by the client"
    SERVER_CLOSED = "closed by the server"
    CLOSED_LOCALLY = "closed by us"
    SHUTDOWN = "stopping"
    EVICTED = "room for others"
    IDLE_TIMEOUT = "idle for long"
    NOTHING_RECEIVED = "says nothing"
    INCOMPLETE_RECORD = "a record is not whole in time"
    TOO_MANY_REJECTED = "turned away too often"
    WRITE_TIMEOUT = "the client takes in nothing"
    CONNECT_TIMEOUT = "not up in time"
