"""Run times learned per kind."""

import attrs

# Weight of a new run time once enough were seen. Run times of one kind vary
# by a factor of 100, so a single one must not count for much.
WEIGHT = 0.02
# Samples over which plain averaging is used instead.
WARM_UP_SAMPLES = 50
# Run time assumed for a kind that was neither declared nor seen.
FIRST_GUESS_S = 0.4


@attrs.define
class RunTime:
    """Mean run time of a kind.

    Attributes:
        mean_s: Mean in seconds.
        samples: Run times seen; 0 while the mean is a guess.
    """

    mean_s: float = FIRST_GUESS_S
    samples: int = 0

    def observe(self, run_s: float) -> None:
        """Takes a measured run time into the mean."""
        self.samples += 1
        weight = max(WEIGHT, 1.0 / self.samples)
        if self.samples > WARM_UP_SAMPLES:
            weight = WEIGHT
        self.mean_s += weight * (run_s - self.mean_s)


@attrs.define
class RunTimes:
    """Learned run times of all kinds.

    Attributes:
        kinds: Mean by kind.
    """

    kinds: dict[str, RunTime] = attrs.field(factory=dict)

    def declare_run_time(self, kind: str, run_time_s: float) -> None:
        """Sets the first guess; measured run times replace it."""
        known = self.kinds.setdefault(kind, RunTime())
        if not known.samples and run_time_s > 0.0:
            known.mean_s = run_time_s

    def observe(self, kind: str, run_s: float) -> float:
        """Takes a run time in and returns its ratio to the mean before."""
        known = self.kinds.setdefault(kind, RunTime())
        ratio = run_s / known.mean_s if known.samples else 1.0
        known.observe(run_s)
        return ratio

    def run_time_s(self, kind: str) -> float:
        """Returns the mean run time of a kind in seconds."""
        known = self.kinds.get(kind)
        return known.mean_s if known else FIRST_GUESS_S
