"""Baselines: tasks go straight to the targets, without the product.

Each load process chooses a target per task by random choice, in turn, or by
the fewest tasks as the targets reported them last plus those that the process
sent since. A target runs as many tasks as it has slots and lets the others
wait.
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
    """Carries out arrivals on the targets themselves.

    Attributes:
        targets: One client for each target.
        policy: One of `POLICIES`.
        run_id: Prefix of payload values.
        rng: Source of random choices.
        busy: Tasks of each target as last reported.
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
        """Reads the reports of all targets until `stop`."""
        while self._running and self.policy == "reports":
            for index, target in enumerate(self.targets):
                eventlet.spawn_n(self._read_report, index, target)
            eventlet.sleep(REPORT_INTERVAL_S)

    def stop(self) -> None:
        """Ends `poll`."""
        self._running = False

    def submit_job(self, arrival: arrivals.Arrival) -> submit.Outcome:
        """Runs the tasks of a job side by side and waits for all."""
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
        """Reads how busy a target is."""
        try:
            response = target.request("GET", "/control/status")
        except (client.NotSentError, client.LostError):
            return
        report = json.loads(response.body)
        self.busy[index] = report["running"] + report["waiting"]

    def _choose(self) -> int:
        """Returns the target for the next task."""
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
        """Runs one task.

        Returns:
            The target's answer, or None if it failed.
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
