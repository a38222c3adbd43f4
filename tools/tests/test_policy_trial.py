"""Tests of the simulation that compares placement policies."""

import unittest

from tools import policy_bench
from trefoilgw import placement


class PolicyTrialTest(unittest.TestCase):
    def run_trial(self, policy, sizes, load=0.6, until_s=5.0):
        trial = policy_bench.make_trial(policy, seed=1)
        for kind, part in policy_bench.INTERACTIVE_MIX.items():
            trial.load(kind, load * part, until_s, sizes)
        trial.run(until_s + 60.0)
        return trial

    def test_every_job_ends(self):
        """Jobs that the simulation loses would make a policy look better."""
        for policy in placement.Policy:
            with self.subTest(policy=policy):
                trial = self.run_trial(policy, (1, 5, 20))
                offered = sum(trial.offered.values())
                self.assertGreater(offered, 20)
                self.assertEqual(offered, len(trial.ended))
                for job in trial.ended:
                    self.assertEqual(len(job.runs), job.done)
                ratios = policy_bench.response_ratios(trial.ended)
                self.assertGreaterEqual(min(ratios), 1.0 - 1e-9)

    def test_no_credit_is_lost(self):
        """A lost credit leaves a slot idle; a duplicate overcommits a slot."""
        trial = self.run_trial("credits", (1, 20, 310))
        self.assertGreater(trial.messages["lend"], 0)
        placements = [entry.placement for entry in trial.entries.values()]
        self.assertEqual(88, sum(place.free("s") for place in placements))
        self.assertEqual(88, sum(place.total("s") for place in placements))
        for entry in trial.entries.values():
            self.assertEqual({}, entry.admission.jobs)

    def test_same_seed_same_figures(self):
        """Two policies can be compared only by reproducible figures."""
        first, second = (self.run_trial("credits", (1, 5)) for _ in range(2))
        self.assertEqual(
            policy_bench.response_ratios(first.ended),
            policy_bench.response_ratios(second.ended),
        )


if __name__ == "__main__":
    unittest.main()
