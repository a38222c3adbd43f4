"""Tests of targets that all seem slow, so that none is the worse one."""

import unittest

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import actions
from trefoilgw.scheduling.tests import fixtures

NAMES = ("r1", "r2", "r3", "r4")
JOINED_S = -10.0


class CommonSlowdownTest(unittest.TestCase):
    def setUp(self):
        self.scheduler = fixtures.make_scheduler(*NAMES, now_s=JOINED_S)

    def report(self, *names, slow=True, suspect=True, **changes):
        """Reports targets that are slow, or in doubt for another reason."""
        for name in names:
            report = fixtures.make_report(
                suspect=suspect, slow=slow and suspect, **changes
            )
            self.scheduler.capacity_reported(name, report, 0.0)

    def suspects(self):
        """Returns the runners that get probes only after the next tick."""
        self.scheduler.tick(0.1)
        views = self.scheduler.runner_views.values()
        return {x.name for x in views if x.suspect}

    def test_targets_that_are_all_slow_are_all_used(self):
        """Nobody was served any more when all tasks took longer."""
        self.report(*NAMES)
        self.assertEqual(set(), self.suspects())
        self.scheduler.submit(fixtures.job("j", tasks=12), 1, 0.2)
        taken = self.scheduler.take_actions()
        self.assertEqual(12, len(fixtures.sent(taken)))
        orders = [
            order
            for x in taken
            if isinstance(x, actions.SendMessage)
            and isinstance(x.message, messages.StartRuns)
            for group in x.message.groups
            for order in group.orders
        ]
        self.assertTrue(all(x.may_be_slow for x in orders))

    def test_slow_target_beside_sound_ones_gets_probes_only(self):
        """There, a run ends sooner elsewhere."""
        self.report("r1", "r2")
        self.assertEqual({"r1", "r2"}, self.suspects())

    def test_last_trusted_targets_do_not_bear_all_work(self):
        """One of them may pass for sound only as run times differ."""
        self.report("r1", "r2", "r3")
        self.assertEqual(set(), self.suspects())

    def test_single_slow_target_among_failing_ones(self):
        """It is slower than the only one that is trusted."""
        self.report("r1", "r2", slow=False)
        self.report("r3")
        self.assertEqual({"r1", "r2", "r3"}, self.suspects())

    def test_target_that_passes_for_sound_ends_nothing(self):
        """All others would get probes only until it is slow again."""
        self.report(*NAMES)
        self.suspects()
        self.report("r1", suspect=False)
        self.assertEqual(set(), self.suspects())

    def test_slowdown_ends_once_many_are_trusted(self):
        """The other targets stay slow, so they are the worse ones now."""
        self.report(*NAMES)
        self.suspects()
        self.report("r1", "r2", "r3", suspect=False)
        self.assertEqual({"r4"}, self.suspects())

    def test_failing_targets_among_slow_ones_get_probes_only(self):
        """A run that fails is not done at all."""
        self.report("r1", "r2")
        self.report("r3", "r4", slow=False)
        self.assertEqual({"r3", "r4"}, self.suspects())

    def test_targets_that_all_fail_get_probes_only(self):
        """Jobs would use up their attempts there."""
        self.report(*NAMES, slow=False)
        self.assertEqual(set(NAMES), self.suspects())

    def test_evacuation_of_the_trusted_targets(self):
        """Those that are left are all slow."""
        sound = ("r5", "r6", "r7")
        for name in sound:
            self.scheduler.runner_connected(name, "i1", "d9", JOINED_S)
        self.report(*sound, suspect=False)
        self.report(*NAMES)
        self.assertEqual(set(NAMES), self.suspects())
        self.scheduler.set_evacuated(frozenset({"d9"}), 0.2)
        self.assertEqual(set(), self.suspects())

    def test_loss_of_the_trusted_targets(self):
        """Those that are left are all slow."""
        self.report("r1", "r2")
        self.assertEqual({"r1", "r2"}, self.suspects())
        for name in ("r3", "r4"):
            self.scheduler.runner_disconnected(name)
        self.assertEqual(set(), self.suspects())


if __name__ == "__main__":
    unittest.main()
