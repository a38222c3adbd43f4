"""Random well-formed messages in any order at the entry and the agent."""

import logging
import math
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

# Messages that each side may send after the hellos.
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

SAMPLE_TEXTS = (
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
VALUES_BY_TYPE = {
    int: st.integers(0, 5) | st.integers(-(2**40), 2**40),
    float: st.floats(0.0, 20.0) | st.floats(),
    bool: st.booleans(),
    str: st.sampled_from(SAMPLE_TEXTS) | st.text(max_size=4),
    bytes: st.sampled_from((b"", b"{}", entry_fixtures.submission(2)))
    | st.binary(max_size=4),
    tuple[int, ...]: st.lists(st.integers(0, 5), max_size=4).map(tuple),
    tuple[str, ...]: st.lists(st.sampled_from(SAMPLE_TEXTS), max_size=4).map(
        tuple
    ),
}
# Values with which a message often concerns work that the receiver knows. With
# unrestricted values, hardly any batch would start or end.
LIKELY_VALUES = {
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
        "deadline_s": st.floats(-1.0, 9.0) | VALUES_BY_TYPE[float],
    },
    messages.Resize: {
        "batch": st.integers(0, 30),
        "concurrency": st.integers(-1, SLOTS + 1),
    },
}


def values_of(cls: type) -> st.SearchStrategy:
    """Returns instances of an attrs class, drawn by the types of its fields."""
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
            fields[field.name] = VALUES_BY_TYPE[field.type]
    fields |= LIKELY_VALUES.get(cls, {})
    return st.builds(cls, **fields)


def messages_of(classes: tuple[type, ...]) -> st.SearchStrategy:
    """Returns messages of the classes, those in `LIKELY_VALUES` more often."""
    about_work = [cls for cls in classes if cls in LIKELY_VALUES] * 3
    return st.one_of([values_of(cls) for cls in (*classes, *about_work)])


MESSAGES_FOR_AGENT = st.lists(
    st.tuples(st.integers(0, 1), messages_of(FROM_ENTRY)),
    min_size=4,
    max_size=25,
)


def floats_of(value):
    """Yields the floats of a message and of the values nested in it."""
    if isinstance(value, tuple):
        for item in value:
            yield from floats_of(item)
    elif attrs.has(type(value)):
        for field in attrs.fields(type(value)):
            content = getattr(value, field.name)
            if field.type is float:
                yield content
            else:
                yield from floats_of(content)


def receive(message):
    """Returns a message as the receiver decodes it, in a list.

    The list is empty if it is refused, which must happen exactly if a number
    in it is not finite; the receiver closes the stream then.
    """
    finite = all(map(math.isfinite, floats_of(message)))
    try:
        decoded = list(codec.Decoder().feed(codec.encode(message)))
    except codec.FrameError:
        if finite:
            raise
        return []
    if not finite:
        raise AssertionError(f"not refused: {message}")
    return decoded


def reraise(*args):
    """Replaces a log call and reraises the exception that it would log."""
    raise  # noqa: PLE0704


class EntryTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    @SETTINGS
    @hypothesis.given(
        st.lists(
            st.tuples(st.integers(0, 1), messages_of(FROM_AGENT))
            | st.tuples(st.just(2), messages_of(FROM_PEER)),
            min_size=4,
            max_size=25,
        )
    )
    def test_messages_of_agents_and_peers(self, sent):
        """An unexpected message must neither raise nor create credits."""
        with (
            mock.patch("eventlet.spawn_n", lambda call, *args: call(*args)),
            mock.patch("eventlet.sleep"),
            mock.patch.object(routing.log, "exception", reraise),
        ):
            self.check_entry(sent)

    def check_entry(self, sent):
        harness = entry_fixtures.EntryHarness()
        streams = [harness.join(agent, SLOTS, SLOTS) for agent in AGENTS]
        entry = messages.RosterEntry(PEER, "127.0.0.1:1", "", "scl-1")
        peer = entry_fixtures.FakeStream(messages.PeerHello(1, entry, 1))
        harness.entry.peers.stream_accepted(peer)
        streams.append(peer)
        for position, (index, message) in enumerate(sent):
            if position % 4 == 0:
                harness.submit(body=entry_fixtures.submission(2))
            if getattr(message, "job", "") == JOB:
                index, message = self.refer_to_open_batch(harness, message)
            stream = streams[index]
            if not stream.closed:
                for decoded in receive(message):
                    stream.on_message(stream, decoded)
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

    def refer_to_open_batch(self, harness, message):
        """Returns the index of an agent with a batch, and the message about it.

        Without an open batch the message stays as it is.
        """
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
    @hypothesis.given(MESSAGES_FOR_AGENT)
    def test_messages_of_entries(self, sent):
        """The same at the agent: each slot is either free, held or used."""
        self.check_with_spawns(sent)

    def check_with_spawns(self, sent):
        spawned = []
        with mock.patch(
            "eventlet.spawn_n", lambda call, *args: spawned.append((call, args))
        ):
            self.check_agent(sent, spawned)

    def check_agent(self, sent, spawned):
        clock = [1000.0]
        agent_settings = settings.AgentSettings(
            name="agent-1",
            domain="d1",
            target_address="127.0.0.1:1",
            services=("proof",),
            entries=("127.0.0.1:1", "127.0.0.1:2"),
            stream_key="ab" * 16,
            slots=SLOTS,
        )
        agent = agent_core.Agent(agent_settings, now=lambda: clock[0])
        links = [
            self.open_link(agent, PEER, 1),
            self.open_link(agent, OTHER, 2),
        ]
        for index, message in sent:
            for decoded in receive(message):
                agent._handle_message(links[index], decoded)
            clock[0] += 0.1
            agent.check()
            agent.tick()
            for call, args in spawned:
                if call == agent._run_task and index:
                    fate = outcomes.Completed(b"{}", 0.1)
                    found = agent.slots.task_finished(
                        args[0].ref, fate, clock[0]
                    )
                    agent._execute_actions(found)
            spawned[:] = [call for call in spawned if not index]
            self.check_credits(agent)

    def open_link(self, agent, entry, number):
        """Returns the link of a stream that the agent has accepted."""
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
        """The checks must fail if the credit book loses a credit."""
        search = hypothesis.settings(
            SETTINGS, phases=[hypothesis.Phase.generate]
        )

        @search
        @hypothesis.given(MESSAGES_FOR_AGENT)
        def check(sent):
            self.check_with_spawns(sent)

        lost_release = mock.patch.object(credits.CreditBook, "_end_use")
        with lost_release, self.assertRaises(AssertionError):
            check()


if __name__ == "__main__":
    unittest.main()
