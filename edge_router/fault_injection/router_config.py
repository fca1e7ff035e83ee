"""The configuration file of one router, in the format that the operators' platform uses."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from edge_router.fault_injection.network import LOOPBACK
from edge_router.fault_injection.observations import PurgeSent
from edge_router.fault_injection.protocol import EndpointRecord
from edge_router.fault_injection.scenario import ENDPOINT_KINDS, ZONES


def router_config(
    name: str,
    address: tuple[str, int],
    seed: int,
    change_log_port: int,
    endpoints: list[EndpointRecord],
    purges: list[PurgeSent],
    settings: dict[str, Any],
) -> dict[str, Any]:
    """Returns the content of the file; `endpoints` and `purges` are what the router knows at its start."""
    endpoint_list = {
        "generation": 1,
        "reset": True,
        "instances": [_endpoint_entry(endpoint) for endpoint in endpoints],
    }
    results: list[dict[str, Any]] = [{"seq": 1, "fleet": endpoint_list}]
    results += [{"seq": 1, "invalidate": _purge_entry(purge)} for purge in purges]
    return {
        "name": name,
        "listen": f"{address[0]}:{address[1]}",
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 256},
        "changelog": f"{LOOPBACK}:{change_log_port}",
        "flow_bytes_per_s": 400_000,
        "link_bytes_per_s": 4_000_000,
        "known": {"seq": 1, "results": results},
        "settings": settings,
    }


def _endpoint_entry(endpoint: EndpointRecord) -> dict[str, Any]:
    return {
        "instanceId": f"s-{endpoint.endpoint_id:08x}",
        "hostPort": f"{LOOPBACK}:{endpoint.port}",
        "machineType": ENDPOINT_KINDS[endpoint.kind],
        "cell": 0,
        "zone": ZONES[endpoint.zone],
        "lifecycle": endpoint.state.lifecycle,
        "weight": endpoint.weight,  # in thousandths, see ENDPOINT_WEIGHT
        "startedAtMs": endpoint.started_ms,
    }


def _purge_entry(purge: PurgeSent) -> dict[str, Any]:
    name = {"bucket": purge.group} if purge.object_id is None else {"object": purge.object_id}
    return {**name, "time": purge.purged_at_ms}


def replace_file(path: Path, config: dict[str, Any]) -> None:
    """Writes the configuration atomically: a reader sees the old or the new file, never a partial one."""
    new_path = path.with_suffix(".new")
    new_path.write_text(json.dumps(config))
    new_path.rename(path)
