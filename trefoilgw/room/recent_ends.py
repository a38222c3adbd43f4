"""Ends of runs that were reported lately, to send them again.

A message is lost if its stream breaks before it arrives. Without its end, a
scheduler would take a run that is done for one that was never received.
"""

import collections

import attrs

from trefoilgw.messages import runs as messages

# Number of ends that are kept for each scheduler, so that a flood of refusals
# does not fill the memory. Over `messages.ENDS_KEPT_S` it stands for 250 ends a
# second of one scheduler at one target.
MAX_KEPT_ENDS = 1000


@attrs.define(eq=False)
class _KeptEnd:
    """An end that was reported.

    Attributes:
        message: The report.
        since_s: Time of the first tick after it, None before.
    """

    message: messages.RunEnded
    since_s: float | None = None


@attrs.define(eq=False)
class RecentEnds:
    """The ends that were reported in the last `messages.ENDS_KEPT_S`.

    Attributes:
        ends: Kept ends by the incarnation of the scheduler, oldest first.
    """

    ends: dict[str, collections.deque] = attrs.field(factory=dict)

    def add(self, owner: str, message: messages.RunEnded) -> None:
        """Keeps an end that is reported to a scheduler."""
        kept = self.ends.get(owner)
        if kept is None:
            kept = self.ends[owner] = collections.deque(maxlen=MAX_KEPT_ENDS)
        kept.append(_KeptEnd(message))

    def of(self, owner: str) -> list[messages.RunEnded]:
        """Returns the kept ends of a scheduler's runs, oldest first."""
        return [x.message for x in self.ends.get(owner, ())]

    def expire(self, now_s: float) -> None:
        """Forgets ends whose time is over; call it with each tick."""
        for owner, kept in list(self.ends.items()):
            for end in reversed(kept):
                if end.since_s is not None:
                    break
                end.since_s = now_s
            while kept and now_s - kept[0].since_s > messages.ENDS_KEPT_S:
                kept.popleft()
            if not kept:
                del self.ends[owner]
