"""Tests that credits never exceed the slots and are shared evenly."""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.slots import actions
from trefoilgw.slots import credits
from trefoilgw.slots.tests import fixtures
from trefoilgw.slots.tests.fixtures import A
from trefoilgw.slots.tests.fixtures import B
from trefoilgw.slots.tests.fixtures import batch
from trefoilgw.slots.tests.fixtures import finish
from trefoilgw.slots.tests.fixtures import make_connected_slots
from trefoilgw.slots.tests.fixtures import run
from trefoilgw.slots.tests.fixtures import started
from trefoilgw.slots.tests.fixtures import summarize

C = "c" * 16
ENTRIES = (A, B, C)


class ShareTest(unittest.TestCase):
    def test_shares_are_even(self):
        """The entry that connects first must not be granted every slot."""
        cases = {(A,): [8], (A, B): [4, 4], ENTRIES: [2, 3, 3]}
        for entries, expected in cases.items():
            with self.subTest(len(entries)):
                slots = make_connected_slots(*entries)
                held = sorted(slots.held(entry) for entry in entries)
                self.assertEqual(expected, held)

    def test_remainder_differs_among_agents(self):
        """No entry may get the larger share of every agent."""
        first = set()
        for number in range(40):
            book = credits.CreditBook(f"{number:016x}", 8)
            for entry in ENTRIES:
                book.connect(entry)
            smaller = [e for e in ENTRIES if book.share(e) == 2]
            first.update(smaller)
        self.assertEqual(set(ENTRIES), first)

    def test_share_of_a_missing_entry_is_reserved_for_a_time(self):
        """A restarted entry needs credits; those of a lost one must be used."""
        slots = fixtures.make_slots()
        slots.set_expected_entries((A, B), 0.0)
        fixtures.connect(slots, A)
        self.assertEqual([], summarize(slots.tick(1.0)))
        self.assertEqual(4, slots.held(A))
        self.assertEqual(
            [("a", 4)], summarize(slots.tick(credits.RESERVATION_S))
        )
        self.assertEqual([], summarize(fixtures.connect(slots, B, now_s=4.0)))

    def test_late_entry_gets_its_share_from_answers(self):
        """An entry that connects to a busy agent must get its share."""
        slots = make_connected_slots(A)
        run(slots, batch(specs=fixtures.tasks(6), concurrency=6))
        fixtures.connect(slots, B)
        for index in range(5):
            finish(slots, index)
        answer, grant = summarize(finish(slots, 5))
        self.assertEqual(2, answer[2])
        self.assertEqual(("b", 4), grant)
        self.assertEqual([4, 4], [slots.held(A), slots.held(B)])

    def test_credits_of_a_lost_entry_go_to_the_others(self):
        """Slots must not stay unused when an entry terminates."""
        slots = make_connected_slots(A, B)
        self.assertEqual([], summarize(slots.disconnect(A, 1.0)))
        emitted = slots.tick(1.0 + credits.RESERVATION_S)
        self.assertEqual([("b", 4)], summarize(emitted))

    def test_leaving_entry_is_granted_no_credits(self):
        """Credits sent to a leaving entry would stay unused."""
        slots = make_connected_slots(A, B)
        run(slots, batch(specs=fixtures.tasks(1)))
        slots.entry_leaving(A)
        answer, grant = summarize(finish(slots, 0))
        self.assertEqual(0, answer[2])
        self.assertEqual(("b", 2), grant)
        emitted = slots.credits_returned(A, 2, 1.0)
        self.assertEqual([("b", 2)], summarize(emitted))

    def test_returned_credits_are_not_regranted_at_once(self):
        """Credits must not go back to the entry that has just returned them."""
        slots = make_connected_slots(A)
        self.assertEqual((), slots.credits_returned(A, 3, 1.0))
        self.assertEqual(5, slots.held(A))
        self.assertEqual(
            [("a", 3)], summarize(slots.tick(1.0 + credits.REGRANT_DELAY_S))
        )
        self.assertEqual((), slots.credits_returned(A, -5, 9.0))
        self.assertEqual((), slots.credits_returned(C, 5, 9.0))


class LendingTest(unittest.TestCase):
    def test_borrower_uses_the_lenders_credits(self):
        """A lent credit must leave the lender and go back to its user."""
        slots = make_connected_slots(A, B)
        message = batch(specs=fixtures.tasks(1), concurrency=3, lender=A)
        self.assertEqual([0], started(run(slots, message, entry=B)))
        self.assertEqual([1, 4], [slots.held(A), slots.held(B)])
        (answer,) = summarize(finish(slots, 0, entry=B))
        self.assertEqual(3, answer[2])
        self.assertEqual([1, 7], [slots.held(A), slots.held(B)])

    def test_credits_of_a_disconnected_lender_are_refused(self):
        """Credits granted to another entry must not be used a second time."""
        slots = make_connected_slots(A, B, slots=4)
        slots.disconnect(A, 1.0)
        slots.tick(1.0 + credits.RESERVATION_S)
        slots.ledger.lease_renewed(B, 1, 4.0)
        message = batch(specs=fixtures.tasks(1), lender=A)
        (answer,) = summarize(run(slots, message, entry=B, now_s=4.0))
        self.assertEqual((1, {0: "not_run no_slot"}, 0, True), answer)
        self.assertEqual(4, slots.held(B))

    def test_batch_runs_on_fewer_credits_than_were_lent(self):
        """A shortage at the lender must reduce the batch, not overcommit."""
        slots = make_connected_slots(A, B)
        run(slots, batch(specs=fixtures.tasks(3), concurrency=3))
        message = batch(2, specs=fixtures.tasks(3), concurrency=3, lender=A)
        self.assertEqual([0], started(run(slots, message, entry=B)))


class EarlyReturnTest(unittest.TestCase):
    def test_idle_credits_are_returned_early(self):
        """Idle credits must reach waiting tasks without many messages."""
        cases = {"alone": (False, []), "newer batch": (True, [("a", 2)])}
        for name, (has_newer_batch, expected) in cases.items():
            with self.subTest(name):
                slots = make_connected_slots(A)
                specs = fixtures.tasks(4)
                run(slots, batch(specs=specs, concurrency=4))
                if has_newer_batch:
                    run(slots, batch(2, specs=fixtures.tasks(2)))
                self.assertEqual([], summarize(finish(slots, 0)))
                self.assertEqual(expected, summarize(finish(slots, 1)))

    def test_idle_credits_are_returned_with_other_answers(self):
        """An answer that is sent anyway must carry idle credits."""
        slots = make_connected_slots(A)
        run(slots, batch(specs=fixtures.tasks(4), concurrency=4))
        run(slots, batch(2, specs=fixtures.tasks(1), concurrency=1))
        finish(slots, 0)
        (answer,) = summarize(finish(slots, 0, number=2))
        self.assertEqual(2, answer[2])


class CreditMachine(stateful.RuleBasedStateMachine):
    """Performs random events and compares the credits with the messages.

    Guards against credits that exceed the slots, a task that starts twice, a
    task that starts although it was reported as not run, and lost credits.

    Attributes:
        counted: Credits by connected entry, computed from the messages alone.
    """

    def __init__(self):
        super().__init__()
        self.slots = fixtures.make_slots(slots=5)
        self.slots.set_expected_entries(ENTRIES, 0.0)
        self.now_s = 0.0
        self.sessions = dict.fromkeys(ENTRIES, 0)
        self.counted = {}
        self.numbers = 0
        self.running = set()
        self.ever_started = set()
        self.not_run = set()
        self.open_batches = {}
        self.left = False

    def perform(self, emitted):
        for action in emitted:
            match action:
                case actions.StartTask(ref=ref, job=job):
                    assert (job, ref.index) not in self.ever_started
                    assert (job, ref.index) not in self.not_run
                    self.ever_started.add((job, ref.index))
                    self.running.add(ref)
                case actions.GrantCredits(entry=entry, credits=count):
                    assert count > 0
                    self.counted[entry] += count
                case actions.SendDone(entry=entry, message=message):
                    self.answered(entry, message)

    def answered(self, entry, message):
        waiting = self.open_batches.get((entry, message.batch), set())
        if entry not in self.counted:
            return
        self.counted[entry] += message.credits
        for item in message.outcomes:
            if item.fate == "not_run":
                assert (message.job, item.index) not in self.ever_started
                self.not_run.add((message.job, item.index))
        reported = {item.index for item in message.outcomes}
        waiting -= reported
        if message.final:
            assert not waiting
            self.open_batches.pop((entry, message.batch), None)

    @stateful.rule(entry=strategies.sampled_from(ENTRIES))
    def connect(self, entry):
        self.sessions[entry] += 1
        session = self.sessions[entry]
        self.counted[entry] = 0
        self.perform(fixtures.connect(self.slots, entry, session, self.now_s))
        refs = tuple(
            messages.BatchRef(number, f"t1.{number}", tuple(sorted(indices)))
            for (home, number), indices in self.open_batches.items()
            if home == entry
        )
        emitted = self.slots.reconcile(entry, session, refs, self.now_s)
        self.perform(emitted)

    @stateful.precondition(lambda self: self.counted)
    @stateful.rule(data=strategies.data())
    def disconnect(self, data):
        entry = data.draw(strategies.sampled_from(sorted(self.counted)))
        del self.counted[entry]
        session = self.sessions[entry]
        self.slots.ledger.session_closed(entry, session)
        self.perform(self.slots.disconnect(entry, self.now_s))

    @stateful.precondition(lambda self: any(self.counted.values()))
    @stateful.rule(
        data=strategies.data(),
        size=strategies.integers(1, 6),
        lent=strategies.booleans(),
        lost=strategies.sampled_from([False, False, True]),
    )
    def dispatch(self, data, size, lent, lost):
        with_credits = sorted(e for e, count in self.counted.items() if count)
        holder = data.draw(strategies.sampled_from(with_credits))
        entry = holder
        if lent:
            entry = data.draw(strategies.sampled_from(sorted(self.counted)))
        count = data.draw(strategies.integers(1, self.counted[holder]))
        self.numbers += 1
        number = self.numbers
        self.open_batches[entry, number] = set(range(size))
        if lost:
            return
        self.counted[holder] -= count
        message = batch(
            number,
            specs=fixtures.tasks(size),
            concurrency=count,
            lender="" if entry == holder else holder,
            deadline_s=data.draw(strategies.sampled_from([1.0, 30.0])),
        )
        session = self.sessions[entry]
        emitted = run(self.slots, message, entry, session, self.now_s)
        self.perform(emitted)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        data=strategies.data(),
        fate=strategies.sampled_from(
            [
                fixtures.DONE,
                outcomes.Failed(outcomes.Reason.TARGET_ERROR),
                outcomes.Unknown(outcomes.Reason.TARGET_UNREACHABLE),
            ]
        ),
    )
    def task_ends(self, data, fate):
        refs = sorted(self.running, key=lambda ref: (ref.batch, ref.index))
        ref = data.draw(strategies.sampled_from(refs))
        self.running.remove(ref)
        self.perform(self.slots.task_finished(ref, fate, self.now_s))

    @stateful.precondition(lambda self: self.open_batches)
    @stateful.rule(data=strategies.data(), size=strategies.integers(0, 6))
    def resize(self, data, size):
        entry, number = data.draw(
            strategies.sampled_from(sorted(self.open_batches))
        )
        if entry not in self.counted:
            return
        open_batch = self.slots.open_batches.get((entry, number))
        taken = 0
        if open_batch and open_batch.queue:
            missing = max(0, size - open_batch.in_use)
            taken = min(missing, self.counted[entry])
        emitted = self.slots.resize(entry, number, size, self.now_s)
        self.counted[entry] -= taken
        self.perform(emitted)

    @stateful.precondition(lambda self: self.open_batches)
    @stateful.rule(data=strategies.data())
    def strike(self, data):
        entry, number = data.draw(
            strategies.sampled_from(sorted(self.open_batches))
        )
        if entry in self.counted:
            reason = outcomes.Reason.CANCELLED
            emitted = self.slots.strike(entry, (number,), reason, self.now_s)
            self.perform(emitted)

    @stateful.precondition(lambda self: any(self.counted.values()))
    @stateful.rule(data=strategies.data())
    def return_credits(self, data):
        with_credits = sorted(e for e, count in self.counted.items() if count)
        entry = data.draw(strategies.sampled_from(with_credits))
        count = data.draw(strategies.integers(1, self.counted[entry]))
        self.counted[entry] -= count
        emitted = self.slots.credits_returned(entry, count, self.now_s)
        self.perform(emitted)

    @stateful.rule(step_s=strategies.sampled_from([0.1, 1.0, 3.5]))
    def wait(self, step_s):
        self.now_s += step_s
        if step_s < 3.0:
            for entry in self.counted:
                session = self.sessions[entry]
                self.slots.ledger.lease_renewed(entry, session, self.now_s)
        self.perform(self.slots.check(self.now_s))
        self.perform(self.slots.tick(self.now_s))

    @stateful.precondition(lambda self: len(self.ever_started) > 10)
    @stateful.rule()
    def leave(self):
        self.left = True
        self.perform(self.slots.leave(self.now_s))

    @stateful.invariant()
    def slots_are_counted_once(self):
        book = self.slots.book
        held = sum(account.held for account in book.accounts.values())
        total = book.free + held + sum(book.used.values())
        assert total == book.total
        assert book.free >= 0
        assert len(self.running) <= sum(book.used.values())

    @stateful.invariant()
    def credits_match_the_agent(self):
        for entry, count in self.counted.items():
            if not self.left:
                assert count == self.slots.held(entry), entry


CreditMachineTest = CreditMachine.TestCase
CreditMachineTest.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)


if __name__ == "__main__":
    unittest.main()
