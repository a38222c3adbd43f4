"""Decodes the operators' requests to evacuate failure domains.

A request is the presence of a key. Its value carries nothing, so that a value
that can't be read doesn't undo a request that the store has acknowledged.
"""

import base64
import logging

from trefoilgw.platform import fields

KEY_PREFIX = "op/evacuate/"
# Sets are passed on to all processes; no failure domain has a longer name.
MAX_DOMAIN_CHARACTERS = 200

log = logging.getLogger(__name__)


def decode_key(key: str) -> str | None:
    """Returns the domain that a key names, None if it names none.

    The latter is logged.
    """
    domain = key.removeprefix(KEY_PREFIX)
    if domain and "/" not in domain and len(domain) <= MAX_DOMAIN_CHARACTERS:
        return domain
    log.warning("evacuation key unreadable", extra={"key": key})
    return None


def check_value(key: str, item: fields.Fields) -> None:
    """Logs a value that is no JSON object."""
    try:
        data = base64.b64decode(item.text("value", ""), validate=True)
        fields.parse(data)
    except (ValueError, fields.FieldError) as error:
        log.warning(
            "evacuation value unreadable",
            extra={"key": key, "error": str(error)},
        )
