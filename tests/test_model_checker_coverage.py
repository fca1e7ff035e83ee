"""The coverage report of the model checker names only files and functions of the core that exist."""

from __future__ import annotations

import pytest

from edge_router.model_checker import reach


def test_coverage_report_names_existing_files_and_functions() -> None:
    assert reach.stale_names() == [], "rename these in edge_router/model_checker/reach.py, too"


def test_stale_names_in_the_coverage_report_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reach, "CORE", ("runtime/timers.py", "runtime/none.py"))
    reasons = (
        ("runtime/timers.py", "_run_callback|Timers.next_due|absent", ""),
        ("runtime/other.py", "", ""),
    )
    monkeypatch.setattr(reach, "REASONS", reasons)
    assert reach.stale_names() == [
        "CORE: there is no file runtime/none.py",
        "REASONS: 'absent' of the pattern '_run_callback|Timers.next_due|absent' "
        "is not a function of runtime/timers.py",
        "REASONS: there is no file runtime/other.py",
    ]
