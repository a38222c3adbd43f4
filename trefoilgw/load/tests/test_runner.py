"""Tests of load runs against fake entries and of the counted answers."""

import collections
import json
import time
import unittest

from trefoilgw.load import answers
from trefoilgw.load import arrivals
from trefoilgw.load import client
from trefoilgw.load import results
from trefoilgw.load import runner
from trefoilgw.load import scenario as scenarios
from trefoilgw.load import submit
from trefoilgw.load import verification
from trefoilgw.load.tests import fake_entry

SCENARIO = """
name = "small"
duration_s = 0.2
[[customer]]
name = "c"
[[customer.flow]]
kind = "k"
jobs_s = 100.0
tasks = [2, 2]
ticket_share = 1.0
"""


class RunnerTest(unittest.TestCase):
    def setUp(self):
        self.entries = [fake_entry.FakeEntry() for _ in range(2)]
        for entry in self.entries:
            entry.serve()
            self.addCleanup(entry.close)

    def run_scenario(self, behavior, text=SCENARIO):
        for entry in self.entries:
            entry.behavior = behavior
        scenario = scenarios.parse(text, "test.toml")
        plan = arrivals.plan(scenario)
        clients = tuple(client.Client(e.address) for e in self.entries)
        balancer = submit.Balancer(clients)
        submitter = submit.Submitter(balancer, {"c": "token"}, "run", 1.0)
        run = runner.Runner(scenario, plan, submitter.submit_job, "run")
        run.run(time.monotonic())
        self.assertGreater(len(plan), 5)
        return run, plan

    def test_each_answer_is_counted_once(self):
        """Each answer must increase exactly one count of outcomes."""
        cases = (
            ("complete", "complete", None),
            ("running_once", "complete", None),
            ("unreachable_once", "complete", None),
            ("short", "complete", "partial"),
            ("wrong", "complete", "wrong_result"),
            ("failed", "failed", None),
            ("refused", "refused", None),
        )
        for behavior, expected, fault in cases:
            with self.subTest(behavior):
                run, plan = self.run_scenario(behavior)
                counts = run.measured.total().counts
                self.assertEqual(len(plan), counts[expected])
                self.assertEqual(0, counts["unanswered"])
                ended = sum(
                    counts[name]
                    for name in ("complete", "failed", "refused", "lost")
                )
                self.assertEqual(len(plan), ended)
                faults = {fault: len(plan)} if fault else {}
                self.assertEqual(faults, run.measured.faults())

    def test_entries_are_selected_in_turn(self):
        self.run_scenario("complete")
        shares = [len(entry.submissions) for entry in self.entries]
        self.assertLessEqual(abs(shares[0] - shares[1]), 1)

    def test_submission_without_a_key_is_not_repeated(self):
        """A repeated submission without a key could run the job twice."""
        text = SCENARIO.replace("ticket_share = 1.0", "")
        run, plan = self.run_scenario("drop", text)
        sent = sum(len(entry.submissions) for entry in self.entries)
        self.assertEqual(len(plan), sent)
        self.assertEqual(len(plan), run.measured.total().counts["lost"])

    def test_resubmission_goes_through_another_entry(self):
        text = SCENARIO + "resubmit_share = 1.0\nresubmit_after_s = [0.0, 0.0]"
        _, plan = self.run_scenario("complete", text)
        for entry in self.entries:
            self.assertEqual(len(plan), len(set(entry.submissions)))

    def test_own_keys_carry_the_epoch(self):
        text = SCENARIO.replace("ticket_share", "own_key_share")
        self.run_scenario("complete", text)
        keys = self.entries[0].submissions
        self.assertTrue(all(key.startswith("k1.3.run-") for key in keys))

    def test_unreachable_entry_is_skipped(self):
        """After a refused connection, the next entry gets the submission."""
        self.entries[0].close()
        run, plan = self.run_scenario("complete")
        self.assertEqual(len(plan), run.measured.total().counts["complete"])
        self.assertEqual(len(plan), len(self.entries[1].submissions))


class VerificationTest(unittest.TestCase):
    def test_contradicting_starts_are_counted_as_faults(self):
        """Answers that contradict the task starts of the targets are faults."""
        complete = answers.Complete(({}, {}))
        not_run = answers.Refused("overload", True)
        unknown = answers.Refused("home_unreachable", False)
        cases = (
            (complete, (1, 1), {}),
            (complete, (1, 2), {"double_start": 1}),
            (complete, (1, 0), {"complete_without_start": 1}),
            (not_run, (0, 0), {}),
            (not_run, (0, 1), {"false_not_run": 1}),
            (unknown, (0, 1), {}),
            (answers.Failed("deadline"), (0, 1), {}),
        )
        scenario = scenarios.parse(SCENARIO, "test.toml")
        arrival = arrivals.plan(scenario)[0]
        for answer, starts, expected in cases:
            with self.subTest(answer=answer, starts=starts):
                counted = collections.Counter(
                    {
                        verification.payload_value(
                            "run", arrival.number, index
                        ): count
                        for index, count in enumerate(starts)
                    }
                )
                run = results.Results()
                ended = {arrival.number: answer}
                verification.check(run, ended, (arrival,), "run", counted)
                self.assertEqual(expected, run.faults())

    def test_contradicting_answers_are_detected(self):
        one = answers.Complete(({"value": 1},))
        cases = (
            (one, one, False),
            (one, answers.Complete(({"value": 2},)), True),
            (one, answers.Failed("deadline"), True),
            (answers.Refused("overload", True), one, True),
            (answers.Refused("home_unreachable", False), one, False),
            (one, answers.Lost("cut"), False),
        )
        for left, right, expected in cases:
            with self.subTest(left=left, right=right):
                self.assertEqual(expected, runner.disagree(left, right))


class ResultsTest(unittest.TestCase):
    def test_results_are_merged_from_json_lines(self):
        """The merged results must be the sum of the parts of a run.

        This includes the histograms.
        """
        merged = results.Results()
        for response_s in (0.1, 0.2, 0.4):
            part = results.Results(generator_cpu_s=1.0)
            flow = part.flow("c", "k", False)
            flow.counts["complete"] += 1
            flow.reasons["refused:overload"] += 2
            flow.record_response(response_s, 0.1)
            text = [json.dumps(line) for line in results.to_lines(part)]
            lines = [json.loads(line) for line in text]
            merged.merge(results.from_lines(lines))
        total = merged.total()
        self.assertEqual(3, total.counts["complete"])
        self.assertEqual(6, total.reasons["refused:overload"])
        self.assertEqual(3.0, merged.generator_cpu_s)
        self.assertAlmostEqual(2.0, total.ratio_at(50), places=2)
        self.assertAlmostEqual(0.4, total.response_s_at(100), places=2)

    def test_unreadable_response_is_lost(self):
        """A response that can't be parsed leaves the outcome unknown."""
        for body in (b"<html>", b"[]", b"{}"):
            with self.subTest(body=body):
                answer = answers.parse(client.Response(502, {}, body))
                self.assertIsInstance(answer, answers.Lost)


if __name__ == "__main__":
    unittest.main()
