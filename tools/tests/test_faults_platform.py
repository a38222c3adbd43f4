"""The platform down, slow or losing answers; operators that race.

Invariants I7 to I9 with real processes; see docs/proofs.md.
"""

import json
import pathlib
import unittest

from tools import sample
from tools.tests import faults

WRITTEN = 0
RACED = 3


class PlatformFaultsTest(faults.FaultTestCase):
    entries = 2

    def tearDown(self):
        self.set_switches()
        for process in self.fleet.entries()[self.entries :]:
            process.kill()
        super().tearDown()

    def set_switches(self, **switches):
        """Switches faults of the key-value stand-in; none given ends all."""
        faults.post(self.fleet.kv_address, "/control/switches", **switches)

    def operator(self, weight, author):
        """Starts the operator's command with a changed document."""
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
        """Returns the highest revision in force."""
        return max(
            self.status(process)["revision"] for process in self.processes()
        )

    def processes(self):
        return self.fleet.entries() + self.fleet.agents()

    def wait_revision(self, revision):
        """Waits until every process shows exactly this revision."""
        faults.wait_until(
            lambda: (
                {self.status(item)["revision"] for item in self.processes()}
                == {revision}
            ),
            f"revision {revision} everywhere",
        )

    def complete(self, threads):
        """Expects all jobs of a load to complete."""
        states = [item.state for item in faults.ended(threads)]
        self.assertEqual(["complete"] * len(threads), states)

    def test_platform_down(self):
        """Requests, starts and planned stops must not need the platform."""
        self.set_switches(down=True)
        revision = self.revision()
        entries = self.fleet.entries()
        threads = self.spawn_load(entries, jobs=16, tasks=4, run_ms=150)
        late = self.fleet.start_entry(7, "entry-late")
        late.wait_ready()
        faults.wait_until(
            lambda: self.status(late)["revision"] == revision,
            "the configuration through the peers",
        )
        self.complete(threads)
        # Agents know the address of an entry that is not in the roster only
        # as a seed, so one of them is replaced.
        self.replace_agent()
        faults.wait_until(
            lambda: self.status(late)["agents"], "an agent at the new entry"
        )
        # Its own tickets work, also through an entry that knows it as a peer.
        mine = self.prepare(key=self.ticket(late))
        self.settle(mine, [entries[0], late])
        self.assertEqual("complete", mine.state)
        self.planned_stop(late, entries)
        self.set_switches()

    def replace_agent(self):
        """Kills an agent and starts another beside its target."""
        agent = self.fleet.agents()[0]
        number = int(agent.name.split("-")[1])
        agent.kill()
        agent.wait(faults.LIMIT_S)
        name = f"agent-{number}-{len(self.fleet.launcher.processes)}"
        self.fleet.start_agent(number, name).wait_ready()

    def planned_stop(self, leaving, others):
        """Stops an entry under load while the platform is down."""
        before = sum(self.counts().values())
        threads = self.spawn_load(
            [leaving], jobs=8, others=others, tasks=6, run_ms=200
        )
        self.wait_starts(before + 8)
        leaving.terminate()
        submissions = faults.ended(threads)
        self.assertEqual(0, leaving.wait(faults.LIMIT_S))
        for item in submissions:
            self.assertEqual([], item.lost_at, item)
            self.assertEqual("complete", item.state, item)

    def test_platform_slow(self):
        """Answers after 5 s must not hold up requests."""
        self.set_switches(slow_s=5.0)
        threads = self.spawn_load(self.fleet.entries(), jobs=16, tasks=4)
        self.complete(threads)
        self.set_switches()
        self.fleet.wait_settled(faults.LIMIT_S)

    def test_lost_answer(self):
        """A write whose answer is lost must count once."""
        revision = self.revision()
        self.set_switches(lose_answer=1, lose_kinds=["txn"])
        command = self.operator(2.5, "ana")
        self.assertEqual(WRITTEN, command.wait(faults.LIMIT_S))
        self.wait_revision(revision + 1)
        self.complete(self.spawn_load(self.fleet.entries(), jobs=4))

    def test_operators_race(self):
        """One of two writes on the same revision wins, the other is told."""
        revision = self.revision()
        # Slow reads and writes let both read the same revision.
        self.set_switches(slow_s=1.0)
        commands = [
            self.operator(weight, author)
            for weight, author in ((3.0, "ana"), (4.0, "ben"))
        ]
        codes = [command.wait(faults.LIMIT_S) for command in commands]
        self.set_switches()
        written = codes.count(WRITTEN)
        self.assertEqual(
            {WRITTEN, RACED} if written == 1 else {WRITTEN}, set(codes)
        )
        self.wait_revision(revision + written)
        if written == 1:
            loser = commands[codes.index(RACED)]
            text = loser.output.read_text() + loser.log.read_text()
            self.assertIn(str(revision + 1), text)

    def test_restarted_processes_during_changes(self):
        """A new process must not bring an older revision back into force."""
        revision = self.revision()
        self.set_switches(down=True)
        self.replace_agent()
        self.wait_revision(revision)
        self.set_switches()
        command = self.operator(1.5 + revision, "ana")
        self.assertEqual(WRITTEN, command.wait(faults.LIMIT_S))
        self.wait_revision(revision + 1)


if __name__ == "__main__":
    unittest.main()
