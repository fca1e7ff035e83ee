"""Entry point of the edge router: reads the configuration, opens the listener and runs the server."""

from __future__ import annotations

import gc
import select
import signal
import socket
import sys

import trio

from edge_router.config.platform_file import ConfigError, RouterConfig
from edge_router.server.server import HANDLED_SIGNALS, serve
from edge_router.server.startup import load_config, open_listener, retry_transient_errors

EXIT_OK = 0
EXIT_CANNOT_START = 2
# Higher than Python's defaults: requests leave few reference cycles, so collections can be rare.
GC_THRESHOLDS = (20_000, 20, 20)


def main() -> int:
    """Runs the router until a signal stops it; returns the exit status."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)  # pending until the server handles them
    try:
        config = load_config()
    except ConfigError as error:
        print(f"edge-router: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    try:
        listener = open_listener(config.listen_address)
    except OSError as error:
        host, port = config.listen_address
        print(f"edge-router: can't listen on {host}:{port}: {error.strerror}", file=sys.stderr)
        return EXIT_CANNOT_START
    retry_transient_errors(_check_descriptors)
    trio.run(_run, config, listener)
    return EXIT_OK


async def _run(config: RouterConfig, listener: socket.socket) -> None:
    with listener:
        _tune_garbage_collector()
        await serve(config, listener)


def _tune_garbage_collector() -> None:
    """Exempts the objects created at startup from garbage collection and makes collections rarer."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def _check_descriptors() -> None:
    """Opens and closes the descriptors that the event loop needs; raises OSError if none are free."""
    select.epoll().close()
    for sock in socket.socketpair():
        sock.close()
