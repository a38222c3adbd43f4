"""Sessions of agents at this entry: streams, heartbeats, reconciliation."""

import itertools
import logging

import attrs

from trefoilgw.entry import configuring
from trefoilgw.entry import gather
from trefoilgw.entry import host as hosts
from trefoilgw.membership import changes
from trefoilgw.membership import heartbeats
from trefoilgw.messages import core as messages
from trefoilgw.streams import core as streams

# Session lease; the agent counts it from when it sent its ping.
LEASE_S = 3.0
# Acknowledged batches per pong; the rest follows with the next one.
ACKED_LIMIT = 4096

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Session:
    """One stream of an agent.

    Attributes:
        agent: Incarnation of the agent.
        number: Grows with each stream of any agent.
        stream: The stream.
        hello: What the agent said of itself.
        acked: Batches whose end the agent has not been told yet.
        revision: Configuration revision that the agent named last.
        blocked: Why the agent gets no work; empty if it does.
        verdict: What it was ejected for; empty if it never was.
    """

    agent: str
    number: int
    stream: streams.Stream
    hello: messages.AgentHello
    acked: list = attrs.field(factory=list)
    revision: int = 0
    blocked: set = attrs.field(factory=set)
    verdict: str = ""


@attrs.define(eq=False)
class Agents:
    """Accepts agents and takes their messages.

    Attributes:
        host: State of this entry.
        config: Configuration in force and its exchange.
        ejected: Agents that get no work because they fail too much.
        stopped: Why a kind is stopped, by its name; for operators.
    """

    host: hosts.Host
    config: configuring.Configuring
    ejected: set = attrs.field(factory=set)
    stopped: dict = attrs.field(factory=dict)
    _numbers: itertools.count = attrs.field(factory=lambda: itertools.count(1))

    def welcome(self, hello: messages.AgentHello) -> messages.Welcome:
        """Returns the welcome of an agent, with a new session number."""
        return messages.Welcome(
            incarnation=self.host.incarnation,
            session=next(self._numbers),
            revision=self.config.revision,
            lease_s=LEASE_S,
            epoch=self.host.roster.epoch,
            entries=self.config.roster_entries(),
        )

    def opened(self, stream: streams.Stream) -> None:
        """Takes an accepted stream of an agent as its session."""
        hello = stream.hello
        number = stream.welcome.session
        agent = hello.incarnation
        old = self.host.agents.get(agent)
        if old is not None and old.number > number:
            stream.close("a newer session is open")
            return
        session = Session(agent, number, stream, hello)
        self.host.agents[agent] = session
        if old is not None:
            old.stream.close("a newer session was opened")
        self._join(session)
        stream.start(self._received, self._closed)
        if hello.revision > self.config.revision:
            self.host.send(stream, messages.ConfigWant())

    def _join(self, session: Session) -> None:
        """Books a session and asks for what earlier ones left open."""
        host = self.host
        agent = session.agent
        hello = session.hello
        now_s = host.read_clock()
        host.heartbeats.message_received(agent, now_s)
        host.placement.agent_joined(
            agent, hello.domain, hello.services, hello.slots
        )
        host.outliers.agent_joined(agent)
        if agent in self.ejected:
            self._block(agent, "ejected")
        host.table.agent_reconnected(agent, session.number)
        references = host.table.open_batches(agent)
        if references:
            host.send(session.stream, messages.Reconcile(references))
            doomed = tuple(
                batch.number
                for batch in host.table.batches.of_agent(agent)
                if batch.job.abort_reason is not None
            )
            if doomed:
                host.send(session.stream, messages.Strike(doomed, "cancelled"))
        self.drain()
        log.info(
            "agent joined",
            extra={"agent": hello.agent, "agent_incarnation": agent},
        )

    def _closed(self, stream: streams.Stream, reason: str) -> None:
        """Books the end of a session; the agent may come back."""
        self.host.counts.closed("agent", stream)
        agent = stream.hello.incarnation
        session = self.host.agents.get(agent)
        if session is None or session.stream is not stream:
            return
        del self.host.agents[agent]
        self.host.placement.agent_left(agent)
        if "leaving" in session.blocked:
            self._forget_left(agent)
        log.info(
            "agent disconnected",
            extra={"agent": stream.hello.agent, "reason": reason},
        )

    def _forget_left(self, agent: str) -> None:
        """Ends the heartbeats of an agent that left with nothing open."""
        if not self.host.table.open_batches(agent):
            self.host.heartbeats.agent_left(agent)
            self.host.outliers.agent_left(agent)

    def _received(self, stream: streams.Stream, message) -> None:
        """Takes one message of an agent."""
        host = self.host
        host.counts.received(message)
        session = host.agents.get(stream.hello.incarnation)
        if session is None or session.stream is not stream:
            host.counts.foreign_messages += 1
            return
        now_s = host.read_clock()
        host.heartbeats.message_received(session.agent, now_s)
        match message:
            case messages.BatchDone():
                gather.take(host, session, message)
            case messages.Ping():
                self._pong(session, message)
            case messages.CreditGrant(credits=credits):
                host.placement.credits_granted(session.agent, credits)
                host.dispatch_waiting()
            case messages.Leaving():
                self._block(session.agent, "leaving")
                log.info("agent leaves", extra={"agent": session.hello.agent})
            case messages.ConfigWant():
                self.config.push(stream)
            case messages.ConfigPush(revision=revision, document=document):
                self.config.offer(revision, document)
            case _:
                name = type(message).__name__
                stream.close(f"unexpected {name}")

    def _pong(self, session: Session, ping: messages.Ping) -> None:
        """Renews the session lease and compares configurations."""
        session.revision = ping.revision
        acked = tuple(session.acked[:ACKED_LIMIT])
        del session.acked[:ACKED_LIMIT]
        pong = messages.Pong(ping.sent_s, self.config.revision, acked)
        self.host.send(session.stream, pong)
        if ping.revision > self.config.revision:
            self.host.send(session.stream, messages.ConfigWant())

    def check(self) -> None:
        """Suspects and removes silent agents; call it twice a second."""
        host = self.host
        now_s = host.read_clock()
        for change in host.heartbeats.check(now_s):
            match change:
                case heartbeats.Suspected(agent=agent):
                    self._block(agent, "suspected")
                    log.warning("agent suspected", extra={"agent": agent})
                case heartbeats.Recovered(agent=agent):
                    self._unblock(agent, "suspected")
                    log.info("agent recovered", extra={"agent": agent})
                case heartbeats.Removed(agent=agent):
                    self._remove(agent, now_s)
                case _:
                    raise TypeError(f"unknown change {change!r}")

    def check_outliers(self) -> None:
        """Ejects and readmits agents by their outcomes; once a second."""
        host = self.host
        for change in host.outliers.check(host.read_clock()):
            match change:
                case changes.Eject(agent=agent):
                    self.ejected.add(agent)
                    self._keep_verdict(change)
                    self._block(agent, "ejected")
                case changes.Probe(agent=agent):
                    self.ejected.discard(agent)
                    self._unblock(agent, "ejected")
                    host.placement.start_probation(agent)
                case changes.Readmit(agent=agent):
                    self.ejected.discard(agent)
                    self._unblock(agent, "ejected")
                # Admission asks for the state of a kind.
                case changes.PoisonKind(kind=kind):
                    self.stopped[kind] = change
                case changes.KindReleased(kind=kind):
                    self.stopped.pop(kind, None)
                case _:
                    raise TypeError(f"unknown change {change!r}")
            log.warning("outcomes judged", extra={"change": repr(change)})

    def _keep_verdict(self, change: changes.Eject) -> None:
        """Keeps for operators why an agent was ejected."""
        session = self.host.agents.get(change.agent)
        if session is not None:
            session.verdict = (
                f"{change.failed_share:.0%} of its tasks failed, "
                f"{change.expected_share:.0%} at other agents"
            )

    def drain(self) -> None:
        """Blocks the agents that the configuration names as draining."""
        configuration = self.host.configuration
        names = getattr(configuration, "draining", ())
        for agent, session in list(self.host.agents.items()):
            if session.hello.agent in names:
                self._block(agent, "draining")
            else:
                self._unblock(agent, "draining")

    def _block(self, agent: str, reason: str) -> None:
        """Sends no new work to an agent."""
        session = self.host.agents.get(agent)
        if session is not None:
            session.blocked.add(reason)
            self.host.placement.set_agent_usable(agent, False)

    def _unblock(self, agent: str, reason: str) -> None:
        """Sends work to an agent again, if nothing else stands against it."""
        session = self.host.agents.get(agent)
        if session is None or reason not in session.blocked:
            return
        session.blocked.discard(reason)
        if not session.blocked:
            self.host.placement.set_agent_usable(agent, True)
            self.host.dispatch_waiting()

    def _remove(self, agent: str, now_s: float) -> None:
        """Gives up an agent: nothing more starts there for this entry."""
        host = self.host
        log.warning("agent removed", extra={"agent": agent})
        self.ejected.discard(agent)
        host.outliers.agent_left(agent)
        session = host.agents.pop(agent, None)
        host.placement.agent_left(agent)
        if session is not None:
            session.stream.close("silent for too long")
        for result in host.table.agent_lost(agent, now_s):
            host.follow(result, now_s)
        lost = [n for n, held in host.in_flight.items() if held.agent == agent]
        for number in lost:
            host.release(number, None, 0.0, now_s)
