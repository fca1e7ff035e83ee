"""The example programs work together with the router: requests are served, and a drain reaches the router.

The ports of examples/config.json are replaced by free ones.
"""

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
def running(*command: str, ready_text: str, stream_name: str, **env: str) -> Iterator[subprocess.Popen[str]]:
    """Starts a program, waits until it writes `ready_text` to the stream, and kills it at the end."""
    process = subprocess.Popen(
        [sys.executable, *command],
        stdin=subprocess.PIPE,
        text=True,
        env={**os.environ, **env},
        **{stream_name: subprocess.PIPE},
    )  # type: ignore[call-overload]
    try:
        for line in getattr(process, stream_name):
            if ready_text in line:
                break
        else:
            raise AssertionError(f"{command} ended before it was ready")
        yield process
    finally:
        process.kill()
        process.communicate()


def send_request(address: str, *arguments: str) -> str:
    completed = subprocess.run(
        [sys.executable, str(EXAMPLES / "send_request.py"), address, *arguments],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    return completed.stdout


def test_example_serves_requests(tmp_path: Path) -> None:
    text = (EXAMPLES / "config.json").read_text()
    for address in sorted(set(re.findall(r"127\.0\.0\.1:\d+", text))):
        text = text.replace(address, ":".join(map(str, free_address())))
    config = tmp_path / "config.json"
    config.write_text(text)
    listen = re.search(r'"listen": "(.*?)"', text)
    assert listen
    fake_backends = running(
        str(EXAMPLES / "fake_backends.py"),
        str(config),
        ready_text="fake backends are up",
        stream_name="stdout",
    )
    with (
        fake_backends as backends,
        running(
            "-m",
            "edge_router",
            ready_text="change-log-connected",
            stream_name="stderr",
            RELAY_CONFIG=str(config),
        ) as router,
    ):
        for fill_result in ("filled", "hit"):
            output = send_request(listen[1], "item-image", "7f3a9c21e0b4d655")
            assert "Status: 200 OK" in output
            assert output.endswith("1900 bytes\n")
            assert backends.stdout
            assert backends.stdout.readline().endswith(f"item-image 7f3a9c21e0b4d655 part 0: {fill_result}\n")
        send_request(listen[1], "pick-confirm", "1")
        assert backends.stdin
        assert router.stderr
        backends.stdin.write("drain s-00000011\n")
        backends.stdin.flush()
        assert any("id=s-00000011 state=draining" in line for line in router.stderr)
