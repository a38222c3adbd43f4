"""The command line program ``trefoilgw-load SCENARIO``."""

import json
import logging
import pathlib
import random
import secrets
import sys
import time

import attrs
import eventlet
from cleo import application
from cleo.commands import command
from cleo.helpers import argument
from cleo.helpers import option
from cleo.io.inputs import argv_input

from trefoilgw.findings import core as findings
from trefoilgw.load import arrivals
from trefoilgw.load import client
from trefoilgw.load import direct
from trefoilgw.load import report
from trefoilgw.load import results
from trefoilgw.load import runner
from trefoilgw.load import scenario as scenarios
from trefoilgw.load import submit
from trefoilgw.load import verification

EXIT_OK = 0
EXIT_FAULTS = 1
EXIT_USAGE = 2

log = logging.getLogger(__name__)


@attrs.frozen
class Options:
    """Options of one run.

    Attributes:
        entries: Addresses of the entries, ``ip:port``.
        targets: Addresses of target stand-ins, whose counts of task starts
            are compared with the answers.
        tokens: Access token by customer.
        part: Index of this process among those that share the run, from 0.
        parts: Number of processes that share the run.
        start_at: Unix time at which the run starts, 0 for now.
        policy: Baseline policy to measure instead of the entries, or empty.
        run_id: Prefix of payload values and caller-chosen keys, unique per run.
    """

    entries: tuple[str, ...]
    targets: tuple[str, ...]
    tokens: dict[str, str]
    part: int = 0
    parts: int = 1
    start_at: float = 0.0
    policy: str = ""
    run_id: str = attrs.field(factory=lambda: secrets.token_hex(6))


def _make_submitter(scenario: scenarios.Scenario, options: Options):
    """Returns the submitter for the entries or for a baseline policy."""
    if options.policy:
        targets = tuple(client.Client(address) for address in options.targets)
        rng = random.Random(f"{scenario.seed}/{options.part}")
        return direct.DirectSubmitter(
            targets, options.policy, options.run_id, rng
        )
    entries = tuple(client.Client(address) for address in options.entries)
    latest_s = scenario.duration_s + scenario.drain_s
    return submit.Submitter(
        submit.Balancer(entries),
        options.tokens,
        options.run_id,
        scenario.wait_s,
        time.monotonic() + latest_s,
    )


def run(scenario: scenarios.Scenario, options: Options) -> results.Results:
    """Runs a scenario, or the part of it assigned to this process.

    Args:
        scenario: The load to send.
        options: Addresses, tokens and part.

    Returns:
        The results. Task starts, and the faults found by them, are counted
        only if the options name targets.
    """
    full_plan = arrivals.plan(scenario)
    plan = full_plan[options.part :: options.parts]
    submitter = _make_submitter(scenario, options)
    load_runner = runner.Runner(
        scenario, plan, submitter.submit_job, options.run_id
    )
    poller = submitter if options.policy else submitter.balancer
    eventlet.spawn_n(poller.poll)
    progress = eventlet.spawn(load_runner.report_progress, _print_progress)
    delay_s = max(0.0, options.start_at - time.time())
    load_runner.run(time.monotonic() + delay_s)
    progress.kill()
    poller.stop()
    if options.targets:
        starts = verification.read_starts(options.targets)
        verification.check(
            load_runner.measured,
            load_runner.final_answers,
            plan,
            options.run_id,
            starts,
        )
    return load_runner.measured


def _print_progress(line: str) -> None:
    """Prints a progress line to standard error."""
    print(line, file=sys.stderr, flush=True)


def parse_tokens(texts: list[str]) -> dict[str, str]:
    """Returns tokens by customer from ``customer=token`` texts.

    Raises:
        ValueError: A text contains no equals sign.
    """
    tokens = {}
    for text in texts:
        customer, separator, token = text.partition("=")
        if not separator:
            raise ValueError(f"expected customer=token, got {text!r}")
        tokens[customer] = token
    return tokens


def _parse_addresses(text: str | None) -> tuple[str, ...]:
    """Returns the addresses of a comma-separated list."""
    return tuple(item for item in (text or "").split(",") if item)


def check_options(
    scenario: scenarios.Scenario, options: Options
) -> tuple[findings.Finding, ...]:
    """Returns all invalid or missing options, empty if the run can start."""
    found = []
    if options.policy and options.policy not in direct.POLICIES:
        known = ", ".join(direct.POLICIES)
        found.append(findings.Finding("--direct", f"must be one of {known}"))
    if options.policy and not options.targets:
        found.append(findings.Finding("--targets", "needed with --direct"))
    if not options.policy and not options.entries:
        found.append(findings.Finding("--entries", "no address given"))
    if not 0 <= options.part < options.parts:
        found.append(findings.Finding("--part", "must be N/M with N < M"))
    if not options.policy:
        for customer in scenario.customer:
            if customer.name not in options.tokens:
                text = f"no token for customer {customer.name}"
                found.append(findings.Finding("--token", text))
    return tuple(found)


class LoadCommand(command.Command):
    """Runs a load scenario against entries."""

    name = "run"
    description = "Runs a load scenario against entries."
    arguments = [
        argument("scenario", "TOML file or name of a shipped scenario")
    ]
    options = [
        option("entries", None, "Entries, ip:port,ip:port", flag=False),
        option("targets", None, "Target stand-ins to compare", flag=False),
        option("token", None, "customer=token", flag=False, multiple=True),
        option("part", None, "Part N/M of the arrivals", flag=False),
        option("start-at", None, "Unix time of the start", flag=False),
        option("run-id", None, "Unique prefix of payload values", flag=False),
        option("direct", None, "Baseline policy, no entries", flag=False),
        option("json", None, "File for JSON lines", flag=False),
        option("plot", None, "File for a plot (extra report)", flag=False),
    ]

    def handle(self) -> int:
        """Runs the scenario and writes its results.

        Returns:
            `EXIT_OK`, `EXIT_FAULTS` if the run found faults, or `EXIT_USAGE`
            if the scenario or an option is invalid.
        """
        scenario = scenarios.load(self.argument("scenario"))
        if isinstance(scenario, tuple):
            return self._report_findings(scenario)
        try:
            options = self._options()
        except ValueError as error:
            return self._report_findings(
                (findings.Finding("options", str(error)),)
            )
        found = check_options(scenario, options)
        if found:
            return self._report_findings(found)
        measured = run(scenario, options)
        self._write(measured)
        return EXIT_FAULTS if measured.faults() else EXIT_OK

    def _options(self) -> Options:
        """Returns the options from the command line.

        Raises:
            ValueError: An option has an invalid value.
        """
        part, _, parts = (self.option("part") or "0/1").partition("/")
        run_id = self.option("run-id") or secrets.token_hex(6)
        return Options(
            _parse_addresses(self.option("entries")),
            _parse_addresses(self.option("targets")),
            parse_tokens(self.option("token")),
            int(part),
            int(parts),
            float(self.option("start-at") or 0.0),
            self.option("direct") or "",
            run_id,
        )

    def _report_findings(self, found: tuple[findings.Finding, ...]) -> int:
        """Prints the findings to standard error and returns `EXIT_USAGE`."""
        print(findings.render(found), file=sys.stderr)
        return EXIT_USAGE

    def _write(self, measured: results.Results) -> None:
        """Prints the report and writes the JSON lines and plot asked for."""
        print(report.text(measured))
        if self.option("json"):
            lines = map(json.dumps, results.to_lines(measured))
            path = pathlib.Path(self.option("json"))
            path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        if self.option("plot") and report.can_plot():
            report.plot(measured, pathlib.Path(self.option("plot")))
        elif self.option("plot"):
            print("no plot: install the extra 'report'", file=sys.stderr)


def main() -> int:
    """Runs ``trefoilgw-load`` and returns its exit code."""
    eventlet.monkey_patch()
    app = application.Application("trefoilgw-load")
    app.add(LoadCommand())
    app.auto_exits(False)
    words = argv_input.ArgvInput([sys.argv[0], "run", *sys.argv[1:]])
    return app.run(words)


if __name__ == "__main__":
    sys.exit(main())
