"""Configuration in force and roster of an entry, and their distribution.

A process with an older revision requests the configuration from the other one.
A process accepts only a higher revision than its own.
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

# The absence of an entry from a roster that was read longer ago proves nothing.
MAX_ROSTER_AGE_S = 10.0
# Incarnations kept after they are no longer in the history of the platform's
# record; 9 hosts fail and 130 are replaced a day.
MAX_KNOWN_INCARNATIONS = 10_000
# Bytes of documents sent to agents at a time. A document may have 1 MB and an
# entry some hundred agents; copies for all of them at once would take as many
# MB.
PUSH_GROUP_BYTES = 8 * 1024 * 1024
PUSH_INTERVAL_S = 0.05

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class ConfigurationManager:
    """Holds and distributes the configuration and roster of one entry.

    Attributes:
        host: State of this entry.
        own_entry: Roster entry of this entry.
        rollout: Revision and document in force.
        entries: Roster entries of the current epoch.
        roster_read_s: Monotonic time at which the roster was read last, None if
            never.
        known_incarnations: Incarnations that were ever in a roster read here,
            as an ordered set.
        on_change: Called after a new configuration is in force.
        on_roster_change: Called after the entries to announce changed.
    """

    host: hosts.Host
    own_entry: messages.RosterEntry
    rollout: rollouts.Rollout = attrs.field(factory=rollouts.Rollout)
    entries: tuple[messages.RosterEntry, ...] = ()
    roster_read_s: float | None = None
    known_incarnations: dict = attrs.field(factory=dict)
    on_change: Callable[[], None] = lambda: None
    on_roster_change: Callable[[], None] = lambda: None

    @property
    def revision(self) -> int:
        """Revision in force, 0 if none."""
        return self.rollout.revision

    def offer(self, revision: int, document: bytes) -> bool:
        """Puts a configuration in force if it is newer and valid.

        Returns:
            True if it is in force now.
        """
        if self.rollout.is_behind(revision):
            return self._activate(revision, document)
        self.rollout.offer(revision, document)  # Counts conflicts.
        return False

    def _activate(self, revision: int, document: bytes) -> bool:
        """Puts a newer configuration in force if it is valid."""
        parsed = records.parse_document(document)
        if isinstance(parsed, tuple) or parsed.revision != revision:
            faults = parsed if isinstance(parsed, tuple) else ()
            log.error(
                "configuration is not valid",
                extra={
                    "revision": revision,
                    "findings": findings.render(faults),
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
        self._push_to_agents(revision, list(host.agents.values()))
        self.on_change()
        host.dispatch_waiting()
        return True

    def push(self, stream) -> None:
        """Sends the configuration in force on a stream, if there is one."""
        if self.revision:
            self.host.send(
                stream,
                messages.ConfigPush(self.revision, self.rollout.document),
            )

    def update_roster(
        self,
        epoch: int,
        entries: tuple[messages.RosterEntry, ...],
        history: Mapping[int, tuple[str, ...]],
        read_s: float,
    ) -> None:
        """Applies a roster that was read from the platform.

        An older epoch changes only the time of reading.

        Args:
            epoch: Epoch of the roster.
            entries: Roster entries of the epoch.
            history: Incarnations by epoch.
            read_s: Monotonic time at which it was read.
        """
        self.roster_read_s = read_s
        host = self.host
        if epoch < host.roster.epoch:
            return
        incarnations = tuple(entry.incarnation for entry in entries)
        for members in (*history.values(), incarnations):
            self.known_incarnations.update(dict.fromkeys(members))
        while len(self.known_incarnations) > MAX_KNOWN_INCARNATIONS:
            del self.known_incarnations[next(iter(self.known_incarnations))]
        if epoch == host.roster.epoch:
            return
        host.roster = keys.RosterView(epoch, incarnations, dict(history))
        host.epochs.record_epoch(epoch)
        self.entries = entries
        log.info(
            "roster changed", extra={"epoch": epoch, "entries": incarnations}
        )
        self.announce_roster()

    def roster_entries(self) -> tuple[messages.RosterEntry, ...]:
        """Returns the roster entries that agents should know, sorted.

        This entry and connected peers are added to those of the roster unless
        they are leaving: an entry that started while the platform is down is
        not in the roster, but agents can reach it.
        """
        known = {entry.incarnation: entry for entry in self.entries}
        if not self.host.leaving:
            known.setdefault(self.own_entry.incarnation, self.own_entry)
        for incarnation, peer in self.host.peers.items():
            if not peer.leaving:
                known.setdefault(incarnation, peer.entry)
        return tuple(known[incarnation] for incarnation in sorted(known))

    def announce_roster(self) -> None:
        """Sends the entries to all agents and calls `on_roster_change`."""
        message = messages.Roster(self.host.roster.epoch, self.roster_entries())
        for session in self.host.agents.values():
            self.host.send(session.stream, message)
        self.on_roster_change()

    def is_lost(self, incarnation: str, now_s: float) -> bool:
        """Returns whether a home is permanently gone.

        That is so if it was once a member and is missing from a roster that
        was read within the last 10 s. An incarnation that was never a member
        may be new instead.
        """
        if (
            incarnation not in self.known_incarnations
            or self.roster_read_s is None
        ):
            return False
        if now_s - self.roster_read_s > MAX_ROSTER_AGE_S:
            return False
        return incarnation not in self.host.roster.entries

    def _push_to_agents(self, revision: int, sessions: list) -> None:
        """Pushes the configuration in groups to agents with an older one."""
        if revision != self.revision:
            return  # A newer revision is being pushed to all agents.
        group = max(1, PUSH_GROUP_BYTES // len(self.rollout.document))
        for session in sessions[:group]:
            if session.revision < revision and not session.stream.closed:
                self.push(session.stream)
        rest = sessions[group:]
        if rest:
            self.host.schedule(
                PUSH_INTERVAL_S, lambda: self._push_to_agents(revision, rest)
            )
