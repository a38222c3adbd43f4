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


if __name__ == "__main__":
    unittest.main()
