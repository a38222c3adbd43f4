"""A scheduler that stood still starts jobs whose clients have left."""

import concurrent.futures
import pathlib
import random
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.lib import fleet  # noqa: E402

FREEZE_S = 2.4
RUNNERS = 11
FREEZES = 14
INTERVAL_S = 2.5
BURST_LEAD_S = 0.3
# The platform sends no new connections after two missed checks.
NOTICED_S = 2.2
# The mean of the deployment, and the factor of its bursts.
JOBS_PER_S = 70.0
BURST = 2.2
LEAVING_SHARE = 0.4
LEAVE_S = (0.3, 0.9)
LIMIT_S = 12.0
# Route, tasks and run time of the kinds of jobs, and their share of the jobs.
KINDS = (("push", 8, 0.12), ("rebuild", 4, 1.8), ("refresh", 2, 0.4))
SHARES = (17.2, 3.13, 50)


class Platform:
    """Chooses schedulers for connections, as the platform does."""

    def __init__(self, count: int):
        self.count = count
        self.frozen_since_s: dict[int, float] = {}
        self.jobs_per_s = JOBS_PER_S

    def choose(self, zone: int) -> int:
        """Returns the scheduler of a zone, or that of the next one."""
        since_s = self.frozen_since_s.get(zone)
        if since_s is not None and time.monotonic() - since_s > NOTICED_S:
            return (zone + 1) % self.count
        return zone


def submit(
    deployment: fleet.Fleet,
    record: fleet.Record,
    platform: Platform,
    rng: random.Random,
) -> None:
    """Sends one job as a client does; some clients leave early, once."""
    key = fleet.new_id()
    queue, tasks, run_s = rng.choices(KINDS, SHARES)[0]
    zone = rng.randrange(deployment.scheduler_count)
    leaves = rng.random() < LEAVING_SHARE
    limit_s = rng.uniform(*LEAVE_S) if leaves else LIMIT_S
    for _ in range(4):
        number = platform.choose(zone)
        record.write(f"POST {key} to scheduler-{number}, {tasks} tasks")
        status, body = deployment.call(
            number,
            "POST",
            f"/{queue}/{key}",
            fleet.job_body(tasks, run_s),
            limit_s,
        )
        record.write(f"answer {key} {status} {body}")
        if status not in (0, 502, 504):
            return
        time.sleep(fleet.RESEND_S)
        # Retries reach other schedulers.
        zone = (number + 1) % deployment.scheduler_count
        limit_s = LIMIT_S


def freeze(
    deployment: fleet.Fleet, platform: Platform, number: int, trouble: bool
) -> None:
    """Lets a scheduler stand still for a while, or only waits as long."""
    if not trouble:
        time.sleep(FREEZE_S)
        return
    name = f"scheduler-{number}"
    deployment.signal(name, signal.SIGSTOP)
    platform.frozen_since_s[number] = time.monotonic()
    time.sleep(FREEZE_S)
    deployment.signal(name, signal.SIGCONT)
    del platform.frozen_since_s[number]


def case(record: fleet.Record, trouble: bool) -> list[str]:
    """Plays the load; returns the tasks that ran twice at the same time."""
    rng = random.Random(1)
    deployment = fleet.Fleet(record, schedulers=3, runners=RUNNERS)
    platform = Platform(deployment.scheduler_count)
    pool = concurrent.futures.ThreadPoolExecutor(1000)
    ended = threading.Event()

    def load() -> None:
        due_s = time.monotonic()
        while not ended.is_set():
            due_s += rng.expovariate(platform.jobs_per_s)
            ended.wait(max(0.0, due_s - time.monotonic()))
            pool.submit(submit, deployment, record, platform, rng)

    try:
        deployment.start(*(fleet.route(x[0]) for x in KINDS))
        thread = threading.Thread(target=load)
        thread.start()
        for turn in range(FREEZES):
            time.sleep(INTERVAL_S)
            platform.jobs_per_s = JOBS_PER_S * BURST
            time.sleep(BURST_LEAD_S)
            freeze(deployment, platform, turn % 3, trouble)
            platform.jobs_per_s = JOBS_PER_S
        time.sleep(3.0)
        ended.set()
        thread.join()
        pool.shutdown(wait=True)
        runs = deployment.runs()
    finally:
        ended.set()
        pool.shutdown(wait=False, cancel_futures=True)
        deployment.close()
    for run in runs:
        record.write(f"ran {fleet.describe(run, record)}")
    return [
        f"TWICE: {fleet.describe(a, record)}; {fleet.describe(b, record)}"
        for a, b in fleet.overlaps(runs)
    ]


if __name__ == "__main__":
    fleet.main(FOLDER, case)
