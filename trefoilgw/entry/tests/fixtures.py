"""An entry without sockets and with a manual clock, and fake streams."""

import hashlib
import json
import random

import attrs

from trefoilgw.callers import values
from trefoilgw.entry import core
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.settings import core as settings_core
from trefoilgw.timers import core as timers

STREAM_KEY = "0123456789abcdef" * 2
TOKEN, OTHER_TOKEN = "token-of-cobre", "token-of-bluebonnet"


def document(revision=1, draining=(), **kind):
    """Returns a configuration document with two customers and two kinds."""
    customers = [
        {
            "name": name,
            "schema": 2,
            "token_sha256": hashlib.sha256(token.encode()).hexdigest(),
            "weight": 1.0,
            "starts_s": 100000.0,
            "running_limit_tasks": 100000,
            "status": "active",
        }
        for name, token in (("cobre", TOKEN), ("bluebonnet", OTHER_TOKEN))
    ]
    kinds = [
        {
            "name": name,
            "schema": 2,
            "service": "proof",
            "customers": names,
            "urgency": "urgent",
            "weight": 1.0,
            "deadline_s": 10.0,
            "run_time_s": 0.1,
            "idempotent": True,
        }
        | kind
        for name, names in (
            ("preview", ["cobre", "bluebonnet"]),
            ("edge-check", ["cobre"]),
        )
    ]
    return json.dumps(
        {
            "revision": revision,
            "write_id": f"w{revision}",
            "author": "operator",
            "reason": "test",
            "written_at": "2024-05-01T00:00:00+00:00",
            "customers": customers,
            "services": [{"name": "proof", "schema": 2}],
            "kinds": kinds,
            "draining": list(draining),
        }
    ).encode()


def settings(**fields):
    """Returns settings of an entry that listens on free loopback ports."""
    return settings_core.EntrySettings(
        **{
            "http_address": "127.0.0.1:0",
            "stream_address": "127.0.0.1:0",
            "admin_address": "127.0.0.1:0",
            "domain": "scl-1",
            "platform_address": "127.0.0.1:1",
            "stream_key": STREAM_KEY,
        }
        | fields
    )


def submission(tasks=1, **fields):
    """Returns the body of a submission."""
    body = {"kind": "preview", "tasks": list(range(tasks))} | fields
    return json.dumps(body).encode()


def completed(index, run_s=0.1):
    """Returns the fate of a task that completed with its index as result."""
    return outcomes.Completed(b"%d" % index, run_s)


@attrs.define(eq=False, slots=False)
class FakeStream:
    """A stream that records the messages that are sent on it."""

    hello: object = None
    welcome: object = None
    sent: list = attrs.field(factory=list)
    closed: bool = False
    sent_bytes: int = 0
    received_bytes: int = 0

    def send(self, message):
        if not self.closed:
            self.sent.append(message)
        return not self.closed

    def start(self, on_message, on_closed):
        self.on_message, self.on_closed = on_message, on_closed

    def close(self, reason):
        if not self.closed:
            self.closed = True
            self.on_closed(self, reason)

    def take(self, cls):
        """Removes and returns the recorded messages of a class."""
        found = [item for item in self.sent if isinstance(item, cls)]
        self.sent = [item for item in self.sent if item not in found]
        return found


@attrs.define(eq=False, slots=False)
class EntryHarness:
    """An entry without sockets whose clock and delayed calls tests control.

    Attributes:
        clock_s: Time that the entry reads, in seconds.
        delayed: Calls that the entry scheduled.
    """

    clock_s: float = 1000.0
    delayed: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        service = timers.TimerService(
            rng=random.Random(1), now=lambda: self.clock_s
        )
        self.entry = core.Entry(
            settings(), incarnation="e" * 16, timers=service
        )
        self.host = self.entry.host
        self.host.schedule = lambda delay_s, call: self.delayed.append(call)
        self.entry.config.offer(1, document())

    def join(self, agent="a" * 16, credits=8, slots=8, **fields):
        """Opens a session of an agent with free credits; returns its stream."""
        hello = messages.AgentHello(
            **{
                "version": 1,
                "agent": f"target-{agent[:2]}",
                "incarnation": agent,
                "domain": "scl-1",
                "services": ("proof",),
                "slots": slots,
                "connections": 64,
                "revision": 1,
                "admin_address": "",
            }
            | fields
        )
        stream = FakeStream(hello, self.entry.agents.welcome(hello))
        self.entry.agents.open_session(stream)
        if credits:
            stream.on_message(stream, messages.CreditGrant(credits))
        return stream

    def request(self, action, key="", body=b"", token=TOKEN, wait_s=0.0):
        """Returns the reply to a caller's request."""
        return self.entry.router.handle(
            values.Request(action, token, key, body, wait_s)
        )

    def submit(self, key="", body=None, **fields):
        """Submits a job; returns the reply."""
        body = submission() if body is None else body
        return self.request(values.Action.SUBMIT, key, body, **fields)

    def submit_job(self, tasks=1, **fields):
        """Submits a job of the kind `preview`; returns its key."""
        reply = self.submit(body=submission(tasks, **fields))
        return json.loads(reply.body)["key"]

    def read(self, key, token=TOKEN):
        """Returns the document that a caller reads for a job."""
        reply = self.request(values.Action.READ, key, token=token)
        return json.loads(reply.body)

    def cancel(self, key, token=TOKEN):
        """Cancels a job; returns the document of the answer."""
        reply = self.request(values.Action.CANCEL, key, token=token)
        return json.loads(reply.body)

    def ticket(self):
        """Returns a ticket issued by the entry."""
        return self.entry.router.issue_tickets(1)[0]

    def run_delayed(self):
        """Runs the scheduled calls regardless of their delay."""
        calls, self.delayed = self.delayed, []
        for call in calls:
            call()


def report_outcomes(stream, batch, fates=None, final=True, credits=None):
    """Reports outcomes of a batch as its agent; by default all complete.

    Args:
        stream: Stream of the agent.
        batch: The batch.
        fates: Fates by index of the task.
        final: True if the batch ends.
        credits: Credits to return; by default those of the batch if it ends.
    """
    if fates is None:
        fates = {task.index: completed(task.index) for task in batch.tasks}
    found = tuple(messages.fate_to_wire(i, fate) for i, fate in fates.items())
    if credits is None:
        credits = batch.concurrency if final else 0
    stream.on_message(
        stream,
        messages.BatchDone(batch.batch, batch.job, found, credits, final),
    )
