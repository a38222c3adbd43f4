"""Composition root of the agent, the process that runs next to a target.

Connects the streams to the ledger and the slots, executes the actions of the
slots, and calls the target. Decisions are made in `trefoilgw.ledger` and
`trefoilgw.slots`.
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
# How often a leaving agent checks whether it may exit.
EXIT_CHECK_INTERVAL_S = 0.1
# A stream on which nothing was received for this long is closed and dialed
# again. The entry removes the agent after the same time.
MAX_SILENCE_S = 3.3
# A leaving agent waits at most this long for the target's answers to tasks past
# their deadline, and for the homes to acknowledge the last results.
MAX_STRAGGLER_WAIT_S = 10.0
MAX_ACK_WAIT_S = 3.0

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Agent:
    """The agent of a process.

    Attributes:
        settings: Settings from the file.
        rng: Source of the incarnation and of jitter.
        admin_address: Bound admin address, empty if there is none.
        incarnation: 16 hex digits, new at every start.
        now: Monotonic clock in seconds.
        timers: Timer service of the process.
        ledger: Start ledger.
        slots: Batches that run on the target's slots.
        target: HTTP client of the target.
        configuration: Configuration in force.
        connections: Streams to the entries.
        resumed_s: Time at which the last pause of the process ended.
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
    _leave_started_s: float | None = None
    _check_at_s: float = math.inf
    _check_timer: timers_core.Timer | None = None
    _admin: admin.AdminServer | None = None
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
            on_closed=self._stream_closed,
            rng=self.rng,
            now=self.now,
        )

    def start(self) -> None:
        """Starts the timers and dials the entries.

        Raises:
            OSError: The admin address can't be bound.
        """
        if self.settings.admin_address:
            self._admin = admin.AdminServer(self)
            self.admin_address = self._admin.listen(self.settings.admin_address)
        self.timers.on_pause(self.resumed)
        self.timers.every(PING_INTERVAL_S, self.tick)
        eventlet.spawn_n(self.timers.run)
        self.connections.update()

    def leave(self) -> None:
        """Refuses new work, finishes running tasks, then stops."""
        if self._leave_started_s is not None:
            return
        log.info("leaving", extra={"running": self.slots.running})
        self._leave_started_s = self.now()
        self._execute_actions(self.slots.leave(self._leave_started_s))
        self.timers.every(EXIT_CHECK_INTERVAL_S, self._exit_when_done)

    def wait(self) -> None:
        """Returns once the agent has stopped."""
        self._stopped.wait()

    def stop(self) -> None:
        """Stops the timers and closes all connections at once."""
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
        dial_started_s: float,
    ) -> bool:
        """Opens a session in the ledger.

        Returns:
            False if the session is not newer than the entry's last one.
        """
        return self.ledger.session_opened(
            welcome.incarnation,
            welcome.session,
            dial_started_s,
            welcome.lease_s,
        )

    def _stream_opened(self, link: connections_module.Link) -> None:
        """Grants credits to the entry of a new stream."""
        now_s = self.now()
        welcome = link.stream.welcome
        self._update_expected_entries(now_s)
        self._execute_actions(self.slots.connect(link.entry, now_s))
        self._ping(link, now_s)
        self._request_if_newer(link, welcome.revision, now_s)

    def _stream_closed(self, link: connections_module.Link) -> None:
        """Ends the session of a closed stream and reclaims its credits."""
        now_s = self.now()
        self.ledger.session_closed(link.entry, link.session)
        self.configuration.forget(link.entry)
        self._execute_actions(self.slots.disconnect(link.entry, now_s))

    def _handle_message(self, link: connections_module.Link, message) -> None:
        """Handles a message from an entry."""
        now_s = self.now()
        match message:
            case messages.Pong():
                self._handle_pong(link, message, now_s)
            case messages.Roster(epoch=epoch, entries=entries):
                if self.connections.update_roster(epoch, entries):
                    self._update_expected_entries(now_s)
                    self.connections.update()
            case messages.Leaving():
                self.slots.entry_leaving(link.entry)
            case messages.ConfigWant():
                self._push_configuration(link, now_s)
            case messages.ConfigPush(revision=revision, document=document):
                self.configuration.offer(revision, document)
            case _:
                self._execute_actions(self._handle_work(link, message, now_s))

    def _handle_work(
        self, link: connections_module.Link, message, now_s: float
    ) -> tuple[actions.Action, ...]:
        """Passes a message about batches or credits to the slots.

        Returns:
            The actions to execute.
        """
        entry = link.entry
        match message:
            case messages.RunBatch():
                return self.slots.run_batch(entry, link.session, message, now_s)
            case messages.Resize(batch=batch, concurrency=concurrency):
                return self.slots.resize(entry, batch, concurrency, now_s)
            case messages.Strike(batches=batches, reason=text):
                reason = _parse_reason(text)
                return self.slots.strike(entry, batches, reason, now_s)
            case messages.Reconcile(batches=refs):
                return self.slots.reconcile(entry, link.session, refs, now_s)
            case messages.CreditReturn(credits=count):
                return self.slots.credits_returned(entry, count, now_s)
        raise TypeError(f"unexpected message {type(message).__name__}")

    def _handle_pong(
        self,
        link: connections_module.Link,
        message: messages.Pong,
        now_s: float,
    ) -> None:
        """Renews the session lease and deletes acknowledged records.

        A pong whose time is later than that of the last ping renews no lease.
        """
        if message.sent_s <= link.pinged_s:
            self.ledger.lease_renewed(link.entry, link.session, message.sent_s)
        self.ledger.acknowledged(link.entry, message.acked)
        self._request_if_newer(link, message.revision, now_s)

    def _request_if_newer(
        self, link: connections_module.Link, revision: int, now_s: float
    ) -> None:
        """Asks an entry for its configuration if that is newer."""
        if self.configuration.should_request(revision, now_s):
            link.stream.send(messages.ConfigWant())

    def _push_configuration(
        self, link: connections_module.Link, now_s: float
    ) -> None:
        """Sends the configuration in force to an entry that asked for it."""
        if self.configuration.should_push(link.entry, now_s):
            link.stream.send(
                messages.ConfigPush(
                    self.configuration.revision, self.configuration.document
                )
            )

    def _update_expected_entries(self, now_s: float) -> None:
        """Tells the slots which entries share them."""
        self.slots.set_expected_entries(
            self.connections.expected_entries(), now_s
        )

    def _execute_actions(self, pending: tuple[actions.Action, ...]) -> None:
        """Executes actions of the slots and schedules the next check."""
        for action in pending:
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
        """Sends a message to an entry if it is connected.

        Otherwise the entry asks with `Reconcile` once the agent has
        reconnected.
        """
        link = self.connections.link_to(entry)
        if link is not None:
            link.stream.send(message)

    def _run_task(self, action: actions.StartTask) -> None:
        """Sends a task to the target and reports its fate to the slots."""

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
        """Handles deadlines that have passed and leases that have expired."""
        self._check_at_s = math.inf
        self._execute_actions(self.slots.check(self.now()))

    def _schedule_check(self) -> None:
        """Sets the timer for the next deadline or lease expiry.

        Notes:
            In an idle agent, a check every 0.1 s would cause two thirds of all
            wake-ups.
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
        """Stops a leaving agent if it may exit."""
        if self._may_exit(self.now()):
            for link in self.connections.open_links():
                link.stream.flush()
            self.stop()

    def _may_exit(self, now_s: float) -> bool:
        """Returns True if a leaving agent has nothing left to wait for.

        Open batches always delay the exit. Stragglers and unacknowledged
        results delay it by `MAX_STRAGGLER_WAIT_S` and `MAX_ACK_WAIT_S` at most.
        """
        waited_s = now_s - self._leave_started_s
        if self.slots.open_batches:
            return False
        if self.slots.stragglers and waited_s < MAX_STRAGGLER_WAIT_S:
            return False
        return waited_s >= MAX_ACK_WAIT_S or not self.ledger.records

    def tick(self) -> None:
        """Pings entries, closes silent streams and grants free credits.

        Also closes idle connections to the target and leaves surplus entries.
        """
        now_s = self.now()
        self._execute_actions(self.slots.tick(now_s))
        self.target.close_idle()
        for link in self.connections.open_links():
            silent_since_s = max(link.stream.last_received_s, self.resumed_s)
            if now_s - silent_since_s > MAX_SILENCE_S:
                link.stream.close("silent")
            else:
                self._ping(link, now_s)
        self._leave_surplus_entries()

    def _ping(self, link: connections_module.Link, now_s: float) -> None:
        """Sends a ping, whose answer renews the session lease."""
        link.pinged_s = now_s
        link.stream.send(
            messages.Ping(
                sent_s=now_s,
                revision=self.configuration.revision,
                running=self.slots.running,
                lent=self.slots.held(link.entry),
            )
        )

    def _leave_surplus_entries(self) -> None:
        """Leaves connected entries that are no longer assigned.

        The entry gets a `Leaving` message first, and its stream is closed once
        it uses no slots.
        """
        for link in self.connections.surplus_links():
            if not link.closing:
                link.closing = True
                self.slots.entry_leaving(link.entry)
                link.stream.send(messages.Leaving())
            elif not self.slots.is_used_by(link.entry):
                link.stream.close("no longer assigned")

    def resumed(self, gap_s: float) -> None:
        """Handles deadlines and leases that expired during a pause.

        Then pings the entries at once to renew the leases.

        Args:
            gap_s: Length of the pause in seconds.
        """
        now_s = self.now()
        self.resumed_s = now_s
        log.warning("resumed after a pause", extra={"gap_s": round(gap_s, 3)})
        self._execute_actions(self.slots.check(now_s))
        for link in self.connections.open_links():
            self._ping(link, now_s)


def _parse_reason(text: str) -> outcomes.Reason:
    """Returns the reason sent by a home, `CANCELLED` if it is unknown."""
    try:
        return outcomes.Reason(text)
    except ValueError:
        return outcomes.Reason.CANCELLED
