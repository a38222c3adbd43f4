"""The fencing token of the calls to a target.

A target does nothing for a call with a lower token than it has seen. Each life
of a target begins without having seen any. The token rises with each unanswered
start and with each life, so that the first later call that a life receives
rules out all earlier ones. Only one process at a time gives orders to a target.
"""

import logging

import attrs

from trefoilgw.work import orders

# Step by which the token rises if the target has seen a higher one. The time of
# day was then set back between two processes, rarely by more than this.
STEP_MS = 24 * 3600 * 1000

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Fence:
    """The token of the next call.

    Attributes:
        token: At first the time of day in Unix milliseconds at which the
            process started. It so exceeds the tokens of earlier processes.
    """

    token: int = 0

    def advance(self) -> None:
        """Rules out all calls so far once a call with the new token arrives."""
        self.token += 1

    def check(self, answer: object, token: int) -> None:
        """Raises the token if the target has seen a higher one.

        Args:
            answer: The target's answer to a call.
            token: Token of that call. A call that was overtaken by one with a
                higher token says nothing about the present one.
        """
        match answer:
            case orders.Refused(reason=orders.RefusalReason.FENCED):
                if token == self.token:
                    self.token += STEP_MS
                    log.warning("fence raised", extra={"fence": self.token})
