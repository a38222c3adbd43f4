"""Any well-formed messages, in any order, at the entry and at the agent."""

import logging
import unittest
from unittest import mock

import attrs
import hypothesis
from hypothesis import strategies as st

from trefoilgw.agent import connections
from trefoilgw.agent import core as agent_core
from trefoilgw.entry.tests import rig as rigs
from trefoilgw.messages import codec
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.settings import core as settings

AGENTS = ("a" * 16, "b" * 16)
PEER, OTHER = "c" * 16, "d" * 16
JOB = "job"
SLOTS = 4
SETTINGS = hypothesis.settings(
    max_examples=150,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)

# What each side may send after the hellos.
FROM_AGENT = (
    messages.Ping,
    messages.BatchDone,
    messages.CreditGrant,
    messages.Leaving,
    messages.ConfigWant,
    messages.ConfigPush,
)
FROM_PEER = (
    messages.PeerPing,
    messages.Forward,
    messages.ForwardReply,
    messages.CreditAsk,
    messages.CreditLend,
    messages.Usage,
    messages.ConfigWant,
    messages.ConfigPush,
)
FROM_ENTRY = (
    messages.Pong,
    messages.Roster,
    messages.Leaving,
    messages.ConfigWant,
    messages.ConfigPush,
    messages.RunBatch,
    messages.Resize,
    messages.Strike,
    messages.Reconcile,
    messages.CreditReturn,
)

WORDS = (
    *AGENTS,
    PEER,
    OTHER,
    JOB,
    "",
    "cobre",
    "preview",
    "proof",
    "127.0.0.1:1",
    "completed",
    "failed",
    "not_run",
    "no_slot",
    "submit",
    "read",
    "cancel",
    f"t1.{'e' * 16}.0.00000000",
)
PLAIN = {
    int: st.integers(0, 5) | st.integers(-(2**40), 2**40),
    float: st.floats(0.0, 20.0) | st.floats(),
    bool: st.booleans(),
    str: st.sampled_from(WORDS) | st.text(max_size=4),
    bytes: st.sampled_from((b"", b"{}", rigs.submission(2)))
    | st.binary(max_size=4),
    tuple[int, ...]: st.lists(st.integers(0, 5), max_size=4).map(tuple),
    tuple[str, ...]: st.lists(st.sampled_from(WORDS), max_size=4).map(tuple),
}


def values_of(cls: type) -> st.SearchStrategy:
    """Returns values of an attrs class, by the types of its fields."""
    fields = {}
    for field in attrs.fields(cls):
        item = field.metadata.get("item")
        value = field.metadata.get("value")
        if item:
            fields[field.name] = st.lists(values_of(item), max_size=3).map(
                tuple
            )
        elif value:
            fields[field.name] = values_of(value)
        else:
            fields[field.name] = PLAIN[field.type]
    return st.builds(cls, **fields)


def any_of(classes: tuple[type, ...]) -> st.SearchStrategy:
    return st.one_of([values_of(cls) for cls in classes])


def on_the_wire(message):
    """Returns a message as the other side reads it."""
    (decoded,) = codec.Decoder().feed(codec.encode(message))
    return decoded


class EntryTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    @SETTINGS
    @hypothesis.given(
        st.lists(
            st.tuples(st.integers(0, 1), any_of(FROM_AGENT))
            | st.tuples(st.just(2), any_of(FROM_PEER)),
            max_size=20,
        )
    )
    def test_messages_of_agents_and_peers(self, sent):
        """A message at an odd time must not end a handler or make credits."""
        with mock.patch("eventlet.spawn_n", lambda call, *args: call(*args)):
            self.check_entry(sent)

    def check_entry(self, sent):
        rig = rigs.Rig()
        streams = [rig.join(agent, SLOTS, SLOTS) for agent in AGENTS]
        entry = messages.RosterEntry(PEER, "127.0.0.1:1", "", "scl-1")
        peer = rigs.FakeStream(messages.PeerHello(1, entry, 1))
        rig.entry.peers.accepted(peer)
        streams.append(peer)
        jobs = [f"cobre:{rig.submit_job(2)}" for _ in range(3)]
        for position, (target, message) in enumerate(sent):
            if getattr(message, "job", "") == JOB:
                job = jobs[position % len(jobs)]
                message = attrs.evolve(message, job=job)
            stream = streams[target]
            if not stream.closed:
                stream.on_message(stream, on_the_wire(message))
            rig.clock_s += 0.3
            rig.entry.agents.check()
            rig.entry.agents.judge()
            rig.entry._expire()
            rig.later()
            rig.entry.pump()
            rig.entry.peers.ping()
            self.assertGreaterEqual(rig.host.placement.free("proof"), 0)


class AgentTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    @SETTINGS
    @hypothesis.given(
        st.lists(
            st.tuples(st.integers(0, 1), any_of(FROM_ENTRY)), max_size=25
        )
    )
    def test_messages_of_entries(self, sent):
        """The same at the agent; every slot stays free, held or used."""
        spawned = []
        with mock.patch(
            "eventlet.spawn_n", lambda call, *args: spawned.append((call, args))
        ):
            self.check_agent(sent, spawned)

    def check_agent(self, sent, spawned):
        clock = [1000.0]
        made = settings.AgentSettings(
            name="agent-1",
            domain="d1",
            target_address="127.0.0.1:1",
            services=("proof",),
            entries=("127.0.0.1:1", "127.0.0.1:2"),
            stream_key="ab" * 16,
            slots=SLOTS,
        )
        agent = agent_core.Agent(made, now=lambda: clock[0])
        links = [self.open(agent, PEER, 1), self.open(agent, OTHER, 2)]
        for target, message in sent:
            agent._message(links[target], on_the_wire(message))
            clock[0] += 0.3
            agent.check()
            agent.tick()
            for call, args in spawned:
                if call == agent._run_task and target:
                    fate = outcomes.Completed(b"{}", 0.1)
                    found = agent.slots.task_finished(
                        args[0].ref, fate, clock[0]
                    )
                    agent._perform(found)
            spawned[:] = [one for one in spawned if not target]
            self.check_credits(agent)

    def open(self, agent, entry, number):
        """Returns the link of an accepted stream."""
        link = connections.Link(f"127.0.0.1:{number}", entry=entry, session=1)
        welcome = messages.Welcome(entry, 1, 0, 3.0, 0, ())
        link.stream = rigs.FakeStream(welcome=welcome)
        link.stream.last_received_s = agent.now()
        link.stream.start(None, lambda *args: None)
        agent.connections.links[link.address] = link
        self.assertTrue(agent._accept(link, welcome, agent.now()))
        agent._opened(link)
        return link

    def check_credits(self, agent):
        book = agent.slots.book
        held = [account.held for account in book.accounts.values()]
        parts = [book.free, *held, *book.used.values()]
        self.assertGreaterEqual(min(parts), 0)
        self.assertEqual(SLOTS, sum(parts))
        self.assertLessEqual(agent.slots.running, SLOTS)


if __name__ == "__main__":
    unittest.main()
