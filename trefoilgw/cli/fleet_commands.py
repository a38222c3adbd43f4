"""Commands that query the running processes."""

import itertools
import pathlib

import attrs
from cleo.helpers import argument
from cleo.helpers import option

from trefoilgw.cli import base
from trefoilgw.cli import fleet
from trefoilgw.cli import rendering
from trefoilgw.cli import report
from trefoilgw.findings import core as findings
from trefoilgw.logs import job_timeline
from trefoilgw.settings import checks

ENTRY_OPTION = option(
    "entry",
    "e",
    "Admin address (ip:port) of an entry to ask as well; for use while the "
    "platform is down.",
    flag=False,
    multiple=True,
)


class FleetCommand(base.PlatformCommand):
    """Command that queries the entries."""

    options = [*base.PlatformCommand.options, ENTRY_OPTION]

    def check_input(self) -> list[findings.Finding]:
        """Checks the addresses of ``--entry``."""
        return [
            findings.Finding("--entry", fault.text)
            for seed in self.option("entry")
            for fault in checks.dial_address(seed)
        ]

    def run_with_client(self, client, operator) -> report.Report:
        """Finds the entries and queries them."""
        discovery = fleet.discover(client, self.option("entry"))
        if not discovery.addresses:
            text = discovery.error or "the roster names no entry"
            return report.from_failure(report.UNAVAILABLE, text)
        return self.run_with_entries(discovery)

    def run_with_entries(self, discovery: fleet.Discovery) -> report.Report:
        """Queries the entries that were found."""
        raise NotImplementedError


class StatusCommand(FleetCommand):
    """``trefoilgw status``."""

    name = "status"
    description = "Shows the processes and the revision in force at each."
    help = """\
Reads the roster at the platform and asks each entry. Shows the entries, the
agents connected to them, the admin address of each, the revision in force
(marked if it is behind the stored one), which agents get no work and why
(ejected, suspected, draining, leaving), and kinds that were stopped because
they fail on most agents. The revision that an entry reports for an agent is up
to a second old.

While the platform is down, name an entry's admin address with
<info>--entry</info>; the others are found through it.

Exit codes: 0; 1 wrong option; 2 no entry answers.
"""

    def run_with_entries(self, discovery) -> report.Report:
        """Queries each entry for its status."""
        replies = fleet.query_entries(discovery.addresses, "/admin/status")
        agents = fleet.summarize_agents(replies)
        kinds = fleet.summarize_stopped_kinds(replies)
        stored = discovery.stored.revision if discovery.stored else None
        values = {
            "stored_revision": stored,
            "epoch": discovery.epoch,
            "platform_error": discovery.error,
            "entries": [attrs.asdict(reply) for reply in replies],
            "agents": [attrs.asdict(row) for row in agents],
            "stopped_kinds": [attrs.asdict(row) for row in kinds],
        }
        answered = any(reply.values for reply in replies)
        errors = [
            f"entry {reply.address} does not answer: {reply.error}"
            for reply in replies
            if not reply.values
        ]
        if discovery.error:
            errors.append(f"platform: {discovery.error}")
        return report.Report(
            report.OK if answered else report.UNAVAILABLE,
            values,
            rendering.status_lines(discovery, replies, agents, kinds),
            errors,
        )


class ExplainCommand(FleetCommand):
    """``trefoilgw explain``."""

    name = "explain"
    description = "Shows the state of a job from the entries or their logs."
    arguments = [
        argument("job", "Key of the job, or customer:key."),
    ]
    options = [
        *FleetCommand.options,
        option(
            "logs",
            "l",
            "File with log lines of any hosts, in any order; no process is "
            "queried.",
            flag=False,
            multiple=True,
        ),
    ]
    help = """\
Queries every entry, since only the home of a job knows it. Shows the state, the
reason if it failed, the agents that have open batches, and how many tasks have
which fate; with <info>--json</info>, the fate of each task.

With <info>--logs</info>, shows the job's timeline from the log lines of the
processes instead: how it ended and why, then each decision in order of time,
with the changes in the system during the job.

Exit codes: 0 found; 1 no process knows the job, or a file can't be read; 2 no
entry answers.
"""

    def make_report(self) -> report.Report:
        """Reads the log files if any are given, else queries the entries."""
        paths = self.option("logs")
        if not paths:
            return super().make_report()
        job = self.argument("job")
        try:
            timeline = _read_timeline(paths, job)
        except (OSError, UnicodeDecodeError) as error:
            return report.from_failure(report.FINDINGS, f"--logs: {error}")
        cause = job_timeline.summarize(timeline)
        values = {"job": job, "cause": cause, **attrs.asdict(timeline)}
        lines = [f"{job}: {cause}", *rendering.timeline_lines(timeline)]
        if timeline.unreadable:
            lines.append(f"{timeline.unreadable} lines are no log lines")
        code = report.OK if timeline.steps else report.FINDINGS
        return report.Report(code, values, lines)

    def run_with_entries(self, discovery) -> report.Report:
        """Queries each entry for the job."""
        job = self.argument("job")
        replies = fleet.query_job(discovery.addresses, job)
        jobs = [
            {"home": reply.incarnation or reply.address, **row}
            for reply in replies
            for row in reply.values.get("jobs") or ()
        ]
        errors = [
            f"entry {reply.address} does not answer: {reply.error}"
            for reply in replies
            if not reply.values
        ]
        values = {"job": job, "jobs": jobs, "errors": errors}
        if jobs:
            lines = [line for row in jobs for line in rendering.job_lines(row)]
            return report.Report(report.OK, values, lines, errors)
        if len(errors) == len(replies):
            return report.Report(report.UNAVAILABLE, values, errors=errors)
        text = f"no entry that answered knows the job {job}"
        return report.Report(report.FINDINGS, values, errors=[*errors, text])


def _read_timeline(paths: list[str], job: str) -> job_timeline.JobTimeline:
    """Returns the timeline of a job from log files.

    Raises:
        OSError: A file can't be read.
        UnicodeDecodeError: A file is not valid UTF-8.
    """
    lines = itertools.chain.from_iterable(
        pathlib.Path(x).read_text(encoding="utf-8").splitlines() for x in paths
    )
    return job_timeline.build_timeline(lines, job)
