"""Requests that arrive while the server closes."""

import socket
import unittest

import eventlet

from trefoilgw.callers import server

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class ClosingTest(unittest.TestCase):
    def test_request_on_a_closed_idle_connection_is_not_served(self):
        """The caller can't be answered and submits again at once elsewhere;
        both runs of its job overlapped."""
        calls = []

        def application(environ, start_response):
            calls.append(environ["PATH_INFO"])
            start_response("200 OK", [("Content-Length", "0")])
            return [b""]

        found = server.HttpServer(application)
        host, _, port = found.listen("127.0.0.1:0").rpartition(":")
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(REQUEST)
            self.assertTrue(sock.recv(4096).startswith(b"HTTP/1.1 200"))
            eventlet.sleep(0.02)
            # The request is in the socket's buffer when the server closes,
            # and the server's greenthreads run only after that.
            sock.fd.send(REQUEST)
            found.close()
            eventlet.sleep(0.05)
            self.assertEqual(b"", sock.recv(4096))
        self.assertEqual(["/"], calls)
