"""What the platform tells the edge router at its start."""

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

LEAST_SOCKETS = 16


class ConfigError(Exception):
    """A configuration that can't be used; the text is one line."""


class ConfigUnreadableError(ConfigError):
    """A file that can't be read now, or not to its end: it may be in the middle of being written."""

    def __init__(self, why: str, number: int | None = None) -> None:
        """`number`: the errno, where a call failed."""
        super().__init__(why)
        self.number = number


@dataclass(frozen=True, slots=True)
class RouterConfig:
    """The configuration, typed."""

    name: str
    listen_address: tuple[str, int]
    seed: int
    max_sockets: int
    memory_mb: float
    cpu_cores: float
    transfer_bandwidth: float  # bytes a second of one transfer; 0 if not told
    change_log_address: tuple[str, int]
    last_sequence: int  # number of the last event in `known`
    initial_events: tuple[DiscoveryEvent, ...]
    settings: Settings

    def identity(self) -> dict[str, object]:
        """By what one router's configuration is told from another's; its figures may change."""
        settings = self.settings
        return {
            "name": self.name,
            "listen": self.listen_address,
            "zone": settings.zone,
            "areas": settings.zone_names,
            "models": settings.role_names,
            "classes": [(cls.name, cls.idempotency) for cls in settings.classes],
        }


def _address(text: Any) -> tuple[str, int]:
    host, sign, port = str(text).rpartition(":")
    if not sign or not host or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"{text!r} is no address like 10.0.0.4:6565")
    return host, int(port)


def config_from(table: dict[str, Any], env: Mapping[str, str]) -> RouterConfig:
    """The typed configuration; the environment names the listening address if the table does not."""
    try:
        settings = settings_from_json(table["settings"])
        limits, known = table.get("limits", {}), table.get("known", {})
        config = RouterConfig(
            name=str(table.get("name") or env.get("RELAY_NAME", "?")),
            listen_address=_address(table.get("listen") or env.get("RELAY_LISTEN", "")),
            seed=int(str(table.get("seed", "0")), 16),
            max_sockets=int(limits.get("sockets", 1024)),
            memory_mb=float(limits.get("memory_mb", 192)),
            cpu_cores=float(limits.get("cores", 1.0)),
            transfer_bandwidth=float(table.get("flow_bytes_per_s", 0.0)),
            change_log_address=_address(table["changelog"]),
            last_sequence=int(known.get("seq", 0)),
            initial_events=tuple(initial_events(known, settings)),
            settings=settings,
        )
    except KeyError as error:
        raise ConfigError(f"the configuration lacks {error}") from error
    except (TypeError, ValueError, AttributeError, ArithmeticError, InitialStateError) as error:
        raise ConfigError(f"the configuration can't be used: {error}") from error
    if config.max_sockets < LEAST_SOCKETS or not (config.memory_mb > 0 and config.cpu_cores > 0):
        raise ConfigError(
            f"no room to run in {config.max_sockets} sockets, {config.memory_mb:g} MB "
            f"and {config.cpu_cores:g} cores"
        )
    return config


def read_config(env: Mapping[str, str] = os.environ) -> RouterConfig:
    """Reads the file that RELAY_CONFIG names."""
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
        raise ConfigError(f"{path} holds no JSON object")
    return config_from(table, env)
