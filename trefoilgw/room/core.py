"""Decides who may use the room of one target, and what is started there.

Each runner holds one `RoomKeeper`. Several schedulers see the same room with
a lag, so the keeper is the only place that gives it away: what does not fit is
refused, which is a true "not run", and room that comes free is reserved for
the scheduler whose waiting work is most urgent.

Load pattern: more work than room at all schedulers at once. Without bids the
schedulers would race for each freed slot and the order of urgency would hold
only within each of them.
"""

import enum
from collections.abc import Mapping

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.room import actions
from trefoilgw.room import freed as freed_room
from trefoilgw.room import headroom as room_headroom
from trefoilgw.room import health
from trefoilgw.room import owners as room_owners
from trefoilgw.work import core as work

# An offer that is not answered by then is void; a round trip takes 2 ms.
OFFER_S = 0.1


class RunState(enum.Enum):
    """Where an attempt stands."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define(eq=False)
class Run:
    """One attempt that uses room.

    Attributes:
        owner: Incarnation of the scheduler that asked for it.
        order: What was asked for.
        demand: Room that it uses until it has certainly ended.
        state: Where it stands.
        since_s: When it was asked for.
        progress: Share of its work that is done, 0 to 1.
        progressed_s: When that grew last.
        reason: Why it is being stopped, for logs.
    """

    owner: str
    order: messages.RunOrder
    demand: work.Demand
    state: RunState
    since_s: float
    progress: float = 0.0
    progressed_s: float = 0.0
    reason: str = ""

    @property
    def key(self) -> tuple[str, int]:
        """Task and number of the attempt."""
        return self.order.task, self.order.run

    @property
    def job(self) -> str:
        """Key of its job, the first part of the task's name."""
        return self.order.task.partition(".")[0]


@attrs.define(eq=False)
class RoomKeeper:
    """State of one target's room.

    Attributes:
        target: The target as last reported, None before and after its life.
        reachable: Whether it answers orders.
        settled: Whether it is known to run nothing that others asked for.
        leaving: True once the runner stops.
        runs: Attempts that use room, by task and number.
        owners: Schedulers by incarnation.
        judge: Judge of the target's health.
        headroom: Room that is kept free for urgent work.
        freed: Rate at which room comes free.
        pending: Actions not yet taken by the program.
        offers: Number of the last offer.
    """

    target: work.Target | None = None
    reachable: bool = True
    settled: bool = False
    leaving: bool = False
    runs: dict[tuple[str, int], Run] = attrs.field(factory=dict)
    owners: dict[str, room_owners.Owner] = attrs.field(factory=dict)
    judge: health.Health = attrs.field(factory=health.Health)
    headroom: room_headroom.Headroom = attrs.field(
        factory=room_headroom.Headroom
    )
    freed: freed_room.FreedRoom = attrs.field(factory=freed_room.FreedRoom)
    pending: list = attrs.field(factory=list)
    offers: int = 0

    @property
    def usable(self) -> bool:
        """Whether anything may be started."""
        return (
            self.target is not None
            and self.reachable
            and self.settled
            and not self.target.draining
            and not self.leaving
        )

    def take_actions(self) -> list:
        """Returns and forgets the pending actions."""
        taken, self.pending = self.pending, []
        return taken

    def free(self) -> work.Demand:
        """Returns the room that is neither used nor reserved."""
        if self.target is None:
            return work.Demand()
        used = work.total(x.demand for x in self.runs.values())
        reserved = work.total(x.reserved() for x in self.owners.values())
        return self.target.capacity.minus(used).minus(reserved)

    # The target.

    def target_reported(self, target: work.Target) -> bool:
        """Takes a target's report about itself.

        Returns:
            True if this is another life of the target.
        """
        known = self.target
        if known is not None:
            if target.started_ms < known.started_ms:
                return False
            same = known.started_ms == target.started_ms
            if same and known.instance == target.instance:
                if target.sequence > known.sequence:
                    self.target = target
                return False
        self._lose_runs("the target started anew")
        self.target = target
        self.reachable = True
        self.settled = False
        self.judge = health.Health()
        return True

    def target_left(self, reason: str) -> None:
        """Notes that this life of the target is over."""
        self._lose_runs(reason)
        self.target = None

    def target_silent(self, reason: str) -> None:
        """Notes that everything there has certainly lapsed."""
        self._lose_runs(reason)
        self.reachable = False

    def _lose_runs(self, reason: str) -> None:
        """Reports all runs as lost."""
        for run in list(self.runs.values()):
            self._end(run, work.Ending.LOST, reason, 0.0)

    # Attempts at the target.

    def run_started(self, task: str, run: int, now_s: float) -> None:
        """Notes that the target confirmed a start."""
        known = self.runs.get((task, run))
        if known is not None and known.state is RunState.STARTING:
            known.state = RunState.RUNNING
            known.progressed_s = now_s

    def runs_listed(
        self, progress: Mapping[tuple[str, int], float], now_s: float
    ) -> None:
        """Takes in the progress of runs and stops those that stand still.

        Args:
            progress: Share of work done by run, as the target lists it.
            now_s: Current time.
        """
        stalled = []
        going_on = 0
        for key, share in progress.items():
            run = self.runs.get(key)
            if run is None or run.state is not RunState.RUNNING:
                continue
            if share > run.progress:
                run.progress = share
                run.progressed_s = now_s
                going_on += 1
                continue
            limit_s = health.stall_limit_s(run.order.expected_s)
            if now_s - run.progressed_s > limit_s:
                stalled.append(run)
        self.judge.progress(len(stalled), going_on)
        for run in stalled:
            run.reason = "stalled"
            self._stop(run)
        self._check_pace(now_s)

    def _check_pace(self, now_s: float) -> None:
        """Stops the runs that would end sooner on a sound target."""
        paces = [
            (
                run,
                health.Pace(
                    run.job,
                    max(now_s - run.since_s, 1e-6),
                    run.order.expected_s,
                    run.progress,
                ),
            )
            for run in self.runs.values()
            if run.state is RunState.RUNNING
        ]
        self.judge.paced([pace for _, pace in paces])
        if self.judge.doubt is not health.Doubt.SLOW:
            return
        for run, pace in paces:
            if pace.telling and pace.restart_pays(self.judge.pace):
                run.reason = "slow"
                self._stop(run)

    def run_refused(self, task: str, run: int, reason: str) -> None:
        """Notes that an attempt has not started and never will."""
        known = self.runs.get((task, run))
        if known is not None:
            self._end(known, work.Ending.NOT_RUN, reason, 0.0)

    def run_ended(
        self, task: str, run: int, ending: work.Ending, now_s: float
    ) -> None:
        """Notes that an attempt has ended at the target."""
        known = self.runs.get((task, run))
        if known is None:
            return
        if ending is work.Ending.DONE:
            self.judge.done()
        elif ending is work.Ending.FAILED:
            self.judge.failed(known.job)
        self._end(known, ending, known.reason, now_s - known.since_s)

    def _end(
        self, run: Run, ending: work.Ending, reason: str, run_s: float
    ) -> None:
        """Frees the room of a run and tells its scheduler."""
        del self.runs[run.key]
        self.freed.record(run.demand.cpu_millicores)
        task, number = run.key
        self._tell(
            run.owner,
            messages.RunEnded(task, number, str(ending), reason, run_s),
        )

    # Schedulers.

    def owner_joined(self, name: str, now_s: float) -> None:
        """Notes a new stream to a scheduler."""
        owner = room_owners.Owner(name, now_s + room_owners.AUTHORITY_S)
        self.owners[name] = owner
        held = tuple(
            messages.RunRef(*run.key)
            for run in self.runs.values()
            if run.owner == name
        )
        self._tell(name, messages.ActiveRuns(held))

    def owner_closed(self, name: str, now_s: float) -> None:
        """Notes that the stream to a scheduler broke."""
        owner = self.owners.get(name)
        if owner is not None:
            owner.disconnect(now_s)

    def owner_renewed(self, name: str, sent_s: float) -> None:
        """Takes a scheduler's answer to a ping sent at `sent_s`."""
        owner = self.owners.get(name)
        if owner is not None and owner.connected:
            until_s = sent_s + room_owners.AUTHORITY_S
            owner.authority_until_s = max(owner.authority_until_s, until_s)

    def start_runs(
        self, name: str, message: messages.StartRuns, now_s: float
    ) -> None:
        """Starts what fits and refuses the rest."""
        owner = self.owners.get(name)
        if owner is None:
            return
        owner.received += 1
        offered = owner.reservations.pop(message.offer, None) is not None
        for group in message.groups:
            for order in group.orders:
                self._start(owner, group.payload, order, offered, now_s)

    def _start(
        self,
        owner: room_owners.Owner,
        payload: str,
        order: messages.RunOrder,
        offered: bool,
        now_s: float,
    ) -> None:
        """Starts one attempt or refuses it."""
        reason = self._refusal(owner, order, offered, now_s)
        if reason:
            ending = str(work.Ending.NOT_RUN)
            self._tell(
                owner.name,
                messages.RunEnded(order.task, order.run, ending, reason, 0.0),
            )
            return
        demand = order.room.demand
        run = Run(owner.name, order, demand, RunState.STARTING, now_s)
        self.runs[run.key] = run
        self.pending.append(actions.Start(order.task, order.run, payload))

    def _refusal(
        self,
        owner: room_owners.Owner,
        order: messages.RunOrder,
        offered: bool,
        now_s: float,
    ) -> str:
        """Returns why an attempt must not start, or an empty text."""
        if not self.usable:
            return "unusable"
        if now_s >= owner.authority_until_s:
            return "authority"
        rivals = [x for x in self.runs.values() if x.order.task == order.task]
        for rival in rivals:
            self._stop(rival)
        if rivals:
            return "duplicate"
        if self.judge.suspect and self.runs:
            return "suspect"
        free = self.free()
        if not order.room.demand.fits_in(free):
            return "room"
        if not offered:
            kept = self.headroom.kept(self._used(), order.urgency)
            if not order.room.demand.fits_in(free.minus(work.Demand(kept))):
                return "headroom"
        return ""

    def stop_runs(self, name: str, message: messages.StopRuns) -> None:
        """Stops attempts that a scheduler no longer wants."""
        for ref in message.runs:
            run = self.runs.get((ref.task, ref.run))
            if run is not None and run.owner == name:
                self._stop(run)

    def bid_changed(
        self, name: str, message: messages.Bid, now_s: float
    ) -> None:
        """Takes the waiting work of a scheduler."""
        owner = self.owners.get(name)
        if owner is not None:
            owner.bids = tuple(
                room_owners.Bid(
                    x.urgency,
                    now_s + x.slack_s,
                    x.room.demand,
                    x.wanted.demand,
                )
                for x in message.demands
            )

    def tick(self, now_s: float) -> None:
        """Ends void offers and the runs of schedulers without authority."""
        self.headroom.update(self._used(), now_s)
        self.freed.decay(now_s)
        for owner in list(self.owners.values()):
            for reservation in list(owner.reservations.values()):
                if now_s >= reservation.until_s:
                    del owner.reservations[reservation.number]
            if now_s >= owner.authority_until_s:
                self._dismiss(owner)

    def _dismiss(self, owner: room_owners.Owner) -> None:
        """Stops all runs of a scheduler that may have been replaced."""
        held = [x for x in self.runs.values() if x.owner == owner.name]
        for run in held:
            self._stop(run)
        if not owner.connected and not held:
            del self.owners[owner.name]

    def _stop(self, run: Run) -> None:
        """Asks once for the end of a run."""
        if run.state is not RunState.STOPPING:
            run.state = RunState.STOPPING
            self.pending.append(actions.Stop(*run.key))

    # Room.

    def offer_room(self, now_s: float) -> None:
        """Reserves free room for the most urgent bids."""
        if not self.usable:
            return
        bids = [(x, bid) for x in self.owners.values() for bid in x.bids]
        if not bids:
            return
        bids.sort(key=lambda x: x[1].latest_start_s)
        free = self.free()
        for owner, bid in bids:
            left = bid.wanted.minus(owner.offered(bid.urgency))
            if self.judge.suspect:
                if self.runs or owner.reservations:
                    return
                left = bid.head
            if left.cpu_millicores <= 0:
                continue
            if not bid.head.fits_in(free):
                # Room for the most urgent task must be able to gather.
                return
            kept = work.Demand(self.headroom.kept(self._used(), bid.urgency))
            usable = free.minus(kept)
            if not bid.head.fits_in(usable):
                continue
            room = work.Demand(
                min(left.cpu_millicores, usable.cpu_millicores),
                min(max(left.memory_mb, 0), usable.memory_mb),
                min(max(left.accelerators, 0), usable.accelerators),
            )
            self._offer(owner, bid.urgency, room, now_s)
            free = free.minus(room)

    def _offer(
        self,
        owner: room_owners.Owner,
        urgency: int,
        room: work.Demand,
        now_s: float,
    ) -> None:
        """Reserves room and tells the scheduler."""
        self.offers += 1
        owner.reservations[self.offers] = room_owners.Reservation(
            self.offers, urgency, room, now_s + OFFER_S
        )
        self._tell(
            owner.name,
            messages.Offer(self.offers, urgency, messages.Room.of(room)),
        )

    def _used(self) -> list[tuple[int, int]]:
        """Returns urgency class and millicores of each run."""
        return [
            (x.order.urgency, x.demand.cpu_millicores)
            for x in self.runs.values()
        ]

    def report_room(self) -> None:
        """Reports the room to each scheduler to which it is news."""
        if not any(x.connected for x in self.owners.values()):
            return
        known = self.target
        free = self.free()
        for owner in self.owners.values():
            report = messages.CapacityReport(
                owner.received,
                self.usable,
                self.judge.suspect,
                known.service if known else "",
                messages.Room.of(known.capacity if known else work.Demand()),
                messages.Room.of(free),
                self.freed.rate(),
                self._rivals(owner.name),
            )
            if owner.connected and report != owner.reported:
                owner.reported = report
                self._tell(owner.name, report)

    def _rivals(self, name: str) -> tuple[int, ...]:
        """Returns what all schedulers but one wait for, by urgency class."""
        found: list[int] = []
        for owner in self.owners.values():
            if owner.name == name:
                continue
            for bid in owner.bids:
                missing = bid.urgency + 1 - len(found)
                found.extend([0] * missing)
                found[bid.urgency] += bid.wanted.cpu_millicores
        return tuple(found)

    def _tell(self, owner: str, message: object) -> None:
        """Queues a message to a scheduler."""
        self.pending.append(actions.Tell(owner, message))
