"""Tests that a revision is written exactly once if messages are lost."""

import datetime
import json
import random
import unittest

import attrs

from tools.standins import kv
from trefoilgw import keyvalue
from trefoilgw import registry
from trefoilgw.cli import audit
from trefoilgw.cli import writes
from trefoilgw.records import core as records

TIMEOUT_S = 60.0
WRITTEN_AT = datetime.datetime(2026, 1, 2, 3, 4, 5, tzinfo=datetime.UTC)


def make_draft(*services, revision=0):
    document = {
        "revision": revision,
        "customers": [],
        "services": [{"name": name, "schema": 2} for name in services],
        "kinds": [],
    }
    return records.parse_document(json.dumps(document).encode())


class FailingClient(keyvalue.Client):
    """Client that fails the next reads of keys with a prefix."""

    failing_prefix: str = ""
    failures_left = 0

    def get(self, key):
        if self.failures_left and key.startswith(self.failing_prefix):
            self.failures_left -= 1
            return keyvalue.Unavailable("expected in this test", False)
        return super().get(key)


class WriterTest(unittest.TestCase):
    def setUp(self):
        self.server = kv.Server()
        self.client = FailingClient(self.server.serve(), TIMEOUT_S)
        self.addCleanup(self.server.close)
        self.addCleanup(self.client.close)
        self.before_retry = []

    def make_writer(self, client=None, seed=1):
        return writes.Writer(
            client or self.client,
            random.Random(seed),
            self.sleep,
            lambda: WRITTEN_AT,
        )

    def sleep(self, _):
        if self.before_retry:
            self.before_retry.pop(0)()

    def write(self, wanted, stored=None, author="Ana", seed=1):
        stored = stored or writes.read_stored(self.client)
        request = writes.WriteRequest(wanted, author, "why")
        return self.make_writer(seed=seed).write(request, stored)

    def write_as_other_operator(self, service="other"):
        """Writes a revision of another author on top of the stored one."""
        client = keyvalue.Client(self.server.address, TIMEOUT_S)
        self.addCleanup(client.close)
        stored = writes.read_stored(client)
        request = writes.WriteRequest(make_draft(service), "Ben", "his reason")
        result = self.make_writer(client, seed=2).write(request, stored)
        self.assertIsInstance(result, writes.Applied)

    def read_stored(self):
        return writes.read_stored(self.client)

    def read_audit_entries(self):
        page = self.client.range(
            keyvalue.Read(registry.AUDIT_PREFIX, prefix=True)
        )
        return [audit.parse_entry(item.data) for item in page.items]

    def test_write_creates_revision_and_audit_entry(self):
        """The audit trail must tell author, time, reason, base and changes."""
        self.write(make_draft("a"))
        result = self.write(make_draft("a", "b"), author="Ben")
        self.assertEqual((2, 1), (result.revision, result.attempts))
        stored = self.read_stored().configuration
        entry = self.read_audit_entries()[1]
        change = records.Change("services/b", "schema", None, 2)
        expected = audit.AuditEntry(
            2,
            1,
            stored.write_id,
            "Ben",
            "why",
            WRITTEN_AT.isoformat(),
            (change,),
        )
        self.assertEqual(expected, entry)
        fields = (stored.author, stored.reason, stored.written_at)
        self.assertEqual(("Ben", "why", entry.written_at), fields)
        self.assertEqual(32, len(stored.write_id))

    def test_retries_write_one_revision(self):
        """A retried write must increase the revision by one only."""
        last = writes.MAX_ATTEMPTS - 1
        cases = {
            "answer lost": ({"lose_answer": 1}, 2),
            "answers lost": ({"lose_answer": last}, last + 1),
            "request lost": ({"lose_request": 1}, 2),
            "requests lost": ({"lose_request": last}, last + 1),
            "request, then answer": (
                {"lose_request": 1, "lose_answer": 1},
                3,
            ),
        }
        for number, (case, (switches, attempts)) in enumerate(cases.items()):
            with self.subTest(case):
                self.server.set_switches(**switches, lose_kinds=("txn",))
                result = self.write(make_draft(f"s{number}"), seed=number)
                self.assertIsInstance(result, writes.Applied)
                self.assertEqual(attempts, result.attempts)
                self.assertEqual(number + 1, self.read_stored().revision)
                self.assertEqual(number + 1, len(self.read_audit_entries()))

    def test_lost_answer_before_a_newer_revision(self):
        """Success must be reported although a newer revision is stored."""
        self.server.set_switches(lose_answer=1, lose_kinds=("txn",))
        self.before_retry = [self.write_as_other_operator]
        result = self.write(make_draft("mine"))
        self.assertIsInstance(result, writes.Applied)
        self.assertEqual((1, 2), (result.revision, result.newer_revision))
        self.assertEqual(
            ["Ana", "Ben"], [x.author for x in self.read_audit_entries()]
        )

    def test_conflict_with_another_operator(self):
        """The conflict must be reported, and nothing may be written."""
        stored = self.read_stored()
        for revision in (1, 2):
            with self.subTest(revision=revision):
                self.write_as_other_operator(f"s{revision}")
                # The first attempt is answered, so the audit entry is not read.
                self.client.failing_prefix = registry.AUDIT_PREFIX
                self.client.failures_left = 1
                result = self.write(make_draft("mine"), stored)
                self.client.failures_left = 0
                expected = writes.RevisionConflict(
                    0, revision, "Ben", "his reason", WRITTEN_AT.isoformat()
                )
                self.assertEqual(expected, result)
        self.assertEqual(
            ["Ben", "Ben"], [x.author for x in self.read_audit_entries()]
        )

    def test_conflict_after_a_lost_request(self):
        """A retry must not overwrite a revision written in the meantime."""
        self.server.set_switches(lose_request=1, lose_kinds=("txn",))
        self.before_retry = [
            self.write_as_other_operator,
            self.write_as_other_operator,
        ]
        result = self.write(make_draft("mine"))
        self.assertIsInstance(result, writes.RevisionConflict)
        self.assertEqual((0, 1), (result.base_revision, result.revision))

    def test_unreadable_audit_entry_gives_no_false_outcome(self):
        """Without the audit entry, the outcome is unknown."""
        for failures, expected in (
            (1, writes.Applied),
            (writes.MAX_ATTEMPTS, writes.InDoubt),
        ):
            with self.subTest(failures=failures):
                self.server.set_switches(lose_answer=1, lose_kinds=("txn",))
                self.before_retry = [self.write_as_other_operator]
                self.client.failing_prefix = registry.AUDIT_PREFIX
                self.client.failures_left = failures
                result = self.write(make_draft("mine"), seed=failures)
                self.client.failures_left = 0
                self.assertIsInstance(result, expected)

    def test_draft_of_an_older_revision_is_rejected(self):
        self.write_as_other_operator()
        self.write(make_draft("a", revision=1))
        result = self.write(make_draft("b", revision=1))
        self.assertEqual((1, 2), (result.base_revision, result.revision))
        self.assertEqual(2, self.read_stored().revision)

    def test_unchanged_draft_is_not_written(self):
        self.write(make_draft("a"))
        self.server.calls.clear()
        self.assertEqual(writes.Unchanged(1), self.write(make_draft("a")))
        self.assertEqual({"range": 1}, dict(self.server.calls))

    def test_outcome_while_the_platform_is_unavailable(self):
        """Operators must know whether the write may still take effect."""
        stored = self.read_stored()
        self.server.set_switches(down=True)
        result = self.write(make_draft("a"), stored)
        self.assertIsInstance(result, writes.InDoubt)
        self.assertIsInstance(self.read_stored(), writes.NotWritten)
        self.server.set_switches(writes_s=0.5)
        result = self.write(make_draft("a"), stored)
        self.assertIsInstance(result, writes.NotWritten)
        self.server.set_switches()
        self.assertEqual([], self.read_audit_entries())

    def test_revisions_increase_after_loss_of_the_document(self):
        """Processes ignore revisions that are not higher than their own."""
        self.write(make_draft("a"))
        self.write(make_draft("b"))
        for case, data in (("gone", None), ("broken", b"{")):
            with self.subTest(case):
                before = self.read_audit_entries()[-1].revision
                operation = keyvalue.Delete(registry.CONFIG_KEY)
                if data:
                    operation = keyvalue.Put(registry.CONFIG_KEY, data)
                self.client.txn([], [operation])
                result = self.write(make_draft("c"))
                self.assertEqual(before + 1, result.revision)

    def test_too_large_document_and_audit_entry(self):
        names = tuple(f"agent-{number:06}" for number in range(80_000))
        large = attrs.evolve(make_draft("a"), draining=names)
        (finding,) = self.write(large)
        self.assertEqual("document", finding.place)
        half = attrs.evolve(make_draft("a"), draining=names[:40_000])
        self.assertIsInstance(self.write(half), writes.Applied)
        (entry,) = self.read_audit_entries()
        self.assertEqual(40_001, len(entry.changes) + entry.omitted_changes)
        self.assertGreater(entry.omitted_changes, 0)


if __name__ == "__main__":
    unittest.main()
