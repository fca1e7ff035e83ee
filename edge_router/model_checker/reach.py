"""Coverage: which lines and branches of the core an exploration executes, and why the others are not."""

from __future__ import annotations

import ast
import json
import re
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import coverage

import edge_router
from edge_router.model_checker import mutation_run
from edge_router.model_checker.expander import WorkerPool
from edge_router.model_checker.properties import PROPERTIES
from edge_router.model_checker.scope import SMALL, WALK
from edge_router.model_checker.trace import model_factory
from edge_router.model_checker.walk import Walks, walk

ROOT = Path(edge_router.__file__).parent
WALKS, WALK_STEPS = 3, 1500
CORE = (
    "decision/candidate_selector.py",
    "decision/copy_tracker.py",
    "decision/endpoint_directory.py",
    "decision/link_load.py",
    "decision/link_loads.py",
    "decision/outcome_recorder.py",
    "decision/outlier_detection.py",
    "decision/pending_request.py",
    "decision/placement.py",
    "decision/policy.py",
    "decision/popularity.py",
    "decision/purges.py",
    "decision/retry_budget.py",
    "decision/slow_start.py",
    "proxy/messages.py",
    "runtime/timers.py",
    "runtime/memory_budget.py",
    "discovery/endpoint_table.py",
    "proxy/request_table.py",
    "proxy/admission.py",
    "proxy/accounting.py",
    "proxy/request_parser.py",
    "proxy/cache_response.py",
    "proxy/response_validation.py",
    "proxy/response_handler.py",
    "proxy/request_router.py",
    "proxy/discovery_updates.py",
    "proxy/dispatcher.py",
    "proxy/connection_pool.py",
    "proxy/upstream_connections.py",
    "proxy/fetch_command.py",
    "protocol/buffer.py",
    "protocol/change_log_frames.py",
    "discovery/change_log_decoder.py",
    "transport/upstream_channel.py",
    "protocol/fastcgi.py",
    "proxy/fastcgi_frontend.py",
    "protocol/resp.py",
    "transport/client_session.py",
)

# Why lines may be missed: file, pattern of function names, reason. The first that matches holds.
REASONS: tuple[tuple[str, str, str], ...] = (
    (
        "decision/popularity.py",
        "record_request|_drop_less_popular_half|_rescale|_rank_objects|cache_rank|in_top_set|byte_share",
        "popularity of thousands of requests; a scope has two, a walk hundreds",
    ),
    (
        "decision/candidate_selector.py",
        "_spread|caches|_by_load|relative_load",
        "popularity of thousands of requests; a scope has two, a walk hundreds",
    ),
    ("decision/copy_tracker.py", "has_copy|record", "load of a crowded link; the bench's days play it"),
    (
        "decision/link_loads.py",
        "is_congested|check_zone_link_congestion",
        "load of a crowded link; the bench's days play it",
    ),
    (
        "decision/link_load.py",
        "update_capacity|expected_slowdown",
        "load of a crowded link; the bench's days play it",
    ),
    (
        "decision/slow_start.py",
        "available_capacity|allows",
        "a slow-start budget that is used up takes more requests than a scope has",
    ),
    (
        "decision/policy.py",
        "_on_endpoint_list|_on_request|handle",
        "polled lists and unknown classes, which only the simulator has",
    ),
    (
        "decision/link_loads.py",
        "LinkLoads.__init__",
        "settings without classes, which only the simulator has",
    ),
    (
        "decision/policy.py",
        "_try_send|_may_send|_charge_slow_start|_new_attempt|_acceptable_copy_age|_fill_mode",
        "slow-start budgets, no hedged requests, stale lifetimes",
    ),
    ("decision/policy.py", "_on_attempt_ended", "late events, which the proxy never sends"),
    ("proxy/messages.py", "__init__", "bad requests: tests/test_router.py"),
    (
        "runtime/timers.py",
        "next_due|_run_callback",
        "an alarm that raises; the seeded faults and tests play it",
    ),
    (
        "proxy/accounting.py",
        "attempt_ended",
        "the second line against a second end: every caller looks first",
    ),
    (
        "proxy/response_handler.py",
        "respond",
        "the second line against a second answer, in nocancel at its full depth",
    ),
    (
        "proxy/response_validation.py",
        "check_well_formed|find_defect|__str__",
        "long bodies and wrong tags: tests/test_invalid_responses.py",
    ),
    (
        "proxy/request_router.py",
        "on_request",
        "when memory is out, the codec turns requests away before the stages",
    ),
    ("proxy/request_router.py", "_handle_event", "an error in the decisions; the seeded faults play it"),
    (
        "proxy/request_router.py",
        "_on_backstop|_start_attempt",
        "the last line: the module answers first; SIGTERM at full depth",
    ),
    ("proxy/request_router.py", "expire_all", "the scope stopped at its full depth"),
    (
        "proxy/dispatcher.py",
        "_enqueue|on_response|on_connection_lost",
        "full connections, short arrays: tests/test_router.py",
    ),
    ("proxy/upstream_connections.py", "accepts", "full connections: tests/test_router.py"),
    ("discovery/change_log_decoder.py", "process", "empty frames and unknown kinds: tests/test_router.py"),
    (
        "transport/upstream_channel.py",
        "_pump",
        "a last look that leads to the next command: drain at full depth",
    ),
    (
        "transport/client_session.py",
        "_dispatch_request|_pump",
        "bad requests, and clients that are gone: tests/test_router.py",
    ),
    (
        "discovery/change_log_decoder.py",
        "_accept_gap|_decode_event",
        "gaps that stay, and broken events: tests/test_endpoint_updates.py",
    ),
    (
        "protocol/change_log_frames.py",
        "decode_frames",
        "broken frames: tests/test_endpoint_updates.py",
    ),
    (
        "transport/client_session.py",
        "check_timeouts|is_idle|is_quiet|_start_closing|on_received|_send_control_record",
        "slow and bad clients: tests/test_router.py",
    ),
    ("proxy/fastcgi_frontend.py", "", "bad requests and /status/live: tests/test_router.py"),
    ("proxy/request_parser.py", "", "bad requests: tests/test_router.py"),
    ("protocol/fastcgi.py", "", "played by the codec machine, or limits of many requests"),
    ("protocol/resp.py", "", "played by the codec machine"),
    ("protocol/buffer.py", "", "large buffers: tests/test_router.py"),
    (
        "proxy/admission.py",
        "",
        "a whole core is never overdrawn by waiting in the scopes; the load day plays it",
    ),
    ("", "__len__|statistics|log_statistics", "counts for people alone"),
)


def _functions(path: Path) -> dict[int, str]:
    """By line number: the qualified name of the function that contains the line."""
    found: dict[int, str] = {}
    stack: list[tuple[int, str]] = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        indent = len(line) - len(line.lstrip())
        if line.strip():
            while stack and stack[-1][0] >= indent:
                stack.pop()
            if match := re.match(r"\s*(?:async )?(?:def|class) (\w+)", line):
                stack.append((indent, match[1]))
        found[number] = ".".join(name for _, name in stack)
    return found


def at_import(path: Path) -> set[int]:
    """The lines that run when a module is imported, which is before coverage starts."""
    found: set[int] = set()
    waiting: list[ast.stmt] = list(ast.parse(path.read_text()).body)
    while waiting:
        node = waiting.pop()
        if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef)):
            found |= {node.lineno, *(decorator.lineno for decorator in node.decorator_list)}
            continue
        if isinstance(node, ast.ClassDef):
            found |= {node.lineno, *(decorator.lineno for decorator in node.decorator_list)}
            waiting += node.body
            continue
        found |= set(range(node.lineno, (node.end_lineno or node.lineno) + 1))
    return found


def stale_names() -> list[str]:
    """One message for each file or function that `CORE` or `REASONS` names and the core does not have."""
    messages = [f"CORE: there is no file {file}" for file in CORE if not (ROOT / file).exists()]
    for file, pattern, _ in REASONS:
        if file and not (ROOT / file).exists():
            messages.append(f"REASONS: there is no file {file}")
            continue
        defined = {name for path in ([file] if file else CORE) for name in _function_names(path)}
        messages += [
            f"REASONS: {name!r} of the pattern {pattern!r} is no function of {file or 'any file in CORE'}"
            for name in filter(None, pattern.split("|"))
            if not any(function == name or function.endswith(f".{name}") for function in defined)
        ]
    return messages


def _function_names(file: str) -> set[str]:
    path = ROOT / file
    return set(_functions(path).values()) if path.exists() else set()


def reason(file: str, function: str) -> str:
    """Why lines of a function were not executed; empty if no reason is recorded."""
    for where, names, why in REASONS:
        if where in ("", file) and (not names or re.search(rf"(^|\.)({names})$", function)):
            return why
    return ""


def report(depth: int, lines: bool) -> Iterator[str]:
    """Explores the small scope to that depth, and yields the lines of the report.

    `lines` adds the numbers of the lines that were not executed, with the reason.
    """
    yield "Properties:"
    for prop in PROPERTIES.values():
        yield f"  {prop.name:18} {prop.rule} [{prop.source}]"
    yield "Hard cases, and the scope that holds each:"
    for case, scope in HARD_CASES.items():
        yield f"  {scope:10} {case}"
    cover = _explore_under_coverage(depth)
    statements = missed = unexplained = 0
    for name in CORE:
        file = _file_coverage(cover, name)
        statements += file.statements
        missed += file.missed()
        unexplained += sum(not reason(name, function) for function in file.missing)
        yield f"{name:20} {file.statements - file.missed():4} of {file.statements:4} lines"
        if lines:
            yield from _missing_lines(file)
    branches, taken = _branches(cover)
    yield (f"lines={statements} missed={missed} branches={branches} taken={taken} unexplained={unexplained}")


def _explore_under_coverage(depth: int) -> coverage.Coverage:
    """Runs the small scope to that depth, the smaller machines and some walks."""
    cover = coverage.Coverage(data_file=None, branch=True, include=[str(ROOT / name) for name in CORE])
    cover.start()
    try:
        with WorkerPool(1) as workers:
            for scope in SMALL:
                mutation_run.explore(scope.with_bounds(depth=min(depth, scope.depth)), workers)
            mutation_run.explore_channel(workers)
        mutation_run.explore_codecs()
        walks = Walks()
        for seed in range(WALKS):
            walk(model_factory(WALK), seed, WALK_STEPS, walks)
    finally:
        cover.stop()
    return cover


@dataclass(frozen=True)
class FileCoverage:
    """The executable lines of a file, without those that run when it is imported."""

    name: str
    statements: int
    missing: dict[str, list[int]]  # by function: the lines that were not executed

    def missed(self) -> int:
        """How many lines were not executed."""
        return sum(map(len, self.missing.values()))


def _file_coverage(cover: coverage.Coverage, name: str) -> FileCoverage:
    path = ROOT / name
    _, statements, _, missing, _ = cover.analysis2(str(path))
    imported, functions = at_import(path), _functions(path)
    by_function: dict[str, list[int]] = {}
    for line in missing:
        if line not in imported:
            by_function.setdefault(functions.get(line, ""), []).append(line)
    return FileCoverage(name, sum(line not in imported for line in statements), by_function)


def _missing_lines(file: FileCoverage) -> Iterator[str]:
    for function, numbers in file.missing.items():
        why = reason(file.name, function) or "NO REASON ON RECORD"
        yield f"    {function}: {', '.join(map(str, numbers))}: {why}"


def _branches(cover: coverage.Coverage) -> tuple[int, int]:
    """How many branches the core has, and how many of them were taken."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "report.json")
        cover.json_report(outfile=str(path))
        totals = json.loads(path.read_text())["totals"]
    return int(totals["num_branches"]), int(totals["covered_branches"])


HARD_CASES = {
    "a cancel that crosses a late answer": "hedge",
    "a drain that arrives during a fill, of the cache": "drain",
    "a drain that arrives during a fill, of its source": "drain",
    "a hedge won in the moment the first attempt is reset": "hedge",
    "a client abort between first byte and answer": "clients",
    "a purge between order and first byte": "purge",
    "an id replaced at the same address with bytes in flight": "drain",
    "SIGTERM while a pick-confirm is half written": "stop",
    "deadline, cut-off timer and answer in one instant": "deadline",
}
# Steps that reproduce each hard case; the tests check that the exploration includes them.
HARD_STEPS: dict[str, tuple[str, ...]] = {
    "a cancel that crosses a late answer": (
        "ask 0",
        "up c1.0",
        "wait",
        "fire",
        "up c1.1",
        "hit c1.1 0",
        "hit c1.0 0",
    ),
    "a drain that arrives during a fill, of the cache": ("ask 0", "up c1.0", "drain c1", "filled c1.0 0"),
    "a drain that arrives during a fill, of its source": ("ask 0", "up c1.0", "drain p1", "filled c1.0 0"),
    "a hedge won in the moment the first attempt is reset": (
        "ask 0",
        "up c1.0",
        "wait",
        "fire",
        "up c1.1",
        "reset c1.0",
        "hit c1.0 0",
    ),
    "a client abort between first byte and answer": ("ask 0", "decide", "up c1.0", "abort 0", "hit c1.0 0"),
    "a purge between order and first byte": ("ask 0", "purge", "up c2.0", "hit c2.0 0"),
    "an id replaced at the same address with bytes in flight": (
        "ask 0",
        "choke20 c1.0",
        "up c1.0",
        "replace c1",
        "up n1.0",
    ),
    "SIGTERM while a pick-confirm is half written": (
        "ask 0",
        "choke20 c1.0",
        "up c1.0",
        "term",
        "flush c1.0",
    ),
    "deadline, cut-off timer and answer in one instant": (
        "ask 0",
        "up c1.0",
        "wait",
        "fire",
        "wait",
        "fire",
        "wait",
        "hit c1.0 0",
        "fire",
    ),
}
