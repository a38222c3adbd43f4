import unittest

import hypothesis
from hypothesis import strategies

from trefoilgw.keys import core as keys
from trefoilgw.outcomes import core as outcomes

A, B, C = "a" * 16, "b" * 16, "c" * 16
NAMES = strategies.text(
    "abcdefghijklmnopqrstuvwxyzABCXYZ0123456789_.~-", min_size=1, max_size=160
)


class ParseTest(unittest.TestCase):
    def test_faulty_keys(self):
        """A key in neither form must be refused, as it has no home."""
        cases = (
            "",
            "x",
            "t1",
            f"t1.{A}.0",
            f"t1.{A}.0.12345",
            f"t1.{A[:-1]}.0.0123456789abcdef",
            f"t1.{A}.-1.0123456789abcdef",
            f"t1.{A}.0.0123456789ABCDEF",
            f"t2.{A}.0.0123456789abcdef",
            "k1.1.",
            "k1..a",
            "k1.x.a",
            "k1.1.a b",
            "k1.1.a/b",
            "k1.1.a:b",
            "k1.1.a\n",
            "k1.\u0661.a",
            "k1.1." + "a" * 161,
            "k1.1." + "a" * 5000,
        )
        for text in cases:
            with self.subTest(text=text):
                parsed = keys.parse_key(text)
                self.assertIsInstance(parsed, outcomes.Refused)
                self.assertEqual(outcomes.Reason.BAD_REQUEST, parsed.reason)

    @hypothesis.given(strategies.integers(0, 10**11), NAMES)
    def test_caller_key_round_trip(self, epoch, name):
        """A key altered by parsing and formatting would get a second home."""
        text = f"k1.{epoch}.{name}"
        self.assertEqual(text, keys.format_key(keys.parse_key(text)))

    def test_leading_zeros_give_the_same_key(self):
        """Two spellings of an epoch must not stand for two jobs."""
        texts = ("k1.1.a", "k1.01.a")
        self.assertEqual(*[keys.parse_key(text) for text in texts])


class HomeTest(unittest.TestCase):
    def test_roster_change_moves_no_key(self):
        """A job whose key changed its home could start twice."""
        old = keys.RosterView(1, (A, B), {1: (A, B)})
        new = keys.RosterView(2, (B, C), {1: (A, B), 2: (B, C)})
        for number in range(100):
            key = keys.CallerKey(1, f"n{number}")
            self.assertEqual(keys.home_of(key, old), keys.home_of(key, new))

    def test_order_of_the_roster_does_not_matter(self):
        """Entries that list the roster differently must agree on homes."""
        for number in range(50):
            key = keys.CallerKey(1, f"n{number}")
            homes = {
                keys.home_of(key, keys.RosterView(1, entries))
                for entries in ((A, B, C), (C, B, A), (B, A, C))
            }
            self.assertEqual(1, len(homes))

    def test_keys_spread(self):
        """Each entry must become the home of a fair share of the keys."""
        roster = keys.RosterView(1, (A, B, C))
        homes = [
            keys.home_of(keys.CallerKey(1, f"n{number}"), roster)
            for number in range(300)
        ]
        self.assertTrue(all(homes.count(entry) > 60 for entry in (A, B, C)))

    def test_ticket_names_its_home(self):
        """A ticket must work while no roster is known."""
        ticket = keys.Ticket(A, 3, "0" * 16)
        self.assertEqual(A, keys.home_of(ticket, keys.RosterView()))

    def test_unknown_epoch_is_not_reported_as_not_run(self):
        """An entry without the epoch's roster can't know what the home did."""
        roster = keys.RosterView(5, (A,), {4: (B,), 5: (A,)})
        for epoch in (0, 3, 6):
            with self.subTest(epoch=epoch):
                refused = keys.home_of(keys.CallerKey(epoch, "a"), roster)
                self.assertEqual(
                    outcomes.Reason.HOME_UNREACHABLE, refused.reason
                )
                self.assertFalse(refused.not_run)


class TicketWindowsTest(unittest.TestCase):
    def test_windows_expire(self):
        """A ticket must stay valid for two windows after its own."""
        windows = keys.TicketWindows(1000.0)
        cases = (
            # window, seconds after the start, accepted, expired
            (0, 0.0, True, False),
            (0, 299.9, True, False),
            (0, 899.9, True, False),
            (0, 900.0, False, True),
            (1, 0.0, False, False),
            (1, 300.0, True, False),
            (1, 1199.9, True, False),
            (1, 1200.0, False, True),
        )
        for window, after_s, accepted, expired in cases:
            with self.subTest(window=window, after_s=after_s):
                now_s = 1000.0 + after_s
                self.assertEqual(accepted, windows.accepts(window, now_s))
                self.assertEqual(expired, windows.expired(window, now_s))


class AcceptedEpochsTest(unittest.TestCase):
    def test_never_accepts_an_epoch_again(self):
        """An expired epoch must stay refused: its tombstones are deleted."""
        epochs = keys.AcceptedEpochs()
        self.assertFalse(epochs.accepts(1))
        for newest, accepted in (
            (4, range(0, 5)),
            (24, range(1, 25)),
            (25, range(2, 26)),
            (3, range(2, 26)),
        ):
            epochs.record_epoch(newest)
            found = [n for n in range(60) if epochs.accepts(n)]
            self.assertEqual(list(accepted), found)
        self.assertTrue(epochs.expired(1))
        self.assertFalse(epochs.expired(26))

    def test_rolling_restart_expires_no_key(self):
        """Caller-chosen keys must survive a restart of 11 entries.

        Each restarted entry creates two epochs.
        """
        epochs = keys.AcceptedEpochs()
        epochs.record_epoch(100)
        epochs.record_epoch(100 + 2 * 11)
        self.assertTrue(epochs.accepts(100))
        self.assertGreater(keys.EPOCHS_KEPT, keys.EPOCHS_ACCEPTED)
