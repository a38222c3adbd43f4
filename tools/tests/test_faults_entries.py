"""Entries killed, frozen and stopped under load; one key at many entries.

Invariants I1 to I5, I7 and I9 with real processes; see docs/proofs.md.
"""

import collections
import json
import unittest

from tools.tests import fixtures


class EntryFaultsTest(fixtures.FaultTestCase):
    def tearDown(self):
        super().tearDown()
        self.replace_entries()

    def replace_entries(self):
        """Starts entries until there are as many as at the beginning."""
        number = len(self.fleet.launcher.processes)
        while len(self.fleet.entries()) < self.entry_count:
            number += 1
            self.fleet.start_entry(number).wait_ready()
        self.wait_idle()

    def make_caller_key(self, name):
        """Returns a caller's key of the current epoch."""
        answer = self.send_request(self.fleet.entries()[0], "GET", "/v1/epoch")
        return f"k1.{json.loads(answer.body)['epoch']}.{name}"

    def test_one_key_through_all_entries_at_once(self):
        """A resubmission must find the first attempt through any entry."""
        entries = self.fleet.entries()
        keys = [self.request_ticket(process) for process in entries]
        keys += [self.make_caller_key(f"own-{number}") for number in range(6)]
        for key in keys:
            with self.subTest(key=key):
                submission = self.make_submission(tasks=3, key=key)
                threads = [
                    self.spawn(self.submit_once, submission, process)
                    for process in entries * 2
                ]
                answers = [thread.wait() for thread in threads]
                self.assertEqual([answers[0]] * len(answers), answers)
                self.assertEqual("complete", submission.state, answers)

    def test_killed_entry(self):
        """Tasks that a killed home started must not be started by another."""
        killed, *others = self.fleet.entries()
        before = sum(self.start_counts().values())
        threads = self.spawn_submissions(
            [killed, *others], jobs=18, others=others, tasks=4, run_ms=150
        )
        self.wait_for_starts(before + 24)
        killed.kill()
        submissions = fixtures.wait_for_submissions(threads)
        reasons = collections.Counter(
            submission.final_answer.get("reason", "complete")
            for submission in submissions
        )
        self.assertEqual({"complete", "home_lost"}, set(reasons), reasons)
        for submission in submissions:
            if killed.name not in submission.unanswered_by:
                self.assertEqual("complete", submission.state, submission)
                continue
            self.assertEqual({"unknown"}, set(submission.fates))
            # Submits the same ticket again to each of the other entries.
            for process in others:
                self.submit_once(submission, process)
                self.assertEqual("failed", submission.attempts[-1], submission)
                self.assertEqual("home_lost", submission.final_answer["reason"])
        fixtures.wait_until(lambda: not self.any_target_busy(), "idle targets")

    def test_frozen_entry(self):
        """An entry removed during a pause must not continue its old jobs."""
        frozen, *others = self.fleet.entries()
        incarnation = self.status(frozen)["incarnation"]
        before = sum(self.start_counts().values())
        threads = self.spawn_submissions(
            [frozen], jobs=6, others=[frozen], tasks=24, run_ms=300
        )
        self.wait_for_starts(before + 8)
        frozen.freeze()
        self.expire_platform_leases()
        fixtures.wait_until(
            lambda: all(
                incarnation not in self.roster_incarnations(process)
                for process in others
            ),
            "the frozen entry leaves the roster",
        )
        fixtures.wait_until(lambda: not self.any_target_busy(), "idle targets")
        started = self.start_counts()
        frozen.thaw()
        submissions = fixtures.wait_for_submissions(threads)
        self.wait_idle()
        self.assertEqual(
            started, self.start_counts(), "started after the freeze"
        )
        for submission in submissions:
            self.assertEqual("home_paused", submission.final_answer["reason"])
        fixtures.wait_until(
            lambda: all(
                incarnation in self.roster_incarnations(process)
                for process in others
            ),
            "the resumed entry is back in the roster",
        )
        self.wait_idle()
        later = [
            self.make_submission(key=self.request_ticket(frozen))
            for _ in range(6)
        ]
        for submission in later:
            self.submit_until_ended(submission, [frozen])
            self.assertEqual("complete", submission.state, submission)

    def expire_platform_leases(self):
        """Expires every lease at the platform now."""
        fixtures.post_control(self.fleet.kv_address, "/control/lapse_leases")

    def roster_incarnations(self, process):
        """Returns the incarnations in the roster of an entry."""
        return [row["incarnation"] for row in self.status(process)["roster"]]

    def test_terminated_entry(self):
        """A planned stop must neither drop a request nor lose an answer."""
        leaving, *others = self.fleet.entries()
        before = sum(self.start_counts().values())
        threads = self.spawn_submissions(
            [leaving], jobs=12, others=others, tasks=6, run_ms=200
        )
        # These requests reach the home through another entry.
        threads += [
            self.spawn(
                self._submit_through,
                self.make_submission(
                    key=self.request_ticket(leaving), run_ms=200
                ),
                [others[0], others[1]],
            )
            for _ in range(4)
        ]
        self.wait_for_starts(before + 20)
        leaving.terminate()
        fixtures.wait_until(
            lambda: not leaving.running() or self.status(leaving)["leaving"],
            "the entry leaves",
        )
        late = self.make_submission(key="")
        self.submit_until_ended(late, others)
        submissions = fixtures.wait_for_submissions(threads)
        self.assertEqual(0, leaving.wait(fixtures.TIMEOUT_S))
        for submission in submissions:
            self.assertEqual([], submission.unanswered_by, submission)
            self.assertEqual("complete", submission.state, submission)
        self.assertEqual("complete", late.state)


if __name__ == "__main__":
    unittest.main()
