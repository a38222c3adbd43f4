"""Tests of the detection of callers that have left."""

import socket
import unittest

import eventlet

from trefoilgw.callers import server

REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"


class ClosedTest(unittest.TestCase):
    def request(self, leaves):
        """Returns whether the application sees its caller as gone.

        Args:
            leaves: Whether the caller leaves before its request is read.
        """
        seen = []

        def application(environ, start_response):
            seen.append(environ["trefoilgw.disconnects"].closed())
            start_response("200 OK", [("Content-Length", "0")])
            return [b""]

        http_server = server.HttpServer(application)
        self.addCleanup(http_server.close)
        host, _, port = http_server.listen("127.0.0.1:0").rpartition(":")
        sock = socket.create_connection((host, int(port)))
        self.addCleanup(sock.close)
        # `sock.fd` does not yield: the server reads the request afterwards.
        sock.fd.send(REQUEST)
        if leaves:
            sock.fd.shutdown(socket.SHUT_RDWR)
        eventlet.sleep(0.05)
        return seen

    def test_tells_whether_the_caller_left_before_its_request_was_read(self):
        """The job of such a caller may run through another process."""
        self.assertEqual([True], self.request(leaves=True))
        self.assertEqual([False], self.request(leaves=False))


if __name__ == "__main__":
    unittest.main()
