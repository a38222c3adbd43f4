"""Filter: looks up the customer and the kind in the configuration."""

import attrs

from trefoilgw.callers import problems
from trefoilgw.entry import exchange as exchanges
from trefoilgw.entry import host as hosts
from trefoilgw.outcomes import core as outcomes

_NO_CONFIGURATION = outcomes.Refused(
    outcomes.Reason.NO_CONFIGURATION,
    not_run=True,
    detail="this entry has not learned the configuration yet",
    retry_after_s=1.0,
)


LEAVING = outcomes.Refused(
    outcomes.Reason.LEAVING,
    not_run=True,
    detail="this entry takes no new jobs; use another one",
    retry_after_s=0.1,
)


def customer_of(host: hosts.Host, token: str) -> str | outcomes.Refused:
    """Returns the name of the customer with a token, or a refusal.

    The refusal says "not run" for this request only: if the caller sent a key,
    an earlier request with the same key may have run.
    """
    if host.configuration is None:
        return _NO_CONFIGURATION
    customer = None
    if token:
        customer = host.configuration.customer_by_token(token)
    if customer is None:
        return outcomes.Refused(
            outcomes.Reason.UNAUTHORIZED,
            not_run=True,
            detail="send the customer's token as Authorization: Bearer",
        )
    return customer.name


def apply(host: hosts.Host, exchange: exchanges.Exchange) -> None:
    """Sets customer and kind, or the reply or pending refusal."""
    if exchange.request is None:
        return
    if not exchange.forwarded:
        customer = customer_of(host, exchange.request.token)
        if isinstance(customer, outcomes.Refused):
            if exchange.request.key:
                customer = attrs.evolve(customer, not_run=False)
            exchange.reply = problems.problem(customer)
            return
        exchange.customer = customer
    if exchange.submission is not None:
        _identify_kind(host, exchange)


def _identify_kind(host: hosts.Host, exchange: exchanges.Exchange) -> None:
    """Sets the kind, or a pending refusal if the customer can't use it."""
    if host.configuration is None:
        exchange.pending_refusal = _NO_CONFIGURATION
        return
    name = exchange.submission.kind
    kind = host.configuration.kind(name)
    if kind is None or exchange.customer not in kind.customers:
        exchange.pending_refusal = outcomes.Refused(
            outcomes.Reason.UNKNOWN_KIND,
            not_run=True,
            detail=f"this customer has no kind {name!r}",
        )
        return
    exchange.kind = kind
