"""Fates of tasks and refusals of requests.

``NotRun`` and ``Unknown`` are separate types end to end: only a task that is
known never to have started, and never to start later, is ``NotRun``.
"""

import enum

import attrs


class Reason(enum.StrEnum):
    """Stable reason codes that callers and operators may rely on."""

    AGENT_LOST = "agent_lost"
    AUTHORITY_LOST = "authority_lost"
    BAD_REQUEST = "bad_request"
    CANCELLED = "cancelled"
    CAPACITY = "capacity"
    DEADLINE = "deadline"
    EXPIRED_KEY = "expired_key"
    HOME_LOST = "home_lost"
    HOME_PAUSED = "home_paused"
    HOME_UNREACHABLE = "home_unreachable"
    INTERNAL = "internal"
    KEY_REUSED = "key_reused"
    LEAVING = "leaving"
    NOT_FOUND = "not_found"
    NO_CONFIGURATION = "no_configuration"
    NO_SLOT = "no_slot"
    NO_TARGET = "no_target"
    OVERLOAD = "overload"
    POISON_KIND = "poison_kind"
    QUOTA = "quota"
    SIBLING_FAILED = "sibling_failed"
    TARGET_ERROR = "target_error"
    TARGET_UNREACHABLE = "target_unreachable"
    TOO_LARGE = "too_large"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_KIND = "unknown_kind"


@attrs.frozen
class Completed:
    """The target ran the task and answered with a result.

    Attributes:
        result: The target's answer body, JSON text in UTF-8.
        run_s: Run time at the target in seconds, as the agent measured it.
    """

    result: bytes
    run_s: float = 0.0


@attrs.frozen
class Failed:
    """The target ran the task and reported that it failed."""

    reason: Reason
    detail: str = ""
    run_s: float = 0.0


@attrs.frozen
class NotRun:
    """The task never started and never will; the only fate that is retried."""

    reason: Reason
    detail: str = ""


@attrs.frozen
class Unknown:
    """The task may have started; it is never started again."""

    reason: Reason
    detail: str = ""


Fate = Completed | Failed | NotRun | Unknown


@attrs.frozen
class Refused:
    """A request that is not carried out.

    Attributes:
        reason: Stable code.
        not_run: True only if no task of this submission has started or will
            start. False means that the outcome is not known here.
        detail: One sentence for a person.
        retry_after_s: Seconds after which a new attempt makes sense, or None.
    """

    reason: Reason
    not_run: bool
    detail: str = ""
    retry_after_s: float | None = None
