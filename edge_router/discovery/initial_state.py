"""Reads the endpoints and purges known at startup from the JSON of the configuration file."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any

from edge_router.decision.messages import Endpoint, EndpointState
from edge_router.decision.settings import Settings
from edge_router.discovery.events import DiscoveryEvent, EndpointsChanged, ListedEndpoint, ObjectsPurged

_ID_PREFIX = "s-"
_LIFECYCLES = {"up": EndpointState.READY, "draining": EndpointState.DRAINING, "removed": EndpointState.GONE}


class InitialStateError(Exception):
    """The JSON does not describe discovery events."""


def _index_of(names: Sequence[str], name: str) -> int:
    if name not in names:
        raise InitialStateError(f"{name!r} is not defined in the settings")
    return names.index(name)


def _endpoint_from_json(entry: dict[str, Any], settings: Settings) -> ListedEndpoint:
    instance_id, (host, _, port) = str(entry["instanceId"]), str(entry["hostPort"]).rpartition(":")
    if not instance_id.startswith(_ID_PREFIX):
        raise InitialStateError(f"instance id {instance_id!r} has an unknown prefix")
    endpoint = Endpoint(
        int(instance_id[len(_ID_PREFIX) :], 16),
        _index_of(settings.role_names, str(entry["machineType"])),
        float(entry.get("startedAtMs", 0)),
        _LIFECYCLES.get(str(entry["lifecycle"]), EndpointState.DRAINING),
        int(entry.get("cell", 0)),
        _index_of(settings.zone_names, str(entry["zone"])),
        float(entry.get("weight", 0.0)),
    )
    return ListedEndpoint(endpoint, host, int(port))


def initial_events(known: dict[str, Any], settings: Settings) -> Iterator[DiscoveryEvent]:
    """Yields the events of the JSON in order; raises InitialStateError if it is malformed."""
    try:
        for event in known.get("results", []):
            if fleet := event.get("fleet"):
                endpoints = tuple(_endpoint_from_json(entry, settings) for entry in fleet["instances"])
                yield EndpointsChanged(bool(fleet.get("reset", False)), endpoints)
            elif purge := event.get("invalidate"):
                key = int(str(purge["object"]), 16) if "object" in purge else 0
                yield ObjectsPurged(float(purge["time"]), int(purge.get("bucket", 0)), key)
    except KeyError as error:
        raise InitialStateError(f"an event lacks the key {error}") from error
    except (AttributeError, TypeError, ValueError) as error:
        raise InitialStateError(f"malformed event: {error}") from error
