"""A cancelled job runs on: its cancelling is acknowledged by another front.

The front that took a job is killed. The client sends the job again, and it runs
through the other front. The killed front is back when the client cancels.
"""

import http.client
import threading
import time

import case
import fleet

TASKS = 2
WORK_MS = 12000
# Times from the first submission: the kill, and the cancelling, which is longer
# than `contactMs` after the front is back.
KILL_S = 1.0
CANCEL_AT_S = 6.0
# A client's number; its connections go to the first front while that is ready.
CLIENT = 0


def send(made: fleet.Fleet, job_id: str, answers: list) -> None:
    """Hands a job in, again 1.3 s after a broken connection."""
    job = fleet.make_job([(TASKS, 1000)], WORK_MS)
    for attempt in range(3):
        # A retry reaches another node.
        front = made.fronts[(CLIENT + attempt) % len(made.fronts)]
        made.record.write(f"client sends {job_id} to {front.name}")
        try:
            status, body = made.submit(front, job_id, job, 40.0)
            made.record.write(f"client gets {status} {body}")
            answers.append(status)
            return
        except (OSError, http.client.HTTPException) as error:
            made.record.write(f"client has no answer: {error!r}")
        time.sleep(fleet.RESEND_S)


def play(made: fleet.Fleet) -> str:
    """Plays the case; see `case.run`."""
    job_id = fleet.new_id()
    answers: list[int] = []
    first = made.fronts[CLIENT]
    threading.Thread(
        target=send, args=(made, job_id, answers), daemon=True
    ).start()
    time.sleep(KILL_S)
    if case.TROUBLE:
        first.kill()
        restart = threading.Timer(2.0, first.start)
        restart.start()
    time.sleep(CANCEL_AT_S - KILL_S)
    running = [x for x in made.runs_of(job_id) if x["ended_s"] is None]
    front = made.front_of(CLIENT)
    if front is not first or len(running) != TASKS:
        raise RuntimeError(f"{front.name}, {len(running)} runs")
    status, body = made.request(front, "DELETE", job_id)
    acknowledged_s = made.record.now_s()
    made.record.write(
        f"client cancels {job_id} at {front.name}: {status} {body}"
    )
    if status not in (200, 410):
        raise RuntimeError(f"not acknowledged: {status}")
    limit_s = acknowledged_s + fleet.CANCEL_S + fleet.STOP_TIMEOUT_S
    time.sleep(limit_s - made.record.now_s() + 0.5)
    late = [
        x
        for x in made.runs_of(job_id)
        if x["ended_s"] is None or x["ended_s"] > limit_s
    ]
    if not late:
        return ""
    return f"{len(late)} runs are at work 3.55 s after the acknowledgement"


case.run(__file__, play, fronts=2, sides=2, cpu=4000)
