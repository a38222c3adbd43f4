"""Contract of the start marks."""

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
        """A mark dropped early would allow a second start."""
        kept = marks.StartMarks()
        added: dict[int, float] = {}
        now_s = 0.0
        for step, mark, wait_s in steps:
            now_s += wait_s
            if step == "add":
                kept.add(mark, now_s)
                added[mark] = now_s
            elif step == "discard":
                kept.discard(mark)
                added.pop(mark, None)
                self.assertNotIn(mark, kept)
            else:
                kept.expire(now_s)
            for other, since_s in added.items():
                if now_s - since_s < marks.RETENTION_S:
                    self.assertIn(other, kept)

    def test_old_generations_go(self):
        """Marks kept for ever would fill the agent's memory."""
        kept = marks.StartMarks()
        kept.add(1, 0.0)
        self.assertFalse(kept.expire(marks.GENERATION_S))
        self.assertEqual(1, len(kept))
        end_s = marks.GENERATION_S + marks.RETENTION_S
        self.assertTrue(kept.expire(end_s))
        self.assertEqual(0, len(kept))

    def test_marks_differ(self):
        """Index and job must not run together in the digest."""
        names = [("1/a", 1), ("a", 1), ("a", 11), ("/a", 1), ("a/1", 1)]
        self.assertEqual(
            len(names), len({marks.mark_of(*name) for name in names})
        )


if __name__ == "__main__":
    unittest.main()
