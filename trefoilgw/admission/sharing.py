"""Split of a customer's quota among the entries, without a coordinator.

Every entry computes the same split from the demands that all reported.
"""

from collections.abc import Mapping


def entry_share(quota: float, own: str, demands: Mapping[str, float]) -> float:
    """Returns one entry's part of a quota.

    Args:
        quota: Quota of the whole customer, starts/s or tasks.
        own: The entry.
        demands: Demand of every entry, in the unit of the quota; `own` must
            be in it.

    Returns:
        At least ``quota / (2 * entries)``.

    Notes:
        Quota that nobody demands is shared evenly, so that bursts at an entry
        without demand so far are not refused while the customer is far below
        its quota. If all demand more than the quota, it is shared in
        proportion, but no entry gets less than half an even part, so that one
        whose demand begins can serve it before its peers know.
        An entry below that part uses what it demands, and the others share
        the rest. So the demands of the last second get at most the quota;
        a change of demand can exceed it by half a quota for one second.
    """
    min_share = quota / (2 * len(demands))
    unused = max(0.0, quota - sum(demands.values())) / len(demands)
    large = {entry: demand + unused for entry, demand in demands.items()}
    rest = quota
    while True:
        wanted = sum(large.values())
        small = [
            entry
            for entry, demand in large.items()
            if rest * demand < min_share * wanted
        ]
        if not small:
            break
        for entry in small:
            rest -= min(large.pop(entry), min_share)
    if own not in large:
        return min_share
    return rest * large[own] / wanted


def entry_limit_share(
    limit: float, own: str, running: Mapping[str, float]
) -> float:
    """Returns one entry's part of a limit on running tasks.

    Args:
        limit: Limit of the whole customer, tasks.
        own: The entry.
        running: Running tasks of every entry; `own` must be in it.

    Returns:
        At least `entry_share`, and while the limit is not reached all that the
        other entries leave.

    Notes:
        A proportional part alone holds back an entry whose demand grows
        faster than the reports, although the customer is far below its limit.
        All entries may take the same unused rest until the next report: the
        excess is at most ``entries - 1`` times the rest for one second, after
        which the proportional part brings the sum back to the limit.
    """
    part = entry_share(limit, own, running)
    unused = limit - sum(running.values())
    return max(part, running[own] + unused) if unused > 0.0 else part
