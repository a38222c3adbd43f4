"""The set of evacuated failure domains that is in force at a process.

A set may come from the store, from peers or from schedulers, late and in any
order. Each is the set at one revision of the store, so the one with the higher
revision applies, and a process that was cut off can't revert anything. This
module neither reads the store nor acts on the set.
"""

from collections.abc import Iterable

import attrs


@attrs.frozen
class DomainChange:
    """One request of the operators to evacuate a domain, or its removal.

    Attributes:
        domain: Failure domain.
        evacuated: Whether the domain is evacuated from now on.
        revision: Revision of the store at which this was written.
    """

    domain: str
    evacuated: bool
    revision: int


@attrs.frozen
class Adopted:
    """A set has come into force.

    Attributes:
        revision: Revision of the store at which it is known.
        evacuated: Domains that were not evacuated before.
        taken_back: Domains that are not evacuated any more.
    """

    revision: int
    evacuated: frozenset[str]
    taken_back: frozenset[str]


@attrs.frozen
class Ignored:
    """A set was ignored, since one of its revision or a higher one is in force.

    Attributes:
        revision: Revision in force, 0 if none.
    """

    revision: int


@attrs.define(eq=False)
class EvacuatedDomains:
    """The set in force at this process.

    Attributes:
        revision: Revision of the store at which the set is known; 0 before any
            is.
        domains: The evacuated domains.
    """

    revision: int = 0
    domains: frozenset[str] = frozenset()

    @property
    def known(self) -> bool:
        """Whether any set is in force."""
        return self.revision > 0

    def offer(self, revision: int, domains: Iterable[str]) -> Adopted | Ignored:
        """Brings a set into force if its revision is higher.

        Args:
            revision: Revision of the store at which it is known, from 1.
            domains: All domains that are evacuated at that revision.
        """
        if revision <= self.revision:
            return Ignored(self.revision)
        previous = self.domains
        self.revision = revision
        self.domains = frozenset(domains)
        return Adopted(
            revision, self.domains - previous, previous - self.domains
        )

    def apply(self, changes: Iterable[DomainChange]) -> Adopted | Ignored:
        """Applies changes to the set in force.

        Changes up to the revision in force are part of it already.

        Args:
            changes: All changes since the revision in force, or since an
                earlier one.
        """
        newer = [x for x in changes if x.revision > self.revision]
        domains = set(self.domains)
        for change in sorted(newer, key=lambda x: x.revision):
            if change.evacuated:
                domains.add(change.domain)
            else:
                domains.discard(change.domain)
        revision = max((x.revision for x in newer), default=0)
        return self.offer(revision, domains)
