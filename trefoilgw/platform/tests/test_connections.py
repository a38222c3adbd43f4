"""Tests of calls whose connection is refused, closed, reset or silent."""

import collections
import contextlib
import struct
import unittest

import eventlet
from eventlet.green import socket

from trefoilgw.platform import connections

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Server:
    """Answers each request with the next of some byte strings.

    Attributes:
        answers: Bytes to send; None leaves the request unanswered, an empty
            string resets the connection.
        requests: The requests so far.
        accepted: Number of connections so far.
        silent: Number of the first connections on which nothing is answered.
    """

    def __init__(self):
        self.sock = eventlet.listen(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.sock.getsockname()[:2])
        self.answers = collections.deque()
        self.requests = []
        self.accepted = 0
        self.silent = 0
        self.open = []
        eventlet.spawn_n(self.accept)

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.sock.accept()
                self.accepted += 1
                self.open.append(sock)
                eventlet.spawn_n(self.serve, sock, self.accepted)

    def serve(self, sock, number):
        while data := sock.recv(65536):
            self.requests.append(data)
            answer = self.answers.popleft() if self.answers else ANSWER
            if number <= self.silent:
                answer = None
            if answer == b"":
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                sock.close()
                return
            if answer is not None:
                sock.sendall(answer)

    def close_open(self):
        """Closes the accepted connections."""
        for sock in self.open:
            sock.shutdown(socket.SHUT_RDWR)
        eventlet.sleep(0.01)


class ConnectionPoolTest(unittest.TestCase):
    def setUp(self):
        self.server = Server()
        self.addCleanup(self.server.sock.close)
        self.pool = connections.ConnectionPool(self.server.address, 2)
        self.addCleanup(self.pool.close)

    def call(self, timeout_s=0.5):
        return self.pool.call("POST", "/x", b"{}", {"A": "b"}, timeout_s)

    def test_connection_is_reused(self):
        """New connections cost time at both ends."""
        for _ in range(3):
            self.assertEqual(connections.Response(200, b"ok"), self.call())
        self.assertEqual(1, self.server.accepted)
        self.assertIn(b"POST /x HTTP/1.1\r\n", self.server.requests[0])
        self.assertIn(b"A: b\r\n", self.server.requests[0])

    def test_connection_that_the_server_closed_is_not_reused(self):
        """A request on it would be lost, and nobody could tell its fate."""
        self.call()
        self.server.close_open()
        self.assertEqual(connections.Response(200, b"ok"), self.call())
        self.assertEqual(2, self.server.accepted)

    def test_refused_connection_was_not_reached(self):
        """Only then has the request certainly not been carried out."""
        self.server.sock.close()
        failure = self.call()
        self.assertIsInstance(failure, connections.Failure)
        self.assertFalse(failure.reached)

    def test_failures_after_connecting_may_have_been_carried_out(self):
        """A false "not reached" would let a second run start elsewhere."""
        cases = {
            "silent": None,
            "reset": b"",
            "not http": b"hello\r\n\r\n",
            "cut": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
        }
        for name, answer in cases.items():
            with self.subTest(name):
                self.server.answers.append(answer)
                failure = self.call(timeout_s=0.05)
                self.assertIsInstance(failure, connections.Failure)
                self.assertTrue(failure.reached)

    def test_connection_of_a_late_answer_is_not_reused(self):
        """The next call would take the late answer for its own."""
        self.server.answers.append(None)
        self.call(timeout_s=0.05)
        self.assertEqual(connections.Response(200, b"ok"), self.call())
        self.assertEqual(2, self.server.accepted)

    def open_connections(self, count):
        """Opens connections by concurrent calls; then they are idle."""
        calls = [eventlet.spawn(self.call) for _ in range(count)]
        for call in calls:
            call.wait()
        self.assertEqual(count, self.server.accepted)

    def test_idle_connections_are_not_reused_after_a_time_out(self):
        """Each connection that had gone silent cost one time limit.

        A configuration was in force 4.6 s after its confirmation.
        """
        self.open_connections(2)
        self.server.silent = 2
        self.assertIsInstance(self.call(0.05), connections.Failure)
        self.assertEqual(connections.Response(200, b"ok"), self.call(0.05))
        self.assertEqual(3, self.server.accepted)

    def test_lost_answer_keeps_idle_connections(self):
        """Targets lose single answers; each cost all other connections."""
        self.pool = connections.ConnectionPool(self.server.address, 4, 2)
        self.open_connections(4)
        for _ in range(3):
            self.server.answers.append(None)
            self.assertIsInstance(self.call(0.05), connections.Failure)
            self.assertEqual(connections.Response(200, b"ok"), self.call())
        self.assertEqual(4, self.server.accepted)

    def test_answer_on_a_new_connection_keeps_the_doubt(self):
        """The old ones may be silent all the same."""
        self.pool = connections.ConnectionPool(self.server.address, 3, 2)
        self.open_connections(3)
        self.server.silent = 3
        self.assertIsInstance(self.call(0.05), connections.Failure)
        calls = [eventlet.spawn(self.call, 0.05) for _ in range(3)]
        answers = [x.wait() for x in calls]
        self.assertEqual(1, answers.count(connections.Response(200, b"ok")))
        self.assertEqual(connections.Response(200, b"ok"), self.call(0.05))

    def test_other_failures_keep_idle_connections(self):
        """Only a silent connection shows nothing of itself when it is taken."""
        self.open_connections(2)
        self.server.answers.append(b"")
        self.assertIsInstance(self.call(), connections.Failure)
        self.assertEqual(connections.Response(200, b"ok"), self.call())
        self.assertEqual(2, self.server.accepted)

    def test_connection_that_answers_after_a_time_out_is_reused(self):
        """It works, and new connections cost time at both ends."""
        self.server.answers.extend([None, None])
        calls = [eventlet.spawn(self.call, x) for x in (0.05, 0.5)]
        calls[0].wait()
        self.server.open[1].sendall(ANSWER)
        self.assertEqual(connections.Response(200, b"ok"), calls[1].wait())
        self.assertEqual(connections.Response(200, b"ok"), self.call())
        self.assertEqual(2, self.server.accepted)

    def test_calls_beyond_the_limit_wait(self):
        """A target accepts a limited number of connections."""
        self.server.answers.extend([None, None])
        for _ in range(2):
            eventlet.spawn_n(self.call, 0.1)
        eventlet.sleep(0)
        self.assertEqual(connections.Response(200, b"ok"), self.call())
        self.assertEqual(3, self.server.accepted)
