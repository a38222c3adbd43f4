"""Composition root of the runner."""

import logging
import os

import attrs
import eventlet

from trefoilgw.callers import server
from trefoilgw.messages import runs
from trefoilgw.platform import reports
from trefoilgw.platform import targets
from trefoilgw.processes import core as processes
from trefoilgw.room import actions
from trefoilgw.room import core as room
from trefoilgw.runner import driving
from trefoilgw.runner import links as runner_links
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
    """

    settings: hosting.HostSettings
    incarnation: str = attrs.field(factory=lambda: os.urandom(8).hex())
    keeper: room.RoomKeeper = attrs.field(factory=room.RoomKeeper)
    driver: driving.Driver = attrs.field(init=False)
    links: runner_links.Links = attrs.field(init=False)
    timers: timer_service.TimerService = attrs.field(init=False)
    reported_s: float = 0.0

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

    def leave(self) -> None:
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
                    self.links.send(owner, message)
                case actions.Start(task=task, run=run, payload=payload):
                    eventlet.spawn_n(self.driver.start, task, run, payload)
                case actions.Stop(task=task, run=run):
                    eventlet.spawn_n(self.driver.stop, task, run)

    def _tick(self) -> None:
        """Does what is due."""
        self.keeper.tick(clock.boottime())
        self.flush()

    def _target_reported(self, target: work.Target) -> None:
        """Takes a report of the target."""
        before = self.keeper.target
        if self.keeper.target_reported(target):
            log.info(
                "target joined",
                extra={"instance": target.instance, "born": target.born_ms},
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
