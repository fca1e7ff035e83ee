"""The example of the README on free ports."""

from __future__ import annotations

import os
import re
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from tcp_endpoints import free_address

EXAMPLES = Path(__file__).parent.parent / "examples"


@contextmanager
def running(*command: str, said: str, on: str, **env: str) -> Iterator[subprocess.Popen[str]]:
    """Starts a program, waits for the line that says it is ready, and kills it at the end."""
    process = subprocess.Popen(
        [sys.executable, *command],
        stdin=subprocess.PIPE,
        text=True,
        env={**os.environ, **env},
        **{on: subprocess.PIPE},
    )  # type: ignore[call-overload]
    try:
        for line in getattr(process, on):
            if said in line:
                break
        else:
            raise AssertionError(f"{command} ended early")
        yield process
    finally:
        process.kill()
        process.communicate()


def send_request(address: str, *arguments: str) -> str:
    done = subprocess.run(
        [sys.executable, str(EXAMPLES / "send_request.py"), address, *arguments],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    return done.stdout


def test_example_serves_requests(tmp_path: Path) -> None:
    text = (EXAMPLES / "config.json").read_text()
    for old in sorted(set(re.findall(r"127\.0\.0\.1:\d+", text))):
        text = text.replace(old, ":".join(map(str, free_address())))
    config = tmp_path / "config.json"
    config.write_text(text)
    found = re.search(r'"listen": "(.*?)"', text)
    assert found
    fake_backends = running(
        str(EXAMPLES / "fake_backends.py"), str(config), said="fake backends are up", on="stdout"
    )
    with (
        fake_backends as backends,
        running(
            "-m", "edge_router", said="change-log-connected", on="stderr", RELAY_CONFIG=str(config)
        ) as router,
    ):
        for note in ("filled", "hit"):
            answer = send_request(found[1], "item-image", "7f3a9c21e0b4d655")
            assert "Status: 200 OK" in answer
            assert answer.endswith("1900 bytes\n")
            assert backends.stdout
            assert backends.stdout.readline().endswith(f"item-image 7f3a9c21e0b4d655 part 0: {note}\n")
        send_request(found[1], "pick-confirm", "1")
        assert backends.stdin
        assert router.stderr
        backends.stdin.write("drain s-00000011\n")
        backends.stdin.flush()
        assert any("id=s-00000011 state=draining" in line for line in router.stderr)
