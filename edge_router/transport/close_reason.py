"""Reasons for closing a connection, as the log shows them."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """Why a connection was closed; after an error, the text of the error stands in its place."""

    CLIENT_CLOSED = "closed by the client"
    SERVER_CLOSED = "closed by the server"
    CLOSED_LOCALLY = "closed by the router"
    SHUTDOWN = "shutting down"
    EVICTED = "evicted to free a connection slot"
    IDLE_TIMEOUT = "idle timeout"
    NOTHING_RECEIVED = "no data received in time"
    INCOMPLETE_RECORD = "incomplete record at the receive timeout"
    TOO_MANY_REJECTED = "too many consecutive rejected requests"
    TOO_MANY_STRAY = "too many records that belong to no request"
    WRITE_TIMEOUT = "the client does not read its responses"
    COMMAND_WITHDRAWN = "the rest of a partly written command must not be sent"
    CONNECT_TIMEOUT = "connect timeout expired"
