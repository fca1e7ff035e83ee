"""Packages import only from their own level and lower levels, and some may not load heavy modules.

Request routing, sessions and the model are loaded without trio, the server without the command line.
"""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# By package; a package may import from its own level and from lower levels.
LEVELS = {
    "runtime": 0,
    "decision": 1,
    "protocol": 2,
    "discovery": 3,
    "transport": 3,
    "config": 4,
    "proxy": 5,
    "server": 6,
    "model_checker": 7,
    "fault_injection": 7,
    "cli": 8,
    "": 0,  # modules directly in `edge_router`
}


def level_of(module: str) -> int:
    """Returns the level of a module of `edge_router`."""
    return LEVELS[module.removeprefix("edge_router").removeprefix(".").partition(".")[0]]


def test_imports_go_down_only() -> None:
    for path in (ROOT / "edge_router").rglob("*.py"):
        module = ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")
        if module in ("edge_router.__main__", "edge_router.simulator_adapter"):
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module and node.module.startswith("edge_router"):
                for name in node.names:
                    full_name = f"{node.module}.{name.name}"
                    target = (
                        full_name if (ROOT / (full_name.replace(".", "/") + ".py")).exists() else node.module
                    )
                    assert level_of(target) <= level_of(module), f"{module} imports {target}"


@pytest.mark.parametrize(
    ("module", "excluded"),
    [
        ("edge_router.proxy.request_router", ("trio",)),
        ("edge_router.transport.upstream_channel", ("trio",)),
        ("edge_router.transport.client_session", ("trio",)),
        ("edge_router.model_checker.model.router_model", ("trio",)),
        (
            "edge_router.server.main",
            ("click", "rich", "numpy", "xxhash", "edge_router.model_checker", "edge_router.cli"),
        ),
    ],
)
def test_module_does_not_load_heavy_modules(module: str, excluded: tuple[str, ...]) -> None:
    code = f"import sys, {module}; sys.exit(any(name in sys.modules for name in {excluded!r}))"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
