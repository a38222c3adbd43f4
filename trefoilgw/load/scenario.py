"""Load scenarios: what is sent, when, and by whom, from a TOML file.

A scenario says nothing of addresses and tokens; those come from the command
line. Shipped scenarios stand in ``trefoilgw/load/scenarios``.
"""

import math
import pathlib
import tomllib

import attrs
import cattrs
from cattrs import v as cattrs_errors

from trefoilgw.findings import core as findings

SCENARIO_DIRECTORY = pathlib.Path(__file__).resolve().parent / "scenarios"
MAX_TASKS_PER_JOB = 310
# A run is bounded whatever the file says.
MAX_DURATION_S = 3600.0
MAX_JOBS = 2_000_000

_is_share = attrs.validators.and_(
    attrs.validators.ge(0.0), attrs.validators.le(1.0)
)


def _validate_range(_, attribute, value) -> None:
    """Checks that a pair is in order."""
    if not 0 < value[0] <= value[1]:
        raise ValueError(f"{attribute.name} must be [low, high], low > 0")


def _validate_tasks(_, attribute, value) -> None:
    """Checks how many tasks a job has."""
    if not 1 <= value[0] <= value[1] <= MAX_TASKS_PER_JOB:
        raise ValueError(f"tasks must lie within 1 and {MAX_TASKS_PER_JOB}")


@attrs.frozen
class Flow:
    """Arrivals of one kind of work of one customer.

    Attributes:
        kind: Kind of work.
        load: Share of the fleet's slots that the flow needs on average; 10
            is a flood of ten times the capacity.
        jobs_s: Jobs per second, in place of `load`.
        batch: Jobs that arrive at the same instant.
        tasks: Fewest and most tasks of a job.
        run_ms: Bounds of the run times, spread evenly on a log scale.
        long_share: Share of the tasks that take `long_run_ms` instead.
        long_run_ms: Bounds of these run times.
        wave_period_s: Length of a wave, 0 for an even rate.
        wave_share: Share of the period that the high part lasts.
        wave_height: Rate in the high part, as a factor on the mean.
        start_s: First second of the flow.
        end_s: Last second, 0 for the end of the scenario.
        ticket_share: Share of the submissions that carry a ticket.
        own_key_share: Share that carries a key of the caller.
        resubmit_share: Share of those with either key that is sent again
            through another entry.
        resubmit_after_s: Bounds of the delay before that.
        deadline_s: Deadline of each job.
        idempotent: Carried in the request.
        flood: True for work that is not counted as "other work".
    """

    kind: str
    load: float = attrs.field(default=0.0, validator=attrs.validators.ge(0.0))
    jobs_s: float = attrs.field(default=0.0, validator=attrs.validators.ge(0.0))
    batch: int = attrs.field(default=1, validator=attrs.validators.ge(1))
    tasks: tuple[int, int] = attrs.field(
        default=(1, 1), validator=_validate_tasks
    )
    run_ms: tuple[float, float] = attrs.field(
        default=(50.0, 1000.0), validator=_validate_range
    )
    long_share: float = attrs.field(default=0.0, validator=_is_share)
    long_run_ms: tuple[float, float] = attrs.field(
        default=(2000.0, 5000.0), validator=_validate_range
    )
    wave_period_s: float = 0.0
    wave_share: float = attrs.field(default=0.25, validator=_is_share)
    wave_height: float = 1.0
    start_s: float = 0.0
    end_s: float = 0.0
    ticket_share: float = attrs.field(default=0.0, validator=_is_share)
    own_key_share: float = attrs.field(default=0.0, validator=_is_share)
    resubmit_share: float = attrs.field(default=0.0, validator=_is_share)
    resubmit_after_s: tuple[float, float] = (0.01, 0.5)
    deadline_s: float = attrs.field(
        default=30.0, validator=attrs.validators.gt(0.0)
    )
    idempotent: bool = True
    flood: bool = False

    def __attrs_post_init__(self):
        if bool(self.load) == bool(self.jobs_s):
            raise ValueError("exactly one of load and jobs_s must be given")
        if self.ticket_share + self.own_key_share > 1:
            raise ValueError("ticket_share + own_key_share must be at most 1")
        if self.wave_share * self.wave_height > 1:
            raise ValueError("wave_share * wave_height must be at most 1")

    def mean_run_s(self) -> float:
        """Returns the mean run time of a task in seconds."""
        short = mean_log_uniform(*self.run_ms)
        long = mean_log_uniform(*self.long_run_ms)
        mean_ms = (1 - self.long_share) * short + self.long_share * long
        return mean_ms / 1000

    def mean_jobs_per_s(self, slots: int) -> float:
        """Returns the mean rate of jobs per second.

        Args:
            slots: Slots of the whole fleet.
        """
        if self.jobs_s:
            return self.jobs_s
        mean_tasks = (self.tasks[0] + self.tasks[1]) / 2
        return self.load * slots / (self.mean_run_s() * mean_tasks)


@attrs.frozen
class Customer:
    """A customer and its flows."""

    name: str
    flow: tuple[Flow, ...]


@attrs.frozen
class Scenario:
    """A load to run.

    Attributes:
        name: Shown in reports.
        seed: Arrivals, run times and keys follow from it.
        duration_s: Time during which jobs arrive.
        slots: Slots of the whole fleet, to which `Flow.load` relates.
        wait_s: Time that a request waits for its answer.
        drain_s: Time after the last arrival until open jobs are given up.
        in_flight_limit: Jobs open at once; more are counted as not sent.
        customer: The customers.
    """

    name: str
    customer: tuple[Customer, ...]
    seed: int = 1
    duration_s: float = attrs.field(
        default=10.0, validator=attrs.validators.le(MAX_DURATION_S)
    )
    slots: int = attrs.field(default=88, validator=attrs.validators.ge(1))
    wait_s: float = 30.0
    drain_s: float = 35.0
    in_flight_limit: int = attrs.field(
        default=20_000, validator=attrs.validators.ge(1)
    )

    def __attrs_post_init__(self):
        jobs = sum(
            flow.mean_jobs_per_s(self.slots) * self.duration_s
            for customer in self.customer
            for flow in customer.flow
        )
        if jobs > MAX_JOBS:
            raise ValueError(f"more than {MAX_JOBS} jobs")


def mean_log_uniform(low: float, high: float) -> float:
    """Returns the mean of a value spread evenly on a log scale."""
    if low == high:
        return low
    return (high - low) / math.log(high / low)


def _format_error(error: BaseException, type_: type | None) -> str:
    """Returns one fault as a sentence."""
    if isinstance(error, ValueError) and not isinstance(error, KeyError):
        return str(error)
    return cattrs_errors.format_exception(error, type_)


def parse(text: str, file_name: str) -> Scenario | tuple[findings.Finding, ...]:
    """Returns the scenario in a TOML text, or everything wrong with it.

    Args:
        text: The file's content.
        file_name: File name for the findings.
    """
    try:
        content = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return (findings.Finding(file_name, f"not TOML: {error}"),)
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        return converter.structure(content, Scenario)
    except cattrs.BaseValidationError as error:
        return tuple(
            findings.Finding(file_name, text)
            for text in cattrs.transform_error(
                error, path="scenario", format_exception=_format_error
            )
        )
    except ValueError as error:
        return (findings.Finding(file_name, str(error)),)


def load(name: str) -> Scenario | tuple[findings.Finding, ...]:
    """Returns the scenario of a file or the shipped one of that name."""
    path = pathlib.Path(name)
    if not path.exists():
        path = SCENARIO_DIRECTORY / f"{path.name.removesuffix('.toml')}.toml"
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        known = ", ".join(
            sorted(file.stem for file in SCENARIO_DIRECTORY.glob("*.toml"))
        )
        text = f"{error.strerror}; shipped scenarios: {known}"
        return (findings.Finding(name, text),)
    return parse(text, path.name)
