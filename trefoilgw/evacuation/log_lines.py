"""Log lines of changes of the evacuated domains."""

import logging
from collections.abc import Set

from trefoilgw.evacuation import core as evacuation

log = logging.getLogger(__name__)


def log_changes(
    result: evacuation.Adopted, origin: str, domains: Set[str]
) -> None:
    """Logs each domain that is evacuated or taken back.

    Args:
        result: The set that has come into force.
        origin: Where it came from.
        domains: All failure domains that the settings list.
    """
    for domain in sorted(result.evacuated):
        log.warning(
            "domain evacuated",
            extra={
                "domain": domain,
                "revision": result.revision,
                "origin": origin,
                # A domain that does not exist is most likely misspelled.
                "listed": domain in domains,
            },
        )
    for domain in sorted(result.taken_back):
        log.warning(
            "domain taken back",
            extra={
                "domain": domain,
                "revision": result.revision,
                "origin": origin,
            },
        )
