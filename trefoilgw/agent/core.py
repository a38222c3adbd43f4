"""Composition root of the agent, the process beside a target.

Wires the streams to the ledger and the slots, carries out their actions, and
calls the target. Decisions stand in `trefoilgw.ledger` and `trefoilgw.slots`.
"""

import logging
import math
import random
import time
from collections.abc import Callable

import attrs
import eventlet
from eventlet import event

from trefoilgw.agent import admin
from trefoilgw.agent import configuration as configuration_module
from trefoilgw.agent import connections as connections_module
from trefoilgw.ledger import core as ledger_core
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.settings import core as settings_core
from trefoilgw.slots import actions
from trefoilgw.slots import core as slots_core
from trefoilgw.slots import credits
from trefoilgw.streams import core as streams
from trefoilgw.targets import core as targets
from trefoilgw.timers import core as timers_core

PING_INTERVAL_S = 1.0
# How often a leaving agent looks whether it may exit.
EXIT_CHECK_INTERVAL_S = 0.1
# A stream without a byte for this long is closed and dialed anew; the entry
# has removed the agent after the same time.
SILENCE_LIMIT_S = 3.3
# A leaving agent waits this long for the target's answers to tasks that are
# past their deadline, and for homes to acknowledge the last results.
LEAVE_STRAGGLERS_S = 10.0
LEAVE_ACKS_S = 3.0

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Agent:
    """One agent process.

    Attributes:
        settings: Settings from the file.
        rng: Source of the incarnation and of jitter.
        admin_address: Bound admin address, or empty.
        incarnation: 16 hex digits, new at every start.
        now: Monotonic clock in seconds.
        timers: The timer service of the process.
        ledger: Start ledger.
        slots: Batches on the target's slots.
        target: HTTP client of the target.
        configuration: Configuration in force.
        connections: Streams to the entries.
        resumed_s: End of the last pause of the process.
    """

    settings: settings_core.AgentSettings
    rng: random.Random = attrs.field(factory=random.SystemRandom)
    admin_address: str = ""
    incarnation: str = ""
    now: Callable[[], float] = time.monotonic
    timers: timers_core.TimerService = attrs.field(
        factory=timers_core.TimerService
    )
    ledger: ledger_core.Ledger = attrs.field(factory=ledger_core.Ledger)
    slots: slots_core.Slots = attrs.field(init=False)
    target: targets.Client = attrs.field(init=False)
    configuration: configuration_module.Configuration = attrs.field(
        factory=configuration_module.Configuration
    )
    connections: connections_module.Connections = attrs.field(init=False)
    resumed_s: float = 0.0
    _left_s: float | None = None
    _check_at_s: float = math.inf
    _check_timer: timers_core.Timer | None = None
    _admin: admin.Admin | None = None
    _stopped: event.Event = attrs.field(factory=event.Event)

    def __attrs_post_init__(self):
        self.incarnation = f"{self.rng.getrandbits(64):016x}"
        usable = min(self.settings.slots, self.settings.connections)
        book = credits.CreditBook(self.incarnation, usable)
        self.slots = slots_core.Slots(self.ledger, book)
        host, port = streams.parse_address(self.settings.target_address)
        self.target = targets.Client(
            host, port, self.settings.connections, now=self.now
        )
        self.connections = connections_module.Connections(
            agent=self.incarnation,
            key=bytes.fromhex(self.settings.stream_key),
            seeds=tuple(self.settings.entries),
            hello=self.hello,
            accept=self._accept_session,
            on_open=self._stream_opened,
            on_message=self._handle_message,
            on_closed=self._closed,
            rng=self.rng,
            now=self.now,
        )

    def start(self) -> None:
        """Starts the timers and dials the entries.

        Raises:
            OSError: The admin address can't be bound.
        """
        if self.settings.admin_address:
            self._admin = admin.Admin(self)
            self.admin_address = self._admin.listen(self.settings.admin_address)
        self.timers.on_pause(self.resumed)
        self.timers.every(PING_INTERVAL_S, self.tick)
        eventlet.spawn_n(self.timers.run)
        self.connections.update()

    def leave(self) -> None:
        """Takes no new work, finishes what runs, then stops."""
        if self._left_s is not None:
            return
        log.info("leaving", extra={"running": self.slots.running})
        self._left_s = self.now()
        self._execute_actions(self.slots.leave(self._left_s))
        self.timers.every(EXIT_CHECK_INTERVAL_S, self._exit_when_done)

    def wait(self) -> None:
        """Returns once the agent has stopped."""
        self._stopped.wait()

    def stop(self) -> None:
        """Closes everything at once."""
        self.timers.stop()
        self.connections.close("the agent stopped")
        self.target.close_idle(everything=True)
        if self._admin is not None:
            self._admin.close()
        if not self._stopped.ready():
            self._stopped.send()

    def hello(self) -> messages.AgentHello:
        """Returns the hello for a new stream."""
        return messages.AgentHello(
            version=messages.PROTOCOL_VERSION,
            agent=self.settings.name,
            incarnation=self.incarnation,
            domain=self.settings.domain,
            services=tuple(self.settings.services),
            slots=self.slots.book.total,
            connections=self.settings.connections,
            revision=self.configuration.revision,
            admin_address=self.admin_address,
        )

    def _accept_session(
        self,
        link: connections_module.Link,
        welcome: messages.Welcome,
        began_s: float,
    ) -> bool:
        """Returns True if a session is the newest of its entry."""
        return self.ledger.session_opened(
            welcome.incarnation, welcome.session, began_s, welcome.lease_s
        )

    def _stream_opened(self, link: connections_module.Link) -> None:
        """Lends credits on a new stream."""
        now_s = self.now()
        welcome = link.stream.welcome
        self._expect(now_s)
        self._execute_actions(self.slots.connect(link.entry, now_s))
        self._ping(link, now_s)
        self._seen_revision(link, welcome.revision, now_s)

    def _closed(self, link: connections_module.Link) -> None:
        """Takes back the credits of a closed stream."""
        now_s = self.now()
        self.ledger.session_closed(link.entry, link.session)
        self.configuration.forget(link.entry)
        self._execute_actions(self.slots.disconnect(link.entry, now_s))

    def _handle_message(self, link: connections_module.Link, message) -> None:
        """Handles one message of an entry."""
        now_s = self.now()
        match message:
            case messages.Pong():
                self._pong(link, message, now_s)
            case messages.Roster(epoch=epoch, entries=entries):
                if self.connections.learn_roster(epoch, entries):
                    self._expect(now_s)
                    self.connections.update()
            case messages.Leaving():
                self.slots.entry_leaving(link.entry)
            case messages.ConfigWant():
                self._push_configuration(link, now_s)
            case messages.ConfigPush(revision=revision, document=document):
                self.configuration.offer(revision, document)
            case _:
                self._execute_actions(self._work(link, message, now_s))

    def _work(
        self, link: connections_module.Link, message, now_s: float
    ) -> tuple[actions.Action, ...]:
        """Hands a message about work to the slots."""
        entry = link.entry
        match message:
            case messages.RunBatch():
                return self.slots.run_batch(entry, link.session, message, now_s)
            case messages.Resize(batch=batch, concurrency=concurrency):
                return self.slots.resize(entry, batch, concurrency, now_s)
            case messages.Strike(batches=batches, reason=text):
                reason = _reason(text)
                return self.slots.strike(entry, batches, reason, now_s)
            case messages.Reconcile(batches=refs):
                return self.slots.reconcile(entry, link.session, refs, now_s)
            case messages.CreditReturn(credits=count):
                return self.slots.credits_returned(entry, count, now_s)
        raise TypeError(f"unexpected {type(message).__name__}")

    def _pong(
        self,
        link: connections_module.Link,
        message: messages.Pong,
        now_s: float,
    ) -> None:
        """Renews the lease; an answer to a ping never sent is ignored."""
        if message.sent_s <= link.pinged_s:
            self.ledger.lease_renewed(link.entry, link.session, message.sent_s)
        self.ledger.acknowledged(link.entry, message.acked)
        self._seen_revision(link, message.revision, now_s)

    def _seen_revision(
        self, link: connections_module.Link, revision: int, now_s: float
    ) -> None:
        """Asks an entry that has a newer configuration for it."""
        if self.configuration.should_ask(revision, now_s):
            link.stream.send(messages.ConfigWant())

    def _push_configuration(
        self, link: connections_module.Link, now_s: float
    ) -> None:
        """Sends the configuration in force to an entry that asks."""
        if self.configuration.should_push(link.entry, now_s):
            link.stream.send(
                messages.ConfigPush(
                    self.configuration.revision, self.configuration.document
                )
            )

    def _expect(self, now_s: float) -> None:
        """Tells the slots which entries share them."""
        self.slots.set_expected_entries(self.connections.expected(), now_s)

    def _execute_actions(self, found: tuple[actions.Action, ...]) -> None:
        """Carries out actions of the slots."""
        for action in found:
            match action:
                case actions.StartTask():
                    eventlet.spawn_n(self._run_task, action)
                case actions.StopTask():
                    eventlet.spawn_n(self._stop_task, action)
                case actions.SendDone(entry=entry, message=message):
                    self._send(entry, message)
                case actions.GrantCredits(entry=entry, credits=count):
                    self._send(entry, messages.CreditGrant(count))
                case actions.SendLeaving(entry=entry):
                    self._send(entry, messages.Leaving())
                case _:
                    raise TypeError(f"unexpected action {action!r}")
        self._schedule_check()

    def _send(self, entry: str, message) -> None:
        """Sends to an entry; without a stream, `Reconcile` will ask."""
        link = self.connections.link_to(entry)
        if link is not None:
            link.stream.send(message)

    def _run_task(self, action: actions.StartTask) -> None:
        """Sends a task to the target and hands its fate to the slots."""

        def refusal() -> outcomes.NotRun | None:
            return self.ledger.refusal(
                action.ref.entry,
                action.session,
                action.deadline_s,
                self.now(),
            )

        call = targets.Call(
            job=action.job,
            index=action.ref.index,
            service=action.service,
            payload=action.payload,
            deadline_s=action.deadline_s,
            idempotent=action.idempotent,
        )
        try:
            fate = self.target.run(call, refusal)
        except Exception as error:
            log.exception("call of the target failed")
            fate = outcomes.Unknown(outcomes.Reason.INTERNAL, str(error)[:200])
        now_s = self.now()
        self._execute_actions(self.slots.task_finished(action.ref, fate, now_s))

    def _stop_task(self, action: actions.StopTask) -> None:
        """Asks the target to stop a task."""
        self.target.stop(action.job, action.ref.index)

    def check(self) -> None:
        """Acts on deadlines and lapsed leases."""
        self._check_at_s = math.inf
        self._execute_actions(self.slots.check(self.now()))

    def _schedule_check(self) -> None:
        """Sets the timer for the next deadline or end of a lease.

        Notes:
            At rest, a check every 0.1 s would be two thirds of all wake-ups.
        """
        due_s = self.slots.next_check_s()
        if due_s >= self._check_at_s:
            return
        if self._check_timer is not None:
            self._check_timer.cancel()
        self._check_at_s = due_s
        delay_s = max(0.0, due_s - self.now())
        self._check_timer = self.timers.after(delay_s, self.check)

    def _exit_when_done(self) -> None:
        """Stops a leaving agent once nothing is left to do."""
        if self._may_exit(self.now()):
            for link in self.connections.open_links():
                link.stream.flush()
            self.stop()

    def _may_exit(self, now_s: float) -> bool:
        """Returns True once a leaving agent has nothing left to do."""
        waited_s = now_s - self._left_s
        if self.slots.open_batches:
            return False
        if self.slots.stragglers and waited_s < LEAVE_STRAGGLERS_S:
            return False
        return waited_s >= LEAVE_ACKS_S or not self.ledger.records

    def tick(self) -> None:
        """Pings, closes silent streams and grants free credits."""
        now_s = self.now()
        self._execute_actions(self.slots.tick(now_s))
        self.target.close_idle()
        for link in self.connections.open_links():
            heard_s = max(link.stream.last_received_s, self.resumed_s)
            if now_s - heard_s > SILENCE_LIMIT_S:
                link.stream.close("silent")
            else:
                self._ping(link, now_s)
        self._shed()

    def _ping(self, link: connections_module.Link, now_s: float) -> None:
        """Asks an entry to renew the session lease."""
        link.pinged_s = now_s
        link.stream.send(
            messages.Ping(
                sent_s=now_s,
                revision=self.configuration.revision,
                running=self.slots.running,
                lent=self.slots.held(link.entry),
            )
        )

    def _shed(self) -> None:
        """Leaves entries that the agent no longer has to serve."""
        for link in self.connections.surplus_links():
            if not link.closing:
                link.closing = True
                self.slots.entry_leaving(link.entry)
                link.stream.send(messages.Leaving())
            elif not self.slots.is_used_by(link.entry):
                link.stream.close("no longer assigned")

    def resumed(self, gap_s: float) -> None:
        """Strikes what lost its authority while the process was paused."""
        now_s = self.now()
        self.resumed_s = now_s
        log.warning("resumed after a pause", extra={"gap_s": round(gap_s, 3)})
        self._execute_actions(self.slots.check(now_s))
        for link in self.connections.open_links():
            self._ping(link, now_s)


def _reason(text: str) -> outcomes.Reason:
    """Returns the reason that a home gave, or `CANCELLED`."""
    try:
        return outcomes.Reason(text)
    except ValueError:
        return outcomes.Reason.CANCELLED
