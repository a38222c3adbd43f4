"""Placement by credits."""

import random
import unittest

from trefoilgw import placement
from trefoilgw.messages import core as messages


def fleet(count=11, credits=8, entry="e1", domain="d0", domains=3):
    """Returns a placement with `count` agents of `credits` credits each."""
    place = placement.Placement(random.Random(1), entry, domain)
    for number in range(count):
        agent = f"a{number:02}"
        place.agent_joined(agent, f"d{number % domains}", ("s",), 8)
        place.credits_granted(agent, credits)
    return place


class PlaceTest(unittest.TestCase):
    def test_job_of_310_on_an_idle_fleet(self):
        """More than one batch per agent wastes messages."""
        place = fleet()
        got = place.place("s", 310, 88, (), 0.0)
        self.assertEqual(11, len({item.agent for item in got}))
        self.assertEqual(11, len(got))
        self.assertEqual(310, sum(item.tasks for item in got))
        self.assertEqual({8}, {item.concurrency for item in got})
        self.assertLessEqual(max(item.tasks for item in got), 29)
        self.assertEqual(0, place.free("s"))
        self.assertEqual(88, place.total("s"))

    def test_own_domain_first(self):
        """Every needless hop to another domain costs latency."""
        place = fleet(9)
        got = [place.place("s", 1, 1, (), 0.0)[0] for _ in range(25)]
        near = {item.agent for item in got[:24]}
        self.assertEqual({"a00", "a03", "a06"}, near)
        self.assertNotIn(got[24].agent, near)

    def test_avoided_agents_get_nothing(self):
        """A retry must not go to the agent that just refused."""
        place = fleet(3)
        got = place.place("s", 40, 24, {"a00", "a01"}, 0.0)
        self.assertEqual({"a02"}, {item.agent for item in got})
        self.assertEqual((), place.place("s", 1, 1, {"a00", "a01"}, 0.0))

    def test_no_more_than_granted(self):
        """Spending more credits than granted breaks the fair shares."""
        place = fleet()
        got = place.place("s", 100, 5, (), 0.0)
        self.assertEqual(5, sum(item.concurrency for item in got))
        self.assertEqual(83, place.free("s"))

    def test_unusable_agents(self):
        place = fleet(2)
        place.agent_usable("a00", False)
        self.assertEqual((8, 8), (place.free("s"), place.total("s")))
        place.agent_probation("a00")
        self.assertEqual(9, place.free("s"))
        place.agent_usable("a00", True)
        self.assertEqual(16, place.free("s"))
        place.agent_left("a01")
        self.assertEqual((8, 8), (place.free("s"), place.total("s")))
        self.assertEqual(0, place.free("other"))


class LendingTest(unittest.TestCase):
    def test_credits_pass_with_their_lender(self):
        """The agent must learn from whom it moves the slot."""
        lender = fleet(2, entry="e1")
        borrower = fleet(2, credits=0, entry="e2")
        ask = borrower.ask(0.0, {"e1": 16})
        self.assertEqual(placement.Ask("e1", 8), ask)
        lent = lender.lend(ask.credits)
        self.assertEqual((), borrower.borrowed(lent))
        self.assertEqual((8, 8), (lender.free("s"), borrower.free("s")))
        (got,) = borrower.place("s", 1, 1, (), 0.0)
        self.assertEqual("e1", got.lender)
        borrower.credits_granted(got.agent, 1)
        self.assertEqual(8, borrower.total("s"))

    def test_dead_lender(self):
        """Its agents lend the credits anew; spending them would be refused."""
        place = fleet(1, credits=2, entry="e2")
        place.borrowed((messages.LentCredits("a00", "e1", 3),))
        self.assertEqual(5, place.free("s"))
        place.entry_left("e1")
        self.assertEqual(2, place.free("s"))

    def test_unknown_agent_goes_back(self):
        """A credit that nobody can spend is lost to the fleet."""
        place = fleet(1, entry="e2")
        item = messages.LentCredits("zz", "e1", 3)
        self.assertEqual((item,), place.borrowed((item,)))

    def test_empty_answer_silences_the_peer(self):
        """Asking a peer without credits again and again wastes messages."""
        place = fleet(1, credits=0, entry="e2")
        self.assertIsNotNone(place.ask(0.0, {"e1": 9}))
        self.assertIsNone(place.ask(0.001, {"e1": 9, "e3": 9}))
        place.borrowed(())
        self.assertIsNone(place.ask(0.002, {"e1": 9}))
        self.assertIsNotNone(place.ask(0.03, {"e1": 9}))


if __name__ == "__main__":
    unittest.main()
