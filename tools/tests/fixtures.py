"""Fleet, callers and checks that the end-to-end fault tests share.

The checks compare what callers were told with the targets' own counts of
starts. They depend on counts and outcomes, never on durations.
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

TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
# More than the entries of any test, so that the tickets name each of them.
TICKETS_REQUESTED = 16
CUSTOMER = "cobre-calco"


@attrs.define(eq=False)
class Submission:
    """A submission and the answers that its caller got.

    Attributes:
        values: Values of the payloads, unique among all submissions.
        body: Body of the request.
        key: Idempotency key; empty for none.
        attempts: Outcome of each attempt, in order.
        unanswered_by: Names of the entries whose answer did not arrive.
        final_answer: Last answer that states how the job ended; None if there
            is none yet.
    """

    values: tuple[str, ...]
    body: bytes
    key: str = ""
    attempts: list[str] = attrs.field(factory=list)
    unanswered_by: list[str] = attrs.field(factory=list)
    final_answer: dict | None = None

    @property
    def state(self) -> str:
        """State in which the job ended; empty if unknown."""
        if self.final_answer is None:
            return ""
        return self.final_answer.get("state", "refused")

    @property
    def fates(self) -> list[str]:
        """Outcomes of the tasks of a failed job."""
        return [row["fate"] for row in self.final_answer.get("fates", ())]


def wait_until(condition, what: str, limit_s: float = TIMEOUT_S):
    """Polls until a condition is true and returns its value.

    Raises:
        AssertionError: It was not true in time.
    """
    deadline_s = time.monotonic() + limit_s
    while time.monotonic() < deadline_s:
        found = condition()
        if found:
            return found
        eventlet.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"not reached in time: {what}")


class FaultTestCase(unittest.TestCase):
    """Test case whose methods share one fleet of real processes.

    Every test ends with the checks of `verify` over all submissions so far, so
    a start that happens after its own test fails a later one.

    Attributes:
        entry_count: Number of entries at the start.
        agent_count: Number of agents, and of targets.
        fleet: The processes.
        submissions: All submissions so far.
        revisions: Last configuration revision seen, by process name.
        reverted: Revisions that were lower than an earlier one of the process.
        numbers: Numbers that make the payloads' values unique.
    """

    entry_count = 3
    agent_count = 3

    @classmethod
    def setUpClass(cls):
        sizes = fleet.Sizes(entries=cls.entry_count, agents=cls.agent_count)
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
        """Records the revisions that each process reports, for `verify`."""
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
            eventlet.sleep(POLL_INTERVAL_S)

    @classmethod
    def read_status(cls, process) -> dict:
        """Returns ``/admin/status`` of a process.

        Raises:
            OSError: The process does not answer.
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
        """Waits for the status of a process and returns it."""
        return wait_until(
            lambda: self._read_status_or_none(process),
            f"status of {process.name}",
        )

    def _read_status_or_none(self, process) -> dict | None:
        """Returns the status of a process; None if it does not answer."""
        try:
            return self.read_status(process)
        except OSError:
            return None

    def send_request(
        self, process, method, path, body=b"", key="", customer=CUSTOMER
    ) -> client.Response:
        """Sends one request on a new connection.

        Raises:
            client.NotSentError: No connection could be made.
            client.LostError: No complete answer arrived.
        """
        headers = {"Authorization": f"Bearer {sample.token_of(customer)}"}
        if key:
            headers["Idempotency-Key"] = key
        caller = client.Client(process.ready["http"])
        try:
            return caller.request(method, path, headers, body, TIMEOUT_S)
        finally:
            caller.close()

    def request_ticket(self, process) -> str:
        """Returns a ticket whose home is the given entry.

        An entry issues tickets for itself and its peers in turn.

        Raises:
            AssertionError: No ticket names the entry.
        """
        incarnation = process.ready["incarnation"]
        body = json.dumps({"count": TICKETS_REQUESTED}).encode()
        answer = self.send_request(process, "POST", "/v1/tickets", body)
        for ticket in json.loads(answer.body)["tickets"]:
            if incarnation in ticket:
                return ticket
        raise AssertionError(f"no ticket of {process.name}: {answer.body}")

    def make_submission(
        self,
        tasks=2,
        run_ms=100,
        key="",
        kind="preview",
        deadline_s=30.0,
    ) -> Submission:
        """Returns a new submission without sending it."""
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

    def submit_once(self, submission, process, wait_s=20.0) -> dict | None:
        """Submits once; returns the answer's body, or None if none arrived."""
        path = f"/v1/jobs?wait_s={wait_s:g}"
        try:
            answer = self.send_request(
                process, "POST", path, submission.body, submission.key
            )
        except client.NotSentError:
            submission.attempts.append("not sent")
            return None
        except client.LostError:
            submission.attempts.append("lost")
            submission.unanswered_by.append(process.name)
            return None
        content = json.loads(answer.body)
        self.record_answer(submission, content)
        return content

    def record_answer(self, submission, content: dict) -> None:
        """Records an answer of the home, or of another entry about its loss.

        Fails the test if the answer contradicts an earlier final one.
        """
        state = content.get("state") or content.get("reason")
        submission.attempts.append(state)
        ended = content.get("state") in ("complete", "failed")
        if not ended and not content.get("not_run"):
            return
        earlier = submission.final_answer
        if earlier is not None and earlier.get("state") != content.get("state"):
            self.fail(f"contradictory final answers: {earlier}, then {content}")
        submission.final_answer = content

    def submit_until_ended(self, submission, processes) -> Submission:
        """Submits through the entries in turn until the job's end is known."""
        turns = itertools.cycle(processes)
        wait_until(
            lambda: (
                self.submit_once(submission, next(turns))
                and submission.final_answer
            ),
            f"end of job {submission.key}",
        )
        return submission

    def spawn(self, function, *arguments):
        """Runs a function in a greenthread that is killed after the test."""
        thread = eventlet.spawn(function, *arguments)
        self.addCleanup(thread.kill)
        return thread

    def spawn_submissions(
        self, processes, jobs=12, others=None, **shape
    ) -> list:
        """Submits jobs concurrently, spread over entries, until each has ended.

        Args:
            processes: Entries that get the first attempts, in turn.
            jobs: Number of jobs.
            others: Entries for further attempts; all of `processes` if None.
            **shape: Arguments of `make_submission`.

        Returns:
            The greenthreads; the result of each is its submission.
        """
        threads = []
        for number in range(jobs):
            first = processes[number % len(processes)]
            submission = self.make_submission(
                key=self.request_ticket(first), **shape
            )
            entries = [first, *(others or processes)]
            threads.append(
                self.spawn(self._submit_through, submission, entries)
            )
        return threads

    def _submit_through(self, submission, processes) -> Submission:
        """Submits to the first entry, then to the others until the job ends."""
        self.submit_once(submission, processes[0])
        if submission.final_answer is None:
            self.submit_until_ended(submission, processes[1:])
        return submission

    def wait_for_starts(self, count, what="starts") -> None:
        """Waits until the targets have counted `count` starts in total."""
        wait_until(lambda: sum(self.start_counts().values()) >= count, what)

    def start_counts(self) -> collections.Counter:
        """Returns the targets' own counts of starts by value."""
        counts = collections.Counter()
        for tally in self.fleet.starts():
            counts.update(tally["values"])
        return counts

    def any_target_busy(self) -> bool:
        """Returns whether any target has a running or waiting task."""
        return any(
            self.running_tasks(number) for number in range(self.agent_count)
        )

    def running_tasks(self, number: int) -> int:
        """Returns the number of running and waiting tasks of a target."""
        target = self.fleet.process(f"target-{number}")
        data = fleet.fetch(target.ready["http"], "/control/status")
        return sum(json.loads(data).values())

    def wait_idle(self) -> None:
        """Waits until the fleet is fully connected and idle."""
        self.fleet.wait_settled(TIMEOUT_S)
        wait_until(lambda: not self.any_target_busy(), "idle targets")

    def verify(self) -> None:
        """Compares what callers were told with the targets' counts."""
        counts = self.start_counts()
        twice = [value for value, count in counts.items() if count > 1]
        self.assertEqual([], twice, "started more than once")
        for submission in self.submissions:
            started = [counts[value] for value in submission.values]
            self._verify_submission(submission, started)
        for tally in self.fleet.starts():
            self.assertEqual([], tally["double"])
            self.assertLessEqual(tally["max_at_once"], tally["slots"])
        self.assertEqual(
            [], self.reverted, "a process went back to an older revision"
        )

    def _verify_submission(self, submission, started: list[int]) -> None:
        """Compares the final answer of one job with the starts of its tasks."""
        if submission.final_answer is None:
            return
        if submission.state == "complete":
            results = [
                item["value"] for item in submission.final_answer["results"]
            ]
            self.assertEqual(list(submission.values), results)
            self.assertEqual([1] * len(started), started)
            return
        self.assertNotIn("results", submission.final_answer)
        if submission.state == "refused":
            self.assertEqual([0] * len(started), started, submission)
            return
        for fate, count in zip(submission.fates, started, strict=True):
            if fate == "not_run":
                self.assertEqual(0, count, submission)
            if fate in ("completed", "failed"):
                self.assertEqual(1, count, submission)


def wait_for_submissions(threads) -> list[Submission]:
    """Returns the submissions of `spawn_submissions` after their end."""
    return [thread.wait() for thread in threads]


def post_control(address: str, path: str, **body) -> None:
    """Sends a command to a stand-in's control interface.

    Raises:
        AssertionError: The stand-in did not accept it.
    """
    try:
        fleet.fetch(address, path, body)
    except urllib.error.URLError as error:
        raise AssertionError(f"{path}: {error}") from error
