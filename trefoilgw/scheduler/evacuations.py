"""Keeps the evacuated failure domains of a scheduler up to date.

They come from the store, together with the configuration, or from a peer. Each
change goes to all runners and peers before the scheduler acts on it, since a
runner is the last that can refuse a start.
"""

import collections
from collections.abc import Callable
from collections.abc import Set

import attrs

from trefoilgw.evacuation import core as evacuation
from trefoilgw.evacuation import log_lines
from trefoilgw.messages import runs
from trefoilgw.metrics import core as metrics
from trefoilgw.platform import store as platform_store
from trefoilgw.streams import core as streams


@attrs.define(eq=False)
class Evacuations:
    """Evacuated failure domains as a scheduler knows them.

    Attributes:
        enabled: Whether the settings ask for evacuations.
        domains: Returns the domains that the settings list.
        broadcast: Sends a message to all peers and runners.
        on_changed: Called with the evacuated domains after each change.
        state: The set in force.
        changes: Domains evacuated and taken back since the process started.
    """

    enabled: bool
    domains: Callable[[], Set[str]]
    broadcast: Callable[[object], None]
    on_changed: Callable[[frozenset[str]], None]
    state: evacuation.EvacuatedDomains = attrs.field(
        factory=evacuation.EvacuatedDomains
    )
    changes: collections.Counter = attrs.field(factory=collections.Counter)

    @property
    def awaited(self) -> bool:
        """Whether no job may be served yet for want of the set."""
        return self.enabled and not self.state.known

    def store_told(
        self,
        answer: platform_store.OperatorsState | platform_store.OperatorsChanges,
    ) -> None:
        """Handles what the store tells of the evacuations."""
        match answer:
            case platform_store.OperatorsState():
                result = self.state.offer(answer.revision, answer.domains)
            case platform_store.OperatorsChanges():
                result = self.state.apply(answer.domain_changes)
        self._handle_result(result, "store")

    def peer_pushed(
        self, stream: streams.Stream, message: runs.EvacuationPush
    ) -> None:
        """Handles the set of a peer; an older one is answered with the own."""
        result = self.state.offer(message.revision, message.domains)
        if isinstance(result, evacuation.Ignored):
            if message.revision < self.state.revision:
                stream.send(self.message())
            return
        self._handle_result(result, "peer")

    def message(self) -> runs.EvacuationPush:
        """Returns the message with the set in force."""
        return runs.EvacuationPush(
            self.state.revision, tuple(sorted(self.state.domains))
        )

    def greeting(self) -> list:
        """Returns the messages for a runner or peer that has just connected.

        A set that is not known yet makes a peer that knows one send it.
        """
        if self.enabled or self.state.known:
            return [self.message()]
        return []

    def register_gauges(self, registry: metrics.Registry) -> None:
        """Registers gauges of the set in force."""
        registry.observable_gauge(
            "evacuated_domains",
            "Failure domains in which nothing may start",
            metrics.unlabeled(lambda: len(self.state.domains)),
        )
        registry.observable_gauge(
            "evacuation_revision",
            "Revision of the store at which the evacuations are known",
            metrics.unlabeled(lambda: self.state.revision),
        )
        registry.observable_gauge(
            "evacuation_changes",
            "Failure domains evacuated and taken back since the start",
            lambda: [
                metrics.Sample(self.changes[x], (x,))
                for x in ("evacuated", "taken_back")
            ],
            "change",
        )

    def _handle_result(
        self, result: evacuation.Adopted | evacuation.Ignored, origin: str
    ) -> None:
        """Passes a new set on, logs the changes and acts on them."""
        match result:
            case evacuation.Ignored():
                return
            case evacuation.Adopted():
                self.broadcast(self.message())
        log_lines.log_changes(result, origin, self.domains())
        self.changes["evacuated"] += len(result.evacuated)
        self.changes["taken_back"] += len(result.taken_back)
        if result.evacuated or result.taken_back:
            self.on_changed(self.state.domains)
