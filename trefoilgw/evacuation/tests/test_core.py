"""Tests of the set of evacuated domains at one process."""

import itertools
import unittest

from trefoilgw.evacuation import core as evacuation

A, B = "zone-a", "zone-b"


def change(domain, evacuated, revision):
    return evacuation.DomainChange(domain, evacuated, revision)


class EvacuatedDomainsTest(unittest.TestCase):
    def test_higher_revision_applies(self):
        """A set that arrives late would undo what the operators wrote last."""
        domains = evacuation.EvacuatedDomains()
        self.assertFalse(domains.known)
        adopted = domains.offer(7, {A})
        self.assertEqual(
            evacuation.Adopted(7, frozenset({A}), frozenset()), adopted
        )
        for revision in (6, 7):
            self.assertEqual(
                evacuation.Ignored(7), domains.offer(revision, {B})
            )
        self.assertEqual({A}, domains.domains)
        adopted = domains.offer(8, {B})
        self.assertEqual(
            evacuation.Adopted(8, frozenset({B}), frozenset({A})), adopted
        )

    def test_empty_set_is_known(self):
        """A scheduler that waits for an evacuation would never serve."""
        domains = evacuation.EvacuatedDomains()
        self.assertEqual(
            evacuation.Adopted(1, frozenset(), frozenset()),
            domains.offer(1, ()),
        )
        self.assertTrue(domains.known)

    def test_changes_apply_in_order_of_revision(self):
        """A removal that is read first must not lose to its earlier write."""
        changes = (
            change(A, True, 3),
            change(B, True, 4),
            change(A, False, 5),
        )
        for order in itertools.permutations(changes):
            domains = evacuation.EvacuatedDomains()
            domains.offer(2, ())
            domains.apply(order)
            self.assertEqual((5, {B}), (domains.revision, domains.domains))

    def test_changes_that_are_part_of_the_set_are_skipped(self):
        """A watch lags behind a set that a peer has pushed meanwhile."""
        domains = evacuation.EvacuatedDomains()
        domains.offer(6, {B})
        adopted = domains.apply(
            (change(A, True, 4), change(A, False, 5), change(A, True, 7))
        )
        self.assertEqual(
            evacuation.Adopted(7, frozenset({A}), frozenset()), adopted
        )
        self.assertEqual({A, B}, domains.domains)
        self.assertEqual(
            evacuation.Ignored(7), domains.apply((change(B, False, 7),))
        )
        self.assertEqual(evacuation.Ignored(7), domains.apply(()))

    def test_changes_of_one_revision_apply_together(self):
        """One write of the operators may name several domains."""
        domains = evacuation.EvacuatedDomains()
        domains.offer(1, ())
        domains.apply((change(A, True, 2), change(B, True, 2)))
        self.assertEqual({A, B}, domains.domains)


if __name__ == "__main__":
    unittest.main()
