"""Tests of the commands, run as an operator types them."""

import json
import pathlib
import tempfile
import tomllib
import unittest
import urllib.parse
from unittest import mock

import eventlet
from cleo.testers.application_tester import ApplicationTester
from eventlet import wsgi

from tools.standins import kv
from trefoilgw import keyvalue
from trefoilgw import registry
from trefoilgw.cli import main
from trefoilgw.cli import retention
from trefoilgw.messages import core as messages

SAMPLES = pathlib.Path(__file__).resolve().parents[3] / "tools" / "samples"
TEN_FAULTS = {
    "revision": -1,
    "extra": 1,
    "draining": ["A B"],
    "customers": [{"name": "c", "schema": 1, "rate": 0}, 7],
    "services": [{"name": "s", "schema": 9}],
    "kinds": [{"name": "k", "schema": 2, "service": "none", "customers": 3}],
}


def make_agent(name, **fields):
    return {
        "agent": name,
        "incarnation": name * 2,
        "domain": "d1",
        "revision": 4,
        "blocked": [],
        **fields,
    }


class CommandTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.server = kv.Server()
        address = self.server.serve()
        self.addCleanup(self.server.close)
        self.settings = self.write_file(
            "operator.toml",
            f'platform_address = "{address}"\nauthor = "Ana"\n',
        )

    def write_file(self, name, content):
        path = self.folder / name
        text = content if isinstance(content, str) else json.dumps(content)
        path.write_text(text)
        return str(path)

    def run_command(self, text, settings=True):
        """Runs a command; returns exit code, standard output and error."""
        tester = ApplicationTester(main.make_application())
        if settings:
            text += f" --settings {self.settings}"
        code = tester.execute(text)
        return code, tester.io.fetch_output(), tester.io.fetch_error()

    def run_json(self, text):
        code, output, _ = self.run_command(f"{text} --json")
        return code, json.loads(output)

    def serve_entry(self, incarnation, status, jobs=()):
        """Serves the admin port of an entry; returns its roster entry."""
        known = {row["key"]: row for row in jobs}

        def application(environ, start_response):
            path = urllib.parse.unquote(environ["PATH_INFO"])
            body = {"incarnation": incarnation, **status}
            if path.startswith("/admin/jobs/"):
                row = known.get(path.removeprefix("/admin/jobs/"))
                body = {"jobs": [row] if row else []}
            start_response("200 OK", [])
            return [json.dumps(body).encode()]

        sock = eventlet.listen(("127.0.0.1", 0))
        thread = eventlet.spawn(
            wsgi.server, sock, application, log_output=False
        )
        self.addCleanup(sock.close)
        self.addCleanup(thread.kill)
        host, port = sock.getsockname()
        return messages.RosterEntry(incarnation, "", f"{host}:{port}", "d1")

    def write_roster(self, *entries):
        data = registry.encode_roster(registry.Roster().with_changes(entries))
        client = keyvalue.Client(self.server.address)
        self.addCleanup(client.close)
        client.put(keyvalue.Put(registry.ROSTER_KEY, data))

    def test_check_shows_all_findings(self):
        """One run must show all findings of all files."""
        good = SAMPLES / "bluebonnet.json"
        bad = self.write_file("bad.json", TEN_FAULTS)
        large = self.write_file("large.json", " " * 2_000_000)
        broken = self.write_file("agent.toml", 'slots = 0\nname = "A"\n[x]\n')
        other = self.write_file("notes.txt", "")
        code, output, errors = self.run_command(
            f"check {good} {bad} {large} {broken} {other} none.json", False
        )
        self.assertEqual(1, code)
        self.assertEqual(f"{good}: records, no findings\n", output)
        lines = errors.splitlines()
        for place in (
            f"{bad}:document/revision: ",
            f"{bad}:customers/c/rate: ",
            f"{bad}:customers[1]: ",
            f"{bad}:services/s/schema: ",
            f"{bad}:kinds/k/service: ",
            f"{large}:document: ",
            f"{broken}:1: slots ",
            f"{broken}:2: name ",
            f"{broken}:3: unknown key 'x'",
            f"{other}: ",
            "none.json: can't read",
        ):
            with self.subTest(place):
                hits = [line for line in lines if line.startswith(place)]
                self.assertEqual(1, len(hits))

    def test_outdated_edit_is_rejected(self):
        """An edit of an outdated revision must not overwrite a newer one."""
        sample = SAMPLES / "cobre-calco.json"
        code, output, _ = self.run_command(f"apply {sample} --reason 'a <b>'")
        self.assertEqual(0, code)
        self.assertIn("revision 1 written\n", output)
        self.assertIn("+ kinds/preview ", output)
        code, shown = self.run_json("show")
        self.assertEqual((0, "a <b>"), (code, shown["reason"]))
        shown["kinds"][0]["weight"] = 2.5
        edited = self.write_file("edited.json", shown)
        code, output, _ = self.run_command(f"apply {edited} -r b --dry-run")
        self.assertIn("kinds/preview: weight 1.0 -> 2.5", output)
        code, output, _ = self.run_command(f"apply {edited} -r b")
        self.assertIn("revision 2 written", output)
        code, _, errors = self.run_command(f"apply {edited} -r c")
        self.assertEqual(3, code)
        self.assertIn("revision 2 by Ana", errors)
        code, conflict = self.run_json(f"apply {edited} -r c")
        self.assertEqual((3, 2), (code, conflict["revision"]))
        _, output, _ = self.run_command("show")
        self.assertIn("revision 2 by Ana", output)
        self.assertRegex(output, "preview +2 +proofs +cobre-calco +urgent +2.5")

    def test_invalid_input_is_not_sent_to_the_platform(self):
        bad = self.write_file("bad.json", TEN_FAULTS)
        self.settings = self.write_file("broken.toml", "author = 3")
        code, output = self.run_json(f"apply {bad}")
        self.assertEqual(1, code)
        places = [item["place"] for item in output["findings"]]
        self.assertIn(f"{self.settings}:1", places)
        self.assertIn("--reason", places)
        self.assertIn(f"{bad}:document/revision", places)
        self.assertEqual({}, dict(self.server.calls))

    def test_drain_and_history(self):
        self.run_command(f"apply {SAMPLES / 'cobre-calco.json'} -r first")
        for text in ("drain t-1 -r host", "drain t-2 -r host"):
            self.assertEqual(0, self.run_command(text)[0])
        self.run_command("drain t-1 --undo -r back")
        _, shown = self.run_json("show")
        self.assertEqual(["t-2"], shown["draining"])
        # The schemas of the other records must not change.
        self.assertIn("rate", shown["customers"][0])
        _, output, _ = self.run_command("history --limit 2")
        self.assertIn("revision 4 from 3 by Ana", output)
        self.assertIn("draining: end t-1", output)
        self.assertNotIn("revision 2 from", output)
        _, found = self.run_json("history")
        revisions = [entry["revision"] for entry in found["entries"]]
        self.assertEqual([4, 3, 2, 1], revisions)

    def test_history_is_read_in_pages(self):
        """A page must not read the whole trail, nor skip or repeat entries."""
        self.run_command(f"apply {SAMPLES / 'cobre-calco.json'} -r first")
        for number in range(4):
            self.run_command(f"drain t-{number} -r host")
        before, pages = "", []
        while before is not None:
            text = f"history -l 2 {f'--before {before}' if before else ''}"
            self.server.calls.clear()
            _, found = self.run_json(text)
            self.assertEqual({"range": 1}, dict(self.server.calls))
            pages.append([entry["revision"] for entry in found["entries"]])
            before = found["next_before"]
        self.assertEqual([[5, 4], [3, 2], [1]], pages)
        _, output, _ = self.run_command("history -l 2 --before 4")
        self.assertIn("older entries: --before 2", output)
        for fault in ("0", "x", "-1", "9" * 13, "9" * 5000):
            code, found = self.run_json(f"history --before={fault}")
            self.assertEqual(1, code)
            self.assertEqual("--before", found["findings"][0]["place"])

    def test_failed_pruning_does_not_fail_the_write(self):
        """A written revision must not be reported as failed."""
        self.run_command(f"apply {SAMPLES / 'cobre-calco.json'} -r first")

        def prune_unavailable(client):
            self.server.set_switches(down=True)
            return prune(client, 0)

        prune = retention.prune
        with mock.patch.object(retention, "prune", prune_unavailable):
            code, output, _ = self.run_command("drain t-1 -r host")
        self.assertEqual(0, code)
        self.assertIn("revision 2 written", output)

    def test_version_matches_the_project_file(self):
        """The package and the command must report the same version."""
        with main.PROJECT_FILE.open("rb") as file:
            expected = tomllib.load(file)["project"]["version"]
        self.assertIn(expected, self.run_command("--version", False)[1])
        missing = self.folder / "none.toml"
        with mock.patch.object(main, "PROJECT_FILE", missing):
            self.assertIn(main.version(), (expected, "unknown"))

    def test_status_of_lagging_and_ejected_processes(self):
        """Operators look for lagging and ejected processes here."""
        ejected = {
            "blocked": ["ejected"],
            "ejected_for_s": 7.2,
            "verdict": "100% of its tasks failed, 0% at other agents",
        }
        stopped = {
            "kind": "k",
            "failing_agents": 6,
            "judged_agents": 8,
            "probe_in_s": 12.0,
        }
        first = self.serve_entry(
            "a" * 16,
            {
                "revision": 5,
                "agents": [make_agent("t1", **ejected), make_agent("t2")],
                "stopped_kinds": [stopped],
            },
        )
        second = self.serve_entry(
            "b" * 16,
            {
                "revision": 4,
                "epoch": 0,
                "leaving": True,
                "agents": [make_agent("t1", revision=5, probation=True)],
            },
        )
        gone = messages.RosterEntry("c" * 16, "", "127.0.0.1:1", "d1")
        self.write_roster(first, second, gone)
        data = json.dumps({"revision": 5}).encode()
        client = keyvalue.Client(self.server.address)
        self.addCleanup(client.close)
        client.put(keyvalue.Put(registry.CONFIG_KEY, data))
        code, output, errors = self.run_command("status")
        self.assertEqual(0, code)
        self.assertRegex(
            output, f"entry +{'a' * 16} +d1 +127[.0-9:]+ +5 +serving"
        )
        self.assertRegex(
            output, f"entry +{'b' * 16} .* 4 .behind. +leaving.*epoch 0 .behind"
        )
        self.assertRegex(output, f"entry +{'c' * 16} +d1 .* [?] +no answer")
        self.assertRegex(
            output,
            "agent +t1 +d1 +- +5 +ejected at 1 of 2 entries; 100% of its tasks "
            "failed, 0% at other agents, probed in 7 s; on probation at 1",
        )
        self.assertRegex(output, "agent +t2 +d1 +- +4 .behind. +usable at 1")
        self.assertIn("3 entries, 2 agents, 1 ejected", output)
        self.assertIn(
            "kind k is stopped at 1 of 3 entries: fails at 6 of 8", output
        )
        self.assertIn("127.0.0.1:1 does not answer", errors)

    def test_status_while_the_platform_is_down(self):
        """Operators need the state most during an outage."""
        second = self.serve_entry("b" * 16, {"revision": 4, "epoch": 2})
        row = {
            "admin_address": second.admin_address,
            "incarnation": second.incarnation,
        }
        values = {"revision": 5, "epoch": 3, "roster": [row]}
        first = self.serve_entry("a" * 16, values)
        self.server.set_switches(down=True)
        self.assertEqual(2, self.run_command("status")[0])
        code, found = self.run_json(f"status --entry {first.admin_address}")
        self.assertEqual((0, None), (code, found["stored_revision"]))
        self.assertEqual(2, len(found["entries"]))
        self.assertTrue(found["platform_error"])
        _, output, _ = self.run_command(f"status --entry {first.admin_address}")
        self.assertRegex(output, f"{'b' * 16} .* 4 .behind. .*epoch 2 .behind")

    def test_explain_shows_the_state_of_a_job(self):
        job = "t1.a.1.f/%"
        batch = {"batch": 7, "agent": "ab" * 8, "name": "t-1", "tasks": 2}
        fates = ["completed"] * 3 + ["open"] * 2 + ["unknown: home_lost"] * 20
        row = {
            "key": job,
            "customer": "c",
            "state": "running",
            "reason": "home_lost",
            "kind": "k",
            "age_s": 1.26,
            "deadline_in_s": -0.5,
            "tasks": 25,
            "waiting": 4,
            "open_batches": [batch],
            "fates": fates,
        }
        old = {"key": "t1.b", "customer": "c", "state": "complete"}
        home = self.serve_entry("a" * 16, {}, [row, old])
        self.write_roster(self.serve_entry("b" * 16, {}), home)
        code, output, _ = self.run_command(f"explain {job}")
        self.assertEqual(0, code)
        for line in (
            f"home: {'a' * 16}",
            "state: running, home_lost",
            "kind: k, 25 tasks",
            "accepted 1.3 s ago, deadline 0.5 s ago",
            "waiting for a credit: 4 tasks",
            f"batch 7: 2 tasks open at t-1 ({'ab' * 8})",
            "3 tasks completed",
            "2 tasks open (number 3, 4)",
            "20 tasks unknown: home_lost (number 5, 6, 7, 8, 9, 10, 11, 12, "
            "13, 14, 15, 16, ...)",
        ):
            self.assertIn(line, output.splitlines())
        _, output, _ = self.run_command("explain t1.b")
        self.assertIn("state: complete\nits answer is no longer kept", output)
        code, _, errors = self.run_command("explain other")
        self.assertEqual(1, code)
        self.assertIn("knows the job other", errors)

    def test_every_command_has_help(self):
        for command in main.COMMANDS:
            with self.subTest(command.name):
                _, output, _ = self.run_command(f"{command.name} --help", False)
                self.assertIn("Exit codes: 0", output)
                self.assertIn("--json", output)

    def test_shell_completions(self):
        for shell in ("bash", "zsh", "fish"):
            with self.subTest(shell):
                code, output, _ = self.run_command(
                    f"completions {shell}", False
                )
                self.assertEqual(0, code)
                self.assertIn("dry-run", output)

    def test_unavailable_platform_is_reported(self):
        sample = SAMPLES / "cobre-calco.json"
        self.server.set_switches(down=True)
        commands = ("show", "history", "drain a -r b", f"apply {sample} -r b")
        for text in commands:
            with self.subTest(text):
                code, found = self.run_json(text)
                self.assertEqual(2, code)
                self.assertIn("does not answer", found["error"])


if __name__ == "__main__":
    unittest.main()
