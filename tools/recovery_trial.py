"""Discrete-event trial of the seconds after a loss of all hosts.

All runners connect within a few tenths of a second, their targets report at
some time in their report interval after that, and the callers of the whole site
submit from the start. The decisions are those of the product, as in
`fleet_trial`; there is no network and there are no processes.
"""

import collections
import contextlib
from collections.abc import Sequence
from unittest import mock

import attrs

from tools import fleet_trial
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import forecasts
from trefoilgw.scheduling import recovering

CONNECT_S = 0.3
REPORT_INTERVAL_S = 1.5
# A rejected job was held if the answer took more than this part of its
# objective.
HELD_SHARE = 0.25


@attrs.define(eq=False)
class RecoveryTrial(fleet_trial.Trial):
    """A trial that begins with the return of all hosts.

    Attributes:
        away: Numbers of runners that connect and whose targets stay away.
        late_schedulers: Seconds by which schedulers come back later, by name.
    """

    away: Sequence[int] = ()
    late_schedulers: dict[str, float] = attrs.field(factory=dict)

    def _make_runner(self, number: int) -> fleet_trial._Runner:
        """Returns a runner whose target reports some time after it joined."""
        runner = super()._make_runner(number)
        target, runner.allocator.target = runner.allocator.target, None
        runner.allocator.runs_reconciled = False
        if number not in self.away:
            at_s = self.rng.uniform(0.0, CONNECT_S)
            at_s += self.rng.uniform(0.0, REPORT_INTERVAL_S)
            self.at(at_s, self._report, runner, target)
        return runner

    def _report(self, runner: fleet_trial._Runner, target) -> None:
        """Registers a target at its runner."""
        runner.allocator.target_reported(target)
        runner.allocator.runs_reconciled = True
        runner.flush()

    def _connect(self, runner, domain, scheduler) -> None:
        """Opens a stream once both hosts are up."""
        at_s = self.rng.uniform(0.0, CONNECT_S)
        at_s += self.late_schedulers.get(scheduler.name, 0.0)
        self.at(at_s, self._join, runner, domain, scheduler)

    def _join(self, runner, domain, scheduler) -> None:
        """Opens a stream."""
        super()._connect(runner, domain, scheduler)
        view = scheduler.state.runner_views[runner.name]
        view.connect("i", self.now_s)
        runner.allocator.owner_connected(scheduler.name, self.now_s)
        runner.flush()

    # Results.

    def outcomes(self, from_s: float, to_s: float) -> collections.Counter:
        """Returns the number of jobs submitted in a time, by outcome."""
        found: collections.Counter = collections.Counter()
        for record in self.jobs.values():
            if from_s <= record.at_s < to_s:
                found[_outcome(record)] += 1
        return found

    def work_done(self, from_s: float, to_s: float) -> float:
        """Returns the work of the jobs of a time that were done in time."""
        return sum(
            x.work
            for x in self.jobs.values()
            if from_s <= x.at_s < to_s and _outcome(x) == "in time"
        )


def _outcome(record: fleet_trial.JobRecord) -> str:
    """Returns what became of a job, in a word."""
    match record.outcome:
        case actions.Completed():
            took_s = record.ended_s - record.at_s
            return "in time" if took_s <= record.objective_s else "late"
        case actions.Rejected():
            held_s = record.ended_s - record.at_s
            held = held_s > HELD_SHARE * record.objective_s
            return "held" if held else "rejected"
        case _:
            return "unanswered"


@contextlib.contextmanager
def earlier_policy():
    """Predicts waits as before the runners' recovery was considered."""
    with mock.patch.object(
        recovering.JoiningTimes, "is_recovering", lambda *_: False
    ):
        yield


@contextlib.contextmanager
def admit_all():
    """Admits each job while the runners are new."""
    forecast = forecasts.Forecast(0.0, 0, 0.0)
    with (
        mock.patch.object(
            forecasts.Forecaster, "_predict_recovery", lambda *_: forecast
        ),
        mock.patch.object(forecasts.Forecaster, "late_jobs", lambda *_: []),
    ):
        yield


@contextlib.contextmanager
def reject_until_reported():
    """Rejects each job until most of the runners' targets have reported."""

    def predict(forecaster, job, admitted, now_s):
        views = forecaster.runner_views.values()
        waiting = sum(forecaster.joining.is_joining(x, now_s) for x in views)
        wait_s = 30.0 if 2 * waiting > len(views) else 0.0
        return forecasts.Forecast(wait_s, 0, 0.0)

    with (
        mock.patch.object(forecasts.Forecaster, "_predict_recovery", predict),
        mock.patch.object(forecasts.Forecaster, "late_jobs", lambda *_: []),
    ):
        yield


POLICIES = {
    "earlier": earlier_policy,
    "admit all": admit_all,
    "reject until reported": reject_until_reported,
    "in force": contextlib.nullcontext,
}
FLEET = fleet_trial.Fleet(schedulers=8, runners=16)
KINDS = (
    fleet_trial.Kind("short", 1.0, 8, 0.12),
    fleet_trial.Kind("pair", 3.0, 2, 0.4),
    fleet_trial.Kind("long", 0.2, 4, 1.8),
)


def play(utilization: float, seed: int, **changes) -> RecoveryTrial:
    """Plays the return under a load, as a share of the fleet's capacity."""
    kinds = fleet_trial.scale_load(FLEET, KINDS, utilization)
    return RecoveryTrial(FLEET, kinds, seed=seed, **changes).run(4.0)


def main() -> None:
    """Prints what each policy does, for some loads."""
    for utilization in (0.5, 1.0, 2.0):
        for name, policy in POLICIES.items():
            total: collections.Counter = collections.Counter()
            done = 0.0
            for seed in range(1, 4):
                with policy():
                    trial = play(utilization, seed)
                total += trial.outcomes(0.0, 3.0)
                done += trial.work_done(0.0, 3.0)
            print(utilization, name, dict(total), round(done))


if __name__ == "__main__":
    main()
