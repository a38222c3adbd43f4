"""Tests of the configuration that an agent stores."""

import unittest

from trefoilgw.agent import configuration

MAX_BYTES = configuration.MAX_DOCUMENT_BYTES


class ConfigurationTest(unittest.TestCase):
    def test_offered_documents(self):
        """A lower, repeated or oversized document must not come into force."""
        cases = {
            "higher": (6, b"new", 6),
            "lower": (4, b"new", 5),
            "the same revision": (5, b"new", 5),
            "at the limit": (6, b"x" * MAX_BYTES, 6),
            "too large": (6, b"x" * (MAX_BYTES + 1), 5),
        }
        for name, (revision, document, expected) in cases.items():
            with self.subTest(name):
                stored = configuration.Configuration()
                stored.offer(5, b"old")
                stored.offer(revision, document)
                self.assertEqual(expected, stored.revision)
                in_force = document if expected == 6 else b"old"
                self.assertEqual(in_force, stored.document)

    def test_one_entry_is_asked_at_a_time(self):
        """Four replies of 1 MB would exhaust the agent's memory."""
        stored = configuration.Configuration()
        self.assertTrue(stored.should_request(1, 0.0))
        self.assertFalse(stored.should_request(1, 0.5))
        self.assertTrue(stored.should_request(1, 1.0))
        stored.offer(1, b"document")
        self.assertFalse(stored.should_request(1, 9.0))

    def test_pushes_are_rate_limited(self):
        """An entry that refuses a document must not get it every second."""
        stored = configuration.Configuration()
        self.assertFalse(stored.should_push("a", 0.0))
        stored.offer(1, b"document")
        self.assertTrue(stored.should_push("a", 0.0))
        self.assertFalse(stored.should_push("a", 1.0))
        self.assertTrue(stored.should_push("b", 1.0))
        self.assertTrue(stored.should_push("a", configuration.PUSH_INTERVAL_S))
        stored.offer(2, b"document")
        self.assertTrue(stored.should_push("a", 10.5))
        stored.forget("a")
        self.assertTrue(stored.should_push("a", 10.6))


if __name__ == "__main__":
    unittest.main()
