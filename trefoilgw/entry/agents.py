"""Sessions of agents: their streams, heartbeats and reconciliation."""

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

# Session lease; the agent counts it from the time at which it sent its ping.
SESSION_LEASE_S = 3.0
# Batches acknowledged per pong; the next pong acknowledges the rest.
MAX_ACKS_PER_PONG = 4096

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Session:
    """Session of an agent on one stream.

    Attributes:
        agent: Incarnation of the agent.
        number: Session number; increases with each session of any agent.
        stream: The stream.
        hello: Hello that the agent sent.
        pending_acks: Numbers of ended batches that are not acknowledged yet.
        revision: Configuration revision in the last ping of the agent.
        blocked: Reasons why the agent gets no new work; empty if it does.
        verdict: Why it was ejected last; empty if it never was.
    """

    agent: str
    number: int
    stream: streams.Stream
    hello: messages.AgentHello
    pending_acks: list = attrs.field(factory=list)
    revision: int = 0
    blocked: set = attrs.field(factory=set)
    verdict: str = ""


@attrs.define(eq=False)
class AgentSessions:
    """Accepts agents and handles their messages.

    Attributes:
        host: State of this entry.
        config: Configuration in force and roster.
        ejected: Agents that get no work because too many of their tasks failed.
        stopped_kinds: Change that stopped each poison kind, by name of the
            kind; shown to operators.
    """

    host: hosts.Host
    config: configuring.ConfigurationManager
    ejected: set = attrs.field(factory=set)
    stopped_kinds: dict = attrs.field(factory=dict)
    _session_numbers: itertools.count = attrs.field(
        factory=lambda: itertools.count(1)
    )

    def welcome(self, hello: messages.AgentHello) -> messages.Welcome:
        """Returns the welcome for an agent, with a new session number."""
        return messages.Welcome(
            incarnation=self.host.incarnation,
            session=next(self._session_numbers),
            revision=self.config.revision,
            lease_s=SESSION_LEASE_S,
            epoch=self.host.roster.epoch,
            entries=self.config.roster_entries(),
        )

    def open_session(self, stream: streams.Stream) -> None:
        """Opens the session of an accepted stream.

        The session with the highest number replaces any other of the agent,
        since handshakes may complete out of order.
        """
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
        self._start_session(session)
        stream.start(self._message_received, self._stream_closed)
        if hello.revision > self.config.revision:
            self.host.send(stream, messages.ConfigWant())

    def _start_session(self, session: Session) -> None:
        """Registers a session and reconciles batches of earlier ones."""
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
            aborted = tuple(
                batch.number
                for batch in host.table.batches.of_agent(agent)
                if batch.job.abort_reason is not None
            )
            if aborted:
                host.send(session.stream, messages.Strike(aborted, "cancelled"))
        self.update_draining()
        log.info(
            "agent joined",
            extra={"agent": hello.agent, "agent_incarnation": agent},
        )

    def _stream_closed(self, stream: streams.Stream, reason: str) -> None:
        """Ends a session; the agent may reconnect."""
        self.host.counts.record_closed_stream("agent", stream)
        agent = stream.hello.incarnation
        session = self.host.agents.get(agent)
        if session is None or session.stream is not stream:
            return
        del self.host.agents[agent]
        self.host.placement.agent_left(agent)
        if "leaving" in session.blocked:
            self._forget_departed(agent)
        log.info(
            "agent disconnected",
            extra={"agent": stream.hello.agent, "reason": reason},
        )

    def _forget_departed(self, agent: str) -> None:
        """Stops monitoring an agent that left and has no open batches."""
        if not self.host.table.open_batches(agent):
            self.host.heartbeats.agent_left(agent)
            self.host.outliers.agent_left(agent)

    def _message_received(self, stream: streams.Stream, message) -> None:
        """Handles one message of an agent."""
        host = self.host
        host.counts.record_received(message)
        session = host.agents.get(stream.hello.incarnation)
        if session is None or session.stream is not stream:
            host.counts.foreign_messages += 1
            return
        now_s = host.read_clock()
        host.heartbeats.message_received(session.agent, now_s)
        match message:
            case messages.BatchDone():
                gather.handle_batch_done(host, session, message)
            case messages.Ping():
                self._answer_ping(session, message)
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

    def _answer_ping(self, session: Session, ping: messages.Ping) -> None:
        """Renews the session lease and compares configuration revisions."""
        session.revision = ping.revision
        acked = tuple(session.pending_acks[:MAX_ACKS_PER_PONG])
        del session.pending_acks[:MAX_ACKS_PER_PONG]
        pong = messages.Pong(ping.sent_s, self.config.revision, acked)
        self.host.send(session.stream, pong)
        if ping.revision > self.config.revision:
            self.host.send(session.stream, messages.ConfigWant())

    def check_heartbeats(self) -> None:
        """Suspects and removes silent agents.

        Must be called at least twice a second.
        """
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
                    self._remove_agent(agent, now_s)
                case _:
                    raise TypeError(f"unknown change {change!r}")

    def check_outliers(self) -> None:
        """Ejects agents and stops kinds by task outcomes, or readmits them.

        Must be called once a second.
        """
        host = self.host
        for change in host.outliers.check(host.read_clock()):
            match change:
                case changes.Eject(agent=agent):
                    self.ejected.add(agent)
                    self._record_verdict(change)
                    self._block(agent, "ejected")
                case changes.Probe(agent=agent):
                    self.ejected.discard(agent)
                    self._unblock(agent, "ejected")
                    host.placement.start_probation(agent)
                case changes.Readmit(agent=agent):
                    self.ejected.discard(agent)
                    self._unblock(agent, "ejected")
                # The filter `admit` reads the state of kinds itself.
                case changes.PoisonKind(kind=kind):
                    self.stopped_kinds[kind] = change
                case changes.KindReleased(kind=kind):
                    self.stopped_kinds.pop(kind, None)
                case _:
                    raise TypeError(f"unknown change {change!r}")
            log.warning("outcomes judged", extra={"change": repr(change)})

    def _record_verdict(self, change: changes.Eject) -> None:
        """Records why an agent was ejected, for operators."""
        session = self.host.agents.get(change.agent)
        if session is not None:
            session.verdict = (
                f"{change.failed_share:.0%} of its tasks failed, "
                f"{change.expected_share:.0%} at other agents"
            )

    def update_draining(self) -> None:
        """Blocks the agents that the configuration lists as draining.

        The reason "draining" is withdrawn from all other agents.
        """
        configuration = self.host.configuration
        names = getattr(configuration, "draining", ())
        for agent, session in list(self.host.agents.items()):
            if session.hello.agent in names:
                self._block(agent, "draining")
            else:
                self._unblock(agent, "draining")

    def _block(self, agent: str, reason: str) -> None:
        """Stops new work for an agent and records the reason."""
        session = self.host.agents.get(agent)
        if session is not None:
            session.blocked.add(reason)
            self.host.placement.set_agent_usable(agent, False)

    def _unblock(self, agent: str, reason: str) -> None:
        """Withdraws a reason; the agent gets work again if none remains."""
        session = self.host.agents.get(agent)
        if session is None or reason not in session.blocked:
            return
        session.blocked.discard(reason)
        if not session.blocked:
            self.host.placement.set_agent_usable(agent, True)
            self.host.dispatch_waiting()

    def _remove_agent(self, agent: str, now_s: float) -> None:
        """Removes an agent, which starts no more tasks of this entry.

        The job table ends its batches as lost, and all credits of its batches
        are released.
        """
        host = self.host
        log.warning("agent removed", extra={"agent": agent})
        self.ejected.discard(agent)
        host.outliers.agent_left(agent)
        session = host.agents.pop(agent, None)
        host.placement.agent_left(agent)
        if session is not None:
            session.stream.close("silent for too long")
        for job_event in host.table.agent_lost(agent, now_s):
            host.handle_job_event(job_event, now_s)
        lost = [
            number
            for number, batch in host.in_flight.items()
            if batch.agent == agent
        ]
        for number in lost:
            host.release_credits(number, None, 0.0, now_s)
