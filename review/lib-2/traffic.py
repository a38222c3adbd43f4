"""Clients that hand in a job at an interval, and the check of RECOVER."""

import collections
import http.client
import threading
import time

import fleet

RECOVER_S = 12.0
# Time limit of the clients, as on the sites.
LIMIT_S = 1.5
DOWN_S = 0.53


class Traffic:
    """Clients that hand in a job each `interval_s`."""

    def __init__(
        self,
        made: fleet.Fleet,
        job: dict,
        interval_s: float,
        limit_s: float = LIMIT_S,
    ):
        self.limit_s = limit_s
        self.made = made
        self.job = job
        self.interval_s = interval_s
        self.on = True
        self.answers: list[tuple[float, int]] = []
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        number = 0
        while self.on:
            threading.Thread(
                target=self._send, args=(number,), daemon=True
            ).start()
            number += 1
            time.sleep(self.interval_s)

    def _send(self, number: int) -> None:
        made, job_id = self.made, fleet.new_id()
        front = made.front_of(number)
        sent_s = made.record.now_s()
        try:
            status, body = made.submit(front, job_id, self.job, self.limit_s)
        except (OSError, http.client.HTTPException) as error:
            status, body = 0, repr(error)
        made.record.write(
            f"{job_id} sent {sent_s:.3f} to {front.name}: {status} {body}"
        )
        self.answers.append((sent_s, status))

    def served(self, from_s: float, until_s: float) -> tuple[int, int]:
        """Returns how many requests sent in a time were served, and all."""
        found = [x for sent_s, x in self.answers if from_s <= sent_s < until_s]
        return sum(x == 200 for x in found), len(found)


def final_fault(made: fleet.Fleet) -> None:
    """Kills all processes and starts them again."""
    machines = made.fronts + made.sides
    for machine in machines:
        machine.kill()
    time.sleep(DOWN_S)
    for machine in machines:
        machine.start()


def check_recovery(
    traffic: Traffic, began_s: float, fault_s: float, back_s: float
) -> str:
    """Waits, and returns how RECOVER was broken, or nothing.

    Args:
        traffic: The clients.
        began_s: Time at which they began.
        fault_s: Time of the final fault.
        back_s: Time at which the machines were back.
    """
    made = traffic.made
    late_s = back_s + RECOVER_S
    time.sleep(max(0.0, late_s + 10.0 - made.record.now_s()))
    until_s = made.record.now_s()
    time.sleep(LIMIT_S)
    traffic.on = False
    before = traffic.served(began_s, fault_s)
    after = traffic.served(late_s, until_s)
    statuses = collections.Counter(x for s, x in traffic.answers if s >= late_s)
    text = (
        f"{before[0]} of {before[1]} requests were served before, {after[0]} "
        f"of {after[1]} later than 12 s after the machines were back "
        f"{dict(statuses)}"
    )
    made.record.write(text)
    if before[0] * 4 < before[1]:
        raise RuntimeError(f"too few served before: {text}")
    return text if after[0] * 4 < after[1] else ""
