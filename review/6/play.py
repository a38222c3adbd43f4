"""No job is served after all processes were killed while the minions failed.

The minions fail all that they start for 4 s, from 1 s before the final fault.
"""

import time

import case
import fleet
import traffic

WORK_MS = 120
INTERVAL_S = 0.1
FAILING_S = 4.0


def play(made: fleet.Fleet) -> str:
    """Plays the case; see `case.run`."""
    job = fleet.make_job([(2, 1000)], WORK_MS)
    clients = traffic.Traffic(made, job, INTERVAL_S)
    began_s = made.record.now_s()
    time.sleep(8.0)
    if case.TROUBLE:
        made.record.write("the minions fail all that they start")
        for minion in made.minions:
            minion.failing = True
    failing_until_s = made.record.now_s() + FAILING_S
    time.sleep(1.0)
    fault_s = made.record.now_s()
    traffic.final_fault(made)
    back_s = made.record.now_s()
    time.sleep(max(0.0, failing_until_s - made.record.now_s()))
    for minion in made.minions:
        minion.failing = False
    made.record.write("the minions are sound")
    return traffic.check_recovery(clients, began_s, fault_s, back_s)


case.run(__file__, play, fronts=2, sides=3, cpu=8000)
