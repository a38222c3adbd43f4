"""Slowdowns that all targets of a service have in common.

A runner compares its target with the expected run times, which schedulers
learn or callers declare. If they are too short, every target seems slow, and so
it does if what all targets depend on is slow. None of them is worse than the
others then: a run that is stopped as slow is as slow elsewhere.

Load pattern: tasks that suddenly take several times as long, at a load that
the targets can bear. If all of them got probes only, nothing would be done any
more, and no run time would be learned.
"""

from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from trefoilgw.scheduling import runners

# Shares of the targets of a service that are not in doubt: up to the first one
# a slowdown is taken for a common one, and from the second one on no longer.
FEW_SHARE = 1.0 / 3.0
MANY_SHARE = 2.0 / 3.0


@attrs.define
class CommonSlowdowns:
    """Services whose targets are slow together.

    Attributes:
        services: Names of the services.
    """

    services: set[str] = attrs.field(factory=set)

    def update(self, views: Iterable[runners.RunnerView]) -> None:
        """Updates the services, and which runners count as slow by themselves.

        Args:
            views: All runners.
        """
        members: dict[str, list[runners.RunnerView]] = {}
        for view in views:
            view.slow_as_others = False
            if view.usable:
                members.setdefault(view.report.service, []).append(view)
        self.services &= members.keys()
        for service, serving in members.items():
            if not _is_common(serving, service in self.services):
                self.services.discard(service)
                continue
            self.services.add(service)
            for view in serving:
                view.slow_as_others = view.report.slow


def _is_common(serving: Sequence[runners.RunnerView], was_common: bool) -> bool:
    """Returns whether the targets of a service are slow together.

    It begins once few are trusted, and more are slow, and ends once many are
    trusted. Single targets may pass for sound in between, as run times differ.

    Args:
        serving: Usable runners of the service.
        was_common: Whether they were at the last update.
    """
    trusted = sum(not x.report.suspect for x in serving)
    slow = sum(x.report.slow for x in serving)
    if was_common:
        return slow > 0 and trusted < MANY_SHARE * len(serving)
    return slow > trusted and trusted <= FEW_SHARE * len(serving)
