"""Checks at most one start per task in random histories, and that check."""

import contextlib
import unittest
from unittest import mock

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from trefoilgw.jobs import core as jobs
from trefoilgw.jobs import retention
from trefoilgw.keys import core as keys
from trefoilgw.ledger import core as ledger
from trefoilgw.ledger import marks
from trefoilgw.ledger import sessions
from trefoilgw.outcomes import core as outcomes
from trefoilgw.tests import at_most_once_model as model
from trefoilgw.tests import at_most_once_processes as processes
from trefoilgw.tests import at_most_once_walks as walks

SETTINGS = hypothesis.settings(
    max_examples=30,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=False,
    suppress_health_check=list(hypothesis.HealthCheck),
)
HISTORY_COUNT = 1500
# Violations that follow from a missing guard.
DOUBLE_START = "started twice|reported as not run"
# Reasons of answers and refusals that the histories must have reached.
REQUIRED_REASONS = {
    outcomes.Reason.AGENT_LOST,
    outcomes.Reason.CANCELLED,
    outcomes.Reason.CAPACITY,
    outcomes.Reason.DEADLINE,
    outcomes.Reason.EXPIRED_KEY,
    outcomes.Reason.HOME_PAUSED,
    outcomes.Reason.OVERLOAD,
}
CHOICE = st.integers(0, 7)


class SimulationMachine(stateful.RuleBasedStateMachine):
    """Lets hypothesis choose the steps and shrink a failing history."""

    def __init__(self):
        super().__init__()
        self.simulation = model.Simulation()

    @stateful.rule(
        name=st.sampled_from(model.WEIGHTED_OPERATIONS),
        a=CHOICE,
        b=CHOICE,
        c=CHOICE,
    )
    def step(self, name, a, b, c):
        self.simulation.step(model.WEIGHTED_OPERATIONS.index(name), a, b, c)


class AtMostOnceTest(unittest.TestCase):
    def test_hypothesis_histories(self):
        """No history may start a task twice or give a wrong answer about it."""
        stateful.run_state_machine_as_test(SimulationMachine, settings=SETTINGS)

    def test_seeded_histories(self):
        """The same with more histories, which must use every operation.

        They must also reach every job state and the listed reasons.
        """
        done = set()
        states = set()
        seen = set()
        for seed in range(HISTORY_COUNT):
            simulation = walks.walk(seed)
            done |= {step[0] for step in simulation.history}
            seen |= set(simulation.reason_counts)
            states |= {job.state for _, job in simulation.accepted.values()}
        self.assertEqual(set(model.WEIGHTS), done)
        self.assertEqual(set(jobs.model.State), states)
        self.assertLessEqual(REQUIRED_REASONS, seen)


class MutationTest(unittest.TestCase):
    """Checks that the histories find a violation if a guard is removed."""

    def assert_found(self, *patches, **options):
        """Asserts that the patches cause a violation, and returns its text.

        The same history must pass without the patches.
        """
        with contextlib.ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            with self.assertRaises(processes.ViolationError) as caught:
                walks.walk_all(HISTORY_COUNT, **options)
        history = caught.exception.args[1]
        self.assertIsNone(walks.replay(history, **options))
        return caught.exception.args[0]

    def test_without_session_fence(self):
        """A dispatch in the buffer of an old stream starts a struck task."""
        found = self.assert_found(*_without_session_fence())
        self.assertRegex(found, DOUBLE_START)

    def test_without_session_fence_and_struck_record(self):
        """The same if the ledger doesn't record a batch as never received."""
        found = self.assert_found(
            *_without_session_fence(), _without_struck_record()
        )
        self.assertRegex(found, DOUBLE_START)

    def test_without_start_marks_and_duplicate_check(self):
        """A dispatch that is delivered twice starts its tasks again."""
        found = self.assert_found(
            mock.patch.object(
                ledger.Ledger, "received", _accept_again(ledger.Ledger.received)
            ),
            mock.patch.object(
                marks.StartMarks, "__contains__", lambda *args: False
            ),
        )
        self.assertRegex(found, DOUBLE_START)

    def test_with_retry_of_unknown(self):
        """A home that retries unknown outcomes starts tasks twice."""
        found = self.assert_found(
            mock.patch.object(
                jobs.JobTable,
                "_apply",
                _unknown_as_not_run(jobs.JobTable._apply),
            )
        )
        self.assertRegex(found, DOUBLE_START)

    def test_home_by_current_roster(self):
        """A key that is mapped by the current roster gets a second home."""
        found = self.assert_found(
            mock.patch.object(keys, "home_of", _by_current_roster(keys.home_of))
        )
        self.assertRegex(found, "accepted by two homes")

    def test_records_dropped_early(self):
        """A key whose record was dropped too early is accepted as new."""
        found = self.assert_found(
            mock.patch.object(
                retention.Retention, "is_over", lambda *args: True
            )
        )
        self.assertRegex(found, "accepted twice|started twice")

    def test_without_lease(self):
        """A frozen agent starts tasks after their job was answered."""
        found = self.assert_found(
            mock.patch.object(sessions.Sessions, "authorised", _without_lease)
        )
        self.assertRegex(found, "without a lease")

    def test_without_restart_detection(self):
        """A restarted agent reports tasks that it ran before as not run."""
        fate = outcomes.NotRun(outcomes.Reason.AGENT_LOST)
        found = self.assert_found(
            mock.patch.object(ledger, "EARLIER_PROCESS", fate),
            same_incarnation=True,
        )
        self.assertRegex(found, DOUBLE_START)


def _without_session_fence():
    """Returns patches that accept dispatches and starts of old sessions."""

    def has_lease(self, entry, session, now_s):
        known = self.entries.get(entry)
        return known is not None and now_s < known.lease_until_s

    return (
        mock.patch.object(sessions.Sessions, "current", lambda *args: True),
        mock.patch.object(sessions.Sessions, "authorised", has_lease),
    )


def _without_struck_record():
    """Returns a patch that leaves no record of a struck batch."""
    original = ledger.Ledger._record_struck

    def answer(self, entry, batch, now_s):
        record = original(self, entry, batch, now_s)
        self.records.records.pop((entry, batch), None)
        return record

    return mock.patch.object(ledger.Ledger, "_record_struck", answer)


def _without_lease(self, entry, session, now_s):
    """Replaces `authorised`: ignores whether the lease has expired."""
    return self.current(entry, session)


def _accept_again(original):
    """Returns a `received` that drops an earlier record of the batch."""

    def receive(self, entry, session, batch, job, indices, now_s):
        self.records.records.pop((entry, batch), None)
        return original(self, entry, session, batch, job, indices, now_s)

    return receive


def _unknown_as_not_run(original):
    """Returns an `_apply` that treats unknown outcomes as not run."""

    def apply(self, batch, found, now_s):
        changed = [
            (index, outcomes.NotRun(fate.reason))
            if isinstance(fate, outcomes.Unknown)
            else (index, fate)
            for index, fate in found
        ]
        return original(self, batch, changed, now_s)

    return apply


def _by_current_roster(original):
    """Returns a `home_of` that replaces a key's epoch by the current one."""

    def home(key, roster):
        if isinstance(key, keys.CallerKey):
            key = attrs.evolve(key, epoch=roster.epoch)
        return original(key, roster)

    return home


if __name__ == "__main__":
    unittest.main()
