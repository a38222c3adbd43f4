"""Composition root of the runner."""

import logging
import os
import time

import attrs
import eventlet

from trefoilgw.callers import budget
from trefoilgw.callers import limiting
from trefoilgw.callers import server
from trefoilgw.evacuation import core as evacuation
from trefoilgw.evacuation import log_lines
from trefoilgw.messages import runs
from trefoilgw.metrics import core as metrics
from trefoilgw.platform import reports
from trefoilgw.platform import targets
from trefoilgw.processes import core as processes
from trefoilgw.processes import performing
from trefoilgw.processes import steps as start_steps
from trefoilgw.room import actions
from trefoilgw.room import core as room
from trefoilgw.room import health
from trefoilgw.runner import driving
from trefoilgw.runner import fences
from trefoilgw.runner import leases
from trefoilgw.runner import links as runner_links
from trefoilgw.runner import metrics as runner_metrics
from trefoilgw.streams import redialling
from trefoilgw.subsets import core as subsets
from trefoilgw.timers import clock
from trefoilgw.timers import core as timer_service
from trefoilgw.work import core as work
from trefoilgw.work import hosting

TICK_S = 0.1
# Time that remains before SIGKILL when the runner stops waiting for its runs.
STOP_MARGIN_S = 0.4

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Runner:
    """A runner and its components.

    Attributes:
        settings: Settings of the host.
        incarnation: 16 hex digits, new at every process start.
        allocator: Allocates the capacity of the target.
        driver: Starts, stops and polls the runs of the target.
        links: Streams to the schedulers.
        evacuations: Evacuated failure domains.
        reports_server: Receives the reports of the target.
        timers: Timer service.
        counts: Metrics for operators.
        suspect_reason: Why the target was suspect at the last tick.
        odd_times_logged: Whether a line on odd run times was written.
        steps: What the process waited for at its start.
        serving: Whether the target has been usable for a scheduler.
    """

    settings: hosting.HostSettings
    incarnation: str = attrs.field(factory=lambda: os.urandom(8).hex())
    allocator: room.CapacityAllocator = attrs.field(
        factory=room.CapacityAllocator
    )
    driver: driving.TargetDriver = attrs.field(init=False)
    links: runner_links.Links = attrs.field(init=False)
    evacuations: evacuation.EvacuatedDomains = attrs.field(
        factory=evacuation.EvacuatedDomains
    )
    reports_server: server.HttpServer = attrs.field(init=False)
    timers: timer_service.TimerService = attrs.field(init=False)
    counts: runner_metrics.RunnerMetrics = attrs.field(
        factory=runner_metrics.RunnerMetrics
    )
    suspect_reason: health.SuspectReason = health.SuspectReason.NONE
    odd_times_logged: bool = False
    steps: start_steps.StartSteps = attrs.field(factory=start_steps.StartSteps)
    serving: bool = False

    def __attrs_post_init__(self):
        settings = self.settings
        self.timers = timer_service.TimerService(now=clock.boottime)
        self.driver = driving.TargetDriver(
            targets.TargetClient(settings.target_address),
            self.allocator,
            leases.TargetLease(settings.lease_limit_s, clock.boottime),
            settings.run_stop_s,
            clock.boottime,
            self.flush,
            self._run_started,
            fence=fences.Fence(int(time.time() * 1000)),
        )
        hello = runner_links.make_hello(
            settings.name, self.incarnation, settings.domain
        )
        self.links = runner_links.Links(
            subsets.Member(settings.name, settings.domain),
            redialling.Redialer(runs.NO_KEY, hello),
            self.allocator,
            clock.boottime,
            self.flush,
            frozenset(settings.seed_streams()),
            on_evacuations=self._evacuations_pushed,
        )
        self.reports_server = limiting.make_server(
            reports.ReportsApplication(
                self._target_reported,
                self._target_left,
                budget.decoded_limit_bytes(settings.memory_limit_bytes),
            ),
            settings,
        )
        self.counts.register_gauges(self.allocator)
        self.steps.register_gauge(self.registry)

    @property
    def registry(self) -> metrics.Registry:
        """The metrics that the process serves."""
        return self.counts.registry

    def start(self) -> None:
        """Starts all components.

        Raises:
            OSError: An address can't be bound.
        """
        limiting.register_metrics(self.registry, self.reports_server)
        self.reports_server.listen(self.settings.reports_address)
        self.timers.every(
            limiting.LOG_INTERVAL_S, self.reports_server.log_limited
        )
        eventlet.spawn_n(self.timers.run)
        eventlet.spawn_n(self.driver.run)
        eventlet.spawn_n(self.driver.run_redundant_poll)
        self.timers.every(TICK_S, self._tick)
        self.timers.every(runner_links.PING_CHECK_INTERVAL_S, self.links.ping)
        self.timers.every(runner_links.SELECTION_INTERVAL_S, self.links.select)
        self.links.select()

    def reload(self, settings: hosting.HostSettings) -> None:
        """Applies the settings that can change without a restart."""
        self.settings = settings
        limiting.apply(self.reports_server, settings)
        self.driver.lease.length_s = settings.lease_limit_s
        self.links.seeds = frozenset(settings.seed_streams())

    def shut_down(self) -> None:
        """Refuses new runs and waits for active ones, up to the stop limit."""
        self.allocator.shutting_down = True
        self.flush()
        deadline_s = (
            clock.boottime() + self.settings.stop_limit_s - STOP_MARGIN_S
        )
        while self.allocator.runs and clock.boottime() < deadline_s:
            eventlet.sleep(TICK_S)
        log.info("stopped", extra={"runs_left": len(self.allocator.runs)})
        # Messages about the last ended runs may still be queued.
        eventlet.sleep(TICK_S)

    def flush(self) -> None:
        """Offers and reports free capacity and carries out pending actions."""
        now_s = clock.boottime()
        self.allocator.offer_capacity(now_s)
        self.allocator.report_capacity(now_s)
        performing.perform_all(
            self.allocator.take_actions(), self._perform, self._action_failed
        )

    def _perform(self, action: actions.Action) -> None:
        """Carries out one action."""
        match action:
            case actions.SendMessage(owner=owner, message=message, again=again):
                self.links.send(owner, message)
                if isinstance(message, runs.RunEnded) and not again:
                    self._run_ended(message)
            case actions.Start(task=task, run=run, payload=payload):
                eventlet.spawn_n(self.driver.start, task, run, payload)
            case actions.Stop(task=task, run=run, since_s=since_s):
                eventlet.spawn_n(self.driver.stop, task, run, since_s)

    def _action_failed(self, action: actions.Action) -> None:
        """Closes a stream that has lost a message.

        The next one begins with what the scheduler has to know.
        """
        if isinstance(action, actions.SendMessage):
            self.links.close(action.owner, "action failed")

    def _tick(self) -> None:
        """Runs the periodic tasks."""
        self.allocator.tick(clock.boottime())
        self._log_health_change()
        self._log_odd_times()
        if not self.serving:
            self._log_serving()
        self.flush()

    def _log_serving(self) -> None:
        """Logs what the process has waited for once it can run a task."""
        links = self.links.links.values()
        self.serving = self.steps.check(
            stream=any(x.stream is not None for x in links),
            report=self.allocator.target is not None,
            usable=self.allocator.usable,
        )
        if self.serving:
            seconds = self.steps.seconds
            log.info(
                "serving",
                extra={
                    "stream_s": seconds["stream"],
                    "report_s": seconds["report"],
                    "usable_s": seconds["usable"],
                },
            )

    def _log_health_change(self) -> None:
        """Logs a change of the reason why the target is suspect."""
        target_health = self.allocator.target_health
        if target_health.suspect_reason is self.suspect_reason:
            return
        log.warning(
            "target in doubt" if target_health.suspect else "target trusted",
            extra={
                "doubt": target_health.suspect_reason.value,
                "was": self.suspect_reason.value,
                "failed_jobs": sorted(target_health.failed_jobs),
                "pace": round(target_health.relative_speed, 3),
                "relapses": target_health.probes.relapses,
                "runs": len(self.allocator.runs),
            },
        )
        self.suspect_reason = target_health.suspect_reason

    def _log_odd_times(self) -> None:
        """Logs once that run times are ignored, as no scheduler sends such."""
        odd = self.allocator.target_speed.invalid_runs
        if odd and not self.odd_times_logged:
            self.odd_times_logged = True
            log.warning("odd run times ignored", extra={"runs": odd})

    def _run_started(self, task: str, run: int, took_s: float) -> None:
        """Logs and counts a start that the target has confirmed."""
        self.counts.start_seconds.observe(took_s)
        log.info(
            "run started",
            extra={"task": task, "run": run, "took_s": round(took_s, 4)},
        )

    def _run_ended(self, ended: runs.RunEnded) -> None:
        """Logs and counts an attempt that has ended or was not started."""
        self.counts.run_ended(ended)
        fault = ended.ending in (work.Ending.FAILED, work.Ending.LOST)
        log.log(
            logging.WARNING if fault else logging.INFO,
            "run ended",
            extra={
                "task": ended.task,
                "run": ended.run,
                "ending": ended.ending,
                "reason": ended.reason,
                "run_s": round(ended.run_s, 3),
                "free_millicores": self.allocator.free().cpu_millicores,
            },
        )

    def _target_reported(self, target: work.Target) -> None:
        """Handles a report of the target about itself."""
        before, successor = self.allocator.target, self.allocator.successor
        if self.allocator.target_reported(target):
            self.driver.target_registered()
        elif not before.is_same_life(target):
            if successor is None or not successor.is_same_life(target):
                log.warning(
                    "other target reported",
                    extra={
                        "instance": target.instance,
                        "born": target.started_ms,
                    },
                )
                eventlet.spawn_n(self.driver.check_life)
        elif not before.draining and self.allocator.target.draining:
            log.info("target drains", extra={"instance": target.instance})
        if self.allocator.target is target:
            self.allocator.warm_up.reported(target.cold_s, clock.boottime())
        self.flush()

    def _evacuations_pushed(
        self, origin: str, message: runs.EvacuationPush
    ) -> None:
        """Obeys a scheduler's set of evacuated domains unless it is older.

        Args:
            origin: Address of the scheduler.
            message: The set.
        """
        result = self.evacuations.offer(message.revision, message.domains)
        if isinstance(result, evacuation.Ignored):
            return
        log_lines.log_changes(result, origin, self.settings.domains)
        evacuated = self.settings.domain in self.evacuations.domains
        self.allocator.set_evacuated(evacuated, clock.boottime())

    def _target_left(self, instance: str, started_ms: int) -> None:
        """Handles the deregistration of the target.

        Args:
            instance: The instance that leaves.
            started_ms: When it started, 0 if it does not say.
        """
        known = self.allocator.target
        if (
            known is not None
            and known.instance == instance
            and started_ms in (0, known.started_ms)
        ):
            log.info("target left", extra={"instance": instance})
            self.allocator.target_leaves()
            self.flush()


def run() -> int:
    """Runs a runner until SIGTERM or SIGINT; returns the exit status."""
    return processes.run("runner", Runner)
