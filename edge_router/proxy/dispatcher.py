"""Sends attempts to their endpoints, with a final check before the first byte, and ends each of them.

Source of the response format: the operators' page `PROTOCOL-robinbeam.md`, "Edge routers to caches".
"""

from __future__ import annotations

from functools import partial

from edge_router.decision import rules
from edge_router.decision.messages import Outcome, StartAttempt
from edge_router.decision.rules import SendDenial
from edge_router.decision.settings import Idempotency, Settings
from edge_router.discovery.endpoint_table import EndpointTable
from edge_router.protocol import resp
from edge_router.proxy.accounting import RequestAccounting
from edge_router.proxy.admission import AdmissionController
from edge_router.proxy.cache_response import CacheResponse
from edge_router.proxy.connection_pool import ConnectionPool
from edge_router.proxy.fetch_command import AbortCommand, FetchCommand, encode_fetch
from edge_router.proxy.request_table import Attempt
from edge_router.proxy.response_handler import ResponseHandler
from edge_router.proxy.upstream_connections import UpstreamConnection
from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import log_rate_limited
from edge_router.runtime.timers import Timers

RESPONSE_ITEMS = 4  # of the RESP array: request id, status, fields, body


class AttemptDispatcher:
    """Sends attempts on connections of the pool, and passes on their responses and failures."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        timers: Timers,
        endpoints: EndpointTable,
        pool: ConnectionPool,
        accounting: RequestAccounting,
        response_handler: ResponseHandler,
        admission: AdmissionController,
    ) -> None:
        self._classes = settings.classes
        self._clock, self._timers, self._endpoints = clock, timers, endpoints
        self._accounting, self._response_handler = accounting, response_handler
        self._admission = admission
        self.pool = pool
        self._connection_of: dict[Attempt, UpstreamConnection] = {}

    def dispatch(self, attempt: Attempt) -> None:
        """Queue an attempt, and call `on_attempt_timeout` at its deadline."""
        attempt.timeout_timer = self._timers.call_at(
            attempt.instruction.deadline, partial(self.on_attempt_timeout, attempt)
        )
        self._enqueue(attempt)

    def _enqueue(self, attempt: Attempt) -> None:
        """Queue an attempt on a connection; without one, it ends as not sent."""
        if not self.end_unless_sendable(attempt):
            return
        endpoint_id, request_id = attempt.instruction.endpoint_id, attempt.request.incoming.request_id
        connection = self.pool.acquire(endpoint_id, request_id, self)
        if connection is None:  # the router's own limit, which is no evidence against the endpoint
            log_rate_limited(
                "no-upstream-connection",
                request=request_id,
                endpoint=f"s-{endpoint_id:08x}",
                upstream_connections=self.pool.connection_count(),
            )
            self._accounting.attempt_ended(attempt, Outcome.NOT_SENT)
            return
        connection.attempts[request_id] = attempt
        self._connection_of[attempt] = connection
        connection.channel.send(FetchCommand(self.begin_send, self.may_complete_send, attempt))

    def _source_ready(self, instruction: StartAttempt) -> bool:
        """Return whether the source of a fill, if it is another endpoint, is listed as ready."""
        return instruction.source_id == instruction.endpoint_id or self._endpoints.is_ready(
            instruction.source_id
        )

    def _endpoint_moved(self, attempt: Attempt) -> bool:
        """Return whether the endpoint has another address than the connection of an attempt."""
        endpoint_id, connection = attempt.instruction.endpoint_id, self._connection_of.get(attempt)
        if connection is None or not self._endpoints.contains(endpoint_id):
            return False
        return connection.address != self._endpoints.address(endpoint_id)

    def process_starts(self, instruction: StartAttempt) -> tuple[float, float]:
        """Return when the processes of an attempt's endpoint and of its source started (ms; 0: unknown)."""
        endpoint_start = self._endpoints.started_at(instruction.endpoint_id)
        return endpoint_start, self._endpoints.started_at(instruction.source_id)

    def _repeat_denial(self, attempt: Attempt) -> SendDenial | None:
        """Return why an attempt may not be sent now after others of its request; None if it may.

        It is asked when the attempt is sent, not when it is created, as a later attempt may overtake it.
        """
        first = attempt.request.first_possible_run(attempt)
        candidate = self._endpoints.get(attempt.instruction.endpoint_id)
        if first is None or candidate is None:  # an endpoint that is not listed is not ready
            return None
        class_settings = self._classes[attempt.request.incoming.class_index]
        first_endpoint = self._endpoints.get(first.endpoint_id)
        return rules.repeat_denial(class_settings, self._clock.now(), first, first_endpoint, candidate)

    def end_unless_sendable(self, attempt: Attempt) -> bool:
        """End an attempt as not sent unless it may still be sent; return whether it may.

        An attempt is checked when it is queued, after each discovery event, when its client disconnects and
        right before its first byte. After the policy started it, endpoints may drain, its request may be
        answered, a purge may arrive, another attempt may overtake it, and its deadline or the deduplication
        window may pass. An unsent attempt is ended even if the settings forbid cancellation.
        """
        if attempt.ended:
            return False
        instruction = attempt.instruction
        denial = rules.send_denial(
            self._clock.now(),
            answered=attempt.request.answered,
            purged=attempt.purged,
            deadline=instruction.deadline,
            start_before=instruction.start_before,
            repeat_denial=self._repeat_denial(attempt),
            endpoint_ready=self._endpoints.is_ready(instruction.endpoint_id),
            source_ready=self._source_ready(instruction),
            restarted=self.process_starts(instruction) != attempt.process_starts,
        )
        if denial is None:
            return True
        self._accounting.counts[f"not_sent_{denial.value}"] += 1
        log_rate_limited(
            "attempt-not-sent",
            request=attempt.request.incoming.request_id,
            reason=denial.value,
            endpoint=f"s-{instruction.endpoint_id:08x}",
            attempt=attempt.index,
        )
        self._finish(attempt, Outcome.NOT_SENT)
        return False

    def begin_send(self, attempt: Attempt) -> bytes | None:
        """Mark an attempt as sent and return its bytes; None if it may not be sent now or any more.

        The client's input is read first, as it may withdraw the request. An attempt whose client sends faster
        than its input is processed leaves the connection, and is queued again once that is done.
        """
        client_input = attempt.request.incoming.client_input
        input_processed = client_input.poll_input()
        if not self.end_unless_sendable(attempt):
            return None
        if not input_processed:
            self._accounting.counts["client_input_waits"] += 1
            self._detach(attempt)
            attempt.input_callback = partial(self._on_input_processed, attempt)
            client_input.call_when_input_processed(attempt.input_callback)
            return None
        now, instruction = self._clock.now(), attempt.instruction
        if self._endpoint_moved(attempt):
            self._detach(attempt)
            self._enqueue(attempt)
            return None
        ready = self._endpoints.is_ready(instruction.endpoint_id) and self._source_ready(instruction)
        self._accounting.invariants.check_send(attempt, now, ready)
        attempt.sent_at = now
        return encode_fetch(attempt, now)

    def _on_input_processed(self, attempt: Attempt) -> None:
        """Queue an attempt again that has waited for its client's input."""
        attempt.input_callback = None
        self._enqueue(attempt)

    def may_complete_send(self, attempt: Attempt) -> bool:
        """Return whether the rest of an attempt may be written, of which the first bytes were written before.

        It reaches the cache, and runs there, only with its last byte. That may be after another attempt has
        run and its deduplication window is over, or after the request has its final answer.
        """
        class_settings = self._classes[attempt.request.incoming.class_index]
        if class_settings.idempotency is Idempotency.IDEMPOTENT:
            return True
        return not attempt.ended and self._repeat_denial(attempt) is None

    def cancel(self, attempt: Attempt, outcome: Outcome = Outcome.CANCELLED) -> None:
        """End an attempt; if it was sent, also send an `abort` command with its request id."""
        connection = self._connection_of.get(attempt)
        if attempt.sent_at is not None and connection is not None and not connection.channel.closed:
            request_id = attempt.request.incoming.request_id
            connection.abandoned_ids.append(request_id)
            connection.channel.send(AbortCommand(request_id))
            silent_for = self._clock.now() - max(attempt.sent_at, connection.last_response_at)
            connection.suspect |= silent_for > self.pool.max_silence()
        self._finish(attempt, outcome)

    def on_attempt_timeout(self, attempt: Attempt) -> None:
        """End an attempt at its deadline or at shutdown: as TIMEOUT if it was sent, else as CONNECT_FAILED.

        CONNECT_FAILED, which proves that it did not run, is also used if its connection was established. An
        attempt that has left its connection waits for its client, and ends as NOT_SENT: that is no evidence
        against the endpoint.
        """
        connection = self._connection_of.get(attempt)
        if connection is not None:
            now = self._clock.now()
            log_rate_limited(
                "attempt-timeout",
                request=attempt.request.incoming.request_id,
                endpoint=f"s-{connection.endpoint_id:08x}",
                address=":".join(map(str, connection.address)),
                connected=connection.channel.connected,
                connection_age_ms=now - connection.opened_at,
                silent_ms=now - connection.last_response_at,
                sent_ago_ms=-1.0 if attempt.sent_at is None else now - attempt.sent_at,
                open=len(connection.attempts),
            )
        unsent = Outcome.NOT_SENT if connection is None else Outcome.CONNECT_FAILED
        self.cancel(attempt, unsent if attempt.sent_at is None else Outcome.TIMEOUT)

    def _finish(self, attempt: Attempt, outcome: Outcome) -> None:
        self._detach(attempt)
        self._accounting.attempt_ended(attempt, outcome)

    def _detach(self, attempt: Attempt) -> None:
        connection = self._connection_of.pop(attempt, None)
        if connection is not None:
            connection.attempts.pop(attempt.request.incoming.request_id, None)

    def accept_body(self, attempt: Attempt, size: int) -> bool:
        """Return whether to keep the body of a response, for which memory is reserved.

        Once there was none, the body stays dropped, as its first bytes are gone.
        """
        attempt.body_bytes = size
        attempt.body_dropped = attempt.body_dropped or not self._admission.reserve_body(attempt.request, size)
        return not attempt.body_dropped

    def on_response(self, connection: UpstreamConnection, array: list[bytes]) -> None:
        """Handle a response on a connection; drop it if its request id has no open attempt there.

        Raises RespError if it is malformed: no further data on this connection can be trusted then.
        """
        if len(array) != RESPONSE_ITEMS:
            raise resp.RespError(f"response array has {len(array)} items")
        request_id = array[0].decode("latin-1")
        response = CacheResponse(array[1].decode("latin-1"), resp.parse_fields(array[2]), array[3])
        attempt = connection.attempts.get(request_id)
        if attempt is None or attempt.sent_at is None:
            if request_id in connection.abandoned_ids:
                connection.last_response_at = self._clock.now()
            return
        self._response_handler.validator.check_well_formed(attempt, response)
        connection.last_response_at = connection.last_used_at = self._clock.now()
        connection.answered_ids.append(request_id)
        self._detach(attempt)
        if attempt.body_bytes:
            self._admission.record_body(attempt.request.incoming, attempt.body_bytes)
        self._response_handler.on_response(attempt, response)

    def on_connection_lost(self, connection: UpstreamConnection, reason: str) -> None:
        """Handle the end of a connection: attempts that were sent may have run and end as RESET.

        If the connection was established or reset, an unsent attempt is queued on another one, at most once,
        because the loss of one connection is weak evidence against the endpoint; if it cannot be queued, it
        ends as NOT_SENT. Any other unsent attempt ends as CONNECT_FAILED, or as NOT_SENT if this host lacked
        a descriptor, memory, a port or a route for the connection.
        """
        self.pool.remove(connection)
        if connection.attempts:
            log_rate_limited(
                "upstream-connection-lost",
                endpoint=f"s-{connection.endpoint_id:08x}",
                open=len(connection.attempts),
                reason=reason,
            )
        for attempt in list(connection.attempts.values()):
            if attempt.ended:
                continue
            if connection.channel.connected and attempt.sent_at is None and not attempt.reassigned:
                attempt.reassigned = True
                self._detach(attempt)
                self._enqueue(attempt)
            else:
                unsent = Outcome.NOT_SENT if connection.channel.local_failure else Outcome.CONNECT_FAILED
                self._finish(attempt, unsent if attempt.sent_at is None else Outcome.RESET)
