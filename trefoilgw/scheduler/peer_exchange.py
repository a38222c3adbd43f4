"""What schedulers tell each other over the streams between them.

Pings and their answers carry the version of the configuration. A scheduler
that learns of a newer one first waits for the store and only then requests it,
so that a large document seldom travels between failure domains.
"""

from collections.abc import Callable

import attrs
import eventlet

from trefoilgw.messages import runs
from trefoilgw.scheduler import configuration as scheduler_configuration
from trefoilgw.scheduler import evacuations as scheduler_evacuations
from trefoilgw.scheduler import membership as scheduler_membership
from trefoilgw.streams import core as streams

# Time in which the store's own watch normally delivers a new version.
STORE_HEAD_START_S = 0.3


@attrs.define(eq=False)
class PeerExchange:
    """Handles the messages of other schedulers.

    Attributes:
        watcher: Keeps the configuration in force.
        membership: Keeps the known schedulers.
        broadcast: Sends a message to the peers that have opened a stream.
        evacuations: Keeps the evacuated domains.
        requested_version: Version that was last requested.
    """

    watcher: scheduler_configuration.ConfigurationWatcher
    membership: scheduler_membership.Membership
    broadcast: Callable[[object], None]
    evacuations: scheduler_evacuations.Evacuations
    requested_version: int = 0

    def _version(self) -> int:
        """Returns the version in force, 0 if there is none."""
        current = self.watcher.current
        return current.version if current is not None else 0

    def make_ping(self) -> runs.PeerPing:
        """Returns the ping for the peers."""
        return runs.PeerPing(self._version())

    def notify(self) -> None:
        """Tells all peers the version in force."""
        self.broadcast(runs.PeerPong(self._version()))
        self.membership.peers.broadcast(self.make_ping())

    def greeting(self) -> list:
        """Returns the messages for a peer that has just connected."""
        known = self.membership.known.messages()
        return [
            *self.evacuations.greeting(),
            *known,
            runs.PeerPong(self._version()),
        ]

    def handle(self, stream: streams.Stream, message: object) -> None:
        """Handles one message of a peer."""
        match message:
            case runs.PeerPing(configuration=version):
                stream.send(runs.PeerPong(self._version()))
                self._request_newer(stream, version)
            case runs.PeerPong(configuration=version):
                self._request_newer(stream, version)
            case runs.EvacuationPush():
                self.evacuations.peer_pushed(stream, message)
            case runs.ConfigurationRequest():
                self._send_configuration(stream)
            case runs.ConfigurationPush(version=version, document=document):
                if version > self._version():
                    self.watcher.adopt(document, "peer")
            case _:
                self.membership.handle(message)

    def _request_newer(self, stream: streams.Stream, version: int) -> None:
        """Requests a newer configuration unless the store brings it first."""
        if version <= max(self._version(), self.requested_version):
            return
        self.requested_version = version
        delay_s = STORE_HEAD_START_S if self._version() else 0.0
        eventlet.spawn_after(delay_s, self._request, stream, version)

    def _request(self, stream: streams.Stream, version: int) -> None:
        """Sends the request if the version is still newer."""
        # A request may get lost with its stream; later pings repeat it.
        self.requested_version = 0
        if version > self._version():
            stream.send(runs.ConfigurationRequest())

    def _send_configuration(self, stream: streams.Stream) -> None:
        """Sends the configuration in force, if there is one."""
        if self._version():
            stream.send(
                runs.ConfigurationPush(self._version(), self.watcher.document)
            )
