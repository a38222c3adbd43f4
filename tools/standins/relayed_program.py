"""Runs a program whose outgoing connections lead through relays.

``python -m tools.standins.relayed_program --relays FILE MODULE ARGUMENT...``
runs a module as ``python -m MODULE ARGUMENT...`` does. `FILE` holds a JSON
object that maps destinations to relays, both as ``ip:port``. With ``--clock``,
the wall clock of the program is shifted by the seconds that another file holds;
the file may change at any time. It is not part of the product.
"""

import argparse
import json
import pathlib
import runpy
import sys
import time
from collections.abc import Callable

# Time for which a read shift of the wall clock is used.
CLOCK_READ_INTERVAL_S = 0.02


def redirect(relays: dict[tuple, tuple], connect: Callable) -> Callable:
    """Returns a socket method that connects to the relay of an address.

    Args:
        relays: Host and port of each relay by those of the destination.
        connect: The method; its first argument is the address.
    """

    def connect_to_relay(sock, address):
        return connect(sock, relays.get(address, address))

    return connect_to_relay


def shift_clock(path: pathlib.Path) -> None:
    """Shifts ``time.time`` by the seconds in a file, 0 while it is missing."""
    original = time.time
    shift_s, read_s = 0.0, -CLOCK_READ_INTERVAL_S

    def shifted_time() -> float:
        nonlocal shift_s, read_s
        now_s = time.monotonic()
        if now_s - read_s >= CLOCK_READ_INTERVAL_S:
            read_s = now_s
            shift_s = read_shift(path)
        return original() + shift_s

    time.time = shifted_time


def read_shift(path: pathlib.Path) -> float:
    """Returns the seconds in a file, 0 without a file."""
    try:
        return float(path.read_text() or 0)
    except FileNotFoundError:
        return 0.0


def _parse_address(text: str) -> tuple[str, int]:
    """Returns host and port of ``ip:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def main() -> None:
    """Runs the program."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--relays", type=pathlib.Path, required=True)
    parser.add_argument("--clock", type=pathlib.Path)
    parser.add_argument("module")
    parser.add_argument("arguments", nargs=argparse.REMAINDER)
    options = parser.parse_args()
    if options.clock is not None:
        shift_clock(options.clock)
    # As the programs do: it blocks modules that eventlet would import.
    from trefoilgw.processes import startup

    startup.prepare()
    from eventlet.greenio import base

    relays = {
        _parse_address(x): _parse_address(y)
        for x, y in json.loads(options.relays.read_text()).items()
    }
    for name in ("connect", "connect_ex"):
        original = getattr(base.GreenSocket, name)
        setattr(base.GreenSocket, name, redirect(relays, original))
    sys.argv[1:] = options.arguments
    runpy.run_module(options.module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
