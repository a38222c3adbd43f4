"""Fates of tasks and refusals of requests.

``NotRun`` and ``Unknown`` are separate types in the whole system. A task is
``NotRun`` only if it is known that it has not started and will not start later.
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
        result: Body of the target's answer, JSON text in UTF-8.
        run_s: Run time at the target in seconds, measured by the agent.
    """

    result: bytes
    run_s: float = 0.0


@attrs.frozen
class Failed:
    """The target ran the task and reported a failure."""

    reason: Reason
    detail: str = ""
    run_s: float = 0.0


@attrs.frozen
class NotRun:
    """The task has not started and will not; the only fate that is retried."""

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
    """A request that was refused.

    Attributes:
        reason: Stable reason code.
        not_run: True only if no task of this submission has started or will
            start. False means that the outcome is not known here.
        detail: Human-readable explanation in one sentence.
        retry_after_s: Seconds to wait before a new attempt, or None.
    """

    reason: Reason
    not_run: bool
    detail: str = ""
    retry_after_s: float | None = None
