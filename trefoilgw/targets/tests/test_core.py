"""Tests for the target client against a small HTTP server."""

import unittest
from unittest import mock

import eventlet
from eventlet import event
from eventlet import queue

from trefoilgw.outcomes import core as outcomes
from trefoilgw.streams import core as streams
from trefoilgw.targets import core as targets

TIMEOUT_S = 20.0
REASON = outcomes.Reason
NO_AUTHORITY = outcomes.NotRun(REASON.AUTHORITY_LOST)


def answer(body=b"{}", status="200 OK", *headers):
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """HTTP server that answers each request as the test specifies.

    Attributes:
        requests: Connection number, head and body of each request.
        reply: Called with a socket and a head; returns bytes to send, or None
            to close the connection.
    """

    def __init__(self, reply):
        self.requests = queue.Queue()
        self.reply = reply
        self.accepted = 0
        self.live = 0
        self.most_live = 0
        self.sock = eventlet.listen(("127.0.0.1", 0))
        eventlet.spawn_n(self.accept)

    @property
    def port(self):
        return self.sock.getsockname()[1]

    def accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.accepted += 1
            eventlet.spawn_n(self.serve, sock, self.accepted)

    def serve(self, sock, number):
        self.live += 1
        self.most_live = max(self.most_live, self.live)
        try:
            while self.serve_one(sock, number):
                pass
        except OSError:
            pass
        finally:
            self.live -= 1
            sock.close()

    def serve_one(self, sock, number):
        data = b""
        while b"\r\n\r\n" not in data:
            more = sock.recv(65536)
            if not more:
                return False
            data += more
        head, _, body = data.partition(b"\r\n\r\n")
        head = head.decode()
        length = 0
        for line in head.split("\r\n"):
            if line.lower().startswith("content-length:"):
                length = int(line.split(":")[1])
        while len(body) < length:
            body += sock.recv(65536)
        self.requests.put((number, head, body))
        reply = self.reply(sock, head)
        if reply is not None:
            sock.sendall(reply)
        return reply is not None


class TargetTest(unittest.TestCase):
    def serve(self, reply, connections=4, **fields):
        server = Server(reply)
        self.addCleanup(streams.close_socket, server.sock)
        client = targets.Client("127.0.0.1", server.port, connections, **fields)
        self.addCleanup(client.close_idle, True)
        return server, client

    def run_one(self, client, idempotent=True, deadline_s=None, refuse=None):
        call = targets.Call(
            job="t1.k/ä",
            index=3,
            service="preview",
            payload=b'{"n": 1}',
            deadline_s=client.now() + 60.0
            if deadline_s is None
            else deadline_s,
            idempotent=idempotent,
        )
        with eventlet.Timeout(TIMEOUT_S):
            return client.run(call, lambda: refuse)

    def test_request(self):
        """The target relies on the path, the headers and the payload."""
        server, client = self.serve(lambda sock, head: answer(b'{"x": 2}'))
        fate = self.run_one(client, idempotent=False)
        self.assertEqual(b'{"x": 2}', fate.result)
        _, head, body = server.requests.get(timeout=TIMEOUT_S)
        self.assertEqual(b'{"n": 1}', body)
        lines = head.split("\r\n")
        self.assertEqual("POST /run/preview HTTP/1.1", lines[0])
        self.assertIn("Trefoilgw-Task: t1.k%2F%C3%A4/3", lines)
        self.assertIn("Trefoilgw-Idempotent: false", lines)
        deadline = [line for line in lines if "Deadline-Ms" in line]
        self.assertLessEqual(int(deadline[0].split(": ")[1]), 60000)

    def test_fates(self):
        """Each kind of answer must map to the fate that it proves."""
        big = b'"' + b"x" * targets.MAX_RESULT_BYTES + b'"'
        half = answer(b"{}" * 50)[:-20]
        failed, unknown = outcomes.Failed, outcomes.Unknown
        error, lost = REASON.TARGET_ERROR, REASON.TARGET_UNREACHABLE
        cases = {
            "not json": (answer(b"{"), failed, error),
            "not a number of json": (answer(b"NaN"), failed, error),
            "not utf-8": (answer(b'"\xff"'), failed, error),
            "empty": (answer(b""), failed, error),
            "error": (answer(b"{}", "500 Error"), failed, error),
            "created": (answer(b"{}", "201 Created"), failed, error),
            "redirect": (
                answer(b"{}", "302 Found", "Location: /run/preview"),
                failed,
                error,
            ),
            "retry later": (
                answer(b"{}", "503 Busy", "Retry-After: 0"),
                failed,
                error,
            ),
            "too large": (answer(big), failed, REASON.TOO_LARGE),
            "closed without an answer": (None, unknown, lost),
            "not http": (b"hello\r\n\r\n", unknown, lost),
        }
        for name, (reply, kind, reason) in cases.items():
            with self.subTest(name):
                server, client = self.serve(lambda sock, head, r=reply: r)
                fate = self.run_one(client)
                self.assertIsInstance(fate, kind)
                self.assertEqual(reason, fate.reason)
                self.assertEqual(1, server.requests.qsize())
                self.assertEqual(0, client.busy_connections)

        def cut(sock, head):
            sock.sendall(half)

        _, client = self.serve(cut)
        self.assertIsInstance(self.run_one(client), unknown)

    def test_chunked_answers(self):
        """A body without a length must be checked for its end and its size."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        size = targets.MAX_RESULT_BYTES // 2
        part = b"%x\r\n%s\r\n" % (size, b" " * size)
        cases = {
            "whole": (b"2\r\n{}\r\n0\r\n\r\n", outcomes.Completed),
            "cut": (b"2\r\n{}\r\n", outcomes.Unknown),
            "large": (3 * part + b"0\r\n\r\n", outcomes.Failed),
        }
        for name, (body, kind) in cases.items():
            with self.subTest(name):

                def reply(sock, head_, data=head + body):
                    sock.sendall(data)

                _, client = self.serve(reply)
                self.assertIsInstance(self.run_one(client), kind)

    def test_result_at_the_limit_is_completed(self):
        """A result of exactly the largest allowed size must be accepted."""
        body = b'"' + b"x" * (targets.MAX_RESULT_BYTES - 2) + b'"'
        _, client = self.serve(lambda sock, head: answer(body))
        self.assertEqual(body, self.run_one(client).result)

    def test_unreachable_target_is_not_run(self):
        """A refused connection proves that the request was not sent."""
        server, client = self.serve(lambda sock, head: answer())
        streams.close_socket(server.sock)
        fate = self.run_one(client)
        self.assertIsInstance(fate, outcomes.NotRun)
        self.assertEqual(REASON.TARGET_UNREACHABLE, fate.reason)

    def test_refusal_before_the_first_byte(self):
        """Authority lost while connecting must keep the task unsent."""
        server, client = self.serve(lambda sock, head: answer())
        fate = self.run_one(client, refuse=NO_AUTHORITY)
        self.assertEqual(NO_AUTHORITY, fate)
        self.run_one(client)
        self.assertEqual(1, server.requests.qsize())

    def test_only_idempotent_work_reuses_idle_connections(self):
        """A stale connection would leave other work with an unknown fate."""
        for idempotent, connections in ((True, 1), (False, 2)):
            with self.subTest(idempotent=idempotent):
                server, client = self.serve(lambda sock, head: answer())
                self.run_one(client, idempotent)
                self.run_one(client, idempotent)
                self.assertEqual(connections, server.accepted)

    def test_stale_idle_connection_is_not_used(self):
        """An idle connection that the target closed must not fail a task."""
        closing = answer(b"{}")

        def reply_and_close(sock, head):
            sock.sendall(closing)

        server, client = self.serve(reply_and_close)
        self.assertIsInstance(self.run_one(client), outcomes.Completed)
        while server.live:
            eventlet.sleep(0)
        self.assertIsInstance(self.run_one(client), outcomes.Completed)
        self.assertEqual(2, server.accepted)

    def test_request_lost_on_reused_connection_is_not_resent(self):
        """The task of a request lost on a reused connection may have run."""

        def reply(sock, head):
            return answer() if server.requests.qsize() == 1 else None

        server, client = self.serve(reply)
        self.run_one(client)
        fate = self.run_one(client)
        self.assertIsInstance(fate, outcomes.Unknown)
        self.assertEqual(2, server.requests.qsize())
        self.assertEqual(1, server.accepted)

    def test_old_idle_connections_are_closed(self):
        """A connection that the target may soon close must not be used."""
        now_s = [0.0]
        server, client = self.serve(
            lambda sock, head: answer(), now=lambda: now_s[0]
        )
        self.run_one(client)
        now_s[0] += targets.MAX_IDLE_S + 0.1
        self.run_one(client)
        self.assertEqual(2, server.accepted)
        self.assertEqual(1, client.open_connections)

    def test_number_of_connections_is_limited(self):
        """The target would refuse connections above its limit."""
        release = event.Event()

        def hold(sock, head):
            release.wait()
            return answer()

        server, client = self.serve(hold, connections=2)
        calls = [eventlet.spawn(self.run_one, client) for _ in range(2)]
        for _ in calls:
            server.requests.get(timeout=TIMEOUT_S)
        extra = self.run_one(client)
        self.assertEqual(REASON.CAPACITY, extra.reason)
        self.assertIsInstance(extra, outcomes.NotRun)
        self.assertFalse(client.stop("job", 0))
        release.send()
        for call in calls:
            self.assertIsInstance(call.wait(), outcomes.Completed)
        for _ in range(4):
            self.run_one(client, idempotent=False)
        self.assertEqual(2, server.most_live)

    def test_missing_answer_times_out(self):
        """A target that never answers must not block a call forever."""
        silent = event.Event()

        def hold(sock, head):
            silent.wait()
            return answer()

        _, client = self.serve(hold, answer_timeout_s=0.01)
        fate = self.run_one(client, deadline_s=client.now())
        self.assertIsInstance(fate, outcomes.Unknown)
        self.assertEqual(0, client.open_connections)
        silent.send()

    def test_idle_connections_are_not_reused_after_a_time_out(self):
        """Each connection that had gone silent cost one time limit."""
        for fail in (
            lambda client: self.run_one(client, deadline_s=client.now()),
            lambda client: client.stop("job", 0),
        ):
            with self.subTest(fail=fail):
                self.check_silent_connections(fail)

    def check_silent_connections(self, fail):
        """Checks that a call that fails on one of two rules out the other.

        Args:
            fail: Makes that call.
        """
        opened, silent = set(), set()

        def reply(sock, head):
            opened.add(sock)
            eventlet.sleep(TIMEOUT_S if sock in silent else 0.02)
            return answer()

        server, client = self.serve(reply, answer_timeout_s=0.1)
        calls = [eventlet.spawn(self.run_one, client) for _ in range(2)]
        for call in calls:
            call.wait()
        silent |= opened
        with mock.patch.object(targets, "STOP_TIMEOUT_S", 0.1):
            fail(client)
        self.assertEqual(0, client.open_connections)
        self.assertIsInstance(self.run_one(client), outcomes.Completed)
        self.assertEqual(3, server.accepted)

    def test_stop(self):
        """A stop request must name the task in the same way as its start."""
        server, client = self.serve(lambda sock, head: answer())
        self.assertTrue(client.stop("t1.k/ä", 3))
        _, head, _ = server.requests.get(timeout=TIMEOUT_S)
        lines = head.split("\r\n")
        self.assertEqual("DELETE /run/t1.k%2F%C3%A4/3 HTTP/1.1", lines[0])
        streams.close_socket(server.sock)
        client.close_idle(True)
        self.assertFalse(client.stop("job", 0))


if __name__ == "__main__":
    unittest.main()
