"""Weights of flows and parts of quotas, from the configuration."""

import collections

import attrs

from trefoilgw.admission import work

# A weight of 0 in a record would leave a flow without any service.
WEIGHT_LEAST = 1e-3


@attrs.define
class Plan:
    """What follows from one configuration.

    Attributes:
        weights: Weight by flow.
        parts: Part of the customer's quota by kind, by customer.
        service_weights: Sum of the weights of a service's flows.
    """

    weights: dict[work.Flow, float] = attrs.field(factory=dict)
    parts: dict[str, dict[str, float]] = attrs.field(factory=dict)
    service_weights: dict[str, float] = attrs.field(
        factory=lambda: collections.defaultdict(float)
    )


def plan(configuration) -> Plan:
    """Returns the weights of all flows of a `records.Configuration`.

    Notes:
        A flow's weight is its customer's weight times its kind's part of the
        weights of that customer's kinds, so that a customer with many kinds
        gets no more than one with few.
    """
    found = Plan()
    kinds = collections.defaultdict(list)
    for kind in configuration.kinds:
        for name in kind.customers:
            kinds[name].append(kind)
    for customer in configuration.customers:
        own = kinds[customer.name]
        total = sum(max(WEIGHT_LEAST, kind.weight) for kind in own)
        parts = {
            kind.name: max(WEIGHT_LEAST, kind.weight) / total for kind in own
        }
        found.parts[customer.name] = parts
        for kind in own:
            weight = max(WEIGHT_LEAST, customer.weight) * parts[kind.name]
            found.weights[work.Flow(customer.name, kind.name)] = weight
            found.service_weights[kind.service] += weight
    return found
