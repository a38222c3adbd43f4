"""Contract of the driver: late orders, silent targets, foreign runs."""

import unittest

import attrs
import eventlet

from trefoilgw.room import actions
from trefoilgw.room.tests import scenes
from trefoilgw.room.tests.scenes import A
from trefoilgw.runner import driving
from trefoilgw.work import core as work
from trefoilgw.work import orders

NO_ANSWER = orders.NoAnswer(True, "timed out")
ACCEPTED = orders.Accepted(5.0)


@attrs.define
class FakeClient:
    """Answers calls from prepared lists; the last answer repeats."""

    starts: list = attrs.field(factory=lambda: [ACCEPTED])
    stops: list = attrs.field(factory=lambda: [ACCEPTED])
    holds: list = attrs.field(factory=lambda: [NO_ANSWER])
    leases: list = attrs.field(factory=list)
    stopped: list = attrs.field(factory=list)

    def _next(self, answers):
        return answers.pop(0) if len(answers) > 1 else answers[0]

    def start(self, instance, task, run, payload, lease_end_s):
        return self._next(self.starts)

    def stop(self, instance, task, run):
        self.stopped.append(task)
        return self._next(self.stops)

    def hold(self, instance, lease_end_s, confirmed, wait_s):
        self.leases.append(lease_end_s)
        return self._next(self.holds)


def held(running=(), ended=(), started_ms=1):
    progress = {(x, 1): 0.5 for x in running}
    ends = tuple(
        orders.RunEnd(number, task, 1, ending)
        for number, (task, ending) in enumerate(ended, 1)
    )
    return orders.LeaseExtended(5.0, started_ms, progress, ends)


class DriverTestCase(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        self.keeper = scenes.keeper(A)
        self.keeper.owner_renewed(A, 1e6)
        self.client = FakeClient()
        self.driver = driving.Driver(
            self.client,
            self.keeper,
            lease_s=1.0,
            run_stop_s=0.0,
            now=lambda: self.now_s,
            on_change=lambda: None,
        )
        self.driver.target_changed()
        self.driver.clock_s = -95.0

    def order(self, task):
        scenes.start(self.keeper, A, task, now_s=self.now_s)

    def hold(self):
        return self.driver._hold(self.keeper.target)

    def endings(self):
        return scenes.endings(self.keeper.take_actions())


class StartTest(DriverTestCase):
    def test_unanswered_start_is_not_run_only_after_a_confirmed_stop(self):
        """An order without an answer may be carried out seconds later."""
        self.order("j.0.0.0")
        self.client.starts = [NO_ANSWER]
        self.client.stops = [NO_ANSWER, NO_ANSWER, ACCEPTED]
        self.client.holds = [held()]
        self.driver.start("j.0.0.0", 1, "p")
        self.assertEqual(3, len(self.client.stopped))
        self.assertEqual(
            [(A, "j.0.0.0", "not_run", "not_answered")], self.endings()
        )

    def test_two_stops_share_one_confirmation(self):
        """A stop under way must not pass for a confirmed one."""
        self.order("j.0.0.0")
        self.client.stops = [NO_ANSWER, ACCEPTED]
        results = [
            eventlet.spawn(self.driver.stop, "j.0.0.0", 1) for _ in range(2)
        ]
        self.assertEqual([True, True], [x.wait() for x in results])
        self.assertEqual(2, len(self.client.stopped))

    def test_refused_start_has_not_run(self):
        """The target has done nothing, so another one may."""
        self.order("j.0.0.0")
        refused = orders.Refused(orders.RefusalReason.ROOM, 5.0)
        self.client.starts = [refused]
        self.driver.start("j.0.0.0", 1, "p")
        self.assertEqual([(A, "j.0.0.0", "not_run", "room")], self.endings())


class HoldTest(DriverTestCase):
    def run_one(self, task="j.0.0.0"):
        self.order(task)
        self.driver.start(task, 1, "p")
        self.keeper.take_actions()

    def test_takes_in_ends_once(self):
        """An end is listed until it is confirmed."""
        self.run_one()
        ended = held(ended=[("j.0.0.0", work.Ending.DONE)])
        self.client.holds = [ended]
        self.hold()
        self.assertEqual("done", self.endings()[0][2])
        self.hold()
        self.assertEqual([], self.endings())
        self.assertEqual(1, self.driver.confirmed)

    def test_run_that_is_not_listed_has_ended(self):
        """A run that lapsed unseen would use room for ever."""
        self.run_one()
        self.client.holds = [held()]
        self.hold()
        self.assertEqual([], self.endings())
        self.now_s += 0.1
        self.hold()
        self.assertEqual("stopped", self.endings()[0][2])

    def test_silent_target_is_no_longer_extended(self):
        """Its runs would go on for ever although nobody hears of them."""
        self.run_one()
        self.client.holds = [held(running=["j.0.0.0"]), NO_ANSWER]
        self.hold()
        for _ in range(40):
            self.now_s += 0.1
            self.hold()
            if not self.keeper.reachable:
                break
        self.assertEqual("lost", self.endings()[0][2])
        last_extended_s = 100.0 + driving.EXTEND_S
        self.assertGreater(self.now_s, last_extended_s + 1.02)
        self.assertLess(self.now_s, last_extended_s + 1.3)
        self.assertIsNone(self.client.leases[-1])

    def test_refused_connection_means_that_nothing_runs(self):
        """On the same host a closed port is a dead process."""
        self.run_one()
        self.client.holds = [orders.NoAnswer(False, "refused")]
        self.hold()
        self.assertEqual("lost", self.endings()[0][2])
        self.assertFalse(self.keeper.usable)
        self.client.holds = [held()]
        self.hold()
        self.assertTrue(self.keeper.usable)

    def test_foreign_runs_are_stopped_first(self):
        """Runs of a killed runner must not go on beside new ones."""
        self.client.holds = [held(running=["old.0.0.0"])]
        self.hold()
        self.assertFalse(self.keeper.usable)
        eventlet.sleep(0)
        self.assertEqual(["old.0.0.0"], self.client.stopped)
        self.client.holds = [held()]
        self.hold()
        self.assertTrue(self.keeper.usable)

    def test_another_life_ends_everything(self):
        """A target that started anew knows nothing of its runs."""
        self.run_one()
        self.client.holds = [held(started_ms=2)]
        self.hold()
        self.assertEqual("lost", self.endings()[0][2])
        self.assertIsNone(self.keeper.target)

    def test_stalled_runs_are_handed_to_the_program(self):
        """The keeper's stops must be carried out."""
        self.run_one()
        self.client.holds = [held(running=["j.0.0.0"])]
        self.hold()
        self.now_s += 1.0
        self.hold()
        self.assertEqual(
            [actions.Stop("j.0.0.0", 1)], self.keeper.take_actions()
        )


if __name__ == "__main__":
    unittest.main()
