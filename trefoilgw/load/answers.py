"""What a caller concludes from an HTTP answer to a submission."""

import json

import attrs

from trefoilgw.load import client


@attrs.frozen
class Complete:
    """The job is complete.

    Attributes:
        results: The answers of the target, one for each task.
        key: Key of the job as the entry names it.
    """

    results: tuple
    key: str = ""


@attrs.frozen
class Failed:
    """The job is failed.

    Attributes:
        reason: Stable code.
        partial: True if the answer carries results all the same.
        key: Key of the job.
    """

    reason: str
    partial: bool = False
    key: str = ""


@attrs.frozen
class Refused:
    """The submission was refused.

    Attributes:
        reason: Stable code.
        not_run: Whether the entry says that nothing started.
        retry_after_s: Advice of the entry.
    """

    reason: str
    not_run: bool
    retry_after_s: float = 0.0


@attrs.frozen
class Running:
    """The job has not ended."""

    key: str


@attrs.frozen
class Lost:
    """No answer that could be understood; the outcome is not known.

    Attributes:
        detail: What happened.
        sent: False if the request certainly went nowhere.
    """

    detail: str
    sent: bool = True


Answer = Complete | Failed | Refused | Running | Lost


def parse(response: client.Response) -> Answer:
    """Returns what an answer of ``/v1/jobs`` says."""
    try:
        document = json.loads(response.body)
    except ValueError:
        return Lost(f"status {response.status}, body is not JSON")
    if not isinstance(document, dict):
        return Lost(f"status {response.status}, body is no JSON object")
    if "not_run" in document and "reason" in document:
        return Refused(
            str(document["reason"]),
            document["not_run"] is True,
            float(document.get("retry_after_s") or 0.0),
        )
    return _parse_job(response.status, document)


def _parse_job(status: int, document: dict) -> Answer:
    """Returns what a job document says."""
    key = str(document.get("key", ""))
    match document.get("state"):
        case "complete":
            return Complete(tuple(document.get("results") or ()), key)
        case "failed":
            partial = bool(document.get("results"))
            return Failed(str(document.get("reason", "")), partial, key)
        case "running" | "queued":
            return Running(key)
    return Lost(f"status {status}, no state in the answer")
