"""Lightweight stand-ins for many agents in one process.

Each agent opens a stream to the given entry, grants it credits for its slots,
sends a heartbeat every second and completes each batch at once. The agents have
no ledger and no target: they only generate load on an entry's side of the
streams.
"""

import argparse
import json
import secrets
import sys
import time

import attrs
import eventlet

from trefoilgw.messages import core as messages
from trefoilgw.streams import core as streams

HEARTBEAT_INTERVAL_S = 1.0
RESULT = b"{}"


@attrs.define(eq=False)
class LightAgent:
    """One agent with its stream to one entry.

    Attributes:
        stream: The open stream.
        slots: Credits granted to the entry.
    """

    stream: streams.Stream
    slots: int

    def run(self) -> None:
        """Grants the credits and sends heartbeats until the stream closes."""
        self.stream.start(self.on_message, lambda stream, reason: None)
        self.stream.send(messages.CreditGrant(self.slots))
        while not self.stream.closed:
            revision = self.stream.welcome.revision
            ping = messages.Ping(time.monotonic(), revision, 0, self.slots)
            self.stream.send(ping)
            eventlet.sleep(HEARTBEAT_INTERVAL_S)

    def on_message(self, stream: streams.Stream, message) -> None:
        """Answers a batch at once with its tasks completed."""
        if isinstance(message, messages.RunBatch):
            outcomes = tuple(
                messages.TaskOutcome(
                    task.index, "completed", "", "", RESULT, 0.0
                )
                for task in message.tasks
            )
            stream.send(
                messages.BatchDone(
                    message.batch,
                    message.job,
                    outcomes,
                    message.concurrency,
                    True,
                )
            )


def connect(
    address: str, key: bytes, number: int, services: tuple[str, ...], slots: int
) -> LightAgent:
    """Opens the stream of one agent.

    Raises:
        streams.DialError: The entry does not answer or refuses.
    """
    hello = messages.AgentHello(
        messages.PROTOCOL_VERSION,
        f"light-{number}",
        secrets.token_hex(8),
        f"d{number % 3 + 1}",
        services,
        slots,
        64,
        0,
        "",
    )
    return LightAgent(streams.dial(address, key, hello), slots)


def main() -> int:
    """Runs the stand-ins as a separate process."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--entry", required=True, help="stream address of the entry"
    )
    parser.add_argument("--key", required=True, help="stream key, hex")
    parser.add_argument("--count", type=int, default=10)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--services", default="streaks,proofs")
    arguments = parser.parse_args()
    services = tuple(arguments.services.split(","))
    key = bytes.fromhex(arguments.key)
    pool = eventlet.GreenPool(arguments.count)
    for number in range(arguments.count):
        agent = connect(arguments.entry, key, number, services, arguments.slots)
        pool.spawn_n(agent.run)
    print(json.dumps({"ready": True, "streams": arguments.count}), flush=True)
    pool.waitall()
    return 0


if __name__ == "__main__":
    eventlet.monkey_patch()
    sys.exit(main())
