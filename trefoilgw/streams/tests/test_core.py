"""Contract of streams: handshake, refusals, cuts."""

import socket as stdlib_socket
import unittest

import eventlet
from eventlet import hubs
from eventlet import queue
from eventlet.green import socket

from trefoilgw.messages import codec
from trefoilgw.messages import core as messages
from trefoilgw.streams import core as streams

KEY = b"shared key"
TIMEOUT_S = 10.0


def hello(version=messages.PROTOCOL_VERSION):
    return messages.AgentHello(
        version, "agent-1", "a" * 16, "d1", ("s",), 8, 64, 0, ""
    )


def welcome(_):
    return messages.Welcome("b" * 16, 1, 7, 3.0, 1, ())


class StreamTest(unittest.TestCase):
    def setUp(self):
        self.accepted = queue.Queue()
        self.listener = streams.Listener(KEY, welcome, self.accepted.put)
        self.address = self.listener.listen("127.0.0.1:0")
        self.addCleanup(self.listener.close)

    def connect(self):
        client = streams.dial(self.address, KEY, hello())
        server = self.accepted.get(timeout=TIMEOUT_S)
        return client, server

    def test_messages_pass_both_ways(self):
        client, server = self.connect()
        arrived = queue.Queue()
        closed = queue.Queue()
        server.start(
            lambda stream, message: stream.send(message),
            lambda stream, reason: None,
        )
        client.start(
            lambda stream, message: arrived.put(message),
            lambda stream, reason: closed.put(reason),
        )
        sent = [messages.CreditGrant(number) for number in range(50)]
        for message in sent:
            self.assertTrue(client.send(message))
        got = [arrived.get(timeout=TIMEOUT_S) for _ in sent]
        self.assertEqual(sent, got)
        self.assertEqual(7, client.welcome.revision)
        self.assertEqual("agent-1", server.hello.agent)
        self.assertLess(client.sent_writes, 50)
        server.close("done")
        closed.get(timeout=TIMEOUT_S)
        self.assertFalse(client.send(sent[0]))

    def test_refused_hellos(self):
        """A wrong key or version must be told, not served."""
        cases = {
            "key": (b"other key", hello()),
            "version": (KEY, hello(version=99)),
        }
        for reason, (key, greeting) in cases.items():
            with (
                self.subTest(reason),
                self.assertRaisesRegex(streams.DialError, reason),
            ):
                streams.dial(self.address, key, greeting)
        self.assertTrue(self.accepted.empty())

    def test_server_without_the_key_is_refused(self):
        """An impostor that skips the proof must not get work."""
        server = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(server.close)

        def pose():
            sock, _ = server.accept()
            stream = streams.Stream(sock)
            stream.send_now(messages.Challenge(b"n" * 16, 1))
            stream.receive_one()
            stream.send_now(welcome(None))

        eventlet.spawn_n(pose)
        host, port = server.getsockname()
        with self.assertRaisesRegex(streams.DialError, "key"):
            streams.dial(f"{host}:{port}", KEY, hello())

    def test_cut_mid_frame_closes_without_half_a_message(self):
        """A cut inside a frame must reach on_closed only."""
        client, server = self.connect()
        arrived = queue.Queue()
        closed = queue.Queue()
        server.start(
            lambda stream, message: arrived.put(message),
            lambda stream, reason: closed.put(reason),
        )
        frame = codec.encode(messages.CreditGrant(1))
        client.sock.sendall(frame + frame[:-1])
        client.sock.shutdown(stdlib_socket.SHUT_RDWR)
        closed.get(timeout=TIMEOUT_S)
        self.assertEqual(1, arrived.qsize())

    def test_local_close_wakes_whoever_waits(self):
        """A forgotten reader keeps its stream, and breaks a later pipe."""
        client, server = self.connect()
        for stream in (client, server):
            stream.start(lambda *_: None, lambda *_: None)
        numbers = [s.sock.fileno() for s in (client, server)]
        numbers.append(self.listener._sock.fileno())
        readers = hubs.get_hub().listeners["read"]
        while not set(numbers) <= set(readers):
            eventlet.sleep(0)
        for stream in (client, server):
            stream.close("done")
        self.listener.close()
        self.assertEqual(set(), set(numbers) & set(readers))

    def test_garbage_closes_the_stream(self):
        """Bytes of another protocol must not hang the reader."""
        client, server = self.connect()
        closed = queue.Queue()
        server.start(
            lambda stream, message: None,
            lambda stream, reason: closed.put(reason),
        )
        client.sock.sendall(b"\xff" * 64)
        self.assertIn("limit", closed.get(timeout=TIMEOUT_S))

    def test_non_protocol_client_is_dropped(self):
        """An HTTP client on the stream port must be closed."""
        host, port = streams.parse_address(self.address)
        sock = socket.create_connection((host, port))
        self.addCleanup(sock.close)
        sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
        sock.settimeout(TIMEOUT_S)
        while sock.recv(4096):
            pass
        self.assertTrue(self.accepted.empty())


class ListenTest(unittest.TestCase):
    def test_a_port_is_bound_once(self):
        """Two processes on one port would share its streams at random."""
        # A port of the kernel's choice is never shared, so it is named.
        free, address = streams.listen("127.0.0.3:0")
        streams.close_socket(free)
        sock, _ = streams.listen(address)
        self.addCleanup(streams.close_socket, sock)
        with self.assertRaises(OSError):
            streams.listen(address)


class AddressTest(unittest.TestCase):
    def test_bad_addresses(self):
        for text in ("", "host", "1.2.3.4:", "1.2.3.4:x", "1.2.3.4:70000"):
            with self.subTest(text), self.assertRaises(ValueError):
                streams.parse_address(text)


if __name__ == "__main__":
    unittest.main()
