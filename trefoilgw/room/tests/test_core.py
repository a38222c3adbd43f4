"""Contract of the room: what is started, refused, offered and stopped."""

import unittest

from trefoilgw.messages import runs as messages
from trefoilgw.room import owners
from trefoilgw.room.tests import scenes
from trefoilgw.room.tests.scenes import A
from trefoilgw.room.tests.scenes import B
from trefoilgw.work import core as work


class StartTest(unittest.TestCase):
    def test_starts_what_fits_and_refuses_the_rest(self):
        """More runs than room overload a target that doesn't guard itself."""
        keeper = scenes.keeper(A, cores=2)
        taken = scenes.start(keeper, A, "j.0.0.0", "j.0.0.1", "j.0.0.2")
        self.assertEqual(["j.0.0.0", "j.0.0.1"], scenes.starts(taken))
        self.assertEqual(
            [(A, "j.0.0.2", "not_run", "room")], scenes.endings(taken)
        )

    def test_a_run_being_stopped_still_uses_room(self):
        """What is being stopped counts until the target lists its end."""
        keeper = scenes.keeper(A, cores=1)
        scenes.running(keeper, A, "j.0.0.0")
        ref = messages.RunRef("j.0.0.0", 1)
        keeper.stop_runs(A, messages.StopRuns((ref,)))
        self.assertEqual(["j.0.0.0"], scenes.stops(keeper.take_actions()))
        self.assertEqual([], scenes.starts(scenes.start(keeper, A, "k.0.0.0")))
        keeper.run_ended("j.0.0.0", 1, work.Ending.STOPPED, 0.2)
        keeper.take_actions()
        self.assertEqual(
            ["k.0.0.0"], scenes.starts(scenes.start(keeper, A, "k.0.0.0"))
        )

    def test_draining_target_starts_nothing(self):
        """A run on a target that leaves would end with it."""
        keeper = scenes.keeper(A)
        keeper.target_reported(scenes.target(draining=True, sequence=2))
        taken = scenes.start(keeper, A, "j.0.0.0")
        self.assertEqual(
            [(A, "j.0.0.0", "not_run", "unusable")], scenes.endings(taken)
        )

    def test_late_report_does_not_undo_draining(self):
        """A report that was delayed says what is no longer true."""
        keeper = scenes.keeper(A)
        keeper.target_reported(scenes.target(draining=True, sequence=5))
        keeper.target_reported(scenes.target(sequence=4))
        self.assertFalse(keeper.usable)

    def test_target_with_unknown_runs_starts_nothing(self):
        """Runs of an earlier incarnation use room that nobody counts."""
        keeper = scenes.keeper(A)
        keeper.settled = False
        taken = scenes.start(keeper, A, "j.0.0.0")
        self.assertEqual([], scenes.starts(taken))

    def test_same_task_of_another_scheduler_is_stopped_first(self):
        """A job that was sent again must not run twice at once."""
        keeper = scenes.keeper(A, B)
        scenes.running(keeper, A, "j.0.0.0")
        taken = scenes.start(keeper, B, "j.0.0.0", run=2)
        self.assertEqual([], scenes.starts(taken))
        self.assertEqual(["j.0.0.0"], scenes.stops(taken))
        self.assertEqual(
            [(B, "j.0.0.0", "not_run", "duplicate")], scenes.endings(taken)
        )

    def test_new_life_of_the_target_loses_all_runs(self):
        """After a crash a target runs nothing of before."""
        keeper = scenes.keeper(A)
        scenes.running(keeper, A, "j.0.0.0")
        self.assertTrue(keeper.target_reported(scenes.target(started_ms=2)))
        endings = scenes.endings(keeper.take_actions())
        self.assertEqual("lost", endings[0][2])
        self.assertFalse(keeper.usable)

    def test_report_of_an_earlier_life_is_ignored(self):
        """A report may arrive after its sender has crashed."""
        keeper = scenes.keeper(A)
        keeper.target_reported(scenes.target(started_ms=5))
        self.assertFalse(keeper.target_reported(scenes.target(started_ms=4)))
        self.assertEqual(5, keeper.target.started_ms)


class AuthorityTest(unittest.TestCase):
    def test_nothing_starts_after_the_authority_has_lapsed(self):
        """A frozen runner wakes up with orders that others have replaced."""
        keeper = scenes.keeper(A)
        taken = scenes.start(
            keeper, A, "j.0.0.0", now_s=owners.AUTHORITY_S + 0.01
        )
        self.assertEqual(
            [(A, "j.0.0.0", "not_run", "authority")], scenes.endings(taken)
        )

    def test_runs_end_with_the_authority(self):
        """The caller of a lost scheduler sends its job to another one."""
        keeper = scenes.keeper(A)
        scenes.running(keeper, A, "j.0.0.0")
        keeper.owner_renewed(A, 0.2)
        keeper.tick(0.2 + owners.AUTHORITY_S - 0.01)
        self.assertEqual([], scenes.stops(keeper.take_actions()))
        keeper.tick(0.2 + owners.AUTHORITY_S)
        self.assertEqual(["j.0.0.0"], scenes.stops(keeper.take_actions()))

    def test_broken_stream_leaves_little_time(self):
        """A killed scheduler's caller comes again after a second."""
        keeper = scenes.keeper(A)
        scenes.running(keeper, A, "j.0.0.0")
        keeper.owner_closed(A, 0.1)
        keeper.tick(0.1 + owners.REJOIN_S)
        self.assertEqual(["j.0.0.0"], scenes.stops(keeper.take_actions()))

    def test_rejoining_scheduler_is_told_what_it_holds(self):
        """A reset connection between two live processes loses no run."""
        keeper = scenes.keeper(A)
        scenes.running(keeper, A, "j.0.0.0")
        keeper.owner_closed(A, 0.1)
        keeper.owner_joined(A, 0.2)
        held = scenes.told(keeper.take_actions(), messages.ActiveRuns)
        ref = messages.RunRef("j.0.0.0", 1)
        self.assertEqual([(A, messages.ActiveRuns((ref,)))], held)
        keeper.tick(0.5)
        self.assertEqual([], scenes.stops(keeper.take_actions()))


class OfferTest(unittest.TestCase):
    def offers(self, keeper, now_s=0.1):
        keeper.offer_room(now_s)
        taken = keeper.take_actions()
        return [
            (owner, x.room.cpu_millicores)
            for owner, x in scenes.told(taken, messages.Offer)
        ]

    def test_most_urgent_bid_gets_the_room(self):
        """Without one order for all, urgent work waits behind other work."""
        keeper = scenes.keeper(A, B, cores=1)
        scenes.bid(keeper, A, slack_s=0.5)
        scenes.bid(keeper, B, slack_s=0.1)
        self.assertEqual([(B, 1000)], self.offers(keeper))

    def test_offered_room_is_reserved(self):
        """Room that is offered twice makes one of the two refusals."""
        keeper = scenes.keeper(A, B, cores=1)
        scenes.bid(keeper, A, slack_s=0.1)
        self.offers(keeper)
        taken = scenes.start(keeper, B, "j.0.0.0")
        self.assertEqual("room", scenes.endings(taken)[0][3])
        taken = scenes.start(keeper, A, "k.0.0.0", offer=1)
        self.assertEqual(["k.0.0.0"], scenes.starts(taken))

    def test_unanswered_offer_lapses(self):
        """A scheduler that froze must not keep room from the others."""
        keeper = scenes.keeper(A, cores=1)
        scenes.bid(keeper, A, slack_s=0.1)
        self.offers(keeper)
        keeper.tick(0.3)
        self.assertEqual(1000, keeper.free().cpu_millicores)

    def test_unused_offer_frees_the_room(self):
        """A scheduler whose work was placed elsewhere declines."""
        keeper = scenes.keeper(A, cores=1)
        scenes.bid(keeper, A, slack_s=0.1)
        self.offers(keeper)
        scenes.start(keeper, A, offer=1)
        self.assertEqual(1000, keeper.free().cpu_millicores)

    def test_room_for_the_most_urgent_task_can_gather(self):
        """A large urgent task would starve behind small ones."""
        keeper = scenes.keeper(A, B, cores=2)
        scenes.running(keeper, A, "j.0.0.0")
        large = messages.Room(2000, 64, 0)
        scenes.bid(keeper, A, slack_s=0.1, need=large)
        scenes.bid(keeper, B, slack_s=0.5)
        self.assertEqual([], self.offers(keeper))

    def test_withdrawn_bid_gets_nothing(self):
        """Offers to a scheduler without work waste a round trip of room."""
        keeper = scenes.keeper(A)
        scenes.bid(keeper, A, slack_s=0.1)
        scenes.bid(keeper, A, slack_s=0.1, tasks=0)
        self.assertEqual([], self.offers(keeper))

    def test_report_is_sent_once_per_change(self):
        """Reports without news cost traffic between failure domains."""
        keeper = scenes.keeper(A)
        keeper.report_room()
        self.assertEqual(
            1, len(scenes.told(keeper.take_actions(), messages.CapacityReport))
        )
        keeper.report_room()
        self.assertEqual([], keeper.take_actions())


class HeadroomTest(unittest.TestCase):
    def used_by_urgent(self):
        """Returns a keeper of which urgent runs lately used half."""
        keeper = scenes.keeper(A, cores=4)
        keeper.owner_renewed(A, 100.0)
        scenes.running(keeper, A, "u.0.0.0", "u.0.0.1", urgency=1)
        for tick in range(200):
            keeper.tick(0.1 + tick * 0.05)
        for task in ("u.0.0.0", "u.0.0.1"):
            keeper.run_ended(task, 1, work.Ending.DONE, 10.1)
        keeper.take_actions()
        return keeper

    def test_long_work_leaves_room_for_urgent_work(self):
        """Long runs that fill all room block urgent work for seconds."""
        keeper = self.used_by_urgent()
        tasks = [f"j.0.0.{x}" for x in range(4)]
        taken = scenes.start(keeper, A, *tasks, urgency=4, now_s=10.1)
        self.assertEqual(tasks[:2], scenes.starts(taken))
        self.assertEqual({"headroom"}, {x[3] for x in scenes.endings(taken)})
        taken = scenes.start(keeper, A, "v.0.0.0", urgency=1, now_s=10.1)
        self.assertEqual(["v.0.0.0"], scenes.starts(taken))

    def test_offers_leave_room_for_urgent_work(self):
        """The reserve must hold for waiting work as well."""
        keeper = self.used_by_urgent()
        scenes.bid(keeper, A, slack_s=0.0, tasks=9, urgency=4, now_s=10.1)
        keeper.offer_room(10.1)
        (offer,) = scenes.told(keeper.take_actions(), messages.Offer)
        self.assertLess(offer[1].room.cpu_millicores, 3000)
        self.assertEqual(4, offer[1].urgency)

    def test_reserve_fades_with_the_use(self):
        """Room that urgent work no longer uses must not stay idle."""
        keeper = self.used_by_urgent()
        for tick in range(200):
            keeper.tick(10.1 + tick * 0.05)
        tasks = [f"j.0.0.{x}" for x in range(4)]
        taken = scenes.start(keeper, A, *tasks, urgency=4, now_s=20.1)
        self.assertEqual(tasks, scenes.starts(taken))


class HealthTest(unittest.TestCase):
    def fail(self, keeper, *jobs):
        for job in jobs:
            scenes.running(keeper, A, f"{job}.0.0.0")
            keeper.run_ended(f"{job}.0.0.0", 1, work.Ending.FAILED, 0.2)
        keeper.take_actions()

    def test_target_that_fails_everything_gets_single_probes(self):
        """A black hole is always free and draws all waiting work."""
        keeper = scenes.keeper(A)
        self.fail(keeper, "j1", "j2", "j3")
        self.assertTrue(keeper.judge.suspect)
        taken = scenes.start(keeper, A, "k.0.0.0", "k.0.0.1")
        self.assertEqual(["k.0.0.0"], scenes.starts(taken))
        keeper.run_started("k.0.0.0", 1, 0.2)
        keeper.run_ended("k.0.0.0", 1, work.Ending.DONE, 0.3)
        self.assertFalse(keeper.judge.suspect)

    def test_a_job_that_can_never_be_done_blames_no_target(self):
        """A poison job fails everywhere; targets would be given up."""
        keeper = scenes.keeper(A)
        self.fail(keeper, "j1", "j1", "j1", "j1")
        self.assertFalse(keeper.judge.suspect)

    def test_runs_that_stand_still_are_stopped(self):
        """On a target that hangs, runs would be held until their deadline."""
        keeper = scenes.keeper(A)
        scenes.running(keeper, A, "j.0.0.0", "j.0.0.1", expected_s=1.0)
        keys = [("j.0.0.0", 1), ("j.0.0.1", 1)]
        keeper.runs_listed(dict.fromkeys(keys, 0.1), 0.2)
        keeper.runs_listed(dict.fromkeys(keys, 0.1), 0.45)
        self.assertEqual([], scenes.stops(keeper.take_actions()))
        keeper.runs_listed(dict.fromkeys(keys, 0.1), 0.55)
        self.assertEqual(
            ["j.0.0.0", "j.0.0.1"], scenes.stops(keeper.take_actions())
        )
        self.assertTrue(keeper.judge.suspect)
        keeper.run_ended("j.0.0.0", 1, work.Ending.STOPPED, 0.6)
        self.assertEqual(
            [(A, "j.0.0.0", "stopped", "stalled")],
            scenes.endings(keeper.take_actions()),
        )

    def test_progress_ends_the_doubt(self):
        """A target that goes on again must get its share of work."""
        keeper = scenes.keeper(A)
        scenes.running(keeper, A, "j.0.0.0", "j.0.0.1", expected_s=0.1)
        keys = [("j.0.0.0", 1), ("j.0.0.1", 1)]
        keeper.runs_listed(dict.fromkeys(keys, 0.0), 0.9)
        self.assertTrue(keeper.judge.suspect)
        for task in ("j.0.0.0", "j.0.0.1"):
            keeper.run_ended(task, 1, work.Ending.STOPPED, 1.0)
        keeper.owner_renewed(A, 1.0)
        scenes.running(keeper, A, "k.0.0.0", now_s=1.0)
        keeper.runs_listed({("k.0.0.0", 1): 0.2}, 1.2)
        self.assertFalse(keeper.judge.suspect)

    def test_long_run_that_goes_on_is_left_alone(self):
        """A long run that is started anew ends later, not sooner."""
        keeper = scenes.keeper(A)
        scenes.running(keeper, A, "j.0.0.0", expected_s=0.5)
        for tick in range(1, 40):
            share = {("j.0.0.0", 1): tick / 40}
            keeper.runs_listed(share, 0.1 + tick * 0.1)
        self.assertEqual([], scenes.stops(keeper.take_actions()))

    def test_runs_on_a_slow_target_are_moved(self):
        """A target that is six times slow makes all its runs late."""
        keeper = scenes.keeper(A)
        tasks = ["j.0.0.0", "k.0.0.0", "l.0.0.0"]
        scenes.running(keeper, A, *tasks, expected_s=0.4)
        keeper.runs_listed({(x, 1): 0.08 for x in tasks}, 0.3)
        self.assertEqual(tasks, scenes.stops(keeper.take_actions()))
        self.assertTrue(keeper.judge.suspect)

    def test_one_long_job_makes_no_target_slow(self):
        """All runs of a job whose declared time is far off seem slow."""
        keeper = scenes.keeper(A)
        tasks = ["j.0.0.0", "j.0.0.1", "j.0.0.2"]
        scenes.running(keeper, A, *tasks, expected_s=0.4)
        keeper.runs_listed({(x, 1): 0.08 for x in tasks}, 0.3)
        self.assertEqual([], scenes.stops(keeper.take_actions()))
        self.assertFalse(keeper.judge.suspect)

    def test_run_near_its_end_stays_on_a_slow_target(self):
        """Work that is nearly done must not be thrown away."""
        keeper = scenes.keeper(A)
        tasks = ["j.0.0.0", "k.0.0.0", "l.0.0.0"]
        scenes.running(keeper, A, *tasks, expected_s=0.4)
        keeper.runs_listed({(x, 1): 0.95 for x in tasks}, 1.6)
        self.assertEqual([], scenes.stops(keeper.take_actions()))


if __name__ == "__main__":
    unittest.main()
