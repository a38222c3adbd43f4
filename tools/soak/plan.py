"""What a fault soak plays: load and faults that follow from a seed."""

import enum
import random

import attrs

# Time at the start without faults.
CALM_S = 1.0


@attrs.frozen
class Kind:
    """A kind of job.

    Attributes:
        queue: Queue of its jobs.
        jobs_s: Mean number of submissions a second.
        tasks: Tasks of each job.
        run_s: Run time of a task in seconds.
    """

    queue: str
    jobs_s: float
    tasks: int
    run_s: float


KINDS = (
    Kind("preview", 17.2, 8, 0.12),
    Kind("proof", 3.13, 4, 1.8),
    Kind("check", 50.0, 2, 0.4),
)


class Fault(enum.StrEnum):
    """A fault of a process, of a host or of connections.

    The part of the name before the first hyphen is what it happens to. A host
    is that of a runner and its target.

    Attributes:
        HOST_CUT: A host's connections to the schedulers are cut, with or
            without the one between its runner and its target.
        HOST_DELAY: The same connections are slow.
        HOST_RESET: The same connections are reset once.
        HOST_POWER: A host is cut off, and its processes are killed. It comes
            back, and its earlier connections stay silent.
        HOST_MOVE: The same, and it comes back at another address.
        LINK_CUT: The connection of a runner and one scheduler is cut.
        TARGET_BACK: A target that refuses connections is restarted meanwhile,
            as the same instance or as another one.
        TARGET_LEAVE: A target deregisters and works on, cut off or not, until
            another instance replaces it.
        TARGET_DOWN: A target refuses every call with status 503.
        TARGET_MUTE: A target carries out calls and doesn't answer some.
        SCHEDULER_CUT: All connections between a scheduler and other hosts are
            cut; callers still reach it.
        SCHEDULER_CLOCK: A scheduler's wall clock jumps, and jumps back.
        STORE_CUT: The connections of a scheduler to the store are cut.
        STORE_SLOW: The store is slow.
        STORE_LOSE: The store carries out some writes without an answer.
        STORE_DOWN: The store refuses every call with status 503.
        DOMAIN_EVACUATE: The operators evacuate the failure domain of a runner,
            and take it back.
    """

    RUNNER_KILL = "runner-kill"
    RUNNER_FREEZE = "runner-freeze"
    RUNNER_STOP = "runner-stop"
    TARGET_KILL = "target-kill"
    TARGET_SILENT = "target-silent"
    TARGET_RESET = "target-reset"
    TARGET_REFUSE = "target-refuse"
    TARGET_LATE = "target-late"
    TARGET_FAIL = "target-fail"
    ODD_REPORT = "odd-report"
    SCHEDULER_KILL = "scheduler-kill"
    SCHEDULER_FREEZE = "scheduler-freeze"
    SCHEDULER_STOP = "scheduler-stop"
    HOST_CUT = "host-cut"
    HOST_DELAY = "host-delay"
    HOST_RESET = "host-reset"
    HOST_POWER = "host-power"
    HOST_MOVE = "host-move"
    LINK_CUT = "link-cut"
    TARGET_BACK = "target-back"
    TARGET_LEAVE = "target-leave"
    TARGET_DOWN = "target-down"
    TARGET_MUTE = "target-mute"
    SCHEDULER_CUT = "scheduler-cut"
    SCHEDULER_CLOCK = "scheduler-clock"
    STORE_CUT = "store-cut"
    STORE_SLOW = "store-slow"
    STORE_LOSE = "store-lose"
    STORE_DOWN = "store-down"
    DOMAIN_EVACUATE = "domain-evacuate"

    @property
    def part(self) -> str:
        """What it happens to."""
        return self.partition("-")[0]


CUTS = frozenset({Fault.TARGET_SILENT, Fault.TARGET_RESET, Fault.TARGET_REFUSE})
# Faults that need relays between all hosts.
LINKED = frozenset(
    {x for x in Fault if x.part in ("host", "link")}
    | {Fault.TARGET_BACK, Fault.TARGET_LEAVE, Fault.STORE_CUT}
    | {Fault.SCHEDULER_CUT, Fault.SCHEDULER_CLOCK}
)


@attrs.frozen
class Step:
    """A fault at a time.

    Attributes:
        at_s: Seconds from the start of the load.
        fault: What happens.
        number: Number of the runner, target or scheduler.
        duration_s: How long it lasts.
        choice: Seed of what the fault leaves open.
    """

    at_s: float
    fault: Fault
    number: int
    duration_s: float
    choice: int = 0


@attrs.frozen
class Plan:
    """What a soak plays.

    Attributes:
        seed: Seed of faults and load.
        seconds: Length of the load.
        schedulers: Number of schedulers.
        runners: Number of runners.
        cores: Cores of each target.
        millicores: Room that each task needs.
        load: Factor on the rates of `KINDS`.
        leaving: Share of the callers that leave early, once.
        faults: Faults to choose from.
        interval_s: Mean time between two faults.
        max_s: Longest time that a fault lasts.
    """

    seed: int = 1
    seconds: float = 30.0
    schedulers: int = 3
    runners: int = 11
    cores: int = 64
    millicores: int = 6200
    load: float = 1.0
    leaving: float = 0.1
    faults: tuple[Fault, ...] = tuple(Fault)
    interval_s: float = 0.5
    max_s: float = 3.5

    def steps(self) -> list[Step]:
        """Returns the faults in order."""
        rng = random.Random(self.seed)
        choices = random.Random(-1 - self.seed)
        found = []
        at_s = CALM_S
        while at_s < self.seconds:
            fault = rng.choice(self.faults)
            many = self.runners
            if fault.part in ("scheduler", "store"):
                many = self.schedulers
            duration_s = rng.uniform(0.1, self.max_s)
            number = rng.randrange(many)
            choice = choices.getrandbits(32)
            found.append(Step(at_s, fault, number, duration_s, choice))
            at_s += rng.expovariate(1.0 / self.interval_s)
        return found


# The sites of the operators' record. The larger one has a quarter of the load
# for each target, since one machine can't drive more.
SIZES = {
    "small": {},
    "grown": {"schedulers": 11, "runners": 62, "load": 1.4, "interval_s": 0.25},
}
