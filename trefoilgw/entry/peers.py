"""Streams to the other entries.

They carry heartbeats, forwarded requests, lent credits, usage and the
configuration.
"""

import itertools
import json
import logging
from collections.abc import Callable

import attrs
import eventlet
from eventlet import event

from trefoilgw.callers import problems
from trefoilgw.callers import values
from trefoilgw.entry import backoff
from trefoilgw.entry import configuring
from trefoilgw.entry import host as hosts
from trefoilgw.entry import lending
from trefoilgw.messages import codec
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.streams import core as streams

# Requests are not forwarded to a peer that was silent for longer.
SUSPICION_S = 3.0
# A stream that was silent for longer is closed and dialed again.
MAX_SILENCE_S = 10.0
_RETRY_AFTER_STATUSES = (429, 503)

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Peer:
    """Another entry to which a stream is open.

    Attributes:
        entry: Roster entry that it announced for itself.
        stream: The stream.
        dialed_by: Incarnation of the side that opened the stream.
        last_received_s: Monotonic time at which its last message arrived.
        free_credits: Credits that it can lend, by its last heartbeat.
        revision: Configuration revision that it reported last.
        leaving: True if it is stopping.
        ticket_window: Ticket window by its last heartbeat, -1 before the
            first.
        pending: Events of the forwarded requests without an answer, by request
            number.
    """

    entry: messages.RosterEntry
    stream: streams.Stream
    dialed_by: str
    last_received_s: float
    free_credits: int = 0
    revision: int = 0
    leaving: bool = False
    ticket_window: int = -1
    pending: dict = attrs.field(factory=dict)


@attrs.define(eq=False)
class PeerStreams:
    """Keeps one stream to each other entry.

    Attributes:
        host: State of this entry.
        config: Configuration in force and roster.
        key: Shared key of the streams.
        seeds: Addresses of entries from the settings.
        on_forward: Called with the peer and each `Forward` it sends, in a new
            greenthread.
        dial_backoffs: Backoff of dial attempts by address.
        last_seen_s: Monotonic time of the last message of entries without a
            stream, by incarnation.
    """

    host: hosts.Host
    config: configuring.ConfigurationManager
    key: bytes
    seeds: tuple[str, ...] = ()
    on_forward: Callable = lambda peer, forward: None
    dial_backoffs: dict = attrs.field(factory=dict)
    last_seen_s: dict = attrs.field(factory=dict)
    _request_numbers: itertools.count = attrs.field(
        factory=lambda: itertools.count(1)
    )

    def welcome(
        self, hello: messages.PeerHello
    ) -> messages.Welcome | messages.HelloRefused:
        """Returns the answer to the hello of another entry."""
        incarnation = hello.entry.incarnation
        own = self.host.incarnation
        if incarnation == own:
            return messages.HelloRefused("self", "this is the same entry")
        peer = self.host.peers.get(incarnation)
        if peer is not None and not self._should_replace(peer, incarnation):
            return messages.HelloRefused("duplicate", "a stream is open")
        return messages.Welcome(
            incarnation=own,
            session=0,
            revision=self.config.revision,
            lease_s=0.0,
            epoch=self.host.roster.epoch,
            entries=self.config.roster_entries(),
        )

    def stream_accepted(self, stream: streams.Stream) -> None:
        """Registers a stream that another entry opened."""
        hello = stream.hello
        incarnation = hello.entry.incarnation
        self._register_stream(stream, hello.entry, incarnation, hello.revision)

    def maintain_streams(self) -> None:
        """Dials entries without a stream and closes silent streams."""
        now_s = self.host.read_clock()
        for peer in list(self.host.peers.values()):
            if now_s - peer.last_received_s > MAX_SILENCE_S:
                peer.stream.close("silent for too long")
        own = self.host.incarnation
        self._forget_departed()
        for entry in self.config.entries:
            incarnation = entry.incarnation
            if incarnation == own or incarnation in self.host.peers:
                continue
            dial_backoff = self._get_backoff(entry.stream_address)
            # The entry with the smaller incarnation dials first; the other one
            # dials after a delay in case the first can't.
            initial_delay_s = 0.0 if own < incarnation else 1.0
            self._dial_if_due(
                entry.stream_address, dial_backoff, initial_delay_s
            )
        for address in self.seeds:
            dial_backoff = self._get_backoff(address)
            incarnation = dial_backoff.incarnation
            if incarnation != own and incarnation not in self.host.peers:
                self._dial_if_due(address, dial_backoff, 0.0)

    def _forget_departed(self) -> None:
        """Drops the state of entries that left the roster."""
        members = self.host.roster.entries
        for incarnation in [n for n in self.last_seen_s if n not in members]:
            del self.last_seen_s[incarnation]
        known = {entry.stream_address for entry in self.config.entries}
        known.update(self.seeds)
        for address, dial_backoff in list(self.dial_backoffs.items()):
            if address not in known and not dial_backoff.in_progress:
                del self.dial_backoffs[address]

    def send_pings(self) -> None:
        """Sends a heartbeat to each peer."""
        now_s = self.host.read_clock()
        # Services share agents, so the sum of free credits over services would
        # count credits more than once.
        free = self.host.placement.book.free
        message = messages.PeerPing(
            now_s,
            self.config.revision,
            self.host.roster.epoch,
            free,
            self.host.leaving,
            self.host.windows.current(now_s),
        )
        for peer in list(self.host.peers.values()):
            self.host.send(peer.stream, message)

    def send_usage(self) -> None:
        """Sends the demand of the customers at this entry to each peer."""
        demands = self.host.admission.collect_demand(self.host.read_clock())
        message = messages.Usage(tuple(demands))
        for peer in list(self.host.peers.values()):
            self.host.send(peer.stream, message)

    def find_reachable(self, incarnation: str) -> Peer | None:
        """Returns a peer, or None if it is not connected or silent.

        Silent means that no message arrived for `SUSPICION_S`.
        """
        peer = self.host.peers.get(incarnation)
        if peer is None:
            return None
        silent_s = self.host.now() - peer.last_received_s
        return peer if silent_s <= SUSPICION_S else None

    def is_silent(self, incarnation: str) -> bool:
        """Returns whether an entry sent nothing for `MAX_SILENCE_S`.

        The silence of an entry that never had a stream to this one counts
        from the first call for it.
        """
        now_s = self.host.now()
        peer = self.host.peers.get(incarnation)
        if peer is not None:
            received_s = peer.last_received_s
        else:
            received_s = self.last_seen_s.setdefault(incarnation, now_s)
        return now_s - received_s >= MAX_SILENCE_S

    def forward(
        self, peer: Peer, forward: messages.Forward, timeout_s: float
    ) -> values.Reply | None:
        """Forwards a request to a peer and waits for its answer.

        Args:
            peer: The peer.
            forward: The request; its number is replaced by a new one.
            timeout_s: Longest wait in seconds.

        Returns:
            The answer, or None if none came; then the outcome of the request
            is unknown.
        """
        number = next(self._request_numbers)
        reply_event = peer.pending[number] = event.Event()
        self.host.counts.forwarded += 1
        self.host.send(peer.stream, attrs.evolve(forward, request=number))
        try:
            return reply_event.wait(timeout=timeout_s)
        finally:
            peer.pending.pop(number, None)

    def reply(self, peer: Peer, request: int, reply: values.Reply) -> None:
        """Sends the answer to a forwarded request.

        An answer that exceeds the frame limit is replaced by a refusal, so
        that the stream stays open.
        """
        message = messages.ForwardReply(request, reply.status, reply.body)
        try:
            self.host.send(peer.stream, message)
        except codec.FrameError:
            refused = outcomes.Refused(
                outcomes.Reason.INTERNAL,
                not_run=False,
                detail="the answer is too large to be forwarded",
            )
            reply = problems.problem(refused)
            self.host.send(
                peer.stream,
                messages.ForwardReply(request, reply.status, reply.body),
            )

    def _get_backoff(self, address: str) -> backoff.DialBackoff:
        """Returns the backoff of an address, creating it if needed."""
        return self.dial_backoffs.setdefault(address, backoff.DialBackoff())

    def _dial_if_due(
        self,
        address: str,
        dial_backoff: backoff.DialBackoff,
        initial_delay_s: float,
    ) -> None:
        """Dials an address unless an attempt is under way or it is too early.

        The first attempt starts after `initial_delay_s`.
        """
        now_s = self.host.now()
        if not dial_backoff.next_dial_s:
            dial_backoff.next_dial_s = now_s + initial_delay_s
        if dial_backoff.in_progress or now_s < dial_backoff.next_dial_s:
            return
        dial_backoff.in_progress = True
        eventlet.spawn_n(self._dial, address, dial_backoff)

    def _dial(self, address: str, dial_backoff: backoff.DialBackoff) -> None:
        """Dials an address and registers the stream, or backs off."""
        hello = messages.PeerHello(
            messages.PROTOCOL_VERSION,
            self.config.own_entry,
            self.config.revision,
        )
        try:
            stream = streams.dial(address, self.key, hello)
        except streams.DialError as error:
            log.debug("dial failed", extra={"error": str(error)})
            if "refused: self" in str(error):
                dial_backoff.incarnation = self.host.incarnation
            dial_backoff.failed(self.host.now(), self.host.rng)
            return
        finally:
            dial_backoff.in_progress = False
        dial_backoff.succeeded(self.host.now())
        welcome = stream.welcome
        dial_backoff.incarnation = welcome.incarnation
        known = {entry.incarnation: entry for entry in welcome.entries}
        entry = known.get(welcome.incarnation) or messages.RosterEntry(
            welcome.incarnation, address, "", ""
        )
        self._register_stream(
            stream, entry, self.host.incarnation, welcome.revision
        )

    def _should_replace(self, peer: Peer, dialer: str) -> bool:
        """Returns whether a new stream replaces the open one of a peer.

        Both sides reach the same result: the stream opened by the smaller
        incarnation stays, and a newer stream from the same side replaces an
        older one, which its opener has abandoned. The stream of a peer that
        was silent for `SUSPICION_S` is always replaced.
        """
        if self.host.now() - peer.last_received_s > SUSPICION_S:
            return True
        smaller = min(self.host.incarnation, peer.entry.incarnation)
        return dialer in (smaller, peer.dialed_by)

    def _register_stream(
        self,
        stream: streams.Stream,
        entry: messages.RosterEntry,
        dialer: str,
        revision: int,
    ) -> None:
        """Registers a stream as that of its entry, or closes it as surplus."""
        incarnation = entry.incarnation
        old = self.host.peers.get(incarnation)
        if old is not None and not self._should_replace(old, dialer):
            stream.close("another stream is open")
            return
        peer = Peer(entry, stream, dialer, self.host.now(), revision=revision)
        self.host.peers[incarnation] = peer
        self.last_seen_s.pop(incarnation, None)
        if old is not None:
            old.stream.close("replaced by a newer stream")
            self._fail_pending(old)
        stream.start(
            lambda stream, message: self._message_received(peer, message),
            lambda stream, reason: self._stream_closed(peer, reason),
        )
        log.info("peer connected", extra={"peer": incarnation})
        if revision > self.config.revision:
            self.host.send(stream, messages.ConfigWant())
        if old is None and incarnation not in self.host.roster.entries:
            self.config.announce_roster()

    def _stream_closed(self, peer: Peer, reason: str) -> None:
        """Removes a peer whose stream closed."""
        self._fail_pending(peer)
        self.host.counts.record_closed_stream("entry", peer.stream)
        incarnation = peer.entry.incarnation
        if self.host.peers.get(incarnation) is not peer:
            return
        del self.host.peers[incarnation]
        self.last_seen_s[incarnation] = peer.last_received_s
        self.host.admission.remove_peer(incarnation)
        self.host.placement.entry_left(incarnation)
        log.info(
            "peer disconnected", extra={"peer": incarnation, "reason": reason}
        )

    def _fail_pending(self, peer: Peer) -> None:
        """Ends the wait for answers that can no longer arrive."""
        pending = list(peer.pending.values())
        peer.pending.clear()
        for reply_event in pending:
            reply_event.send(None)

    def _message_received(self, peer: Peer, message) -> None:
        """Handles one message of a peer."""
        host = self.host
        host.counts.record_received(message)
        peer.last_received_s = host.read_clock()
        match message:
            case messages.PeerPing():
                self._ping_received(peer, message)
            case messages.Forward():
                eventlet.spawn_n(self.on_forward, peer, message)
            case messages.ForwardReply():
                self._reply_received(peer, message)
            case messages.CreditAsk(credits=credits):
                lending.lend(
                    host, peer.entry.incarnation, credits, peer.last_received_s
                )
            case messages.CreditLend(credits=lent):
                self._credits_received(peer, lent)
            case messages.Usage(demands=demands):
                host.admission.update_peer_usage(
                    peer.entry.incarnation, demands, peer.last_received_s
                )
            case messages.ConfigWant():
                self.config.push(peer.stream)
            case messages.ConfigPush(revision=revision, document=document):
                self.config.offer(revision, document)
            case _:
                name = type(message).__name__
                peer.stream.close(f"unexpected {name}")

    def _ping_received(self, peer: Peer, ping: messages.PeerPing) -> None:
        """Stores the values of a peer's heartbeat."""
        peer.free_credits = ping.free_credits
        peer.revision = ping.revision
        peer.leaving = ping.leaving
        peer.ticket_window = ping.window
        if ping.revision > self.config.revision:
            self.host.send(peer.stream, messages.ConfigWant())

    def _reply_received(self, peer: Peer, reply: messages.ForwardReply) -> None:
        """Passes the answer of a home to the request that waits for it."""
        reply_event = peer.pending.pop(reply.request, None)
        if reply_event is None:
            return
        retry_after_s = None
        if reply.status in _RETRY_AFTER_STATUSES:
            retry_after_s = json.loads(reply.body).get("retry_after_s")
        reply_event.send(values.Reply(reply.status, reply.body, retry_after_s))

    def _credits_received(
        self, peer: Peer, lent: tuple[messages.LentCredits, ...]
    ) -> None:
        """Adds credits that a peer lent and returns those of unknown agents."""
        host = self.host
        if not lent:
            host.counts.record_wasted("empty_lend", 2)
        unknown = host.placement.credits_borrowed(lent, peer.entry.incarnation)
        if unknown:
            # These agents have no stream to this entry; the lender can still
            # use their credits.
            host.send(peer.stream, messages.CreditLend(unknown))
        peer.free_credits = max(
            0, peer.free_credits - sum(item.credits for item in lent)
        )
        host.dispatch_waiting()
