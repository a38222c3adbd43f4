"""The streams of an agent, one to each entry assigned to it.

Discovers the entries through the seed addresses and the roster, dials them, and
redials with full jitter. Messages are passed to the agent.
"""

import logging
import random
import time
from collections.abc import Callable

import attrs
import eventlet

from trefoilgw.agent import entry_selection
from trefoilgw.messages import core as messages
from trefoilgw.streams import core as streams

# Redial delays are random between 0 and a limit that doubles with each failure
# (full jitter), which spreads the redials of many agents after an outage.
INITIAL_REDIAL_DELAY_S = 0.1
MAX_REDIAL_DELAY_S = 5.0
# An address counts as unreachable after this many failures in a row.
UNREACHABLE_FAILURES = 3
# Holds results and a configuration of 1 MB. The agent's memory limit is 32 MB.
MAX_OUTBOX_BYTES = 3 * 1024 * 1024

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Link:
    """An address that the agent dials, and the stream to it.

    Attributes:
        address: ``ip:port`` of an entry or of a load balancer for entries.
        failures: Number of consecutive failed dials and short-lived streams.
        stream: The open stream, or None.
        entry: Incarnation of the entry reached last, empty if none.
        session: Number of the session of `stream`.
        dialing: True while a dial is under way or scheduled.
        opened_s: When the last stream was opened.
        pinged_s: When the last ping was sent.
        closing: True once the agent has sent `Leaving` on this stream.
    """

    address: str
    failures: int = 0
    stream: streams.Stream | None = None
    entry: str = ""
    session: int = 0
    dialing: bool = False
    opened_s: float = 0.0
    pinged_s: float = 0.0
    closing: bool = False


@attrs.define(eq=False)
class Connections:
    """Opens, replaces and closes the streams of an agent.

    Attributes:
        agent: Incarnation of the agent.
        key: Shared key of the streams.
        seeds: Addresses from the settings.
        hello: Returns the agent's hello.
        accept: Called before a stream starts with its link, its welcome and
            the time at which the dial began; returns False to reject it.
        on_open: Called with a link whose stream has started.
        on_message: Called with a link and each message.
        on_closed: Called with a link whose stream has closed.
        rng: Source of jitter.
        now: Monotonic clock in seconds.
        epoch: Epoch of the roster, 0 if none is known.
        roster: Entries of the newest roster, empty if none is known.
        links: Links by address.
        dials: Number of dials started.
        dial_failures: Number of dials that failed.
    """

    agent: str
    key: bytes
    seeds: tuple[str, ...]
    hello: Callable[[], messages.AgentHello]
    accept: Callable
    on_open: Callable
    on_message: Callable
    on_closed: Callable
    rng: random.Random
    now: Callable[[], float] = time.monotonic
    epoch: int = 0
    roster: tuple[messages.RosterEntry, ...] = ()
    links: dict[str, Link] = attrs.field(factory=dict)
    dials: int = 0
    dial_failures: int = 0
    _stopped: bool = False

    def update(self) -> None:
        """Dials wanted addresses without a stream and deletes unused links.

        Links of seeds are kept, as they record which entry a seed leads to.
        """
        if self._stopped:
            return
        wanted = self._wanted_addresses()
        for address in wanted:
            link = self.links.setdefault(address, Link(address))
            if link.stream is None and not link.dialing:
                link.dialing = True
                eventlet.spawn_n(self._dial_until_open, link)
        for address in list(self.links):
            idle = self.links[address].stream is None
            if idle and address not in wanted and address not in self.seeds:
                del self.links[address]

    def stop(self) -> None:
        """Stops dialing; open streams stay open."""
        self._stopped = True

    def close(self, reason: str) -> None:
        """Stops dialing and closes all streams."""
        self.stop()
        for link in self.open_links():
            link.stream.close(reason)

    def open_links(self) -> list[Link]:
        """Returns the links with an open stream."""
        return [link for link in self.links.values() if link.stream]

    def link_to(self, entry: str) -> Link | None:
        """Returns the link with an open stream to an entry, or None."""
        for link in self.links.values():
            if link.stream is not None and link.entry == entry:
                return link
        return None

    def update_roster(
        self, epoch: int, entries: tuple[messages.RosterEntry, ...]
    ) -> bool:
        """Adopts a roster if it is newer than the known one.

        Returns:
            True if it was adopted.
        """
        if epoch <= self.epoch:
            return False
        self.epoch = epoch
        self.roster = entries
        return True

    def expected_entries(self) -> tuple[str, ...]:
        """Returns the incarnations of the entries that share the slots.

        Without a roster, returns the addresses of the seeds that were not
        reached yet instead.
        """
        if self.roster:
            return tuple(entry.incarnation for entry in self.assigned_entries())
        reached = {
            address for address, link in self.links.items() if link.entry
        }
        unreached = [seed for seed in self.seeds if seed not in reached]
        return tuple(unreached[: entry_selection.ENTRIES_PER_AGENT])

    def assigned_entries(self) -> tuple[messages.RosterEntry, ...]:
        """Returns the entries of the roster that the agent is assigned to."""
        return entry_selection.assigned_entries(
            self.agent, self.roster, self._unreachable()
        )

    def surplus_links(self) -> list[Link]:
        """Returns open links to listed entries that are no longer assigned.

        An entry that is not in the roster may be a new one or one that is
        finishing its jobs, and closes its stream itself.
        """
        if len(self.open_links()) <= entry_selection.ENTRIES_PER_AGENT:
            return []
        assigned = {entry.incarnation for entry in self.assigned_entries()}
        listed = {entry.incarnation for entry in self.roster}
        return [
            link
            for link in self.open_links()
            if link.entry in listed - assigned
        ]

    def _wanted_addresses(self) -> set[str]:
        """Returns the addresses that should have a stream.

        These are the assigned entries and, up to `ENTRIES_PER_AGENT` in all,
        seeds that lead to no listed entry. Until an assigned entry is
        connected, seeds are dialed in addition to the assigned entries. Seeds
        that led to an entry connected by another address are left out.
        """
        assigned = {entry.stream_address for entry in self.assigned_entries()}
        listed = {entry.stream_address for entry in self.roster}
        reached = any(
            link.stream is not None and address in assigned
            for address, link in self.links.items()
        )
        seeds = [
            seed for seed in self.seeds if not self._is_duplicate_seed(seed)
        ]
        seed_limit = entry_selection.ENTRIES_PER_AGENT
        if reached:
            seed_limit -= len(assigned)
            seeds = [
                seed
                for seed in seeds
                if seed not in listed and not self._is_balancer_seed(seed)
            ]
        dialed = entry_selection.select_seeds(
            self.agent, seeds, self._unreachable(), seed_limit
        )
        return assigned.union(dialed)

    def _unreachable(self) -> frozenset[str]:
        """Returns the addresses that do not answer."""
        return frozenset(
            address
            for address, link in self.links.items()
            if link.stream is None and link.failures >= UNREACHABLE_FAILURES
        )

    def _is_duplicate_seed(self, seed: str) -> bool:
        """Returns True if a seed led to an entry connected by another address.

        Dialing the seed again would replace the session of that stream.
        """
        link = self.links.get(seed)
        if link is None or not link.entry or link.stream is not None:
            return False
        return self.link_to(link.entry) is not None

    def _is_balancer_seed(self, seed: str) -> bool:
        """Returns True if a seed led to an entry listed at another address."""
        link = self.links.get(seed)
        return link is not None and any(
            entry.incarnation == link.entry and entry.stream_address != seed
            for entry in self.roster
        )

    def _dial_until_open(self, link: Link) -> None:
        """Dials until a stream is open or the address is no longer wanted."""
        try:
            if link.entry:
                eventlet.sleep(self._redial_delay_s(link.failures))
            while (
                not self._stopped and link.address in self._wanted_addresses()
            ):
                if self._dial(link):
                    return
                eventlet.sleep(self._redial_delay_s(link.failures))
        finally:
            link.dialing = False
            self.update()

    def _redial_delay_s(self, failures: int) -> float:
        """Returns a random delay in seconds, with full jitter."""
        limit_s = min(
            MAX_REDIAL_DELAY_S, INITIAL_REDIAL_DELAY_S * 2 ** min(failures, 10)
        )
        return self.rng.uniform(0.0, limit_s)

    def _dial(self, link: Link) -> bool:
        """Returns True if a stream was opened and started."""
        self.dials += 1
        dial_started_s = self.now()
        try:
            stream = streams.dial(link.address, self.key, self.hello())
        except streams.DialError as error:
            self._dial_failed(link, str(error))
            return False
        except Exception as error:  # A peer's fault must not stop redialing.
            log.exception("unexpected error while dialing")
            self._dial_failed(link, str(error))
            return False
        welcome = stream.welcome
        link.entry = welcome.incarnation
        link.session = welcome.session
        if self.update_roster(welcome.epoch, welcome.entries):
            self.update()
        if self._stopped or not self._is_served_entry(link):
            stream.close("not assigned")
            link.failures += 1
            return False
        if not self.accept(link, welcome, dial_started_s):
            stream.close("the session is not the newest")
            link.failures += 1
            return False
        self._start_stream(link, stream)
        return True

    def _is_served_entry(self, link: Link) -> bool:
        """Returns True if the entry just reached is assigned or not listed.

        A listed entry that is not assigned is served by other agents.
        """
        listed = {entry.incarnation for entry in self.roster}
        assigned = {entry.incarnation for entry in self.assigned_entries()}
        return link.entry in assigned or link.entry not in listed

    def _start_stream(self, link: Link, stream: streams.Stream) -> None:
        """Starts a stream and closes an older one to the same entry."""
        previous_link = self.link_to(link.entry)
        if previous_link is not None:
            previous_stream = previous_link.stream
            previous_link.stream = None
            previous_stream.close("replaced by a newer session")
        link.stream = stream
        link.opened_s = self.now()
        link.closing = False
        stream.max_outbox_bytes = MAX_OUTBOX_BYTES
        log.info(
            "connected", extra={"entry": link.entry, "session": link.session}
        )
        stream.start(
            lambda stream, message: self._deliver(link, stream, message),
            lambda stream, reason: self._stream_closed(link, stream, reason),
        )
        self.on_open(link)
        self.update()

    def _deliver(self, link: Link, stream: streams.Stream, message) -> None:
        """Passes on a message if it came by the link's newest stream."""
        if link.stream is stream:
            self.on_message(link, message)

    def _stream_closed(
        self, link: Link, stream: streams.Stream, reason
    ) -> None:
        """Handles the end of a link's stream and redials.

        A stream that closes soon after it was opened counts as a failure.
        """
        if link.stream is not stream:
            return
        link.stream = None
        lived_s = self.now() - link.opened_s
        link.failures = link.failures + 1 if lived_s < MAX_REDIAL_DELAY_S else 0
        log.info("disconnected", extra={"entry": link.entry, "reason": reason})
        self.on_closed(link)
        self.update()

    def _dial_failed(self, link: Link, reason: str) -> None:
        """Counts a failed dial; logs only the first of consecutive failures."""
        self.dial_failures += 1
        link.failures += 1
        if link.failures == 1:
            log.info(
                "dial failed",
                extra={"address": link.address, "reason": reason},
            )
        if link.failures == UNREACHABLE_FAILURES:
            self.update()
