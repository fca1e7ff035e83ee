"""Takes new configurations over on SIGHUP. A file that can't be read at the moment is tried again."""

from __future__ import annotations

from collections.abc import Callable

import trio

from edge_router.config.platform_file import ConfigError, ConfigUnreadableError, RouterConfig, read_config
from edge_router.runtime.event_log import log

FIRST_PAUSE, LONGEST_PAUSE = 0.05, 1.0  # seconds between two tries; each pause is twice the one before
PATIENCE = 30.0  # seconds for which a file that stays unreadable is tried


class Reloader:
    """Waits for requests to reload and hands each usable configuration on."""

    def __init__(self, apply: Callable[[RouterConfig], None]) -> None:
        """`apply` takes a configuration over, or refuses it with a line of the log."""
        self._apply = apply
        self._requested = trio.Event()

    def request(self) -> None:
        """The configuration file was replaced. A try that is under way begins anew."""
        self._requested.set()

    async def run(self) -> None:
        """Serves requests for good."""
        while True:
            await self._requested.wait()
            self._requested = trio.Event()
            await self._take_over()

    async def _take_over(self) -> None:
        """Reads the file until it can be used; returns also when a newer request has come."""
        told, pause, end = "", FIRST_PAUSE, trio.current_time() + PATIENCE
        while not self._requested.is_set():
            try:
                config = read_config()
            except ConfigUnreadableError as error:
                if str(error) != told:
                    told = str(error)
                    log("configuration-rejected", reason=told, next="tried again")
            except ConfigError as error:
                log("configuration-rejected", reason=str(error))
                return
            else:
                self._apply(config)
                return
            if trio.current_time() >= end:
                log("configuration-reload-abandoned", reason=told)
                return
            with trio.move_on_after(pause):
                await self._requested.wait()
            pause = min(2 * pause, LONGEST_PAUSE)
