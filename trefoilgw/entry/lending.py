"""Credits that pass between this entry and its peers."""

from trefoilgw.entry import host as hosts
from trefoilgw.messages import core as messages


def lend(host: hosts.Host, entry: str, credits: int, now_s: float) -> None:
    """Answers a peer that asked for credits, now or once some are free."""
    lent = host.placement.lend(credits, entry, now_s)
    if lent:
        _send(host, entry, lent)


def lend_owed(host: hosts.Host, now_s: float) -> None:
    """Lends credits that came free to peers whose asks could not be met."""
    while True:
        owed = host.placement.lend_deferred(now_s, host.admission.waiting_jobs)
        if owed is None:
            return
        entry, lent = owed
        _send(host, entry, lent)


def _send(
    host: hosts.Host, entry: str, lent: tuple[messages.LentCredits, ...]
) -> None:
    """Sends credits to a peer, or keeps them if it is gone."""
    peer = host.peers.get(entry)
    sent = peer is not None and host.send(
        peer.stream, messages.CreditLend(lent)
    )
    if not sent:
        host.placement.take_back(lent)
