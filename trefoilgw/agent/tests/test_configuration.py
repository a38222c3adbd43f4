"""What an agent does with configurations."""

import unittest

from trefoilgw.agent import configuration

MAX_BYTES = configuration.MAX_DOCUMENT_BYTES


class ConfigurationTest(unittest.TestCase):
    def test_offers(self):
        """A lower, repeated or oversized document must not come in force."""
        cases = {
            "higher": (6, b"new", 6),
            "lower": (4, b"new", 5),
            "the same revision": (5, b"new", 5),
            "at the limit": (6, b"x" * MAX_BYTES, 6),
            "too large": (6, b"x" * (MAX_BYTES + 1), 5),
        }
        for name, (revision, document, expected) in cases.items():
            with self.subTest(name):
                kept = configuration.Configuration()
                kept.offer(5, b"old")
                kept.offer(revision, document)
                self.assertEqual(expected, kept.revision)
                taken = document if expected == 6 else b"old"
                self.assertEqual(taken, kept.document)

    def test_one_entry_is_asked_at_a_time(self):
        """Four answers of 1 MB would take the agent's memory."""
        kept = configuration.Configuration()
        self.assertTrue(kept.should_request(1, 0.0))
        self.assertFalse(kept.should_request(1, 0.5))
        self.assertTrue(kept.should_request(1, 1.0))
        kept.offer(1, b"document")
        self.assertFalse(kept.should_request(1, 9.0))

    def test_pushes_are_not_repeated_at_once(self):
        """An entry that refuses a document must not get it every second."""
        kept = configuration.Configuration()
        self.assertFalse(kept.should_push("a", 0.0))
        kept.offer(1, b"document")
        self.assertTrue(kept.should_push("a", 0.0))
        self.assertFalse(kept.should_push("a", 1.0))
        self.assertTrue(kept.should_push("b", 1.0))
        self.assertTrue(kept.should_push("a", configuration.PUSH_INTERVAL_S))
        kept.offer(2, b"document")
        self.assertTrue(kept.should_push("a", 10.5))
        kept.forget("a")
        self.assertTrue(kept.should_push("a", 10.6))


if __name__ == "__main__":
    unittest.main()
