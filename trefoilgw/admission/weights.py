"""Weights of flows and parts of quotas, from the configuration."""

import collections

import attrs

from trefoilgw.admission import work

# A weight of 0 in a record would leave a flow without any service.
MIN_WEIGHT = 1e-3


@attrs.define
class Plan:
    """What follows from one configuration.

    Attributes:
        weights: Weight by flow.
        quota_shares: Part of the customer's quota by kind, by customer.
        service_weights: Sum of the weights of a service's flows.
    """

    weights: dict[work.Flow, float] = attrs.field(factory=dict)
    quota_shares: dict[str, dict[str, float]] = attrs.field(factory=dict)
    service_weights: dict[str, float] = attrs.field(
        factory=lambda: collections.defaultdict(float)
    )


def plan_weights(configuration) -> Plan:
    """Returns the weights of all flows of a `records.Configuration`.

    Notes:
        A flow's weight is its customer's weight times its kind's part of the
        weights of that customer's kinds, so that a customer with many kinds
        gets no more than one with few.
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
