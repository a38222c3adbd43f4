"""Trial of targets that differ in speed, turn slow, fail or go down and up.

Adds to `fleet_trial` what a target does at a time: its speed, whether its runs
fail, and whether it can be reached. Targets list the progress of their runs, as
the product's do.
"""

import contextlib
import math
from collections.abc import Iterator
from unittest import mock

import attrs

from tools import fleet_trial
from trefoilgw.room import health
from trefoilgw.room import runs as room_runs
from trefoilgw.scheduling import placing
from trefoilgw.scheduling import speeds
from trefoilgw.work import core as work

# Interval at which a target's runs are listed.
POLL_S = 0.15
# Time from the start of a run at a failing target to its end.
FAILURE_S = 0.005
# Time after a target is lost in which the leases of its runs expire.
LEASE_S = 1.07


@attrs.frozen
class Disturbance:
    """What some of the targets suffer for a time.

    Attributes:
        share: Share of the targets, spread over the fleet.
        from_s: Begin.
        to_s: End.
        slowness: Factor on run times.
        fails: Whether all runs fail at once.
        period_s: Time for which a target is alternately down and up, 0 if it
            stays up.
    """

    share: float
    from_s: float
    to_s: float
    slowness: float = 1.0
    fails: bool = False
    period_s: float = 0.0

    def affects(self, number: int) -> bool:
        """Returns whether a target is among those that suffer."""
        return int((number + 1) * self.share) > int(number * self.share)


@attrs.define(eq=False)
class _Active:
    """A run at a target.

    Attributes:
        millicores: CPU that it uses.
        work_s: Run time at a target of normal speed.
        left_s: Part of it that is not done.
        version: Number of the latest plan of its end.
    """

    millicores: int
    work_s: float
    left_s: float
    version: int = 0


@attrs.define(eq=False)
class Runner(fleet_trial._Runner):
    """A runner whose target may be disturbed.

    Attributes:
        disturbance: What it suffers, None if nothing.
        slowness: Present factor on run times.
        failing: Whether runs fail now.
        down: Whether the target is down now.
        active: Runs by task and number.
        updated_s: Time to which their remaining work is up to date.
        first_bad_s: Time at which the disturbance first met a run.
        contained_s: First time since the disturbance began at which the target
            was suspect; None before it.
        back_s: First time since its end at which the target was not suspect;
            None before it.
        bad_starts: Runs that were started while it was bad.
        lost_work: Core-seconds done in runs that did not end as done.
    """

    disturbance: Disturbance | None = None
    slowness: float = 1.0
    failing: bool = False
    down: bool = False
    active: dict[tuple[str, int], _Active] = attrs.field(factory=dict)
    updated_s: float = 0.0
    first_bad_s: float | None = None
    contained_s: float | None = None
    back_s: float | None = None
    bad_starts: int = 0
    lost_work: float = 0.0
    _life: int = 1

    def plan(self) -> None:
        """Schedules the polls and the disturbance."""
        self.trial._repeat(POLL_S, self.poll)
        disturbance = self.disturbance
        if disturbance is None:
            return
        self.trial.at(disturbance.from_s, self.begin)
        self.trial.at(disturbance.to_s, self.end)
        if disturbance.period_s:
            at_s, down = disturbance.from_s, True
            while at_s < disturbance.to_s:
                self.trial.at(at_s, self.go_down if down else self.come_up)
                at_s, down = at_s + disturbance.period_s, not down
            self.trial.at(disturbance.to_s, self.come_up)

    @property
    def bad(self) -> bool:
        """Whether the target is disturbed now."""
        disturbance = self.disturbance
        return (
            disturbance is not None
            and disturbance.from_s <= self.trial.now_s < disturbance.to_s
        )

    def begin(self) -> None:
        """Begins the disturbance."""
        self.advance()
        self.slowness = self.disturbance.slowness
        self.failing = self.disturbance.fails
        if self.active and not self.failing:
            self.first_bad_s = self.trial.now_s
        self.plan_ends()

    def end(self) -> None:
        """Ends the disturbance."""
        self.advance()
        self.slowness, self.failing = 1.0, False
        self.plan_ends()

    def go_down(self) -> None:
        """Loses all runs, as in a crash."""
        self.advance()
        self.down = True
        for key in list(self.active):
            self.drop(key)
        self.allocator.target_unreachable()
        self.trial.after(LEASE_S, self.expire_leases)
        self.flush()

    def expire_leases(self) -> None:
        """Gives up the runs of a target that is still down."""
        if self.down:
            self.allocator.leases_expired("target_lost")
            self.flush()

    def come_up(self) -> None:
        """Registers the next life of the target."""
        if not self.down:
            return
        self.down = False
        self._life += 1
        target = attrs.evolve(self.allocator.target, started_ms=self._life)
        self.allocator.target_gone(
            "target_gone", evidence=work.Evidence.OTHER_LIFE
        )
        self.allocator.target_reported(target)
        self.allocator.runs_reconciled = True
        self.flush()

    def advance(self) -> None:
        """Updates the work that is left of each run."""
        elapsed_s = self.trial.now_s - self.updated_s
        self.updated_s = self.trial.now_s
        for run in self.active.values():
            done_s = elapsed_s * self.speed / self.slowness
            run.left_s = max(0.0, run.left_s - done_s)

    def plan_ends(self) -> None:
        """Plans the ends of all runs at the present speed."""
        for key, run in self.active.items():
            run.version += 1
            left_s = run.left_s * self.slowness / self.speed
            self.trial.after(left_s, self.finish, key, run.version)

    def finish(self, key: tuple[str, int], version: int) -> None:
        """Ends a run as done, if this is still the plan."""
        run = self.active.get(key)
        if run is None or run.version != version:
            return
        del self.active[key]
        self.ended(*key, work.Ending.DONE)

    def drop(self, key: tuple[str, int]) -> None:
        """Removes a run that was not done."""
        run = self.active.pop(key, None)
        if run is not None:
            done_s = run.work_s - run.left_s
            self.lost_work += done_s * run.millicores / 1000

    def started(self, task: str, run: int) -> None:
        """Starts a run as the target confirms it."""
        key = (task, run)
        known = self.allocator.runs.get(key)
        if self.down or known is None:
            self.allocator.run_refused(
                *key, "unreachable", evidence=work.Evidence.NOT_RUN
            )
            self.flush()
            return
        if self.bad:
            self.bad_starts += 1
            self.first_bad_s = self.first_bad_s or self.trial.now_s
        self.allocator.run_started(task, run, self.trial.now_s)
        if self.failing:
            ending = work.Ending.FAILED
            self.trial.after(FAILURE_S, self.ended, task, run, ending)
        else:
            self.advance()
            work_s = self.trial.run_times[task]
            active = _Active(known.demand.cpu_millicores, work_s, work_s)
            self.active[key] = active
            left_s = work_s * self.slowness / self.speed
            self.trial.after(left_s, self.finish, key, 0)
        self.flush()

    def ended(self, task: str, run: int, ending: work.Ending) -> None:
        """Ends a run as the target lists it."""
        if ending is work.Ending.STOPPED:
            self.advance()
            self.drop((task, run))
        super().ended(task, run, ending)

    def poll(self) -> None:
        """Lists the progress of the runs, in percent as targets do."""
        if self.down:
            return
        self.advance()
        progress = {
            key: int(100 * (1.0 - run.left_s / run.work_s)) / 100
            for key, run in self.active.items()
        }
        self.allocator.update_progress(progress, self.trial.now_s)
        self.flush()
        self.observe()

    def observe(self) -> None:
        """Notes when the target is contained, and when it is back."""
        suspect = self.allocator.target_health.suspect
        if self.bad:
            if suspect:
                self.contained_s = self.contained_s or self.trial.now_s
        elif (
            self.disturbance is not None
            and self.trial.now_s >= self.disturbance.to_s
            and self.back_s is None
            and not suspect
        ):
            self.back_s = self.trial.now_s


@attrs.define(eq=False)
class Trial(fleet_trial.Trial):
    """A trial with a disturbance of some of the targets."""

    disturbance: Disturbance | None = None
    runners: list[Runner] = attrs.field(factory=list)

    def _make_runner(self, number: int) -> Runner:
        plain = super()._make_runner(number)
        affected = self.disturbance and self.disturbance.affects(number)
        runner = Runner(
            self,
            plain.name,
            plain.speed,
            plain.allocator,
            disturbance=self.disturbance if affected else None,
        )
        runner.plan()
        self.runners.append(runner)
        return runner

    # Results.

    def in_time(self, kind: str) -> float:
        """Returns the share of the jobs of a kind that were done in time."""
        records = [x for x in self.jobs.values() if x.kind == kind]
        return sum(x.value == 1.0 for x in records) / len(records)

    def summary(self) -> str:
        """Returns the results as text."""
        parts = [
            f"{x.name} in time {self.in_time(x.name):.3f}" for x in self.kinds
        ]
        parts.append(f"lost work {self.lost_work():.4f}")
        if self.disturbance is not None:
            contained = " ".join(f"{x:.2f}" for x in self.containment_s())
            back = " ".join(f"{x:.2f}" for x in self.return_s())
            parts.append(f"starts at bad targets {self.bad_starts()}")
            parts.append(f"contained after {contained} s, back after {back} s")
        return ", ".join(parts)

    @property
    def bad_runners(self) -> list[Runner]:
        """The runners of the disturbed targets."""
        return [x for x in self.runners if x.disturbance is not None]

    def lost_work(self) -> float:
        """Returns the share of the work that was done and thrown away."""
        lost = sum(x.lost_work for x in self.runners)
        return lost / sum(x.work for x in self.jobs.values())

    def containment_s(self) -> list[float]:
        """Returns the seconds until each bad target got only probes.

        They count from the time at which its first run was disturbed.
        """
        return sorted(
            x.contained_s - x.first_bad_s if x.contained_s else math.inf
            for x in self.bad_runners
            if x.first_bad_s is not None
        )

    def return_s(self) -> list[float]:
        """Returns the seconds until each target was trusted again."""
        end_s = self.disturbance.to_s
        return sorted(
            x.back_s - end_s if x.back_s else math.inf for x in self.bad_runners
        )

    def bad_starts(self) -> int:
        """Returns the number of runs started at bad targets."""
        return sum(x.bad_starts for x in self.bad_runners)


@attrs.define
class _ImmediateTrust(health.TargetHealth):
    """Health without a memory: one success ends any suspicion of failing."""

    def next_life(self):
        return type(self)()

    def probe_allowed(self):
        return True

    def record_loss(self):
        pass

    def set_usual_speed(self, speed):
        pass

    def record_success(self, key, job, run_s, expected_s):
        self.failed_jobs.clear()
        if self.suspect_reason is health.SuspectReason.FAILING:
            self.suspect_reason = health.SuspectReason.NONE

    def record_failure(self, key, job):
        self.failed_jobs.add(job)
        if len(self.failed_jobs) >= health.FAILED_JOBS_LIMIT:
            self.suspect_reason = health.SuspectReason.FAILING

    def _probe_passed(self):
        self.suspect_reason = health.SuspectReason.NONE


@attrs.define
class _NoHealth(_ImmediateTrust):
    """Health that suspects no target."""

    def record_failure(self, key, job):
        pass

    def update_stalls(self, stalled, progressing):
        pass

    def update_speed(self, runs):
        pass


def _keep_own_averages(fleet_speeds, views):
    """Leaves each scheduler to its own average of each runner."""
    fleet_speeds.changed = False


@contextlib.contextmanager
def policy(name: str) -> Iterator[None]:
    """Puts a policy in force.

    Args:
        name: ``new`` for the product's; ``previous`` for that of the release
            before: speeds learned by each scheduler, the speed of a run
            measured since its start, one success ends a suspicion;
            ``uniform`` for a random choice among the targets with capacity,
            without suspicion.
    """
    patches = []
    if name != "new":
        patches.append(
            mock.patch.object(speeds.FleetSpeeds, "update", _keep_own_averages)
        )
        made = _ImmediateTrust if name == "previous" else _NoHealth
        patches.append(mock.patch.object(health, "TargetHealth", made))
        patches.append(mock.patch.object(room_runs.Run, "update_marks"))
    if name == "uniform":
        patches.append(
            mock.patch.object(
                placing, "_weights", lambda views, *_: [1.0] * len(views)
            )
        )
    with contextlib.ExitStack() as stack:
        for patch in patches:
            stack.enter_context(patch)
        yield
