"""Routes requests to the filters of this entry or to their home entry."""

import json
import logging
from collections.abc import Callable

import attrs

from trefoilgw.callers import problems
from trefoilgw.callers import values
from trefoilgw.entry import answer
from trefoilgw.entry import configuring
from trefoilgw.entry import decode
from trefoilgw.entry import exchange as exchanges
from trefoilgw.entry import host as hosts
from trefoilgw.entry import identify
from trefoilgw.entry import peers
from trefoilgw.keys import core as keys
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes

MAX_TICKETS = 1000
NONCE_BITS = 64
# No tickets are issued for a peer that was silent for longer.
MAX_TICKET_PEER_SILENCE_S = 2.5
# Time to wait for the home's answer beyond the time that the caller waits.
FORWARD_MARGIN_S = 3.0

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Router:
    """Answers requests of callers and those that peers forward.

    Attributes:
        host: State of this entry.
        config: Configuration in force and roster.
        peers: Streams to the other entries.
        run_filters: Runs an exchange through all filters.
        warm_up_end_s: Monotonic time until which the health check fails without
            an agent. A new entry without agents would refuse work for which
            other entries have targets. Later, an entry without agents can
            still answer for jobs that ended.
    """

    host: hosts.Host
    config: configuring.ConfigurationManager
    peers: peers.PeerStreams
    run_filters: object
    warm_up_end_s: float = 0.0

    def handle(self, request: values.Request) -> values.Reply:
        """Answers one request of a caller."""
        reply = self._run_guarded(self._route, request)
        if reply.reason:
            self.host.counts.record_refused(reply.reason)
        return reply

    def issue_tickets(self, count: int) -> list[str]:
        """Returns new tickets, alternating between this entry and its peers.

        Notes:
            A caller uses the tickets of one answer in sequence. If all of them
            named one home, that home would get the caller's whole load for a
            while.
        """
        homes = self._ticket_homes()
        tickets = []
        for number in range(count):
            incarnation, window = homes[number % len(homes)]
            ticket = keys.Ticket(incarnation, window, self._nonce())
            tickets.append(keys.format_key(ticket))
        return tickets

    def _ticket_homes(self) -> list[tuple[str, int]]:
        """Returns the entries to issue tickets for, with their ticket windows.

        The order is random.

        Notes:
            A peer's window is that of its last heartbeat. The peer accepts
            older windows too, so a window that has ended since is harmless.
        """
        host = self.host
        now_s = host.read_clock()
        homes = [(host.incarnation, host.windows.current(now_s))]
        for incarnation, peer in host.peers.items():
            is_fresh = now_s - peer.last_received_s < MAX_TICKET_PEER_SILENCE_S
            if is_fresh and peer.ticket_window >= 0 and not peer.leaving:
                homes.append((incarnation, peer.ticket_window))
        host.rng.shuffle(homes)
        return homes

    def _new_ticket(self) -> keys.Ticket:
        """Returns a new ticket of this entry."""
        host = self.host
        window = host.windows.current(host.read_clock())
        return keys.Ticket(host.incarnation, window, self._nonce())

    def _nonce(self) -> str:
        """Returns a random string that makes a ticket unique."""
        return f"{self.host.rng.getrandbits(NONCE_BITS):016x}"

    def serve_forwarded(
        self, peer: peers.Peer, forward: messages.Forward
    ) -> None:
        """Answers a request that a peer forwarded and sends the reply."""
        reply = self._run_guarded(self._answer_forwarded, forward)
        self.peers.reply(peer, forward.request, reply)

    def _run_guarded(self, handler: Callable, request) -> values.Reply:
        """Runs a handler and counts its request as open while it runs.

        An exception becomes a refusal that leaves the outcome unknown.
        """
        self.host.open_requests += 1
        try:
            return handler(request)
        except Exception:
            name = type(request).__name__
            log.exception("request failed", extra={"request": name})
            return problems.problem(
                outcomes.Refused(outcomes.Reason.INTERNAL, not_run=False)
            )
        finally:
            self.host.open_requests -= 1

    def _route(self, request: values.Request) -> values.Reply:
        """Answers a request according to its action."""
        match request.action:
            case values.Action.HEALTH:
                return self._health()
            case values.Action.EPOCH:
                return _json(
                    {
                        "epoch": self.host.roster.epoch,
                        "incarnation": self.host.incarnation,
                    }
                )
            case values.Action.TICKETS:
                return self._issue_tickets(request)
        return self._job_request(request)

    def _job_request(self, request: values.Request) -> values.Reply:
        """Answers a request about a job, here or through its home entry."""
        if not request.key and request.action is values.Action.SUBMIT:
            return self._run_here(request, self._new_ticket())
        key = keys.parse_key(request.key)
        if isinstance(key, outcomes.Refused):
            return problems.problem(key)
        home = keys.home_of(key, self.host.roster)
        if isinstance(home, outcomes.Refused):
            return problems.problem(home, attempt_forwarded=False)
        if home == self.host.incarnation:
            return self._run_here(request, key)
        return self._forward_to_home(request, key, home)

    def _run_here(self, request: values.Request, key: keys.Key):
        """Runs the filters for a request whose home is this entry."""
        exchange = exchanges.Exchange(request=request, key=key)
        self.run_filters(exchange)
        return exchange.reply

    def _forward_to_home(
        self, request: values.Request, key: keys.Key, home: str
    ) -> values.Reply:
        """Forwards a request to its home and returns the answer."""
        customer = identify.customer_of(self.host, request.token)
        if isinstance(customer, outcomes.Refused):
            return problems.problem(attrs.evolve(customer, not_run=False))
        text = keys.format_key(key)
        peer = self.peers.find_reachable(home)
        if peer is None:
            return self._answer_without_home(request, text, home)
        reply = self.peers.forward(
            peer,
            messages.Forward(
                request=0,
                customer=customer,
                action=str(request.action),
                key=text,
                body=request.body,
                wait_s=request.wait_s,
            ),
            request.wait_s + FORWARD_MARGIN_S,
        )
        if reply is None:
            return _unreachable(forwarded=True)
        return reply

    def _answer_without_home(
        self, request: values.Request, key: str, home: str
    ) -> values.Reply:
        """Answers a request whose home is not reachable.

        The job of a lost home has failed; another home may become reachable
        again.
        """
        if not self.config.is_lost(home, self.host.read_clock()):
            return _unreachable(forwarded=False)
        tasks = None
        if request.action is values.Action.SUBMIT:
            tasks = decode.count_tasks(request.body)
        return answer.lost_job_reply(key, tasks)

    def _answer_forwarded(self, forward: messages.Forward) -> values.Reply:
        """Returns the answer to a forwarded request."""
        request = values.Request(
            values.Action(forward.action),
            key=forward.key,
            body=forward.body,
            wait_s=forward.wait_s,
        )
        key = keys.parse_key(forward.key)
        if isinstance(key, outcomes.Refused):
            return problems.problem(key)
        home = keys.home_of(key, self.host.roster)
        if home != self.host.incarnation:
            # Never forwarded again: entries with different rosters could
            # forward a request in a loop.
            return _unreachable(forwarded=True)
        exchange = exchanges.Exchange(
            request=request,
            key=key,
            customer=forward.customer,
            forwarded=True,
        )
        self.run_filters(exchange)
        return exchange.reply

    def _health(self) -> values.Reply:
        """Answers the health check of the balancer."""
        if self.host.leaving:
            return _json({"status": "leaving"}, 503)
        if self.host.configuration is None:
            return _json({"status": "no_configuration"}, 503)
        if not self.host.agents and self.host.now() < self.warm_up_end_s:
            return _json({"status": "no_target"}, 503)
        return _json({"status": "ok"})

    def _issue_tickets(self, request: values.Request) -> values.Reply:
        """Answers a request for tickets."""
        customer = identify.customer_of(self.host, request.token)
        if isinstance(customer, outcomes.Refused):
            return problems.problem(customer)
        if self.host.leaving:
            return problems.problem(identify.LEAVING)
        count = decode.read_ticket_count(request.body, MAX_TICKETS)
        if count is None:
            return problems.problem(
                outcomes.Refused(
                    outcomes.Reason.BAD_REQUEST,
                    not_run=True,
                    detail='the body must be {"count": n} with n from 1 to '
                    f"{MAX_TICKETS}",
                )
            )
        return _json({"tickets": self.issue_tickets(count)})


def _json(fields: dict, status: int = 200) -> values.Reply:
    """Returns a reply with a JSON object as body."""
    return values.Reply(status, json.dumps(fields).encode())


def _unreachable(forwarded: bool) -> values.Reply:
    """Returns the refusal for a home that does not answer."""
    return problems.problem(
        outcomes.Refused(
            outcomes.Reason.HOME_UNREACHABLE,
            not_run=False,
            detail="the entry that this key belongs to gives no answer",
            retry_after_s=1.0,
        ),
        attempt_forwarded=forwarded,
    )
