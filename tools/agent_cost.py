"""Measures the cost of an agent process and of its ledger.

Starts an agent process. Its four entries and its target run in this process,
all on loopback. Prints one figure a line as ``name value unit``:

- memory, CPU time and traffic of the streams while the agent is idle;
- the same at 22 task starts a second, which is the peak load expected in two
  years, divided by the number of workers;
- the same under a flood, which fills the ledger;
- the size in bytes of a start mark and of an open record in the ledger.

Run it with ``python -m tools.agent_cost``; it takes about 50 s.
"""

import argparse
import itertools
import pathlib
import sys
import tempfile
import time
import tracemalloc

import attrs
import eventlet

from tools import processes
from tools.standins import target as targets
from trefoilgw.ledger import core as ledger_core
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.streams import core as streams

KEY = "ab" * 16
ENTRIES = 4
MEGABYTE = 1024 * 1024
PEAK_STARTS_S = 22
LEDGER_TASKS = 50_000
RESULT = b'{"value": 1}'
SETTINGS = """
name = "agent-1"
domain = "d1"
target_address = "{target}"
services = ["preview"]
entries = [{entries}]
stream_key = "{key}"
"""


@attrs.define(eq=False)
class Entry:
    """A minimal entry that answers pings and acknowledges batches.

    Attributes:
        incarnation: Id of the entry, 16 hex digits.
        address: Address of its stream listener.
        stream: Stream to the agent; None until the agent connects.
        credits: Unused credits that the agent has granted.
        acked: Batches to acknowledge with the next pong.
        done: Number of batches that the agent has answered.
    """

    incarnation: str
    address: str = ""
    stream: streams.Stream | None = None
    credits: int = 0
    acked: list = attrs.field(factory=list)
    done: int = 0
    _sessions: itertools.count = attrs.field(factory=itertools.count)

    def listen(self) -> None:
        """Starts to accept the stream of the agent."""
        listener = streams.Listener(
            bytes.fromhex(KEY), self._welcome, self._opened
        )
        self.address = listener.listen("127.0.0.1:0")

    def run(self, number: int, payload: bytes) -> bool:
        """Sends a batch of one task if a credit is free.

        Args:
            number: Number of the batch.
            payload: Payload of the task.

        Returns:
            Whether the batch was sent.
        """
        if not self.credits:
            return False
        self.credits -= 1
        return self.stream.send(
            messages.RunBatch(
                batch=number,
                job=f"customer:t1.{self.incarnation}.1.{number:016x}",
                customer="customer",
                kind="preview",
                service="preview",
                concurrency=1,
                lender="",
                deadline_s=30.0,
                idempotent=True,
                tasks=(messages.TaskSpec(0, payload),),
            )
        )

    def _welcome(self, hello) -> messages.Welcome:
        """Returns a welcome with an empty roster."""
        session = next(self._sessions) + 1
        return messages.Welcome(self.incarnation, session, 0, 3.0, 0, ())

    def _opened(self, stream: streams.Stream) -> None:
        """Keeps the agent's stream and starts to receive from it."""
        self.stream = stream
        stream.start(self._received, lambda stream, reason: None)

    def _received(self, stream: streams.Stream, message) -> None:
        """Handles a message of the agent."""
        match message:
            case messages.Ping(sent_s=sent_s):
                acked, self.acked = tuple(self.acked), []
                stream.send(messages.Pong(sent_s, 0, acked))
            case messages.CreditGrant(credits=credits):
                self.credits += credits
            case messages.BatchDone():
                self.credits += message.credits
                self.acked.append(message.batch)
                self.done += 1


@attrs.define(eq=False)
class AgentBenchmark:
    """Loads an agent process and measures it.

    Attributes:
        process: The agent process.
        entries: Entries that the agent is connected to.
        numbers: Numbers for new batches.
    """

    process: processes.Process
    entries: list[Entry]
    numbers: itertools.count = attrs.field(factory=lambda: itertools.count(1))

    def report(self, stage: str, seconds: float, step) -> None:
        """Runs a stage and prints what the agent used during it.

        Args:
            stage: Prefix of the printed names.
            seconds: Duration of the stage.
            step: Called repeatedly until the stage ends.
        """
        cpu_s = self.process.cpu_s()
        size = self._stream_bytes()
        done = sum(entry.done for entry in self.entries)
        started_s = time.monotonic()
        while time.monotonic() - started_s < seconds:
            step()
        elapsed_s = time.monotonic() - started_s
        cpu_s = self.process.cpu_s() - cpu_s
        size = self._stream_bytes() - size
        done = sum(entry.done for entry in self.entries) - done
        rss = self.process.rss_bytes() / MEGABYTE
        print(f"{stage}_starts_s {done / elapsed_s:.1f} 1/s")
        print(f"{stage}_rss_mb {rss:.1f} MB")
        print(f"{stage}_cpu_pct {100 * cpu_s / elapsed_s:.2f} %")
        print(f"{stage}_stream_kb_s {size / elapsed_s / 1000:.2f} kB/s")
        if done:
            print(f"{stage}_cpu_us_per_start {1e6 * cpu_s / done:.0f} us")

    def send_paced(self) -> None:
        """Sends a task and waits until the next one is due."""
        number = next(self.numbers)
        self.entries[number % ENTRIES].run(number, b'{"run_ms": 50}')
        eventlet.sleep(1 / PEAK_STARTS_S)

    def send_flood(self) -> None:
        """Uses every free credit for a short task."""
        for entry in self.entries:
            while entry.run(next(self.numbers), b'{"run_ms": 5}'):
                pass
        eventlet.sleep(0.001)

    def _stream_bytes(self) -> int:
        """Returns the bytes sent and received on all streams so far."""
        return sum(
            entry.stream.sent_bytes + entry.stream.received_bytes
            for entry in self.entries
        )


def measure_process(directory: pathlib.Path, scale: float) -> None:
    """Prints the figures of an agent process.

    Args:
        directory: Directory of its settings and logs.
        scale: Factor on the durations of the stages.
    """
    target = targets.Target()
    entries = [Entry(f"{number:016x}") for number in range(1, ENTRIES + 1)]
    for entry in entries:
        entry.listen()
    addresses = ", ".join(f'"{entry.address}"' for entry in entries)
    path = directory / "agent.toml"
    path.write_text(
        SETTINGS.format(target=target.serve(), entries=addresses, key=KEY)
    )
    launcher = processes.Launcher(directory)
    try:
        process = launcher.start(
            "agent", "trefoilgw.agent.main", "--settings", str(path)
        )
        process.wait_ready()
        while not all(entry.credits for entry in entries):
            eventlet.sleep(0.05)
        benchmark = AgentBenchmark(process, entries)
        benchmark.report("rest", 10 * scale, lambda: eventlet.sleep(0.1))
        benchmark.report("peak", 15 * scale, benchmark.send_paced)
        benchmark.report("flood", 15 * scale, benchmark.send_flood)
    finally:
        launcher.close()


def measure_ledger(tasks: int = LEDGER_TASKS) -> None:
    """Prints the bytes per acknowledged start and per open record."""
    acked = _ledger_bytes(tasks, ack=True)
    kept = _ledger_bytes(2000, ack=False)
    print(f"ledger_mark_bytes {acked:.1f} B")
    print(f"ledger_record_bytes {kept:.0f} B")


def _ledger_bytes(tasks: int, ack: bool) -> float:
    """Returns the bytes per task of a ledger after all tasks finished.

    Args:
        tasks: Number of tasks, each in a batch of its own.
        ack: Whether the batches are acknowledged, which leaves start marks
            only.
    """
    entry = "e" * 16
    ledger = ledger_core.Ledger()
    ledger.session_opened(entry, 1, 0.0)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    now_s = 0.0
    for batch in range(tasks):
        now_s += 0.01  # 100 starts a second.
        job = f"customer/customer:t1.{entry}.1.{batch:016x}"
        ledger.lease_renewed(entry, 1, now_s)
        ledger.received(entry, 1, batch, job, (0,), now_s)
        ledger.try_start(entry, 1, batch, job, 0, now_s + 9.0, now_s)
        fate = outcomes.Completed(bytes(RESULT), 0.1)
        ledger.finished(entry, batch, job, 0, fate, now_s)
        if ack:
            ledger.acknowledged(entry, (batch,))
        if batch % 100 == 0:
            ledger.expire(now_s)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / tasks


def main() -> int:
    """Prints all figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--scale", type=float, default=1.0, help="factor on the durations"
    )
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        measure_process(pathlib.Path(directory), arguments.scale)
    measure_ledger()
    return 0


if __name__ == "__main__":
    eventlet.monkey_patch()
    sys.exit(main())
