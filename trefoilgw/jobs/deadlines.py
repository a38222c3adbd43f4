"""When the job table has to look at a job again."""

import attrs

# Deadlines are checked in steps of this size.
TICK_S = 0.1


@attrs.define
class Deadlines:
    """Job ids by the tick in which they are due.

    Adding costs the same for any number of jobs; a job that ends before its
    deadline needs no removal.
    """

    _ticks: dict = attrs.field(factory=dict)
    _last_tick: int | None = None

    def watch(self, job_id: str, at_s: float) -> None:
        """Makes a job due in the first tick after a time."""
        self._ticks.setdefault(int(at_s / TICK_S) + 1, []).append(job_id)

    def due(self, now_s: float) -> list[str]:
        """Returns the jobs that fell due since the last call."""
        tick = int(now_s / TICK_S)
        first = 0 if self._last_tick is None else self._last_tick + 1
        self._last_tick = tick
        if tick - first > len(self._ticks):
            ticks = sorted(t for t in self._ticks if t <= tick)
        else:
            ticks = [t for t in range(first, tick + 1) if t in self._ticks]
        return [job_id for t in ticks for job_id in self._ticks.pop(t)]
