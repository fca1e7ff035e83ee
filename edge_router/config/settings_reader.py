"""Reads the settings from JSON, for both the edge router and the simulator adapter.

Sources: the operators' pages `WIRE-robinbeam.md`, "Settings", and `BENCH-robinbeam.md`. This is the only
module that maps their keys to the fields of `decision/settings.py`.
"""

from __future__ import annotations

from typing import Any

import ujson

from edge_router.decision.settings import ClassSettings, DeduplicationScope, Idempotency, Settings

_IDEMPOTENCY_BY_EFFECT = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.WITH_KEY,
    "side_effect": Idempotency.NONE,
}
_SCOPE_BY_GROUP = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}


def _required(table: dict[str, Any], key: str, path: str = "") -> Any:
    """Returns a setting that every decision requires; raises ValueError if it is missing."""
    if key not in table:
        raise ValueError(f"the settings lack '{path}{key}'")
    return table[key]


def _item_or_default(values: list[Any], index: int, default: Any) -> Any:
    return values[index] if index < len(values) else default


def _class_settings(index: int, entry: dict[str, Any], domain: dict[str, Any]) -> ClassSettings:
    path = f"classes[{index}]."
    deadline = float(_required(entry, "deadline", path))
    return ClassSettings(
        name=str(entry.get("name", index)),
        priority_weight=float(entry.get("importance", 1.0)),
        late_priority_weight=float(entry.get("late_worth", 0.0)),
        latency_objective=float(entry.get("on_time", deadline)),
        latency_objective_per_work=float(entry.get("aim_stretch", 0.0)),
        deadline=deadline,
        # An unknown value counts as the strictest one, so that no request is retried that must not be.
        idempotency=_IDEMPOTENCY_BY_EFFECT.get(entry.get("effect", ""), Idempotency.NONE),
        deduplication_scope=_SCOPE_BY_GROUP.get(entry.get("group", ""), DeduplicationScope.CELL),
        deduplication_window=float(entry.get("window", 0.0)),
        freshness_lifetime=float(_item_or_default(domain.get("lifetime_by_class", []), index, 0.0)),
        stale_lifetime=float(_item_or_default(domain.get("stale_for", []), index, 0.0)),
        stale_priority_weight=float(_item_or_default(domain.get("worth_when_old", []), index, 0.0)),
        uncacheable=bool(_item_or_default(domain.get("never_kept", []), index, False)),
    )


def read_settings(text: str | bytes) -> Settings:
    """Returns the settings in a JSON text; raises ValueError if a required one is missing."""
    return settings_from_json(ujson.loads(text))


def settings_from_json(table: dict[str, Any]) -> Settings:
    """Returns the settings in decoded JSON; ignores unknown keys.

    Raises ValueError if a required key is missing.
    """
    domain, rules, limits = (table.get(part, {}) for part in ("domain", "rules", "limits"))
    return Settings(
        classes=tuple(
            _class_settings(n, entry, domain) for n, entry in enumerate(_required(table, "classes"))
        ),
        zone=int(_required(table, "zone")),
        fleet_size=int(table.get("fleet_size", 1)),
        routers_by_zone=tuple(int(n) for n in domain.get("instances_by_zone", [])),
        zone_link_bandwidth=tuple(float(n) for n in domain.get("zone_link_kb_per_s", [])),
        client_bandwidth=float(domain.get("client_kb_per_s", 0.0)),
        parent_role=int(domain.get("shield_kind", -1)),
        origin_role=int(domain.get("store_kind", -1)),
        coalesces_fills=bool(domain.get("joins", False)),
        endpoints_weighted=table.get("weights", "silent") in ("nominal", "rough"),
        bypass_allowed=bool(domain.get("may_pass_by", False)),
        sibling_fills=str(domain.get("siblings", "silent")),
        slow_start_initial_capacity=float(rules.get("cold_from", 0.0)),
        slow_start_duration=float(rules.get("warm_up", 0.0)),
        overload_factor=float(rules.get("tip_multiple", 1.0)),
        overload_window=float(rules.get("overload_for", 0.0)),
        parent_slow_start_initial_capacity=float(domain.get("parent_cold_from", 0.0)),
        parent_slow_start_duration=float(domain.get("parent_warms_in", 0.0)),
        parent_overload_factor=float(domain.get("parent_limit_factor", 1.0)),
        purge_notice_time=float(domain.get("heed_within", 0.0)),
        purge_settle_time=float(domain.get("purge_settles", 0.0)),
        drain_grace_period=float(rules.get("drain_grace", 0.0)),
        max_attempts=int(limits.get("most_tries", 1)),
        hedging_allowed=bool(limits.get("second_copies", False)),
        cancellation_allowed=bool(limits.get("cancel", False)),
        health_checks_allowed=bool(limits.get("may_probe", False)),
        retry_after_allowed=bool(limits.get("retry_after", False)),
        max_retry_after=float(limits.get("max_retry_after", 0.0)),
        connect_timeout=float(limits.get("connect_timeout", 0.0)),
        load_report_fields=tuple(table.get("report", {}).get("fields", [])),
        endpoint_list_polled=table.get("discovery", "push") == "ask",
        zone_names=tuple(str(name) for name in table.get("areas", [])),
        role_names=tuple(str(name) for name in table.get("models", [])),
        max_in_flight=int(limits.get("most_held", 20_000)),
        max_streams_per_connection=max(1, int(limits.get("streams_per_conn", 100))),
        connection_idle_timeout=float(limits.get("conn_idle", 15_000.0)),
    )
