"""Tests of streams: handshake, refusals, interrupted connections."""

import errno
import socket as stdlib_socket
import unittest
from unittest import mock

import eventlet
from eventlet import hubs
from eventlet import queue
from eventlet.green import socket

from trefoilgw.messages import codec
from trefoilgw.messages import core as messages
from trefoilgw.streams import core as streams
from trefoilgw.streams import redialling

KEY = b"shared key"
TIMEOUT_S = 10.0


def hello(version=messages.PROTOCOL_VERSION):
    return messages.AgentHello(
        version, "agent-1", "a" * 16, "d1", ("s",), 8, 64, 0, ""
    )


def welcome(_):
    return messages.Welcome("b" * 16, 1, 7, 3.0, 1, ())


class StreamTest(unittest.TestCase):
    options = {}

    def setUp(self):
        self.accepted = queue.Queue()
        self.listener = streams.Listener(KEY, welcome, self.accepted.put)
        self.address = self.listener.listen("127.0.0.1:0")
        self.addCleanup(self.listener.close)

    def connect(self):
        """Returns both ends of a new stream, client first, not started."""
        client = streams.dial(self.address, KEY, hello())
        server = self.accepted.get(timeout=TIMEOUT_S)
        return client, server

    def test_messages_pass_both_ways(self):
        """Messages must arrive whole and in order, and share writes."""
        client, server = self.connect()
        received = queue.Queue()
        closed = queue.Queue()
        server.start(
            lambda stream, message: stream.send(message),
            lambda stream, reason: None,
            **self.options,
        )
        client.start(
            lambda stream, message: received.put(message),
            lambda stream, reason: closed.put(reason),
            **self.options,
        )
        sent = [messages.CreditGrant(number) for number in range(50)]
        for message in sent:
            self.assertTrue(client.send(message))
        echoed = [received.get(timeout=TIMEOUT_S) for _ in sent]
        self.assertEqual(sent, echoed)
        self.assertEqual(7, client.welcome.revision)
        self.assertEqual("agent-1", server.hello.agent)
        self.assertLess(client.sent_writes, 50)
        server.close("done")
        closed.get(timeout=TIMEOUT_S)
        self.assertFalse(client.send(sent[0]))

    def test_refused_hellos(self):
        """A wrong key or version must be refused with its reason."""
        cases = {
            "key": (b"other key", hello()),
            "version": (KEY, hello(version=99)),
        }
        for reason, (key, refused_hello) in cases.items():
            with (
                self.subTest(reason),
                self.assertRaisesRegex(streams.DialError, reason),
            ):
                streams.dial(self.address, key, refused_hello)
        self.assertTrue(self.accepted.empty())

    def test_server_without_the_key_is_refused(self):
        """A client must reject a server whose welcome has no valid proof."""
        server = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(server.close)

        def welcome_without_proof():
            sock, _ = server.accept()
            stream = streams.Stream(sock)
            stream.send_handshake(messages.Challenge(b"n" * 16, 1))
            stream.receive_handshake()
            stream.send_handshake(welcome(None))

        eventlet.spawn_n(welcome_without_proof)
        host, port = server.getsockname()
        with self.assertRaisesRegex(streams.DialError, "key"):
            streams.dial(f"{host}:{port}", KEY, hello())

    def test_incomplete_frame_is_not_delivered(self):
        """A connection that ends within a frame must only close the stream."""
        client, server = self.connect()
        received = queue.Queue()
        closed = queue.Queue()
        server.start(
            lambda stream, message: received.put(message),
            lambda stream, reason: closed.put(reason),
            **self.options,
        )
        frame = codec.encode(messages.CreditGrant(1))
        client.sock.sendall(frame + frame[:-1])
        client.sock.shutdown(stdlib_socket.SHUT_RDWR)
        closed.get(timeout=TIMEOUT_S)
        self.assertEqual(1, received.qsize())

    def test_local_close_wakes_waiting_greenthreads(self):
        """A closed descriptor must not stay registered with the hub.

        The waiting reader would keep its stream alive, and a pipe that reuses
        the descriptor number would fail with "second simultaneous read".
        """
        client, server = self.connect()
        for stream in (client, server):
            stream.start(lambda *_: None, lambda *_: None, **self.options)
        numbers = [s.sock.fileno() for s in (client, server)]
        numbers.append(self.listener._sock.fileno())
        readers = hubs.get_hub().listeners["read"]
        while not set(numbers) <= set(readers):
            eventlet.sleep(0)
        for stream in (client, server):
            stream.close("done")
        self.listener.close()
        self.assertEqual(set(), set(numbers) & set(readers))

    def test_failing_handler_closes_the_stream(self):
        """A message that a handler can't process must not end the process."""
        client, server = self.connect()
        closed = queue.Queue()

        def fail(stream, message):
            raise ValueError("unexpected")

        server.start(
            fail,
            lambda stream, reason: closed.put(reason),
            **self.options,
        )
        client.start(lambda *_: None, lambda *_: None, **self.options)
        with self.assertLogs(streams.log, "ERROR"):
            client.send(messages.CreditGrant(1))
            reason = closed.get(timeout=TIMEOUT_S)
        self.assertEqual("message handler failed", reason)

    def test_handler_may_close_another_stream(self):
        """Both may have become readable in the same turn of the hub."""
        pairs = [self.connect() for _ in range(2)]
        servers = [server for _, server in pairs]
        received = []

        def close_other(stream, message):
            received.append(message)
            servers[servers.index(stream) - 1].close("done")

        for client, server in pairs:
            server.start(close_other, lambda *_: None, **self.options)
            client.send_handshake(messages.CreditGrant(1))
        eventlet.sleep(0.05)
        self.assertEqual(1, len(received))

    def test_garbage_closes_the_stream(self):
        """Bytes of another protocol must close the stream with a reason."""
        client, server = self.connect()
        closed = queue.Queue()
        server.start(
            lambda stream, message: None,
            lambda stream, reason: closed.put(reason),
            **self.options,
        )
        client.sock.sendall(b"\xff" * 64)
        self.assertIn("limit", closed.get(timeout=TIMEOUT_S))

    def test_non_protocol_client_is_dropped(self):
        """The connection of an HTTP client must be closed."""
        host, port = streams.parse_address(self.address)
        sock = socket.create_connection((host, port))
        self.addCleanup(sock.close)
        sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
        sock.settimeout(TIMEOUT_S)
        while sock.recv(4096):
            pass
        self.assertTrue(self.accepted.empty())

    def test_failed_accept_does_not_end_the_listener(self):
        """While no descriptor is free, accept fails for some time."""
        accept = self.listener._sock.accept
        failures = [OSError(errno.EMFILE, "too many open files")] * 2

        def accept_after_failures():
            if failures:
                raise failures.pop()
            return accept()

        with (
            mock.patch.object(
                self.listener._sock, "accept", accept_after_failures
            ),
            mock.patch.object(streams, "ACCEPT_RETRY_S", 0.01),
        ):
            # The accept that is already waiting takes the first connection.
            self.connect()
            self.connect()
        self.assertEqual([], failures)


class EventLoopStreamTest(StreamTest):
    """The same with messages that the event loop itself delivers."""

    options = {"may_yield": False}


class RedialTest(unittest.TestCase):
    def test_unexpected_error_does_not_end_redialing(self):
        """The peer would stay unreachable until the process restarts."""
        accepted = queue.Queue()
        listener = streams.Listener(KEY, welcome, accepted.put)
        address = listener.listen("127.0.0.1:0")
        self.addCleanup(listener.close)
        served = []

        def serve(stream):
            served.append(stream)
            if len(served) == 1:
                raise RuntimeError("unexpected")

        redialer = redialling.Redialer(KEY, hello())
        with self.assertLogs("trefoilgw.streams.redialling", "ERROR"):
            redialer.maintain_stream(address, lambda: len(served) < 2, serve)
        self.assertEqual(2, len(served))
        self.assertTrue(served[0].closed)
        served[1].close("done")


class ListenTest(unittest.TestCase):
    def test_a_port_is_bound_once(self):
        """A second process must not bind the same port.

        The kernel would distribute connections over both at random.
        """
        # The kernel never picks a port that is in use, so the second call must
        # name the port.
        free, address = streams.listen("127.0.0.3:0")
        streams.close_socket(free)
        sock, _ = streams.listen(address)
        self.addCleanup(streams.close_socket, sock)
        with self.assertRaises(OSError):
            streams.listen(address)


class AddressTest(unittest.TestCase):
    def test_bad_addresses(self):
        """An incomplete or out-of-range address must be rejected."""
        for text in (
            "",
            "host",
            "1.2.3.4:",
            "1.2.3.4:x",
            "1.2.3.4:70000",
            "1.2.3.4:" + "9" * 5000,
            "1.2.3.4:²",
            "1.2.3:80",
            "\ud800:80",
        ):
            with self.subTest(text), self.assertRaises(ValueError):
                streams.parse_address(text)

    def test_host_name_is_no_address(self):
        """A list of another writer may name one; its look-up would block."""
        with self.assertRaises(ValueError):
            streams.parse_address("host.example:80")


if __name__ == "__main__":
    unittest.main()
