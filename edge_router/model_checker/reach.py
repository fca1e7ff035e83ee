"""The coverage report: which lines and branches of the core are executed, and why others are not."""

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
from edge_router.model_checker import explorations
from edge_router.model_checker.expander import WorkerPool
from edge_router.model_checker.properties import PROPERTIES
from edge_router.model_checker.scope import SMALL, WALK
from edge_router.model_checker.trace import model_factory
from edge_router.model_checker.walk import Walks, walk

ROOT = Path(edge_router.__file__).parent
WALKS, WALK_STEPS = 3, 1500  # random walks of a report, and the most steps in each
# The files that hold the decisions and state of the router, without I/O.
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

# Why an exploration may miss lines: file, pattern of function names, reason. The first entry that matches
# applies; an empty file matches each file, and an empty pattern each function.
REASONS: tuple[tuple[str, str, str], ...] = (
    (
        "decision/popularity.py",
        "record_request|_drop_less_popular_half|_rescale|_rank_objects|cache_rank|in_top_set|byte_share",
        "popularity over thousands of requests; a scope has two requests, a walk hundreds",
    ),
    (
        "decision/candidate_selector.py",
        "_spread|caches|_by_load|relative_load",
        "popularity over thousands of requests; a scope has two requests, a walk hundreds",
    ),
    (
        "decision/copy_tracker.py",
        "has_copy|record",
        "the load of a congested link, which the operators' bench covers",
    ),
    (
        "decision/link_loads.py",
        "is_congested|check_zone_link_congestion",
        "the load of a congested link, which the operators' bench covers",
    ),
    (
        "decision/link_load.py",
        "update_capacity|expected_slowdown",
        "the load of a congested link, which the operators' bench covers",
    ),
    (
        "decision/slow_start.py",
        "available_capacity|allows",
        "using up a slow-start budget takes more requests than a scope has",
    ),
    (
        "decision/policy.py",
        "_on_endpoint_list|_on_request|handle",
        "polled endpoint lists and unknown classes, which only the simulator has",
    ),
    (
        "decision/link_loads.py",
        "LinkLoads.__init__",
        "settings without classes, which only the simulator has",
    ),
    (
        "decision/policy.py",
        "_try_send|_may_send|_charge_slow_start|_new_attempt|_acceptable_copy_age|_fill_mode",
        "used-up slow-start budgets, settings without hedged requests, stale lifetimes",
    ),
    ("decision/policy.py", "_on_attempt_ended", "events that come too late, which the proxy never sends"),
    ("proxy/messages.py", "__init__", "invalid requests: tests/test_request_validation.py"),
    (
        "runtime/timers.py",
        "next_due|_run_callback",
        "cancelled timers, and callbacks that raise, which only mutations cause",
    ),
    (
        "proxy/accounting.py",
        "attempt_ended",
        "a guard against a second end of an attempt; every caller checks this before",
    ),
    (
        "proxy/response_handler.py",
        "respond",
        "a guard against a second answer, reached at the full depth of the scope nocancel",
    ),
    (
        "proxy/response_validation.py",
        "check_well_formed|find_defect|__str__",
        "long bodies and wrong entity tags: tests/test_invalid_responses.py",
    ),
    (
        "proxy/request_router.py",
        "on_request",
        "when the memory budget is used up, the FastCGI decoder rejects requests before they get here",
    ),
    (
        "proxy/request_router.py",
        "_handle_event",
        "an exception in a decision, which only mutations cause",
    ),
    (
        "proxy/request_router.py",
        "_on_backstop|_start_attempt",
        "the backstop: decisions answer first, except after SIGTERM at the full depth of a scope",
    ),
    ("proxy/request_router.py", "expire_all", "reached at the full depth of the scope stopped"),
    (
        "proxy/dispatcher.py",
        "_enqueue|on_response|on_connection_lost",
        "full connections, which take more requests than a scope has; "
        "responses that lack items: tests/test_invalid_responses.py",
    ),
    (
        "proxy/upstream_connections.py",
        "accepts",
        "full connections, which take more requests than a scope has",
    ),
    (
        "discovery/change_log_decoder.py",
        "process",
        "empty frames and unknown kinds: tests/test_endpoint_updates.py",
    ),
    (
        "transport/upstream_channel.py",
        "_flush",
        "a check before a send that queues another command, reached at the full depth of the scope drain",
    ),
    (
        "transport/client_session.py",
        "_dispatch_request|_flush",
        "invalid requests: tests/test_request_validation.py; "
        "clients that have disconnected: tests/test_unread_input.py; "
        "connections that close after a response: tests/test_fastcgi_frontend.py",
    ),
    (
        "discovery/change_log_decoder.py",
        "_handle_gap|_decode_event",
        "persistent gaps, and malformed events: tests/test_endpoint_updates.py",
    ),
    (
        "protocol/change_log_frames.py",
        "decode_frames",
        "malformed frames: tests/test_endpoint_updates.py",
    ),
    (
        "transport/client_session.py",
        "check_timeouts|is_idle|is_fully_answered|_start_closing|on_received|_send_control_record",
        "slow clients: tests/test_fastcgi_frontend.py; invalid requests: tests/test_request_validation.py",
    ),
    (
        "proxy/fastcgi_frontend.py",
        "",
        "invalid requests: tests/test_request_validation.py; /status/live: tests/test_admission.py",
    ),
    ("proxy/request_parser.py", "", "invalid requests: tests/test_request_validation.py"),
    (
        "protocol/fastcgi.py",
        "",
        "covered by the check of the codecs, or limits that take many requests to reach",
    ),
    ("protocol/resp.py", "", "covered by the check of the codecs"),
    ("protocol/buffer.py", "", "large buffers: tests/test_forwarding.py"),
    (
        "proxy/admission.py",
        "",
        "no time passes before a decision, so no request is shed; the operators' bench sheds under load",
    ),
    ("", "__len__|statistics|log_statistics", "counts that only the statistics report"),
)


def _functions_by_line(path: Path) -> dict[int, str]:
    """Maps each line number to the qualified name of the function that contains the line."""
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


def lines_run_on_import(path: Path) -> set[int]:
    """The lines that run when a module is imported, which happens before coverage is recorded."""
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
    """Returns a message for each file or function in `CORE` or `REASONS` that does not exist."""
    messages = [f"CORE: there is no file {file}" for file in CORE if not (ROOT / file).exists()]
    for file, pattern, _ in REASONS:
        if file and not (ROOT / file).exists():
            messages.append(f"REASONS: there is no file {file}")
            continue
        defined = {name for path in ([file] if file else CORE) for name in _function_names(path)}
        messages += [
            f"REASONS: {name!r} of the pattern {pattern!r} is not a function of {file or 'any file in CORE'}"
            for name in filter(None, pattern.split("|"))
            if not any(function == name or function.endswith(f".{name}") for function in defined)
        ]
    return messages


def _function_names(file: str) -> set[str]:
    path = ROOT / file
    return set(_functions_by_line(path).values()) if path.exists() else set()


def reason(file: str, function: str) -> str:
    """Returns why lines of a function may not be executed; empty if no reason is recorded."""
    for where, names, why in REASONS:
        if where in ("", file) and (not names or re.search(rf"(^|\.)({names})$", function)):
            return why
    return ""


def report(depth: int, lines: bool) -> Iterator[str]:
    """Explores the small scopes to `depth`, and yields the lines of the report.

    `lines` adds the line numbers that were not executed, with the reason.
    """
    yield "Properties:"
    for prop in PROPERTIES.values():
        yield f"  {prop.name:18} {prop.rule} [{prop.source}]"
    yield "Hard cases, and the scope that includes each:"
    for case, scope in HARD_CASES.items():
        yield f"  {scope:10} {case}"
    cover = _explore_under_coverage(depth)
    statements = missed = unexplained = 0  # `unexplained` counts functions, the others lines
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
    """Explores the small scopes to `depth`, one connection and the codecs, and runs some random walks."""
    cover = coverage.Coverage(data_file=None, branch=True, include=[str(ROOT / name) for name in CORE])
    cover.start()
    try:
        with WorkerPool(1) as workers:
            for scope in SMALL:
                explorations.explore(scope.with_bounds(depth=min(depth, scope.depth)), workers)
            explorations.explore_channel(workers)
        explorations.explore_codecs()
        walks = Walks()
        for seed in range(WALKS):
            walk(model_factory(WALK), seed, WALK_STEPS, walks)
    finally:
        cover.stop()
    return cover


@dataclass(frozen=True)
class FileCoverage:
    """The executable lines of a file, without those that run on import."""

    name: str
    statements: int
    missing: dict[str, list[int]]  # by function: the line numbers that were not executed

    def missed(self) -> int:
        """The number of lines that were not executed."""
        return sum(map(len, self.missing.values()))


def _file_coverage(cover: coverage.Coverage, name: str) -> FileCoverage:
    path = ROOT / name
    _, statements, _, missing, _ = cover.analysis2(str(path))
    imported, functions = lines_run_on_import(path), _functions_by_line(path)
    by_function: dict[str, list[int]] = {}
    for line in missing:
        if line not in imported:
            by_function.setdefault(functions.get(line, ""), []).append(line)
    return FileCoverage(name, sum(line not in imported for line in statements), by_function)


def _missing_lines(file: FileCoverage) -> Iterator[str]:
    for function, numbers in file.missing.items():
        why = reason(file.name, function) or "NO REASON RECORDED"
        yield f"    {function}: {', '.join(map(str, numbers))}: {why}"


def _branches(cover: coverage.Coverage) -> tuple[int, int]:
    """The number of branches of the core, and how many of them were taken."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "report.json")
        cover.json_report(outfile=str(path))
        totals = json.loads(path.read_text())["totals"]
    return int(totals["num_branches"]), int(totals["covered_branches"])


# Hard cases (race conditions) that the exploration must include, and the scope that includes each.
HARD_CASES = {
    "a cancellation that crosses a late answer": "hedge",
    "a drain of the cache during a fill": "drain",
    "a drain of the source during a fill": "drain",
    "a hedged request answered at the moment that the first attempt is reset": "hedge",
    "a client abort between the first byte and the answer": "clients",
    "a purge between the decision and the first byte": "purge",
    "an endpoint replaced at the same address with bytes in flight": "drain",
    "SIGTERM while a confirm request is half written": "stop",
    "deadline, attempt timeout and answer at the same moment": "deadline",
}
# Steps that reproduce each hard case; a test checks that they are enabled in its scope.
HARD_STEPS: dict[str, tuple[str, ...]] = {
    "a cancellation that crosses a late answer": (
        "ask 0",
        "up c1.0",
        "wait",
        "fire",
        "up c1.1",
        "hit c1.1 0",
        "hit c1.0 0",
    ),
    "a drain of the cache during a fill": ("ask 0", "up c1.0", "drain c1", "filled c1.0 0"),
    "a drain of the source during a fill": ("ask 0", "up c1.0", "drain p1", "filled c1.0 0"),
    "a hedged request answered at the moment that the first attempt is reset": (
        "ask 0",
        "up c1.0",
        "wait",
        "fire",
        "up c1.1",
        "reset c1.0",
        "hit c1.0 0",
    ),
    "a client abort between the first byte and the answer": (
        "ask 0",
        "decide",
        "up c1.0",
        "abort 0",
        "hit c1.0 0",
    ),
    "a purge between the decision and the first byte": ("ask 0", "purge", "up c2.0", "hit c2.0 0"),
    "an endpoint replaced at the same address with bytes in flight": (
        "ask 0",
        "choke20 c1.0",
        "up c1.0",
        "replace c1",
        "up n1.0",
    ),
    "SIGTERM while a confirm request is half written": (
        "ask 0",
        "choke20 c1.0",
        "up c1.0",
        "term",
        "flush c1.0",
    ),
    "deadline, attempt timeout and answer at the same moment": (
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
