"""Tests that the configuration in force never reverts."""

import unittest

import hypothesis
from hypothesis import strategies as st

from trefoilgw.rollout import core as rollout


class RolloutTest(unittest.TestCase):
    @hypothesis.given(st.lists(st.integers(-1, 9)))
    def test_never_reverts(self, revisions):
        """Old revisions that arrive late must be ignored.

        They come from peers, agents and old watches.
        """
        state = rollout.Rollout()
        for revision in revisions:
            before = state.revision
            answer = state.offer(revision, b"%d" % revision)
            highest = max(before, revision, 0)
            self.assertEqual(highest, state.revision)
            accepted = isinstance(answer, rollout.Accept)
            self.assertEqual(revision > before, accepted)
            if highest:
                self.assertEqual(b"%d" % highest, state.document)
        self.assertEqual(0, state.conflicts)

    def test_draft_is_ignored(self):
        state = rollout.Rollout()
        self.assertEqual(rollout.Ignore(0), state.offer(0, b"draft"))

    def test_conflicting_document_is_ignored(self):
        """A second document of a revision must be counted and not accepted."""
        state = rollout.Rollout()
        self.assertEqual(rollout.Accept(3, b"a", 0), state.offer(3, b"a"))
        self.assertEqual(rollout.Ignore(3), state.offer(3, b"a"))
        self.assertEqual(rollout.Ignore(3, True), state.offer(3, b"b"))
        self.assertEqual((b"a", 1), (state.document, state.conflicts))

    def test_comparison_with_another_process(self):
        state = rollout.Rollout()
        state.offer(3, b"a")
        cases = {2: (False, True), 3: (False, False), 4: (True, False)}
        for other, expected in cases.items():
            found = (state.is_behind(other), state.is_ahead(other))
            self.assertEqual(expected, found)


if __name__ == "__main__":
    unittest.main()
