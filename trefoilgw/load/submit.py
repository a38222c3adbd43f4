"""Submits jobs as callers do, through a load balancer.

The balancer selects the entries in turn. It skips those that refuse connections
or answer ``/healthz`` with another status than 200. A caller that lost its
connection repeats a submission through another entry if it has a key.
"""

import collections
import json
import time

import attrs
import eventlet

from trefoilgw.load import answers
from trefoilgw.load import arrivals
from trefoilgw.load import client
from trefoilgw.load import verification

HEALTH_INTERVAL_S = 0.5
HEALTH_TIMEOUT_S = 1.0
TICKETS_PER_REQUEST = 50
MAX_TICKET_FETCHES = 3
# A caller abandons a job after this many requests for it.
MAX_REQUESTS_PER_JOB = 40
RETRY_DELAY_S = 0.2
# The entry answers a waiting request after `wait_s` at the latest. The caller
# considers the connection lost if no response arrives this much later.
RESPONSE_MARGIN_S = 5.0


@attrs.define(eq=False)
class Balancer:
    """Selects the entries in turn, the healthy ones first.

    Attributes:
        clients: One client for each entry.
        healthy: Whether each entry is considered healthy, by the same index.
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
            avoid: Client that is returned only if no other entry is healthy.

        Returns:
            An unhealthy entry if none is healthy.
        """
        count = len(self.clients)
        order = [(self._next + step) % count for step in range(count)]
        self._next = (self._next + 1) % count
        order.sort(
            key=lambda i: (not self.healthy[i], self.clients[i] is avoid)
        )
        return self.clients[order[0]]

    def mark_down(self, failed: client.Client) -> None:
        """Marks an entry as unhealthy until it passes a health check."""
        self.healthy[self.clients.index(failed)] = False

    def poll(self) -> None:
        """Polls the health of all entries until `stop` is called."""
        while self._running:
            for index, entry in enumerate(self.clients):
                eventlet.spawn_n(self._check, index, entry.address)
            eventlet.sleep(HEALTH_INTERVAL_S)

    def stop(self) -> None:
        """Makes `poll` return after its current interval."""
        self._running = False

    def _check(self, index: int, address: str) -> None:
        """Updates the health of one entry, over a new connection."""
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
    """Outcome of an arrival.

    Attributes:
        answer: Final answer to the caller.
        ended_s: Monotonic time at which the answer arrived.
        resubmission_answer: Final answer to the resubmission, None if the job
            was not resubmitted.
        requests: Number of requests sent for the job, resubmission included.
    """

    answer: answers.Answer
    ended_s: float
    resubmission_answer: answers.Answer | None = None
    requests: int = 1


@attrs.define(eq=False)
class Submitter:
    """Submits arrivals through the entries.

    Attributes:
        balancer: Selects the entry of each request.
        tokens: Access token by customer.
        run_id: Prefix of payload values and caller-chosen keys.
        wait_s: Time that the entry may wait for a job before it answers.
        send_until_s: Monotonic time after which no request is repeated.
        epoch: Roster epoch from the latest response, empty if unknown.
    """

    balancer: Balancer
    tokens: dict[str, str]
    run_id: str
    wait_s: float
    send_until_s: float = float("inf")
    epoch: str = ""
    _tickets: dict = attrs.field(
        factory=lambda: collections.defaultdict(collections.deque)
    )

    def submit_job(self, arrival: arrivals.Arrival) -> Outcome:
        """Submits a job and waits for its final answer.

        Also resubmits the job through another entry if the plan says so, and
        waits for that answer too.
        """
        key = self._obtain_key(arrival)
        if key is None:
            lost = answers.Lost("no ticket", sent=False)
            return Outcome(lost, time.monotonic())
        first = self.balancer.pick()
        resubmission = None
        if arrival.resubmit_after_s is not None:
            resubmission = eventlet.spawn(self._resubmit, arrival, key, first)
        answer, requests = self._request_until_final(arrival, key, first)
        ended_s = time.monotonic()
        if resubmission is None:
            return Outcome(answer, ended_s, None, requests)
        second_answer, second_requests = resubmission.wait()
        return Outcome(
            answer, ended_s, second_answer, requests + second_requests
        )

    def _resubmit(
        self, arrival: arrivals.Arrival, key: str, first: client.Client
    ) -> tuple[answers.Answer, int]:
        """Submits a job a second time, through another entry."""
        eventlet.sleep(arrival.resubmit_after_s)
        entry = self.balancer.pick(avoid=first)
        return self._request_until_final(arrival, key, entry)

    def _request_until_final(
        self, arrival: arrivals.Arrival, key: str, entry: client.Client
    ) -> tuple[answers.Answer, int]:
        """Repeats the request for a job until its answer is final.

        Gives up after `MAX_REQUESTS_PER_JOB` requests or at `send_until_s`.

        Returns:
            The last answer and the number of requests.
        """
        body = self._body(arrival)
        answer = answers.Lost("not sent", sent=False)
        for requests in range(1, MAX_REQUESTS_PER_JOB + 1):
            answer = self._send(arrival, key, body, entry)
            if self._is_final(answer, key):
                return answer, requests
            if isinstance(answer, answers.Running):
                key = key or answer.key
            else:
                eventlet.sleep(RETRY_DELAY_S)
                entry = self.balancer.pick(avoid=entry)
            if time.monotonic() > self.send_until_s:
                break
        return answer, requests

    def _is_final(self, answer: answers.Answer, key: str) -> bool:
        """Returns whether the caller makes no further request for the job."""
        match answer:
            case answers.Running():
                return False
            case answers.Lost(sent=sent):
                # A job without a key may have started; a repeated request
                # could run it twice.
                return sent and not key
            case answers.Refused(reason="home_unreachable"):
                return not key
        return True

    def _send(
        self,
        arrival: arrivals.Arrival,
        key: str,
        body: bytes,
        entry: client.Client,
    ) -> answers.Answer:
        """Sends one request for a job and returns its answer.

        With a key that the entries know already, the request asks for the
        same job again. Marks the entry as down if no connection can be made.
        """
        headers = {
            "Authorization": f"Bearer {self.tokens[arrival.customer]}",
            "Content-Type": "application/json",
        }
        if key:
            headers["Idempotency-Key"] = key
        path = f"/v1/jobs?wait_s={self.wait_s:g}"
        try:
            response = entry.request(
                "POST", path, headers, body, self.wait_s + RESPONSE_MARGIN_S
            )
        except client.NotSentError as error:
            self.balancer.mark_down(entry)
            return answers.Lost(str(error), sent=False)
        except client.LostError as error:
            return answers.Lost(str(error))
        self.epoch = response.headers.get("trefoilgw-epoch", self.epoch)
        return answers.parse(response)

    def _body(self, arrival: arrivals.Arrival) -> bytes:
        """Returns the JSON body of a submission."""
        tasks = [
            {
                "run_ms": run_ms,
                "value": verification.payload_value(
                    self.run_id, arrival.number, index
                ),
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

    def _obtain_key(self, arrival: arrivals.Arrival) -> str | None:
        """Returns the key of a submission.

        A ticket replaces a caller-chosen key if the epoch can't be obtained.

        Returns:
            The key, empty for a submission without one. None if no ticket
            could be obtained.
        """
        match arrival.key_source:
            case arrivals.KeySource.NONE:
                return ""
            case arrivals.KeySource.OWN if self._ensure_epoch():
                return f"k1.{self.epoch}.{self.run_id}-{arrival.number}"
            case _:
                return self._take_ticket(arrival.customer)

    def _ensure_epoch(self) -> bool:
        """Requests the roster epoch if it is unknown.

        Returns:
            Whether the epoch is known now.
        """
        if not self.epoch:
            entry = self.balancer.pick()
            try:
                response = entry.request("GET", "/v1/epoch")
                self.epoch = str(json.loads(response.body)["epoch"])
            except (client.NotSentError, client.LostError, ValueError):
                return False
        return True

    def _take_ticket(self, customer: str) -> str | None:
        """Takes a ticket from the customer's stock and refills it if empty.

        Returns:
            The ticket, or None if `MAX_TICKET_FETCHES` requests gave none.
        """
        stock = self._tickets[customer]
        for _ in range(MAX_TICKET_FETCHES):
            if stock:
                return stock.popleft()
            self._fetch_tickets(customer, stock)
        return stock.popleft() if stock else None

    def _fetch_tickets(self, customer: str, stock) -> None:
        """Adds tickets from the next entry to the stock.

        Leaves the stock unchanged if the request fails.
        """
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
