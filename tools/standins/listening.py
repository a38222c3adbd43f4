"""Listening sockets of the stand-ins."""

import socket as stdlib_socket

import eventlet

BACKLOG = 1024


def listen(address: str):
    """Opens a listening socket whose connections send small data at once.

    Args:
        address: ``ip:port``; port 0 takes a free one.

    Returns:
        The green socket and the bound address as ``ip:port``.

    Raises:
        OSError: The address can't be bound.
    """
    host, _, port = address.rpartition(":")
    sock = eventlet.listen((host, int(port)), backlog=BACKLOG)
    # Accepted sockets inherit the option.
    sock.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)
    bound_host, bound_port = sock.getsockname()[:2]
    return sock, f"{bound_host}:{bound_port}"
