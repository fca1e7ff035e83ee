"""The one reader of the settings, shared by the edge router and the simulator's adapter."""

from __future__ import annotations

from typing import Any

import ujson

from edge_router.decision import settings as i

_EFFECTS = {
    "pure": i.Idempotency.IDEMPOTENT,
    "token": i.Idempotency.WITH_KEY,
    "side_effect": i.Idempotency.NONE,
}
_GROUPS = {
    "all": i.DeduplicationScope.ALL,
    "zone": i.DeduplicationScope.ZONE,
    "cell": i.DeduplicationScope.CELL,
}


def _need(table: dict[str, Any], key: str, path: str = "") -> Any:
    """A setting without which nothing can be decided."""
    if key not in table:
        raise ValueError(f"settings lack '{path}{key}'")
    return table[key]


def _at(values: list[Any], place: int, default: Any) -> Any:
    return values[place] if place < len(values) else default


def _class(place: int, entry: dict[str, Any], domain: dict[str, Any]) -> i.ClassSettings:
    path = f"classes[{place}]."
    deadline = float(_need(entry, "deadline", path))
    return i.ClassSettings(
        name=str(entry.get("name", place)),
        priority_weight=float(entry.get("importance", 1.0)),
        late_priority_weight=float(entry.get("late_worth", 0.0)),
        latency_objective=float(entry.get("on_time", deadline)),
        latency_objective_per_work=float(entry.get("aim_stretch", 0.0)),
        deadline=deadline,
        # Guards against harm by what is not told or not known: then nothing is repeated that may have run.
        idempotency=_EFFECTS.get(entry.get("effect", ""), i.Idempotency.NONE),
        deduplication_scope=_GROUPS.get(entry.get("group", ""), i.DeduplicationScope.CELL),
        deduplication_window=float(entry.get("window", 0.0)),
        freshness_lifetime=float(_at(domain.get("lifetime_by_class", []), place, 0.0)),
        stale_lifetime=float(_at(domain.get("stale_for", []), place, 0.0)),
        stale_priority_weight=float(_at(domain.get("worth_when_old", []), place, 0.0)),
        uncacheable=bool(_at(domain.get("never_kept", []), place, False)),
    )


def read_settings(text: str | bytes) -> i.Settings:
    """Typed settings from the JSON of the simulator's first message."""
    return settings_from_json(ujson.loads(text))


def settings_from_json(table: dict[str, Any]) -> i.Settings:
    """Typed settings from decoded JSON; unknown keys are skipped."""
    domain, rules, limits = (table.get(part, {}) for part in ("domain", "rules", "limits"))
    return i.Settings(
        classes=tuple(_class(n, entry, domain) for n, entry in enumerate(_need(table, "classes"))),
        zone=int(_need(table, "zone")),
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
