"""Interprets the HTTP responses to job submissions as a caller does."""

import json

import attrs

from trefoilgw.load import client


@attrs.frozen
class Complete:
    """The job completed.

    Attributes:
        results: Results of the targets, one for each task.
        key: Job key from the response, empty if it names none.
    """

    results: tuple
    key: str = ""


@attrs.frozen
class Failed:
    """The job failed.

    Attributes:
        reason: Stable reason code.
        partial: True if the response contains results despite the failure.
        key: Job key from the response, empty if it names none.
    """

    reason: str
    partial: bool = False
    key: str = ""


@attrs.frozen
class Refused:
    """The submission was refused.

    Attributes:
        reason: Stable reason code.
        not_run: Whether the entry states that no task started.
        retry_after_s: Delay before a retry that the entry advises, 0 for none.
    """

    reason: str
    not_run: bool
    retry_after_s: float = 0.0


@attrs.frozen
class Running:
    """The job is queued or running.

    Attributes:
        key: Job key from the response, empty if it names none.
    """

    key: str


@attrs.frozen
class Lost:
    """No usable answer arrived, so the outcome of the job is unknown.

    Attributes:
        detail: Description of the failure.
        sent: False if the request was certainly not sent.
    """

    detail: str
    sent: bool = True


Answer = Complete | Failed | Refused | Running | Lost


def parse(response: client.Response) -> Answer:
    """Returns the answer in a response of ``/v1/jobs``.

    A response that can't be interpreted yields `Lost`.
    """
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
    """Returns the answer in a job document."""
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
