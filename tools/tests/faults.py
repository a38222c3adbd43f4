"""What the end-to-end fault cases share: a fleet, callers and their checks.

The checks compare what callers were told with what the targets counted on
their own. They judge counts and outcomes, never durations.
"""

import collections
import itertools
import json
import time
import unittest
import urllib.error

import attrs
import eventlet

from tools import fleet
from tools import sample
from trefoilgw.load import client

LIMIT_S = 60.0
POLL_S = 0.05
# More than entries in any case, so that each of them is named.
TICKETS_TAKEN = 16
CUSTOMER = "cobre-calco"


@attrs.define(eq=False)
class Submission:
    """One submission as its caller sees it.

    Attributes:
        values: The payloads' values, unique among all submissions.
        body: Body of the request.
        key: Idempotency key; empty until a ticket was issued.
        attempts: Outcome of each attempt, in order.
        lost_at: Names of the entries whose answer did not arrive.
        final: Last answer that says how the job ended; None if there is none.
    """

    values: tuple[str, ...]
    body: bytes
    key: str = ""
    attempts: list[str] = attrs.field(factory=list)
    lost_at: list[str] = attrs.field(factory=list)
    final: dict | None = None

    @property
    def state(self) -> str:
        """How the job ended; empty if that is not known."""
        if self.final is None:
            return ""
        return self.final.get("state", "refused")

    @property
    def fates(self) -> list[str]:
        """Fates of the tasks of a failed job."""
        return [row["fate"] for row in self.final.get("fates", ())]


def wait_until(condition, what: str, limit_s: float = LIMIT_S):
    """Polls until a condition holds, and returns its value.

    Raises:
        AssertionError: It did not hold in time.
    """
    deadline_s = time.monotonic() + limit_s
    while time.monotonic() < deadline_s:
        found = condition()
        if found:
            return found
        eventlet.sleep(POLL_S)
    raise AssertionError(f"not reached in time: {what}")


class FaultTestCase(unittest.TestCase):
    """Cases that share one fleet of real processes.

    Every case ends with the checks of `verify` over all submissions so far,
    so that a start that comes late fails a later case at the latest.
    """

    entries = 3
    agents = 3

    @classmethod
    def setUpClass(cls):
        sizes = fleet.Sizes(entries=cls.entries, agents=cls.agents)
        cls.fleet = fleet.Fleet(sizes)
        cls.addClassCleanup(cls.fleet.close)
        cls.fleet.start()
        cls.submissions = []
        cls.revisions = {}
        cls.reverted = []
        cls.numbers = itertools.count()
        watcher = eventlet.spawn(cls._watch_revisions)
        cls.addClassCleanup(watcher.kill)

    def tearDown(self):
        for process in self.fleet.entries() + self.fleet.agents():
            process.thaw()
        self.verify()

    @classmethod
    def _watch_revisions(cls):
        """Records the revisions that each process shows, for `verify`."""
        while True:
            for process in cls.fleet.entries() + cls.fleet.agents():
                try:
                    status = cls.read_status(process)
                except OSError:
                    continue
                known = cls.revisions.get(process.name, 0)
                if status["revision"] < known:
                    cls.reverted.append((process.name, known, status))
                cls.revisions[process.name] = status["revision"]
            eventlet.sleep(POLL_S)

    @classmethod
    def read_status(cls, process) -> dict:
        """Returns ``/admin/status`` of a process.

        Raises:
            OSError: It does not answer.
        """
        if not process.ready:
            raise OSError("not started")
        reader = client.Client(process.ready["admin"])
        try:
            answer = reader.request("GET", "/admin/status", timeout_s=1.0)
        except (client.NotSentError, client.LostError) as error:
            raise OSError(str(error)) from error
        finally:
            reader.close()
        return json.loads(answer.body)

    def status(self, process) -> dict:
        """Returns the status of a process that must answer."""
        return wait_until(
            lambda: self._try_status(process), f"status of {process.name}"
        )

    def _try_status(self, process) -> dict | None:
        try:
            return self.read_status(process)
        except OSError:
            return None

    def call(
        self, process, method, path, body=b"", key="", customer=CUSTOMER
    ) -> client.Response:
        """Sends one request on a connection of its own.

        Raises:
            client.NotSentError: No connection could be made.
            client.LostError: No whole answer arrived.
        """
        headers = {"Authorization": f"Bearer {sample.token_of(customer)}"}
        if key:
            headers["Idempotency-Key"] = key
        caller = client.Client(process.ready["http"])
        try:
            return caller.request(method, path, headers, body, LIMIT_S)
        finally:
            caller.close()

    def ticket(self, process) -> str:
        """Returns a ticket that names an entry as its home.

        An entry issues tickets for itself and its peers in turn.
        """
        incarnation = process.ready["incarnation"]
        body = json.dumps({"count": TICKETS_TAKEN}).encode()
        answer = self.call(process, "POST", "/v1/tickets", body)
        for ticket in json.loads(answer.body)["tickets"]:
            if incarnation in ticket:
                return ticket
        raise AssertionError(f"no ticket of {process.name}: {answer.body}")

    def prepare(
        self,
        tasks=2,
        run_ms=100,
        key="",
        kind="preview",
        deadline_s=30.0,
    ) -> Submission:
        """Returns a submission that is not sent yet."""
        number = next(self.numbers)
        values = tuple(f"{number}-{index}" for index in range(tasks))
        payloads = [
            {"run_ms": run_ms, "value": value, "kind": kind} for value in values
        ]
        body = {
            "kind": kind,
            "tasks": payloads,
            "deadline_s": deadline_s,
            "idempotent": False,
        }
        submission = Submission(values, json.dumps(body).encode(), key)
        self.submissions.append(submission)
        return submission

    def attempt(self, submission, process, wait_s=20.0) -> dict | None:
        """Submits once; returns the answer's body, None if none arrived."""
        path = f"/v1/jobs?wait_s={wait_s:g}"
        try:
            answer = self.call(
                process, "POST", path, submission.body, submission.key
            )
        except client.NotSentError:
            submission.attempts.append("not sent")
            return None
        except client.LostError:
            submission.attempts.append("lost")
            submission.lost_at.append(process.name)
            return None
        content = json.loads(answer.body)
        self.note(submission, content)
        return content

    def note(self, submission, content: dict) -> None:
        """Books an answer of the home or about the home's loss."""
        state = content.get("state") or content.get("reason")
        submission.attempts.append(state)
        ended = content.get("state") in ("complete", "failed")
        if not ended and not content.get("not_run"):
            return
        was = submission.final
        if was is not None and was.get("state") != content.get("state"):
            self.fail(f"two ends of one job: {was} then {content}")
        submission.final = content

    def settle(self, submission, processes) -> Submission:
        """Submits through entries in turn until the end is known."""
        turns = itertools.cycle(processes)
        wait_until(
            lambda: self.attempt(submission, next(turns)) and submission.final,
            f"end of {submission.key}",
        )
        return submission

    def spawn(self, function, *arguments):
        """Runs a function in a greenthread that ends with the test."""
        thread = eventlet.spawn(function, *arguments)
        self.addCleanup(thread.kill)
        return thread

    def spawn_load(self, processes, jobs=12, others=None, **shape) -> list:
        """Submits jobs at once, spread over entries, and settles each.

        Args:
            processes: Entries that get the first attempts, in turn.
            jobs: How many jobs.
            others: Entries for further attempts; all of `processes` if None.
            **shape: See `prepare`.

        Returns:
            The greenthreads, each with its submission as result.
        """
        threads = []
        for number in range(jobs):
            first = processes[number % len(processes)]
            submission = self.prepare(key=self.ticket(first), **shape)
            again = [first, *(others or processes)]
            threads.append(self.spawn(self._submit, submission, again))
        return threads

    def _submit(self, submission, processes) -> Submission:
        """Submits at the first entry, then at the others until it ends."""
        self.attempt(submission, processes[0])
        if submission.final is None:
            self.settle(submission, processes[1:])
        return submission

    def wait_starts(self, submissions_or_count, what="starts") -> None:
        """Waits until the targets counted a number of starts in all."""
        wait_until(
            lambda: sum(self.counts().values()) >= submissions_or_count, what
        )

    def counts(self) -> collections.Counter:
        """Returns the targets' own counts of starts by value."""
        counts = collections.Counter()
        for tally in self.fleet.starts():
            counts.update(tally["values"])
        return counts

    def busy(self) -> bool:
        """Returns whether a target runs a task."""
        return any(self.running(number) for number in range(self.agents))

    def running(self, number: int) -> int:
        """Returns how many tasks a target holds."""
        target = self.fleet.process(f"target-{number}")
        data = fleet.fetch(target.ready["http"], "/control/status")
        return sum(json.loads(data).values())

    def settled(self) -> None:
        """Waits until the fleet is whole and idle."""
        self.fleet.wait_settled(LIMIT_S)
        wait_until(lambda: not self.busy(), "idle targets")

    def verify(self) -> None:
        """Compares what callers were told with the targets' counts."""
        counts = self.counts()
        twice = [value for value, count in counts.items() if count > 1]
        self.assertEqual([], twice, "started more than once")
        for submission in self.submissions:
            started = [counts[value] for value in submission.values]
            self._verify_one(submission, started)
        for tally in self.fleet.starts():
            self.assertEqual([], tally["double"])
            self.assertLessEqual(tally["max_at_once"], tally["slots"])
        self.assertEqual([], self.reverted, "a revision went back")

    def _verify_one(self, submission, started: list[int]) -> None:
        """Checks the end of one job."""
        if submission.final is None:
            return
        if submission.state == "complete":
            results = [item["value"] for item in submission.final["results"]]
            self.assertEqual(list(submission.values), results)
            self.assertEqual([1] * len(started), started)
            return
        self.assertNotIn("results", submission.final)
        if submission.state == "refused":
            self.assertEqual([0] * len(started), started, submission)
            return
        for fate, count in zip(submission.fates, started, strict=True):
            if fate == "not_run":
                self.assertEqual(0, count, submission)
            if fate in ("completed", "failed"):
                self.assertEqual(1, count, submission)


def ended(threads) -> list[Submission]:
    """Waits for greenthreads of `spawn_load` and returns what they settled."""
    return [thread.wait() for thread in threads]


def post(address: str, path: str, **body) -> None:
    """Sends a command to a stand-in's control interface."""
    try:
        fleet.fetch(address, path, body)
    except urllib.error.URLError as error:
        raise AssertionError(f"{path}: {error}") from error
