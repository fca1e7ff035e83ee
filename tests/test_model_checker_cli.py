"""The commands `explore` and `demo`, started as processes."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from model_checker_helpers import run_command, small_scope

from edge_router.model_checker import mutations
from edge_router.model_checker.trace import Trace, model_factory, shrink


def test_killed_exploration_continues_from_its_saved_frontier(tmp_path: Path) -> None:
    words = ("explore", "run", "--scope", "purge", "--depth", "7", "--processes", "2")
    uninterrupted = run_command(*words)
    save = tmp_path / "front"
    killed = subprocess.Popen(
        [sys.executable, "-m", "edge_router", *words, "--save", str(save), "--save-every", "0"],
        stdout=subprocess.DEVNULL,
        start_new_session=True,
    )
    give_up_at = time.monotonic() + 60.0
    while not Path(f"{save}.purge").exists() and time.monotonic() < give_up_at:
        time.sleep(0.01)
    os.killpg(killed.pid, signal.SIGKILL)
    killed.wait()
    resumed = run_command(*words, "--save", str(save))
    counts = [
        re.search(r"states=\d+ transitions=\d+ depth=\d+ violations=0", run.stdout)
        for run in (uninterrupted, resumed)
    ]
    assert counts[0]
    assert counts[1]
    assert counts[0][0] == counts[1][0]
    saved = Path(f"{save}.purge")
    saved.write_bytes(saved.read_bytes()[:-3])
    damaged = run_command(*words, "--save", str(save))
    assert damaged.returncode == 2
    assert "is damaged" in damaged.stderr


def test_small_scope_has_no_violation() -> None:
    result = run_command("explore", "run", "--scope", "small")
    assert result.returncode == 0, result.stdout + result.stderr
    assert re.fullmatch(
        r"scope=small states=\d+ transitions=\d+ depth=\d+ violations=0 seconds=[\d.]+ "
        r"states_per_s=\d+",
        result.stdout.splitlines()[-1],
    )


def test_trace_is_shortened_saved_and_reported(tmp_path: Path) -> None:
    factory = model_factory(small_scope("confirm"), "reset-told-as-never-run")
    try:
        long_steps = (
            "ask 0",
            "wait",
            "notup c1.0",
            "up c2.0",
            "choke0 c2.0",
            "flush c2.0",
            "reset c2.0",
            "end c2.0",
        )
        steps = shrink(factory, long_steps, "run-is-run")
        trace = Trace(small_scope("confirm"), steps, "run-is-run", "", "reset-told-as-never-run")
        assert len(steps) < len(long_steps)
        assert Trace.from_json(trace.to_json()) == trace
        assert "resets the connection" in trace.report()
        assert "broken: run-is-run" in trace.report()
        path = tmp_path / "trace.json"
        path.write_text(trace.to_json())
    finally:
        mutations.plant("")
    result = run_command("explore", "replay", str(path), "--chart", str(tmp_path / "chart.svg"))
    assert result.returncode == 1, result.stderr
    assert "broken: run-is-run" in result.stdout, result.stderr
    assert "<svg" in (tmp_path / "chart.svg").read_text()


@pytest.mark.parametrize(
    "arguments",
    [
        ("explore", "run", "--scope", "nowhere"),
        ("explore", "run", "--depth", "3"),
        ("explore", "seeded", "--only", "x"),
        ("explore", "replay", "no-such-file"),
        ("explore", "walk", "--steps", "0"),
        ("nonsense",),
    ],
)
def test_unusable_arguments_end_with_status_2(arguments: tuple[str, ...]) -> None:
    result = run_command(*arguments)
    assert result.returncode == 2
    assert result.stderr
    assert "Traceback" not in result.stderr


def test_demo_answers_each_request_once() -> None:
    result = run_command("demo", "--requests", "80")
    assert result.returncode == 0, result.stdout + result.stderr
    assert "80 requests, 80 final answers, 0 pick-confirms run twice" in result.stdout
