"""The configuration revision in force at one process.

A configuration may arrive from the platform, from peers and from agents, late
and in any order. A process accepts only a higher revision, so the configuration
in force never reverts. This module does not validate documents; callers must
offer only valid ones.
"""

import attrs


@attrs.frozen
class Accept:
    """The offered configuration has come into force.

    Attributes:
        revision: Revision of the configuration.
        document: Document of the configuration.
        previous: Revision that was in force before, 0 if none.
    """

    revision: int
    document: bytes
    previous: int


@attrs.frozen
class Ignore:
    """The offered configuration was ignored.

    Attributes:
        revision: Revision that remains in force, 0 if none.
        conflicting: True if the offer has the revision in force but another
            document. This happens only if the platform lost data or if its data
            was changed by other means than the operator's command.
    """

    revision: int
    conflicting: bool = False


@attrs.define(eq=False)
class Rollout:
    """The configuration in force at this process.

    Attributes:
        revision: Revision in force, 0 if none.
        document: Document of that revision, empty if none.
        conflicts: Number of offers that had the revision in force but another
            document.
    """

    revision: int = 0
    document: bytes = b""
    conflicts: int = 0

    def offer(self, revision: int, document: bytes) -> Accept | Ignore:
        """Brings a configuration into force if its revision is higher.

        Args:
            revision: Revision from 1; a draft with revision 0 is ignored.
            document: Valid document of that revision.

        Returns:
            Whether the configuration was accepted or ignored.
        """
        if revision > self.revision:
            previous = self.revision
            self.revision = revision
            self.document = document
            return Accept(revision, document, previous)
        conflicting = (
            0 < revision == self.revision and document != self.document
        )
        self.conflicts += conflicting
        return Ignore(self.revision, conflicting)

    def is_behind(self, other_revision: int) -> bool:
        """Returns whether another process has a higher revision."""
        return other_revision > self.revision

    def is_ahead(self, other_revision: int) -> bool:
        """Returns whether another process has a lower revision."""
        return other_revision < self.revision
