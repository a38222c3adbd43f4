"""Bodies of submitted jobs."""

from trefoilgw.platform import fields
from trefoilgw.work import core as work
from trefoilgw.work import requests

# Far above the largest jobs, far below what would stall a scheduler.
TASKS_LIMIT = 1024
PAYLOAD_LIMIT_BYTES = 4000
# Properties of a job and of a step that change how it must be run.
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
    patience_s: float | None = None,
) -> requests.Request:
    """Returns the submission in a body, or why it is none.

    Args:
        key: Identifier chosen by the caller.
        queue: Its queue.
        data: The body.
        patience_s: How long the caller waits, None if it does not say.
    """
    try:
        body = fields.Fields(fields.parse(data))
        return _decode(key, queue, body, patience_s)
    except fields.FieldError as error:
        return requests.Malformed("bad_request", str(error))


def _decode(
    key: str,
    queue: work.Queue,
    body: fields.Fields,
    patience_s: float | None,
) -> requests.Request:
    """Returns a submission; see `decode`."""
    payload = body.text("spec")
    if len(payload.encode()) > PAYLOAD_LIMIT_BYTES:
        return requests.TooLarge(PAYLOAD_LIMIT_BYTES)
    steps = body.objects("steps")
    count = sum(x.whole("count") for x in steps)
    if not 0 < count <= TASKS_LIMIT:
        text = f"a job has 1 to {TASKS_LIMIT} tasks, not {count}"
        return requests.Malformed("bad_request", text)
    refusal = queue.unsupported or _unsupported(body, steps)
    if refusal:
        return requests.Unsupported(refusal)
    tasks = []
    for number, step in enumerate(steps):
        tasks += _tasks(key, number, step)
    return requests.Submit(
        work.JobSpec(key, queue, payload, tuple(tasks), patience_s)
    )


def _unsupported(body: fields.Fields, steps: list[fields.Fields]) -> str:
    """Returns the first property that is not built, or an empty text."""
    if not body.flag("bestEffort"):
        return "a job that must be stored"
    for name in _JOB_UNSUPPORTED:
        if body.values.get(name):
            return name
    for step in steps:
        for name in _STEP_UNSUPPORTED:
            if step.values.get(name):
                return f"{step.place}{name}"
    return ""


def _tasks(key: str, number: int, step: fields.Fields) -> list[work.TaskSpec]:
    """Returns the tasks of one step."""
    demand = work.Demand(
        step.whole("cpu", 0), step.whole("memMb", 0), step.whole("gpu", 0)
    )
    declared_s = step.number("estimateMs", 0.0) / 1000
    # The second part counts repetitions, which are not built.
    return [
        work.TaskSpec(f"{key}.0.{number}.{index}", demand, declared_s)
        for index in range(step.whole("count"))
    ]
