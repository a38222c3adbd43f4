"""Tests that the lightweight agents follow the stream protocol."""

import unittest

import eventlet
from eventlet import queue

from tools.standins import agents
from trefoilgw.messages import core as messages
from trefoilgw.streams import core as streams

KEY = b"k" * 16
TIMEOUT_S = 10.0


class LightAgentTest(unittest.TestCase):
    def test_heartbeat_credits_and_batches(self):
        """An agent that violates the protocol makes load figures invalid."""
        arrived = queue.Queue()
        accepted = queue.Queue()

        def admit(hello):
            return messages.Welcome("b" * 16, 1, 7, 3.0, 1, ())

        listener = streams.Listener(KEY, admit, accepted.put)
        address = listener.listen("127.0.0.1:0")
        self.addCleanup(listener.close)
        agent = agents.connect(address, KEY, 0, ("s",), 8)
        self.addCleanup(agent.stream.close, "end of the test")
        eventlet.spawn_n(agent.run)
        server = accepted.get(timeout=TIMEOUT_S)
        server.start(
            lambda stream, message: arrived.put(message),
            lambda stream, reason: None,
        )
        grant = arrived.get(timeout=TIMEOUT_S)
        self.assertEqual(messages.CreditGrant(8), grant)
        ping = arrived.get(timeout=TIMEOUT_S)
        self.assertEqual(7, ping.revision)
        tasks = (messages.TaskSpec(0, b"1"), messages.TaskSpec(3, b"2"))
        server.send(
            messages.RunBatch(5, "job", "c", "k", "s", 2, "", 9.0, True, tasks)
        )
        done = arrived.get(timeout=TIMEOUT_S)
        self.assertEqual((5, 2, True), (done.batch, done.credits, done.final))
        self.assertEqual([0, 3], [item.index for item in done.outcomes])


if __name__ == "__main__":
    unittest.main()
