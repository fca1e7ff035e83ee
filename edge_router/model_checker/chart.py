"""Draws a counterexample as a sequence chart with matplotlib."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from edge_router.model_checker.scope import ANSWERS
from edge_router.model_checker.trace import Trace, TracedStep

ROW_HEIGHT = 0.34  # inches per step
_CLIENT_STEPS = ("ask", "abort", "retry", "leave", "stall", "unstall")
_CHANGE_LOG_STEPS = (
    "drain",
    "gone",
    "replace",
    "restart",
    "back",
    "join",
    "purge",
    "purgeall",
    "cut",
    "mend",
    "repeat",
    "gap",
)


def _lane(traced: TracedStep) -> str:
    """The lane of the peer that takes the step: client, change log, a cache node, or the router itself."""
    word, _, rest = traced.step.partition(" ")
    if word in _CLIENT_STEPS:
        return "client"
    if word in _CHANGE_LOG_STEPS:
        return "change log"
    first = rest.split()[0] if rest else ""
    return first.partition(".")[0] if "." in first else "router"


def draw(trace: Trace, path: Path) -> None:
    """Writes the chart to a file; the suffix of the path selects SVG or PNG."""
    taken, violations = trace.replay()
    lanes = [
        "client",
        "router",
        *sorted({lane for lane in map(_lane, taken) if lane not in ("client", "router", "change log")}),
        "change log",
    ]
    height = ROW_HEIGHT * (len(taken) + 4)
    figure, axes = pyplot.subplots(figsize=(2.6 + 2.2 * len(lanes), max(2.0, height)))
    for column, lane in enumerate(lanes):
        axes.text(column, 0.9, lane, ha="center", weight="bold")
        axes.plot((column, column), (0.6, -len(taken) - 0.6), color="0.8", zorder=0)
    router = lanes.index("router")
    for row, traced in enumerate(taken):
        y, from_lane = -row, lanes.index(_lane(traced))
        word = traced.step.partition(" ")[0]
        label = traced.text.partition(": ")[2] or traced.text
        if from_lane == router:
            axes.plot(router, y, "s", color="0.4", markersize=5)
            axes.text(router + 0.06, y + 0.12, label, size=7, color="0.3")
        else:
            axes.annotate(
                "",
                (router, y),
                (from_lane, y),
                arrowprops={"arrowstyle": "->", "color": "tab:green" if word in ANSWERS else "tab:blue"},
            )
            axes.text((from_lane + router) / 2, y + 0.12, label, size=7, ha="center")
        axes.text(-0.75, y, f"{traced.at:.0f} ms", size=7, ha="right", va="center", color="0.4")
    verdict = (
        "; ".join(f"{violation.property_name}: {violation.detail}" for violation in violations)
        or "no property is violated"
    )
    axes.text(router, -len(taken) - 0.9, verdict, size=8, color="tab:red", ha="center")
    axes.set_xlim(-1.2, len(lanes) - 0.4)
    axes.set_ylim(-len(taken) - 1.4, 1.4)
    axes.axis("off")
    axes.set_title(
        f"scope {trace.scope.name}" + (f", mutation {trace.mutation}" if trace.mutation else ""), size=9
    )
    figure.savefig(path, bbox_inches="tight")
    pyplot.close(figure)
