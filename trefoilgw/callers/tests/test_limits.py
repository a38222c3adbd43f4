"""Tests of a server that has little memory and few connections."""

import contextlib
import errno
import socket
import unittest

import eventlet
from eventlet import event

from trefoilgw.callers import budget
from trefoilgw.callers import protocol
from trefoilgw.callers import server
from trefoilgw.callers.tests import test_core

KIB = 1024
LIMITS = budget.BudgetLimits(
    memory_bytes=40 * KIB,
    small_reserve_bytes=8 * KIB,
    small_request_bytes=KIB,
    connections=4,
)
PATH = b"POST /jobs/a HTTP/1.1\r\n"


class BoundedServerTestCase(unittest.TestCase):
    limits = {}

    def setUp(self):
        self.socks = []
        self.running = set()
        self.bodies = []
        self.wait = None
        self.exchange_bytes = None
        self.limits = protocol.Limits(
            body_limit_bytes=32 * KIB, **type(self).limits
        )
        self.accounts = budget.Budget(LIMITS)
        self.server = server.HttpServer(
            self.application, self.limits, self.accounts, self.is_running
        )
        host, port = self.server.listen("127.0.0.1:0").split(":")
        self.address = host, int(port)
        self.addCleanup(self.server.stop, 1.0)

    def is_running(self, path):
        return path in self.running

    def application(self, environ, start_response):
        self.bodies.append(environ["wsgi.input"].read())
        if self.exchange_bytes is not None:
            memory = environ["trefoilgw.memory"]
            self.exchanged = memory.exchange(self.exchange_bytes)
        if self.wait is not None:
            self.wait.wait()
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    def connect(self, data=b""):
        """Opens a connection and sends to it; returns it with a reader."""
        sock = socket.create_connection(self.address)
        self.addCleanup(sock.close)
        self.socks.append(sock)  # eventlet closes a socket that is collected.
        sock.sendall(data)
        eventlet.sleep(0.01)
        return sock, sock.makefile("rb")

    def post(self, size, sent=None):
        """Returns a request with a body of a size, of which a part is sent."""
        body = b"x" * (size if sent is None else sent)
        return PATH + b"Content-Length: %d\r\n\r\n" % size + body

    def answer(self, data):
        """Returns the answer to a request on a connection of its own."""
        return test_core.read_answer(self.connect(data)[1])


class MemoryTest(BoundedServerTestCase):
    def test_refused_request_may_be_sent_again(self):
        """Without a true "not run" the caller could not send it elsewhere."""
        self.connect(self.post(32 * KIB, 10))
        answer = self.answer(self.post(16 * KIB))
        self.assertEqual(503, answer.status)
        self.assertEqual("1", answer.headers["retry-after"])
        self.assertTrue(answer.problem["not_run"])
        self.assertEqual([], self.bodies)
        self.assertEqual({budget.Cause.MEMORY: 1}, self.accounts.counts)

    def test_job_that_runs_already_is_not_refused_as_not_run(self):
        """A 503 says that the job never runs."""
        self.connect(self.post(32 * KIB, 10))
        self.running.add("/jobs/a")
        self.assertIsNone(self.answer(self.post(16 * KIB)))
        answer = self.answer(self.post(33 * KIB))
        self.assertEqual(413, answer.status)
        self.assertFalse(answer.problem["not_run"])

    def test_refusal_with_an_idempotency_key_is_not_marked_as_not_run(self):
        """An earlier submission with the same key may have run."""
        self.connect(self.post(32 * KIB, 10))
        line = PATH + b"Idempotency-Key: k1.1.a\r\nContent-Length: 16384"
        answer = self.answer(line + b"\r\n\r\n")
        self.assertEqual(503, answer.status)
        self.assertFalse(answer.problem["not_run"])

    def test_small_request_beside_a_large_one(self):
        """A part of the memory is for small requests."""
        self.connect(self.post(32 * KIB, 10))
        self.assertEqual(200, self.answer(self.post(KIB)).status)

    def test_body_that_is_refused_is_not_asked_for(self):
        """A 100 Continue would make the caller send it in vain."""
        self.connect(self.post(32 * KIB, 10))
        head = PATH + b"Expect: 100-continue\r\nContent-Length: 20000\r\n\r\n"
        self.assertEqual(503, self.answer(head).status)

    def test_chunks_count_as_they_arrive(self):
        """Nothing announces how large such a body will be."""
        self.connect(self.post(16 * KIB, 10))
        chunk = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
        head = PATH + b"Transfer-Encoding: chunked\r\n\r\n"
        self.assertEqual(503, self.answer(head + chunk + chunk).status)
        self.assertEqual(200, self.answer(head + chunk + b"0\r\n\r\n").status)

    def test_memory_is_free_after_each_end(self):
        """Memory that stayed charged would end the service by and by."""
        unfinished, _ = self.connect(self.post(16 * KIB, 10))
        unfinished.shutdown(socket.SHUT_RDWR)
        eventlet.sleep(0.01)
        self.answer(self.post(33 * KIB))
        self.answer(self.post(16 * KIB))
        self.answer(PATH + b"Content-Length: x\r\n\r\n")
        eventlet.sleep(0.02)
        self.assertEqual(0, self.accounts.held_bytes)
        for sock in self.socks:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        eventlet.sleep(0.02)
        self.assertEqual({}, self.accounts.accounts)
        self.assertEqual({}, self.server.connections)

    def test_job_is_charged_while_it_runs(self):
        """A small body can describe a job that takes much memory."""
        self.wait, self.exchange_bytes = event.Event(), 30 * KIB
        _, reader = self.connect(self.post(100))
        self.assertTrue(self.exchanged)
        self.assertEqual(30 * KIB, self.accounts.held_bytes)
        self.connect(self.post(100))
        self.assertFalse(self.exchanged)
        self.wait.send()
        self.assertEqual(200, test_core.read_answer(reader).status)
        eventlet.sleep(0.02)
        self.assertEqual(0, self.accounts.held_bytes)

    def test_configured_limit_applies_before_the_body_is_read(self):
        """Bodies up to another limit were read before they were refused."""
        self.limits.configured_body_limit = lambda: KIB
        sock, reader = self.connect(self.post(KIB + 1, 0))
        self.assertEqual(413, test_core.read_answer(reader).status)
        self.assertEqual(200, self.answer(self.post(KIB)).status)
        answer = self.answer(
            PATH + b"Content-Length: %s\r\n\r\n" % (b"9" * 5000)
        )
        self.assertEqual(413, answer.status)


class ConnectionsTest(BoundedServerTestCase):
    def test_idle_connections_are_closed_for_new_ones(self):
        """Nobody else could connect."""
        idle = [self.connect()[1] for _ in range(4)]
        self.assertEqual(200, self.answer(self.post(10)).status)
        self.assertEqual(b"", idle[0].read(1))
        self.assertEqual({budget.Cause.IDLE: 1}, self.accounts.counts)

    def test_half_sent_heads_are_closed_for_new_ones(self):
        """Such connections are never idle."""
        half = [self.connect(PATH)[1] for _ in range(4)]
        eventlet.sleep(0.15)
        self.assertEqual(200, self.answer(self.post(10)).status)
        self.assertEqual(b"", half[0].read(1))

    def test_connections_that_are_served_stay(self):
        """Their jobs run, and their callers would start them again."""
        self.wait = event.Event()
        readers = [self.connect(self.post(10))[1] for _ in range(4)]
        _, refused = self.connect(self.post(10))
        self.assertEqual(b"", refused.read(1))
        self.wait.send()
        for reader in readers:
            self.assertEqual(200, test_core.read_answer(reader).status)
        self.assertEqual({budget.Cause.CONNECTIONS: 1}, self.accounts.counts)

    def test_lack_of_descriptors_does_not_end_the_server(self):
        """Its port stayed closed for good after one failed accept."""
        idle = self.connect()[1]
        failures = [OSError(errno.EMFILE, "too many open files")] * 2
        accept = self.server._sock.accept

        def failing_accept():
            if failures:
                raise failures.pop()
            return accept()

        self.server._sock.accept = failing_accept
        self.connect()
        self.assertEqual(200, self.answer(self.post(10)).status)
        self.assertEqual(b"", idle.read(1))

    def test_requests_sent_at_once_do_not_keep_others_waiting(self):
        """A connection with thousands of requests was served to its end."""
        requests = 2000
        sock, _ = self.connect()
        sock.sendall(self.post(1) * requests)
        self.assertEqual(200, self.answer(self.post(2)).status)
        self.assertLess(self.bodies.index(b"xx"), requests)

    def test_log_line_only_after_a_change(self):
        """One line for each closed connection would fill the log."""
        with self.assertLogs("trefoilgw.callers.server") as logs:
            for _ in range(7):
                self.connect()
            self.server.log_limited()
            self.server.log_limited()
        self.assertEqual(1, len(logs.records))
        self.assertEqual({"idle": 3}, logs.records[0].counts)


class RefusedSenderTest(BoundedServerTestCase):
    limits = {"discard_limit_s": 0.1}

    def test_refused_sender_that_stays_is_closed(self):
        """It would occupy its connection for as long as it likes."""
        sock, reader = self.connect(self.post(40 * KIB, 10))
        self.assertEqual(413, test_core.read_answer(reader).status)
        eventlet.sleep(0.2)
        self.assertEqual({}, self.accounts.accounts)


class SlowBodyTest(BoundedServerTestCase):
    limits = {"send_limit_s": 5.0}

    def test_slow_body_is_closed_before_the_send_limit(self):
        """Senders that stop short kept their memory for the whole limit."""
        self.accounts.limits = budget.BudgetLimits(rate_grace_s=0.05)
        _, slow = self.connect(self.post(16 * KIB, 10))
        fast_sock, fast = self.connect(self.post(16 * KIB, 8 * KIB))
        eventlet.sleep(0.1)
        self.assertEqual({budget.Cause.SLOW: 1}, self.accounts.counts)
        self.assertEqual(b"", slow.read(1))
        fast_sock.sendall(b"x" * 8 * KIB)
        self.assertEqual(200, test_core.read_answer(fast).status)


if __name__ == "__main__":
    unittest.main()
