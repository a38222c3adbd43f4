"""Any well-formed messages, in any order, at the entry and at the agent."""

import logging
import unittest
from unittest import mock

import attrs
import hypothesis
from hypothesis import strategies as st

from trefoilgw.agent import connections
from trefoilgw.agent import core as agent_core
from trefoilgw.entry import routing
from trefoilgw.entry.tests import fixtures as entry_fixtures
from trefoilgw.messages import codec
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.settings import core as settings
from trefoilgw.slots import credits

AGENTS = ("a" * 16, "b" * 16)
PEER, OTHER = "c" * 16, "d" * 16
JOB = "job"
SLOTS = 4
SETTINGS = hypothesis.settings(
    max_examples=100,
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
    bytes: st.sampled_from((b"", b"{}", entry_fixtures.submission(2)))
    | st.binary(max_size=4),
    tuple[int, ...]: st.lists(st.integers(0, 5), max_size=4).map(tuple),
    tuple[str, ...]: st.lists(st.sampled_from(WORDS), max_size=4).map(tuple),
}
# Ranges in which a message is about work that the other side knows; with any
# value at all, hardly a batch would start or end.
LIKELY = {
    messages.TaskOutcome: {
        "index": st.integers(0, 2),
        "fate": st.sampled_from((*["completed"] * 3, "failed", "not_run", "?")),
    },
    messages.BatchDone: {
        "batch": st.integers(0, 9),
        "job": st.sampled_from((JOB, JOB, JOB, "cobre")),
        "credits": st.integers(-1, SLOTS),
    },
    messages.Forward: {
        "action": st.sampled_from(("submit", "read", "cancel")),
    },
    messages.TaskSpec: {"index": st.integers(-1, 3)},
    messages.RunBatch: {
        "batch": st.integers(0, 30),
        "concurrency": st.integers(-1, SLOTS + 1),
        "deadline_s": st.floats(-1.0, 9.0) | PLAIN[float],
    },
    messages.Resize: {
        "batch": st.integers(0, 30),
        "concurrency": st.integers(-1, SLOTS + 1),
    },
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
    fields |= LIKELY.get(cls, {})
    return st.builds(cls, **fields)


def any_of(classes: tuple[type, ...]) -> st.SearchStrategy:
    """Returns messages of the classes, those about work more often."""
    often = [cls for cls in classes if cls in LIKELY] * 3
    return st.one_of([values_of(cls) for cls in (*classes, *often)])


FOR_AGENT = st.lists(
    st.tuples(st.integers(0, 1), any_of(FROM_ENTRY)), min_size=4, max_size=25
)


def on_the_wire(message):
    """Returns a message as the other side reads it."""
    (decoded,) = codec.Decoder().feed(codec.encode(message))
    return decoded


def raise_current(*args):
    """Stands for a log call, so that the router hides no exception."""
    raise  # noqa: PLE0704


class EntryTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    @SETTINGS
    @hypothesis.given(
        st.lists(
            st.tuples(st.integers(0, 1), any_of(FROM_AGENT))
            | st.tuples(st.just(2), any_of(FROM_PEER)),
            min_size=4,
            max_size=25,
        )
    )
    def test_messages_of_agents_and_peers(self, sent):
        """A message at an odd time must not end a handler or make credits."""
        with (
            mock.patch("eventlet.spawn_n", lambda call, *args: call(*args)),
            mock.patch("eventlet.sleep"),
            mock.patch.object(routing.log, "exception", raise_current),
        ):
            self.check_entry(sent)

    def check_entry(self, sent):
        harness = entry_fixtures.EntryHarness()
        streams = [harness.join(agent, SLOTS, SLOTS) for agent in AGENTS]
        entry = messages.RosterEntry(PEER, "127.0.0.1:1", "", "scl-1")
        peer = entry_fixtures.FakeStream(messages.PeerHello(1, entry, 1))
        harness.entry.peers.stream_accepted(peer)
        streams.append(peer)
        for position, (target, message) in enumerate(sent):
            if position % 4 == 0:
                harness.submit(body=entry_fixtures.submission(2))
            if getattr(message, "job", "") == JOB:
                target, message = self.about_open_batch(harness, message)
            stream = streams[target]
            if not stream.closed:
                stream.on_message(stream, on_the_wire(message))
            harness.clock_s += 0.1
            harness.entry.agents.check_heartbeats()
            harness.entry.agents.check_outliers()
            harness.entry._enforce_deadlines()
            harness.run_delayed()
            harness.entry.dispatch_waiting()
            harness.entry.peers.send_pings()
            self.check_credits(harness.host.placement.book)

    def check_credits(self, book):
        for state in book.states.values():
            lent = state.credits.values()
            self.assertGreaterEqual(min([*lent, state.in_use]), 0)
            self.assertEqual(sum(lent), state.free)
        usable = [state.available for state in book.states.values()]
        self.assertEqual(sum(usable), book.free)

    def about_open_batch(self, harness, message):
        """Returns an agent that has a batch, and the message about it."""
        known = list(harness.host.table.batches.by_number.values())
        if not known:
            return 0, message
        batch = known[message.batch % len(known)]
        message = attrs.evolve(message, batch=batch.number, job=batch.job.id)
        return AGENTS.index(batch.agent), message


class AgentTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    @SETTINGS
    @hypothesis.given(FOR_AGENT)
    def test_messages_of_entries(self, sent):
        """The same at the agent; every slot stays free, held or used."""
        self.check_with_spawns(sent)

    def check_with_spawns(self, sent):
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
            agent._handle_message(links[target], on_the_wire(message))
            clock[0] += 0.1
            agent.check()
            agent.tick()
            for call, args in spawned:
                if call == agent._run_task and target:
                    fate = outcomes.Completed(b"{}", 0.1)
                    found = agent.slots.task_finished(
                        args[0].ref, fate, clock[0]
                    )
                    agent._execute_actions(found)
            spawned[:] = [one for one in spawned if not target]
            self.check_credits(agent)

    def open(self, agent, entry, number):
        """Returns the link of an accepted stream."""
        link = connections.Link(f"127.0.0.1:{number}", entry=entry, session=1)
        welcome = messages.Welcome(entry, 1, 0, 3.0, 0, ())
        link.stream = entry_fixtures.FakeStream(welcome=welcome)
        link.stream.last_received_s = agent.now()
        link.stream.start(None, lambda *args: None)
        agent.connections.links[link.address] = link
        self.assertTrue(agent._accept_session(link, welcome, agent.now()))
        agent._stream_opened(link)
        return link

    def check_credits(self, agent):
        book = agent.slots.book
        held = [account.held for account in book.accounts.values()]
        parts = [book.free, *held, *book.used.values()]
        self.assertGreaterEqual(min(parts), 0)
        self.assertEqual(SLOTS, sum(parts))
        self.assertLessEqual(agent.slots.running, SLOTS)

    def test_lost_credit_is_found(self):
        """Guards against a check that passes whatever the book does."""
        search = hypothesis.settings(
            SETTINGS, phases=[hypothesis.Phase.generate]
        )

        @search
        @hypothesis.given(FOR_AGENT)
        def check(sent):
            self.check_with_spawns(sent)

        lose = mock.patch.object(credits.CreditBook, "_end_use")
        with lose, self.assertRaises(AssertionError):
            check()


if __name__ == "__main__":
    unittest.main()
