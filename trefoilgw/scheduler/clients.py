"""Incoming streams of runners and of other schedulers."""

import logging
from collections.abc import Callable

import attrs

from trefoilgw.messages import codec
from trefoilgw.messages import core as messages
from trefoilgw.messages import runs
from trefoilgw.scheduling import core as scheduling
from trefoilgw.scheduling import jobs
from trefoilgw.streams import core as streams

# A runner that has tasks pings three times a second, and any other one once a
# second; the limits tolerate a few late pings.
MAX_SILENCE_S = 1.2
MAX_IDLE_SILENCE_S = 3.0
# A peer that has opened a stream pings twice a second.
MAX_PEER_SILENCE_S = 3.0
# Placeholders for fields that the handshake requires; runners apply their own
# time limits.
NO_SESSION = 0
NO_LEASE_S = 0.0

# Log lines are filtered by this name.
log = logging.getLogger("trefoilgw.scheduler.runners")


@attrs.define(eq=False)
class Clients:
    """Open streams of runners and of peer schedulers.

    Attributes:
        incarnation: The scheduler's incarnation.
        scheduler: Queues jobs and assigns their tasks to runners.
        now: Returns the current time in seconds.
        on_change: Called after each change of the scheduler's state.
        on_peer_message: Called with each message of a peer and its stream.
        runner_greeting: Returns the messages that are sent to a new runner.
        peer_greeting: Returns the messages that are sent to a new peer.
        on_run_ended: Called with the runner's name and the message whenever an
            attempt ends that the scheduler waited for and does not repeat.
        runners: Open streams of runners, by the runner's name.
        ordered_s: Time of the first order to each runner since something was
            received from it.
        peers: Open streams of peers.
    """

    incarnation: str
    scheduler: scheduling.Scheduler
    now: Callable[[], float]
    on_change: Callable[[], None]
    on_peer_message: Callable[[streams.Stream, object], None]
    runner_greeting: Callable[[], list]
    peer_greeting: Callable[[], list]
    on_run_ended: Callable[[str, runs.RunEnded], None]
    runners: dict[str, streams.Stream] = attrs.field(factory=dict)
    ordered_s: dict[str, float] = attrs.field(factory=dict)
    peers: set[streams.Stream] = attrs.field(factory=set)

    def listen(self, address: str) -> None:
        """Starts to accept streams on an address.

        Raises:
            OSError: The address can't be bound.
        """
        streams.Listener(
            runs.NO_KEY, self._welcome, self._stream_opened
        ).listen(address)

    def send(self, runner: str, message: object) -> None:
        """Sends a message to a runner if its stream is open."""
        stream = self.runners.get(runner)
        if stream is None:
            return
        stream.send(message)
        if isinstance(message, runs.StartRuns):
            self.ordered_s.setdefault(runner, self.now())

    def close(self, runner: str, reason: str) -> None:
        """Closes the stream of a runner if it is open."""
        stream = self.runners.get(runner)
        if stream is not None:
            stream.close(reason)

    def broadcast(self, message: object, runners: bool = True) -> None:
        """Sends a message to all connected peers and, by default, runners."""
        frame = codec.encode(message)
        clients = list(self.peers)
        if runners:
            clients += self.runners.values()
        for stream in clients:
            stream.send_frame(frame)

    def close_silent(self) -> None:
        """Closes streams of clients silent for over their limit."""
        for name, stream in list(self.runners.items()):
            if self._is_silent(name, stream):
                stream.close("silent")
        for stream in list(self.peers):
            if stream.silence_s() > MAX_PEER_SILENCE_S:
                stream.close("silent")

    def _is_silent(self, name: str, stream: streams.Stream) -> bool:
        """Returns whether a runner is silent for over its limit.

        The limit for a runner with tasks holds from the first of them on.
        """
        silence_s = stream.silence_s()
        if silence_s <= MAX_SILENCE_S:
            return False
        if silence_s > MAX_IDLE_SILENCE_S:
            return True
        ordered_s = self.ordered_s.get(name)
        if ordered_s is not None:
            return self.now() - ordered_s > MAX_SILENCE_S
        return self.scheduler.has_tasks_at(name)

    def _welcome(self, hello: object) -> messages.Welcome:
        """Returns the answer to a hello; every client is accepted."""
        return messages.Welcome(
            self.incarnation, NO_SESSION, 0, NO_LEASE_S, 0, ()
        )

    def _stream_opened(self, stream: streams.Stream) -> None:
        """Registers a stream after its handshake, by the kind of client."""
        match stream.hello:
            case runs.RunnerHello():
                self._register_runner(stream, stream.hello)
            case runs.SchedulerHello():
                self.peers.add(stream)
                stream.start(self.on_peer_message, self._peer_stream_closed)
                for message in self.peer_greeting():
                    stream.send(message)
            case _:
                stream.close("unexpected hello")

    def _peer_stream_closed(self, stream: streams.Stream, reason: str) -> None:
        """Removes the closed stream of a peer."""
        self.peers.discard(stream)

    def _register_runner(
        self, stream: streams.Stream, hello: runs.RunnerHello
    ) -> None:
        """Registers a runner's stream and closes an earlier one."""
        previous = self.runners.get(hello.name)
        self.runners[hello.name] = stream
        if previous is not None:
            previous.close("replaced")
        log.info(
            "runner joined",
            extra={"runner": hello.name, "incarnation": hello.incarnation},
        )
        self.scheduler.runner_connected(
            hello.name, hello.incarnation, hello.domain, self.now()
        )
        stream.start(
            self._handle_runner_message,
            self._runner_stream_closed,
            may_yield=False,
        )
        for message in self.runner_greeting():
            stream.send(message)
        self.on_change()

    def _runner_stream_closed(
        self, stream: streams.Stream, reason: str
    ) -> None:
        """Reports a runner as lost unless a newer stream replaced this one."""
        name = stream.hello.name
        if self.runners.get(name) is not stream:
            return
        del self.runners[name]
        self.ordered_s.pop(name, None)
        log.info("runner lost", extra={"runner": name, "reason": reason})
        self.scheduler.runner_disconnected(name)
        self.on_change()

    def _handle_runner_message(
        self, stream: streams.Stream, message: object
    ) -> None:
        """Passes a message of a runner on to the scheduler."""
        name = stream.hello.name
        if self.runners.get(name) is not stream:
            return
        now_s = self.now()
        self.ordered_s.pop(name, None)
        match message:
            case runs.RunnerPing(sent_s=sent_s):
                alive_s = self.scheduler.runner_pinged(name, sent_s, now_s)
                stream.send(runs.RunnerPong(alive_s, len(self.runners)))
                return
            case runs.CapacityReport():
                self.scheduler.capacity_reported(name, message, now_s)
            case runs.Offer():
                self.scheduler.capacity_offered(name, message, now_s)
            case runs.RunEnded():
                state = self.scheduler.run_ended(name, message, now_s)
                if state in (jobs.TaskState.DONE, jobs.TaskState.FAILED):
                    self.on_run_ended(name, message)
            case runs.ActiveRuns():
                self.scheduler.reconcile_runs(name, message, now_s)
            case _:
                code = getattr(message, "code", None)
                log.warning("unexpected message", extra={"code": code})
        self.on_change()
