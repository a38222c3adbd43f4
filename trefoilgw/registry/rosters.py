"""The roster document: which entries there are, and which there were.

Every change of the entries makes a new epoch, and so does time while they stay
the same. The rosters of the last epochs are kept, since a caller's own key has
its home in the roster of the epoch that it names.
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
    """The entries of one epoch, with the members of earlier ones.

    Attributes:
        epoch: Grows with each change; 0 means that there is no roster.
        entries: Entries of the epoch, by incarnation.
        history: Incarnations by epoch, the current one included.
    """

    epoch: int = 0
    entries: tuple[messages.RosterEntry, ...] = ()
    history: Mapping[int, tuple[str, ...]] = attrs.field(factory=dict)

    @property
    def incarnations(self) -> tuple[str, ...]:
        """Incarnations of the entries."""
        return tuple(entry.incarnation for entry in self.entries)

    @property
    def view(self) -> keys.RosterView:
        """The roster as keys are mapped over it."""
        return keys.RosterView(
            self.epoch, self.incarnations, dict(self.history)
        )

    def with_changes(
        self,
        joining: Iterable[messages.RosterEntry] = (),
        leaving: Iterable[str] = (),
        epoch_floor: int = 0,
    ) -> "Roster":
        """Returns the roster of the next epoch, or this one if it is alike.

        Args:
            joining: Entries to add, or to replace if their addresses changed.
            leaving: Incarnations to remove.
            epoch_floor: Highest epoch ever seen. An epoch is never used for
                two rosters, even if the stored one went back.
        """
        members = {entry.incarnation: entry for entry in self.entries}
        members |= {entry.incarnation: entry for entry in joining}
        for incarnation in leaving:
            members.pop(incarnation, None)
        entries = tuple(members[name] for name in sorted(members))
        if entries == self.entries:
            return self
        return self._next(entries, epoch_floor)

    def advanced(self, epoch_floor: int = 0) -> "Roster":
        """Returns the roster of the next epoch with the same entries.

        Args:
            epoch_floor: Highest epoch ever seen, as for `with_changes`.
        """
        return self._next(self.entries, epoch_floor)

    def _next(
        self, entries: tuple[messages.RosterEntry, ...], epoch_floor: int
    ) -> "Roster":
        """Returns the next epoch with these entries."""
        epoch = max(self.epoch, epoch_floor) + 1
        members = tuple(entry.incarnation for entry in entries)
        history = dict(self.history) | {epoch: members}
        kept = sorted(history)[-keys.EPOCHS_KEPT :]
        return Roster(epoch, entries, {name: history[name] for name in kept})


def encode_roster(roster: Roster) -> bytes:
    """Returns the document of a roster, JSON in UTF-8."""
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
    """Returns the roster in a document.

    Unknown fields are left out, so that a newer version may add some.

    Returns:
        The roster, or what is wrong with the document.
    """
    try:
        values = json.loads(data.decode("utf-8"))
        names = [field.name for field in attrs.fields(messages.RosterEntry)]
        entries = tuple(
            messages.RosterEntry(*(_text(item[name]) for name in names))
            for item in values["entries"]
        )
        history = {
            int(epoch): tuple(_text(name) for name in members)
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


def _text(value: object) -> str:
    """Returns a value that must be text."""
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not text")
    return value
