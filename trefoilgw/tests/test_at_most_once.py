"""At most one start per task under random histories, and tests of that test."""

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
from trefoilgw.tests import at_most_once_walks as walks
from trefoilgw.tests import at_most_once_world as worlds

SETTINGS = hypothesis.settings(
    max_examples=30,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=False,
    suppress_health_check=list(hypothesis.HealthCheck),
)
WALKS = 1500
# What the callers see if a guard is missing.
TWICE = "started twice|said not to run|said not run"
# Ends and refusals that histories must have reached.
REASONS = {
    outcomes.Reason.AGENT_LOST,
    outcomes.Reason.CANCELLED,
    outcomes.Reason.CAPACITY,
    outcomes.Reason.DEADLINE,
    outcomes.Reason.EXPIRED_KEY,
    outcomes.Reason.HOME_PAUSED,
    outcomes.Reason.OVERLOAD,
}
CHOICE = st.integers(0, 7)


class Machine(stateful.RuleBasedStateMachine):
    """Lets hypothesis choose the steps and shorten what it finds."""

    def __init__(self):
        super().__init__()
        self.world = model.World()

    @stateful.rule(
        name=st.sampled_from(model.ORDER), a=CHOICE, b=CHOICE, c=CHOICE
    )
    def step(self, name, a, b, c):
        self.world.step(model.ORDER.index(name), a, b, c)


class AtMostOnceTest(unittest.TestCase):
    def test_drawn_histories(self):
        """No history may start a task twice or lie about it."""
        stateful.run_state_machine_as_test(Machine, settings=SETTINGS)

    def test_seeded_histories(self):
        """The same in volume; every operation must have had work to do."""
        done = set()
        states = set()
        seen = set()
        for seed in range(WALKS):
            world = walks.walk(seed)
            done |= {step[0] for step in world.history}
            seen |= set(world.seen)
            states |= {job.state for _, job in world.accepted.values()}
        self.assertEqual(set(model.WEIGHTS), done)
        self.assertEqual(set(jobs.model.State), states)
        self.assertLessEqual(REASONS, seen)


class MutationTest(unittest.TestCase):
    """Guards against a property test that would pass without the guards."""

    def assert_found(self, *patches, **options):
        """Finds a violation that is gone once the patches are."""
        with contextlib.ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            with self.assertRaises(worlds.ViolationError) as caught:
                walks.walk_all(WALKS, **options)
        history = caught.exception.args[1]
        self.assertIsNone(walks.replay(history, **options))
        return caught.exception.args[0]

    def test_without_session_fence(self):
        """A dispatch left in an old stream's buffer starts a struck task."""
        found = self.assert_found(*_without_fence())
        self.assertRegex(found, TWICE)

    def test_without_session_fence_and_struck_record(self):
        """The same, if "never received" is not written to the ledger."""
        found = self.assert_found(*_without_fence(), _without_struck_record())
        self.assertRegex(found, TWICE)

    def test_without_start_marks_and_duplicate_check(self):
        """A doubled dispatch starts its tasks again."""
        found = self.assert_found(
            mock.patch.object(
                ledger.Ledger, "received", _accept_again(ledger.Ledger.received)
            ),
            mock.patch.object(
                marks.StartMarks, "__contains__", lambda *args: False
            ),
        )
        self.assertRegex(found, TWICE)

    def test_with_retry_of_unknown(self):
        """A home that sends again what it does not know starts it twice."""
        found = self.assert_found(
            mock.patch.object(
                jobs.JobTable, "_apply", _as_not_run(jobs.JobTable._apply)
            )
        )
        self.assertRegex(found, TWICE)

    def test_home_by_current_roster(self):
        """A key that moves with the roster gets a second home."""
        found = self.assert_found(
            mock.patch.object(keys, "home_of", _by_current_roster(keys.home_of))
        )
        self.assertRegex(found, "accepted by two homes")

    def test_records_dropped_early(self):
        """A key whose record has gone is accepted as new."""
        found = self.assert_found(
            mock.patch.object(
                retention.Retention, "is_over", lambda *args: True
            )
        )
        self.assertRegex(found, "accepted twice|started twice")

    def test_without_lease(self):
        """A frozen agent starts tasks after their job was given up."""
        found = self.assert_found(
            mock.patch.object(sessions.Sessions, "authorised", _without_lease)
        )
        self.assertRegex(found, "without a lease")

    def test_without_memory_of_the_restart(self):
        """A restarted agent says "not run" for what it ran before."""
        fate = outcomes.NotRun(outcomes.Reason.AGENT_LOST)
        found = self.assert_found(
            mock.patch.object(ledger, "EARLIER_PROCESS", fate),
            same_incarnation=True,
        )
        self.assertRegex(found, TWICE)


def _without_fence():
    """Returns patches that let older sessions dispatch and start."""

    def lease_only(self, entry, session, now_s):
        known = self.entries.get(entry)
        return known is not None and now_s < known.lease_until_s

    return (
        mock.patch.object(sessions.Sessions, "current", lambda *args: True),
        mock.patch.object(sessions.Sessions, "authorised", lease_only),
    )


def _without_struck_record():
    """Returns a patch by which a struck batch leaves no record."""
    original = ledger.Ledger._record_struck

    def answer(self, entry, batch, now_s):
        record = original(self, entry, batch, now_s)
        self.records.records.pop((entry, batch), None)
        return record

    return mock.patch.object(ledger.Ledger, "_record_struck", answer)


def _without_lease(self, entry, session, now_s):
    """Replaces `authorised`: the newest session, however old its lease."""
    return self.current(entry, session)


def _accept_again(original):
    """Returns `received` that forgets an earlier record of the batch."""

    def receive(self, entry, session, batch, job, indices, now_s):
        self.records.records.pop((entry, batch), None)
        return original(self, entry, session, batch, job, indices, now_s)

    return receive


def _as_not_run(original):
    """Returns `_apply` that takes unknown fates for not run."""

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
    """Returns `home_of` that ignores the epoch in the key."""

    def home(key, roster):
        if isinstance(key, keys.CallerKey):
            key = attrs.evolve(key, epoch=roster.epoch)
        return original(key, roster)

    return home


if __name__ == "__main__":
    unittest.main()
