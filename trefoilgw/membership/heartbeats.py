"""Suspicion and removal of agents by silence.

The entry reports every message of an agent and checks at least twice a
second. This module opens no connection and ends none; it returns what
changed.
"""

import collections

import attrs

# Silence after which an agent gets no new work.
SUSPICION_S = 2.0
# Silence after which an agent is removed: its lease of 3 s counts from the
# last ping that was answered, plus 10% for clock drift.
REMOVAL_S = 3.3
# Time between two calls that counts as silence of the agents. A longer gap
# is a pause of this process, in which it could not have heard anyone; if it
# counted, one pause would remove the whole fleet and fail its jobs.
COUNTED_GAP_S = 1.0


@attrs.frozen
class Suspected:
    """The agent was silent for 2 s; nothing new is sent to it."""

    agent: str


@attrs.frozen
class Recovered:
    """A suspected agent was heard again."""

    agent: str


@attrs.frozen
class Removed:
    """The agent was silent for 3.3 s; nothing it got starts any more."""

    agent: str


@attrs.define
class HeartbeatMonitor:
    """Silence of each agent.

    Attributes:
        heard_s: Awake time at which each agent was last heard, oldest first.
        suspected: Agents under suspicion.
        recovered: Agents heard again since the last check.
        awake_s: Seconds that this process was able to hear agents.
        last_call_s: Monotonic time of the last call, None before the first.

    Notes:
        Agents are kept in the order in which they were last heard, so a call
        costs O(1) plus O(changes).
    """

    heard_s: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )
    suspected: set[str] = attrs.field(factory=set)
    recovered: list[str] = attrs.field(factory=list)
    awake_s: float = 0.0
    last_call_s: float | None = None

    def message_received(self, agent: str, now_s: float) -> None:
        """Records that a message of an agent arrived; adds a new agent."""
        self._advance(now_s)
        self.heard_s[agent] = self.awake_s
        self.heard_s.move_to_end(agent)
        if agent in self.suspected:
            self.suspected.remove(agent)
            self.recovered.append(agent)

    def agent_left(self, agent: str) -> None:
        """Forgets an agent that left or whose stream was given up."""
        self.heard_s.pop(agent, None)
        self.suspected.discard(agent)
        if agent in self.recovered:
            self.recovered.remove(agent)

    def check(
        self, now_s: float
    ) -> tuple[Suspected | Recovered | Removed, ...]:
        """Returns what changed since the last check.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Recoveries first, then removals and new suspicions, each of these
            in the order of silence. A removed agent is forgotten.
        """
        self._advance(now_s)
        changes: list[Suspected | Recovered | Removed] = [
            Recovered(agent) for agent in self.recovered
        ]
        self.recovered.clear()
        changes += self._remove_silent()
        changes += self._suspect_silent()
        return tuple(changes)

    def _advance(self, now_s: float) -> None:
        """Moves the awake time on, without the pauses of this process."""
        if self.last_call_s is not None:
            gap_s = max(0.0, now_s - self.last_call_s)
            self.awake_s += min(gap_s, COUNTED_GAP_S)
        self.last_call_s = now_s

    def _remove_silent(self) -> list[Removed]:
        """Forgets agents that were silent for too long."""
        removed = []
        while self.heard_s:
            agent, heard_s = next(iter(self.heard_s.items()))
            if self.awake_s - heard_s < REMOVAL_S:
                break
            del self.heard_s[agent]
            self.suspected.discard(agent)
            removed.append(Removed(agent))
        return removed

    def _suspect_silent(self) -> list[Suspected]:
        """Marks agents whose silence reached the suspicion limit."""
        found = []
        for agent, heard_s in self.heard_s.items():
            if self.awake_s - heard_s < SUSPICION_S:
                break
            if agent not in self.suspected:
                self.suspected.add(agent)
                found.append(Suspected(agent))
        return found
