"""Tests of the retention of the audit trail."""

import unittest

from tools.standins import kv
from trefoilgw import keyvalue
from trefoilgw import registry
from trefoilgw.cli import retention

TIMEOUT_S = 60.0


class PruneTest(unittest.TestCase):
    def setUp(self):
        self.server = kv.Server()
        self.client = keyvalue.Client(self.server.serve(), TIMEOUT_S)
        self.addCleanup(self.server.close)
        self.addCleanup(self.client.close)

    def write_entries(self, count):
        for revision in range(1, count + 1):
            key = registry.audit_key(revision)
            self.client.put(keyvalue.Put(key, b"{}"))
        self.client.put(keyvalue.Put(registry.CONFIG_KEY, b"{}"))

    def read_revisions(self):
        page = self.client.range(
            keyvalue.Read(registry.AUDIT_PREFIX, prefix=True, keys_only=True)
        )
        return [registry.audit_revision(item.key) for item in page.items]

    def test_oldest_entries_are_pruned_up_to_a_limit(self):
        """A long backlog must not be deleted in one huge transaction."""
        self.write_entries(130)
        maximum = retention.MAX_PRUNED_ENTRIES
        for pruned, left in (
            (maximum, 80),
            (maximum, 30),
            (20, 10),
            (0, 10),
        ):
            self.assertEqual(pruned, retention.prune(self.client, 10))
            self.assertEqual(
                list(range(131 - left, 131)), self.read_revisions()
            )
        found = self.client.get(registry.CONFIG_KEY)
        self.assertIsInstance(found, keyvalue.KeyValue)

    def test_failed_pruning_is_left_to_the_next_write(self):
        self.write_entries(5)
        faults = {
            "down": ({"down": True}, 5),
            "request lost": ({"lose_request": 1, "lose_kinds": ("txn",)}, 5),
            "answer lost": ({"lose_answer": 1, "lose_kinds": ("txn",)}, 3),
        }
        for case, (switches, left) in faults.items():
            with self.subTest(case):
                self.server.set_switches(**switches)
                self.assertEqual(0, retention.prune(self.client, 3))
                self.server.set_switches()
                self.assertEqual(left, len(self.read_revisions()))

    def test_short_trail_is_not_pruned(self):
        self.write_entries(5)
        self.server.calls.clear()
        self.assertEqual(0, retention.prune(self.client))
        self.assertEqual({"range": 1}, dict(self.server.calls))
        self.assertEqual(5, len(self.read_revisions()))


if __name__ == "__main__":
    unittest.main()
