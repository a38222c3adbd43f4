"""Decodes the bodies of submitted jobs."""

from trefoilgw.platform import fields
from trefoilgw.work import core as work
from trefoilgw.work import requests

# Far above the largest jobs and far below the number of tasks that would stall
# a scheduler.
MAX_TASKS = 1024
MAX_PAYLOAD_BYTES = 4000
# Memory of a task from its submission to the answer, in the job and in the
# state of the scheduler.
TASK_BYTES = 640
# Unsupported properties of a job and of a step. Each changes how the work must
# run, so such a job is refused.
_JOB_UNSUPPORTED = ("repeats",)
_STEP_UNSUPPORTED = (
    "after",
    "gang",
    "requiredLabels",
    "affinity",
    "antiAffinity",
    "longRunning",
    "fills",
)


def decode(
    key: str,
    queue: work.Queue,
    data: bytes,
    caller_wait_s: float | None = None,
    decoded_limit_bytes: int | None = None,
) -> requests.Request:
    """Decodes the body of a submission.

    Args:
        key: Identifier of the job, chosen by the caller.
        queue: Queue of the job.
        data: The body.
        caller_wait_s: Seconds for which the caller waits, None if it does not
            state this.
        decoded_limit_bytes: Memory that the values of the body may take while
            it is decoded, None for any.

    Returns:
        `Submit`, or the refusal of a body that is malformed, too large or
        needs an unsupported property.
    """
    try:
        body = fields.Fields(fields.parse(data, decoded_limit_bytes))
        return _decode(key, queue, body, caller_wait_s)
    except fields.FieldError as error:
        return requests.Malformed("bad_request", str(error))


def job_bytes(job: work.JobSpec) -> int:
    """Returns the memory that a job takes until it has ended."""
    return len(job.payload) * 4 + len(job.tasks) * TASK_BYTES


def _decode(
    key: str,
    queue: work.Queue,
    body: fields.Fields,
    caller_wait_s: float | None,
) -> requests.Request:
    """Decodes a parsed body; see `decode`.

    Raises:
        fields.FieldError: A field is missing or invalid.
    """
    payload = body.text("spec")
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        return requests.TooLarge(MAX_PAYLOAD_BYTES)
    steps = body.objects("steps")
    count = sum(x.integer("count") for x in steps)
    if not 0 < count <= MAX_TASKS:
        text = f"a job has 1 to {MAX_TASKS} tasks, not {count}"
        return requests.Malformed("bad_request", text)
    refusal = queue.unsupported or _first_unsupported(body, steps)
    if refusal:
        return requests.Unsupported(refusal)
    tasks = []
    for number, step in enumerate(steps):
        tasks += _decode_tasks(key, number, step)
    return requests.Submit(
        work.JobSpec(key, queue, payload, tuple(tasks), caller_wait_s)
    )


def _first_unsupported(body: fields.Fields, steps: list[fields.Fields]) -> str:
    """Returns the first unsupported property, or an empty string."""
    if not body.boolean("bestEffort"):
        return "a job that must be stored"
    for name in _JOB_UNSUPPORTED:
        if body.values.get(name):
            return name
    for step in steps:
        for name in _STEP_UNSUPPORTED:
            if step.values.get(name):
                return f"{step.location}{name}"
    return ""


def _decode_tasks(
    key: str, number: int, step: fields.Fields
) -> list[work.TaskSpec]:
    """Decodes the tasks of one step."""
    demand = work.Demand(
        step.integer("cpu", 0), step.integer("memMb", 0), step.integer("gpu", 0)
    )
    declared_s = step.number("estimateMs", 0.0) / 1000
    # The second component of a task's name counts repetitions of the job. As
    # these are not supported, it is always 0.
    return [
        work.TaskSpec(f"{key}.0.{number}.{index}", demand, declared_s)
        for index in range(step.integer("count"))
    ]
