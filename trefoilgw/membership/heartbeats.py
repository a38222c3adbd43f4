"""Heartbeat-based failure detection of agents.

An agent from which no message arrives is first suspected and then removed.
The entry reports every message of an agent and calls `check` at least twice a
second. This module neither opens nor closes connections; it only returns the
changes.
"""

import collections

import attrs

# Time without a message after which an agent gets no new work.
SUSPICION_TIMEOUT_S = 2.0
# Time without a message after which an agent is removed: the agent's lease of
# 3 s, which starts with its last answered ping, plus 10% for clock drift.
REMOVAL_TIMEOUT_S = 3.3
# Longest time between two calls that counts as silence of the agents. The rest
# of a longer gap is a pause of this process, during which it can't receive
# messages; if it counted, one pause would remove the whole fleet and fail its
# jobs.
MAX_COUNTED_GAP_S = 1.0


@attrs.frozen
class Suspected:
    """No message arrived from the agent for 2 s; it gets no new work."""

    agent: str


@attrs.frozen
class Recovered:
    """A message of a suspected agent arrived."""

    agent: str


@attrs.frozen
class Removed:
    """No message arrived from the agent for 3.3 s.

    Its lease has expired, so tasks that were sent to it no longer start.
    """

    agent: str


@attrs.define
class HeartbeatMonitor:
    """Tracks how long ago the last message of each agent arrived.

    Attributes:
        last_message_s: Value of `unpaused_s` at the last message of each
            agent, oldest first.
        suspected: Agents under suspicion.
        recovered: Suspected agents whose messages arrived again since the
            last check.
        unpaused_s: Seconds since the first call; each gap between two calls
            counts as at most `MAX_COUNTED_GAP_S`.
        last_call_s: Monotonic time of the last call, None before the first.

    Notes:
        Agents are kept in the order of their last messages, so a call costs
        O(1) plus O(changes), and `check` also O(suspected agents).
    """

    last_message_s: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )
    suspected: set[str] = attrs.field(factory=set)
    recovered: list[str] = attrs.field(factory=list)
    unpaused_s: float = 0.0
    last_call_s: float | None = None

    def message_received(self, agent: str, now_s: float) -> None:
        """Records a message of an agent; adds the agent if it is unknown.

        Args:
            agent: Incarnation of the agent.
            now_s: Monotonic time in seconds.
        """
        self._advance_clock(now_s)
        self.last_message_s[agent] = self.unpaused_s
        self.last_message_s.move_to_end(agent)
        if agent in self.suspected:
            self.suspected.remove(agent)
            self.recovered.append(agent)

    def agent_left(self, agent: str) -> None:
        """Forgets an agent that left or whose stream was abandoned."""
        self.last_message_s.pop(agent, None)
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
            Recoveries first, then removals, then new suspicions; removals
            and suspicions start with the longest silence. A removed agent is
            forgotten.
        """
        self._advance_clock(now_s)
        changes: list[Suspected | Recovered | Removed] = [
            Recovered(agent) for agent in self.recovered
        ]
        self.recovered.clear()
        changes += self._remove_silent()
        changes += self._suspect_silent()
        return tuple(changes)

    def _advance_clock(self, now_s: float) -> None:
        """Advances `unpaused_s`; leaves out pauses of this process."""
        if self.last_call_s is not None:
            gap_s = max(0.0, now_s - self.last_call_s)
            self.unpaused_s += min(gap_s, MAX_COUNTED_GAP_S)
        self.last_call_s = now_s

    def _remove_silent(self) -> list[Removed]:
        """Forgets and returns agents silent for `REMOVAL_TIMEOUT_S`."""
        removed = []
        while self.last_message_s:
            agent, last_message_s = next(iter(self.last_message_s.items()))
            if self.unpaused_s - last_message_s < REMOVAL_TIMEOUT_S:
                break
            del self.last_message_s[agent]
            self.suspected.discard(agent)
            removed.append(Removed(agent))
        return removed

    def _suspect_silent(self) -> list[Suspected]:
        """Marks and returns agents silent for `SUSPICION_TIMEOUT_S`."""
        found = []
        for agent, last_message_s in self.last_message_s.items():
            if self.unpaused_s - last_message_s < SUSPICION_TIMEOUT_S:
                break
            if agent not in self.suspected:
                self.suspected.add(agent)
                found.append(Suspected(agent))
        return found
