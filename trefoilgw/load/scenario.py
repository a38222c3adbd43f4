"""Load scenarios in TOML: the customers, their work and its arrival rates.

A scenario contains no addresses or tokens; those are options of the command
line. Shipped scenarios are in ``trefoilgw/load/scenarios``.
"""

import math
import pathlib
import tomllib

import attrs
import cattrs
from cattrs import v as cattrs_errors

from trefoilgw.findings import core as findings

SCENARIO_DIRECTORY = pathlib.Path(__file__).resolve().parent / "scenarios"
# Maximum number of tasks that the entry accepts in a job.
MAX_TASKS_PER_JOB = 310
# Bounds the length of a run, whatever the scenario specifies.
MAX_DURATION_S = 3600.0
MAX_JOBS = 2_000_000

_is_share = attrs.validators.and_(
    attrs.validators.ge(0.0), attrs.validators.le(1.0)
)


def _validate_range(_, attribute, value) -> None:
    """Checks that a pair is positive and in ascending order.

    Raises:
        ValueError: It is not.
    """
    if not 0 < value[0] <= value[1]:
        raise ValueError(f"{attribute.name} must be [low, high], low > 0")


def _validate_tasks(_, attribute, value) -> None:
    """Checks the bounds of the number of tasks of a job.

    Raises:
        ValueError: They are out of range or out of order.
    """
    if not 1 <= value[0] <= value[1] <= MAX_TASKS_PER_JOB:
        raise ValueError(f"tasks must lie between 1 and {MAX_TASKS_PER_JOB}")


@attrs.frozen
class Flow:
    """Arrivals of one kind of work of one customer.

    Attributes:
        kind: Kind of work.
        load: Mean demand as a share of the fleet's slots; 10 is a flood of
            ten times the capacity.
        jobs_s: Mean rate in jobs per second, instead of `load`.
        batch: Number of jobs that arrive at the same time.
        tasks: Minimum and maximum number of tasks of a job.
        run_ms: Bounds of the run times in milliseconds, which are drawn
            log-uniformly.
        long_share: Share of the tasks whose run times are drawn from
            `long_run_ms` instead, 0 to 1.
        long_run_ms: Bounds of the long run times in milliseconds.
        wave_period_s: Period of the arrival rate, 0 for a constant rate.
        wave_share: Share of the period with the high rate, 0 to 1.
        wave_height: Ratio of the high rate to the mean rate.
        start_s: Start of the flow in seconds from the start of the run.
        end_s: End of the flow, 0 for the end of the scenario.
        ticket_share: Share of the submissions with a ticket as key, 0 to 1.
        own_key_share: Share of the submissions with a key made by the
            caller, 0 to 1.
        resubmit_share: Share of the submissions with a key that are sent
            again through another entry, 0 to 1.
        resubmit_after_s: Bounds of the delay of a resubmission.
        deadline_s: Deadline of each job, sent in the request.
        idempotent: False if the tasks must run at most once, sent in the
            request.
        flood: True if the work is reported as a flood, separately from other
            work.
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
        """Returns the mean arrival rate in jobs per second.

        Args:
            slots: Slots of the whole fleet, to which `load` relates.
        """
        if self.jobs_s:
            return self.jobs_s
        mean_tasks = (self.tasks[0] + self.tasks[1]) / 2
        return self.load * slots / (self.mean_run_s() * mean_tasks)


@attrs.frozen
class Customer:
    """A customer and its flows.

    Attributes:
        name: Name of the customer.
        flow: Flows of the customer.
    """

    name: str
    flow: tuple[Flow, ...]


@attrs.frozen
class Scenario:
    """The load of a run.

    Attributes:
        name: Name of the scenario.
        customer: The customers.
        seed: Random seed of arrivals, run times and key sources.
        duration_s: Time during which jobs arrive.
        slots: Slots of the whole fleet, to which `Flow.load` relates.
        wait_s: Time that the entry may wait for a job before it answers.
        drain_s: Time after the last arrival until open jobs are abandoned.
        in_flight_limit: Maximum number of open jobs; arrivals beyond it are
            counted as not sent.
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
    """Returns the mean of the log-uniform distribution between two bounds."""
    if low == high:
        return low
    return (high - low) / math.log(high / low)


def _format_error(error: BaseException, type_: type | None) -> str:
    """Returns the message of one validation error."""
    if isinstance(error, ValueError) and not isinstance(error, KeyError):
        return str(error)
    return cattrs_errors.format_exception(error, type_)


def parse(text: str, file_name: str) -> Scenario | tuple[findings.Finding, ...]:
    """Parses a scenario.

    Args:
        text: Scenario in TOML.
        file_name: Name of the file in the findings.

    Returns:
        The scenario, or the findings if it is invalid.
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
    """Reads a scenario.

    Args:
        name: Path of a TOML file, or name of a shipped scenario if there is
            no such file.

    Returns:
        The scenario, or the findings if it is missing or invalid.
    """
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
