"""Callers that keep no limits, for tests of a process under such callers.

A crowd opens connections to one address and sends to all of them in turn. It
never waits for a response, so that its behaviour does not depend on how fast
the process is. The number of connections and bytes is fixed by its caller.
"""

import contextlib
import errno
import json
import socket
import time

import attrs

CONNECT_TIMEOUT_S = 5.0
# Time without any progress after which a crowd stops to send.
STALL_S = 3.0
SEND_LIMIT_S = 30.0
_IN_PROGRESS = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINPROGRESS)


@attrs.define(eq=False)
class Member:
    """One connection of a crowd.

    Attributes:
        sock: The connection.
        parts: What is still to be sent, the first part first.
        broken: Whether the other end has closed the connection.
    """

    sock: socket.socket
    parts: list[memoryview]
    broken: bool = False

    def send_piece(self, piece_bytes: int) -> int:
        """Sends up to `piece_bytes`; returns how many bytes were taken."""
        while self.parts and not self.parts[0]:
            self.parts.pop(0)
        if self.broken or not self.parts:
            return 0
        try:
            sent = self.sock.send(self.parts[0][:piece_bytes])
        except OSError as error:
            if error.errno not in _IN_PROGRESS:
                self.broken = True
            return 0
        self.parts[0] = self.parts[0][sent:]
        return sent


@attrs.define(eq=False)
class Crowd:
    """Connections to one address.

    Attributes:
        address: ``ip:port`` that the crowd connects to.
        members: The connections.
        refused: Connections that could not be opened.
    """

    address: str
    members: list[Member] = attrs.field(factory=list)
    refused: int = 0

    def join(self, count: int, *parts: bytes) -> None:
        """Opens connections that all have the same bytes to send."""
        host, _, port = self.address.rpartition(":")
        for _ in range(count):
            try:
                sock = socket.create_connection(
                    (host, int(port)), CONNECT_TIMEOUT_S
                )
            except OSError:
                self.refused += 1
                continue
            # A non-blocking socket of eventlet does not switch greenthreads.
            sock.setblocking(False)
            views = [memoryview(x) for x in parts]
            self.members.append(Member(sock, views))

    def send(self, piece_bytes: int = 1 << 20) -> int:
        """Sends everything, a piece to each connection in turn.

        Returns:
            Number of bytes that were taken. Connections that take nothing for
            `STALL_S` are left as they are.
        """
        total = 0
        end_s = time.monotonic() + SEND_LIMIT_S
        progress_s = time.monotonic()
        while any(x.parts and not x.broken for x in self.members):
            now_s = time.monotonic()
            if now_s > end_s or now_s > progress_s + STALL_S:
                break
            sent = sum(x.send_piece(piece_bytes) for x in self.members)
            total += sent
            if sent:
                progress_s = now_s
            time.sleep(0.0 if sent else 0.01)
        return total

    def close(self) -> None:
        """Closes all connections."""
        for member in self.members:
            with contextlib.suppress(OSError):
                member.sock.close()

    def statuses(self) -> dict[int, int]:
        """Returns the number of responses received so far by HTTP status.

        Connections without a response count as 0.
        """
        found: dict[int, int] = {}
        for member in self.members:
            status = 0
            with contextlib.suppress(OSError, ValueError, IndexError):
                status = int(member.sock.recv(64).split()[1])
            found[status] = found.get(status, 0) + 1
        return found


def head(method: str, path: str, host: str, *headers: str) -> bytes:
    """Returns the head of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *headers, "", ""]
    return "\r\n".join(lines).encode()


def announced(method: str, path: str, host: str, size: int) -> bytes:
    """Returns the head of a request whose body has `size` bytes."""
    return head(method, path, host, f"Content-Length: {size}")


def chunked(method: str, path: str, host: str) -> bytes:
    """Returns the head of a request with a chunked body."""
    return head(method, path, host, "Transfer-Encoding: chunked")


def chunks(body: bytes, size: int, last: bool = True) -> bytes:
    """Returns a body in chunked coding.

    Args:
        body: The body.
        size: Bytes of each chunk.
        last: Whether the chunk that ends the body follows.
    """
    parts = []
    for start in range(0, len(body), size):
        part = body[start : start + size]
        parts.append(b"%x\r\n%b\r\n" % (len(part), part))
    if last:
        parts.append(b"0\r\n\r\n")
    return b"".join(parts)


def padded(body: dict, size: int) -> bytes:
    """Returns a body as JSON with spaces up to `size` bytes."""
    return json.dumps(body).encode().ljust(size)


def unread_bytes(address: str) -> int:
    """Returns the bytes that a local server has received and not read."""
    host, _, port = address.rpartition(":")
    packed = socket.inet_aton(host)[::-1].hex().upper()
    local = f"{packed}:{int(port):04X}"
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as lines:
        for line in lines:
            fields = line.split()
            # 01 is ESTABLISHED, 08 CLOSE_WAIT; others have no reader.
            if fields[1] == local and fields[3] in ("01", "08"):
                total += int(fields[4].partition(":")[2], 16)
    return total
