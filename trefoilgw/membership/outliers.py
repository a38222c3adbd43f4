"""Outlier detection: ejects agents and stops kinds by their failure rates.

An agent whose tasks fail immediately looks idle and attracts more work (a
black hole), so its failure share is compared with that of the other agents for
the same kinds. A kind that fails on most agents is stopped instead. This module
sends no messages and keeps no jobs; the entry applies the changes that `check`
returns.
"""

import attrs

from trefoilgw.membership import changes
from trefoilgw.membership import windows

# Weight of outcomes in an agent's windows below which it is not ejected.
MIN_SAMPLE_TASKS = 20.0
# An agent is ejected if its failure share exceeds the other agents' median by
# at least this.
MIN_EXCESS_SHARE = 0.5
# Share of the known agents that may be ejected or on probation at once.
MAX_RESTRICTED_SHARE = 0.3
# The first ejection lasts this long; each further one lasts twice as long as
# the one before, up to the maximum.
BASE_EJECTION_S = 10.0
MAX_EJECTION_S = 300.0
# After this time in full service the next ejection counts as the first again.
EJECTION_RESET_S = 300.0
# Completed tasks after which an agent on probation is readmitted.
PROBATION_SUCCESSES = 5
# Failed tasks after which an agent on probation is ejected again. One failure
# before the five successes is tolerated, since a kind may fail occasionally by
# itself.
PROBATION_FAILURES = 2

# A kind fails on an agent if at least this share of its tasks there fails.
MIN_FAILING_SHARE = 0.5
# A kind is stopped if it fails on at least this share of its agents.
MIN_POISON_SHARE = 0.5
# Distinct agents on which a kind must fail before it is stopped. Agents are
# counted rather than tasks, because a single black-hole agent can attract most
# of the tasks.
MIN_POISON_AGENTS = 3
# Time after which a stopped kind is probed.
POISON_STOP_S = 30.0
# Windows that have decayed below this weight are deleted.
MIN_KEPT_OUTCOMES = 0.5
SWEEP_INTERVAL_S = 10.0


@attrs.define
class OutlierDetector:
    """Outcome statistics and the state of ejections and stopped kinds.

    Attributes:
        agents: Record of each agent, by incarnation.
        kinds: Record of each kind, by name.
        ejection_candidates: Agents whose windows may justify an ejection.
        poison_candidates: Kinds that fail on enough agents to be checked.
        restricted: Agents ejected or on probation.
        last_sweep_s: Monotonic time of the last deletion of decayed windows.

    Notes:
        `observe` costs O(1). `check` examines only candidates: O(s log n) for
        s candidates among n agents, plus a sweep of all windows every 10 s.
    """

    agents: dict[str, windows.AgentRecord] = attrs.field(factory=dict)
    kinds: dict[str, windows.KindRecord] = attrs.field(factory=dict)
    ejection_candidates: set[str] = attrs.field(factory=set)
    poison_candidates: set[str] = attrs.field(factory=set)
    restricted: set[str] = attrs.field(factory=set)
    last_sweep_s: float = 0.0

    def agent_joined(self, agent: str) -> None:
        """Adds an agent, which counts at once for the limit of ejections."""
        self.agents.setdefault(agent, windows.AgentRecord())

    def agent_left(self, agent: str) -> None:
        """Forgets an agent; the next check enforces the lower limit."""
        record = self.agents.pop(agent, None)
        if record is None:
            return
        self._clear_windows(agent, record)
        self.restricted.discard(agent)

    def observe(
        self, agent: str, kind: str, failed: bool, now_s: float
    ) -> None:
        """Records the outcome of one task that ran.

        Args:
            agent: Incarnation of the agent that ran it.
            kind: Kind of the task.
            failed: True for `Failed`, False for `Completed`. Other outcomes
                say nothing about the target and are not reported here.
            now_s: Monotonic time in seconds.
        """
        record = self.agents.setdefault(agent, windows.AgentRecord())
        if record.ejected_until_s is not None:
            return
        kind_record = self.kinds.setdefault(kind, windows.KindRecord())
        if kind_record.stopped_until_s is not None:
            self._observe_stopped_kind(kind_record, failed, now_s)
            return
        if record.on_probation:
            record.successes += not failed
            record.failures += failed and not kind_record.often_fails
            return
        window = record.windows.get(kind)
        if window is None:
            window = windows.Window(0.0, 0.0, now_s)
            record.windows[kind] = window
            kind_record.windows[agent] = window
        window.observe(failed, now_s)
        self._update_candidates(agent, kind, kind_record, window)

    def admit_kind(self, kind: str, now_s: float) -> bool:
        """Returns whether a new job of the kind may be accepted.

        For a stopped kind, returns False for 30 s and then True once, which
        permits a probe job. The first outcome of the probe releases the kind or
        stops it for another 30 s.

        Args:
            kind: Kind of the job.
            now_s: Monotonic time in seconds.
        """
        kind_record = self.kinds.get(kind)
        if kind_record is None or kind_record.stopped_until_s is None:
            return True
        if now_s < kind_record.stopped_until_s:
            return False
        kind_record.probing = True
        # Permits another probe if this one's outcome never arrives.
        kind_record.stopped_until_s = now_s + POISON_STOP_S
        return True

    def retry_after_s(self, kind: str, now_s: float) -> float:
        """Returns the seconds until a probe of a stopped kind, else 0."""
        kind_record = self.kinds.get(kind)
        if kind_record is None or kind_record.stopped_until_s is None:
            return 0.0
        return max(0.0, kind_record.stopped_until_s - now_s)

    def check(self, now_s: float) -> tuple[changes.Change, ...]:
        """Updates ejections and stopped kinds; call it about once a second.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Changes since the last check. Kinds come first, so that an agent is
            not ejected for failures of a kind that is stopped by this check.
        """
        if now_s - self.last_sweep_s >= SWEEP_INTERVAL_S:
            self._delete_decayed_windows(now_s)
        found: list[changes.Change] = self._check_kinds(now_s)
        found += self._check_probations(now_s)
        found += self._enforce_restriction_limit(now_s)
        found += self._eject_outliers(now_s)
        return tuple(found)

    def _observe_stopped_kind(
        self, kind_record: windows.KindRecord, failed: bool, now_s: float
    ) -> None:
        """Records the first outcome of a probe; ignores outcomes before it."""
        if not kind_record.probing:
            return
        kind_record.probing = False
        if failed:
            kind_record.stopped_until_s = now_s + POISON_STOP_S
        else:
            kind_record.released = True

    def _update_candidates(
        self,
        agent: str,
        kind: str,
        kind_record: windows.KindRecord,
        window: windows.Window,
    ) -> None:
        """Updates the sets of candidates after one outcome."""
        failing = (
            window.outcomes >= windows.MIN_COMPARED_OUTCOMES
            and window.failure_share >= MIN_FAILING_SHARE
        )
        if not failing:
            kind_record.failing.discard(agent)
            return
        kind_record.failing.add(agent)
        self.ejection_candidates.add(agent)
        if len(kind_record.failing) >= self._min_poison_agents():
            self.poison_candidates.add(kind)

    def _min_poison_agents(self) -> int:
        """Returns on how many agents a kind must fail before it is checked.

        A fleet smaller than `MIN_POISON_AGENTS` needs all its agents.
        """
        return min(MIN_POISON_AGENTS, max(1, len(self.agents)))

    def _check_kinds(self, now_s: float) -> list:
        """Releases kinds whose probe succeeded and stops poison kinds."""
        found: list[changes.Change] = []
        for kind, kind_record in self.kinds.items():
            if kind_record.released:
                kind_record.released = False
                kind_record.stopped_until_s = None
                found.append(changes.KindReleased(kind))
        for kind in sorted(self.poison_candidates):
            poison = self._detect_poison_kind(kind)
            if poison is not None:
                self.kinds[kind].stopped_until_s = now_s + POISON_STOP_S
                self._clear_kind(kind)
                found.append(poison)
        self.poison_candidates.clear()
        return found

    def _detect_poison_kind(self, kind: str) -> changes.PoisonKind | None:
        """Returns the stop of a kind if the kind itself is at fault.

        Agents on which other kinds fail too are not counted as evidence against
        this kind, provided that other kinds mostly succeed on some agents.
        """
        kind_record = self.kinds[kind]
        ran = [
            agent
            for agent, window in kind_record.windows.items()
            if window.outcomes >= windows.MIN_COMPARED_OUTCOMES
        ]
        failing = [agent for agent in ran if agent in kind_record.failing]
        if len(failing) < max(
            self._min_poison_agents(), MIN_POISON_SHARE * len(ran)
        ):
            return None
        healthy = [
            agent for agent in ran if self._succeeds_at_other_kinds(agent, kind)
        ]
        healthy_failing = sum(agent in kind_record.failing for agent in healthy)
        if healthy and healthy_failing < MIN_POISON_SHARE * len(healthy):
            return None
        return changes.PoisonKind(kind, len(ran), len(failing))

    def _succeeds_at_other_kinds(self, agent: str, kind: str) -> bool:
        """Returns whether other kinds ran on the agent and mostly succeeded."""
        outcomes = failures = 0.0
        for other, window in self.agents[agent].windows.items():
            if other != kind:
                outcomes += window.outcomes
                failures += window.failures
        return (
            outcomes >= windows.MIN_COMPARED_OUTCOMES
            and failures < MIN_FAILING_SHARE * outcomes
        )

    def _check_probations(self, now_s: float) -> list:
        """Starts the probations that are due and ends the completed ones."""
        found: list[changes.Change] = []
        for agent in sorted(self.restricted):
            record = self.agents[agent]
            if record.ejected_until_s is not None:
                if now_s >= record.ejected_until_s:
                    record.ejected_until_s = None
                    record.on_probation = True
                    record.successes = record.failures = 0
                    found.append(changes.Probe(agent))
            elif record.failures >= PROBATION_FAILURES:
                found.append(self._eject(agent, 1.0, 0.0, now_s))
            elif record.successes >= PROBATION_SUCCESSES:
                found.append(self._readmit(agent, now_s))
        return found

    def _enforce_restriction_limit(self, now_s: float) -> list:
        """Readmits agents while too many are restricted, as others left.

        Agents with the fewest consecutive ejections come first.
        """
        found: list[changes.Change] = []
        limit = self._max_restricted_agents()
        while len(self.restricted) > limit:
            agent = min(
                self.restricted,
                key=lambda name: (self.agents[name].ejections, name),
            )
            found.append(self._readmit(agent, now_s))
        return found

    def _eject_outliers(self, now_s: float) -> list:
        """Ejects outliers, the worst first, as far as the limit allows."""
        found = []
        shares: dict[str, windows.FailureShares] = {}
        for agent in sorted(self.ejection_candidates):
            record = self.agents.get(agent)
            if record is None or not record.in_full_service:
                self.ejection_candidates.discard(agent)
                continue
            own, expected = self._compare_with_others(
                agent, record, shares, now_s
            )
            if own is None:
                continue
            if own - expected >= MIN_EXCESS_SHARE:
                found.append((expected - own, agent, own, expected))
            elif own < MIN_FAILING_SHARE:
                self.ejection_candidates.discard(agent)
        found.sort()
        free_places = max(
            0, self._max_restricted_agents() - len(self.restricted)
        )
        return [
            self._eject(agent, own, expected, now_s)
            for _, agent, own, expected in found[:free_places]
        ]

    def _compare_with_others(
        self,
        agent: str,
        record: windows.AgentRecord,
        shares: dict[str, windows.FailureShares],
        now_s: float,
    ) -> tuple[float | None, float]:
        """Returns an agent's failure share and its expected failure share.

        The expected share is the mean of the other agents' medians, weighted by
        the agent's outcomes per kind. Kinds that no other agent ran are left
        out.

        Args:
            agent: Incarnation of the agent.
            record: Its record; its windows are decayed up to `now_s`.
            shares: Cache of the failure shares by kind; missing kinds are
                added.
            now_s: Monotonic time in seconds.

        Returns:
            Both shares, 0 to 1; None and 0 if the sample is too small.
        """
        outcomes = failures = expected = 0.0
        for kind, window in record.windows.items():
            window.decay(now_s)
            median = self._others_median(kind, window, shares)
            if median is not None:
                outcomes += window.outcomes
                failures += window.failures
                expected += window.outcomes * median
        if outcomes < MIN_SAMPLE_TASKS:
            return None, 0.0
        return failures / outcomes, expected / outcomes

    def _others_median(
        self,
        kind: str,
        window: windows.Window,
        shares: dict[str, windows.FailureShares],
    ) -> float | None:
        """Returns the other agents' median failure share for a kind.

        One other agent is enough: under light load an entry uses only its own
        failure domain, which may have two agents.

        Returns:
            The lower median, or None if no other agent ran the kind recently.
        """
        if kind not in shares:
            shares[kind] = self.kinds[kind].failure_shares()
        counted = window.outcomes >= windows.MIN_COMPARED_OUTCOMES
        others = len(shares[kind].values) - counted
        if not others:
            return None
        return shares[kind].median_without(
            window.failure_share if counted else None
        )

    def _eject(
        self, agent: str, own: float, expected: float, now_s: float
    ) -> changes.Eject:
        """Ejects an agent; the time doubles with each consecutive ejection."""
        record = self.agents[agent]
        if record.in_full_service:
            served_s = now_s - record.readmitted_s
            if served_s > EJECTION_RESET_S:
                record.ejections = 0
        duration_s = min(
            MAX_EJECTION_S, BASE_EJECTION_S * 2.0**record.ejections
        )
        record.ejections += 1
        record.ejected_until_s = now_s + duration_s
        record.on_probation = False
        self._clear_windows(agent, record)
        self.restricted.add(agent)
        return changes.Eject(agent, duration_s, own, expected)

    def _readmit(self, agent: str, now_s: float) -> changes.Readmit:
        """Returns an agent to full service; its windows start empty."""
        record = self.agents[agent]
        record.ejected_until_s = None
        record.on_probation = False
        record.readmitted_s = now_s
        self.restricted.discard(agent)
        return changes.Readmit(agent)

    def _max_restricted_agents(self) -> int:
        """Returns how many agents may be ejected or on probation."""
        return int(MAX_RESTRICTED_SHARE * len(self.agents) + 1e-9)

    def _clear_windows(self, agent: str, record: windows.AgentRecord) -> None:
        """Deletes an agent's windows and removes it from the candidates."""
        for kind in record.windows:
            kind_record = self.kinds[kind]
            kind_record.windows.pop(agent, None)
            kind_record.failing.discard(agent)
        record.windows.clear()
        self.ejection_candidates.discard(agent)

    def _clear_kind(self, kind: str) -> None:
        """Deletes a kind's windows, so that no agent is ejected for it."""
        kind_record = self.kinds[kind]
        for agent in kind_record.windows:
            self.agents[agent].windows.pop(kind, None)
        kind_record.windows.clear()
        kind_record.failing.clear()

    def _delete_decayed_windows(self, now_s: float) -> None:
        """Deletes decayed windows, then kinds without windows or a stop."""
        self.last_sweep_s = now_s
        for agent, record in self.agents.items():
            for kind in list(record.windows):
                window = record.windows[kind]
                window.decay(now_s)
                if window.outcomes < MIN_KEPT_OUTCOMES:
                    del record.windows[kind]
                    del self.kinds[kind].windows[agent]
                    self.kinds[kind].failing.discard(agent)
        for kind in list(self.kinds):
            kind_record = self.kinds[kind]
            if not kind_record.windows and kind_record.stopped_until_s is None:
                del self.kinds[kind]
