"""Contract of the scheduler: admission, placement, answers, lost runners."""

import unittest

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import core as scheduling
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import runners
from trefoilgw.scheduling.tests import scenes
from trefoilgw.work import core as work

DONE = work.Ending.DONE
FAILED = work.Ending.FAILED
NOT_RUN = work.Ending.NOT_RUN
LOST = work.Ending.LOST


class AnswerTest(unittest.TestCase):
    def test_answers_once_all_tasks_are_done(self):
        """An answer must be complete, never partial."""
        found = scenes.scheduler("r1")
        found.submit(scenes.job("j", tasks=2), 7, 0.0)
        self.assertEqual(
            [("r1", "j.0.0.0", 7), ("r1", "j.0.0.1", 7)],
            scenes.sent(found.take_actions()),
        )
        taken = scenes.ended(found, "r1", "j.0.0.0", 7, DONE)
        self.assertEqual([], scenes.answers(taken))
        taken = scenes.ended(found, "r1", "j.0.0.1", 7, DONE)
        self.assertEqual([("j", actions.Completed())], scenes.answers(taken))
        self.assertEqual({}, found.admitted)

    def test_fails_only_after_the_allowed_attempts(self):
        """One failed run of a task says nothing about the job."""
        found = scenes.scheduler("r1", "r2", "r3")
        found.submit(scenes.job("j"), 1, 0.0)
        for run in (1, 2):
            name, _, number = scenes.sent(found.take_actions())[0]
            self.assertEqual(run, number)
            found.run_ended(
                name,
                messages.RunEnded("j.0.0.0", run, "failed", "", 0.1),
                0.2,
            )
            self.assertIn("j", found.admitted)
        name = scenes.sent(found.take_actions())[0][0]
        taken = scenes.ended(found, name, "j.0.0.0", 3, FAILED)
        self.assertEqual(
            [("j", actions.Failed("j.0.0.0"))], scenes.answers(taken)
        )

    def test_failed_task_goes_to_another_target(self):
        """A target that fails everything would use up all attempts."""
        found = scenes.scheduler("r1", "r2")
        found.submit(scenes.job("j"), 1, 0.0)
        first = scenes.sent(found.take_actions())[0][0]
        taken = scenes.ended(found, first, "j.0.0.0", 1, FAILED)
        self.assertNotEqual(first, scenes.sent(taken)[0][0])

    def test_failed_job_stops_its_other_runs(self):
        """Runs of a job that has its answer waste room."""
        queue = scenes.queue(attempts_limit=1)
        found = scenes.scheduler("r1")
        found.submit(scenes.job("j", tasks=2, of=queue), 1, 0.0)
        found.take_actions()
        taken = scenes.ended(found, "r1", "j.0.0.0", 1, FAILED)
        self.assertEqual([("r1", "j.0.0.1", 1)], scenes.stopped(taken))

    def test_late_end_of_an_earlier_attempt_is_ignored(self):
        """An old attempt's end must not count for the new one."""
        found = scenes.scheduler("r1")
        found.submit(scenes.job("j"), 1, 0.0)
        found.take_actions()
        scenes.ended(found, "r1", "j.0.0.0", 1, LOST)
        taken = scenes.ended(found, "r1", "j.0.0.0", 1, DONE)
        self.assertEqual([], scenes.answers(taken))

    def test_cancelled_job_stops_its_runs(self):
        """Work for a caller that has gone is wasted."""
        found = scenes.scheduler("r1")
        found.submit(scenes.job("j"), 1, 0.0)
        found.take_actions()
        self.assertTrue(found.cancel("j"))
        self.assertEqual(
            [("r1", "j.0.0.0", 1)], scenes.stopped(found.take_actions())
        )
        self.assertFalse(found.cancel("j"))

    def test_resubmission_joins_the_job(self):
        """The same job sent again to the same scheduler must not run twice."""
        found = scenes.scheduler("r1")
        found.submit(scenes.job("j"), 1, 0.0)
        found.take_actions()
        job = found.submit(scenes.job("j"), 900, 0.1)
        self.assertIsInstance(job, jobs.Job)
        self.assertEqual([], scenes.sent(found.take_actions()))


class PlacementTest(unittest.TestCase):
    def test_refused_task_waits_for_the_next_report(self):
        """Sending again at once would be refused again and again."""
        found = scenes.scheduler("r1")
        found.submit(scenes.job("j"), 1, 0.0)
        found.take_actions()
        taken = scenes.ended(found, "r1", "j.0.0.0", 1, NOT_RUN, reason="room")
        self.assertEqual([], scenes.sent(taken))
        found.capacity_reported("r1", scenes.report(received=1), 0.6)
        self.assertEqual(
            [("r1", "j.0.0.0", 2)], scenes.sent(found.take_actions())
        )

    def test_run_numbers_skip_ahead_of_higher_ones(self):
        """A target refuses numbers below those that it has seen."""
        found = scenes.scheduler("r1", "r2")
        found.submit(scenes.job("j"), 1, 0.0)
        name = scenes.sent(found.take_actions())[0][0]
        taken = scenes.ended(found, name, "j.0.0.0", 1, NOT_RUN, reason="old")
        number = scenes.sent(taken)[0][2]
        self.assertGreater(number, scheduling.RUN_NUMBER_SKIP)

    def test_counts_room_that_it_asked_for_itself(self):
        """Reports lag; the same room would be given away twice."""
        found = scenes.scheduler("r1", free=messages.Room(1000, 8192, 0))
        found.submit(scenes.job("j"), 1, 0.0)
        found.submit(scenes.job("k"), 1, 0.0)
        self.assertEqual(
            [("r1", "j.0.0.0", 1)], scenes.sent(found.take_actions())
        )

    def test_slow_runner_is_second_choice(self):
        """Targets differ in speed; the fast ones serve better."""
        found = scenes.scheduler("r1", "r2")
        for _ in range(20):
            found.runner_views["r1"].learn(run_s=0.6, expected_s=0.4)
        found.submit(scenes.job("j"), 1, 0.0)
        self.assertEqual("r2", scenes.sent(found.take_actions())[0][0])

    def test_suspect_runner_gets_one_probe_with_time_to_spare(self):
        """Without a probe nobody learns that a target has recovered."""
        found = scenes.scheduler("r1", "r2")
        found.capacity_reported("r1", scenes.report(suspect=True), 0.1)
        long_job = scenes.job("j", tasks=3, declared_s=2.0)
        found.submit(long_job, 1, 0.2)
        names = [x[0] for x in scenes.sent(found.take_actions())]
        self.assertEqual(1, names.count("r1"))
        found.submit(scenes.job("k", declared_s=0.1), 1, 5.0)
        self.assertEqual("r2", scenes.sent(found.take_actions())[0][0])

    def test_offer_goes_to_the_most_urgent_job(self):
        """An offer used in order of arrival would defeat the bids."""
        found = scenes.scheduler("r1", free=scenes.NONE)
        found.submit(scenes.job("slow", declared_s=2.0), 1, 0.0)
        found.submit(scenes.job("fast", declared_s=0.1), 1, 0.0)
        offer = messages.Offer(4, 7, messages.Room(1000, 64, 0))
        found.take_actions()
        found.capacity_offered("r1", offer, 0.01)
        taken = found.take_actions()
        self.assertEqual([("r1", "fast.0.0.0", 1)], scenes.sent(taken))

    def test_offer_for_urgent_work_goes_to_no_other(self):
        """The runner has kept this room from work that can wait."""
        found = scenes.scheduler("r1", free=scenes.NONE)
        found.submit(scenes.job("slow", declared_s=2.0), 1, 0.0)
        found.take_actions()
        offer = messages.Offer(4, 1, messages.Room(1000, 64, 0))
        found.capacity_offered("r1", offer, 0.01)
        self.assertEqual([], scenes.sent(found.take_actions()))

    def test_room_kept_for_urgent_work_is_not_asked_for_again(self):
        """Each refusal costs a round trip; the runner will offer room."""
        found = scenes.scheduler("r1")
        found.submit(scenes.job("j"), 1, 0.0)
        found.take_actions()
        taken = scenes.ended(
            found, "r1", "j.0.0.0", 1, NOT_RUN, 0.01, "headroom"
        )
        self.assertEqual([], scenes.sent(taken))
        found.submit(scenes.job("u", declared_s=0.05), 1, 0.02)
        tasks = [x[1] for x in scenes.sent(found.take_actions())]
        self.assertEqual(["u.0.0.0"], tasks)

    def test_unused_offer_is_answered(self):
        """Reserved room would stay unused until the offer lapses."""
        found = scenes.scheduler("r1")
        found.capacity_offered("r1", messages.Offer(4, 7, scenes.ROOM), 0.0)
        self.assertEqual(
            [actions.SendMessage("r1", messages.StartRuns(4, ()))],
            found.take_actions(),
        )

    def test_bids_while_work_waits_and_withdraws_after(self):
        """Runners know of waiting work only by bids."""
        found = scenes.scheduler("r1", free=scenes.NONE)
        found.submit(scenes.job("j"), 1, 0.0)
        bids = scenes.bids(found.take_actions())
        self.assertEqual(1000, bids[0][1].demands[0].wanted.cpu_millicores)
        found.cancel("j")
        found.tick(0.1)
        bids = scenes.bids(found.take_actions())
        self.assertEqual((), bids[0][1].demands)


class AdmissionTest(unittest.TestCase):
    def test_rejects_without_a_target(self):
        """A job that nothing can run must not wait for its deadline."""
        rejected = scenes.scheduler().submit(scenes.job("j"), 1, 0.0)
        self.assertEqual("no_target", rejected.reason)

    def test_rejects_what_cannot_start_in_time(self):
        """A held job that is late in the end serves nobody."""
        found = scenes.scheduler("r1", free=scenes.NONE)
        admitted = 0
        for number in range(40):
            result = found.submit(scenes.job(f"j{number}"), 1, 0.0)
            if isinstance(result, jobs.Job):
                admitted += 1
            else:
                self.assertGreater(result.retry_after_s, 0.0)
        # Four slots of 0.4 s start about two jobs in the slack of 0.18 s.
        self.assertGreater(admitted, 0)
        self.assertLess(admitted, 10)

    def test_urgent_job_passes_waiting_ones(self):
        """Urgent work must flow through a flood of other work."""
        found = scenes.scheduler("r1", free=scenes.NONE)
        for number in range(40):
            flood = scenes.job(f"j{number}", declared_s=4.0)
            found.submit(flood, 1, 0.0)
        urgent = found.submit(scenes.job("u", declared_s=0.1), 1, 0.0)
        self.assertIsInstance(urgent, jobs.Job)
        self.assertIs(urgent, found.waiting_jobs[0])

    def test_rejects_a_waiting_job_that_has_become_hopeless(self):
        """What can't be done in time is answered at once, not at its end."""
        found = scenes.scheduler("r1", free=scenes.NONE)
        found.submit(scenes.job("j"), 1, 0.0)
        found.tick(0.2)
        self.assertEqual([], scenes.answers(found.take_actions()))
        found.tick(0.31)
        answer = scenes.answers(found.take_actions())[0]
        self.assertEqual("deadline", answer[1].reason)

    def test_started_job_is_never_said_not_to_have_run(self):
        """A rejection promises that the job has not run."""
        found = scenes.scheduler("r1", free=messages.Room(1000, 8192, 0))
        found.submit(scenes.job("j", tasks=2), 1, 0.0)
        found.tick(5.0)
        self.assertEqual([], scenes.answers(found.take_actions()))


class LostRunnerTest(unittest.TestCase):
    def lost(self):
        """Returns a scheduler whose job's only runner is gone."""
        found = scenes.scheduler("r1", "r2")
        found.submit(scenes.job("j"), 1, 0.0)
        self.name = scenes.sent(found.take_actions())[0][0]
        found.runner_pinged(self.name, 0.0, 1.0)
        found.take_actions()
        found.runner_disconnected(self.name)
        return found

    def test_task_waits_until_its_run_has_certainly_ended(self):
        """A runner that is cut off may go on with the run for a while."""
        found = self.lost()
        found.tick(1.0 + runners.UNCERTAIN_S - 0.01)
        self.assertEqual([], scenes.sent(found.take_actions()))
        found.tick(1.0 + runners.UNCERTAIN_S)
        names = [x[0] for x in scenes.sent(found.take_actions())]
        self.assertEqual([{"r1": "r2", "r2": "r1"}[self.name]], names)

    def test_same_incarnation_settles_the_matter(self):
        """After a reset connection the run may simply go on."""
        found = self.lost()
        held = (messages.RunRef("j.0.0.0", 1),)
        scenes.join(found, self.name, now_s=1.1, held=held)
        found.tick(5.0)
        self.assertEqual([], scenes.sent(found.take_actions()))

    def test_run_that_is_not_held_is_placed_at_once(self):
        """An order that was lost with the stream never starts."""
        found = self.lost()
        found.runner_joined(self.name, "i1", "d1", 1.1)
        found.reconcile_runs(self.name, messages.ActiveRuns(()), 1.1)
        self.assertEqual(1, len(scenes.sent(found.take_actions())))

    def test_new_incarnation_settles_nothing(self):
        """Orders of a killed runner may still be carried out."""
        found = self.lost()
        found.runner_joined(self.name, "i2", "d1", 1.1)
        found.reconcile_runs(self.name, messages.ActiveRuns(()), 1.1)
        self.assertEqual([], scenes.sent(found.take_actions()))
        found.tick(1.0 + runners.UNCERTAIN_S)
        self.assertEqual(1, len(scenes.sent(found.take_actions())))

    def test_unknown_runs_are_stopped(self):
        """A runner may hold runs of a job that was cancelled meanwhile."""
        found = self.lost()
        found.cancel("j")
        found.take_actions()
        found.runner_joined(self.name, "i1", "d1", 1.1)
        held = (messages.RunRef("j.0.0.0", 1),)
        found.reconcile_runs(self.name, messages.ActiveRuns(held), 1.1)
        self.assertEqual(
            [(self.name, "j.0.0.0", 1)],
            scenes.stopped(found.take_actions()),
        )


if __name__ == "__main__":
    unittest.main()
