"""Reads the platform's configuration file, named by RELAY_CONFIG, into a typed configuration."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import ujson

from edge_router.config.settings_reader import settings_from_json
from edge_router.decision.settings import Settings
from edge_router.discovery.events import DiscoveryEvent
from edge_router.discovery.initial_state import InitialStateError, initial_events

MIN_SOCKETS = 16
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
MAX_PORT = 65535


class ConfigError(Exception):
    """An invalid configuration; the message is a single line."""


class ConfigUnreadableError(ConfigError):
    """A file that cannot be read or parsed at the moment, for example because it is being written."""

    def __init__(self, reason: str, errno: int | None = None) -> None:
        """`errno`: the error number of the failed system call; None if the file is not JSON."""
        super().__init__(reason)
        self.errno = errno


@dataclass(frozen=True, slots=True)
class RouterConfig:
    """The typed configuration of one router."""

    name: str
    listen_address: tuple[str, int]
    seed: int
    max_sockets: int  # descriptors of clients and upstream connections together
    memory_mb: float  # limit of the process, in 10**6 bytes
    cpu_cores: float  # CPU share; 1.0 is one whole core
    transfer_bandwidth: float  # bytes per second of one transfer; 0 if not configured
    change_log_address: tuple[str, int]
    last_sequence: int  # sequence number of the last change log event in `initial_events`
    initial_events: tuple[DiscoveryEvent, ...]
    settings: Settings

    def identity(self) -> dict[str, object]:
        """Returns the values that identify a router, by their keys in the file; no reload changes them."""
        settings = self.settings
        return {
            "name": self.name,
            "listen": self.listen_address,
            "zone": settings.zone,
            "areas": settings.zone_names,
            "models": settings.role_names,
            "classes": [(entry.name, entry.idempotency) for entry in settings.classes],
        }


def _parse_address(text: Any) -> tuple[str, int]:
    """Parses `host:port`; raises ConfigError."""
    host, separator, port = str(text).rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ConfigError(
            f"listen, RELAY_LISTEN or changelog: {text!r} is not an address such as 10.0.0.4:6565"
        )
    return host, int(port)


def parse_config(table: dict[str, Any], env: Mapping[str, str]) -> RouterConfig:
    """Returns the typed configuration for the content of the file; raises ConfigError if it is invalid.

    The environment variables RELAY_NAME and RELAY_LISTEN replace a missing name or listening address.
    """
    try:
        settings = settings_from_json(table["settings"])
        limits, known = table.get("limits", {}), table.get("known", {})
        config = RouterConfig(
            name=str(table.get("name") or env.get("RELAY_NAME", "?")),
            listen_address=_parse_address(table.get("listen") or env.get("RELAY_LISTEN", "")),
            seed=int(str(table.get("seed", "0")), 16),
            max_sockets=int(limits.get("sockets", DEFAULT_SOCKETS)),
            memory_mb=float(limits.get("memory_mb", DEFAULT_MEMORY_MB)),
            cpu_cores=float(limits.get("cores", 1.0)),
            transfer_bandwidth=float(table.get("flow_bytes_per_s", 0.0)),
            change_log_address=_parse_address(table["changelog"]),
            last_sequence=int(known.get("seq", 0)),
            initial_events=tuple(initial_events(known, settings)),
            settings=settings,
        )
    except KeyError as error:
        raise ConfigError(f"the configuration lacks the key {error}") from error
    except (TypeError, ValueError, AttributeError, ArithmeticError, InitialStateError) as error:
        raise ConfigError(f"invalid configuration: {error}") from error
    if config.max_sockets < MIN_SOCKETS or not (config.memory_mb > 0 and config.cpu_cores > 0):
        raise ConfigError(
            f"limits too low: {config.max_sockets} sockets, {config.memory_mb:g} MB "
            f"and {config.cpu_cores:g} cores"
        )
    return config


def read_config(env: Mapping[str, str] = os.environ) -> RouterConfig:
    """Reads the file that RELAY_CONFIG names.

    Raises ConfigUnreadableError if reading it again later may succeed, else ConfigError.
    """
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG names no configuration file")
    try:
        table = ujson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigUnreadableError(f"{path}: {error.strerror}", error.errno) from error
    except ValueError as error:
        raise ConfigUnreadableError(f"{path} is not JSON: {error}") from error
    if not isinstance(table, dict):
        raise ConfigError(f"{path} does not contain a JSON object")
    return parse_config(table, env)
