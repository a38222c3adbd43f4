"""The platform down, slow or losing answers; concurrent operators.

Invariants I7 to I9 with real processes; see docs/proofs.md.
"""

import json
import pathlib
import unittest

from tools import sample
from tools.tests import fixtures

WRITTEN = 0
CONFLICT = 3


class PlatformFaultsTest(fixtures.FaultTestCase):
    entry_count = 2

    def tearDown(self):
        self.set_switches()
        for process in self.fleet.entries()[self.entry_count :]:
            process.kill()
        super().tearDown()

    def set_switches(self, **switches):
        """Sets the faults of the key-value stand-in; without any, ends all."""
        fixtures.post_control(
            self.fleet.kv_address, "/control/switches", **switches
        )

    def start_operator(self, weight, author):
        """Starts the operator's `apply` command with a changed document."""
        document = sample.document()
        document["customers"][0]["weight"] = weight
        number = len(self.fleet.launcher.processes)
        path = pathlib.Path(self.fleet.directory.name) / f"{number}.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        settings = path.with_suffix(".toml")
        settings.write_text(
            f'platform_address = "{self.fleet.kv_address}"\n'
            f'author = "{author}"\n',
            encoding="utf-8",
        )
        return self.fleet.launcher.start(
            f"operator-{number}",
            "trefoilgw.cli.main",
            "apply",
            str(path),
            "--settings",
            str(settings),
            "--reason",
            f"weight {weight}",
        )

    def revision(self):
        """Returns the highest configuration revision in force."""
        return max(
            self.status(process)["revision"]
            for process in self.entries_and_agents()
        )

    def entries_and_agents(self):
        """Returns the running entries and agents."""
        return self.fleet.entries() + self.fleet.agents()

    def wait_revision(self, revision):
        """Waits until every process shows exactly this revision."""
        fixtures.wait_until(
            lambda: (
                {
                    self.status(item)["revision"]
                    for item in self.entries_and_agents()
                }
                == {revision}
            ),
            f"revision {revision} everywhere",
        )

    def assert_all_complete(self, threads):
        """Asserts that all jobs of `spawn_submissions` complete."""
        states = [item.state for item in fixtures.wait_for_submissions(threads)]
        self.assertEqual(["complete"] * len(threads), states)

    def test_platform_down(self):
        """Requests, starts and planned stops must work without the platform."""
        self.set_switches(down=True)
        revision = self.revision()
        entries = self.fleet.entries()
        threads = self.spawn_submissions(entries, jobs=16, tasks=4, run_ms=150)
        late = self.fleet.start_entry(7, "entry-late")
        late.wait_ready()
        fixtures.wait_until(
            lambda: self.status(late)["revision"] == revision,
            "the configuration through the peers",
        )
        self.assert_all_complete(threads)
        # Agents know an entry outside the roster only if its address is among
        # the seeds that they start with, so one of them is replaced.
        self.replace_agent()
        fixtures.wait_until(
            lambda: self.status(late)["agents"], "an agent at the new entry"
        )
        # The new entry's tickets work, also through an entry that is its peer.
        own = self.make_submission(key=self.request_ticket(late))
        self.submit_until_ended(own, [entries[0], late])
        self.assertEqual("complete", own.state)
        self.stop_entry_under_load(late, entries)
        self.set_switches()

    def replace_agent(self):
        """Kills an agent and starts another one for the same target."""
        agent = self.fleet.agents()[0]
        number = int(agent.name.split("-")[1])
        agent.kill()
        agent.wait(fixtures.TIMEOUT_S)
        name = f"agent-{number}-{len(self.fleet.launcher.processes)}"
        self.fleet.start_agent(number, name).wait_ready()

    def stop_entry_under_load(self, leaving, others):
        """Stops an entry under load while the platform is down."""
        before = sum(self.start_counts().values())
        threads = self.spawn_submissions(
            [leaving], jobs=8, others=others, tasks=6, run_ms=200
        )
        self.wait_for_starts(before + 8)
        leaving.terminate()
        submissions = fixtures.wait_for_submissions(threads)
        self.assertEqual(0, leaving.wait(fixtures.TIMEOUT_S))
        for item in submissions:
            self.assertEqual([], item.unanswered_by, item)
            self.assertEqual("complete", item.state, item)

    def test_platform_slow(self):
        """Platform answers that take 5 s must not delay requests."""
        self.set_switches(slow_s=5.0)
        threads = self.spawn_submissions(self.fleet.entries(), jobs=16, tasks=4)
        self.assert_all_complete(threads)
        self.set_switches()
        self.fleet.wait_settled(fixtures.TIMEOUT_S)

    def test_lost_answer(self):
        """A write whose answer is lost must take effect once."""
        revision = self.revision()
        self.set_switches(lose_answer=1, lose_kinds=["txn"])
        command = self.start_operator(2.5, "ana")
        self.assertEqual(WRITTEN, command.wait(fixtures.TIMEOUT_S))
        self.wait_revision(revision + 1)
        self.assert_all_complete(
            self.spawn_submissions(self.fleet.entries(), jobs=4)
        )

    def test_operators_race(self):
        """One of two writes to the same revision must report a conflict."""
        revision = self.revision()
        # The delay lets both commands read the same revision.
        self.set_switches(slow_s=1.0)
        commands = [
            self.start_operator(weight, author)
            for weight, author in ((3.0, "ana"), (4.0, "ben"))
        ]
        codes = [command.wait(fixtures.TIMEOUT_S) for command in commands]
        self.set_switches()
        written = codes.count(WRITTEN)
        self.assertEqual(
            {WRITTEN, CONFLICT} if written == 1 else {WRITTEN}, set(codes)
        )
        self.wait_revision(revision + written)
        if written == 1:
            loser = commands[codes.index(CONFLICT)]
            text = loser.output.read_text() + loser.log.read_text()
            self.assertIn(str(revision + 1), text)

    def test_restarted_processes_during_changes(self):
        """A new process must not put an older revision back into force."""
        revision = self.revision()
        self.set_switches(down=True)
        self.replace_agent()
        self.wait_revision(revision)
        self.set_switches()
        command = self.start_operator(1.5 + revision, "ana")
        self.assertEqual(WRITTEN, command.wait(fixtures.TIMEOUT_S))
        self.wait_revision(revision + 1)


if __name__ == "__main__":
    unittest.main()
