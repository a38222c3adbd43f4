"""Ejection of agents and stopping of kinds by statistics of outcomes.

An agent that fails at once looks idle and attracts work, so its outcomes are
compared with those of the other agents for the same kinds. A kind that fails
on most agents is stopped instead. This module sends nothing and knows no
jobs; the entry carries out what `check` returns.
"""

import attrs

from trefoilgw.membership import changes
from trefoilgw.membership import windows

# Tasks in an agent's windows before it is judged.
SAMPLE_TASKS = 20.0
# Failure share above the other agents' median from which on it is ejected.
EXCESS_SHARE = 0.5
# Share of the known agents that may be out of full service at once.
EJECTED_LIMIT = 0.3
EJECTION_FIRST_S = 10.0
EJECTION_LIMIT_S = 300.0
# Full service for so long makes the next ejection a first one again.
EJECTION_FORGET_S = 300.0
PROBATION_SUCCESSES = 5
# A kind may fail now and then by itself; two failures before five successes
# end the probation.
PROBATION_FAILURES = 2

# An agent fails a kind if at least this share of the kind's tasks fails.
FAILING_SHARE = 0.5
# A kind is stopped if at least this share of its agents fails it.
POISON_SHARE = 0.5
# Distinct agents that must have failed a kind before it is stopped; one
# black-hole agent that attracts most tasks counts once.
POISON_AGENTS = 3
POISON_STOP_S = 30.0
# Windows that have faded below this weight are deleted.
FORGOTTEN_OUTCOMES = 0.5
SWEEP_INTERVAL_S = 10.0


@attrs.define
class OutlierDetector:
    """Outcome statistics and the state of ejections.

    Attributes:
        agents: Record per agent incarnation.
        kinds: Record per kind.
        suspects: Agents whose windows may justify an ejection.
        suspect_kinds: Kinds that enough agents fail.
        limited: Agents ejected or on probation.
        last_sweep_s: When faded windows were last deleted.

    Notes:
        `observe` costs O(1). `check` looks at suspects only: O(s log n) for s
        suspects among n agents, plus a sweep of all windows every 10 s.
    """

    agents: dict[str, windows.AgentRecord] = attrs.field(factory=dict)
    kinds: dict[str, windows.KindRecord] = attrs.field(factory=dict)
    suspects: set[str] = attrs.field(factory=set)
    suspect_kinds: set[str] = attrs.field(factory=set)
    limited: set[str] = attrs.field(factory=set)
    last_sweep_s: float = 0.0

    def agent_joined(self, agent: str) -> None:
        """Counts an agent for the ejection limit before its first outcome."""
        self.agents.setdefault(agent, windows.AgentRecord())

    def agent_left(self, agent: str) -> None:
        """Forgets an agent; the next check keeps to the lower limit."""
        record = self.agents.pop(agent, None)
        if record is None:
            return
        self._clear_windows(agent, record)
        self.limited.discard(agent)

    def observe(
        self, agent: str, kind: str, failed: bool, now_s: float
    ) -> None:
        """Records the outcome of one task that ran.

        Args:
            agent: Incarnation of the agent that ran it.
            kind: Kind of the task.
            failed: True for `Failed`, False for `Completed`. Other fates
                say nothing about the target and are not reported here.
            now_s: Monotonic time in seconds.
        """
        record = self.agents.setdefault(agent, windows.AgentRecord())
        if record.ejected_until_s is not None:
            return
        stats = self.kinds.setdefault(kind, windows.KindRecord())
        if stats.stopped_until_s is not None:
            self._observe_stopped(stats, failed, now_s)
            return
        if record.on_probation:
            record.successes += not failed
            record.failures += failed and not stats.often_fails
            return
        window = record.windows.get(kind)
        if window is None:
            window = windows.Window(0.0, 0.0, now_s)
            record.windows[kind] = window
            stats.windows[agent] = window
        window.observe(failed, now_s)
        self._update_suspicion(agent, kind, stats, window)

    def admit_kind(self, kind: str, now_s: float) -> bool:
        """Tells whether a new job of the kind is accepted.

        A stopped kind answers False for 30 s and then True once, for the
        probe job; its first outcome releases the kind or stops it anew.
        """
        stats = self.kinds.get(kind)
        if stats is None or stats.stopped_until_s is None:
            return True
        if now_s < stats.stopped_until_s:
            return False
        stats.probing = True
        # If the probe's outcome never arrives, another one follows.
        stats.stopped_until_s = now_s + POISON_STOP_S
        return True

    def retry_after_s(self, kind: str, now_s: float) -> float:
        """Returns the seconds until a stopped kind is probed, else 0."""
        stats = self.kinds.get(kind)
        if stats is None or stats.stopped_until_s is None:
            return 0.0
        return max(0.0, stats.stopped_until_s - now_s)

    def check(self, now_s: float) -> tuple[changes.Change, ...]:
        """Returns what changed since the last check.

        Args:
            now_s: Monotonic time in seconds; to be called about once a
                second.

        Returns:
            Kinds stopped and released first: an agent is not ejected for a
            kind that was just found to be poison.
        """
        if now_s - self.last_sweep_s >= SWEEP_INTERVAL_S:
            self._sweep(now_s)
        found: list[changes.Change] = self._check_kinds(now_s)
        found += self._check_probations(now_s)
        found += self._keep_limit(now_s)
        found += self._eject_outliers(now_s)
        return tuple(found)

    def _observe_stopped(
        self, stats: windows.KindRecord, failed: bool, now_s: float
    ) -> None:
        """Takes the first outcome of a probe; ignores earlier work."""
        if not stats.probing:
            return
        stats.probing = False
        if failed:
            stats.stopped_until_s = now_s + POISON_STOP_S
        else:
            stats.released = True

    def _update_suspicion(
        self,
        agent: str,
        kind: str,
        stats: windows.KindRecord,
        window: windows.Window,
    ) -> None:
        """Keeps the sets of suspects up to date after one outcome."""
        failing = (
            window.outcomes >= windows.COMPARED_OUTCOMES
            and window.share >= FAILING_SHARE
        )
        if not failing:
            stats.failing.discard(agent)
            return
        stats.failing.add(agent)
        self.suspects.add(agent)
        if len(stats.failing) >= self._poison_agents():
            self.suspect_kinds.add(kind)

    def _poison_agents(self) -> int:
        """Returns how many agents must fail a kind, fewer in a small fleet."""
        return min(POISON_AGENTS, max(1, len(self.agents)))

    def _check_kinds(self, now_s: float) -> list:
        """Releases probed kinds and stops poison kinds."""
        found: list[changes.Change] = []
        for kind, stats in self.kinds.items():
            if stats.released:
                stats.released = False
                stats.stopped_until_s = None
                found.append(changes.KindReleased(kind))
        for kind in sorted(self.suspect_kinds):
            poison = self._judge_kind(kind)
            if poison is not None:
                self.kinds[kind].stopped_until_s = now_s + POISON_STOP_S
                self._clear_kind(kind)
                found.append(poison)
        self.suspect_kinds.clear()
        return found

    def _judge_kind(self, kind: str) -> changes.PoisonKind | None:
        """Decides whether the kind rather than its agents is at fault.

        Agents that also fail their other kinds are no evidence against this
        one, as long as there are agents that run their other kinds well.
        """
        stats = self.kinds[kind]
        ran = [
            agent
            for agent, window in stats.windows.items()
            if window.outcomes >= windows.COMPARED_OUTCOMES
        ]
        failing = [agent for agent in ran if agent in stats.failing]
        if len(failing) < max(self._poison_agents(), POISON_SHARE * len(ran)):
            return None
        sound = [agent for agent in ran if self._runs_others_well(agent, kind)]
        sound_failing = sum(agent in stats.failing for agent in sound)
        if sound and sound_failing < POISON_SHARE * len(sound):
            return None
        return changes.PoisonKind(kind, len(ran), len(failing))

    def _runs_others_well(self, agent: str, kind: str) -> bool:
        """Tells whether an agent ran another kind and mostly completed it."""
        outcomes = failures = 0.0
        for other, window in self.agents[agent].windows.items():
            if other != kind:
                outcomes += window.outcomes
                failures += window.failures
        return (
            outcomes >= windows.COMPARED_OUTCOMES
            and failures < FAILING_SHARE * outcomes
        )

    def _check_probations(self, now_s: float) -> list:
        """Starts and ends probations."""
        found: list[changes.Change] = []
        for agent in sorted(self.limited):
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

    def _keep_limit(self, now_s: float) -> list:
        """Readmits agents while too many are limited, as others left."""
        found: list[changes.Change] = []
        limit = self._limit()
        while len(self.limited) > limit:
            agent = min(
                self.limited,
                key=lambda name: (self.agents[name].ejections, name),
            )
            found.append(self._readmit(agent, now_s))
        return found

    def _eject_outliers(self, now_s: float) -> list:
        """Ejects suspects, the worst first, as far as the limit allows."""
        found = []
        shares: dict[str, windows.Shares] = {}
        for agent in sorted(self.suspects):
            record = self.agents.get(agent)
            if record is None or not record.in_full_service:
                self.suspects.discard(agent)
                continue
            own, expected = self._compare(agent, record, shares, now_s)
            if own is None:
                continue
            if own - expected >= EXCESS_SHARE:
                found.append((expected - own, agent, own, expected))
            elif own < FAILING_SHARE:
                self.suspects.discard(agent)
        found.sort()
        room = max(0, self._limit() - len(self.limited))
        return [
            self._eject(agent, own, expected, now_s)
            for _, agent, own, expected in found[:room]
        ]

    def _compare(
        self,
        agent: str,
        record: windows.AgentRecord,
        shares: dict[str, windows.Shares],
        now_s: float,
    ) -> tuple[float | None, float]:
        """Returns an agent's failure share and the share expected of it.

        Only kinds that enough other agents ran are compared. The first part
        is None while the sample is too small.
        """
        outcomes = failures = expected = 0.0
        for kind, window in record.windows.items():
            window.fade(now_s)
            median = self._others_median(kind, window, shares)
            if median is not None:
                outcomes += window.outcomes
                failures += window.failures
                expected += window.outcomes * median
        if outcomes < SAMPLE_TASKS:
            return None, 0.0
        return failures / outcomes, expected / outcomes

    def _others_median(
        self,
        kind: str,
        window: windows.Window,
        shares: dict[str, windows.Shares],
    ) -> float | None:
        """Returns the other agents' median failure share for a kind.

        One other agent is enough: under light load an entry uses its own
        failure domain only, which may have two agents.
        """
        if kind not in shares:
            shares[kind] = self.kinds[kind].shares()
        counted = window.outcomes >= windows.COMPARED_OUTCOMES
        others = len(shares[kind].values) - counted
        if not others:
            return None
        return shares[kind].median_without(window.share if counted else None)

    def _eject(
        self, agent: str, own: float, expected: float, now_s: float
    ) -> changes.Eject:
        """Ejects an agent, twice as long as the time before."""
        record = self.agents[agent]
        if record.in_full_service:
            served_s = now_s - record.readmitted_s
            if served_s > EJECTION_FORGET_S:
                record.ejections = 0
        duration_s = min(
            EJECTION_LIMIT_S, EJECTION_FIRST_S * 2.0**record.ejections
        )
        record.ejections += 1
        record.ejected_until_s = now_s + duration_s
        record.on_probation = False
        self._clear_windows(agent, record)
        self.limited.add(agent)
        return changes.Eject(agent, duration_s, own, expected)

    def _readmit(self, agent: str, now_s: float) -> changes.Readmit:
        """Puts an agent back into full service with an empty record."""
        record = self.agents[agent]
        record.ejected_until_s = None
        record.on_probation = False
        record.readmitted_s = now_s
        self.limited.discard(agent)
        return changes.Readmit(agent)

    def _limit(self) -> int:
        """Returns how many agents may be out of full service."""
        return int(EJECTED_LIMIT * len(self.agents) + 1e-9)

    def _clear_windows(self, agent: str, record: windows.AgentRecord) -> None:
        """Deletes an agent's windows."""
        for kind in record.windows:
            stats = self.kinds[kind]
            stats.windows.pop(agent, None)
            stats.failing.discard(agent)
        record.windows.clear()
        self.suspects.discard(agent)

    def _clear_kind(self, kind: str) -> None:
        """Deletes a kind's windows, so that no agent is judged by them."""
        stats = self.kinds[kind]
        for agent in stats.windows:
            self.agents[agent].windows.pop(kind, None)
        stats.windows.clear()
        stats.failing.clear()

    def _sweep(self, now_s: float) -> None:
        """Deletes windows that have faded."""
        self.last_sweep_s = now_s
        for agent, record in self.agents.items():
            for kind in list(record.windows):
                window = record.windows[kind]
                window.fade(now_s)
                if window.outcomes < FORGOTTEN_OUTCOMES:
                    del record.windows[kind]
                    del self.kinds[kind].windows[agent]
                    self.kinds[kind].failing.discard(agent)
        for kind in list(self.kinds):
            stats = self.kinds[kind]
            if not stats.windows and stats.stopped_until_s is None:
                del self.kinds[kind]
