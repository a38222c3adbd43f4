"""Message streams over TCP, authenticated mutually with a shared key.

The server opens the handshake with a `Challenge`. The client replies with its
hello, whose proof is an HMAC over the nonce and the hello. The server replies
with `Welcome`, which carries a proof of its own, or with `HelloRefused`. A
stream delivers complete messages and does not interpret them. Reconnecting is
left to the caller.
"""

import contextlib
import errno
import hmac
import ipaddress
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
from trefoilgw.timers import clock

MAX_PORT = 65535
HANDSHAKE_TIMEOUT_S = 3.0
READ_BYTES = 64 * 1024
# A peer that leaves this much unread is treated as dead; its stream is closed.
MAX_OUTBOX_BYTES = 32 * 1024 * 1024
NONCE_BYTES = 16
LISTEN_BACKLOG = 1024
# Pause after a failed accept, for example while no descriptor is free.
ACCEPT_RETRY_S = 0.1

log = logging.getLogger(__name__)


class DialError(Exception):
    """A stream could not be opened; the text gives the reason."""


def parse_address(address: str) -> tuple[str, int]:
    """Returns the IP address and port of an ``ip:port`` address.

    A host name is refused: looking it up would block the whole process.

    Raises:
        ValueError: The text is not an address.
    """
    host, _, port = address.rpartition(":")
    valid_port = port.isascii() and port.isdigit() and len(port) <= 5
    if not valid_port or int(port) > MAX_PORT:
        raise ValueError(f"not an ip:port address: {address!r}")
    return str(ipaddress.IPv4Address(host)), int(port)


@attrs.define(eq=False)
class Stream:
    """An open message stream.

    Messages sent in the same turn of the event loop share one write.

    Attributes:
        sock: Connected green socket.
        peer: Address of the other side, for logs.
        hello: The client's hello on the server side, None on the client side.
        welcome: The server's welcome.
        on_message: Called with each message; must not block for long.
        on_closed: Called once with the reason.
        sent_messages: Messages queued for sending.
        sent_writes: Writes that carried them.
        sent_bytes: Bytes written.
        received_messages: Messages delivered.
        received_bytes: Bytes read.
        last_received_s: Monotonic time of the last bytes read.
        dialed_s: When the client began to dial, on the clock of leases; 0 on
            the server side.
        closed: True once either side has closed the stream.
        max_outbox_bytes: The stream closes if the queued frames exceed this.
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
    dialed_s: float = 0.0
    closed: bool = False
    max_outbox_bytes: int = MAX_OUTBOX_BYTES
    _outbox: list = attrs.field(factory=list)
    _outbox_bytes: int = 0
    _wake: event.Event = attrs.field(factory=event.Event)
    _decoder: codec.Decoder = attrs.field(factory=codec.Decoder)
    _undelivered: list = attrs.field(factory=list)
    _listener: object | None = None

    def start(
        self,
        on_message: Callable,
        on_closed: Callable,
        may_yield: bool = True,
    ) -> None:
        """Starts to read and write.

        Args:
            on_message: Called as ``on_message(stream, message)``.
            on_closed: Called once as ``on_closed(stream, reason)``.
            may_yield: Whether `on_message` may wait. If not, the event loop
                itself calls it, which saves three of five system calls and two
                switches of greenthreads for each read.
        """
        self.on_message = on_message
        self.on_closed = on_closed
        eventlet.spawn_n(self._write_loop)
        eventlet.spawn_n(self._read_loop if may_yield else self._listen)

    def send(self, message) -> bool:
        """Queues a message.

        Returns:
            False if the message was not sent because the stream is closed or
            closes now, as its outbox is full. True does not mean that the
            message arrived.
        """
        return not self.closed and self.send_frame(codec.encode(message))

    def send_frame(self, frame: bytes) -> bool:
        """Queues an encoded message, which may go to many streams.

        Args:
            frame: The result of `codec.encode`.

        Returns:
            False if the message was not sent; see `send`.
        """
        if self.closed:
            return False
        self._outbox.append(frame)
        self._outbox_bytes += len(frame)
        self.sent_messages += 1
        if self._outbox_bytes > self.max_outbox_bytes:
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
        if self._listener is not None:
            hubs.get_hub().remove(self._listener)
        close_socket(self.sock)
        eventlet.spawn_n(self.on_closed, self, reason)

    def silence_s(self) -> float:
        """Returns the seconds since bytes were last received."""
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
        """Writes queued frames until the outbox is empty."""
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
            self._deliver(self._undelivered)
            while not self.closed:
                data = self.sock.recv(READ_BYTES)
                if not data:
                    break
                self._receive(data)
        except EOFError:
            reason = "closed locally"
        except Exception as error:
            reason = self._describe_failure(error)
        self.close(reason)

    def _listen(self) -> None:
        """Delivers what came with the handshake, and has the hub read more."""
        try:
            self._deliver(self._undelivered)
        except Exception as error:
            self.close(self._describe_failure(error))
        if not self.closed:
            hub = hubs.get_hub()
            self._listener = hub.add(
                hub.READ, self.sock.fileno(), self._readable, _ignore, None
            )

    def _readable(self, fileno: int) -> None:
        """Reads and delivers what has arrived; called by the hub."""
        if self.closed:
            return
        try:
            data = self.sock.fd.recv(READ_BYTES)
            if data:
                self._receive(data)
                return
            reason = "closed by the peer"
        except BlockingIOError:
            return
        except Exception as error:
            reason = self._describe_failure(error)
        self.close(reason)

    def _describe_failure(self, error: Exception) -> str:
        """Returns why an error closes the stream; logs an unexpected one."""
        if isinstance(error, (OSError, codec.FrameError)):
            return f"read failed: {error}"
        log.exception("message handler failed", extra={"peer": self.peer})
        return "message handler failed"

    def _receive(self, data: bytes) -> None:
        """Delivers the messages that some bytes complete."""
        self.last_received_s = time.monotonic()
        self.received_bytes += len(data)
        self._deliver(self._decoder.feed(data))

    def _deliver(self, received) -> None:
        """Passes messages to `on_message` while the stream is open."""
        for message in received:
            if self.closed:
                return
            self.received_messages += 1
            self.on_message(self, message)

    def receive_handshake(self):
        """Returns the next message during the handshake.

        Raises:
            FrameError: The peer sent bytes of another protocol.
            OSError: The connection failed or was closed.
        """
        while not self._undelivered:
            data = self.sock.recv(READ_BYTES)
            if not data:
                raise ConnectionResetError(
                    errno.ECONNRESET, "closed during the handshake"
                )
            self.received_bytes += len(data)
            self._undelivered.extend(self._decoder.feed(data))
        return self._undelivered.pop(0)

    def send_handshake(self, message) -> None:
        """Writes one message without queuing; only during the handshake."""
        frame = codec.encode(message)
        self.sock.sendall(frame)
        self.sent_messages += 1
        self.sent_writes += 1
        self.sent_bytes += len(frame)


def _ignore(error: Exception) -> None:
    """Takes the hub's notice that a descriptor was closed."""


def close_socket(sock: socket.socket) -> None:
    """Closes a socket and wakes the greenthreads that wait for it.

    Closing a socket twice has no effect.

    Notes:
        If one greenthread closes a socket that another one waits for, eventlet
        leaves the other one waiting until a socket reuses the descriptor
        number. If a pipe reuses it first, reading the pipe fails with "second
        simultaneous read".
    """
    with contextlib.suppress(OSError):  # The peer may have closed it first.
        sock.shutdown(stdlib_socket.SHUT_RDWR)
    if sock.fileno() >= 0:
        hubs.notify_opened(sock.fileno())
    sock.close()


def listen(address: str) -> tuple[socket.socket, str]:
    """Returns a listening socket and its address as ``ip:port``.

    Args:
        address: ``ip:port``; port 0 selects a free port.

    Raises:
        OSError: The address can't be bound.

    Notes:
        By default eventlet lets a second process bind the same port, and
        connections would be distributed over the two at random.
    """
    sock = eventlet.listen(
        parse_address(address), backlog=LISTEN_BACKLOG, reuse_port=False
    )
    host, port = sock.getsockname()[:2]
    return sock, f"{host}:{port}"


def _disable_nagle(sock: socket.socket) -> None:
    """Disables Nagle's algorithm, so that small frames leave at once."""
    sock.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)


def dial(
    address: str,
    key: bytes,
    hello,
    timeout_s: float = HANDSHAKE_TIMEOUT_S,
) -> Stream:
    """Opens a stream and authenticates both sides with the key.

    Args:
        address: ``ip:port`` of a `Listener`.
        key: Shared key from the settings.
        hello: Message that opens a stream, as `AgentHello` or `PeerHello`,
            with an empty proof.
        timeout_s: Limit for connecting and the handshake together.

    Returns:
        A stream with its `welcome` set; call `Stream.start` on it.

    Raises:
        DialError: The connection or handshake failed, the server refused the
            hello, or its proof is wrong.
    """
    sock = None
    dialed_s = clock.boottime()
    try:
        with eventlet.Timeout(timeout_s, TimeoutError("handshake timed out")):
            sock = socket.create_connection(parse_address(address))
            _disable_nagle(sock)
            stream = Stream(sock, peer=address, dialed_s=dialed_s)
            stream.welcome = _client_handshake(stream, key, hello)
            return stream
    except (OSError, codec.FrameError, ValueError, DialError) as error:
        if sock is not None:
            close_socket(sock)
        raise DialError(f"{address}: {error}") from error


def _client_handshake(stream: Stream, key: bytes, hello) -> messages.Welcome:
    """Returns the server's welcome after checking its proof."""
    challenge = stream.receive_handshake()
    if not isinstance(challenge, messages.Challenge):
        raise DialError("no challenge from the server")
    proof = proofs.hello_proof(key, challenge.nonce, hello)
    stream.send_handshake(attrs.evolve(hello, proof=proof))
    reply = stream.receive_handshake()
    match reply:
        case messages.Welcome():
            expected = proofs.welcome_proof(key, challenge.nonce, proof, reply)
            if not hmac.compare_digest(expected, reply.proof):
                raise DialError("the server does not know the key")
            return reply
        case messages.HelloRefused(reason=reason, detail=detail):
            raise DialError(f"refused: {reason}: {detail}")
    raise DialError(f"unexpected reply to the hello: {type(reply).__name__}")


@attrs.define(eq=False)
class Listener:
    """Accepts connections and runs the server's side of the handshake.

    Attributes:
        key: Shared key from the settings.
        admit: Called with a hello whose proof is valid; returns `Welcome` or
            `HelloRefused`.
        on_stream: Called with each accepted stream, which is not started yet.
        refused_hellos: Hellos refused and handshakes failed so far.
        closed: True once `close` was called.
    """

    key: bytes
    admit: Callable
    on_stream: Callable
    refused_hellos: int = 0
    closed: bool = False
    _sock: socket.socket | None = None

    def listen(self, address: str) -> str:
        """Starts listening; port 0 selects a free port.

        Returns:
            The address as ``ip:port``.

        Raises:
            OSError: The address can't be bound.
        """
        self._sock, bound = listen(address)
        eventlet.spawn_n(self._accept_loop)
        return bound

    def close(self) -> None:
        """Stops accepting connections; open streams stay open."""
        self.closed = True
        if self._sock is not None:
            close_socket(self._sock)

    def _accept_loop(self) -> None:
        """Accepts connections until the listener is closed."""
        while not self.closed:
            try:
                sock, peer = self._sock.accept()
            except OSError as error:
                if not self.closed:
                    log.warning("accept failed", extra={"error": str(error)})
                    eventlet.sleep(ACCEPT_RETRY_S)
                continue
            eventlet.spawn_n(
                self._handle_connection, sock, f"{peer[0]}:{peer[1]}"
            )

    def _handle_connection(self, sock: socket.socket, peer: str) -> None:
        """Runs the handshake on a new connection, then passes on the stream.

        A connection whose handshake fails is closed.
        """
        stream = Stream(sock, peer=peer)
        try:
            _disable_nagle(sock)
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
        """Returns True if the client was sent a `Welcome`."""
        nonce = os.urandom(NONCE_BYTES)
        stream.send_handshake(
            messages.Challenge(nonce, messages.PROTOCOL_VERSION)
        )
        hello = stream.receive_handshake()
        refusal = self._check_hello(nonce, hello)
        reply = refusal or self.admit(hello)
        if isinstance(reply, messages.HelloRefused):
            self.refused_hellos += 1
            stream.send_handshake(reply)
            return False
        proof = proofs.welcome_proof(self.key, nonce, hello.proof, reply)
        stream.hello = hello
        stream.welcome = attrs.evolve(reply, proof=proof)
        stream.send_handshake(stream.welcome)
        return True

    def _check_hello(self, nonce: bytes, hello) -> messages.HelloRefused | None:
        """Returns a refusal of an invalid hello, or None.

        Checks the message type, the protocol version and the proof. Whether a
        valid hello is accepted is decided by `admit`.
        """
        if not type(hello).opens_stream:
            return messages.HelloRefused("protocol", "a hello was expected")
        if hello.version != messages.PROTOCOL_VERSION:
            return messages.HelloRefused(
                "version",
                f"version {hello.version} is not {messages.PROTOCOL_VERSION}",
            )
        expected = proofs.hello_proof(self.key, nonce, hello)
        if not hmac.compare_digest(expected, hello.proof):
            return messages.HelloRefused("key", "the proof is wrong")
        return None
