"""Weights of flows and quota shares of kinds, from the configuration."""

import collections

import attrs

from trefoilgw.admission import work

# Lower bound for configured weights. A flow of weight 0 would never be served.
MIN_WEIGHT = 1e-3


@attrs.define
class Plan:
    """Weights and quota shares derived from one configuration.

    Attributes:
        weights: Weight by flow.
        quota_shares: By customer, the share of its quota by kind, 0 to 1.
        service_weights: Total weight of the flows, by service.
    """

    weights: dict[work.Flow, float] = attrs.field(factory=dict)
    quota_shares: dict[str, dict[str, float]] = attrs.field(factory=dict)
    service_weights: dict[str, float] = attrs.field(
        factory=lambda: collections.defaultdict(float)
    )


def plan_weights(configuration) -> Plan:
    """Returns the plan for a `records.Configuration`.

    Notes:
        A flow's weight is its customer's weight times its kind's fraction of
        the total weight of that customer's kinds, so that a customer with
        many kinds gets no more than one with few.
    """
    result = Plan()
    kinds = collections.defaultdict(list)
    for kind in configuration.kinds:
        for name in kind.customers:
            kinds[name].append(kind)
    for customer in configuration.customers:
        own = kinds[customer.name]
        total = sum(max(MIN_WEIGHT, kind.weight) for kind in own)
        quota_shares = {
            kind.name: max(MIN_WEIGHT, kind.weight) / total for kind in own
        }
        result.quota_shares[customer.name] = quota_shares
        for kind in own:
            weight = max(MIN_WEIGHT, customer.weight) * quota_shares[kind.name]
            result.weights[work.Flow(customer.name, kind.name)] = weight
            result.service_weights[kind.service] += weight
    return result
