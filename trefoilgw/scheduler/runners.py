"""Streams that runners and peers have opened to this scheduler."""

import logging
from collections.abc import Callable

import attrs

from trefoilgw.messages import core as messages
from trefoilgw.messages import runs
from trefoilgw.scheduling import core as scheduling
from trefoilgw.streams import core as streams

# A runner pings five times a second.
SILENCE_LIMIT_S = 0.9
# Only the handshake's form asks for these; runners keep their own time.
NO_SESSION = 0
NO_LEASE_S = 0.0

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Clients:
    """Streams of runners and of peers.

    Attributes:
        incarnation: The scheduler's incarnation.
        scheduler: Decisions about jobs.
        now: Clock in seconds.
        on_change: Called after each change of the decisions' state.
        on_peer: Called with the address of each peer that connects.
        news: Returns the messages that a new client must know.
        on_run_ended: Called with runner's name and message of each end.
        runners: Open streams by runner's name.
        peers: Open streams of peers.
    """

    incarnation: str
    scheduler: scheduling.Scheduler
    now: Callable[[], float]
    on_change: Callable[[], None]
    on_peer: Callable[[str], None]
    news: Callable[[], list]
    on_run_ended: Callable[[str, runs.RunEnded], None]
    runners: dict[str, streams.Stream] = attrs.field(factory=dict)
    peers: set[streams.Stream] = attrs.field(factory=set)

    def listen(self, address: str) -> None:
        """Takes streams.

        Raises:
            OSError: The address can't be bound.
        """
        streams.Listener(runs.NO_KEY, self._admit, self._joined).listen(address)

    def send(self, runner: str, message: object) -> None:
        """Sends a message to a runner if its stream is open."""
        stream = self.runners.get(runner)
        if stream is not None:
            stream.send(message)

    def broadcast(self, message: object, runners: bool) -> None:
        """Sends a message to all peers and perhaps to all runners."""
        for stream in list(self.peers):
            stream.send(message)
        if runners:
            for stream in list(self.runners.values()):
                stream.send(message)

    def close_silent(self) -> None:
        """Closes the streams of runners that are not heard any more."""
        for stream in list(self.runners.values()):
            if stream.silence_s() > SILENCE_LIMIT_S:
                stream.close("silent")

    def _admit(self, hello: object) -> messages.Welcome:
        """Welcomes every client."""
        return messages.Welcome(
            self.incarnation, NO_SESSION, 0, NO_LEASE_S, 0, ()
        )

    def _joined(self, stream: streams.Stream) -> None:
        """Takes a stream over."""
        match stream.hello:
            case runs.RunnerHello():
                self._runner_joined(stream, stream.hello)
            case runs.SchedulerHello(address=address):
                self.peers.add(stream)
                stream.start(self._peer_message, self._peer_closed)
                self.on_peer(address)
                for message in self.news():
                    stream.send(message)
            case _:
                stream.close("unexpected hello")

    def _peer_message(self, stream: streams.Stream, message: object) -> None:
        """Answers a peer's ping."""
        if isinstance(message, runs.PeerPing):
            stream.send(runs.PeerPong())

    def _peer_closed(self, stream: streams.Stream, reason: str) -> None:
        """Forgets a peer's stream."""
        self.peers.discard(stream)

    def _runner_joined(
        self, stream: streams.Stream, hello: runs.RunnerHello
    ) -> None:
        """Replaces a runner's earlier stream."""
        earlier = self.runners.get(hello.name)
        self.runners[hello.name] = stream
        if earlier is not None:
            earlier.close("replaced")
        log.info(
            "runner joined",
            extra={"runner": hello.name, "incarnation": hello.incarnation},
        )
        self.scheduler.runner_joined(
            hello.name, hello.incarnation, hello.domain, self.now()
        )
        stream.start(self._runner_message, self._runner_closed)
        for message in self.news():
            if isinstance(message, runs.Schedulers):
                stream.send(message)
        self.on_change()

    def _runner_closed(self, stream: streams.Stream, reason: str) -> None:
        """Notes that a runner's stream is closed."""
        name = stream.hello.name
        if self.runners.get(name) is not stream:
            return
        del self.runners[name]
        log.info("runner lost", extra={"runner": name, "reason": reason})
        self.scheduler.runner_disconnected(name)
        self.on_change()

    def _runner_message(self, stream: streams.Stream, message: object) -> None:
        """Takes one message of a runner in."""
        name = stream.hello.name
        if self.runners.get(name) is not stream:
            return
        now_s = self.now()
        match message:
            case runs.RunnerPing(sent_s=sent_s):
                self.scheduler.runner_pinged(name, sent_s, now_s)
            case runs.CapacityReport():
                self.scheduler.capacity_reported(name, message, now_s)
            case runs.Offer():
                self.scheduler.capacity_offered(name, message, now_s)
            case runs.RunEnded():
                self.on_run_ended(name, message)
                self.scheduler.run_ended(name, message, now_s)
            case runs.ActiveRuns():
                self.scheduler.reconcile_runs(name, message, now_s)
            case _:
                code = getattr(message, "code", None)
                log.warning("unexpected message", extra={"code": code})
        self.on_change()
