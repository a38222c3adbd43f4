"""Sequences in which a run was at work after its end was reported.

They were found by, or while writing, the histories of `test_runs_end_once`,
and need several processes. Those of one driver are in
`trefoilgw.runner.tests.test_run_expiry`.
"""

import logging
import unittest

from trefoilgw.tests import run_ends_kernel as kernel
from trefoilgw.tests import run_ends_processes as processes
from trefoilgw.tests import run_ends_walks as walks

SEEDS = range(12)
RUNNERS = (0, 1)


def cut_route(fleet, sender, receiver, duration_s):
    """Holds up all that one host sends to another for a time."""
    fleet.cuts[sender, receiver] = fleet.world.now_s + duration_s


def reset_streams(fleet):
    """Resets all streams for both of their ends."""
    for ends in fleet.streams:
        for end in ends:
            end.reset()


class SequenceTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def play(self, prepare, second_address=False):
        """Plays a sequence with several delays of messages.

        Args:
            prepare: Called with the fleet; lets things happen in it.
            second_address: Whether the scheduler has two addresses.
        """
        for seed in SEEDS:
            world = kernel.World(seed)
            with self.subTest(seed=seed), kernel.active(world):
                fleet = processes.Fleet(world, 1, 2, second_address)
                for target in fleet.targets:
                    target.durations_s = (6.0,)
                prepare(fleet)
                world.run(8.0)

    def test_welcome_that_arrives_late(self):
        """The runs went on after their scheduler had given the runner up.

        All streams are reset at 1.30 s and opened again at once. The welcomes
        arrive 0.3 s later or more. Nothing that the runners send after 1.31 s
        arrives. The scheduler counts the authority from when it sent the
        welcome, the runner from when it read it. Both runners are killed while
        they still have it.
        """

        def prepare(fleet):
            world = fleet.world

            def delay_welcome():
                for runner in RUNNERS:
                    cut_route(fleet, "scheduler0", f"runner{runner}", 0.3)

            def cut():
                for runner in RUNNERS:
                    cut_route(fleet, f"runner{runner}", "scheduler0", 6.0)

            def kill():
                for runner in RUNNERS:
                    fleet.restart_runner(runner, 9.0, False)

            world.after(0.8, lambda: walks.submit(fleet, 0, 1, 0))
            world.after(1.3, lambda: reset_streams(fleet))
            world.after(1.305, delay_welcome)
            world.after(1.31, cut)
            world.after(2.48, kill)

        self.play(prepare)

    def test_order_on_a_replaced_stream(self):
        """It started a run that the scheduler had repeated.

        A runner with two links to one scheduler reads the welcome of the second
        stream, and says that it has no runs, before it reads the order on the
        first one, which the scheduler has closed.
        """

        def prepare(fleet):
            for position in range(20):
                fleet.world.after(
                    0.8 + position * 0.013,
                    lambda: walks.submit(fleet, 0, 1, 0),
                )

        self.play(prepare, second_address=True)

    def test_late_start_at_the_next_life_of_an_instance(self):
        """It started a run that was reported as not run.

        The start gets no answer, its stop is confirmed, and the target starts
        again as the same instance. Its clock begins anew, so that the deadline
        of the start lies ahead when it arrives. The new life reports when it
        begins; a start that arrives before any call to it is not ruled out.
        """

        def prepare(fleet):
            world = fleet.world

            def restart():
                for position in RUNNERS:
                    fleet.restart_target(position, True, reports=True)

            def delay_starts():
                for target in fleet.targets:
                    target.mode, target.mode_calls = "late", ("start",)
                    target.mode_until_s = world.now_s + 0.5

            world.after(0.8, delay_starts)
            world.after(0.81, lambda: walks.submit(fleet, 0, 1, 0))
            world.after(1.4, restart)

        self.play(prepare)

    def test_order_of_a_killed_scheduler_under_a_longer_lease(self):
        """Its run went on after its caller had submitted the job again.

        A runner that was paused reads the order of a scheduler that was killed
        meanwhile, while that scheduler's authority lasts, and is paused again.
        The lease at its target is that of another scheduler's runs and ends
        later. The steps are what remained of history 10187.
        """
        steps = (
            walks.Step(0.1, "stop_runner", 5, 2, 1),
            walks.Step(0.02, "submit", 2, 1, 4),
            walks.Step(0.3, "submit", 4, 1, 3),
            walks.Step(0.0, "stop_runner", 0, 3, 0),
            walks.Step(0.02, "restart_scheduler", 6, 2, 7),
            walks.Step(0.0, "submit", 1, 6, 0),
            walks.Step(0.82, "stop_runner", 4, 7, 1),
        )
        shape = walks.make_history(10187).shape
        for seed in (10187, *SEEDS):
            with self.subTest(seed=seed):
                walks.play(walks.History(seed, shape, steps))


if __name__ == "__main__":
    unittest.main()
