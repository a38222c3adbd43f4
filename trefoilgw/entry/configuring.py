"""The configuration in force at an entry and the roster, and their exchange.

Whichever process is behind asks the other; a process takes only a higher
revision.
"""

import logging
from collections.abc import Callable
from collections.abc import Mapping

import attrs

from trefoilgw.entry import host as hosts
from trefoilgw.findings import core as findings
from trefoilgw.keys import core as keys
from trefoilgw.messages import core as messages
from trefoilgw.records import core as records
from trefoilgw.rollout import core as rollouts

# A roster read longer ago proves nothing about a missing entry.
ROSTER_FRESH_S = 10.0
# Incarnations remembered after they are gone from the history of the
# platform's record; 9 hosts fail and 130 are replaced a day.
SEEN_LIMIT = 10_000
# A document may have 1 MB and an entry some hundred agents; copies for all of
# them at once would take as many MB.
PUSHED_BYTES = 8 * 1024 * 1024
PUSH_PAUSE_S = 0.05

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Configuring:
    """Configuration and roster of one entry.

    Attributes:
        host: State of this entry.
        own: This entry in the roster.
        rollout: Revision and document in force.
        entries: Roster entries of the current epoch.
        roster_read_s: When the roster was read last, None if never.
        seen: Incarnations that were ever in a roster seen here, as an
            ordered set.
        on_change: Called after a new configuration is in force.
        on_roster_change: Called after the entries to announce changed.
    """

    host: hosts.Host
    own: messages.RosterEntry
    rollout: rollouts.Rollout = attrs.field(factory=rollouts.Rollout)
    entries: tuple[messages.RosterEntry, ...] = ()
    roster_read_s: float | None = None
    seen: dict = attrs.field(factory=dict)
    on_change: Callable[[], None] = lambda: None
    on_roster_change: Callable[[], None] = lambda: None

    @property
    def revision(self) -> int:
        """Revision in force, 0 if none."""
        return self.rollout.revision

    def offer(self, revision: int, document: bytes) -> bool:
        """Takes a configuration if it is newer and valid.

        Returns:
            True if it is in force now.
        """
        if self.rollout.is_behind(revision):
            return self._put_in_force(revision, document)
        self.rollout.offer(revision, document)  # Counts a conflict.
        return False

    def _put_in_force(self, revision: int, document: bytes) -> bool:
        """Takes a newer configuration if it is valid."""
        parsed = records.parse_document(document)
        if isinstance(parsed, tuple) or parsed.revision != revision:
            found = parsed if isinstance(parsed, tuple) else ()
            log.error(
                "configuration is not valid",
                extra={
                    "revision": revision,
                    "findings": findings.render(found),
                },
            )
            return False
        self.rollout.offer(revision, document)
        host = self.host
        host.configuration = parsed
        host.services = tuple(item.name for item in parsed.services)
        host.admission.configure(parsed, host.read_clock())
        for kind in parsed.kinds:
            host.placement.declare_run_time(kind.name, kind.run_time_s)
        log.info("configuration in force", extra={"revision": revision})
        self._tell_agents(revision, list(host.agents.values()))
        self.on_change()
        host.dispatch_waiting()
        return True

    def push(self, stream) -> None:
        """Sends the configuration in force to one process."""
        if self.revision:
            self.host.send(
                stream,
                messages.ConfigPush(self.revision, self.rollout.document),
            )

    def take_roster(
        self,
        epoch: int,
        entries: tuple[messages.RosterEntry, ...],
        history: Mapping[int, tuple[str, ...]],
        read_s: float,
    ) -> None:
        """Takes a roster that was read from the platform.

        Args:
            epoch: Its epoch.
            entries: The entries of the epoch.
            history: Incarnations by epoch.
            read_s: Monotonic time of the reading.
        """
        self.roster_read_s = read_s
        host = self.host
        if epoch < host.roster.epoch:
            return
        names = tuple(entry.incarnation for entry in entries)
        for members in (*history.values(), names):
            self.seen.update(dict.fromkeys(members))
        while len(self.seen) > SEEN_LIMIT:
            del self.seen[next(iter(self.seen))]
        if epoch == host.roster.epoch:
            return
        host.roster = keys.RosterView(epoch, names, dict(history))
        host.epochs.seen(epoch)
        self.entries = entries
        log.info("roster changed", extra={"epoch": epoch, "entries": names})
        self.announce()

    def roster_entries(self) -> tuple[messages.RosterEntry, ...]:
        """Returns the entries that agents should know, this one included.

        An entry that started while the platform is down is missing in the
        roster, but agents can reach it.
        """
        known = {entry.incarnation: entry for entry in self.entries}
        if not self.host.leaving:
            known.setdefault(self.own.incarnation, self.own)
        for name, peer in self.host.peers.items():
            if not peer.leaving:
                known.setdefault(name, peer.entry)
        return tuple(known[name] for name in sorted(known))

    def announce(self) -> None:
        """Tells the agents which entries there are."""
        message = messages.Roster(self.host.roster.epoch, self.roster_entries())
        for session in self.host.agents.values():
            self.host.send(session.stream, message)
        self.on_roster_change()

    def is_lost(self, incarnation: str, now_s: float) -> bool:
        """Returns whether a home is gone for good.

        It was a member once and is missing from a roster that was read within
        the last 10 s. An incarnation never seen may be new instead.
        """
        if incarnation not in self.seen or self.roster_read_s is None:
            return False
        if now_s - self.roster_read_s > ROSTER_FRESH_S:
            return False
        return incarnation not in self.host.roster.entries

    def _tell_agents(self, revision: int, sessions: list) -> None:
        """Pushes the configuration to agents that are behind, in groups."""
        if revision != self.revision:
            return  # A newer one is on its way to all of them.
        group = max(1, PUSHED_BYTES // len(self.rollout.document))
        for session in sessions[:group]:
            if session.revision < revision and not session.stream.closed:
                self.push(session.stream)
        rest = sessions[group:]
        if rest:
            self.host.schedule(
                PUSH_PAUSE_S, lambda: self._tell_agents(revision, rest)
            )
