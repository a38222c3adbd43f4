"""Tests of the start marks."""

import unittest

import hypothesis
from hypothesis import strategies

from trefoilgw.ledger import marks

STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["add", "discard", "expire"]),
        strategies.integers(0, 20),
        strategies.floats(0.0, 200.0),
    ),
    max_size=60,
)


class MarksTest(unittest.TestCase):
    @hypothesis.given(STEPS)
    def test_marks_stay_for_the_retention(self, steps):
        """A mark dropped too early would allow a second start."""
        start_marks = marks.StartMarks()
        added: dict[int, float] = {}
        now_s = 0.0
        for step, mark, wait_s in steps:
            now_s += wait_s
            if step == "add":
                start_marks.add(mark, now_s)
                added[mark] = now_s
            elif step == "discard":
                start_marks.discard(mark)
                added.pop(mark, None)
                self.assertNotIn(mark, start_marks)
            else:
                start_marks.expire(now_s)
            for other, since_s in added.items():
                if now_s - since_s < marks.RETENTION_S:
                    self.assertIn(other, start_marks)

    def test_expired_generations_are_dropped(self):
        """Marks that never expire would fill the agent's memory."""
        start_marks = marks.StartMarks()
        start_marks.add(1, 0.0)
        self.assertFalse(start_marks.expire(marks.GENERATION_S))
        self.assertEqual(1, len(start_marks))
        end_s = marks.GENERATION_S + marks.RETENTION_S
        self.assertTrue(start_marks.expire(end_s))
        self.assertEqual(0, len(start_marks))

    def test_marks_of_different_tasks_differ(self):
        """Index and job must be delimited in the hashed text."""
        names = [("1/a", 1), ("a", 1), ("a", 11), ("/a", 1), ("a/1", 1)]
        self.assertEqual(
            len(names), len({marks.start_mark(*name) for name in names})
        )


if __name__ == "__main__":
    unittest.main()
