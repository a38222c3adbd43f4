"""Submits jobs as callers do: through a balancer, keyed or not.

The balancer addresses the entries in turn and leaves out those that refuse
connections or answer ``/healthz`` with another status than 200. A caller that
lost its connection sends a keyed submission again through another entry.
"""

import collections
import json
import time

import attrs
import eventlet

from trefoilgw.load import answers
from trefoilgw.load import arrivals
from trefoilgw.load import client
from trefoilgw.load import tally

HEALTH_INTERVAL_S = 0.5
HEALTH_TIMEOUT_S = 1.0
TICKETS_PER_REQUEST = 50
TICKET_TRIES = 3
# A caller gives up on a job after this many requests for it.
REQUESTS_LIMIT = 40
RETRY_S = 0.2
# The entry answers a waiting request at `wait_s`; this much later, the caller
# takes the connection for lost.
GRACE_S = 5.0


@attrs.define(eq=False)
class Balancer:
    """Addresses the entries in turn.

    Attributes:
        clients: One for each entry.
        healthy: Whether each entry takes part.
    """

    clients: tuple[client.Client, ...]
    healthy: list = attrs.field(init=False)
    _next: int = 0
    _running: bool = True

    def __attrs_post_init__(self):
        self.healthy = [True] * len(self.clients)

    def pick(self, avoid: client.Client | None = None) -> client.Client:
        """Returns the client of the next healthy entry.

        Args:
            avoid: Taken only if no other entry is healthy.
        """
        count = len(self.clients)
        order = [(self._next + step) % count for step in range(count)]
        self._next = (self._next + 1) % count
        order.sort(
            key=lambda i: (not self.healthy[i], self.clients[i] is avoid)
        )
        return self.clients[order[0]]

    def mark_down(self, failed: client.Client) -> None:
        """Leaves out an entry until it answers a health check."""
        self.healthy[self.clients.index(failed)] = False

    def watch(self) -> None:
        """Checks the health of all entries until `stop`."""
        while self._running:
            for index, entry in enumerate(self.clients):
                eventlet.spawn_n(self._check, index, entry.address)
            eventlet.sleep(HEALTH_INTERVAL_S)

    def stop(self) -> None:
        """Ends `watch`."""
        self._running = False

    def _check(self, index: int, address: str) -> None:
        """Checks one entry over a connection of its own."""
        probe = client.Client(address)
        try:
            response = probe.request(
                "GET", "/healthz", timeout_s=HEALTH_TIMEOUT_S
            )
            self.healthy[index] = response.status == 200
        except (client.NotSentError, client.LostError):
            self.healthy[index] = False
        probe.close()


@attrs.frozen
class Outcome:
    """What became of an arrival.

    Attributes:
        answer: Final answer to the caller.
        ended_s: Monotonic time at which it arrived.
        again: Final answer to the resubmission, None if there was none.
        requests: Submissions sent for it.
    """

    answer: answers.Answer
    ended_s: float
    again: answers.Answer | None = None
    requests: int = 1


@attrs.define(eq=False)
class Submitter:
    """Carries out arrivals through the entries.

    Attributes:
        balancer: Chooses the entry of each request.
        tokens: Token of each customer.
        run_id: Prefix of payload values and own keys.
        wait_s: Time that a request waits for its answer.
        give_up_s: Monotonic time after which no request is sent.
        epoch: Newest epoch of the roster that an answer named.
    """

    balancer: Balancer
    tokens: dict[str, str]
    run_id: str
    wait_s: float
    give_up_s: float = float("inf")
    epoch: str = ""
    _tickets: dict = attrs.field(
        factory=lambda: collections.defaultdict(collections.deque)
    )

    def carry_out(self, arrival: arrivals.Arrival) -> Outcome:
        """Submits a job, and again if the plan says so, and waits."""
        key = self._key(arrival)
        if key is None:
            lost = answers.Lost("no ticket", sent=False)
            return Outcome(lost, time.monotonic())
        first = self.balancer.pick()
        again = None
        if arrival.resubmit_after_s is not None:
            again = eventlet.spawn(self._send_again, arrival, key, first)
        answer, requests = self._until_ended(arrival, key, first)
        ended_s = time.monotonic()
        if again is None:
            return Outcome(answer, ended_s, None, requests)
        second, more = again.wait()
        return Outcome(answer, ended_s, second, requests + more)

    def _send_again(
        self, arrival: arrivals.Arrival, key: str, first: client.Client
    ) -> tuple[answers.Answer, int]:
        """Sends a job a second time through another entry."""
        eventlet.sleep(arrival.resubmit_after_s)
        entry = self.balancer.pick(avoid=first)
        return self._until_ended(arrival, key, entry)

    def _until_ended(
        self, arrival: arrivals.Arrival, key: str, entry: client.Client
    ) -> tuple[answers.Answer, int]:
        """Sends a job until its answer is final."""
        body = self._body(arrival)
        answer = answers.Lost("not sent", sent=False)
        for tries in range(1, REQUESTS_LIMIT + 1):
            answer = self._attempt(arrival, key, body, entry)
            if self._is_final(answer, key):
                return answer, tries
            if isinstance(answer, answers.Running):
                key = key or answer.key
            else:
                eventlet.sleep(RETRY_S)
                entry = self.balancer.pick(avoid=entry)
            if time.monotonic() > self.give_up_s:
                break
        return answer, tries

    def _is_final(self, answer: answers.Answer, key: str) -> bool:
        """Returns whether the caller stops asking."""
        match answer:
            case answers.Running():
                return False
            case answers.Lost(sent=sent):
                # Without a key, a job that may have started can't be resent.
                return sent and not key
            case answers.Refused(reason="home_unreachable"):
                return not key
        return True

    def _attempt(
        self,
        arrival: arrivals.Arrival,
        key: str,
        body: bytes,
        entry: client.Client,
    ) -> answers.Answer:
        """Sends one submission; a known key makes it a resubmission."""
        headers = {
            "Authorization": f"Bearer {self.tokens[arrival.customer]}",
            "Content-Type": "application/json",
        }
        if key:
            headers["Idempotency-Key"] = key
        path = f"/v1/jobs?wait_s={self.wait_s:g}"
        try:
            response = entry.request(
                "POST", path, headers, body, self.wait_s + GRACE_S
            )
        except client.NotSentError as error:
            self.balancer.mark_down(entry)
            return answers.Lost(str(error), sent=False)
        except client.LostError as error:
            return answers.Lost(str(error))
        self.epoch = response.headers.get("trefoilgw-epoch", self.epoch)
        return answers.read(response)

    def _body(self, arrival: arrivals.Arrival) -> bytes:
        """Returns the body of a submission."""
        tasks = [
            {
                "run_ms": run_ms,
                "value": tally.value_of(self.run_id, arrival.number, index),
                "kind": arrival.flow.kind,
            }
            for index, run_ms in enumerate(arrival.run_ms)
        ]
        document = {
            "kind": arrival.flow.kind,
            "tasks": tasks,
            "deadline_s": arrival.flow.deadline_s,
            "idempotent": arrival.flow.idempotent,
        }
        return json.dumps(document).encode()

    def _key(self, arrival: arrivals.Arrival) -> str | None:
        """Returns the key of a submission, empty for none.

        Returns None if no ticket could be had.
        """
        match arrival.key_form:
            case arrivals.KeySource.NONE:
                return ""
            case arrivals.KeySource.OWN if self._know_epoch():
                return f"k1.{self.epoch}.{self.run_id}-{arrival.number}"
            case _:
                return self._ticket(arrival.customer)

    def _know_epoch(self) -> bool:
        """Asks for the epoch unless an answer named it already."""
        if not self.epoch:
            entry = self.balancer.pick()
            try:
                response = entry.request("GET", "/v1/epoch")
                self.epoch = str(json.loads(response.body)["epoch"])
            except (client.NotSentError, client.LostError, ValueError):
                return False
        return True

    def _ticket(self, customer: str) -> str | None:
        """Returns a ticket out of the stock."""
        stock = self._tickets[customer]
        for _ in range(TICKET_TRIES):
            if stock:
                return stock.popleft()
            self._fetch_tickets(customer, stock)
        return stock.popleft() if stock else None

    def _fetch_tickets(self, customer: str, stock) -> None:
        """Gets tickets from the next entry."""
        headers = {"Authorization": f"Bearer {self.tokens[customer]}"}
        body = json.dumps({"count": TICKETS_PER_REQUEST}).encode()
        entry = self.balancer.pick()
        try:
            response = entry.request("POST", "/v1/tickets", headers, body)
            if response.status == 200:
                stock.extend(json.loads(response.body)["tickets"])
        except client.NotSentError:
            self.balancer.mark_down(entry)
        except (client.LostError, ValueError):
            return
