import json
import re
import socket
import unittest

import attrs
import eventlet
from eventlet import event

from trefoilgw.callers import core as callers
from trefoilgw.callers import problems
from trefoilgw.callers import protocol
from trefoilgw.callers import server
from trefoilgw.callers import values
from trefoilgw.outcomes import core as outcomes

BODY_LIMIT = 1000
ECHO = values.Reply(200, b'{"ok": true}')


@attrs.frozen
class Answer:
    status: int
    headers: dict
    body: bytes
    closed: bool

    @property
    def problem(self):
        return json.loads(self.body)


def read_answer(reader):
    """Returns the next answer on a connection, None if it was closed."""
    line = reader.readline()
    if not line:
        return None
    headers = {}
    while (header := reader.readline()) not in (b"\r\n", b""):
        name, _, value = header.decode().partition(":")
        headers[name.lower()] = value.strip()
    body = reader.read(int(headers["content-length"]))
    closed = headers.get("connection") == "close"
    return Answer(int(line.split()[1]), headers, body, closed)


class ServerTestCase(unittest.TestCase):
    limits = {}

    def setUp(self):
        self.requests = []
        self.reply = ECHO
        self.limits = protocol.Limits(
            body_limit_bytes=BODY_LIMIT, **type(self).limits
        )
        application = callers.Application(self.backend, lambda: 7)
        self.server = server.HttpServer(application, self.limits)
        host, port = self.server.listen("127.0.0.1:0").split(":")
        self.address = host, int(port)
        self.addCleanup(self.server.stop, 1.0)

    def backend(self, request):
        self.requests.append(request)
        return self.reply

    def connect(self):
        sock = socket.create_connection(self.address)
        self.addCleanup(sock.close)
        return sock, sock.makefile("rb")

    def ask(self, data):
        """Returns the answer to the bytes of one request."""
        sock, reader = self.connect()
        sock.sendall(data)
        return read_answer(reader)

    def request(self, method, path, headers=(), body=b""):
        lines = [f"{method} {path} HTTP/1.1", "Host: entry", *headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return self.ask("\r\n".join([*lines, "", ""]).encode() + body)


class RequestTest(ServerTestCase):
    def test_requests_reach_the_backend(self):
        """A request that lost a field would be served as a different one."""
        key = "t1.0123456789abcdef.0.0123456789abcdef"
        action = values.Action
        token = "Authorization: Bearer secret"
        cases = (
            (
                ("POST", "/v1/jobs?wait_s=1.5", [token], b"{}"),
                values.Request(action.SUBMIT, "secret", "", b"{}", 1.5),
            ),
            (
                (
                    "POST",
                    "/v1/jobs",
                    ["authorization: bearer secret", f"idempotency-key: {key}"],
                    b"{}",
                ),
                values.Request(action.SUBMIT, "secret", key, b"{}"),
            ),
            (
                ("GET", f"/v1/jobs/{key}?wait_s=60"),
                values.Request(action.READ, "", key, wait_s=60.0),
            ),
            (
                ("GET", "/v1/jobs/k1.1.a%7Eb"),
                values.Request(action.READ, "", "k1.1.a~b"),
            ),
            (
                ("DELETE", f"/v1/jobs/{key}", [token]),
                values.Request(action.CANCEL, "secret", key),
            ),
            (
                ("POST", "/v1/tickets", [token], b'{"count": 2}'),
                values.Request(action.TICKETS, "secret", body=b'{"count": 2}'),
            ),
            (("GET", "/v1/epoch"), values.Request(action.EPOCH)),
            (("GET", "/healthz"), values.Request(action.HEALTH)),
        )
        for arguments, expected in cases:
            with self.subTest(arguments=arguments):
                answer = self.request(*arguments)
                self.assertEqual(200, answer.status)
                self.assertEqual("7", answer.headers["trefoilgw-epoch"])
                self.assertEqual(expected, self.requests.pop())

    def test_undefined_requests_do_not_reach_the_backend(self):
        """Unknown paths, methods and parameters must be refused."""
        cases = (
            (404, "GET", "/"),
            (404, "GET", "/v1/job"),
            (405, "GET", "/v1/jobs"),
            (405, "PUT", "/v1/jobs/k1.1.a"),
            (405, "GET", "/v1/tickets"),
            (405, "POST", "/healthz"),
            (400, "GET", "/v1/jobs/k1.1.a?wait_s=x"),
            (400, "GET", "/v1/jobs/k1.1.a?wait_s=-1"),
            (400, "GET", "/v1/jobs/k1.1.a?wait_s=61"),
            (400, "GET", "/v1/jobs/k1.1.a?wait_s=nan"),
        )
        for status, method, path in cases:
            with self.subTest(method=method, path=path):
                answer = self.request(method, path)
                self.assertEqual(status, answer.status)
                self.assertEqual("bad_request", answer.problem["reason"])
                self.assertEqual([], self.requests)

    def test_pipelined_requests_on_one_connection(self):
        """Load balancers reuse connections; requests must not get mixed up."""
        sock, reader = self.connect()
        one = b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"
        chunked = (
            b"POST /v1/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3;x=y\r\n[1,\r\n2\r\n2]\r\n0\r\nTrailer: x\r\n\r\n"
        )
        sock.sendall(one + chunked + one)
        for body in (b"{}", b"[1,2]", b"{}"):
            answer = read_answer(reader)
            self.assertEqual(200, answer.status)
            self.assertEqual(body, self.requests.pop(0).body)

    def test_expect_100_continue_is_answered(self):
        """A client that waits for 100 Continue would never send its body."""
        sock, reader = self.connect()
        sock.sendall(
            b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        self.assertEqual(b"HTTP/1.1 100 Continue\r\n", reader.readline())
        reader.readline()
        sock.sendall(b"{}")
        self.assertEqual(200, read_answer(reader).status)

    def test_refusal_is_a_problem_document(self):
        """Callers act on the members, so each must be in the document."""
        self.reply = problems.problem(
            outcomes.Refused(outcomes.Reason.QUOTA, True, "full", 0.4),
            key="k1.1.a",
        )
        answer = self.request("GET", "/v1/jobs/k1.1.a")
        self.assertEqual(429, answer.status)
        self.assertEqual("1", answer.headers["retry-after"])
        self.assertEqual(
            "application/problem+json", answer.headers["content-type"]
        )
        expected = {
            "status": 429,
            "detail": "full",
            "reason": "quota",
            "not_run": True,
            "retry_after_s": 0.4,
            "key": "k1.1.a",
        }
        found = {name: answer.problem[name] for name in expected}
        self.assertEqual(expected, found)


class LimitsTest(ServerTestCase):
    def test_malformed_and_oversized_requests_are_refused(self):
        """An ambiguous request can smuggle another past the load balancer."""
        line = b"POST /v1/jobs HTTP/1.1\r\n"
        chunked = line + b"Transfer-Encoding: chunked\r\n"
        many = (b"A: " + b"b" * 4000 + b"\r\n") * 5
        cases = (
            (400, b"POST /v1/jobs\r\n\r\n"),
            (400, b"POST  /v1/jobs HTTP/1.1\r\n\r\n"),
            (400, b"POST /v1/jobs HTTP/2.0\r\n\r\n"),
            (400, b"POST v1/jobs HTTP/1.1\r\n\r\n"),
            (400, line + b"Name : x\r\n\r\n"),
            (400, line + b"no colon\r\n\r\n"),
            (400, line + b"A: b\r\n folded: x\r\n\r\n"),
            (400, line + b"Content-Length: -1\r\n\r\n"),
            (400, line + b"Content-Length: 1_0\r\n\r\n"),
            (400, line + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}"),
            (400, chunked + b"Content-Length: 2\r\n\r\n{}"),
            (501, line + b"Transfer-Encoding: gzip, chunked\r\n\r\n"),
            (400, chunked + b"\r\nxyz\r\n"),
            (400, chunked + b"\r\n-1\r\n"),
            (400, chunked + b"\r\n2\r\n{}x\r\n0\r\n\r\n"),
            (413, line + b"Content-Length: %d\r\n\r\n" % (BODY_LIMIT + 1)),
            (413, chunked + b"\r\n%x\r\n" % (BODY_LIMIT + 1)),
            (414, b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\n\r\n"),
            (431, line + b"A: " + b"b" * 9000 + b"\r\n\r\n"),
            (431, line + many + b"\r\n"),
        )
        for status, data in cases:
            with self.subTest(data=data[:60]):
                answer = self.ask(data)
                self.assertEqual(status, answer.status)
                self.assertTrue(answer.closed)
                self.assertTrue(answer.problem["not_run"])
                self.assertEqual([], self.requests)

    def test_too_large_body_with_a_key_is_not_marked_as_not_run(self):
        """An earlier submission with the same key may have run."""
        answer = self.ask(
            b"POST /v1/jobs HTTP/1.1\r\nIdempotency-Key: k1.1.a\r\n"
            b"Content-Length: 5000\r\n\r\n"
        )
        self.assertEqual("too_large", answer.problem["reason"])
        self.assertFalse(answer.problem["not_run"])

    def test_refusal_arrives_while_the_body_is_sent(self):
        """A caller that keeps sending must still receive the refusal."""
        sock, reader = self.connect()
        sock.sendall(b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 1500\r\n\r\n")
        sock.sendall(b"x" * 1500)
        self.assertEqual(413, read_answer(reader).status)

    def test_body_at_the_limit_is_accepted(self):
        """Guards against an off-by-one error in the limit."""
        body = b"x" * BODY_LIMIT
        self.assertEqual(200, self.request("POST", "/v1/jobs", (), body).status)
        self.assertEqual(body, self.requests[0].body)

    def test_incomplete_requests_do_not_reach_the_backend(self):
        """A caller may disconnect in the middle of a request."""
        head = b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 10\r\n\r\n{}"
        for end in (10, 40, len(head)):
            with self.subTest(end=end):
                sock, reader = self.connect()
                sock.sendall(head[:end])
                sock.shutdown(socket.SHUT_WR)
                self.assertIsNone(read_answer(reader))
        self.assertEqual([], self.requests)


class SlowSenderTest(ServerTestCase):
    limits = {"send_limit_s": 0.05}

    def test_slow_senders_are_disconnected(self):
        """A sender that trickles bytes must not occupy a connection."""
        head = b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 10\r\n\r\n"
        for sent in (head[:1], head[:30], head, head + b"123"):
            with self.subTest(sent=sent):
                sock, reader = self.connect()
                sock.sendall(sent)
                self.assertIsNone(read_answer(reader))
        self.assertEqual(4, self.limits.slow_senders)
        self.assertEqual([], self.requests)

    def test_idle_connections_stay_open(self):
        """The send limit starts with the first byte of a request."""
        sock, reader = self.connect()
        slow, slow_reader = self.connect()
        slow.sendall(b"P")
        self.assertIsNone(read_answer(slow_reader))
        sock.sendall(b"GET /healthz HTTP/1.1\r\n\r\n")
        self.assertEqual(200, read_answer(reader).status)


class SlowReaderTest(ServerTestCase):
    limits = {"stall_limit_s": 0.05}

    def test_unread_response_does_not_delay_a_stop(self):
        """A caller that reads nothing must not block an orderly stop."""
        self.reply = values.Reply(200, b"x" * (32 * 1024 * 1024))
        sock, reader = self.connect()
        sock.sendall(b"GET /healthz HTTP/1.1\r\n\r\n")
        reader.readline()
        self.assertTrue(self.server.stop(30.0))


class StopTest(ServerTestCase):
    def test_stop_waits_for_open_requests(self):
        """An orderly stop must not interrupt a request."""
        entered, leave = event.Event(), event.Event()

        def backend(request):
            entered.send()
            leave.wait()
            return ECHO

        self.server.application.backend = backend
        sock, reader = self.connect()
        idle, idle_reader = self.connect()
        sock.sendall(b"GET /healthz HTTP/1.1\r\n\r\n")
        entered.wait()
        stopping = eventlet.spawn(self.server.stop, 30.0)
        self.assertIsNone(read_answer(idle_reader))
        leave.send()
        self.assertEqual(200, read_answer(reader).status)
        self.assertIsNone(read_answer(reader))
        self.assertTrue(stopping.wait())
        with self.assertRaises(OSError):
            socket.create_connection(self.address)


class OpenApiTest(unittest.TestCase):
    def test_document_lists_all_refusal_reasons_and_paths(self):
        """Callers would not expect a reason that the document does not list."""
        document = json.loads(callers.OPENAPI_FILE.read_text())
        schemas = document["components"]["schemas"]
        listed = set(schemas["Problem"]["properties"]["reason"]["enum"])
        self.assertLessEqual(set(problems._TITLES), listed)
        pattern = schemas["Key"]["pattern"]
        self.assertTrue(re.search(pattern, f"t1.{'a' * 16}.0.{'b' * 16}"))
        self.assertEqual(
            {
                "/v1/jobs",
                "/v1/jobs/{key}",
                "/v1/tickets",
                "/v1/epoch",
                "/healthz",
            },
            set(document["paths"]),
        )
