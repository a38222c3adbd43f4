"""Formats the results of a run as a text report or a plot."""

import importlib.util
import pathlib

from trefoilgw.load import results

PLOT_PERCENTILES = (0, 10, 25, 50, 75, 90, 95, 99, 99.9, 100)
HEADER = (
    f"{'customer':<14}{'kind':<18}{'sent':>7}{'compl.':>8}{'failed':>8}"
    f"{'refused':>9}{'lost':>6}{'p50 s':>9}{'p99 s':>9}"
    f"{'ratio p50':>11}{'ratio p99':>11}"
)


def text(run: results.Results) -> str:
    """Returns the results as a table with reasons and faults below it."""
    lines = [HEADER]
    for key in sorted(run.flows):
        lines.append(_row(run.flows[key]))
    total = run.total()
    lines.append(_row(total))
    lines += _reason_lines(total)
    lines.append("")
    lines.append(_generator_line(run, total))
    faults = run.faults()
    found = ", ".join(f"{name} {count}" for name, count in faults.items())
    lines.append(f"faults: {found or 'none'}")
    return "\n".join(lines)


def _row(flow: results.FlowResult) -> str:
    """Returns the table row of one flow."""
    counts = flow.counts
    sent = counts["planned"] - counts["not_sent"]
    lost = counts["lost"] + counts["unanswered"]
    suffix = " (flood)" if flow.flood else ""
    return (
        f"{flow.customer:<14}{flow.kind + suffix:<18}{sent:>7}"
        f"{counts['complete']:>8}{counts['failed']:>8}{counts['refused']:>9}"
        f"{lost:>6}{flow.response_s_at(50):>9.3f}{flow.response_s_at(99):>9.3f}"
        f"{flow.ratio_at(50):>11.3f}{flow.ratio_at(99):>11.3f}"
    )


def _reason_lines(total: results.FlowResult) -> list[str]:
    """Returns one line for each reason, the most frequent first."""
    return [
        f"  {count} x {reason}" for reason, count in total.reasons.most_common()
    ]


def _generator_line(run: results.Results, total: results.FlowResult) -> str:
    """Returns the line about the generator's own CPU time and lag."""
    jobs = max(1, total.counts["planned"] - total.counts["not_sent"])
    lag_s = run.lag_us.get_value_at_percentile(99) / results.MICROSECONDS_PER_S
    return (
        f"generator: {run.generator_cpu_s / jobs * 1e6:.0f} us CPU per job, "
        f"late by {lag_s * 1e3:.1f} ms at p99, "
        f"{total.counts['not_sent']} jobs not sent"
    )


def can_plot() -> bool:
    """Returns whether matplotlib is installed (extra ``report``)."""
    return importlib.util.find_spec("matplotlib") is not None


def plot(run: results.Results, path: pathlib.Path) -> None:
    """Plots the ratio of response time to ideal time by percentile.

    Args:
        run: Results to plot.
        path: File to write; its suffix selects the format.

    Raises:
        ImportError: matplotlib is not installed.
    """
    from matplotlib import figure

    chart = figure.Figure()
    axes = chart.subplots()
    for key in sorted(run.flows):
        flow = run.flows[key]
        ratios = [flow.ratio_at(percent) for percent in PLOT_PERCENTILES]
        label = f"{flow.customer} {flow.kind}"
        axes.plot(range(len(ratios)), ratios, label=label)
    axes.set_xticks(range(len(PLOT_PERCENTILES)), PLOT_PERCENTILES)
    axes.set_xlabel("percentile")
    axes.set_ylabel("response against ideal")
    axes.set_yscale("log")
    axes.legend()
    chart.savefig(path)
