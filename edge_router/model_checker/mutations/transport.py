"""Mutations of the codecs, connections, client sessions and the change log."""

from __future__ import annotations

from edge_router.discovery import change_log_decoder
from edge_router.model_checker.mutations.common import Mutation
from edge_router.protocol import fastcgi, resp
from edge_router.transport import client_session, upstream_channel

TRANSPORT_MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        "change-taken-for-the-whole",
        change_log_decoder.ChangeLogDecoder,
        "process",
        "if frame.sequence <= self.last_sequence:",
        "if False:",
        ("log",),
        "log-followed",
    ),
    Mutation(
        "gap-not-noticed",
        change_log_decoder.ChangeLogDecoder,
        "process",
        "frame.sequence > self.last_sequence + 1\n",
        "False\n",
        ("log",),
        "log-followed",
    ),
    Mutation(
        "unwritten-not-told",
        upstream_channel.UpstreamChannel,
        "_write_next",
        "command.on_not_written()",
        "pass",
        ("links", "confirm"),
        "unrun-is-unrun",
    ),
    Mutation(
        "rest-forgotten",
        upstream_channel.UpstreamChannel,
        "_write_next",
        "self._partial_write = self._partial_write[sent:]",
        "self._partial_write = b''",
        ("links", "confirm"),
        "order-kept",
    ),
    Mutation(
        "end-not-looked-for",
        upstream_channel.UpstreamChannel,
        "_closed_by_server",
        "self.close()",
        "return False",
        ("idle",),
        "not-into-ended",
    ),
    Mutation(
        "end-before-it-is-sent",
        client_session.ClientSession,
        "_next_write",
        "self._decoder.open.discard(request_id)",
        "pass",
        ("hedge", "clients"),
        "no-leak",
    ),
    Mutation(
        "abort-not-passed-on",
        fastcgi.Decoder,
        "_one",
        "yield Aborted(ident)",
        "pass",
        ("hedge", "clients"),
        "none-to-left",
    ),
    Mutation(
        "length-line-without-end",
        resp.Decoder,
        "_number",
        "if len(buffer) >= MOST_LINE:",
        "if False:",
        ("codecs",),
        "bounded",
    ),
    Mutation(
        "bulk-cut-short",
        resp.Decoder,
        "arrays",
        "if len(buffer) < self._bulk + 2:",
        "if len(buffer) < self._bulk:",
        ("codecs",),
        "same-split",
    ),
    Mutation(
        "body-without-bound",
        fastcgi.Decoder,
        "_one",
        "if len(taking.body) + len(content) > MOST_BODY:",
        "if False:",
        ("codecs",),
        "bounded",
    ),
    Mutation(
        "padding-left", fastcgi.Decoder, "events", "buffer.skip(padding)", "pass", ("codecs",), "legal-read"
    ),
    Mutation(
        "begin-unchecked",
        fastcgi.Decoder,
        "_begin",
        "if len(content) < _BEGIN.size:",
        "if False:",
        ("codecs",),
        "clean-error",
    ),
    Mutation(
        "told-twice",
        upstream_channel.UpstreamChannel,
        "close",
        "self._stop()",
        "self._stop(); self._owner.on_channel_closed(self, '')",
        ("channel",),
        "told-once",
    ),
    Mutation(
        "queue-turned-round",
        upstream_channel.UpstreamChannel,
        "_write_next",
        "self._queue.appendleft(command)",
        "self._queue.append(command)",
        ("channel",),
        "order-kept",
    ),
)
