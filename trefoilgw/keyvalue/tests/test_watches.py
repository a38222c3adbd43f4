"""Tests of a watch against the stand-in for the service."""

import unittest

from eventlet import queue

from tools.standins import kv
from tools.standins import kv_store
from trefoilgw import keyvalue
from trefoilgw.keyvalue import watches

TIMEOUT_S = 60.0


class WatchTest(unittest.TestCase):
    def setUp(self):
        self.server = kv.Server()
        self.client = keyvalue.Client(self.server.serve(), TIMEOUT_S)
        self.addCleanup(self.server.close)
        self.addCleanup(self.client.close)
        self.events = queue.Queue()
        self.lost = queue.Queue()

    def watch(self, start_revision=0):
        watch = self.client.watch(
            "/t/", self.events.put, self.lost.put, start_revision
        )
        self.addCleanup(watch.cancel)
        return watch

    def next_event(self):
        return self.events.get(timeout=TIMEOUT_S)

    def test_events_from_a_start_revision(self):
        """A change between a read and the watch must not be missed."""
        start = self.server.store.revision + 1
        self.client.put(keyvalue.Put("/t/a", b"1"))
        self.client.put(keyvalue.Put("/u", b"outside the prefix"))
        self.watch(start)
        first = self.next_event()
        self.assertEqual(("/t/a", b"1"), (first.value.key, first.value.data))
        self.client.txn(
            [], [keyvalue.Delete("/t/a"), keyvalue.Put("/t/b", b"")]
        )
        deleted = self.next_event()
        self.assertEqual(watches.Deleted("/t/a", start + 2), deleted)
        self.assertEqual("/t/b", self.next_event().value.key)

    def test_large_event(self):
        self.watch(self.server.store.revision + 1)
        data = b"x" * kv_store.MAX_VALUE_BYTES
        self.client.put(keyvalue.Put("/t/a", data))
        self.assertEqual(data, self.next_event().value.data)

    def test_failing_callback_does_not_end_the_watch(self):
        seen = queue.Queue()

        def fail(event):
            seen.put(event)
            raise RuntimeError("expected in this test")

        watch = self.client.watch(
            "/t/", fail, self.lost.put, self.server.store.revision + 1
        )
        self.addCleanup(watch.cancel)
        with self.assertLogs("trefoilgw.keyvalue.watches", "ERROR"):
            for name in ("a", "b"):
                self.client.put(keyvalue.Put(f"/t/{name}", b""))
                seen.get(timeout=TIMEOUT_S)

    def test_lost_watches(self):
        """A watch that ends silently would freeze the configuration."""

        def disconnected():
            self.watch(self.server.store.revision + 1)
            self.client.put(keyvalue.Put("/t/a", b""))
            self.next_event()
            self.server.set_switches(down=True)

        def compacted():
            self.server.store.compacted = self.server.store.revision
            self.watch(1)

        def rejected():
            self.server.set_switches(reads_s=0.5)
            self.watch()

        def closed():
            self.server.close()
            self.watch()

        for start in (disconnected, compacted, rejected, closed):
            with self.subTest(start.__name__):
                start()
                self.assertTrue(self.lost.get(timeout=TIMEOUT_S))
                self.server.set_switches()

    def test_unconfirmed_watch_is_lost(self):
        """A service that never responds must not block a watch forever."""
        self.server.set_switches(slow_s=3600.0)
        self.client.timeout_s = 0.05
        self.watch()
        self.assertTrue(self.lost.get(timeout=TIMEOUT_S))

    def test_cancel_inside_a_callback(self):
        """The registry restarts its watch from a callback."""
        done = queue.Queue()

        def cancel(event):
            holder[0].cancel()
            done.put(event)

        holder = [
            self.client.watch(
                "/t/", cancel, self.lost.put, self.server.store.revision + 1
            )
        ]
        self.client.put(keyvalue.Put("/t/a", b""))
        done.get(timeout=TIMEOUT_S)
        holder[0]._thread.wait()
        self.assertTrue(self.lost.empty())


if __name__ == "__main__":
    unittest.main()
