"""Reloads the configuration on request; a file that can't be read at the moment is retried."""

from __future__ import annotations

from collections.abc import Callable

import trio

from edge_router.config.platform_file import ConfigError, ConfigUnreadableError, RouterConfig, read_config
from edge_router.runtime.event_log import log

INITIAL_BACKOFF = 0.05  # seconds between the first two attempts; doubled with each further attempt
MAX_BACKOFF = 1.0  # seconds
RETRY_PERIOD = 30.0  # seconds for which an unreadable file is retried


class ForeignConfigError(ConfigError):
    """A configuration that is not this router's: its change log would report caches of another one."""

    def __init__(self, parts: tuple[str, ...]) -> None:
        """`parts`: the names of those parts of `RouterConfig.identity` that differ."""
        super().__init__(f"the file is another router's, by its {', '.join(parts)}")
        self.parts = parts


def check_same_router(current: RouterConfig, new: RouterConfig) -> None:
    """Raises ForeignConfigError if the new configuration is another router's."""
    expected, identity = current.identity(), new.identity()
    if parts := tuple(part for part in expected if expected[part] != identity[part]):
        raise ForeignConfigError(parts)


class Reloader:
    """Waits for requests to reload and passes each usable configuration on."""

    def __init__(self, apply: Callable[[RouterConfig], None]) -> None:
        """`apply` takes a configuration over, or raises ConfigError and changes nothing."""
        self._apply = apply
        self._requested = trio.Event()

    def request(self) -> None:
        """Requests a reload; one that is under way starts again from the beginning."""
        self._requested.set()

    async def run(self) -> None:
        """Serves requests forever."""
        while True:
            await self._requested.wait()
            self._requested = trio.Event()
            await self._reload()

    async def _reload(self) -> None:
        """Reads the file until it is applied or rejected, or until a newer request has come."""
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
            if reason != last_reason:  # the same error of a further attempt is not logged again
                log("configuration-rejected", reason=reason, next="tried again")
                last_reason = reason
            if trio.current_time() >= end:
                log("configuration-reload-abandoned", reason=reason)
                return
            with trio.move_on_after(backoff):
                await self._requested.wait()
            backoff = min(2 * backoff, MAX_BACKOFF)
