"""The configuration revision in force at one process.

A configuration may arrive from the platform, from peers and from agents, late
and in any order. A process takes only a higher revision, so what is in force
never reverts. This module does not check documents; offer only valid ones.
"""

import attrs


@attrs.frozen
class Accept:
    """The offered configuration is in force now.

    Attributes:
        revision: Its revision.
        document: Its document.
        previous: Revision in force before, 0 if none.
    """

    revision: int
    document: bytes
    previous: int


@attrs.frozen
class Ignore:
    """The offered configuration changes nothing.

    Attributes:
        revision: Revision that stays in force, 0 if none.
        conflicting: True if it has the same revision and another document.
            That can only happen if the platform lost data or was written
            past the operator's command.
    """

    revision: int
    conflicting: bool = False


@attrs.define(eq=False)
class Rollout:
    """What is in force at this process.

    Attributes:
        revision: Revision in force, 0 if none.
        document: Its document, empty if none.
        conflicts: Offers of another document under the revision in force.
    """

    revision: int = 0
    document: bytes = b""
    conflicts: int = 0

    def offer(self, revision: int, document: bytes) -> Accept | Ignore:
        """Takes a configuration if its revision is higher.

        Args:
            revision: From 1; a draft with revision 0 is ignored.
            document: The valid document of that revision.
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
        """Returns whether another process has a newer configuration."""
        return other_revision > self.revision

    def is_ahead(self, other_revision: int) -> bool:
        """Returns whether another process has an older configuration."""
        return other_revision < self.revision
