"""Faults that the property test of run ends must find; see its module."""

import contextlib
import math
from collections.abc import Iterator
from unittest import mock

from trefoilgw.room import core as room
from trefoilgw.runner import driving
from trefoilgw.work import core as work

_mark_unreachable = driving.TargetDriver._mark_unreachable


def _lose_runs(driver, detail):
    """Takes a refused connection for the end of the target's process."""
    _mark_unreachable(driver, detail)
    driver.allocator.leases_expired("target_lost")


def _lose_runs_if_leaving(driver, detail):
    """Does so for a target that has deregistered."""
    _mark_unreachable(driver, detail)
    if driver.allocator.leaving:
        driver._discard_target("it has left", evidence=work.Evidence.OTHER_LIFE)


def _method(owner, name, replacement):
    """Returns a patch of one method."""
    return mock.patch.object(owner, name, replacement)


# The lease that ends with the authority would hide the faults that concern
# the authority.
_LEASE_WITHOUT_LIMIT = _method(
    room.CapacityAllocator, "lease_limit_s", lambda allocator: math.inf
)
# The first three are in the product's history.
MUTATIONS = {
    "refused connection ends the runs": (
        _method(driving.TargetDriver, "_mark_unreachable", _lose_runs),
    ),
    "refused connection after a deregistration ends the runs": (
        _method(
            driving.TargetDriver, "_mark_unreachable", _lose_runs_if_leaving
        ),
    ),
    "no check before the start is sent": (
        _method(room.CapacityAllocator, "start_refusal", lambda *args: ""),
        _LEASE_WITHOUT_LIMIT,
    ),
    "no wait for the end of a stopped start": (
        _method(
            driving.TargetDriver,
            "_wait_until_stopped",
            lambda *args: work.Evidence.NOT_RUN,
        ),
    ),
    "no lease is awaited": (
        _method(driving.leases.TargetLease, "expired", lambda lease: True),
    ),
    "lease outlives the authority": (_LEASE_WITHOUT_LIMIT,),
}


@contextlib.contextmanager
def applied(name: str) -> Iterator[None]:
    """Returns the context in which a fault is in the code."""
    with contextlib.ExitStack() as stack:
        for patch in MUTATIONS[name]:
            stack.enter_context(patch)
        yield
