"""Lends credits of this entry to its peers."""

from trefoilgw.entry import host as hosts
from trefoilgw.messages import core as messages


def lend(host: hosts.Host, entry: str, credits: int, now_s: float) -> None:
    """Lends credits to a peer that asked, now or once some are free."""
    lent = host.placement.lend(credits, entry, now_s)
    if lent:
        _send_credits(host, entry, lent)


def lend_deferred(host: hosts.Host, now_s: float) -> None:
    """Lends credits that became free to peers whose requests are deferred."""
    while True:
        deferred = host.placement.lend_deferred(
            now_s, host.admission.waiting_jobs
        )
        if deferred is None:
            return
        entry, lent = deferred
        _send_credits(host, entry, lent)


def _send_credits(
    host: hosts.Host, entry: str, lent: tuple[messages.LentCredits, ...]
) -> None:
    """Sends lent credits to a peer; takes them back if it is disconnected."""
    peer = host.peers.get(entry)
    sent = peer is not None and host.send(
        peer.stream, messages.CreditLend(lent)
    )
    if not sent:
        host.placement.take_back(lent)
