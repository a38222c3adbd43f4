"""Baselines that send tasks directly to the targets, without the product.

Each load process selects a target for each task at random, in turn, or by the
fewest tasks. The last policy counts the tasks that a target reported last plus
those that the process sent to it since. A target runs as many tasks as it has
slots and queues the others.
"""

import json
import random
import time

import attrs
import eventlet

from trefoilgw.load import answers
from trefoilgw.load import arrivals
from trefoilgw.load import client
from trefoilgw.load import submit
from trefoilgw.load import verification

REPORT_INTERVAL_S = 0.5
TASK_TIMEOUT_S = 120.0
POLICIES = ("random", "in-turn", "reports")


@attrs.define(eq=False)
class DirectSubmitter:
    """Submits the tasks of arrivals directly to the targets.

    Attributes:
        targets: One client for each target.
        policy: One of `POLICIES`.
        run_id: Prefix of payload values.
        rng: Random generator for target selection.
        busy: Number of tasks of each target. With the policy ``reports``, the
            last reported number plus the tasks sent since; otherwise the
            running tasks of this process.
    """

    targets: tuple[client.Client, ...]
    policy: str
    run_id: str
    rng: random.Random
    busy: list = attrs.field(init=False)
    _next: int = 0
    _running: bool = True

    def __attrs_post_init__(self):
        self.busy = [0] * len(self.targets)

    def poll(self) -> None:
        """Polls the reports of all targets until `stop` is called.

        Returns at once unless the policy is ``reports``.
        """
        while self._running and self.policy == "reports":
            for index, target in enumerate(self.targets):
                eventlet.spawn_n(self._read_report, index, target)
            eventlet.sleep(REPORT_INTERVAL_S)

    def stop(self) -> None:
        """Makes `poll` return after its current interval."""
        self._running = False

    def submit_job(self, arrival: arrivals.Arrival) -> submit.Outcome:
        """Runs the tasks of a job concurrently and waits for all of them."""
        tasks = [
            eventlet.spawn(self._run, arrival, index)
            for index in range(len(arrival.run_ms))
        ]
        results = tuple(task.wait() for task in tasks)
        if all(result is not None for result in results):
            answer = answers.Complete(results)
        else:
            answer = answers.Failed("target_error")
        return submit.Outcome(answer, time.monotonic())

    def _read_report(self, index: int, target: client.Client) -> None:
        """Updates the number of tasks of a target from its report.

        The last number is kept if the target does not answer.
        """
        try:
            response = target.request("GET", "/control/status")
        except (client.NotSentError, client.LostError):
            return
        report = json.loads(response.body)
        self.busy[index] = report["running"] + report["waiting"]

    def _choose(self) -> int:
        """Returns the index of the target for the next task."""
        match self.policy:
            case "in-turn":
                self._next = (self._next + 1) % len(self.targets)
                return self._next
            case "reports":
                order = list(range(len(self.targets)))
                self.rng.shuffle(order)
                return min(order, key=self.busy.__getitem__)
        return self.rng.randrange(len(self.targets))

    def _run(self, arrival: arrivals.Arrival, index: int):
        """Runs one task of a job on a selected target.

        Returns:
            The decoded response of the target, or None if the task failed.
        """
        chosen = self._choose()
        self.busy[chosen] += 1
        value = verification.payload_value(self.run_id, arrival.number, index)
        payload = {"run_ms": arrival.run_ms[index], "value": value}
        headers = {"Trefoilgw-Task": f"{self.run_id}.{arrival.number}/{index}"}
        body = json.dumps(payload).encode()
        try:
            response = self.targets[chosen].request(
                "POST", "/run/direct", headers, body, TASK_TIMEOUT_S
            )
        except (client.NotSentError, client.LostError):
            return None
        finally:
            if self.policy != "reports":
                self.busy[chosen] -= 1
        return json.loads(response.body) if response.status == 200 else None
