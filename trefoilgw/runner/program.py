"""Composition root of the runner."""

import logging
import os

import attrs
import eventlet

from trefoilgw.callers import server
from trefoilgw.messages import runs
from trefoilgw.metrics import core as metrics
from trefoilgw.platform import reports
from trefoilgw.platform import targets
from trefoilgw.processes import core as processes
from trefoilgw.room import actions
from trefoilgw.room import core as room
from trefoilgw.room import health
from trefoilgw.runner import driving
from trefoilgw.runner import links as runner_links
from trefoilgw.runner import metrics as runner_metrics
from trefoilgw.streams import redialling
from trefoilgw.timers import clock
from trefoilgw.timers import core as timer_service
from trefoilgw.work import core as work
from trefoilgw.work import hosting

TICK_S = 0.05
# While schedulers bid for room, free room is offered and not reported.
REPORT_EVERY_S = 0.1
# Left of the time between SIGTERM and SIGKILL when the runner ends.
STOP_MARGIN_S = 0.4

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Runner:
    """A runner and its parts.

    Attributes:
        settings: Settings of the host.
        incarnation: 16 hex digits, new at every process start.
        keeper: Decisions about the room.
        driver: Orders to the target.
        links: Streams to the schedulers.
        timers: Timer service.
        reported_s: When room was last reported while there were bids.
        counts: Counts for operators.
        doubt: Why the target was in doubt at the last look.
    """

    settings: hosting.HostSettings
    incarnation: str = attrs.field(factory=lambda: os.urandom(8).hex())
    keeper: room.RoomKeeper = attrs.field(factory=room.RoomKeeper)
    driver: driving.Driver = attrs.field(init=False)
    links: runner_links.Links = attrs.field(init=False)
    timers: timer_service.TimerService = attrs.field(init=False)
    reported_s: float = 0.0
    counts: runner_metrics.RunnerMetrics = attrs.field(
        factory=runner_metrics.RunnerMetrics
    )
    doubt: health.Doubt = health.Doubt.NONE

    def __attrs_post_init__(self):
        settings = self.settings
        self.timers = timer_service.TimerService(now=clock.boottime)
        self.driver = driving.Driver(
            targets.TargetClient(settings.target_address),
            self.keeper,
            settings.lease_limit_s,
            settings.run_stop_s,
            clock.boottime,
            self.flush,
            self._started,
        )
        hello = runner_links.hello_of(
            settings.name, self.incarnation, settings.domain
        )
        self.links = runner_links.Links(
            redialling.Redialler(runs.NO_KEY, hello),
            self.keeper,
            clock.boottime,
            self.flush,
        )
        self.counts.read_from(self.keeper)

    @property
    def registry(self) -> metrics.Registry:
        """The metrics that are served."""
        return self.counts.registry

    def start(self) -> None:
        """Starts all parts.

        Raises:
            OSError: An address can't be bound.
        """
        application = reports.ReportsApplication(
            self._target_reported, self._target_left
        )
        server.HttpServer(application).listen(self.settings.reports_address)
        eventlet.spawn_n(self.timers.run)
        eventlet.spawn_n(self.driver.run)
        eventlet.spawn_n(self.driver.run_in_doubt)
        self.timers.every(TICK_S, self._tick)
        self.timers.every(runner_links.PING_EVERY_S, self.links.ping)
        self.links.set_addresses(set(self.settings.seed_streams()))

    def reload(self, settings: hosting.HostSettings) -> None:
        """Puts changed settings in force as far as a process can."""
        self.settings = settings
        self.driver.lease_s = settings.lease_limit_s
        self.links.set_addresses(
            set(self.links.links) | set(settings.seed_streams())
        )

    def shut_down(self) -> None:
        """Takes nothing new and waits for the runs, as long as there is."""
        self.keeper.leaving = True
        self.flush()
        deadline_s = (
            clock.boottime() + self.settings.stop_limit_s - STOP_MARGIN_S
        )
        while self.keeper.runs and clock.boottime() < deadline_s:
            eventlet.sleep(TICK_S)
        log.info("stopped", extra={"runs_left": len(self.keeper.runs)})
        # Reports of the last ends may still be queued.
        eventlet.sleep(TICK_S)

    def flush(self) -> None:
        """Gives free room away and carries out what was decided."""
        now_s = clock.boottime()
        self.keeper.offer_room(now_s)
        bids = any(x.bids for x in self.keeper.owners.values())
        if not bids or now_s - self.reported_s >= REPORT_EVERY_S:
            self.reported_s = now_s
            self.keeper.report_room()
        for action in self.keeper.take_actions():
            match action:
                case actions.Tell(owner=owner, message=message):
                    if isinstance(message, runs.RunEnded):
                        self._ended(message)
                    self.links.send(owner, message)
                case actions.Start(task=task, run=run, payload=payload):
                    eventlet.spawn_n(self.driver.start, task, run, payload)
                case actions.Stop(task=task, run=run):
                    eventlet.spawn_n(self.driver.stop, task, run)

    def _tick(self) -> None:
        """Does what is due."""
        self.keeper.tick(clock.boottime())
        self._note_doubt()
        self.flush()

    def _note_doubt(self) -> None:
        """Notes when the judgement of the target's health has changed."""
        judge = self.keeper.judge
        if judge.doubt is self.doubt:
            return
        log.warning(
            "target in doubt" if judge.suspect else "target trusted",
            extra={
                "doubt": judge.doubt.value,
                "was": self.doubt.value,
                "failed_jobs": sorted(judge.failed_jobs),
                "pace": round(judge.pace, 3),
                "runs": len(self.keeper.runs),
            },
        )
        self.doubt = judge.doubt

    def _started(self, task: str, run: int, took_s: float) -> None:
        """Notes that the target confirmed a start."""
        self.counts.start_seconds.observe(took_s)
        log.info(
            "run started",
            extra={"task": task, "run": run, "took_s": round(took_s, 4)},
        )

    def _ended(self, ended: runs.RunEnded) -> None:
        """Notes that an attempt is over, or has never begun."""
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
                "free_millicores": self.keeper.free().cpu_millicores,
            },
        )

    def _target_reported(self, target: work.Target) -> None:
        """Takes a report of the target."""
        before = self.keeper.target
        if self.keeper.target_reported(target):
            log.info(
                "target joined",
                extra={"instance": target.instance, "born": target.started_ms},
            )
            self.driver.target_changed()
        elif before is not None and before.draining != target.draining:
            log.info("target drains", extra={"instance": target.instance})
        self.flush()

    def _target_left(self, instance: str) -> None:
        """Takes the last word of the target."""
        known = self.keeper.target
        if known is not None and known.instance == instance:
            log.info("target left", extra={"instance": instance})
            self.keeper.target_left("target_left")
            self.flush()


def run() -> int:
    """Runs a runner until SIGTERM or SIGINT; returns the exit status."""
    return processes.run("runner", Runner)
