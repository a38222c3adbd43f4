"""Tests of the scheduler: answers, placement, admission, lost runners."""

import unittest

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.room.tests import fixtures as room_fixtures
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import core as scheduling
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import planning
from trefoilgw.scheduling import runners
from trefoilgw.scheduling.tests import fixtures
from trefoilgw.work import core as work

DONE = work.Ending.DONE
FAILED = work.Ending.FAILED
NOT_RUN = work.Ending.NOT_RUN
LOST = work.Ending.LOST


class AnswerTest(unittest.TestCase):
    def test_answers_once_all_tasks_are_done(self):
        """A job may not be reported complete while a task is running."""
        scheduler = fixtures.make_scheduler("r1")
        scheduler.submit(fixtures.job("j", tasks=2), 7, 0.0)
        self.assertEqual(
            [("r1", "j.0.0.0", 7), ("r1", "j.0.0.1", 7)],
            fixtures.sent(scheduler.take_actions()),
        )
        taken = fixtures.end_run(scheduler, "r1", "j.0.0.0", 7, DONE)
        self.assertEqual([], fixtures.answers(taken))
        taken = fixtures.end_run(scheduler, "r1", "j.0.0.1", 7, DONE)
        self.assertEqual([("j", actions.Completed())], fixtures.answers(taken))
        self.assertEqual({}, scheduler.admitted)

    def test_fails_only_after_the_allowed_attempts(self):
        """A single failed attempt may be the fault of the target."""
        scheduler = fixtures.make_scheduler("r1", "r2", "r3")
        scheduler.submit(fixtures.job("j"), 1, 0.0)
        for run in (1, 2):
            name, _, number = fixtures.sent(scheduler.take_actions())[0]
            self.assertEqual(run, number)
            scheduler.run_ended(
                name,
                messages.RunEnded("j.0.0.0", run, "failed", "", 0.1),
                0.2,
            )
            self.assertIn("j", scheduler.admitted)
        name = fixtures.sent(scheduler.take_actions())[0][0]
        taken = fixtures.end_run(scheduler, name, "j.0.0.0", 3, FAILED)
        self.assertEqual(
            [("j", actions.Failed("j.0.0.0"))], fixtures.answers(taken)
        )

    def test_failed_task_goes_to_another_target(self):
        """A target that fails every run would use up all attempts."""
        scheduler = fixtures.make_scheduler("r1", "r2")
        scheduler.submit(fixtures.job("j"), 1, 0.0)
        first = fixtures.sent(scheduler.take_actions())[0][0]
        taken = fixtures.end_run(scheduler, first, "j.0.0.0", 1, FAILED)
        self.assertNotEqual(first, fixtures.sent(taken)[0][0])

    def test_failed_job_stops_its_other_runs(self):
        """Runs of a job that has been answered would occupy capacity."""
        queue = fixtures.queue(attempts_limit=1)
        scheduler = fixtures.make_scheduler("r1")
        scheduler.submit(fixtures.job("j", tasks=2, in_queue=queue), 1, 0.0)
        scheduler.take_actions()
        taken = fixtures.end_run(scheduler, "r1", "j.0.0.0", 1, FAILED)
        self.assertEqual([("r1", "j.0.0.1", 1)], fixtures.stopped(taken))

    def test_end_from_another_runner_is_ignored(self):
        """Two attempts of a job may have a number in common.

        Numbers start at the clock of the scheduler that admits the job, which
        may have been set back before its next submission.
        """
        scheduler = fixtures.make_scheduler("r1", "r2")
        scheduler.submit(fixtures.job("j"), 1, 0.0)
        name = fixtures.sent(scheduler.take_actions())[0][0]
        other = {"r1": "r2", "r2": "r1"}[name]
        taken = fixtures.end_run(scheduler, other, "j.0.0.0", 1, LOST)
        self.assertEqual([], fixtures.sent(taken))

    def test_late_end_of_an_earlier_attempt_is_ignored(self):
        """The end of an old attempt must not count for the new one."""
        scheduler = fixtures.make_scheduler("r1")
        scheduler.submit(fixtures.job("j"), 1, 0.0)
        scheduler.take_actions()
        fixtures.end_run(scheduler, "r1", "j.0.0.0", 1, LOST)
        taken = fixtures.end_run(scheduler, "r1", "j.0.0.0", 1, DONE)
        self.assertEqual([], fixtures.answers(taken))

    def test_job_ends_when_its_caller_can_no_longer_be_waiting(self):
        """Its caller was cut off, so that the closed connection was not seen.

        It had submitted the job to another scheduler, and two runs overlapped.
        """
        scheduler = fixtures.make_scheduler("r1")
        spec = attrs.evolve(fixtures.job("j"), caller_wait_s=4.0)
        scheduler.submit(spec, 1, 0.0)
        scheduler.submit(spec, 1, 1.0)
        scheduler.take_actions()
        scheduler.tick(5.0)
        self.assertEqual([], fixtures.answers(scheduler.take_actions()))
        scheduler.tick(5.0 + planning.CALLER_GRACE_S + 0.01)
        taken = scheduler.take_actions()
        self.assertEqual(
            [("j", actions.Unfinished("caller_wait_over"))],
            fixtures.answers(taken),
        )
        self.assertEqual([("r1", "j.0.0.0", 1)], fixtures.stopped(taken))

    def test_cancelled_job_stops_its_runs(self):
        """The caller has gone, so its runs would only occupy capacity."""
        scheduler = fixtures.make_scheduler("r1")
        scheduler.submit(fixtures.job("j"), 1, 0.0)
        scheduler.take_actions()
        self.assertTrue(scheduler.cancel("j"))
        self.assertEqual(
            [("r1", "j.0.0.0", 1)], fixtures.stopped(scheduler.take_actions())
        )
        self.assertFalse(scheduler.cancel("j"))

    def test_resubmission_returns_the_admitted_job(self):
        """A job submitted twice to the same scheduler must not run twice."""
        scheduler = fixtures.make_scheduler("r1")
        scheduler.submit(fixtures.job("j"), 1, 0.0)
        scheduler.take_actions()
        job = scheduler.submit(fixtures.job("j"), 900, 0.1)
        self.assertIsInstance(job, jobs.Job)
        self.assertEqual([], fixtures.sent(scheduler.take_actions()))


class RepeatTest(unittest.TestCase):
    """Each repeat is told once, with the evidence of the earlier run."""

    def end(self, ending, evidence, queue=fixtures.QUEUE):
        """Ends a run of a new job; returns what the scheduler tells of it."""
        scheduler = fixtures.make_scheduler("r1")
        scheduler.submit(fixtures.job("j", in_queue=queue), 1, 0.1)
        scheduler.take_actions()
        taken = fixtures.end_run(
            scheduler, "r1", "j.0.0.0", 1, ending, 0.5, "why", evidence=evidence
        )
        return fixtures.repeats(taken)

    def test_repeat_names_run_runner_target_and_evidence(self):
        """Operators could not tell why a scheduler repeated a task."""
        for ending, evidence in (
            (FAILED, work.Evidence.ENDED),
            (work.Ending.STOPPED, work.Evidence.ENDED),
            (LOST, work.Evidence.LEASE_EXPIRED),
            (LOST, work.Evidence.OTHER_LIFE),
            (LOST, work.Evidence.NONE),
            (NOT_RUN, work.Evidence.NOT_RUN),
        ):
            with self.subTest(ending=ending, evidence=evidence):
                end = jobs.RunEnd(ending, "why", evidence, "i-1", 7)
                self.assertEqual(
                    [actions.Repeated("j.0.0.0", 1, "r1", "i1", end, 0.4)],
                    self.end(ending, evidence),
                )

    def test_task_that_is_not_repeated(self):
        """Such a line would be taken for a second run."""
        last = fixtures.queue(attempts_limit=1)
        self.assertEqual([], self.end(DONE, work.Evidence.ENDED))
        self.assertEqual([], self.end(FAILED, work.Evidence.ENDED, last))

    def test_end_of_an_earlier_attempt(self):
        """The scheduler does not wait for it any longer."""
        scheduler = fixtures.make_scheduler("r1")
        scheduler.submit(fixtures.job("j"), 1, 0.0)
        fixtures.end_run(scheduler, "r1", "j.0.0.0", 1, LOST)
        taken = fixtures.end_run(scheduler, "r1", "j.0.0.0", 1, LOST)
        self.assertEqual([], fixtures.repeats(taken))

    def test_run_ended_returns_the_state_of_the_task(self):
        """Logs and counters depend on whether the end was awaited."""
        scheduler = fixtures.make_scheduler("r1", "r2", "r3")
        job = scheduler.submit(fixtures.job("j", tasks=2), 1, 0.0)

        def runner(name):
            return next(x.runner for x in job.tasks if x.spec.name == name)

        found = [
            scheduler.run_ended(
                runner(task), messages.RunEnded(task, run, ending, "", 0.1), 0.2
            )
            for task, run, ending in (
                ("j.0.0.0", 1, "done"),
                ("j.0.0.0", 1, "done"),
                ("j.0.0.1", 1, "failed"),
                ("j.0.0.1", 2, "lost"),
                ("j.0.0.1", 3, "failed"),
                ("j.0.0.1", 4, "failed"),
            )
        ]
        state = jobs.TaskState
        expected = [
            state.DONE,
            None,
            state.WAITING,
            state.WAITING,
            state.WAITING,
            state.FAILED,
        ]
        self.assertEqual(expected, found)


class PlacementTest(unittest.TestCase):
    def test_refused_task_waits_for_the_next_report(self):
        """Without the wait the task would be sent and refused in a loop."""
        scheduler = fixtures.make_scheduler("r1")
        scheduler.submit(fixtures.job("j"), 1, 0.0)
        scheduler.take_actions()
        taken = fixtures.end_run(
            scheduler, "r1", "j.0.0.0", 1, NOT_RUN, reason="room"
        )
        self.assertEqual([], fixtures.sent(taken))
        scheduler.capacity_reported(
            "r1", fixtures.make_report(starts_received=1), 0.6
        )
        self.assertEqual(
            [("r1", "j.0.0.0", 2)], fixtures.sent(scheduler.take_actions())
        )

    def test_run_numbers_skip_ahead_of_higher_ones(self):
        """A target refuses run numbers below the highest that it has seen."""
        scheduler = fixtures.make_scheduler("r1", "r2")
        scheduler.submit(fixtures.job("j"), 1, 0.0)
        name = fixtures.sent(scheduler.take_actions())[0][0]
        taken = fixtures.end_run(
            scheduler, name, "j.0.0.0", 1, NOT_RUN, reason="old"
        )
        number = fixtures.sent(taken)[0][2]
        self.assertGreater(number, scheduling.RUN_NUMBER_SKIP)

    def test_free_capacity_excludes_unreported_tasks(self):
        """Reports lag behind, so the same capacity could be used twice."""
        scheduler = fixtures.make_scheduler(
            "r1", free=messages.Room(1000, 8192, 0)
        )
        scheduler.submit(fixtures.job("j"), 1, 0.0)
        scheduler.submit(fixtures.job("k"), 1, 0.0)
        self.assertEqual(
            [("r1", "j.0.0.0", 1)], fixtures.sent(scheduler.take_actions())
        )

    def test_suspect_runner_gets_one_probe_with_time_to_spare(self):
        """Without probes the recovery of a target would go unnoticed."""
        scheduler = fixtures.make_scheduler("r1", "r2")
        scheduler.capacity_reported(
            "r1", fixtures.make_report(suspect=True), 0.1
        )
        long_job = fixtures.job("j", tasks=3, declared_s=2.0)
        scheduler.submit(long_job, 1, 0.2)
        names = [x[0] for x in fixtures.sent(scheduler.take_actions())]
        self.assertEqual(1, names.count("r1"))
        scheduler.submit(fixtures.job("k", declared_s=0.1), 1, 5.0)
        self.assertEqual("r2", fixtures.sent(scheduler.take_actions())[0][0])

    def test_offer_goes_to_the_most_urgent_job(self):
        """Bids state urgency, so offers must not be used in arrival order."""
        scheduler = fixtures.make_scheduler("r1", free=fixtures.NO_CAPACITY)
        scheduler.submit(fixtures.job("slow", declared_s=2.0), 1, 0.0)
        scheduler.submit(fixtures.job("fast", declared_s=0.1), 1, 0.0)
        offer = messages.Offer(4, 7, messages.Room(1000, 64, 0))
        scheduler.take_actions()
        scheduler.capacity_offered("r1", offer, 0.01)
        taken = scheduler.take_actions()
        self.assertEqual([("r1", "fast.0.0.0", 1)], fixtures.sent(taken))

    def test_offer_for_urgent_work_is_not_used_for_other_work(self):
        """The runner keeps this capacity free for more urgent work."""
        scheduler = fixtures.make_scheduler("r1", free=fixtures.NO_CAPACITY)
        scheduler.submit(fixtures.job("slow", declared_s=2.0), 1, 0.0)
        scheduler.take_actions()
        offer = messages.Offer(4, 1, messages.Room(1000, 64, 0))
        scheduler.capacity_offered("r1", offer, 0.01)
        self.assertEqual([], fixtures.sent(scheduler.take_actions()))

    def test_headroom_refusal_excludes_equally_urgent_work(self):
        """Each refusal costs a round trip; the runner offers capacity later."""
        scheduler = fixtures.make_scheduler("r1")
        scheduler.submit(fixtures.job("j"), 1, 0.0)
        scheduler.take_actions()
        taken = fixtures.end_run(
            scheduler, "r1", "j.0.0.0", 1, NOT_RUN, 0.01, "headroom"
        )
        self.assertEqual([], fixtures.sent(taken))
        scheduler.submit(fixtures.job("u", declared_s=0.05), 1, 0.02)
        tasks = [x[1] for x in fixtures.sent(scheduler.take_actions())]
        self.assertEqual(["u.0.0.0"], tasks)

    def test_unused_offer_is_declined(self):
        """The reserved capacity would stay idle until the offer expires."""
        scheduler = fixtures.make_scheduler("r1")
        scheduler.capacity_offered(
            "r1", messages.Offer(4, 7, fixtures.CAPACITY), 0.0
        )
        self.assertEqual(
            [actions.SendMessage("r1", messages.StartRuns(4, ()))],
            scheduler.take_actions(),
        )

    def test_declined_offer_is_followed_by_a_bid_for_new_work(self):
        """A runner forgets the bid whose offer is declined."""
        scheduler = fixtures.make_scheduler("r1", free=fixtures.NO_CAPACITY)
        scheduler.submit(fixtures.job("j", millicores=3000), 1, 0.0)
        self.assertEqual(1, len(fixtures.bids(scheduler.take_actions())))
        too_small = messages.Offer(1, 7, messages.Room(1000, 64, 0))
        scheduler.capacity_offered("r1", too_small, 0.01)
        scheduler.take_actions()
        scheduler.tick(0.1)
        bids = fixtures.bids(scheduler.take_actions())
        self.assertEqual(3000, bids[0][1].demands[0].wanted.cpu_millicores)

    def test_bid_is_sent_while_work_waits_and_then_withdrawn(self):
        """Runners learn of waiting work only from bids."""
        scheduler = fixtures.make_scheduler("r1", free=fixtures.NO_CAPACITY)
        scheduler.submit(fixtures.job("j"), 1, 0.0)
        bids = fixtures.bids(scheduler.take_actions())
        self.assertEqual(1000, bids[0][1].demands[0].wanted.cpu_millicores)
        scheduler.cancel("j")
        scheduler.tick(0.1)
        bids = fixtures.bids(scheduler.take_actions())
        self.assertEqual((), bids[0][1].demands)


class AdmissionTest(unittest.TestCase):
    def test_rejects_without_a_target(self):
        """A job that no target can run must not wait for its deadline."""
        rejected = fixtures.make_scheduler().submit(fixtures.job("j"), 1, 0.0)
        self.assertEqual("no_target", rejected.reason)

    def test_rejects_what_cannot_start_in_time(self):
        """An admitted job that ends late has no value."""
        scheduler = fixtures.make_scheduler("r1", free=fixtures.NO_CAPACITY)
        admitted = 0
        for number in range(40):
            result = scheduler.submit(fixtures.job(f"j{number}"), 1, 0.0)
            if isinstance(result, jobs.Job):
                admitted += 1
            else:
                self.assertGreater(result.retry_after_s, 0.0)
        # Four slots with runs of 0.4 s start about two jobs within 0.18 s of
        # slack.
        self.assertGreater(admitted, 0)
        self.assertLess(admitted, 10)

    def test_urgent_job_passes_waiting_ones(self):
        """A flood of less urgent work must not delay urgent work."""
        scheduler = fixtures.make_scheduler("r1", free=fixtures.NO_CAPACITY)
        for number in range(40):
            long_job = fixtures.job(f"j{number}", declared_s=4.0)
            scheduler.submit(long_job, 1, 0.0)
        urgent = scheduler.submit(fixtures.job("u", declared_s=0.1), 1, 0.0)
        self.assertIsInstance(urgent, jobs.Job)
        self.assertIs(urgent, scheduler.waiting_jobs[0])

    def test_rejects_a_waiting_job_that_can_no_longer_be_in_time(self):
        """The caller should hear of it at once, not at its deadline."""
        scheduler = fixtures.make_scheduler("r1", free=fixtures.NO_CAPACITY)
        scheduler.submit(fixtures.job("j"), 1, 0.0)
        scheduler.tick(0.2)
        self.assertEqual([], fixtures.answers(scheduler.take_actions()))
        scheduler.tick(0.31)
        answer = fixtures.answers(scheduler.take_actions())[0]
        self.assertEqual("deadline", answer[1].reason)

    def test_started_job_is_never_rejected(self):
        """A rejection states that no part of the job has run."""
        scheduler = fixtures.make_scheduler(
            "r1", free=messages.Room(1000, 8192, 0)
        )
        scheduler.submit(fixtures.job("j", tasks=2), 1, 0.0)
        scheduler.tick(5.0)
        self.assertEqual([], fixtures.answers(scheduler.take_actions()))


class TooLargeTest(unittest.TestCase):
    def test_task_larger_than_any_target_is_rejected_for_good(self):
        """A Retry-After would make its caller return for ever."""
        scheduler = fixtures.make_scheduler("r1", "r2")
        outcome = scheduler.submit(fixtures.job("j", millicores=10**9), 1, 0.0)
        self.assertEqual("too_large", outcome.reason)
        self.assertIsNone(outcome.retry_after_s)
        self.assertIn("4000", outcome.detail)

    def test_limit_is_remembered_while_targets_are_away(self):
        """Otherwise the job would be told to come back during an outage."""
        scheduler = fixtures.make_scheduler("r1")
        scheduler.runner_disconnected("r1")
        outcome = scheduler.submit(fixtures.job("j", millicores=5000), 1, 9.0)
        self.assertEqual("too_large", outcome.reason)
        outcome = scheduler.submit(fixtures.job("k", millicores=4000), 1, 9.0)
        self.assertEqual("no_target", outcome.reason)


class AuthorityTest(unittest.TestCase):
    def order(self, scheduler, key, now_s):
        """Submits a job and returns the order that starts it."""
        scheduler.submit(fixtures.job(key), 1, now_s)
        (action,) = scheduler.take_actions()
        return action.message

    def make_scheduler(self):
        """Returns a scheduler that was pinged at 0 and ticked until 0.8 s."""
        scheduler = fixtures.make_scheduler("r1")
        scheduler.runner_pinged("r1", 500.0, 0.0)
        for tick in range(5):
            scheduler.tick(0.2 * tick)
        return scheduler

    def test_order_tells_that_the_scheduler_lives(self):
        """A runner seldom pings a scheduler that has no runs there."""
        order = self.order(self.make_scheduler(), "j", 0.9)
        self.assertAlmostEqual(500.9, order.alive_s)

    def test_order_right_after_a_pause_is_stale(self):
        """The callers may have sent their jobs to others meanwhile."""
        scheduler = self.make_scheduler()
        early = self.order(scheduler, "j", 5.0)
        scheduler.tick(5.0)
        late = self.order(scheduler, "k", 5.01)
        scheduler.tick(5.02)
        fresh = self.order(scheduler, "m", 5.03)
        for order, fits in ((early, False), (late, False), (fresh, True)):
            allocator = room_fixtures.make_allocator(room_fixtures.A)
            allocator.start_runs(room_fixtures.A, order, 505.04)
            started = room_fixtures.started_tasks(allocator.take_actions())
            self.assertEqual(fits, bool(started), order)

    def test_ping_answered_right_after_a_pause_renews_nothing(self):
        """An answer to a ping that arrived meanwhile would permit orders."""
        scheduler = self.make_scheduler()
        answers = [scheduler.runner_pinged("r1", 505.0, 5.0)]
        scheduler.tick(5.0)
        answers.append(scheduler.runner_pinged("r1", 505.01, 5.01))
        scheduler.tick(5.02)
        answers.append(scheduler.runner_pinged("r1", 505.03, 5.03))
        self.assertLess(answers[0], 501.0)
        self.assertLess(answers[1], 501.0)
        self.assertEqual(505.03, answers[2])

    def test_slow_host_keeps_its_authority(self):
        """A loop that is late by some tenths of a second is not paused."""
        scheduler = self.make_scheduler()
        self.assertEqual(501.4, scheduler.runner_pinged("r1", 501.4, 1.4))
        self.assertAlmostEqual(501.4, self.order(scheduler, "j", 1.4).alive_s)

    def test_stop_tells_since_when_a_caller_may_have_left(self):
        """A short pause ends no authority, but hides a caller that leaves.

        The run went on until 1.15 s after the stop, and the caller had
        submitted its job again 1.3 s after it had left.
        """
        scheduler = self.make_scheduler()
        self.order(scheduler, "j", 0.8)
        scheduler.cancel("j")
        (stop,) = scheduler.take_actions()
        self.assertAlmostEqual(500.6, stop.message.alive_s)

    def test_lost_runner_counts_from_the_last_order(self):
        """The order extends the time in which the runner may start runs."""
        scheduler = self.make_scheduler()
        self.order(scheduler, "j", 0.9)
        scheduler.runner_disconnected("r1")
        self.assertAlmostEqual(0.9, scheduler.lost_runners["r1", "i1"])

    def test_stale_clock_of_an_earlier_stream_is_not_used(self):
        """The clock of another process may have started anew."""
        scheduler = self.make_scheduler()
        scheduler.runner_disconnected("r1")
        fixtures.connect_runner(scheduler, "r1", now_s=1.0)
        self.assertEqual(0.0, self.order(scheduler, "j", 1.1).alive_s)


class LostRunnerTest(unittest.TestCase):
    def scheduler_without_runner(self):
        """Returns a scheduler that has lost the runner of its only job."""
        scheduler = fixtures.make_scheduler("r1", "r2")
        scheduler.submit(fixtures.job("j"), 1, 0.0)
        self.name = fixtures.sent(scheduler.take_actions())[0][0]
        scheduler.runner_pinged(self.name, 500.0, 1.0)
        scheduler.take_actions()
        scheduler.runner_disconnected(self.name)
        return scheduler

    def test_task_waits_until_its_run_has_certainly_ended(self):
        """A disconnected runner may go on with the run for a while."""
        scheduler = self.scheduler_without_runner()
        scheduler.tick(1.0 + runners.RUN_EXPIRY_S - 0.01)
        self.assertEqual([], fixtures.sent(scheduler.take_actions()))
        with self.assertLogs(scheduling.log) as logged:
            scheduler.tick(1.0 + runners.RUN_EXPIRY_S)
        self.assertEqual(1, logged.records[0].tasks)
        taken = scheduler.take_actions()
        names = [x[0] for x in fixtures.sent(taken)]
        self.assertEqual([{"r1": "r2", "r2": "r1"}[self.name]], names)
        given_up = jobs.RunEnd(
            LOST, "runner_given_up", work.Evidence.LEASE_EXPIRED
        )
        age_s = 1.0 + runners.RUN_EXPIRY_S
        self.assertEqual(
            [actions.Repeated("j.0.0.0", 1, self.name, "i1", given_up, age_s)],
            fixtures.repeats(taken),
        )

    def test_reconnected_runner_keeps_its_run(self):
        """The run goes on after a reset connection and must not be repeated."""
        scheduler = self.scheduler_without_runner()
        active_runs = (messages.RunRef("j.0.0.0", 1),)
        fixtures.connect_runner(
            scheduler, self.name, now_s=1.1, active_runs=active_runs
        )
        scheduler.tick(5.0)
        self.assertEqual([], fixtures.sent(scheduler.take_actions()))

    def test_runner_that_has_connected_again_is_not_given_up(self):
        """Its runs were repeated while they worked on.

        The new stream renews the authority at the runner, and a pause of the
        scheduler may delay the list of active runs.
        """
        scheduler = self.scheduler_without_runner()
        scheduler.runner_connected(self.name, "i1", "d1", 2.0)
        scheduler.tick(1.0 + runners.RUN_EXPIRY_S)
        self.assertEqual([], fixtures.repeats(scheduler.take_actions()))
        scheduler.runner_disconnected(self.name)
        scheduler.tick(2.0 + runners.RUN_EXPIRY_S - 0.01)
        self.assertEqual([], fixtures.repeats(scheduler.take_actions()))
        scheduler.tick(2.0 + runners.RUN_EXPIRY_S)
        self.assertEqual(1, len(fixtures.repeats(scheduler.take_actions())))

    def test_run_missing_at_a_reconnected_runner_is_placed_at_once(self):
        """A start message lost with the stream never starts a run."""
        scheduler = self.scheduler_without_runner()
        scheduler.runner_connected(self.name, "i1", "d1", 1.1)
        scheduler.reconcile_runs(self.name, messages.ActiveRuns(()), 1.1)
        taken = scheduler.take_actions()
        not_received = jobs.RunEnd(
            NOT_RUN, "not_received", work.Evidence.NOT_RUN
        )
        self.assertEqual(
            [
                actions.Repeated(
                    "j.0.0.0", 1, self.name, "i1", not_received, 1.1
                )
            ],
            fixtures.repeats(taken),
        )
        self.assertEqual(1, len(fixtures.sent(taken)))

    def test_new_incarnation_does_not_confirm_the_end_of_old_runs(self):
        """The target may still carry out orders of a killed runner."""
        scheduler = self.scheduler_without_runner()
        scheduler.runner_connected(self.name, "i2", "d1", 1.1)
        scheduler.reconcile_runs(self.name, messages.ActiveRuns(()), 1.1)
        self.assertEqual([], fixtures.sent(scheduler.take_actions()))
        scheduler.tick(1.0 + runners.RUN_EXPIRY_S)
        self.assertEqual(1, len(fixtures.sent(scheduler.take_actions())))

    def test_runner_that_restarts_before_its_stream_is_lost(self):
        """Its tasks waited for ever: nothing gave up the earlier process.

        A host that loses power closes no stream, and the new one replaces it.
        """
        scheduler = fixtures.make_scheduler("r1")
        scheduler.submit(fixtures.job("j"), 1, 0.0)
        scheduler.take_actions()
        fixtures.connect_runner(scheduler, "r1", incarnation="i2", now_s=0.5)
        scheduler.tick(runners.RUN_EXPIRY_S - 0.01)
        self.assertEqual([], fixtures.sent(scheduler.take_actions()))
        scheduler.tick(runners.RUN_EXPIRY_S)
        self.assertEqual(
            [("r1", "j.0.0.0", 2)], fixtures.sent(scheduler.take_actions())
        )

    def test_unknown_runs_are_stopped(self):
        """A runner may have runs of a job canceled while it was away."""
        scheduler = self.scheduler_without_runner()
        scheduler.cancel("j")
        scheduler.take_actions()
        scheduler.runner_connected(self.name, "i1", "d1", 1.1)
        active_runs = (messages.RunRef("j.0.0.0", 1),)
        scheduler.reconcile_runs(
            self.name, messages.ActiveRuns(active_runs), 1.1
        )
        self.assertEqual(
            [(self.name, "j.0.0.0", 1)],
            fixtures.stopped(scheduler.take_actions()),
        )


if __name__ == "__main__":
    unittest.main()
