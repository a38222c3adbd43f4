"""A revision is written once, whatever is lost on the way."""

import datetime
import json
import random
import unittest

import attrs

from tools.standins import kv
from trefoilgw import keyvalue as platform
from trefoilgw import registry
from trefoilgw.cli import audit
from trefoilgw.cli import writes
from trefoilgw.records import core as records

TIMEOUT_S = 60.0
WRITTEN_AT = datetime.datetime(2026, 1, 2, 3, 4, 5, tzinfo=datetime.UTC)


def draft(*services, revision=0):
    document = {
        "revision": revision,
        "customers": [],
        "services": [{"name": name, "schema": 2} for name in services],
        "kinds": [],
    }
    return records.parse_document(json.dumps(document).encode())


class FailingReads(platform.Client):
    """Fails the next reads of a key."""

    failing: str = ""
    left = 0

    def get(self, key):
        if self.left and key.startswith(self.failing):
            self.left -= 1
            return platform.Unavailable("expected in this test", False)
        return super().get(key)


class WriterTest(unittest.TestCase):
    def setUp(self):
        self.server = kv.Server()
        self.client = FailingReads(self.server.serve(), TIMEOUT_S)
        self.addCleanup(self.server.close)
        self.addCleanup(self.client.close)
        self.before_retry = []

    def writer(self, client=None, seed=1):
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
        order = writes.Order(wanted, author, "why")
        return self.writer(seed=seed).write(order, stored)

    def other_operator(self, service="other"):
        """Writes a revision on top of what is stored."""
        client = platform.Client(self.server.address, TIMEOUT_S)
        self.addCleanup(client.close)
        stored = writes.read_stored(client)
        order = writes.Order(draft(service), "Ben", "his reason")
        result = self.writer(client, seed=2).write(order, stored)
        self.assertIsInstance(result, writes.Applied)

    def stored(self):
        return writes.read_stored(self.client)

    def audits(self):
        page = self.client.range(
            platform.Read(registry.AUDIT_PREFIX, prefix=True)
        )
        return [audit.parse_entry(item.data) for item in page.items]

    def test_revision_and_audit(self):
        """The trail must say who, when, why, from what and what changed."""
        self.write(draft("a"))
        result = self.write(draft("a", "b"), author="Ben")
        self.assertEqual((2, 1), (result.revision, result.attempts))
        stored = self.stored().configuration
        entry = self.audits()[1]
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

    def test_lost_answers(self):
        """A repeated write must raise the revision by one only."""
        last = writes.ATTEMPTS - 1
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
                result = self.write(draft(f"s{number}"), seed=number)
                self.assertIsInstance(result, writes.Applied)
                self.assertEqual(attempts, result.attempts)
                self.assertEqual(number + 1, self.stored().revision)
                self.assertEqual(number + 1, len(self.audits()))

    def test_answer_lost_and_overtaken(self):
        """Success must be told although another revision is stored now."""
        self.server.set_switches(lose_answer=1, lose_kinds=("txn",))
        self.before_retry = [self.other_operator]
        result = self.write(draft("mine"))
        self.assertIsInstance(result, writes.Applied)
        self.assertEqual((1, 2), (result.revision, result.newer_revision))
        self.assertEqual(["Ana", "Ben"], [x.author for x in self.audits()])

    def test_lost_race(self):
        """The loser must be told, and nothing of its write may stay."""
        stored = self.stored()
        for revision in (1, 2):
            with self.subTest(revision=revision):
                self.other_operator(f"s{revision}")
                # The first attempt is answered, so the audit is not needed.
                self.client.failing = registry.AUDIT_PREFIX
                self.client.left = 1
                result = self.write(draft("mine"), stored)
                self.client.left = 0
                expected = writes.Raced(
                    0, revision, "Ben", "his reason", WRITTEN_AT.isoformat()
                )
                self.assertEqual(expected, result)
        self.assertEqual(["Ben", "Ben"], [x.author for x in self.audits()])

    def test_request_lost_and_race_lost(self):
        """A retry must not win over the revision that came between."""
        self.server.set_switches(lose_request=1, lose_kinds=("txn",))
        self.before_retry = [self.other_operator, self.other_operator]
        result = self.write(draft("mine"))
        self.assertIsInstance(result, writes.Raced)
        self.assertEqual((0, 1), (result.base_revision, result.revision))

    def test_audit_that_can_not_be_read_leaves_no_wrong_answer(self):
        """Without the audit entry, neither success nor loss is known."""
        for failures, expected in (
            (1, writes.Applied),
            (writes.ATTEMPTS, writes.InDoubt),
        ):
            with self.subTest(failures=failures):
                self.server.set_switches(lose_answer=1, lose_kinds=("txn",))
                self.before_retry = [self.other_operator]
                self.client.failing = registry.AUDIT_PREFIX
                self.client.left = failures
                result = self.write(draft("mine"), seed=failures)
                self.client.left = 0
                self.assertIsInstance(result, expected)

    def test_draft_based_on_an_older_revision(self):
        self.other_operator()
        self.write(draft("a", revision=1))
        result = self.write(draft("b", revision=1))
        self.assertEqual((1, 2), (result.base_revision, result.revision))
        self.assertEqual(2, self.stored().revision)

    def test_nothing_to_change(self):
        self.write(draft("a"))
        self.server.calls.clear()
        self.assertEqual(writes.Unchanged(1), self.write(draft("a")))
        self.assertEqual({"range": 1}, dict(self.server.calls))

    def test_platform_that_does_not_answer(self):
        """An operator must know whether the write may still take effect."""
        stored = self.stored()
        self.server.set_switches(down=True)
        result = self.write(draft("a"), stored)
        self.assertIsInstance(result, writes.InDoubt)
        self.assertIsInstance(self.stored(), writes.NotWritten)
        self.server.set_switches(writes_s=0.5)
        result = self.write(draft("a"), stored)
        self.assertIsInstance(result, writes.NotWritten)
        self.server.set_switches()
        self.assertEqual([], self.audits())

    def test_revisions_go_on_after_the_document_was_lost(self):
        """Processes ignore a revision that is not higher than their own."""
        self.write(draft("a"))
        self.write(draft("b"))
        for case, data in (("gone", None), ("broken", b"{")):
            with self.subTest(case):
                before = self.audits()[-1].revision
                operation = platform.Delete(registry.CONFIG_KEY)
                if data:
                    operation = platform.Put(registry.CONFIG_KEY, data)
                self.client.txn([], [operation])
                result = self.write(draft("c"))
                self.assertEqual(before + 1, result.revision)

    def test_too_large(self):
        names = tuple(f"agent-{number:06}" for number in range(80_000))
        large = attrs.evolve(draft("a"), draining=names)
        (finding,) = self.write(large)
        self.assertEqual("document", finding.place)
        half = attrs.evolve(draft("a"), draining=names[:40_000])
        self.assertIsInstance(self.write(half), writes.Applied)
        (entry,) = self.audits()
        self.assertEqual(40_001, len(entry.changes) + entry.omitted_changes)
        self.assertGreater(entry.omitted_changes, 0)


if __name__ == "__main__":
    unittest.main()
