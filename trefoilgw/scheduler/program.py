"""Composition root of the scheduler.

The way of a request: `callers.server` reads it, `platform.callers` decodes and
routes it, `Program.submit` admits it and waits, `scheduling` queues, places
and gathers, and `platform.callers` answers.
"""

import gc
import logging
import os
import time

import attrs
import eventlet
from eventlet import event

from trefoilgw.callers import server
from trefoilgw.messages import runs
from trefoilgw.metrics import core as metrics
from trefoilgw.platform import callers as platform_callers
from trefoilgw.platform import store as platform_store
from trefoilgw.processes import core as processes
from trefoilgw.scheduler import configuring as configuring_part
from trefoilgw.scheduler import lines
from trefoilgw.scheduler import metrics as scheduler_metrics
from trefoilgw.scheduler import peers as peers_part
from trefoilgw.scheduler import roster as roster_part
from trefoilgw.scheduler import runners as runners_part
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import core as scheduling
from trefoilgw.streams import redialling
from trefoilgw.timers import clock
from trefoilgw.timers import core as timer_service
from trefoilgw.work import core as work
from trefoilgw.work import hosting

TICK_S = 0.02
SILENCE_EVERY_S = 0.1
# Until the balancer has missed two answers, new connections still come.
BALANCER_S = 2.3
# Callers are taken after this time even if nothing can be served.
OPEN_LIMIT_S = 3.0
# Left of the time between SIGTERM and SIGKILL when the last jobs are ended.
STOP_MARGIN_S = 0.5
# Hardly any garbage is cyclic; a full collection would stop the program.
GC_THRESHOLDS = (20_000, 20, 1_000_000)

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Program:
    """A scheduler and its parts.

    Attributes:
        settings: Settings of the host.
        incarnation: 16 hex digits, new at every process start.
        decisions: Decisions about jobs.
        waiters: Callers that wait for a job, by key.
        leaving: True after SIGTERM.
        known: Addresses of all schedulers that are known.
        counts: Counts for operators.
    """

    settings: hosting.HostSettings
    incarnation: str = attrs.field(factory=lambda: os.urandom(8).hex())
    decisions: scheduling.Scheduler = attrs.field(init=False)
    timers: timer_service.TimerService = attrs.field(init=False)
    store: platform_store.Store = attrs.field(init=False)
    configuring: configuring_part.Configuring = attrs.field(init=False)
    roster: roster_part.Roster = attrs.field(init=False)
    peers: peers_part.Peers = attrs.field(init=False)
    clients: runners_part.Clients = attrs.field(init=False)
    callers: server.HttpServer = attrs.field(init=False)
    ready: server.HttpServer = attrs.field(init=False)
    waiters: dict[str, list[event.Event]] = attrs.field(factory=dict)
    leaving: bool = False
    known: set[str] = attrs.field(factory=set)
    counts: scheduler_metrics.SchedulerMetrics = attrs.field(
        factory=scheduler_metrics.SchedulerMetrics
    )

    def __attrs_post_init__(self):
        settings = self.settings
        address = settings.stream_address
        self.decisions = scheduling.Scheduler(settings.domain)
        self.timers = timer_service.TimerService(now=clock.boottime)
        self.store = platform_store.Store(settings.store_address)
        self.configuring = configuring_part.Configuring(
            platform_store.ConfigurationSource(self.store), self._adopted
        )
        self.roster = roster_part.Roster(
            self.store, settings.name, address, self._listed
        )
        hello = peers_part.hello_of(self.incarnation, address)
        self.peers = peers_part.Peers(
            address,
            redialling.Redialler(runs.NO_KEY, hello),
            self._peer_message,
        )
        self.clients = runners_part.Clients(
            self.incarnation,
            self.decisions,
            clock.boottime,
            self.flush,
            self._peer_connected,
            self._news,
            self._run_ended,
        )
        application = platform_callers.Application(
            lambda: self.configuring.current,
            self.submit,
            lambda key: key in self.decisions.admitted,
            self._cancel,
            self._count_waiting,
            self._rejected,
        )
        self.callers = server.HttpServer(application)
        self.ready = server.HttpServer(self._answer_ready)
        self._add_metrics()

    @property
    def registry(self) -> metrics.Registry:
        """The metrics that are served."""
        return self.counts.registry

    def _add_metrics(self) -> None:
        """Adds what the parts keep by themselves."""
        self.counts.read_from(self.decisions)
        gauges = (
            (
                "configuration_version",
                "Version in force, 0 if none",
                lambda: getattr(self.configuring.current, "version", 0),
            ),
            (
                "store_reached",
                "Whether the store answered the last call",
                lambda: self.configuring.store_reached,
            ),
            (
                "peers",
                "Schedulers connected",
                lambda: len(self.peers.streams),
            ),
        )
        for name, text, read in gauges:
            self.registry.observable_gauge(name, text, metrics.unlabeled(read))

    def start(self) -> None:
        """Starts all parts.

        Raises:
            OSError: An address can't be bound.
        """
        settings = self.settings
        self.ready.listen(settings.ready_address)
        self.clients.listen(settings.stream_address)
        self._know(set(settings.seed_streams()) | {settings.stream_address})
        for loop in (self.timers.run, self.configuring.run, self.roster.run):
            eventlet.spawn_n(loop)
        self.timers.every(TICK_S, self._tick)
        self.timers.every(SILENCE_EVERY_S, self.clients.close_silent)
        eventlet.spawn_n(self._open)
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)

    def _open(self) -> None:
        """Takes callers once they can be served.

        Before that a refused connection serves a caller better than a
        rejection: it comes again by itself, or the balancer goes elsewhere.
        """
        deadline_s = clock.boottime() + OPEN_LIMIT_S
        while clock.boottime() < deadline_s and not self._can_serve():
            eventlet.sleep(TICK_S)
        self.callers.listen(self.settings.callers_address)
        log.info("open to callers", extra={"serving": self._can_serve()})

    def _can_serve(self) -> bool:
        """Returns whether a job could run now."""
        usable = any(x.usable for x in self.decisions.runner_views.values())
        return usable and self.configuring.current is not None

    def reload(self, settings: hosting.HostSettings) -> None:
        """Puts changed settings in force as far as a process can."""
        if settings.store_address != self.settings.store_address:
            self.store.change_address(settings.store_address)
        self.settings = settings
        self._know(self.known | set(settings.seed_streams()))

    def shut_down(self) -> None:
        """Lets the balancer notice, then ends with the last answer."""
        self.leaving = True
        log.info("leaving", extra={"jobs": len(self.decisions.admitted)})
        started_s = clock.boottime()
        end_s = started_s + self.settings.stop_limit_s - STOP_MARGIN_S
        eventlet.sleep(min(BALANCER_S, end_s - started_s))
        self.callers.close()
        while self.waiters and clock.boottime() < end_s:
            eventlet.sleep(TICK_S)
        for key in list(self.decisions.admitted):
            self.decisions.cancel(key)
            self._conclude(key, actions.Unfinished("leaving"))
        self.flush()
        self.roster.shut_down()
        eventlet.sleep(TICK_S)
        log.info("stopped")

    # Requests.

    def submit(
        self, spec: work.JobSpec, connection: platform_callers.Connection
    ) -> actions.Outcome | None:
        """Runs a job and returns its outcome, None if its caller left."""
        now_s = clock.boottime()
        result = self.decisions.submit(spec, int(time.time() * 1000), now_s)
        version = self.configuring.current.version
        line = len(self.decisions.waiting_jobs)
        if isinstance(result, actions.Rejected):
            lines.rejected(spec, result, line, version)
            self.counts.job_rejected(spec.queue.name, result.reason)
            return result
        lines.admitted(result, line, version, now_s)
        waiter = event.Event()
        self.waiters.setdefault(spec.key, []).append(waiter)
        connection.watch(lambda: self._caller_gone(spec.key, waiter))
        self.flush()
        return waiter.wait()

    def _caller_gone(self, key: str, waiter: event.Event) -> None:
        """Stops a job for which nobody waits any more."""
        waiting = self.waiters.get(key, [])
        if waiter not in waiting:
            return
        waiting.remove(waiter)
        waiter.send(None)
        if not waiting:
            del self.waiters[key]
            log.info("caller gone", extra={"job": key})
            self.decisions.cancel(key)
            self.flush()

    def _cancel(self, key: str) -> bool:
        """Stops a job on a caller's order."""
        known = self.decisions.cancel(key)
        if known:
            log.info("job cancelled", extra={"job": key})
            self._conclude(key, actions.Unfinished("cancelled"))
            self.flush()
        return known

    def _conclude(self, key: str, outcome: actions.Outcome) -> None:
        """Answers all callers that wait for a job."""
        for waiter in self.waiters.pop(key, []):
            waiter.send(outcome)

    def _count_waiting(self, queue: str) -> int:
        """Returns how many jobs of a queue have not begun."""
        return sum(
            not x.started and x.spec.queue.name == queue
            for x in self.decisions.admitted.values()
        )

    def _answer_ready(self, environ: dict, start_response) -> list[bytes]:
        """Answers the balancer."""
        ready = not self.leaving and self.configuring.current is not None
        status = "200 OK" if ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]

    # Decisions.

    def flush(self) -> None:
        """Carries out what was decided."""
        for action in self.decisions.take_actions():
            match action:
                case actions.SendMessage(runner=runner, message=message):
                    if isinstance(message, runs.StartRuns) and message.groups:
                        view = self.decisions.runner_views[runner]
                        lines.sent(view, message, clock.boottime())
                    self.clients.send(runner, message)
                case actions.Answer(job=job, outcome=outcome):
                    now_s = clock.boottime()
                    lines.ended(job, outcome, now_s)
                    self.counts.job_ended(job, outcome, now_s)
                    self._conclude(job.key, outcome)

    def _run_ended(self, runner: str, ended: runs.RunEnded) -> None:
        """Notes the end of an attempt for operators."""
        self.counts.run_ended(ended)
        if ended.ending != work.Ending.DONE:
            lines.run_not_done(runner, ended)

    def _tick(self) -> None:
        """Does what is due."""
        self.decisions.scheduler_count = 1 + len(self.peers.streams)
        self.decisions.tick(clock.boottime())
        self.flush()

    # Other schedulers and the store.

    def _know(self, addresses: set[str]) -> None:
        """Passes on addresses of schedulers that are new."""
        if addresses == self.known:
            return
        self.known = addresses
        self.peers.set_addresses(addresses)
        message = runs.Schedulers(tuple(sorted(addresses)))
        self.clients.broadcast(message, runners=True)

    def _listed(self, addresses: frozenset[str]) -> None:
        """Takes the list in the store, which may be old."""
        alive = set(self.peers.streams) | {self.settings.stream_address}
        seeds = set(self.settings.seed_streams())
        self._know(set(addresses) | alive | seeds)

    def _peer_connected(self, address: str) -> None:
        """Notes a peer that has opened a stream."""
        self._know(self.known | {address})

    def _peer_message(self, message: object) -> None:
        """Takes news of a peer."""
        match message:
            case runs.ConfigurationPush(document=document):
                self.configuring.adopt(document, "peer")
            case runs.Schedulers(addresses=addresses):
                self._know(self.known | set(addresses))

    def _adopted(self, document: bytes, version: int) -> None:
        """Passes a new configuration on."""
        message = runs.ConfigurationPush(version, document)
        self.clients.broadcast(message, runners=False)

    def _news(self) -> list:
        """Returns what a new client must know."""
        found = [runs.Schedulers(tuple(sorted(self.known)))]
        current = self.configuring.current
        if current is not None:
            document = self.configuring.document
            found.append(runs.ConfigurationPush(current.version, document))
        return found

    def _rejected(self, path: str, reason: str) -> None:
        """Notes a request that has no meaning here."""
        self.counts.requests_rejected.add(1, reason.partition(":")[0])
        log.warning("request rejected", extra={"path": path, "reason": reason})


def run() -> int:
    """Runs a scheduler until SIGTERM or SIGINT; returns the exit status."""
    return processes.run("scheduler", Program)
