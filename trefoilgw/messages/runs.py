"""Messages between a scheduler and a runner, and among schedulers."""

import attrs

from trefoilgw.messages import core
from trefoilgw.work import core as work
from trefoilgw.work import run_limits

# The hosts share no secret, so hellos are signed with an empty key. The proof
# then shows only that the peer speaks this protocol, not who it is.
NO_KEY = b""
# Time for which a runner keeps the ends that it has reported, to send them
# again if the stream breaks. A scheduler gives a lost runner up 2.05 s after
# the last renewal of its authority, and notices after 1.2 s that a runner is
# silent.
ENDS_KEPT_S = 4.0


@attrs.frozen
class Room:
    """Amounts of CPU, memory and accelerators; wire form of a `work.Demand`."""

    cpu_millicores: int
    memory_mb: int
    accelerators: int

    @classmethod
    def of(cls, demand: work.Demand) -> "Room":
        """Returns the wire form of a demand."""
        return cls(demand.cpu_millicores, demand.memory_mb, demand.accelerators)

    @property
    def demand(self) -> work.Demand:
        """The same amounts as a `work.Demand`."""
        return work.Demand(
            self.cpu_millicores, self.memory_mb, self.accelerators
        )


@attrs.frozen
class RunRef:
    """Identifies one attempt at a task.

    Attributes:
        task: Name of the task.
        run: Number of the attempt.
    """

    task: str
    run: int


@attrs.frozen
class RunOrder:
    """An attempt at a task that a runner is to start.

    Attributes:
        task: Name of the task.
        run: Number of the attempt, which increases with each attempt at the
            task.
        room: Capacity that the attempt needs.
        expected_s: Expected run time in seconds.
        urgency: Urgency class of the task's job.
        error: Mean absolute error of the logarithm of the expected run time.
        slack_s: Seconds until the task should start.
        may_be_slow: Whether no target of the service is known to be faster, so
            that it may start and go on at a target that is slow.
    """

    task: str
    run: int
    room: Room = attrs.field(metadata={"value": Room})
    expected_s: float
    urgency: int
    error: float = run_limits.TYPICAL_ERROR
    slack_s: float = 0.0
    may_be_slow: bool = False


@core.message(50, hello=True)
class RunnerHello:
    """Opens a stream from a runner to a scheduler.

    Attributes:
        version: Protocol version.
        name: Name of the runner's host, which stays the same across restarts.
        incarnation: 16 hex digits, chosen anew at every process start.
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
    """Opens a stream on which a scheduler receives another one's updates.

    Attributes:
        version: Protocol version.
        incarnation: 16 hex digits, chosen anew at every process start.
        address: ``ip:port`` on which the sender accepts streams.
        proof: HMAC over the nonce and this message with an empty proof.
    """

    version: int
    incarnation: str
    address: str
    proof: bytes = b""


@core.message(52)
class CapacityReport:
    """Reports a target's capacity to each scheduler after each change.

    Attributes:
        starts_received: Number of `StartRuns` messages that the runner has
            received on this stream.
        usable: False while no run may be started.
        suspect: True while the target's runs fail, stall or are slow, or it
            is lost repeatedly; only probes are sent to it.
        service: Service of the target.
        capacity: Total capacity of the target.
        free: Capacity that is neither in use nor reserved.
        freed_cpu: Rate at which ended runs free CPU, in millicores per second,
            averaged over about the last second.
        competing_cpu: CPU that the other schedulers' waiting tasks need, in
            millicores by urgency class, up to the last class with any.
        schedulers: Number of schedulers connected to the runner, 0 if unknown.
        others_started: CPU that was started for the other schedulers in about
            the last second, by urgency class in steps of `rates.to_step`;
            empty if the runner does not measure it.
        slowness: Actual over expected run times at the target, as a code of
            `work.slowness`; 0 if unknown.
        probe_due: Whether a suspect target takes a probe now.
        slow: Whether it is suspect since its runs are slow.
    """

    starts_received: int
    usable: bool
    suspect: bool
    service: str
    capacity: Room = attrs.field(metadata={"value": Room})
    free: Room = attrs.field(metadata={"value": Room})
    freed_cpu: int = 0
    competing_cpu: tuple[int, ...] = ()
    schedulers: int = 0
    others_started: tuple[int, ...] = ()
    slowness: int = 0
    probe_due: bool = True
    slow: bool = False


@attrs.frozen
class RunGroup:
    """Attempts at tasks of one job.

    Attributes:
        payload: Text that the target gets with each of the attempts.
        orders: The attempts.
    """

    payload: str
    orders: tuple[RunOrder, ...] = core.items_of(RunOrder)


@core.message(53)
class StartRuns:
    """Asks a runner to start attempts, and renews the authority like a pong.

    Attributes:
        offer: Number of the `Offer` that this message answers, 0 if none.
        groups: The attempts; empty to decline an offer.
        alive_s: Time in seconds on the runner's clock at which the scheduler
            was certainly not paused; 0 if it does not know the clock yet.
    """

    offer: int
    groups: tuple[RunGroup, ...] = core.items_of(RunGroup)
    alive_s: float = 0.0


@core.message(54)
class StopRuns:
    """Asks a runner to stop attempts.

    Attributes:
        runs: The attempts.
        alive_s: Time in seconds on the runner's clock before which the
            scheduler had no reason to stop them; 0 if it does not know the
            clock yet. A scheduler that was paused learns late that a caller
            has left.
    """

    runs: tuple[RunRef, ...] = core.items_of(RunRef)
    alive_s: float = 0.0


@core.message(55)
class RunEnded:
    """Reports that an attempt has ended or can no longer start.

    It may arrive twice, as it is sent again on the next stream.

    Attributes:
        task: Name of the task.
        run: Number of the attempt.
        ending: Value of a `work.Ending`.
        reason: Cause of the ending, for logs and metrics. The scheduler also
            depends on some of the texts, such as ``headroom`` and ``slow``.
        run_s: Run time in seconds.
        evidence: Value of the `work.Evidence` that it can no longer work.
        instance: Instance of the target that it ended at, empty if none is
            known.
        started_ms: Start of that instance in Unix milliseconds, 0 if unknown.
    """

    task: str
    run: int
    ending: str
    reason: str
    run_s: float
    evidence: str = str(work.Evidence.NONE)
    instance: str = ""
    started_ms: int = 0


@attrs.frozen
class WaitingDemand:
    """Demand of a scheduler's waiting tasks of one urgency class.

    Attributes:
        urgency: The urgency class.
        slack_s: Seconds until the most urgent of the tasks should start.
        room: Capacity that this most urgent task needs.
        wanted: Capacity that all waiting tasks of the class need.
        expected_s: Expected run time of the most urgent task in seconds, 0 if
            unknown.
        error: Mean absolute error of the logarithm of that time.
    """

    urgency: int
    slack_s: float
    room: Room = attrs.field(metadata={"value": Room})
    wanted: Room = attrs.field(metadata={"value": Room})
    expected_s: float = 0.0
    error: float = run_limits.TYPICAL_ERROR


@core.message(56)
class Bid:
    """Reports a scheduler's waiting work; replaces its previous bid."""

    demands: tuple[WaitingDemand, ...] = core.items_of(WaitingDemand)


@core.message(57)
class Offer:
    """Offers capacity, which stays reserved until the scheduler answers.

    Attributes:
        number: Number of the offer, which the answer repeats.
        urgency: Least urgent class whose tasks may use the capacity.
        room: The offered capacity.
        run_limit_s: Time in which the runs must surely end on a target of
            normal speed, 0 if there is no limit.
        least_error: Error of run times at this target, which counts if that of
            an estimate is smaller.
        backfill: Whether more urgent work waits for more room there.
    """

    number: int
    urgency: int
    room: Room = attrs.field(metadata={"value": Room})
    run_limit_s: float = 0.0
    least_error: float = 0.0
    backfill: bool = False


@core.message(58)
class RunnerPing:
    """Asks the scheduler to renew its authority over its runs.

    Attributes:
        sent_s: Time of sending in seconds on the runner's clock.
    """

    sent_s: float


@core.message(59)
class RunnerPong:
    """Renews the authority.

    Attributes:
        alive_s: When the ping was sent, from which the authority counts;
            earlier if the scheduler has been paused.
        runners: Number of runners connected to the scheduler, 0 if unknown.
    """

    alive_s: float
    runners: int = 0


@core.message(61)
class ConfigurationPush:
    """Sends the operators' configuration.

    Attributes:
        version: Version of the configuration.
        document: The document as the operators wrote it.
    """

    version: int
    document: bytes


@core.message(63)
class ActiveRuns:
    """Lists the attempts in progress when a stream has opened.

    Before it the runner sends only pings and, again, the ends of the last
    `ENDS_KEPT_S`.

    Attributes:
        runs: The scheduler's attempts that have not ended. All others that it
            asked the runner to start have ended or will never start.
    """

    runs: tuple[RunRef, ...] = core.items_of(RunRef)


@core.message(64)
class PeerPing:
    """Requests a `PeerPong`, to detect broken streams to other schedulers.

    Attributes:
        configuration: Version of the sender's configuration, 0 if it has none.
    """

    configuration: int = 0


@core.message(65)
class PeerPong:
    """Answers a `PeerPing`, or announces a new configuration on its own.

    Attributes:
        configuration: Version of the sender's configuration, 0 if it has none.
    """

    configuration: int = 0


@core.message(66)
class ConfigurationRequest:
    """Requests a `ConfigurationPush` from a scheduler with a newer version."""


@attrs.frozen
class SchedulerRecord:
    """What the store's list of schedulers says about one address.

    Attributes:
        address: ``ip:port`` on which the scheduler accepts streams.
        domain: Failure domain of the scheduler.
        incarnation: 16 hex digits, chosen anew at every process start.
        revision: Revision of the store at which the list was read.
        present: Whether the list held the address.
        weight: Relative number of runners that it should get, in thousandths
            of that of a host with one core; 0 if unknown.
        weight_ms: Time at which the scheduler issued the weight, on its clock
            in milliseconds since 1970; 0 for the one that it registered.
    """

    address: str
    domain: str
    incarnation: str
    revision: int
    present: bool
    weight: int = 0
    weight_ms: int = 0


@core.message(67)
class SchedulerRecords:
    """Passes on records; for each address the highest revision applies."""

    records: tuple[SchedulerRecord, ...] = core.items_of(SchedulerRecord)


@core.message(68)
class SchedulerAnnouncement:
    """Makes a scheduler known that is missing in the store's list.

    Only the scheduler itself issues announcements. The receivers pass each one
    on once.

    Attributes:
        address: ``ip:port`` on which the scheduler accepts streams.
        domain: Failure domain of the scheduler.
        incarnation: 16 hex digits, chosen anew at every process start.
        sequence: Time of issue on the issuer's clock in milliseconds since
            1970, which orders the announcements of an address.
        weight: As in `SchedulerRecord`.
    """

    address: str
    domain: str
    incarnation: str
    sequence: int
    weight: int = 0


@core.message(69)
class EvacuationPush:
    """Sends the set of evacuated domains to peers and runners.

    It is the first message on a new stream of a scheduler that follows
    evacuations. The set with the highest revision applies.

    Attributes:
        revision: Revision of the store at which the set is known, 0 if the
            sender knows none.
        domains: The evacuated failure domains.
    """

    revision: int
    domains: tuple[str, ...] = ()
