"""Entries on loopback ports, with callers and agents that use real streams."""

import http.client
import json
import time

import attrs
import eventlet
from eventlet import queue

from trefoilgw.entry import core
from trefoilgw.entry.tests import fixtures
from trefoilgw.messages import core as messages
from trefoilgw.streams import core as streams

# Only failing tests wait this long.
TIMEOUT_S = 30.0


def wait_until(condition):
    """Runs other greenthreads until a condition holds.

    Raises:
        AssertionError: It did not hold within `TIMEOUT_S`.
    """
    end_s = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > end_s:
            raise AssertionError("the condition did not hold in time")
        eventlet.sleep(0.002)


@attrs.define(eq=False, slots=False)
class FakeAgent:
    """An agent that queues received messages.

    It completes each batch on arrival if `answers` is set.
    """

    entry: core.Entry
    incarnation: str = "a" * 16
    slots: int = 8
    answers: bool = True
    inbox: queue.Queue = attrs.field(factory=queue.Queue)
    batches: list = attrs.field(factory=list)

    def connect(self, credits=None):
        hello = messages.AgentHello(
            1,
            "target",
            self.incarnation,
            "scl-1",
            ("proof",),
            self.slots,
            64,
            0,
            "",
        )
        key = bytes.fromhex(fixtures.STREAM_KEY)
        address = self.entry.addresses["stream"]
        self.stream = streams.dial(address, key, hello)
        self.stream.start(self._received, lambda stream, reason: None)
        self.stream.send(messages.CreditGrant(credits or self.slots))
        eventlet.spawn_n(self._ping, self.stream)
        wait_until(lambda: self.entry.host.placement.free("proof"))
        return self

    def next(self, cls):
        """Returns the next message of a class."""
        while True:
            message = self.inbox.get(timeout=TIMEOUT_S)
            if isinstance(message, cls):
                return message

    def complete(self, batch):
        """Completes a batch with the index of each task as its result."""
        found = tuple(
            messages.fate_to_wire(task.index, fixtures.completed(task.index))
            for task in batch.tasks
        )
        self.stream.send(
            messages.BatchDone(
                batch.batch, batch.job, found, batch.concurrency, True
            )
        )

    def _received(self, stream, message):
        if isinstance(message, messages.RunBatch):
            self.batches.append(message)
            if self.answers:
                self.complete(message)
        self.inbox.put(message)

    def _ping(self, stream):
        while not stream.closed:
            stream.send(messages.Ping(time.monotonic(), 1, 0, 0))
            eventlet.sleep(0.3)


class Caller:
    """Sends requests to one entry."""

    def __init__(self, entry, token=fixtures.TOKEN):
        self.address = entry.addresses["http"]
        self.token = token

    def request(self, method, path, body=None, key=""):
        """Returns the status, JSON document and headers of the answer."""
        headers = {"Authorization": f"Bearer {self.token}"}
        if key:
            headers["Idempotency-Key"] = key
        connection = http.client.HTTPConnection(self.address, timeout=TIMEOUT_S)
        try:
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read()), answer.headers
        finally:
            connection.close()

    def submit(self, key="", tasks=1, wait_s=20):
        """Submits a job; returns the status and document of the answer."""
        path = f"/v1/jobs?wait_s={wait_s}"
        return self.request("POST", path, fixtures.submission(tasks), key)[:2]

    def ticket(self):
        """Returns a ticket issued by the entry."""
        return self.request("POST", "/v1/tickets")[1]["tickets"][0]


def start_entries(case, count, configured=True, **fields):
    """Returns started entries with a common roster, by incarnation."""
    entries = []
    for _ in range(count):
        entry = core.Entry(fixtures.settings(**fields))
        entry.start()
        case.addCleanup(entry.close)
        entries.append(entry)
    entries.sort(key=lambda entry: entry.incarnation)
    if configured:
        for entry in entries:
            entry.config.offer(1, fixtures.document())
    set_roster(entries, 1, entries)
    return entries


def set_roster(entries, epoch, members, history=()):
    """Gives entries a roster with the given members."""
    roster = tuple(member.config.own_entry for member in members)
    incarnations = tuple(entry.incarnation for entry in roster)
    known = dict(history) | {epoch: incarnations}
    for entry in entries:
        entry.config.update_roster(epoch, roster, known, entry.host.now())


def wait_connected(entries):
    """Waits until each entry has a stream to every other one."""
    wait_until(
        lambda: all(
            len(entry.host.peers) == len(entries) - 1 for entry in entries
        )
    )
