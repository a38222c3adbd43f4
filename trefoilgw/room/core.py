"""Allocates the capacity of one target to schedulers and their runs.

Each runner has one `CapacityAllocator`. Several schedulers see the same
capacity with a delay, so only the allocator grants it. Runs that do not fit
are refused, so that they have certainly not run, and freed capacity is
reserved for the scheduler whose waiting work is most urgent.

Load pattern: more work than capacity at all schedulers at once. Without bids
the schedulers would race for each freed slot, and tasks would be ordered by
urgency only within each scheduler.
"""

import functools
import math
from collections.abc import Collection
from collections.abc import Mapping

import attrs

from trefoilgw.evacuation import warming
from trefoilgw.messages import runs as messages
from trefoilgw.room import actions
from trefoilgw.room import backfill
from trefoilgw.room import freed_cpu
from trefoilgw.room import headroom as room_headroom
from trefoilgw.room import health
from trefoilgw.room import offers
from trefoilgw.room import owners as room_owners
from trefoilgw.room import recent_ends
from trefoilgw.room import reporting
from trefoilgw.room import runs as room_runs
from trefoilgw.room import speed
from trefoilgw.work import core as work
from trefoilgw.work import orders


@attrs.define(eq=False)
class CapacityAllocator:
    """Allocates the capacity of one target.

    Attributes:
        target: The target as last reported, None if none is registered.
        successor: Target that was reported while another one is known. It
            takes its place once that one is gone.
        leaving: Whether the target has said that it ends.
        reachable: Whether the target answers requests.
        runs_reconciled: Whether all runs that the target lists are in `runs`.
        shutting_down: True once the runner shuts down.
        evacuated: Whether the failure domain of the target is evacuated.
        warm_up: Warm-up of the target after an evacuation.
        usable_share: Share of the target's CPU that runs may use, 0 to 1.
        runs: Attempts that use capacity, by task and number.
        owners: Schedulers by incarnation.
        target_health: Health of the target, derived from its runs.
        target_speed: Speed of the target, learned from the runs done there.
        headroom: CPU that is kept free for urgent work.
        freed_cpu_rate: Rate at which ended runs free CPU.
        reported_ends: Ends that were reported lately, by scheduler.
        pending_actions: Actions that `take_actions` will return.
        last_offer: Number of the last offer.
        backfilling: The blocked task, and run times at the target.
    """

    target: work.Target | None = None
    successor: work.Target | None = None
    leaving: bool = False
    reachable: bool = True
    runs_reconciled: bool = False
    shutting_down: bool = False
    evacuated: bool = False
    warm_up: warming.WarmUp = attrs.field(factory=warming.WarmUp)
    usable_share: float = 1.0
    runs: dict[tuple[str, int], room_runs.Run] = attrs.field(factory=dict)
    owners: dict[str, room_owners.Owner] = attrs.field(factory=dict)
    target_health: health.TargetHealth = attrs.field(
        # Looked up late, so that trials can replace the class.
        factory=lambda: health.TargetHealth()
    )
    target_speed: speed.SpeedEstimate = attrs.field(factory=speed.SpeedEstimate)
    headroom: room_headroom.Headroom = attrs.field(
        factory=room_headroom.Headroom
    )
    freed_cpu_rate: freed_cpu.FreedCpuRate = attrs.field(
        factory=freed_cpu.FreedCpuRate
    )
    reported_ends: recent_ends.RecentEnds = attrs.field(
        factory=recent_ends.RecentEnds
    )
    pending_actions: list = attrs.field(factory=list)
    last_offer: int = 0
    backfilling: backfill.Backfilling = attrs.field(
        factory=backfill.Backfilling
    )

    @property
    def usable(self) -> bool:
        """Whether runs may be started."""
        return (
            self.target is not None
            and self.reachable
            and self.runs_reconciled
            and not self.leaving
            and not self.target.draining
            and not self.shutting_down
            and not self.evacuated
        )

    def take_actions(self) -> list:
        """Returns the pending actions and clears the list."""
        taken, self.pending_actions = self.pending_actions, []
        return taken

    def free(self) -> work.Demand:
        """Returns the capacity that is neither used nor reserved."""
        if self.target is None:
            return work.Demand()
        used = work.total(x.demand for x in self.runs.values())
        reserved = work.total(
            x.reserved() for x in self.owners.values() if x.reservations
        )
        return self._usable_capacity().minus(used).minus(reserved)

    def _usable_capacity(self) -> work.Demand:
        """Returns what runs may use of the target's capacity."""
        capacity = self.target.capacity
        if self.usable_share >= 1.0:
            return capacity
        millicores = int(self.usable_share * capacity.cpu_millicores)
        return attrs.evolve(capacity, cpu_millicores=millicores)

    def set_evacuated(self, evacuated: bool, now_s: float) -> None:
        """Stops or resumes to start runs; those that have started go on."""
        if self.evacuated and not evacuated:
            self.warm_up.domain_taken_back(now_s)
            self.usable_share = self.warm_up.share(now_s)
        self.evacuated = evacuated

    # The target.

    def target_reported(self, target: work.Target) -> bool:
        """Updates the target from a report.

        Late reports are ignored. A report of another life does not end the
        known one: it may come from another writer. It only names the successor
        for the time when the target's own interface shows that it is gone.

        Returns:
            True if there was no target, and this one is registered.
        """
        known = self.target
        if known is None:
            self._register(target)
            return True
        if known.is_same_life(target):
            if target.sequence > known.sequence:
                self.target = target
                self.leaving = False
        elif target.started_ms >= known.started_ms:
            self.successor = target
        return False

    def _register(self, target: work.Target) -> None:
        """Registers a target of which nothing is known yet."""
        self.target = target
        self.successor = None
        self.leaving = False
        self.reachable = True
        self.runs_reconciled = False
        self.target_health = self.target_health.next_life()
        self.target_speed.forget()
        self.backfilling.observed = backfill.ObservedRunTimes()

    def target_leaves(self) -> None:
        """Notes that the target ends; its runs may go on until it has."""
        self.leaving = True

    def target_gone(
        self,
        reason: str,
        kept: Collection[tuple[str, int]] = (),
        *,
        evidence: work.Evidence,
    ) -> bool:
        """Removes a target that is gone and reports its runs as lost.

        Args:
            reason: Why, for the schedulers.
            kept: Runs that its next life has already started.
            evidence: Why the others can no longer work.

        Returns:
            True if its successor is registered in its place.
        """
        self._record_loss()
        self._end_all_as_lost(reason, evidence, kept)
        self.target, successor = None, self.successor
        if successor is None:
            return False
        self._register(successor)
        return True

    def target_unreachable(self) -> None:
        """Marks the target as unreachable, so that nothing is started.

        Its runs may go on: a connection is also refused or reset on the way to
        a target that works.
        """
        self._record_loss()
        self.reachable = False

    def _record_loss(self) -> None:
        """Records that a target is lost that has not said that it leaves."""
        if self.target is None or not self.reachable or self.leaving:
            return
        if not self.target.draining:
            self.target_health.record_loss()

    def leases_expired(self, reason: str) -> None:
        """Reports all runs as lost.

        Call this only once the leases of all runs have certainly expired.
        """
        self._end_all_as_lost(reason, work.Evidence.LEASE_EXPIRED)

    def _end_all_as_lost(
        self,
        reason: str,
        evidence: work.Evidence,
        kept: Collection[tuple[str, int]] = (),
    ) -> None:
        """Ends all runs but some as lost, for the given reason."""
        for run in list(self.runs.values()):
            if run.key not in kept:
                self._end(run, work.Ending.LOST, reason, 0.0, evidence)

    # Runs on the target.

    def start_refusal(self, task: str, run: int, now_s: float) -> str:
        """Returns why an accepted attempt must not be sent, or nothing.

        Time may have passed since it was accepted, in which its scheduler has
        given it up, it has ended, or the domain was evacuated.
        """
        known = self.runs.get((task, run))
        if known is None:
            return "ended"
        if known.state is not room_runs.RunState.STARTING:
            return "stopped"
        if self.evacuated:
            return "evacuated"
        if not self.reachable:
            return "unreachable"
        owner = self.owners.get(known.owner)
        if owner is None or now_s >= owner.authority_until_s:
            return "authority"
        return ""

    def run_started(self, task: str, run: int, now_s: float) -> None:
        """Marks a run as running after the target has confirmed its start."""
        known = self.runs.get((task, run))
        if known is not None and known.state is room_runs.RunState.STARTING:
            known.state = room_runs.RunState.RUNNING
            known.last_progress_s = now_s

    def update_progress(
        self, progress: Mapping[tuple[str, int], float], now_s: float
    ) -> None:
        """Updates the progress of runs and stops stalled and slow ones.

        Args:
            progress: Share of work done, 0 to 1, by task and number of the
                run, as the target lists it.
            now_s: Current time.
        """
        self.target_health.advance(now_s)
        stalled, progressing = room_runs.update_progress(
            self.runs, progress, now_s
        )
        self.target_health.update_stalls(len(stalled), progressing)
        for run in stalled:
            run.reason = "stalled"
            self._stop(run)
        for run in room_runs.find_slow(
            self.runs.values(), self.target_health, now_s
        ):
            run.reason = "slow"
            self._stop(run)

    def run_refused(
        self, task: str, run: int, reason: str, *, evidence: work.Evidence
    ) -> None:
        """Ends an attempt that counts as not run and never will start.

        Args:
            task: Name of the task.
            run: Number of the attempt.
            reason: Why, for the scheduler.
            evidence: Why it can no longer work.
        """
        known = self.runs.get((task, run))
        if known is not None:
            if reason == orders.RefusalReason.UNHEALTHY:
                self.target_health.record_refusal(known.key)
            self._end(known, work.Ending.NOT_RUN, reason, 0.0, evidence)

    def run_ended(
        self, task: str, run: int, ending: work.Ending, now_s: float
    ) -> None:
        """Ends an attempt that has ended on the target, as its list shows.

        A success or failure also updates the health of the target.
        """
        known = self.runs.get((task, run))
        if known is None:
            return
        run_s = now_s - known.requested_s
        self.target_health.advance(now_s)
        if ending is work.Ending.DONE:
            self._record_done(known, run_s)
        elif ending is work.Ending.FAILED:
            self.target_health.record_failure(known.key, known.job)
        self._end(known, ending, known.reason, run_s, work.Evidence.ENDED)

    def _record_done(self, run: room_runs.Run, run_s: float) -> None:
        """Updates the health and the speed of the target with a run done."""
        expected_s = run.order.expected_s
        self.backfilling.observed.record(run_s, expected_s)
        suspect = self.target_health.suspect
        self.target_health.record_success(run.key, run.job, run_s, expected_s)
        if suspect:
            # What was learned while the target went bad says nothing about it.
            self.target_speed.forget()
        else:
            self.target_speed.record(run.job, run_s, expected_s)

    def _end(
        self,
        run: room_runs.Run,
        ending: work.Ending,
        reason: str,
        run_s: float,
        evidence: work.Evidence,
    ) -> None:
        """Frees the capacity of a run and reports its end."""
        del self.runs[run.key]
        owner = self.owners.get(run.owner)
        if owner is not None:
            owner.run_ended = True
        self.freed_cpu_rate.record(run.demand.cpu_millicores)
        self._report_end(run.owner, run.order, ending, reason, run_s, evidence)

    def _report_end(
        self,
        owner: str,
        order: messages.RunOrder,
        ending: work.Ending,
        reason: str,
        run_s: float,
        evidence: work.Evidence,
    ) -> None:
        """Reports the end of an attempt to its scheduler, and keeps it."""
        message = room_runs.make_end(
            order, ending, reason, run_s, evidence, self.target
        )
        self.reported_ends.add(owner, message)
        self._send(owner, message)

    def lease_limit_s(self) -> float:
        """Returns when the lease of the runs must end at the latest.

        The target itself then ends the runs of a scheduler that has lost its
        authority, even if it can't be told to stop them. All runs share one
        lease, so the first authority to end decides. Without runs there is
        nothing to extend.
        """
        names = {x.owner for x in self.runs.values()}
        ends = [self.owners[x].authority_until_s for x in names]
        return min(ends, default=-math.inf) + room_owners.STOP_ALLOWANCE_S

    def run_lease_limit_s(self, task: str, run: int) -> float:
        """Returns when the lease of a run must end at the latest.

        It is over for a run that has ended.
        """
        known = self.runs.get((task, run))
        owner = None if known is None else self.owners.get(known.owner)
        if owner is None:
            return -math.inf
        return owner.authority_until_s + room_owners.STOP_ALLOWANCE_S

    # Schedulers.

    def owner_connected(self, name: str, alive_s: float) -> None:
        """Adds a scheduler whose stream has opened, and sends it its runs.

        The ends that were reported lately go first. They may have been lost
        with its earlier stream.

        Args:
            name: Its incarnation.
            alive_s: Time on the own clock at which it was certainly not
                paused.
        """
        owner = room_owners.Owner(name, alive_s + room_owners.AUTHORITY_S)
        self.owners[name] = owner
        active = tuple(
            messages.RunRef(*run.key)
            for run in self.runs.values()
            if run.owner == name
        )
        self.pending_actions += [
            actions.SendMessage(name, x, again=True)
            for x in self.reported_ends.of(name)
        ]
        self._send(name, messages.ActiveRuns(active))

    def owner_disconnected(self, name: str, now_s: float) -> None:
        """Drops the bids and offers of a scheduler whose stream broke.

        Also shortens its authority.
        """
        owner = self.owners.get(name)
        if owner is not None:
            owner.disconnect(now_s)

    def set_retiring(self, name: str, retiring: bool) -> None:
        """Stops giving capacity to a scheduler, or starts again."""
        owner = self.owners.get(name)
        if owner is not None:
            owner.retiring = retiring

    def set_reach(self, name: str, runners: int) -> None:
        """Notes how many runners are connected to a scheduler."""
        owner = self.owners.get(name)
        if owner is not None:
            owner.reach = runners

    def renewed_s(self, name: str) -> float:
        """Returns when a scheduler last renewed its authority."""
        owner = self.owners.get(name)
        if owner is None:
            return -math.inf
        return owner.authority_until_s - room_owners.AUTHORITY_S

    def has_runs(self, name: str) -> bool:
        """Returns whether a scheduler has runs or open offers."""
        owner = self.owners.get(name)
        reserved = owner is not None and bool(owner.reservations)
        return reserved or any(x.owner == name for x in self.runs.values())

    def renew_authority(self, name: str, alive_s: float) -> None:
        """Extends a scheduler's authority after it has shown that it lives.

        Args:
            name: Incarnation of the scheduler.
            alive_s: Time on the own clock at which it was certainly not
                paused: when the ping that it answers was sent, or as it says
                in an order.
        """
        owner = self.owners.get(name)
        if owner is not None and owner.connected:
            until_s = alive_s + room_owners.AUTHORITY_S
            owner.authority_until_s = max(owner.authority_until_s, until_s)

    def start_runs(
        self, name: str, message: messages.StartRuns, now_s: float
    ) -> None:
        """Starts the attempts that fit and refuses the others."""
        owner = self.owners.get(name)
        if owner is None:
            return
        self.renew_authority(name, message.alive_s)
        owner.starts_received += 1
        offer = owner.reservations.pop(message.offer, None)
        if offer is not None and not message.groups:
            owner.drop_bids(offer.urgency, keep_more_urgent=offer.backfill)
        rest = work.Demand() if offer is None else offer.capacity
        for group in message.groups:
            for order in group.orders:
                demand = order.room.demand
                offered = offer is not None and demand.fits_in(rest)
                if offered:
                    rest = rest.minus(demand)
                answered = offer if offered else None
                self._start(owner, group.payload, order, answered, now_s)

    def _start(
        self,
        owner: room_owners.Owner,
        payload: str,
        order: messages.RunOrder,
        offer: room_owners.Reservation | None,
        now_s: float,
    ) -> None:
        """Starts one attempt or reports it as not run.

        Args:
            owner: Scheduler that asks for it.
            payload: Text for the target.
            order: The attempt.
            offer: The open offer that is answered and has room for it, None
                if there is none.
            now_s: Current time.
        """
        reason = self._refusal(owner, order, offer, now_s)
        if reason:
            # The scheduler's view is out of date.
            owner.reported_s = -math.inf
            self._report_end(
                owner.name,
                order,
                work.Ending.NOT_RUN,
                reason,
                0.0,
                work.Evidence.NOT_RUN,
            )
            return
        demand = order.room.demand
        run = room_runs.Run(
            owner.name, order, demand, room_runs.RunState.STARTING, now_s
        )
        self.runs[run.key] = run
        self.backfilling.count_start(order, offer, now_s)
        self.target_health.record_start(run.key)
        owner.started.record(order.urgency, demand.cpu_millicores)
        self.pending_actions.append(
            actions.Start(order.task, order.run, payload)
        )

    def _refusal(
        self,
        owner: room_owners.Owner,
        order: messages.RunOrder,
        offer: room_owners.Reservation | None,
        now_s: float,
    ) -> str:
        """Returns why an attempt must not start, or an empty string.

        If other attempts at the same task still use capacity, they are stopped
        and this one is refused.
        """
        if self.evacuated:
            return "evacuated"
        if not self.usable:
            return "unusable"
        if now_s >= owner.authority_until_s:
            return "authority"
        duplicates = [
            x for x in self.runs.values() if x.order.task == order.task
        ]
        for duplicate in duplicates:
            self._stop(duplicate)
        if duplicates:
            return "duplicate"
        self.target_health.advance(now_s)
        if self.target_health.suspect and not (
            self._probe_allowed() or self._is_slow_as_expected(order)
        ):
            return "suspect"
        return self._room_refusal(order, offer, now_s)

    def _room_refusal(
        self,
        order: messages.RunOrder,
        offer: room_owners.Reservation | None,
        now_s: float,
    ) -> str:
        """Returns why there is no room for an attempt, or an empty string."""
        free = self.free()
        if not order.room.demand.fits_in(free):
            return "room"
        if offer is None:
            reserve = self.headroom.required_millicores(
                self._cpu_use(), order.urgency
            )
            if not order.room.demand.fits_in(
                room_headroom.usable(free, reserve)
            ):
                return "headroom"
        if self.backfilling.delays_blocked(
            order, offer, lambda demand: self._reserve(demand, now_s), now_s
        ):
            return "reserved"
        return ""

    def _is_slow_as_expected(self, order: messages.RunOrder) -> bool:
        """Returns whether an attempt may start although the target is slow."""
        reason = self.target_health.suspect_reason
        return order.may_be_slow and reason is health.SuspectReason.SLOW

    def _probe_allowed(self) -> bool:
        """Returns whether a suspect target may get a run now."""
        return not self.runs and self.target_health.probe_allowed()

    def stop_runs(self, name: str, message: messages.StopRuns) -> None:
        """Stops attempts at the request of the scheduler that owns them."""
        for ref in message.runs:
            run = self.runs.get((ref.task, ref.run))
            if run is not None and run.owner == name:
                self._stop(run, message.alive_s or math.inf)

    def update_bid(
        self, name: str, message: messages.Bid, now_s: float
    ) -> None:
        """Replaces the bids of a scheduler with its current waiting work."""
        owner = self.owners.get(name)
        if owner is not None:
            owner.bids = room_owners.bids_of(message, now_s)

    def tick(self, now_s: float) -> None:
        """Removes expired offers and stops runs whose scheduler lost authority.

        Also updates the average CPU use, the rate of freed CPU and the usable
        share of the target, and forgets old ends.
        """
        self.usable_share = self.warm_up.share(now_s)
        self.reported_ends.expire(now_s)
        self.headroom.update(self._cpu_use(), now_s)
        self.freed_cpu_rate.decay(now_s)
        self.target_health.advance(now_s)
        if self.target_speed.tick(now_s):
            self.target_health.set_usual_speed(self.target_speed.speed)
        for owner in list(self.owners.values()):
            owner.started.decay(now_s)
            if owner.reservations:
                owner.expire_reservations(now_s)
            if now_s >= owner.authority_until_s:
                self._expire_owner(owner)

    def _expire_owner(self, owner: room_owners.Owner) -> None:
        """Stops all runs of a scheduler whose authority has expired.

        Its jobs may have been sent to another scheduler. A scheduler with
        neither a stream nor runs is removed.
        """
        owned = [x for x in self.runs.values() if x.owner == owner.name]
        # Its callers may have left as soon as it was not heard any more.
        since_s = owner.authority_until_s - room_owners.AUTHORITY_S
        for run in owned:
            self._stop(run, since_s)
        if not owner.connected and not owned:
            del self.owners[owner.name]

    def _stop(self, run: room_runs.Run, since_s: float = math.inf) -> None:
        """Queues the stop of a run, unless it is being stopped already.

        Args:
            run: The run.
            since_s: Time from which it may have had to stop, infinite for now.
        """
        if run.state is not room_runs.RunState.STOPPING:
            run.state = room_runs.RunState.STOPPING
            self.pending_actions.append(actions.Stop(*run.key, since_s))

    # Capacity.

    def offer_capacity(self, now_s: float) -> None:
        """Reserves free capacity for the most urgent bids and sends the offers.

        A suspect target takes one task at a time: an offer for the next task
        is made only while it has no runs, the bidder has no open offer and a
        probe is due.
        """
        if not self.usable or not any(x.bids for x in self.owners.values()):
            self.backfilling.look(now_s)
            return
        inputs = offers.OfferInputs(
            self.target.capacity,
            self.free(),
            functools.cache(
                lambda urgency: self.headroom.required_millicores(
                    self._cpu_use(), urgency
                )
            ),
            self.target_health.suspect,
            not self._probe_allowed(),
            lambda demand: self._reserve(demand, now_s),
            now_s,
        )
        for grant in offers.grants(
            self.owners.values(), inputs, self.backfilling
        ):
            self._offer(grant, now_s)

    def _reserve(
        self, demand: work.Demand, now_s: float
    ) -> backfill.Reservation | None:
        """Returns the reservation of a task that does not fit now."""
        ends = [
            (self.backfilling.observed.ends_by_s(x, now_s), x.demand)
            for x in self.runs.values()
        ]
        for owner in self.owners.values():
            ends += [
                (x.ends_by_s, x.capacity) for x in owner.reservations.values()
            ]
        return backfill.reserve(demand, self.free(), ends)

    def _offer(self, grant: offers.Grant, now_s: float) -> None:
        """Reserves capacity and sends the offer to the scheduler."""
        self.last_offer += 1
        grant.owner.reservations[self.last_offer] = room_owners.Reservation(
            self.last_offer,
            grant.urgency,
            grant.capacity,
            now_s + offers.OFFER_TIMEOUT_S,
            grant.backfill,
            grant.ends_by_s,
        )
        self._send(
            grant.owner.name,
            messages.Offer(
                self.last_offer,
                grant.urgency,
                messages.Room.of(grant.capacity),
                *self.backfilling.offered_limit(grant.ends_by_s, now_s),
                grant.backfill,
            ),
        )

    def _cpu_use(self) -> list[tuple[int, int]]:
        """Returns urgency class and millicores of each run."""
        return [
            (x.order.urgency, x.demand.cpu_millicores)
            for x in self.runs.values()
        ]

    def report_capacity(self, now_s: float) -> None:
        """Reports the capacity to each scheduler whose last report differs.

        Reports to a scheduler are spaced, the more so the more schedulers
        there are, unless whether it may use the target has changed. They go
        along with the ends of its runs, in the same write.
        """
        usable, suspect = self.usable, self.target_health.suspect
        probe_due = not suspect or self._probe_allowed()
        slow = self.target_health.suspect_reason is health.SuspectReason.SLOW
        connected = [x for x in self.owners.values() if x.connected]
        free = self.free()
        due = reporting.due_owners(connected, usable, suspect, free, now_s)
        if not due:
            return
        capacity = self.target.capacity if self.target else work.Demand()
        # What all reports have in common is converted once.
        rooms = messages.Room.of(capacity), messages.Room.of(free)
        for owner in due:
            owner.run_ended = False
            report = messages.CapacityReport(
                owner.starts_received,
                usable and not owner.retiring,
                suspect,
                self.target.service if self.target else "",
                *rooms,
                self.freed_cpu_rate.quantized(),
                reporting.competing_cpu(self.owners.values(), owner),
                len(connected),
                reporting.others_started(self.owners.values(), owner),
                self.target_speed.code,
                probe_due,
                slow,
            )
            if reporting.is_news(report, owner.last_report):
                owner.last_report = report
                owner.reported_s = now_s
                self._send(owner.name, report)

    def _send(self, owner: str, message: object) -> None:
        """Queues a message to the scheduler `owner`."""
        self.pending_actions.append(actions.SendMessage(owner, message))
