"""The configuration file at startup and at a reload."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from fake_change_log import (
    DRAINING,
    ENDPOINT_CHANGES,
    GROUP_PURGE,
    HEARTBEAT,
    FakeChangeLog,
    encode_group_purge,
)
from router_harness import SETTINGS, RouterHarness
from socket_requests import is_rejection, request_objects
from waiting import TEST_TIMEOUT


def test_reload_moves_the_change_log_while_requests_continue(router: RouterHarness) -> None:
    client, new = router.connect(), FakeChangeLog()
    client.send_request()
    fetch = router.next_command()
    assert router.change_log.resumed_from.get(timeout=TEST_TIMEOUT) == 1
    router.change_log.send_event(2, GROUP_PURGE, encode_group_purge(40, 1))
    router.change_log.send_event(3, HEARTBEAT)  # after this the connection stays open and silent
    changed = {**router.config, "changelog": f"127.0.0.1:{new.listener.port}"}
    router.reload(json.dumps(changed))
    assert new.resumed_from.get(timeout=TEST_TIMEOUT) == 2
    new.send_event(3, ENDPOINT_CHANGES, router.endpoint_record(router.caches[0], DRAINING))
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 5, "an event from the new address")
    fetch.reply(body=b"went on")
    assert client.read_response().body == b"went on"
    assert "waits_for_restart=nothing" in router.log_lines("configuration-reloaded")[0]
    new.listener.close()


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "[]",
        "{}",
        '{"limits": {"sockets": 0}}',
        '{"limits": {"memory_mb": -1}}',
        '{"limits": {"sockets": 1e999}}',
        '{"changelog": "nowhere"}',
        '{"known": {"results": [{"fleet": 7}]}}',
        '{"settings": {}}',
    ],
)
def test_invalid_reload_is_logged_in_one_line_and_the_old_configuration_stays(
    router: RouterHarness, text: str
) -> None:
    assert router.change_log.resumed_from.get(timeout=TEST_TIMEOUT) == 1
    changes = json.loads(text) if text.startswith('{"') else None
    router.reload(text if changes is None else json.dumps({**router.config, **changes}))
    router.wait_until(lambda: router.log_lines("configuration-rejected"), "the rejection")
    router.change_log.send_event(2, ENDPOINT_CHANGES, router.endpoint_record(router.caches[0], DRAINING))
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 5, "an event from the old address")
    request_objects(router, router.connect(), 2)
    assert len(router.log_lines("configuration-rejected")) == 1


@pytest.mark.parametrize(
    ("change", "part"),
    [
        ({"name": "n9"}, "name"),
        ({"listen": "127.0.0.1:1"}, "listen"),
        ({"settings": {**SETTINGS, "classes": [{**SETTINGS["classes"][0], "name": "reel"}]}}, "classes"),
        ({"settings": {**SETTINGS, "zone": 0}}, "zone"),
    ],
)
def test_configuration_of_another_router_is_rejected_as_a_whole(
    router: RouterHarness, change: dict[str, Any], part: str
) -> None:
    """Neither its limits nor its change log may be applied."""
    assert router.change_log.resumed_from.get(timeout=TEST_TIMEOUT) == 1
    new, limits = FakeChangeLog(), {**router.config["limits"], "memory_mb": 0.001}
    router.reload(
        json.dumps(
            {**router.config, "limits": limits, "changelog": f"127.0.0.1:{new.listener.port}", **change}
        )
    )
    router.wait_until(lambda: router.log_lines("configuration-rejected"), "the rejection")
    assert f"another router: different {part}" in router.log_lines("configuration-rejected")[0]
    assert not router.log_lines("configuration-reloaded")
    router.change_log.send_event(2, ENDPOINT_CHANGES, router.endpoint_record(router.caches[0], DRAINING))
    router.wait_until(lambda: len(router.log_lines("endpoint")) == 5, "an event from the old address")
    request_objects(router, router.connect(), 2)
    assert new.resumed_from.empty()
    new.listener.close()


def test_reloaded_limit_applies_at_once(router: RouterHarness) -> None:
    limits = {"limits": {**router.config["limits"], "memory_mb": 0.001}}
    router.reload(json.dumps({**router.config, **limits}))
    router.wait_until(lambda: router.log_lines("configuration-reloaded"), "the new configuration")
    assert is_rejection(router.connect().request(X_WORKING_SET_KB="100"))


@pytest.mark.parametrize(
    "text",
    [
        None,
        "{",
        "[]",
        "{}",
        '{"settings":{"zone":0,"classes":[{}]}}',
        '{"settings":{"zone":0,"classes":[{"deadline":1}]},"listen":"nowhere","changelog":"127.0.0.1:1"}',
        '{"settings":{"zone":0,"classes":[{"deadline":1}]},"listen":"127.0.0.1:0","changelog":"127.0.0.1:1",'
        '"known":{"results":[{"fleet":{"instances":[{"instanceId":"x"}]}}]}}',
        '{"settings":{"zone":0,"classes":[{"deadline":1}]},"listen":"255.1.1.1:1","changelog":"127.0.0.1:1"}',
    ],
)
def test_invalid_configuration_at_startup_is_reported_in_one_line(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "edge_router"],
        env={"RELAY_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT,
    )
    assert done.returncode == 2
    assert done.stderr.startswith("edge-router: ")
    assert done.stderr.count("\n") == 1
