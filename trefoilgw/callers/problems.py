"""Problem documents (RFC 9457) that describe refusals."""

import json

from trefoilgw.callers import values
from trefoilgw.outcomes import core as outcomes

_STATUSES = {
    outcomes.Reason.BAD_REQUEST: 400,
    outcomes.Reason.UNKNOWN_KIND: 400,
    outcomes.Reason.UNAUTHORIZED: 401,
    outcomes.Reason.NOT_FOUND: 404,
    outcomes.Reason.KEY_REUSED: 409,
    outcomes.Reason.EXPIRED_KEY: 410,
    outcomes.Reason.TOO_LARGE: 413,
    outcomes.Reason.QUOTA: 429,
    outcomes.Reason.INTERNAL: 500,
}
# All other refusals depend on the state of the system and are temporary.
_DEFAULT_STATUS = 503

_TITLES = {
    outcomes.Reason.BAD_REQUEST: "The request is not valid",
    outcomes.Reason.CAPACITY: "No capacity",
    outcomes.Reason.DEADLINE: "The deadline can't be met",
    outcomes.Reason.EXPIRED_KEY: "The key is too old",
    outcomes.Reason.HOME_UNREACHABLE: "The home of the key is unreachable",
    outcomes.Reason.INTERNAL: "Internal error",
    outcomes.Reason.KEY_REUSED: "The key was used for another submission",
    outcomes.Reason.LEAVING: "This entry is stopping",
    outcomes.Reason.NOT_FOUND: "Not found",
    outcomes.Reason.NO_CONFIGURATION: "No configuration is known yet",
    outcomes.Reason.NO_TARGET: "No target offers this service",
    outcomes.Reason.OVERLOAD: "Too much work is waiting",
    outcomes.Reason.POISON_KIND: "Work of this kind is stopped",
    outcomes.Reason.QUOTA: "The quota is used up",
    outcomes.Reason.TOO_LARGE: "The request is too large",
    outcomes.Reason.UNAUTHORIZED: "The token is missing or unknown",
    outcomes.Reason.UNKNOWN_KIND: "The kind of work is unknown",
}


def status_of(refused: outcomes.Refused) -> int:
    """Returns the HTTP status of a refusal."""
    return _STATUSES.get(refused.reason, _DEFAULT_STATUS)


def document(
    refused: outcomes.Refused, status: int | None = None, **members
) -> bytes:
    """Returns the problem document of a refusal, encoded as JSON.

    Args:
        refused: The refusal.
        status: HTTP status, None for that of the refusal's reason.
        **members: Extension members of the document.
    """
    fields = {
        "type": f"urn:trefoilgw:problem:{refused.reason}",
        "title": _TITLES.get(refused.reason, str(refused.reason)),
        "status": status or status_of(refused),
        "detail": refused.detail,
        "reason": str(refused.reason),
        "not_run": refused.not_run,
        "retry_after_s": refused.retry_after_s,
    }
    return json.dumps(fields | members).encode()


def problem(refused: outcomes.Refused, **members) -> values.Reply:
    """Returns the reply to a refused request.

    Args:
        refused: The refusal.
        **members: Extension members of the problem document.
    """
    return values.Reply(
        status_of(refused),
        document(refused, **members),
        refused.retry_after_s,
        str(refused.reason),
    )
