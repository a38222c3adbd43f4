"""Division of a customer's quota among the entries without a coordinator.

Every entry computes the same division from the demands that all entries
reported.
"""

from collections.abc import Mapping


def entry_share(quota: float, own: str, demands: Mapping[str, float]) -> float:
    """Returns one entry's share of a quota.

    Args:
        quota: Quota of the whole customer, starts/s or tasks.
        own: Name of the entry.
        demands: Demand by entry in the unit of the quota. Must contain `own`.

    Returns:
        The share in the unit of the quota, at least
        ``quota / (2 * entries)``.

    Notes:
        Unused quota is divided evenly, so that a burst at an entry without
        previous demand is not refused while the customer is far below its
        quota. If the total demand exceeds the quota, the quota is divided in
        proportion to demand, but no entry gets less than half of an even
        share, so that an entry with new demand can serve it before its peers
        learn of it.
        An entry below that minimum uses what it demands, and the others
        divide the rest. So the demands of the last second get at most the
        quota; a change of demand can exceed it by half a quota for one
        second.
    """
    min_share = quota / (2 * len(demands))
    unused = max(0.0, quota - sum(demands.values())) / len(demands)
    above_min = {entry: demand + unused for entry, demand in demands.items()}
    rest = quota
    while True:
        wanted = sum(above_min.values())
        below_min = [
            entry
            for entry, demand in above_min.items()
            if rest * demand < min_share * wanted
        ]
        if not below_min:
            break
        for entry in below_min:
            rest -= min(above_min.pop(entry), min_share)
    if own not in above_min:
        return min_share
    return rest * above_min[own] / wanted


def entry_limit_share(
    limit: float, own: str, running: Mapping[str, float]
) -> float:
    """Returns one entry's share of a limit on running tasks.

    Args:
        limit: Limit of the whole customer, tasks.
        own: Name of the entry.
        running: Running tasks by entry. Must contain `own`.

    Returns:
        The share in tasks, at least `entry_share`. While the limit is not
        reached, at least all that the other entries leave unused.

    Notes:
        A proportional share alone would limit an entry whose demand grows
        faster than the reports arrive, although the customer is far below its
        limit. All entries may use the same unused rest until the next report:
        the excess is at most ``entries - 1`` times the rest for one second,
        after which the proportional share brings the sum back to the limit.
    """
    share = entry_share(limit, own, running)
    unused = limit - sum(running.values())
    return max(share, running[own] + unused) if unused > 0.0 else share
