"""Commands that check, write and show records and their history."""

import attrs
from cleo.helpers import argument
from cleo.helpers import option

from trefoilgw import keyvalue
from trefoilgw import registry
from trefoilgw.cli import audit
from trefoilgw.cli import base
from trefoilgw.cli import files
from trefoilgw.cli import report
from trefoilgw.cli import retention
from trefoilgw.cli import writes
from trefoilgw.findings import core as findings
from trefoilgw.records import checks
from trefoilgw.records import core as records
from trefoilgw.registry import paths

DEFAULT_HISTORY_ENTRIES = 20
MAX_HISTORY_ENTRIES = 500
MAX_REVISION = 10**paths.REVISION_DIGITS - 1

REASON_OPTION = option(
    "reason", "r", "Why; kept in the audit trail. Required.", flag=False
)
DRY_RUN_OPTION = option(
    "dry-run", None, "Print the difference and write nothing."
)
_EXIT_CODES = """
Exit codes: 0 written or nothing to change; 1 findings; 2 the platform does not
answer, and the text says whether the write is in doubt; 3 another operator was
first, and the text names the newer revision.
"""


class CheckCommand(base.ReportingCommand):
    """``trefoilgw check``."""

    name = "check"
    description = "Checks settings files and record documents."
    arguments = [
        argument("files", "Files, .toml or .json.", multiple=True),
    ]
    help = """\
Checks each file and prints every finding with its place: file and line for
settings (.toml), file, record and field for records (.json). The role of a
settings file is inferred from its keys. Nothing is written and the platform is
not contacted.

Exit codes: 0 no findings, 1 findings.
"""

    def make_report(self) -> report.Report:
        """Checks the files."""
        checked = [files.check_file(path) for path in self.argument("files")]
        found = [item for file in checked for item in file.findings]
        lines = [
            f"{file.path}: {file.content}, no findings"
            for file in checked
            if not file.findings
        ]
        return report.Report(
            report.FINDINGS if found else report.OK,
            {"files": [attrs.asdict(file) for file in checked]},
            lines,
            findings.render(found).splitlines(),
        )


class WriteCommand(base.PlatformCommand):
    """Command that writes a revision."""

    options = [
        *base.PlatformCommand.options,
        REASON_OPTION,
        DRY_RUN_OPTION,
    ]

    def check_input(self) -> list[findings.Finding]:
        """Checks the reason."""
        if self.option("dry-run"):
            return []
        reason = self.option("reason") or ""
        fault = checks.text(reason)
        if not reason.strip():
            fault = "must say why, for the audit trail"
        return [findings.Finding("--reason", fault)] if fault else []

    def run_with_client(self, client, operator) -> report.Report:
        """Writes the draft, or shows its changes in a dry run."""
        stored = writes.read_stored(client)
        if isinstance(stored, writes.NotWritten):
            return report.from_failure(report.UNAVAILABLE, stored.detail)
        draft = self.make_draft(stored)
        if isinstance(draft, tuple):
            return report.from_findings(draft)
        if self.option("dry-run"):
            return _dry_run_report(stored, draft)
        request = writes.WriteRequest(
            draft, operator.author, self.option("reason")
        )
        result = self.make_writer(client).write(request, stored)
        if isinstance(result, writes.Applied):
            retention.prune(client)
        return _write_report(result)

    def make_writer(self, client: keyvalue.Client) -> writes.Writer:
        """Creates the writer; tests can override it."""
        return writes.Writer(client)

    def make_draft(
        self, stored: writes.StoredDocument
    ) -> records.Configuration | tuple[findings.Finding, ...]:
        """Returns the configuration to write, or findings if there is none."""
        raise NotImplementedError


class ApplyCommand(WriteCommand):
    """``trefoilgw apply``."""

    name = "apply"
    description = "Writes a record document as the next revision."
    arguments = [argument("file", "Record document, JSON.")]
    help = (
        """\
Checks the document, compares it with what is stored, and writes it as the next
revision together with an entry of the audit trail. If the file names a
revision, as the output of <info>show --json</info> does, it is written only on
top of that revision. A write whose answer is lost is resolved by its write id,
so the revision rises by one only.
"""
        + _EXIT_CODES
    )

    def check_input(self) -> list[findings.Finding]:
        """Checks the reason and the document."""
        parsed = files.read_document(self.argument("file"))
        found = list(parsed) if isinstance(parsed, tuple) else []
        return super().check_input() + found

    def make_draft(self, stored):
        """Returns the configuration in the file."""
        return files.read_document(self.argument("file"))


class DrainCommand(WriteCommand):
    """``trefoilgw drain``."""

    name = "drain"
    description = "Takes an agent out of service, or back into it."
    arguments = [argument("agent", "Name of the agent, from its settings.")]
    options = [
        *WriteCommand.options,
        option("undo", None, "Let the agent take work again."),
    ]
    help = (
        """\
Writes the agent's name into the list <info>draining</info> of the records.
Entries then send it no new work; its running tasks finish. The other records
stay as they are. See <info>status</info> for the effect.
"""
        + _EXIT_CODES
    )

    def check_input(self) -> list[findings.Finding]:
        """Checks the reason and the name of the agent."""
        found = super().check_input()
        fault = checks.name(self.argument("agent"))
        return [*found, findings.Finding("agent", fault)] if fault else found

    def make_draft(self, stored):
        """Returns the stored configuration with a changed list of agents."""
        agent = self.argument("agent")
        old = stored.configuration
        if old is None:
            text = "there is no valid document; use apply first"
            return (findings.Finding("document", text),)
        names = set(old.draining) | {agent}
        if self.option("undo"):
            names.discard(agent)
        return attrs.evolve(old, draining=tuple(sorted(names)))


class ShowCommand(base.PlatformCommand):
    """``trefoilgw show``."""

    name = "show"
    description = "Shows the stored records."
    help = """\
Shows the document at the platform, which every process adopts within seconds;
see <info>status</info> for what is in force. With <info>--json</info>, the
document itself is printed. It can be edited and given to <info>apply</info>,
which then refuses it if another revision was written in the meantime.

Exit codes: 0; 1 there is no valid document; 2 the platform does not answer.
"""

    def run_with_client(self, client, operator) -> report.Report:
        """Reads the stored document."""
        stored = writes.read_stored(client)
        if isinstance(stored, writes.NotWritten):
            return report.from_failure(report.UNAVAILABLE, stored.detail)
        if stored.configuration is None:
            if not stored.data:
                text = "no configuration was written yet"
                return report.from_failure(report.FINDINGS, text)
            return report.from_findings(records.parse_document(stored.data))
        configuration = stored.configuration
        return report.Report(
            report.OK,
            records.to_json_values(configuration),
            _configuration_lines(configuration),
        )


class HistoryCommand(base.PlatformCommand):
    """``trefoilgw history``."""

    name = "history"
    description = "Shows the audit trail, newest first."
    options = [
        *base.PlatformCommand.options,
        option(
            "limit",
            "l",
            "Entries to show, 1 to 500.",
            flag=False,
            default=str(DEFAULT_HISTORY_ENTRIES),
        ),
        option(
            "before",
            "b",
            "Only entries of revisions below this one.",
            flag=False,
        ),
    ]
    help = """\
Shows who wrote each revision, when, why, on top of which revision, and what it
changed. The last line names the option that shows the entries before these. The
newest 20,000 entries are kept.

Exit codes: 0; 1 wrong option; 2 the platform does not answer.
"""

    def check_input(self) -> list[findings.Finding]:
        """Checks the options ``--limit`` and ``--before``."""
        bounds = (
            ("limit", self.option("limit"), MAX_HISTORY_ENTRIES),
            ("before", self.option("before") or "1", MAX_REVISION),
        )
        return [
            findings.Finding(
                f"--{name}", f"must be 1 to {maximum}, not {text!r}"
            )
            for name, text, maximum in bounds
            if not _is_in_range(text, maximum)
        ]

    def run_with_client(self, client, operator) -> report.Report:
        """Reads one page of audit entries."""
        before = self.option("before")
        page = client.range(
            keyvalue.Read(
                registry.AUDIT_PREFIX,
                prefix=True,
                limit=int(self.option("limit")),
                descending=True,
                before=registry.audit_key(int(before)) if before else "",
            )
        )
        if not isinstance(page, keyvalue.Page):
            text = f"the platform does not answer: {page.detail}"
            return report.from_failure(report.UNAVAILABLE, text)
        lines = []
        entries = []
        errors = []
        for item in page.items:
            entry = audit.parse_entry(item.data)
            if isinstance(entry, findings.Finding):
                errors.append(f"{item.key}: {entry.text}")
                continue
            entries.append(attrs.asdict(entry))
            lines += _entry_lines(entry)
        values = {
            "entries": entries,
            "unreadable": errors,
            "more": page.more,
            "next_before": None,
        }
        if page.more:
            oldest = registry.audit_revision(page.items[-1].key)
            values["next_before"] = oldest
            lines.append(f"older entries: --before {oldest}")
        return report.Report(report.OK, values, lines, errors)


def _is_in_range(text: str, maximum: int) -> bool:
    """Returns whether a text is an integer from 1 to `maximum`."""
    short = len(text) <= paths.REVISION_DIGITS
    return short and text.isdecimal() and 1 <= int(text) <= maximum


def _dry_run_report(
    stored: writes.StoredDocument, draft: records.Configuration
) -> report.Report:
    """Creates the report of the changes that would be written."""
    changes = records.difference(stored.configuration, draft)
    return report.Report(
        report.OK,
        {
            "revision": stored.revision,
            "changes": [attrs.asdict(change) for change in changes],
        },
        [
            f"nothing written, revision {stored.revision} stays",
            *report.change_lines(changes),
        ],
    )


def _write_report(result) -> report.Report:
    """Creates the report of the result of a write."""
    match result:
        case writes.Applied(revision=revision, changes=changes):
            lines = [f"revision {revision} written"]
            if result.newer_revision > revision:
                lines.append(f"revision {result.newer_revision} came after it")
            values = attrs.asdict(result)
            lines += report.change_lines(changes)
            return report.Report(report.OK, values, lines)
        case writes.Unchanged(revision=revision):
            text = f"no change, revision {revision} stays"
            values = {"revision": revision, "changes": []}
            return report.Report(report.OK, values, [text])
        case writes.RevisionConflict():
            text = _conflict_text(result)
            return report.from_failure(
                report.REVISION_CONFLICT, text, **attrs.asdict(result)
            )
        case writes.NotWritten(detail=detail):
            text = f"nothing written: {detail}"
            return report.from_failure(report.UNAVAILABLE, text)
        case writes.InDoubt(revision=revision, write_id=write_id):
            text = (
                f"in doubt whether revision {revision} was written: "
                f"{result.detail}; look for write id {write_id} in the history"
            )
            return report.from_failure(
                report.UNAVAILABLE, text, **attrs.asdict(result)
            )
        case tuple():
            return report.from_findings(result)
    raise TypeError(f"unknown result of a write: {result!r}")


def _conflict_text(conflict: writes.RevisionConflict) -> str:
    """Describes a write that lost against a newer revision."""
    by = ""
    if conflict.author:
        by = (
            f" by {conflict.author} at {conflict.written_at} "
            f"({conflict.reason})"
        )
    return (
        f"nothing written: the change is based on revision "
        f"{conflict.base_revision}, but revision {conflict.revision}{by} "
        "is stored; look at it and apply your change on top of it"
    )


def _configuration_lines(configuration: records.Configuration) -> list[str]:
    """Formats a configuration as text lines."""
    lines = [
        f"revision {configuration.revision} by {configuration.author} at "
        f"{configuration.written_at}: {configuration.reason}"
    ]
    for name in ("customers", "services", "kinds"):
        rows = [attrs.astuple(row) for row in getattr(configuration, name)]
        if rows:
            fields = attrs.fields(type(getattr(configuration, name)[0]))
            header = [field.name for field in fields]
            lines += [
                "",
                name,
                *report.format_table(header, map(_format_cells, rows)),
            ]
    if configuration.draining:
        lines += ["", "draining: " + ", ".join(configuration.draining)]
    return lines


def _format_cells(row: tuple) -> list[str]:
    """Formats the values of a record as table cells."""
    return [
        ",".join(cell) if isinstance(cell, tuple) else str(cell) for cell in row
    ]


def _entry_lines(entry: audit.AuditEntry) -> list[str]:
    """Formats an audit entry as text lines."""
    lines = [
        f"revision {entry.revision} from {entry.from_revision} by "
        f"{entry.author} at {entry.written_at}: {entry.reason}"
    ]
    lines += [f"  {line}" for line in report.change_lines(entry.changes)]
    if entry.omitted_changes:
        lines.append(f"  and {entry.omitted_changes} more changes")
    return lines
