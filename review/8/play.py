"""No job is served after all processes were killed and started again.

Each job has four tasks that need a core and one that needs memory only.
"""

import time

import case
import fleet
import traffic

WORK_MS = 60
INTERVAL_S = 0.1


def play(made: fleet.Fleet) -> str:
    """Plays the case; see `case.run`."""
    job = fleet.make_job([(4, 1000), (1, 0)], WORK_MS)
    clients = traffic.Traffic(made, job, INTERVAL_S)
    began_s = made.record.now_s()
    time.sleep(8.0)
    fault_s = made.record.now_s()
    if case.TROUBLE:
        traffic.final_fault(made)
    back_s = made.record.now_s()
    return traffic.check_recovery(clients, began_s, fault_s, back_s)


case.run(__file__, play, fronts=2, sides=3, cpu=4000)
