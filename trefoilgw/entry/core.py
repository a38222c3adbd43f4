"""Composition root of the entry.

A caller's request whose home is this entry passes through `FILTERS` in order.
When credits become free, a pass without a request runs the same filters to
place and send waiting work.
"""

import logging
import random
import secrets

import attrs
import eventlet

from trefoilgw import keyvalue
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
HEARTBEAT_CHECK_INTERVAL_S = 0.25
PEER_PING_INTERVAL_S = 1.0
MAINTAIN_INTERVAL_S = 0.25
# Quotas and queue delays change with time alone, so waiting work is checked
# even if no credit becomes free.
DISPATCH_INTERVAL_S = 0.02
# Agents dial a new entry within 5 s, the upper bound of their redial delay.
WARM_UP_S = 6.0
# Time between the first failed health check and the end of listening, in which
# the balancer takes this entry out of service.
LEAVE_NOTICE_S = 1.0
LEAVE_POLL_INTERVAL_S = 0.05

log = logging.getLogger(__name__)


def make_host(
    incarnation: str, domain: str, service: timer_core.TimerService
) -> hosts.Host:
    """Returns the state of a new entry with its decision components."""
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
        retry_budget=retries.RetryBudget(),
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
        settings: Settings loaded from the file.
        incarnation: 16 hex digits, new at every start.
        timers: Timer service of the process.
        host: State shared by the filters.
        config: Configuration in force and roster.
        agents: Sessions of agents.
        peers: Streams to the other entries.
        router: Answers requests of callers and peers.
        admin: WSGI application of the admin port.
        addresses: Bound addresses by listener name, filled by `start`.
        registry: Connection to the platform, None before `start`.
        stopped: True once `leave` is done.
    """

    settings: settings_core.EntrySettings
    incarnation: str = attrs.field(
        factory=lambda: secrets.token_hex(INCARNATION_BYTES)
    )
    timers: timer_core.TimerService = attrs.field(
        factory=timer_core.TimerService
    )
    host: hosts.Host = attrs.field(init=False)
    config: configuring.ConfigurationManager = attrs.field(init=False)
    agents: agent_sessions.AgentSessions = attrs.field(init=False)
    peers: peer_streams.PeerStreams = attrs.field(init=False)
    router: routing.Router = attrs.field(init=False)
    admin: admin_port.Admin = attrs.field(init=False)
    addresses: dict = attrs.field(factory=dict)
    registry: registry_core.Registry | None = None
    stopped: bool = False
    _http: servers.HttpServer = attrs.field(init=False)
    _admin: servers.HttpServer = attrs.field(init=False)
    _listener: streams.Listener = attrs.field(init=False)
    _dispatching: bool = False

    def __attrs_post_init__(self):
        """Creates the components and connects them."""
        stream_key = bytes.fromhex(self.settings.stream_key)
        self.host = make_host(
            self.incarnation, self.settings.domain, self.timers
        )
        self.host.handle_job_event = self._handle_job_event
        self.host.dispatch_waiting = self.dispatch_waiting
        own = messages.RosterEntry(
            self.incarnation, "", "", self.settings.domain
        )
        self.config = configuring.ConfigurationManager(self.host, own)
        self.agents = agent_sessions.AgentSessions(self.host, self.config)
        self.peers = peer_streams.PeerStreams(
            self.host, self.config, stream_key, self.settings.peers
        )
        self.router = routing.Router(
            self.host, self.config, self.peers, self.run_filters
        )
        self.peers.on_forward = self.router.serve_forwarded
        self.config.on_change = self.agents.update_draining
        self._http = servers.HttpServer(
            callers.Application(
                self.router.handle, lambda: self.host.roster.epoch
            )
        )
        self.admin = admin_port.Admin(self)
        self._admin = servers.HttpServer(self.admin)
        self._listener = streams.Listener(
            stream_key, self._answer_hello, self._stream_accepted
        )

    def start(self) -> None:
        """Starts the listeners, the timers and the platform connection.

        Raises:
            OSError: An address can't be bound.
        """
        settings = self.settings
        self.addresses["stream"] = self._listener.listen(
            settings.stream_address
        )
        self.addresses["admin"] = self._admin.listen(settings.admin_address)
        self.config.own_entry = attrs.evolve(
            self.config.own_entry,
            stream_address=self.addresses["stream"],
            admin_address=self.addresses["admin"],
        )
        self.router.warm_up_end_s = self.host.now() + WARM_UP_S
        self._subscribe()
        eventlet.spawn_n(self.timers.run)
        self.registry = registry_core.Registry(
            client=keyvalue.Client(settings.platform_address),
            own=self.config.own_entry,
            timers=self.timers,
            on_configuration=self.config.offer,
            on_roster=self._roster_read,
            is_silent=self.peers.is_silent,
            rng=self.host.rng,
            now=self.host.now,
        )
        self.registry.start()
        self.addresses["http"] = self._http.listen(settings.http_address)

    def run_filters(self, exchange: exchanges.Exchange) -> None:
        """Runs the filters on an exchange until it has a reply."""
        for apply in FILTERS:
            apply(self.host, exchange)
            if exchange.reply is not None:
                return

    def dispatch_waiting(self) -> None:
        """Places and sends waiting work as far as credits allow.

        Does nothing if no job is queued or a pass is already under way.
        """
        if self._dispatching or not self.host.queued_tasks:
            return
        self._dispatching = True
        try:
            self.run_filters(exchanges.Exchange())
        finally:
            self._dispatching = False

    def leave(self) -> None:
        """Stops once all running jobs and open requests have ended.

        Blocks until then.
        """
        host = self.host
        if host.leaving:
            return
        host.leaving = True
        log.info("leaving", extra={"running": len(host.table.running)})
        self.peers.send_pings()
        eventlet.sleep(LEAVE_NOTICE_S)
        while host.table.running or host.open_requests:
            eventlet.sleep(LEAVE_POLL_INTERVAL_S)
        for session in list(host.agents.values()):
            host.send(session.stream, messages.Leaving())
        if self.registry is not None:
            self.registry.leave()
        self._http.stop(LEAVE_NOTICE_S)
        for stream in self._open_streams():
            stream.flush()
        self.close()
        self.stopped = True

    def close(self) -> None:
        """Stops the timers and closes all listeners and streams immediately."""
        self.timers.stop()
        if self.registry is not None:
            self.registry.stop()
        self._http.close()
        self._admin.close()
        self._listener.close()
        for stream in self._open_streams():
            stream.close("this entry stops")

    def _subscribe(self) -> None:
        """Registers the periodic tasks with the timer service."""
        every = self.timers.every
        every(deadlines.TICK_S, self._enforce_deadlines)
        every(HEARTBEAT_CHECK_INTERVAL_S, self.agents.check_heartbeats)
        every(PEER_PING_INTERVAL_S, self.agents.check_outliers)
        every(PEER_PING_INTERVAL_S, self.peers.send_pings)
        every(PEER_PING_INTERVAL_S, self.peers.send_usage)
        every(MAINTAIN_INTERVAL_S, self.peers.maintain_streams)
        every(DISPATCH_INTERVAL_S, self._check_waiting_work)
        self.timers.on_pause(lambda gap_s: self.host.read_clock())

    def _handle_job_event(self, job_event, now_s: float) -> None:
        """Applies an event of the job table."""
        job_events.handle(self.host, job_event, now_s)

    def _roster_read(self, roster, read_s: float) -> None:
        """Passes a roster read from the platform to the configuration."""
        self.config.update_roster(
            roster.epoch, roster.entries, roster.history, read_s
        )

    def _enforce_deadlines(self) -> None:
        """Ends the work that is past its deadline."""
        now_s = self.host.read_clock()
        for job_event in self.host.table.expire(now_s):
            self._handle_job_event(job_event, now_s)

    def _check_waiting_work(self) -> None:
        """Dispatches waiting work and reclaims credits for it."""
        if self.host.queued_tasks:
            self.dispatch_waiting()
            reclaim.apply(self.host)

    def _answer_hello(self, hello):
        """Returns the answer to the hello of an agent or another entry.

        Raises:
            TypeError: The message is no hello.
        """
        match hello:
            case messages.AgentHello():
                return self.agents.welcome(hello)
            case messages.PeerHello():
                return self.peers.welcome(hello)
        raise TypeError(f"not a hello: {hello!r}")

    def _stream_accepted(self, stream: streams.Stream) -> None:
        """Hands an accepted stream to the component for its hello."""
        match stream.hello:
            case messages.AgentHello():
                self.agents.open_session(stream)
            case messages.PeerHello():
                self.peers.stream_accepted(stream)

    def _open_streams(self) -> list[streams.Stream]:
        """Returns the open streams of all agents and peers."""
        sessions = [*self.host.agents.values(), *self.host.peers.values()]
        return [session.stream for session in sessions]
