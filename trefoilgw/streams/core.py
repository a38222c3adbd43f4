"""Message streams over TCP with a mutual proof of a shared key.

A server greets with a `Challenge`; the client answers with its hello, whose
proof is an HMAC over the nonce and the hello; the server answers `Welcome`
with a proof of its own, or `HelloRefused`. Streams carry whole messages and
know nothing of their meaning. Reconnecting is up to the caller.
"""

import contextlib
import errno
import hmac
import logging
import os
import socket as stdlib_socket
import time
from collections.abc import Callable

import attrs
import eventlet
from eventlet import event
from eventlet import hubs
from eventlet.green import socket

from trefoilgw.messages import codec
from trefoilgw.messages import core as messages
from trefoilgw.streams import proofs

HANDSHAKE_TIMEOUT_S = 3.0
READ_BYTES = 64 * 1024
# A peer that reads this little is as good as dead; its stream is closed.
OUTBOX_LIMIT_BYTES = 32 * 1024 * 1024
NONCE_BYTES = 16
LISTEN_BACKLOG = 1024

log = logging.getLogger(__name__)


class DialError(Exception):
    """A stream could not be opened; the text says why."""


def parse_address(address: str) -> tuple[str, int]:
    """Returns host and port of ``ip:port``.

    Raises:
        ValueError: The text is not an address.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError(f"not an ip:port address: {address!r}")
    return host, int(port)


@attrs.define(eq=False)
class Stream:
    """One open stream.

    Messages sent in the same turn of the event loop leave in one write.

    Attributes:
        sock: Connected green socket.
        peer: Address of the other side, for logs.
        hello: The client's hello at a server, None at a client.
        welcome: The server's welcome.
        on_message: Called with each message; must not block for long.
        on_closed: Called once with the reason.
        sent_messages: Messages queued for sending.
        sent_writes: Writes that carried them.
        sent_bytes: Bytes written.
        received_messages: Messages delivered.
        received_bytes: Bytes read.
        last_received_s: Monotonic time of the last bytes read.
        closed: True once either side closed.
        outbox_limit_bytes: At this size of unsent frames the stream closes.
    """

    sock: socket.socket
    peer: str = ""
    hello: object | None = None
    welcome: object | None = None
    on_message: Callable = lambda stream, message: None
    on_closed: Callable = lambda stream, reason: None
    sent_messages: int = 0
    sent_writes: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    last_received_s: float = attrs.field(factory=time.monotonic)
    closed: bool = False
    outbox_limit_bytes: int = OUTBOX_LIMIT_BYTES
    _outbox: list = attrs.field(factory=list)
    _outbox_bytes: int = 0
    _wake: event.Event = attrs.field(factory=event.Event)
    _decoder: codec.Decoder = attrs.field(factory=codec.Decoder)
    _pending: list = attrs.field(factory=list)

    def start(self, on_message: Callable, on_closed: Callable) -> None:
        """Starts reading and writing.

        Args:
            on_message: Called as ``on_message(stream, message)``.
            on_closed: Called once as ``on_closed(stream, reason)``.
        """
        self.on_message = on_message
        self.on_closed = on_closed
        eventlet.spawn_n(self._write_loop)
        eventlet.spawn_n(self._read_loop)

    def send(self, message) -> bool:
        """Queues a message.

        Returns:
            False if the stream is closed: the message was not sent. True
            does not mean that it arrived.
        """
        if self.closed:
            return False
        frame = codec.encode(message)
        self._outbox.append(frame)
        self._outbox_bytes += len(frame)
        self.sent_messages += 1
        if self._outbox_bytes > self.outbox_limit_bytes:
            self.close("the peer does not read")
            return False
        self._notify()
        return True

    def close(self, reason: str) -> None:
        """Closes the stream; queued messages may be lost."""
        if self.closed:
            return
        self.closed = True
        self._notify()
        close_socket(self.sock)
        eventlet.spawn_n(self.on_closed, self, reason)

    def silence_s(self) -> float:
        """Returns the seconds since the last bytes came."""
        return time.monotonic() - self.last_received_s

    def flush(self, timeout_s: float = 1.0) -> None:
        """Waits until queued messages are written, at most `timeout_s`."""
        deadline_s = time.monotonic() + timeout_s
        while self._outbox_bytes and not self.closed:
            if time.monotonic() >= deadline_s:
                return
            eventlet.sleep(0.005)

    def _notify(self) -> None:
        """Wakes the write loop."""
        if not self._wake.ready():
            self._wake.send()

    def _write_loop(self) -> None:
        """Writes queued frames until the stream is closed."""
        try:
            while not self.closed:
                self._wake.wait()
                self._wake = event.Event()
                self._write_outbox()
        except OSError as error:
            self.close(f"write failed: {error}")

    def _write_outbox(self) -> None:
        """Writes all frames that are queued now."""
        while self._outbox and not self.closed:
            data = b"".join(self._outbox)
            self._outbox.clear()
            self.sock.sendall(data)
            self._outbox_bytes -= len(data)
            self.sent_writes += 1
            self.sent_bytes += len(data)

    def _read_loop(self) -> None:
        """Delivers messages until the stream is closed."""
        reason = "closed by the peer"
        try:
            self._deliver(self._pending)
            while not self.closed:
                data = self.sock.recv(READ_BYTES)
                if not data:
                    break
                self.last_received_s = time.monotonic()
                self.received_bytes += len(data)
                self._deliver(self._decoder.feed(data))
        except EOFError:
            reason = "closed locally"
        except (OSError, codec.FrameError) as error:
            reason = f"read failed: {error}"
        except Exception:
            log.exception("message handler failed", extra={"peer": self.peer})
            reason = "message handler failed"
        self.close(reason)

    def _deliver(self, arrived) -> None:
        """Hands over messages as long as the stream is open."""
        for message in arrived:
            if self.closed:
                return
            self.received_messages += 1
            self.on_message(self, message)

    def receive_one(self):
        """Returns the next message during the handshake.

        Raises:
            FrameError: The peer speaks another protocol.
            OSError: The connection failed or was closed.
        """
        while not self._pending:
            data = self.sock.recv(READ_BYTES)
            if not data:
                raise ConnectionResetError(
                    errno.ECONNRESET, "closed during the handshake"
                )
            self.received_bytes += len(data)
            self._pending.extend(self._decoder.feed(data))
        return self._pending.pop(0)

    def send_now(self, message) -> None:
        """Writes one message at once; only during the handshake."""
        frame = codec.encode(message)
        self.sock.sendall(frame)
        self.sent_messages += 1
        self.sent_writes += 1
        self.sent_bytes += len(frame)


def close_socket(sock: socket.socket) -> None:
    """Closes a socket and wakes whoever waits for it.

    A second close is harmless.

    Notes:
        eventlet leaves a greenthread waiting whose socket another one closes,
        until the number of the descriptor is used again by a socket. If a pipe
        uses it first, that fails as a "second simultaneous read".
    """
    with contextlib.suppress(OSError):  # The peer may have been first.
        sock.shutdown(stdlib_socket.SHUT_RDWR)
    if sock.fileno() >= 0:
        hubs.notify_opened(sock.fileno())
    sock.close()


def listen(address: str) -> tuple[socket.socket, str]:
    """Returns a listening socket and its address as ``ip:port``.

    Args:
        address: ``ip:port``; port 0 takes a free one.

    Raises:
        OSError: The address can't be bound.

    Notes:
        By default eventlet lets a second process bind the same port, and the
        two would share the connections at random.
    """
    sock = eventlet.listen(
        parse_address(address), backlog=LISTEN_BACKLOG, reuse_port=False
    )
    host, port = sock.getsockname()[:2]
    return sock, f"{host}:{port}"


def _tune(sock: socket.socket) -> None:
    """Sends small frames at once."""
    sock.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)


def dial(
    address: str,
    key: bytes,
    hello,
    timeout_s: float = HANDSHAKE_TIMEOUT_S,
) -> Stream:
    """Opens a stream and proves the key both ways.

    Args:
        address: ``ip:port`` of a `Listener`.
        key: Shared key from the settings.
        hello: `AgentHello` or `PeerHello` with an empty proof.
        timeout_s: Limit for connecting and the handshake together.

    Returns:
        A stream with its `welcome` set; call `Stream.start` on it.

    Raises:
        DialError: No connection, a refusal, or a wrong proof.
    """
    sock = None
    try:
        with eventlet.Timeout(timeout_s, TimeoutError("handshake timed out")):
            sock = socket.create_connection(parse_address(address))
            _tune(sock)
            stream = Stream(sock, peer=address)
            stream.welcome = _client_handshake(stream, key, hello)
            return stream
    except (OSError, codec.FrameError, ValueError, DialError) as error:
        if sock is not None:
            close_socket(sock)
        raise DialError(f"{address}: {error}") from error


def _client_handshake(stream: Stream, key: bytes, hello) -> messages.Welcome:
    """Returns the server's welcome after checking its proof."""
    challenge = stream.receive_one()
    if not isinstance(challenge, messages.Challenge):
        raise DialError("no challenge from the server")
    proof = proofs.of_hello(key, challenge.nonce, hello)
    stream.send_now(attrs.evolve(hello, proof=proof))
    answer = stream.receive_one()
    match answer:
        case messages.Welcome():
            expected = proofs.of_welcome(key, challenge.nonce, proof, answer)
            if not hmac.compare_digest(expected, answer.proof):
                raise DialError("the server does not know the key")
            return answer
        case messages.HelloRefused(reason=reason, detail=detail):
            raise DialError(f"refused: {reason}: {detail}")
    raise DialError(f"unexpected {type(answer).__name__}")


@attrs.define(eq=False)
class Listener:
    """Accepts streams.

    Attributes:
        key: Shared key from the settings.
        admit: Called with a proven hello; returns `Welcome` or
            `HelloRefused`.
        on_stream: Called with each accepted stream, which is not started.
        refused_hellos: Hellos refused so far.
    """

    key: bytes
    admit: Callable
    on_stream: Callable
    refused_hellos: int = 0
    _sock: socket.socket | None = None

    def listen(self, address: str) -> str:
        """Starts listening; port 0 takes a free one.

        Returns:
            The address as ``ip:port``.

        Raises:
            OSError: The address can't be bound.
        """
        self._sock, bound = listen(address)
        eventlet.spawn_n(self._accept_loop)
        return bound

    def close(self) -> None:
        """Stops accepting; open streams stay."""
        if self._sock is not None:
            close_socket(self._sock)

    def _accept_loop(self) -> None:
        """Accepts connections until closed."""
        while True:
            try:
                sock, peer = self._sock.accept()
            except OSError:
                return
            eventlet.spawn_n(self._greet, sock, f"{peer[0]}:{peer[1]}")

    def _greet(self, sock: socket.socket, peer: str) -> None:
        """Runs the server's side of the handshake."""
        stream = Stream(sock, peer=peer)
        try:
            _tune(sock)
            with eventlet.Timeout(HANDSHAKE_TIMEOUT_S, TimeoutError("slow")):
                accepted = self._server_handshake(stream)
        except (OSError, codec.FrameError) as error:
            self.refused_hellos += 1
            log.info(
                "handshake failed", extra={"peer": peer, "error": str(error)}
            )
            accepted = False
        except Exception:
            log.exception("admit failed", extra={"peer": peer})
            accepted = False
        if accepted:
            self.on_stream(stream)
        else:
            close_socket(sock)

    def _server_handshake(self, stream: Stream) -> bool:
        """Returns True once the client was welcomed."""
        nonce = os.urandom(NONCE_BYTES)
        stream.send_now(messages.Challenge(nonce, messages.PROTOCOL_VERSION))
        hello = stream.receive_one()
        refusal = self._refusal(nonce, hello)
        answer = refusal or self.admit(hello)
        if isinstance(answer, messages.HelloRefused):
            self.refused_hellos += 1
            stream.send_now(answer)
            return False
        proof = proofs.of_welcome(self.key, nonce, hello.proof, answer)
        stream.hello = hello
        stream.welcome = attrs.evolve(answer, proof=proof)
        stream.send_now(stream.welcome)
        return True

    def _refusal(self, nonce: bytes, hello) -> messages.HelloRefused | None:
        """Returns why a hello is refused before `admit` is asked."""
        if not type(hello).opens_stream:
            return messages.HelloRefused("protocol", "a hello was expected")
        if hello.version != messages.PROTOCOL_VERSION:
            return messages.HelloRefused(
                "version",
                f"version {hello.version} is not {messages.PROTOCOL_VERSION}",
            )
        expected = proofs.of_hello(self.key, nonce, hello)
        if not hmac.compare_digest(expected, hello.proof):
            return messages.HelloRefused("key", "the proof is wrong")
        return None
