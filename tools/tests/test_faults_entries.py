"""Entries that are killed, frozen and stopped under load; one key, two doors.

Invariants I1 to I5, I7 and I9 with real processes; see docs/proofs.md.
"""

import collections
import json
import unittest

from tools.tests import faults


class EntryFaultsTest(faults.FaultTestCase):
    def tearDown(self):
        super().tearDown()
        self.replace_entries()

    def replace_entries(self):
        """Starts entries until there are three again."""
        number = len(self.fleet.launcher.processes)
        while len(self.fleet.entries()) < self.entries:
            number += 1
            self.fleet.start_entry(number).wait_ready()
        self.settled()

    def own_key(self, name):
        answer = self.call(self.fleet.entries()[0], "GET", "/v1/epoch")
        return f"k1.{json.loads(answer.body)['epoch']}.{name}"

    def test_one_key_through_all_entries_at_once(self):
        """A resubmission must find the first attempt wherever it arrives."""
        entries = self.fleet.entries()
        keys = [self.ticket(process) for process in entries]
        keys += [self.own_key(f"own-{number}") for number in range(6)]
        for key in keys:
            with self.subTest(key=key):
                submission = self.prepare(tasks=3, key=key)
                threads = [
                    self.spawn(self.attempt, submission, process)
                    for process in entries * 2
                ]
                answers = [thread.wait() for thread in threads]
                self.assertEqual([answers[0]] * len(answers), answers)
                self.assertEqual("complete", submission.state, answers)

    def test_killed_entry(self):
        """What a killed home started must never be started by another."""
        killed, *others = self.fleet.entries()
        before = sum(self.counts().values())
        threads = self.spawn_load(
            [killed, *others], jobs=18, others=others, tasks=4, run_ms=150
        )
        self.wait_starts(before + 24)
        killed.kill()
        submissions = faults.ended(threads)
        reasons = collections.Counter(
            submission.final.get("reason", "complete")
            for submission in submissions
        )
        self.assertEqual({"complete", "home_lost"}, set(reasons), reasons)
        for submission in submissions:
            if killed.name not in submission.lost_at:
                self.assertEqual("complete", submission.state, submission)
                continue
            self.assertEqual({"unknown"}, set(submission.fates))
            # The same ticket once more, at each of the others.
            for process in others:
                self.attempt(submission, process)
                self.assertEqual("failed", submission.attempts[-1], submission)
                self.assertEqual("home_lost", submission.final["reason"])
        faults.wait_until(lambda: not self.busy(), "idle targets")

    def test_frozen_entry(self):
        """An entry removed while it was paused must not act on old work."""
        frozen, *others = self.fleet.entries()
        incarnation = self.status(frozen)["incarnation"]
        before = sum(self.counts().values())
        threads = self.spawn_load(
            [frozen], jobs=6, others=[frozen], tasks=24, run_ms=300
        )
        self.wait_starts(before + 8)
        frozen.freeze()
        self.fleet_lapse()
        faults.wait_until(
            lambda: all(
                incarnation not in self.roster(process) for process in others
            ),
            "the frozen entry leaves the roster",
        )
        faults.wait_until(lambda: not self.busy(), "idle targets")
        started = self.counts()
        frozen.thaw()
        submissions = faults.ended(threads)
        self.settled()
        self.assertEqual(started, self.counts(), "started after the freeze")
        for submission in submissions:
            self.assertEqual("home_paused", submission.final["reason"])
        faults.wait_until(
            lambda: all(
                incarnation in self.roster(process) for process in others
            ),
            "the resumed entry is back in the roster",
        )
        self.settled()
        later = [self.prepare(key=self.ticket(frozen)) for _ in range(6)]
        for submission in later:
            self.settle(submission, [frozen])
            self.assertEqual("complete", submission.state, submission)

    def fleet_lapse(self):
        """Lets every lease at the platform lapse now."""
        faults.post(self.fleet.kv_address, "/control/lapse_leases")

    def roster(self, process):
        """Returns the incarnations in the roster of an entry."""
        return [row["incarnation"] for row in self.status(process)["roster"]]

    def test_terminated_entry(self):
        """A planned stop must neither cut a request nor lose an answer."""
        leaving, *others = self.fleet.entries()
        before = sum(self.counts().values())
        threads = self.spawn_load(
            [leaving], jobs=12, others=others, tasks=6, run_ms=200
        )
        # Requests that reach the home through another entry.
        threads += [
            self.spawn(
                self._submit,
                self.prepare(key=self.ticket(leaving), run_ms=200),
                [others[0], others[1]],
            )
            for _ in range(4)
        ]
        self.wait_starts(before + 20)
        leaving.terminate()
        faults.wait_until(
            lambda: not leaving.running() or self.status(leaving)["leaving"],
            "the entry leaves",
        )
        late = self.prepare(key="")
        self.settle(late, others)
        submissions = faults.ended(threads)
        self.assertEqual(0, leaving.wait(faults.LIMIT_S))
        for submission in submissions:
            self.assertEqual([], submission.lost_at, submission)
            self.assertEqual("complete", submission.state, submission)
        self.assertEqual("complete", late.state)


if __name__ == "__main__":
    unittest.main()
