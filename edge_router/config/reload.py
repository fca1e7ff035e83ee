"""Reloads the configuration on request; retries a file that cannot be read at the moment."""

from __future__ import annotations

from collections.abc import Callable

import trio

from edge_router.config.platform_file import ConfigError, ConfigUnreadableError, RouterConfig, read_config
from edge_router.runtime.event_log import log

INITIAL_BACKOFF = 0.05  # seconds between the first two reads of the file; doubled with each further read
MAX_BACKOFF = 1.0  # seconds
RETRY_PERIOD = 30.0  # seconds for which an unreadable file is retried


class IdentityMismatchError(ConfigError):
    """A configuration of another router; its change log would report that router's caches."""

    def __init__(self, fields: tuple[str, ...]) -> None:
        """`fields`: the names of the values of `RouterConfig.identity` that differ."""
        super().__init__(f"the file is for another router: different {', '.join(fields)}")
        self.fields = fields


def check_same_router(current: RouterConfig, new: RouterConfig) -> None:
    """Raises IdentityMismatchError if the new configuration is that of another router."""
    expected, identity = current.identity(), new.identity()
    if fields := tuple(field for field in expected if expected[field] != identity[field]):
        raise IdentityMismatchError(fields)


class Reloader:
    """Waits for requests to reload, and applies each valid configuration."""

    def __init__(self, apply: Callable[[RouterConfig], None]) -> None:
        """`apply` applies a configuration, or raises ConfigError and changes nothing."""
        self._apply = apply
        self._requested = trio.Event()

    def request(self) -> None:
        """Requests a reload; one that is in progress starts again."""
        self._requested.set()

    async def run(self) -> None:
        """Handles requests to reload forever."""
        while True:
            await self._requested.wait()
            self._requested = trio.Event()
            await self._reload()

    async def _reload(self) -> None:
        """Reads the file until it is applied or rejected, a new request arrives or `RETRY_PERIOD` ends."""
        last_reason: str | None = None
        backoff, end = INITIAL_BACKOFF, trio.current_time() + RETRY_PERIOD
        while not self._requested.is_set():
            try:
                self._apply(read_config())
                return
            except ConfigUnreadableError as error:
                reason = str(error)
            except ConfigError as error:
                log("configuration-rejected", reason=str(error))
                return
            if reason != last_reason:  # an error is logged again only when it changes
                log("configuration-rejected", reason=reason, next="will be retried")
                last_reason = reason
            if trio.current_time() >= end:
                log("configuration-reload-abandoned", reason=reason)
                return
            with trio.move_on_after(backoff):
                await self._requested.wait()
            backoff = min(2 * backoff, MAX_BACKOFF)
