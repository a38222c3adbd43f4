"""What a scheduler does with work whose targets are all evacuated.

Load pattern: the operators evacuate every domain of a service while jobs come
at the usual rate. Nobody knows for how long, so jobs that waited would only
miss their time, and their callers would learn it late.
"""

from collections.abc import Iterable

from trefoilgw.scheduling import actions
from trefoilgw.scheduling import runners

# The end of an evacuation can't be predicted. Callers that return this often
# get served soon after it and are few meanwhile.
RETRY_AFTER_S = 1.0
REJECTED = actions.Rejected("evacuated", RETRY_AFTER_S)


def is_evacuated(views: Iterable[runners.RunnerView], service: str) -> bool:
    """Returns whether evacuations leave no runner for a service.

    Runners outside of the evacuated domains count as long as they are usable or
    have not told yet what their target is. One that is in doubt or full does
    count; one whose target drains or is lost does not.

    Args:
        views: All runners.
        service: Name of the service.
    """
    evacuated = False
    for view in views:
        if view.evacuated:
            evacuated = evacuated or _may_serve(view, service)
        elif view.connected and (view.report is None or view.serves(service)):
            return False
    return evacuated


def _may_serve(view: runners.RunnerView, service: str) -> bool:
    """Returns whether a runner serves a service, or may once it reports."""
    report = view.report
    return report is None or report.service in ("", service)
