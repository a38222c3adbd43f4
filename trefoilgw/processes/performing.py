"""Carries out the actions that a program has decided on."""

import logging
from collections.abc import Callable
from collections.abc import Iterable
from typing import TypeVar

Action = TypeVar("Action")

log = logging.getLogger(__name__)


def perform_all(
    actions: Iterable[Action],
    perform: Callable[[Action], None],
    on_failure: Callable[[Action], None],
) -> None:
    """Carries out actions in order.

    An unexpected error in one of them is logged and keeps no other from being
    carried out.

    Args:
        actions: The actions.
        perform: Carries out one of them.
        on_failure: Called with an action that has failed.
    """
    for action in actions:
        try:
            perform(action)
        except Exception:
            log.exception(
                "action failed", extra={"action": type(action).__name__}
            )
            on_failure(action)
