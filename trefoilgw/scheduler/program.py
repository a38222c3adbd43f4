"""Composition root of the scheduler.

Path of a request: `callers.server` reads it, `platform.callers` decodes and
routes it, `Program.submit` admits the job and waits, `scheduling` queues and
places its tasks and collects their results, and `platform.callers` answers.
"""

import logging
import os
import time

import attrs
import eventlet
from eventlet import event

from trefoilgw.callers import budget
from trefoilgw.callers import limiting
from trefoilgw.callers import server
from trefoilgw.messages import runs
from trefoilgw.metrics import core as metrics
from trefoilgw.platform import callers as platform_callers
from trefoilgw.platform import store as platform_store
from trefoilgw.processes import core as processes
from trefoilgw.processes import performing
from trefoilgw.processes import steps as start_steps
from trefoilgw.scheduler import clients as scheduler_clients
from trefoilgw.scheduler import configuration as scheduler_configuration
from trefoilgw.scheduler import decision_log
from trefoilgw.scheduler import evacuations as scheduler_evacuations
from trefoilgw.scheduler import membership as scheduler_membership
from trefoilgw.scheduler import metrics as scheduler_metrics
from trefoilgw.scheduler import peer_exchange
from trefoilgw.scheduler import peers as scheduler_peers
from trefoilgw.scheduler import roster as scheduler_roster
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import core as scheduling
from trefoilgw.scheduling import reach as scheduling_reach
from trefoilgw.streams import redialling
from trefoilgw.subsets import core as subsets
from trefoilgw.timers import clock
from trefoilgw.timers import core as timer_service
from trefoilgw.work import core as work
from trefoilgw.work import hosting

TICK_S = 0.05
SILENCE_CHECK_INTERVAL_S = 0.1
# The load balancer keeps sending new connections until it has missed two
# answers of the readiness probe.
BALANCER_NOTICE_S = 2.3
# The callers' port opens after this time even if no job can run yet.
MAX_LISTEN_DELAY_S = 3.0
# Jobs still open this long before SIGKILL is due are ended as unfinished.
STOP_MARGIN_S = 0.5

log = logging.getLogger(__name__)


@attrs.frozen(eq=False)
class Waiter:
    """A caller that waits for the outcome of a job.

    Attributes:
        connection: The caller's connection.
        outcome: Event that gets the outcome, None once the caller has gone.
    """

    connection: platform_callers.Connection
    outcome: event.Event = attrs.field(factory=event.Event)


@attrs.define(eq=False)
class Program:
    """The scheduler process and its components.

    Attributes:
        settings: Settings of the host.
        incarnation: 16 hex digits, new at every process start.
        scheduler: Queues jobs and assigns their tasks to runners.
        reach: Weight by which the runners select this scheduler.
        waiters: Callers that wait for the outcome of a job, by the job's key.
        ticked_s: Time of the last tick, None before the first one.
        shutting_down: Whether an orderly stop has begun, after SIGTERM or
            SIGINT.
        counts: Metrics of jobs and runs.
        steps: What the process waited for at its start.
    """

    settings: hosting.HostSettings
    incarnation: str = attrs.field(factory=lambda: os.urandom(8).hex())
    scheduler: scheduling.Scheduler = attrs.field(init=False)
    reach: scheduling_reach.ReachWeight = attrs.field(init=False)
    timers: timer_service.TimerService = attrs.field(init=False)
    store: platform_store.Store = attrs.field(init=False)
    configuration_watcher: scheduler_configuration.ConfigurationWatcher = (
        attrs.field(init=False)
    )
    evacuations: scheduler_evacuations.Evacuations = attrs.field(init=False)
    roster: scheduler_roster.Roster = attrs.field(init=False)
    peers: scheduler_peers.Peers = attrs.field(init=False)
    membership: scheduler_membership.Membership = attrs.field(init=False)
    exchange: peer_exchange.PeerExchange = attrs.field(init=False)
    clients: scheduler_clients.Clients = attrs.field(init=False)
    callers_server: server.HttpServer = attrs.field(init=False)
    readiness_server: server.HttpServer = attrs.field(init=False)
    waiters: dict[str, list[Waiter]] = attrs.field(factory=dict)
    ticked_s: float | None = None
    shutting_down: bool = False
    counts: scheduler_metrics.SchedulerMetrics = attrs.field(
        factory=scheduler_metrics.SchedulerMetrics
    )
    steps: start_steps.StartSteps = attrs.field(factory=start_steps.StartSteps)

    def __attrs_post_init__(self):
        settings = self.settings
        address = settings.stream_address
        self.scheduler = scheduling.Scheduler(settings.domain)
        self.timers = timer_service.TimerService(now=clock.boottime)
        self.store = platform_store.Store(settings.store_address)
        self.evacuations = scheduler_evacuations.Evacuations(
            settings.follows_evacuations,
            lambda: self.settings.domains,
            self._broadcast,
            self._evacuations_changed,
        )
        source = platform_store.ConfigurationSource
        if settings.follows_evacuations:
            source = platform_store.OperatorsSource
        self.configuration_watcher = (
            scheduler_configuration.ConfigurationWatcher(
                source(self.store),
                lambda document, version: self.exchange.notify(),
                self.evacuations.store_told,
            )
        )
        self.reach = scheduling_reach.ReachWeight(0)
        self._set_host_weight(settings)
        record = runs.SchedulerRecord(
            address,
            settings.domain,
            self.incarnation,
            0,
            True,
            self.reach.weight,
        )
        self.peers = scheduler_peers.Peers(
            address,
            redialling.Redialer(
                runs.NO_KEY,
                scheduler_peers.make_hello(self.incarnation, address),
            ),
            lambda: self.exchange.make_ping(),
            lambda stream, message: self.exchange.handle(stream, message),
            clock.boottime,
        )
        self.membership = scheduler_membership.Membership(
            record,
            self.peers,
            self._broadcast,
            clock.boottime,
            frozenset(settings.seed_streams()),
        )
        self.exchange = peer_exchange.PeerExchange(
            self.configuration_watcher,
            self.membership,
            lambda message: self.clients.broadcast(message, runners=False),
            self.evacuations,
        )
        self.roster = scheduler_roster.Roster(
            self.store,
            settings.name,
            record,
            self.membership.list_read,
            self.membership.set_registered,
        )
        self.clients = scheduler_clients.Clients(
            self.incarnation,
            self.scheduler,
            clock.boottime,
            self.flush,
            self.exchange.handle,
            lambda: [
                *self.evacuations.greeting(),
                *self.membership.known.messages(),
            ],
            self.exchange.greeting,
            self._record_run_end,
        )
        application = platform_callers.Application(
            self._configuration,
            self.submit,
            lambda key: key in self.scheduler.admitted,
            self._cancel,
            self._count_waiting,
            self._record_rejected_request,
            budget.decoded_limit_bytes(settings.memory_limit_bytes),
        )
        self.callers_server = limiting.make_server(application, settings)
        self.callers_server.may_run = application.may_run
        self.callers_server.limits.configured_body_limit = (
            self._configured_body_limit
        )
        self.readiness_server = limiting.make_service_server(
            self._answer_readiness_probe
        )
        self._add_gauges()
        limiting.register_metrics(self.registry, self.callers_server)

    @property
    def registry(self) -> metrics.Registry:
        """The metrics that are served."""
        return self.counts.registry

    def _add_gauges(self) -> None:
        """Registers gauges that are read from the state of the components."""
        self.counts.register_gauges(self.scheduler)
        self.steps.register_gauge(self.registry)
        self.evacuations.register_gauges(self.registry)
        gauges = (
            (
                "configuration_version",
                "Version in force, 0 if none",
                lambda: getattr(
                    self.configuration_watcher.current, "version", 0
                ),
            ),
            (
                "store_reached",
                "Whether the store answered the last call",
                lambda: self.configuration_watcher.store_reached,
            ),
            (
                "peers",
                "Schedulers connected",
                lambda: len(self.peers.streams),
            ),
            (
                "late_seconds",
                "Mean lateness of the ticks, which counts as a wait above 0.05",
                lambda: self.scheduler.lateness.mean_s,
            ),
            (
                "reach_weight",
                "Weight in the selection by the runners, 1000 for one core",
                lambda: self.reach.weight,
            ),
            (
                "runners_connected",
                "Runners with an open stream",
                lambda: len(self.clients.runners),
            ),
            (
                "recovering",
                "Whether too little is known of most of the runners",
                lambda: int(
                    self.scheduler.forecaster.is_recovering(clock.boottime())
                ),
            ),
        )
        for name, description, read in gauges:
            self.registry.observable_gauge(
                name, description, metrics.unlabeled(read)
            )

    def start(self) -> None:
        """Opens the ports and starts all components.

        Raises:
            OSError: An address can't be bound.
        """
        settings = self.settings
        self.readiness_server.listen(settings.ready_address)
        self.clients.listen(settings.stream_address)
        for loop in (
            self.timers.run,
            self.configuration_watcher.run,
            self.roster.run,
        ):
            eventlet.spawn_n(loop)
        self.timers.on_pause(self.drop_closed_callers)
        self.timers.every(TICK_S, self._tick)
        self.timers.every(SILENCE_CHECK_INTERVAL_S, self.clients.close_silent)
        self.timers.every(
            limiting.LOG_INTERVAL_S, self.callers_server.log_limited
        )
        self.timers.every(
            scheduler_membership.PUBLICATION_INTERVAL_S, self.membership.update
        )
        self.timers.every(
            scheduling_reach.MEASURE_INTERVAL_S, self._measure_reach
        )
        eventlet.spawn_n(self._listen_when_serving)

    def _listen_when_serving(self) -> None:
        """Opens the callers' port once a job could run, or after a time limit.

        Before that, a refused connection is better for a caller than a
        rejected job: the caller connects again by itself, or the load balancer
        picks another scheduler.
        """
        deadline_s = clock.boottime() + MAX_LISTEN_DELAY_S
        while not self._can_serve() and clock.boottime() < deadline_s:
            eventlet.sleep(TICK_S)
        self.callers_server.listen(self.settings.callers_address)
        self.steps.check(listening=True)
        log.info("open to callers", extra={"serving": self._can_serve()})
        while not self._can_serve():
            eventlet.sleep(TICK_S)
        seconds = self.steps.seconds
        log.info(
            "serving",
            extra={
                "configuration_s": seconds["configuration"],
                "stream_s": seconds["stream"],
                "report_s": seconds["report"],
                "listening_s": seconds["listening"],
            },
        )

    def _can_serve(self) -> bool:
        """Returns whether there is a usable runner and a configuration."""
        views = self.scheduler.runner_views.values()
        return self.steps.check(
            configuration=self._configuration() is not None,
            stream=any(x.connected for x in views),
            report=any(x.usable for x in views),
        )

    def _configuration(self) -> work.Configuration | None:
        """Returns the configuration by which jobs may be served, if any.

        Without the evacuations, jobs could be sent to an evacuated domain.
        """
        if self.evacuations.awaited:
            return None
        return self.configuration_watcher.current

    def reload(self, settings: hosting.HostSettings) -> None:
        """Applies changed settings that take effect without a restart."""
        if settings.store_address != self.settings.store_address:
            self.store.change_address(settings.store_address)
        if settings.processors != self.settings.processors:
            self._set_host_weight(settings)
            self.membership.set_weight(self.reach.weight)
        limiting.apply(self.callers_server, settings)
        self.settings = settings
        self.membership.seeds = frozenset(settings.seed_streams())

    def _set_host_weight(self, settings: hosting.HostSettings) -> None:
        """Sets the weight of the host from its processors."""
        processors = settings.processors
        self.reach.host_weight = subsets.host_weight(processors)
        if abs(self.reach.host_weight - subsets.UNIT_WEIGHT * processors) > 1.0:
            log.warning(
                "odd processors",
                extra={
                    "processors": processors,
                    "weight": self.reach.host_weight,
                },
            )

    def _measure_reach(self) -> None:
        """Measures the load and passes a changed weight on."""
        if not self.reach.measure(
            self.scheduler.runner_views.values(),
            self.scheduler.admitted_cpu,
            clock.boottime(),
        ):
            return
        self.membership.set_weight(self.reach.weight)
        log.info(
            "reach weight changed",
            extra={
                "weight": self.reach.weight,
                "host_weight": self.reach.host_weight,
                "own_millicores_s": round(self.reach.own_cpu),
                "other_millicores_s": round(self.reach.other_cpu),
                "runners": len(self.clients.runners),
            },
        )

    def shut_down(self) -> None:
        """Stops after the open jobs were answered; blocks until then.

        The readiness probe fails first, so that the load balancer stops
        sending connections. Jobs that are still open shortly before the end of
        the stop limit are answered as unfinished.
        """
        self.shutting_down = True
        log.info("leaving", extra={"jobs": len(self.scheduler.admitted)})
        started_s = clock.boottime()
        end_s = started_s + self.settings.stop_limit_s - STOP_MARGIN_S
        eventlet.sleep(min(BALANCER_NOTICE_S, end_s - started_s))
        self.callers_server.close()
        while self.waiters and clock.boottime() < end_s:
            eventlet.sleep(TICK_S)
        for key in list(self.scheduler.admitted):
            self.scheduler.cancel(key)
            self._answer_waiters(key, actions.Unfinished("leaving"))
        self.flush()
        self.roster.deregister()
        eventlet.sleep(TICK_S)
        log.info("stopped")

    # Requests.

    def submit(
        self, spec: work.JobSpec, connection: platform_callers.Connection
    ) -> actions.Outcome | None:
        """Runs a job; returns its outcome, None if the caller disconnected.

        A request may have waited to be read while this process was paused. If
        its caller has left since, the job may be running through another
        scheduler.
        """
        if connection.closed():
            self.counts.job_rejected(spec.queue.name, "caller_gone")
            log.info("caller gone", extra={"job": spec.key, "admitted": False})
            return None
        now_s = clock.boottime()
        result = self.scheduler.submit(spec, int(time.time() * 1000), now_s)
        version = self.configuration_watcher.current.version
        waiting_count = len(self.scheduler.waiting_jobs)
        if isinstance(result, actions.Rejected):
            decision_log.log_job_rejected(spec, result, waiting_count, version)
            self.counts.job_rejected(spec.queue.name, result.reason)
            return result
        waiter = Waiter(connection)
        self.waiters.setdefault(spec.key, []).append(waiter)
        try:
            decision_log.log_job_admitted(result, waiting_count, version, now_s)
            connection.watch(
                lambda: self._caller_disconnected(spec.key, waiter)
            )
            self.flush()
            return waiter.outcome.wait()
        except Exception:
            # The caller gets an error, so it no longer waits for the job.
            self._caller_disconnected(spec.key, waiter)
            raise

    def drop_closed_callers(self, pause_s: float) -> None:
        """Cancels the jobs of callers that left during a pause.

        The event loop reports closed connections only after it has run
        everything that became due in the meantime, and that may take longer
        than until the tick that lets runners carry out orders again.

        Args:
            pause_s: Length of the pause of this process.
        """
        gone = [
            (key, waiter)
            for key, waiters in self.waiters.items()
            for waiter in waiters
            if waiter.connection.closed()
        ]
        log.warning(
            "paused",
            extra={"pause_s": round(pause_s, 3), "callers_gone": len(gone)},
        )
        for key, waiter in gone:
            self._caller_disconnected(key, waiter)

    def _caller_disconnected(self, key: str, waiter: Waiter) -> None:
        """Removes a waiter, and cancels the job if it was the last one."""
        waiting = self.waiters.get(key, [])
        if waiter not in waiting:
            return
        waiting.remove(waiter)
        waiter.outcome.send(None)
        if not waiting:
            del self.waiters[key]
            log.info("caller gone", extra={"job": key, "admitted": True})
            self.scheduler.cancel(key)
            self.flush()

    def _cancel(self, key: str) -> bool:
        """Cancels a job for a caller; returns whether the job was known."""
        known = self.scheduler.cancel(key)
        if known:
            log.info("job cancelled", extra={"job": key})
            self._answer_waiters(key, actions.Unfinished("cancelled"))
            self.flush()
        return known

    def _answer_waiters(self, key: str, outcome: actions.Outcome) -> None:
        """Passes an outcome to all callers that wait for a job."""
        for waiter in self.waiters.pop(key, []):
            waiter.outcome.send(outcome)

    def _configured_body_limit(self) -> int | None:
        """Returns the largest body in bytes, None before a configuration."""
        configuration = self.configuration_watcher.current
        return None if configuration is None else configuration.body_limit_bytes

    def _count_waiting(self, queue: str) -> int:
        """Returns how many jobs of a queue have not started."""
        return sum(
            not x.started and x.spec.queue.name == queue
            for x in self.scheduler.admitted.values()
        )

    def _answer_readiness_probe(
        self, environ: dict, start_response
    ) -> list[bytes]:
        """Answers the readiness probe of the load balancer."""
        ready = not self.shutting_down and self._configuration() is not None
        status = "200 OK" if ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]

    # Scheduling.

    def flush(self) -> None:
        """Carries out all actions that the scheduler has decided on."""
        performing.perform_all(
            self.scheduler.take_actions(), self._perform, self._action_failed
        )

    def _action_failed(self, action: actions.Action) -> None:
        """Closes a stream that has lost a message.

        The runner connects again and tells which orders it has.
        """
        if isinstance(action, actions.SendMessage):
            self.clients.close(action.runner, "action failed")

    def _perform(self, action: actions.Action) -> None:
        """Carries out an action; it is recorded after what others await."""
        match action:
            case actions.SendMessage(runner=runner, message=message):
                self.clients.send(runner, message)
                if isinstance(message, runs.StartRuns) and message.groups:
                    view = self.scheduler.runner_views[runner]
                    decision_log.log_tasks_sent(view, message, clock.boottime())
            case actions.Repeated():
                decision_log.log_task_repeated(action)
                self.counts.task_repeated(action.end)
            case actions.Answer(job=job, outcome=outcome):
                self._answer_waiters(job.key, outcome)
                now_s = clock.boottime()
                decision_log.log_job_ended(job, outcome, now_s)
                self.counts.job_ended(job, outcome, now_s)

    def _record_run_end(self, runner: str, ended: runs.RunEnded) -> None:
        """Counts the last end of a task; logs it unless the task was done."""
        self.counts.run_ended(ended)
        if ended.ending != work.Ending.DONE:
            decision_log.log_run_not_done(runner, ended)

    def _tick(self) -> None:
        """Applies timeouts and places waiting tasks, every `TICK_S`."""
        now_s = clock.boottime()
        if self.ticked_s is not None:
            late_s = now_s - self.ticked_s - TICK_S
            self.scheduler.lateness.measure(late_s)
        self.ticked_s = now_s
        self.scheduler.tick(now_s)
        self.flush()

    def _evacuations_changed(self, domains: frozenset[str]) -> None:
        """Stops or resumes placing tasks in failure domains."""
        self.scheduler.set_evacuated(domains, clock.boottime())
        self.flush()

    def _broadcast(self, message: object) -> None:
        """Sends a message to all connected peers and runners."""
        self.clients.broadcast(message)
        self.peers.broadcast(message)

    def _record_rejected_request(self, path: str, reason: str) -> None:
        """Counts and logs a request that is not served."""
        self.counts.requests_rejected.add(1, reason.partition(":")[0])
        log.warning("request rejected", extra={"path": path, "reason": reason})


def run() -> int:
    """Runs a scheduler until SIGTERM or SIGINT; returns the exit status."""
    return processes.run("scheduler", Program)
