"""Composition root of the entry.

A request of a caller whose home is here passes through `FILTERS` in order.
A pass without a request, started by credits that came free, uses the same
tuple to place and send work that waits.
"""

import logging
import random
import secrets

import attrs
import eventlet

from trefoilgw import keyvalue as platform
from trefoilgw.admission import core as admission
from trefoilgw.callers import core as callers
from trefoilgw.callers import server as servers
from trefoilgw.entry import admin as admin_port
from trefoilgw.entry import admit
from trefoilgw.entry import agents as agent_sessions
from trefoilgw.entry import answer
from trefoilgw.entry import configuring
from trefoilgw.entry import counters
from trefoilgw.entry import decode
from trefoilgw.entry import deduplicate
from trefoilgw.entry import dispatch
from trefoilgw.entry import exchange as exchanges
from trefoilgw.entry import gather
from trefoilgw.entry import host as hosts
from trefoilgw.entry import identify
from trefoilgw.entry import job_events
from trefoilgw.entry import peers as peer_streams
from trefoilgw.entry import place
from trefoilgw.entry import reclaim
from trefoilgw.entry import routing
from trefoilgw.jobs import core as jobs
from trefoilgw.jobs import deadlines
from trefoilgw.jobs import retention
from trefoilgw.keys import core as keys
from trefoilgw.membership import heartbeats
from trefoilgw.membership import outliers
from trefoilgw.messages import core as messages
from trefoilgw.placement import core as placement
from trefoilgw.registry import core as registry_core
from trefoilgw.retries import core as retries
from trefoilgw.settings import core as settings_core
from trefoilgw.streams import core as streams
from trefoilgw.timers import core as timer_core

FILTERS = (
    decode.apply,
    identify.apply,
    deduplicate.apply,
    admit.apply,
    place.apply,
    dispatch.apply,
    gather.apply,
    answer.apply,
)

INCARNATION_BYTES = 8
HEARTBEAT_CHECK_S = 0.25
PEER_PING_S = 1.0
MAINTAIN_S = 0.25
# Quotas and queue delays change with time alone, so waiting work is looked
# at even if no credit comes free.
PUMP_S = 0.02
# Agents dial a new entry within their redial time of 5 s at most.
WARM_UP_S = 6.0
# Time between the first bad health check and the end of listening, so that
# the balancer sends nothing more.
LEAVE_NOTICE_S = 1.0
LEAVE_POLL_S = 0.05

log = logging.getLogger(__name__)


def make_host(
    incarnation: str, domain: str, service: timer_core.TimerService
) -> hosts.Host:
    """Returns the state of a new entry with the decisions it is made of."""
    rng = random.Random(secrets.randbits(64))
    epochs = keys.AcceptedEpochs()
    windows = keys.TicketWindows(service.now())
    return hosts.Host(
        incarnation=incarnation,
        domain=domain,
        table=jobs.JobTable(retention.Retention(windows, epochs)),
        windows=windows,
        epochs=epochs,
        admission=admission.Admission(),
        placement=placement.Placement(rng, incarnation, domain),
        budget=retries.RetryBudget(),
        heartbeats=heartbeats.HeartbeatMonitor(),
        outliers=outliers.OutlierDetector(),
        counts=counters.Counters(),
        now=service.now,
        rng=rng,
        schedule=service.after,
    )


@attrs.define(eq=False)
class Entry:
    """One entry process.

    Attributes:
        settings: Settings from the file.
        incarnation: 16 hex digits, new at every start.
        timers: Timer service.
        host: State.
        config: Configuration and roster.
        agents: Sessions of agents.
        peers: Streams to other entries.
        router: Answers requests.
        admin: Answers operators.
        addresses: Bound addresses by listener, after `start`.
        registry: Connection to the platform.
        stopped: True once the entry has left.
    """

    settings: settings_core.EntrySettings
    incarnation: str = attrs.field(
        factory=lambda: secrets.token_hex(INCARNATION_BYTES)
    )
    timers: timer_core.TimerService = attrs.field(
        factory=timer_core.TimerService
    )
    host: hosts.Host = attrs.field(init=False)
    config: configuring.Configuring = attrs.field(init=False)
    agents: agent_sessions.Agents = attrs.field(init=False)
    peers: peer_streams.Peers = attrs.field(init=False)
    router: routing.Router = attrs.field(init=False)
    admin: admin_port.Admin = attrs.field(init=False)
    addresses: dict = attrs.field(factory=dict)
    registry: registry_core.Registry | None = None
    stopped: bool = False
    _http: servers.HttpServer = attrs.field(init=False)
    _admin: servers.HttpServer = attrs.field(init=False)
    _listener: streams.Listener = attrs.field(init=False)
    _pumping: bool = False

    def __attrs_post_init__(self):
        """Wires the parts."""
        key = bytes.fromhex(self.settings.stream_key)
        self.host = make_host(
            self.incarnation, self.settings.domain, self.timers
        )
        self.host.follow = self._follow
        self.host.dispatch_waiting = self.dispatch_waiting
        own = messages.RosterEntry(
            self.incarnation, "", "", self.settings.domain
        )
        self.config = configuring.Configuring(self.host, own)
        self.agents = agent_sessions.Agents(self.host, self.config)
        self.peers = peer_streams.Peers(
            self.host, self.config, key, self.settings.peers
        )
        self.router = routing.Router(
            self.host, self.config, self.peers, self.run
        )
        self.peers.serve = self.router.serve
        self.config.on_change = self.agents.drain
        self._http = servers.HttpServer(
            callers.Application(
                self.router.handle, lambda: self.host.roster.epoch
            )
        )
        self.admin = admin_port.Admin(self)
        self._admin = servers.HttpServer(self.admin)
        self._listener = streams.Listener(key, self._welcome, self._accepted)

    def start(self) -> None:
        """Listens and starts the timers.

        Raises:
            OSError: An address can't be bound.
        """
        settings = self.settings
        self.addresses["stream"] = self._listener.listen(
            settings.stream_address
        )
        self.addresses["admin"] = self._admin.listen(settings.admin_address)
        self.config.own = attrs.evolve(
            self.config.own,
            stream_address=self.addresses["stream"],
            admin_address=self.addresses["admin"],
        )
        self.router.ready_s = self.host.now() + WARM_UP_S
        self._subscribe()
        eventlet.spawn_n(self.timers.run)
        self.registry = registry_core.Registry(
            client=platform.Client(settings.platform_address),
            own=self.config.own,
            timers=self.timers,
            on_configuration=self.config.offer,
            on_roster=self._take_roster,
            is_silent=self.peers.is_silent,
            rng=self.host.rng,
            now=self.host.now,
        )
        self.registry.start()
        self.addresses["http"] = self._http.listen(settings.http_address)

    def run(self, exchange: exchanges.Exchange) -> None:
        """Passes an exchange through the filters until it has a reply."""
        for apply in FILTERS:
            apply(self.host, exchange)
            if exchange.reply is not None:
                return

    def dispatch_waiting(self) -> None:
        """Places and sends work that waits, if there are credits for it."""
        if self._pumping or not self.host.queued:
            return
        self._pumping = True
        try:
            self.run(exchanges.Exchange())
        finally:
            self._pumping = False

    def leave(self) -> None:
        """Stops without interrupting a job or a request; blocks until done."""
        host = self.host
        if host.leaving:
            return
        host.leaving = True
        log.info("leaving", extra={"running": len(host.table.running)})
        self.peers.send_pings()
        eventlet.sleep(LEAVE_NOTICE_S)
        while host.table.running or host.open_requests:
            eventlet.sleep(LEAVE_POLL_S)
        for session in list(host.agents.values()):
            host.send(session.stream, messages.Leaving())
        if self.registry is not None:
            self.registry.leave()
        self._http.stop(LEAVE_NOTICE_S)
        for stream in self._streams():
            stream.flush()
        self.close()
        self.stopped = True

    def close(self) -> None:
        """Closes all listeners and streams at once."""
        self.timers.stop()
        if self.registry is not None:
            self.registry.stop()
        self._http.close()
        self._admin.close()
        self._listener.close()
        for stream in self._streams():
            stream.close("this entry stops")

    def _subscribe(self) -> None:
        """Subscribes the parts to the timer service."""
        every = self.timers.every
        every(deadlines.TICK_S, self._enforce_deadlines)
        every(HEARTBEAT_CHECK_S, self.agents.check)
        every(PEER_PING_S, self.agents.check_outliers)
        every(PEER_PING_S, self.peers.send_pings)
        every(PEER_PING_S, self.peers.tell_usage)
        every(MAINTAIN_S, self.peers.maintain)
        every(PUMP_S, self._pump_waiting)
        self.timers.on_pause(lambda gap_s: self.host.read_clock())

    def _follow(self, result, now_s: float) -> None:
        """Carries out a result of the job table."""
        job_events.follow(self.host, result, now_s)

    def _take_roster(self, roster, read_s: float) -> None:
        """Takes a roster that was read from the platform."""
        self.config.take_roster(
            roster.epoch, roster.entries, roster.history, read_s
        )

    def _enforce_deadlines(self) -> None:
        """Enforces deadlines."""
        now_s = self.host.read_clock()
        for result in self.host.table.expire(now_s):
            self._follow(result, now_s)

    def _pump_waiting(self) -> None:
        """Looks at waiting work."""
        if self.host.queued:
            self.dispatch_waiting()
            reclaim.apply(self.host)

    def _welcome(self, hello):
        """Answers the hello of an agent or another entry."""
        match hello:
            case messages.AgentHello():
                return self.agents.welcome(hello)
            case messages.PeerHello():
                return self.peers.welcome(hello)
        raise TypeError(f"not a hello: {hello!r}")

    def _accepted(self, stream: streams.Stream) -> None:
        """Takes a stream that was welcomed."""
        match stream.hello:
            case messages.AgentHello():
                self.agents.opened(stream)
            case messages.PeerHello():
                self.peers.stream_accepted(stream)

    def _streams(self) -> list[streams.Stream]:
        """Returns all open streams."""
        parts = [*self.host.agents.values(), *self.host.peers.values()]
        return [part.stream for part in parts]
