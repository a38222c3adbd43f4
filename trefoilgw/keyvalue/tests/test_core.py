"""Tests of the client against the stand-in for the service."""

import unittest

import eventlet

from tools.standins import kv
from trefoilgw import keyvalue

# Long enough that a call with a response never times out on a loaded machine.
TIMEOUT_S = 60.0
# Each write of the client, as a function of a client and a granted lease.
WRITES = {
    "put": lambda client, _: client.put(keyvalue.Put("/a", b"1")),
    "txn": lambda client, _: client.txn(
        [keyvalue.Compare("/a", 0)], [keyvalue.Put("/a", b"1")]
    ),
    "grant": lambda client, _: client.grant_lease(5),
    "keep_alive": lambda client, lease: client.keep_alive(lease),
    "revoke": lambda client, lease: client.revoke(lease),
}
READS = {
    "get": lambda client: client.get("/a"),
    "range": lambda client: client.range(keyvalue.Read("/", prefix=True)),
    "read_all": lambda client: client.read_all([keyvalue.Read("/a")]),
}
# Fault: (switches of the stand-in, whether a write may have taken effect). The
# client can't tell whether a closed connection was closed before or after the
# effect.
FAULTS = {
    "down": ({"down": True}, True),
    "response lost": ({"lose_answer": 1}, True),
    "request lost": ({"lose_request": 1}, True),
    "limit": ({"writes_s": 0.5, "reads_s": 0.5}, False),
}
HEAD = b"HTTP/1.1 200 OK\r\n"
# Responses of a service that does not follow the protocol.
INVALID_RESPONSES = {
    "empty": b"",
    "not HTTP": b"\xff\xff\xff\xff\r\n\r\n",
    "not JSON": HEAD + b"Content-Length: 3\r\n\r\n{{{",
    "a list": HEAD + b"Content-Length: 2\r\n\r\n[]",
    "no header": HEAD + b"Content-Length: 2\r\n\r\n{}",
    "truncated body": HEAD + b"Content-Length: 99\r\n\r\n{}",
    "server error": b"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\n{}",
    "redirect": b"HTTP/1.1 307 X\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
}


class ClientTest(unittest.TestCase):
    def setUp(self):
        self.server = kv.Server()
        self.client = keyvalue.Client(self.server.serve(), TIMEOUT_S)
        self.addCleanup(self.server.close)
        self.addCleanup(self.client.close)

    def test_write_and_read(self):
        committed = self.client.put(keyvalue.Put("/a", b"\x00\xff"))
        self.assertIsInstance(committed, keyvalue.Committed)
        expected = keyvalue.KeyValue(b"\x00\xff", committed.revision, "/a")
        self.assertEqual(expected, self.client.get("/a"))
        self.assertEqual(keyvalue.Missing(), self.client.get("/b"))
        self.client.put(keyvalue.Put("/b", b""))
        page = self.client.range(
            keyvalue.Read("/", prefix=True, descending=True, limit=1)
        )
        self.assertEqual(
            (["/b"], True), ([x.key for x in page.items], page.more)
        )
        self.assertEqual(2, page.count)
        page = self.client.range(
            keyvalue.Read("/", prefix=True, descending=True, before="/b")
        )
        self.assertEqual(["/a"], [x.key for x in page.items])
        with_data, keys_only = self.client.read_all(
            [
                keyvalue.Read("/a"),
                keyvalue.Read("/", prefix=True, keys_only=True),
            ]
        )
        self.assertEqual(b"\x00\xff", with_data.items[0].data)
        self.assertEqual([b"", b""], [item.data for item in keys_only.items])
        self.assertEqual(self.server.store.revision, keys_only.revision)

    def test_compare_and_swap(self):
        """A lost update would discard another operator's change."""
        put = keyvalue.Put("/a", b"1")
        first = self.client.txn([keyvalue.Compare("/a", 0)], [put])
        self.assertIsInstance(first, keyvalue.Committed)
        again = self.client.txn([keyvalue.Compare("/a", 0)], [put])
        self.assertEqual(first.revision, again.value.mod_revision)
        compares = [
            keyvalue.Compare("/a", first.revision),
            keyvalue.Compare("/b", 7),
        ]
        conflict = self.client.txn(compares, [keyvalue.Delete("/a")])
        self.assertEqual(keyvalue.Missing(), conflict.values[1])
        deleted = self.client.txn(compares[:1], [keyvalue.Delete("/a")])
        self.assertIsInstance(deleted, keyvalue.Committed)
        self.assertEqual(keyvalue.Missing(), self.client.get("/a"))

    def test_leases(self):
        lease = self.client.grant_lease(60)
        self.client.put(keyvalue.Put("/l", b"1", lease.lease_id))
        self.assertEqual(lease, self.client.keep_alive(lease))
        self.assertEqual(lease.lease_id, self.client.get("/l").lease)
        self.server.store.expire(force=True)
        self.assertEqual(keyvalue.Missing(), self.client.get("/l"))
        self.assertEqual(keyvalue.Missing(), self.client.keep_alive(lease))
        self.assertEqual(keyvalue.Missing(), self.client.revoke(lease))
        rejected = self.client.put(keyvalue.Put("/l", b"1", lease.lease_id))
        self.assertEqual(5, rejected.code)

    def test_rejected_values(self):
        """A rejection must be distinguishable from an unavailable service."""
        result = self.client.put(keyvalue.Put("/a", b"x" * 2_000_000))
        self.assertIsInstance(result, keyvalue.Rejected)

    def test_faults_during_writes(self):
        """A write that is wrongly said to have no effect would be repeated."""
        lease = self.client.grant_lease(600)
        for fault, (switches, may_have_taken_effect) in FAULTS.items():
            for name, call in WRITES.items():
                with self.subTest(fault=fault, call=name):
                    self.server.set_switches(**switches)
                    result = call(self.client, lease)
                    self.assertIsInstance(result, keyvalue.Unavailable)
                    self.assertEqual(
                        may_have_taken_effect, result.may_have_taken_effect
                    )

    def test_faults_during_reads(self):
        for fault in ("down", "limit"):
            for name, call in READS.items():
                with self.subTest(fault=fault, call=name):
                    self.server.set_switches(**FAULTS[fault][0])
                    result = call(self.client)
                    self.assertIsInstance(result, keyvalue.Unavailable)
                    self.assertFalse(result.may_have_taken_effect)

    def test_write_with_lost_response_takes_effect(self):
        """The stand-in must reproduce the case that callers must resolve."""
        self.server.set_switches(lose_answer=1)
        WRITES["put"](self.client, None)
        self.assertEqual(b"1", self.client.get("/a").data)
        self.assertEqual(1, self.server.calls["put"])

    def test_slow_service(self):
        """A write that times out may still take effect later."""
        self.client.get("/a")  # Opens the connection that the write reuses.
        self.server.set_switches(slow_s=3600.0)
        self.client.timeout_s = 0.05
        result = WRITES["put"](self.client, None)
        self.assertTrue(result.may_have_taken_effect)
        self.assertEqual(1, self.client.failures)

    def test_idle_connections_are_not_reused_after_a_time_out(self):
        """Each connection that had gone silent cost one time limit."""
        silent = set()
        accepted = []

        def serve(sock):
            while sock.recv(65536):
                eventlet.sleep(TIMEOUT_S if sock in silent else 0.02)
                sock.sendall(HEAD + b"Content-Length: 2\r\n\r\n{}")

        def accept():
            while True:
                sock, _ = listener.accept()
                accepted.append(sock)
                eventlet.spawn_n(serve, sock)

        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.addCleanup(eventlet.spawn(accept).kill)
        host, port = listener.getsockname()
        client = keyvalue.Client(f"{host}:{port}", 0.5)
        calls = [eventlet.spawn(client.get, "/a") for _ in range(2)]
        for call in calls:
            call.wait()
        client.get("/a")
        self.assertEqual(2, len(accepted))
        silent.update(accepted)
        client.timeout_s = 0.05
        self.assertIn("Timeout", client.get("/a").detail)
        # Concurrent calls, as the pool opens a connection for the next one.
        calls = [eventlet.spawn(client.get, "/a") for _ in range(2)]
        for call in calls:
            self.assertIn("invalid response", call.wait().detail)
        self.assertEqual(4, len(accepted))

    def test_connection_refused(self):
        self.server.close()
        client = keyvalue.Client(self.server.address, TIMEOUT_S)
        result = WRITES["put"](client, None)
        self.assertFalse(result.may_have_taken_effect)


class InvalidResponseTest(unittest.TestCase):
    def serve(self, handle):
        """Serves one connection; returns a client of the service."""
        sock = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(sock.close)

        def accept():
            connection, _ = sock.accept()
            connection.recv(65536)
            handle(connection)
            connection.close()

        thread = eventlet.spawn(accept)
        self.addCleanup(thread.kill)
        host, port = sock.getsockname()
        return keyvalue.Client(f"{host}:{port}", TIMEOUT_S)

    def test_invalid_responses(self):
        """A page from a proxy must not raise or pass for a valid response."""
        for name, data in INVALID_RESPONSES.items():
            with self.subTest(name):
                client = self.serve(lambda sock, data=data: sock.sendall(data))
                result = WRITES["txn"](client, None)
                self.assertIsInstance(result, keyvalue.Unavailable)
                self.assertTrue(result.may_have_taken_effect)

    def test_response_sent_byte_by_byte(self):
        """A service that sends byte by byte must not block a caller forever."""
        clock = iter(range(0, 10_000, 20))

        def send_byte_by_byte(sock):
            sock.sendall(HEAD + b"Content-Length: 1000000\r\n\r\n")
            while True:
                sock.sendall(b" ")
                eventlet.sleep(0)

        client = self.serve(send_byte_by_byte)
        client.now = lambda: next(clock)
        result = READS["get"](client)
        self.assertIn("too long", result.detail)


if __name__ == "__main__":
    unittest.main()
