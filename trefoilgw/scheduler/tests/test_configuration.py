import types
import unittest
from unittest import mock

import eventlet

from trefoilgw.keyvalue import values
from trefoilgw.scheduler import configuration


class SourceWithErrors:
    """Fails in an unexpected way before it answers."""

    def __init__(self):
        self.reads = [RuntimeError("unexpected"), (b"1", 7)]

    def read(self):
        answer = self.reads.pop(0) if self.reads else None
        if isinstance(answer, Exception):
            raise answer
        return answer or values.Unavailable("down", False)

    def watch(self, revision, wait_s):
        raise RuntimeError("unexpected")

    def decode(self, document):
        return types.SimpleNamespace(version=int(document))


class ConfigurationWatcherTest(unittest.TestCase):
    def test_unexpected_error_does_not_end_the_watch(self):
        """The process would keep an old configuration for good."""
        watcher = configuration.ConfigurationWatcher(
            SourceWithErrors(), lambda document, version: None
        )
        with (
            mock.patch.object(configuration, "MIN_RETRY_S", 0.001),
            self.assertLogs("trefoilgw.scheduler.configuring", "ERROR"),
            eventlet.Timeout(1.0, False),
        ):
            watcher.run()
        self.assertEqual(1, watcher.current.version)

    def test_store_that_comes_back_is_asked_soon_by_a_new_process(self):
        """Nothing is served without a configuration.

        After a loss of all hosts no other scheduler has one to tell.
        """
        pauses = self.pauses(None)
        self.assertLess(max(pauses), 0.35)

    def test_store_that_stays_away_is_asked_rarely_with_a_configuration(self):
        """Calls are priced, and peers tell of newer versions."""
        pauses = self.pauses(types.SimpleNamespace(version=1))
        self.assertGreater(pauses[-1], 0.5)

    def pauses(self, current):
        """Returns the pauses between ten calls of a store that is away."""
        source = mock.Mock()
        source.read.return_value = values.Unavailable("down", False)
        watcher = configuration.ConfigurationWatcher(
            source, lambda document, version: None, current=current
        )
        pauses = []

        def sleep(seconds):
            pauses.append(seconds)
            if len(pauses) == 10:
                raise StopIteration

        with (
            mock.patch.object(configuration.eventlet, "sleep", sleep),
            self.assertLogs("trefoilgw.scheduler.configuring"),
            self.assertRaises(StopIteration),
        ):
            watcher.run()
        return pauses


if __name__ == "__main__":
    unittest.main()
