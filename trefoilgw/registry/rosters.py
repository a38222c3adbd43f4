"""The roster document: the current entries and those of the last epochs.

Each change of the entries starts a new epoch; an epoch also ends after some
time if the entries stay the same. The members of the last epochs are kept,
because the home of a caller-chosen key is computed from the members of the
epoch that the key names.
"""

import json
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from trefoilgw.findings import core as findings
from trefoilgw.keys import core as keys
from trefoilgw.messages import core as messages

_PLACE = "roster"


@attrs.frozen
class Roster:
    """The entries of one epoch and the members of earlier epochs.

    Attributes:
        epoch: Increases with each change; 0 means that there is no roster.
        entries: Entries of the epoch, ordered by incarnation.
        history: Incarnations by epoch, including the current epoch.
    """

    epoch: int = 0
    entries: tuple[messages.RosterEntry, ...] = ()
    history: Mapping[int, tuple[str, ...]] = attrs.field(factory=dict)

    @property
    def incarnations(self) -> tuple[str, ...]:
        """Incarnations of the entries, in the same order."""
        return tuple(entry.incarnation for entry in self.entries)

    @property
    def view(self) -> keys.RosterView:
        """The data of the roster that maps keys to entries."""
        return keys.RosterView(
            self.epoch, self.incarnations, dict(self.history)
        )

    def with_changes(
        self,
        joining: Iterable[messages.RosterEntry] = (),
        leaving: Iterable[str] = (),
        highest_epoch: int = 0,
    ) -> "Roster":
        """Returns the roster of the next epoch, or this one if nothing changes.

        Args:
            joining: Entries to add, or to replace if their addresses changed.
            leaving: Incarnations to remove.
            highest_epoch: Highest epoch ever seen. The next epoch is higher,
                so that no epoch is used for two rosters even if the stored
                epoch decreased.
        """
        members = {entry.incarnation: entry for entry in self.entries}
        members |= {entry.incarnation: entry for entry in joining}
        for incarnation in leaving:
            members.pop(incarnation, None)
        entries = tuple(members[name] for name in sorted(members))
        if entries == self.entries:
            return self
        return self._with_entries(entries, highest_epoch)

    def next_epoch(self, highest_epoch: int = 0) -> "Roster":
        """Returns the roster of the next epoch with the same entries.

        Args:
            highest_epoch: Highest epoch ever seen, as for `with_changes`.
        """
        return self._with_entries(self.entries, highest_epoch)

    def _with_entries(
        self, entries: tuple[messages.RosterEntry, ...], highest_epoch: int
    ) -> "Roster":
        """Returns the roster of the next epoch with the given entries."""
        epoch = max(self.epoch, highest_epoch) + 1
        members = tuple(entry.incarnation for entry in entries)
        history = dict(self.history) | {epoch: members}
        kept = sorted(history)[-keys.EPOCHS_KEPT :]
        return Roster(epoch, entries, {name: history[name] for name in kept})


def encode_roster(roster: Roster) -> bytes:
    """Returns the document of a roster as JSON in UTF-8."""
    values = {
        "epoch": roster.epoch,
        "entries": [attrs.asdict(entry) for entry in roster.entries],
        "history": {
            str(epoch): list(members)
            for epoch, members in roster.history.items()
        },
    }
    return json.dumps(values, separators=(",", ":")).encode()


def parse_roster(data: bytes) -> Roster | findings.Finding:
    """Parses the document of a roster.

    Unknown fields are ignored, so that newer versions can add fields.

    Returns:
        The roster, or a finding that says why the document is invalid.
    """
    try:
        values = json.loads(data.decode("utf-8"))
        names = [field.name for field in attrs.fields(messages.RosterEntry)]
        entries = tuple(
            messages.RosterEntry(*(_require_text(item[name]) for name in names))
            for item in values["entries"]
        )
        history = {
            int(epoch): tuple(_require_text(name) for name in members)
            for epoch, members in values["history"].items()
        }
        epoch = values["epoch"]
        if type(epoch) is not int or epoch < 1 or epoch not in history:
            raise ValueError(f"epoch {epoch!r} is not in the history")
    except (
        ValueError,
        TypeError,
        LookupError,
        AttributeError,
        RecursionError,
    ) as error:
        return findings.Finding(_PLACE, f"not a roster: {error!r}")
    return Roster(epoch, entries, history)


def _require_text(value: object) -> str:
    """Returns the value if it is a string that messages can hold.

    Raises:
        TypeError: The value is not a string.
        ValueError: It is not valid Unicode, such as half of a surrogate pair.
    """
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not text")
    value.encode()
    return value
