"""Timer buckets for the deadlines of jobs."""

import attrs

# Resolution of deadlines in seconds.
TICK_S = 0.1


@attrs.define
class Deadlines:
    """Job ids by the tick in which they are due.

    Scheduling takes constant time, and a job that ends before its deadline
    need not be removed.
    """

    _ticks: dict = attrs.field(factory=dict)
    _last_tick: int | None = None

    def schedule(self, job_id: str, at_s: float) -> None:
        """Schedules a job for the first tick after a time in seconds."""
        self._ticks.setdefault(int(at_s / TICK_S) + 1, []).append(job_id)

    def pop_due(self, now_s: float) -> list[str]:
        """Removes and returns the ids of jobs due since the last call."""
        tick = int(now_s / TICK_S)
        first = 0 if self._last_tick is None else self._last_tick + 1
        self._last_tick = tick
        if tick - first > len(self._ticks):
            ticks = sorted(t for t in self._ticks if t <= tick)
        else:
            ticks = [t for t in range(first, tick + 1) if t in self._ticks]
        return [job_id for t in ticks for job_id in self._ticks.pop(t)]
