"""Messages between a scheduler and a runner, and among schedulers."""

import attrs

from trefoilgw.messages import core
from trefoilgw.work import core as work

# The hosts are given no common secret; the proof of a stream then only shows
# that the other end is a process of this kind.
NO_KEY = b""


@attrs.frozen
class Room:
    """Room in wire form; see `work.Demand`."""

    cpu_millicores: int
    memory_mb: int
    accelerators: int

    @classmethod
    def of(cls, demand: work.Demand) -> "Room":
        """Returns the wire form of a demand."""
        return cls(demand.cpu_millicores, demand.memory_mb, demand.accelerators)

    @property
    def demand(self) -> work.Demand:
        """The room as the decisions use it."""
        return work.Demand(
            self.cpu_millicores, self.memory_mb, self.accelerators
        )


@attrs.frozen
class RunRef:
    """One attempt at a task."""

    task: str
    run: int


@attrs.frozen
class RunOrder:
    """One attempt to start.

    Attributes:
        task: Name of the task.
        run: Number of the attempt, rising for each task.
        room: Room that it needs.
        expected_s: Expected run time in seconds.
        urgency: Urgency class of its job.
    """

    task: str
    run: int
    room: Room = attrs.field(metadata={"value": Room})
    expected_s: float
    urgency: int


@core.message(50, hello=True)
class RunnerHello:
    """A runner opens a stream to a scheduler.

    Attributes:
        version: Protocol version.
        name: Name of the runner's host, which outlives its incarnations.
        incarnation: 16 hex digits, new at every process start.
        domain: Failure domain.
        proof: HMAC over the nonce and this message with an empty proof.
    """

    version: int
    name: str
    incarnation: str
    domain: str
    proof: bytes = b""


@core.message(51, hello=True)
class SchedulerHello:
    """A scheduler opens a stream to another one to hear of changes."""

    version: int
    incarnation: str
    address: str
    proof: bytes = b""


@core.message(52)
class CapacityReport:
    """The room of a target, to each scheduler after each change.

    Attributes:
        starts_received: `StartRuns` messages of this stream seen so far.
        usable: False while nothing may be started.
        suspect: True while its runs fail; it is used for probes only.
        service: Service of the target.
        capacity: All of its room.
        free: Room that is neither used nor reserved.
        freed_cpu: Room that came free in the last second, in millicores.
        competing_cpu: Millicores that the other schedulers wait for, by urgency
            class, up to the last class with any.
    """

    starts_received: int
    usable: bool
    suspect: bool
    service: str
    capacity: Room = attrs.field(metadata={"value": Room})
    free: Room = attrs.field(metadata={"value": Room})
    freed_cpu: int = 0
    competing_cpu: tuple[int, ...] = ()


@attrs.frozen
class RunGroup:
    """Attempts at tasks of one job.

    Attributes:
        payload: Text for the target, the same for all.
        orders: The attempts.
    """

    payload: str
    orders: tuple[RunOrder, ...] = core.items_of(RunOrder)


@core.message(53)
class StartRuns:
    """Asks for attempts to be started.

    Attributes:
        offer: Number of the offer that this answers, 0 if none.
        groups: The attempts; empty if an offer is not used.
    """

    offer: int
    groups: tuple[RunGroup, ...] = core.items_of(RunGroup)


@core.message(54)
class StopRuns:
    """Asks for attempts to be stopped."""

    runs: tuple[RunRef, ...] = core.items_of(RunRef)


@core.message(55)
class RunEnded:
    """An attempt has ended, or will certainly never start.

    Attributes:
        task: Name of the task.
        run: Number of the attempt.
        ending: A `work.Ending`.
        reason: What led to it, for logs.
        run_s: Seconds that it ran.
    """

    task: str
    run: int
    ending: str
    reason: str
    run_s: float


@attrs.frozen
class WaitingDemand:
    """A scheduler's waiting work of one urgency class.

    Attributes:
        urgency: The class.
        slack_s: Seconds until its most urgent task should start.
        room: Room that this task needs.
        wanted: Room of all waiting tasks of the class.
    """

    urgency: int
    slack_s: float
    room: Room = attrs.field(metadata={"value": Room})
    wanted: Room = attrs.field(metadata={"value": Room})


@core.message(56)
class Bid:
    """A scheduler's waiting work; replaces its bid before."""

    demands: tuple[WaitingDemand, ...] = core.items_of(WaitingDemand)


@core.message(57)
class Offer:
    """Room that is reserved for the scheduler until it answers.

    Attributes:
        number: Number of the offer, for the answer.
        urgency: Least urgent class whose tasks may use it.
        room: The room.
    """

    number: int
    urgency: int
    room: Room = attrs.field(metadata={"value": Room})


@core.message(58)
class RunnerPing:
    """Asks to renew the authority of the scheduler over its runs.

    Attributes:
        sent_s: The runner's clock in seconds.
    """

    sent_s: float


@core.message(59)
class RunnerPong:
    """Renews the authority, counted from the time in the ping."""

    sent_s: float


@core.message(60)
class Schedulers:
    """Stream addresses of all schedulers that the sender knows."""

    addresses: tuple[str, ...]


@core.message(61)
class ConfigurationPush:
    """A configuration as the operators wrote it.

    Attributes:
        version: Its version.
        document: Its text.
    """

    version: int
    document: bytes


@core.message(63)
class ActiveRuns:
    """The first message of a runner on a stream.

    Attributes:
        runs: Attempts of the scheduler's that have not ended; all others that
            it asked the runner for have ended or will never start.
    """

    runs: tuple[RunRef, ...] = core.items_of(RunRef)


@core.message(64)
class PeerPing:
    """Asks a scheduler for a `PeerPong`, to find broken streams."""


@core.message(65)
class PeerPong:
    """Answers a `PeerPing`."""
