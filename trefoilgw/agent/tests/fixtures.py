"""Fake entries and a fake target for tests of the agent, on loopback."""

import json

import eventlet
from eventlet import event
from eventlet import queue

from trefoilgw.agent import core as agent_core
from trefoilgw.messages import core as messages
from trefoilgw.settings import core as settings
from trefoilgw.streams import core as streams

KEY = "ab" * 16
# Limit for a single wait; reached only if a test hangs.
TIMEOUT_S = 30.0


class FakeEntry:
    """An entry that records what agents send and answers pings.

    Attributes:
        incarnation: 16 hex digits.
        address: Stream address.
        roster: Entries listed in a welcome; empty while `epoch` is 0.
        epoch: Epoch of the roster.
        revision: Configuration revision sent in welcomes and pongs.
        answers_pings: False to send no pongs.
        acked: Batches that pongs acknowledge.
        sessions: Number of hellos received.
        streams: Accepted streams, newest last.
        inbox: Received messages except pings.
        pings: Received pings.
        hellos: Received hellos.
        closed: Reasons of closed streams.
    """

    def __init__(self, letter, address="127.0.0.1:0"):
        self.incarnation = letter * 16
        self.roster = ()
        self.epoch = 0
        self.revision = 0
        self.answers_pings = True
        self.acked = ()
        self.sessions = 0
        self.streams = []
        self.inbox = queue.Queue()
        self.pings = queue.Queue()
        self.hellos = queue.Queue()
        self.closed = queue.Queue()
        key = bytes.fromhex(KEY)
        self.listener = streams.Listener(key, self._welcome, self._opened)
        self.address = self.listener.listen(address)

    def roster_entry(self):
        """Returns this entry's item in a roster."""
        return messages.RosterEntry(self.incarnation, self.address, "", "d1")

    def _welcome(self, hello):
        self.sessions += 1
        self.hellos.put(hello)
        return messages.Welcome(
            self.incarnation,
            self.sessions,
            self.revision,
            3.0,
            self.epoch,
            self.roster,
        )

    def _opened(self, stream):
        self.streams.append(stream)
        stream.start(
            self._received, lambda stream, reason: self.closed.put(reason)
        )

    def _received(self, stream, message):
        if not isinstance(message, messages.Ping):
            self.inbox.put(message)
            return
        if self.answers_pings:
            pong = messages.Pong(message.sent_s, self.revision, self.acked)
            stream.send(pong)
        self.pings.put(message)

    def send(self, message):
        self.streams[-1].send(message)

    def next(self, kind):
        """Returns the next message of a kind; others are dropped."""
        while True:
            message = self.inbox.get(timeout=TIMEOUT_S)
            if isinstance(message, kind):
                return message

    def outcomes(self, batch):
        """Returns the outcomes of a batch by index once it is final."""
        fates = {}
        while True:
            done = self.next(messages.BatchDone)
            if done.batch == batch:
                fates |= {item.index: item for item in done.outcomes}
                if done.final:
                    return fates

    def stop(self):
        self.listener.close()
        for stream in self.streams:
            stream.close("the entry stopped")


class FakeTarget:
    """An HTTP target whose tasks end under control of the test.

    Attributes:
        starts: Values of ``trefoilgw-task`` in the order of arrival.
        stops: Paths of stop requests.
        hold_answers: True to answer only after `release`.
    """

    def __init__(self, hold_answers=False):
        self.starts = queue.Queue()
        self.stops = queue.Queue()
        self.hold_answers = hold_answers
        self._released = event.Event()
        self.sock = eventlet.listen(("127.0.0.1", 0))
        host, port = self.sock.getsockname()
        self.address = f"{host}:{port}"
        eventlet.spawn_n(self._accept)

    def stop(self):
        streams.close_socket(self.sock)

    def release(self):
        """Answers held requests and stops holding further ones."""
        self.hold_answers = False
        if not self._released.ready():
            self._released.send()

    def _accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock):
        reader = sock.makefile("rb")
        while line := reader.readline():
            method, path, _ = line.decode().split(" ", 2)
            headers = {}
            while (line := reader.readline()) not in (b"\r\n", b""):
                name, _, value = line.decode().partition(": ")
                headers[name.lower()] = value.strip()
            reader.read(int(headers.get("content-length", 0)))
            if method == "DELETE":
                self.stops.put(path)
            else:
                self.starts.put(headers["trefoilgw-task"])
                if self.hold_answers:
                    self._released.wait()
            body = json.dumps({"path": path}).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            sock.sendall(head.encode() + body)


class OffsetClock:
    """A clock plus an offset that the test can advance."""

    def __init__(self, read):
        self.read = read
        self.offset_s = 0.0

    def __call__(self):
        return self.read() + self.offset_s


def make_agent(target, *entries, **fields):
    """Returns an agent with the entries as seeds, not started yet."""
    values = {
        "name": "agent-1",
        "domain": "d1",
        "target_address": target.address,
        "services": ("preview",),
        "entries": tuple(entry.address for entry in entries),
        "stream_key": KEY,
    }
    clock = fields.pop("now", None)
    agent_settings = settings.AgentSettings(**(values | fields))
    if clock is None:
        return agent_core.Agent(agent_settings)
    return agent_core.Agent(agent_settings, now=clock)


def make_batch(number=1, tasks=3, concurrency=2, deadline_s=60.0, **fields):
    """Returns a `RunBatch` of idempotent tasks, numbered from 0."""
    specs = tuple(messages.TaskSpec(index, b"{}") for index in range(tasks))
    values = {
        "batch": number,
        "job": f"cust:k{number}",
        "customer": "cust",
        "kind": "preview",
        "service": "preview",
        "concurrency": concurrency,
        "lender": "",
        "deadline_s": deadline_s,
        "idempotent": True,
        "tasks": specs,
    }
    return messages.RunBatch(**(values | fields))
