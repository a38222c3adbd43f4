"""Tests of requests that arrive while the server closes."""

import socket
import unittest

import eventlet

from trefoilgw.callers import server

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class ClosingTest(unittest.TestCase):
    def test_request_on_a_closed_idle_connection_is_not_served(self):
        """A caller whose connection is closed submits its job again elsewhere.

        The request on the closed connection was served nevertheless, so that
        both runs of the job overlapped.
        """
        calls = []

        def application(environ, start_response):
            calls.append(environ["PATH_INFO"])
            start_response("200 OK", [("Content-Length", "0")])
            return [b""]

        http_server = server.HttpServer(application)
        host, _, port = http_server.listen("127.0.0.1:0").rpartition(":")
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(REQUEST)
            self.assertTrue(sock.recv(4096).startswith(b"HTTP/1.1 200"))
            eventlet.sleep(0.02)
            # `sock.fd` does not yield: the request is in the socket's buffer
            # before the server's greenthreads run, which is after the close.
            sock.fd.send(REQUEST)
            http_server.close()
            eventlet.sleep(0.05)
            self.assertEqual(b"", sock.recv(4096))
        self.assertEqual(["/"], calls)
