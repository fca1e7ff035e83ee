"""The coverage report of the model checker: the files and functions that it names are those of the core."""

from __future__ import annotations

import pytest

from edge_router.model_checker import reach


def test_the_coverage_report_names_files_and_functions_that_exist() -> None:
    assert reach.stale_names() == [], "follow the renames of the core in edge_router/model_checker/reach.py"


def test_stale_names_of_the_coverage_report_are_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reach, "CORE", ("runtime/timers.py", "runtime/none.py"))
    reasons = (
        ("runtime/timers.py", "_run_callback|Timers.next_due|absent", ""),
        ("runtime/other.py", "", ""),
    )
    monkeypatch.setattr(reach, "REASONS", reasons)
    assert reach.stale_names() == [
        "CORE: there is no file runtime/none.py",
        "REASONS: 'absent' of the pattern '_run_callback|Timers.next_due|absent' "
        "is no function of runtime/timers.py",
        "REASONS: there is no file runtime/other.py",
    ]
