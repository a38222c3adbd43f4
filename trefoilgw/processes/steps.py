"""Records how long a process took to reach each step until it could serve."""

from collections.abc import Callable

import attrs

from trefoilgw.metrics import core as metrics
from trefoilgw.processes import startup
from trefoilgw.timers import clock


@attrs.define(eq=False)
class StartSteps:
    """Steps that a process has reached since its start.

    Attributes:
        now: Clock in seconds.
        began_s: Start of the process, after that of the interpreter.
        seconds: Seconds from the start to each step reached.
    """

    now: Callable[[], float] = clock.boottime
    began_s: float = startup.BEGAN_S
    seconds: dict[str, float] = attrs.field(factory=dict)

    def check(self, **steps: bool) -> bool:
        """Records the steps that are reached now for the first time.

        Args:
            **steps: Whether each step is reached, by its name.

        Returns:
            Whether all of them are reached now.
        """
        for name, reached in steps.items():
            if reached and name not in self.seconds:
                self.seconds[name] = round(self.now() - self.began_s, 3)
        return all(steps.values())

    def register_gauge(self, registry: metrics.Registry) -> None:
        """Registers a gauge of the steps."""
        registry.observable_gauge(
            "startup_step_seconds",
            "Seconds from the start of the process to a step",
            lambda: [
                metrics.Sample(value, (name,))
                for name, value in self.seconds.items()
            ],
            "step",
        )
