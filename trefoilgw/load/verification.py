"""Compares the answers to callers with the task starts that targets counted.

The stand-in of a target counts task starts by the value in the payload, which
is unique for each task of a run. Double starts and false "not run" answers are
thus detected without data from the product.
"""

import collections
import json

from trefoilgw.load import answers
from trefoilgw.load import arrivals
from trefoilgw.load import client
from trefoilgw.load import results


def read_starts(addresses: tuple[str, ...]) -> collections.Counter:
    """Returns the task starts by payload value, summed over the targets.

    Raises:
        client.NotSentError: A target can't be reached.
        client.LostError: A target did not answer.
    """
    starts = collections.Counter()
    for address in addresses:
        target = client.Client(address)
        response = target.request("GET", "/control/starts")
        target.close()
        starts.update(json.loads(response.body)["values"])
    return starts


def check(
    run: results.Results,
    final_answers: dict[int, answers.Answer],
    plan: tuple[arrivals.Arrival, ...],
    run_id: str,
    starts: collections.Counter,
) -> None:
    """Adds task starts and faults to the counts of the results.

    Args:
        run: Results whose counts are increased.
        final_answers: Final answers by the number of the arrival.
        plan: The arrivals of this process.
        run_id: Prefix of the payload values.
        starts: Task starts by payload value, from `read_starts`.
    """
    for arrival in plan:
        flow = run.flow(arrival.customer, arrival.flow.kind, arrival.flow.flood)
        started = [
            starts[payload_value(run_id, arrival.number, index)]
            for index in range(len(arrival.run_ms))
        ]
        flow.counts["task_starts"] += sum(started)
        flow.counts["double_start"] += sum(count > 1 for count in started)
        match final_answers.get(arrival.number):
            case answers.Refused(not_run=True) if any(started):
                flow.counts["false_not_run"] += 1
            case answers.Complete() if not all(started):
                flow.counts["complete_without_start"] += 1


def payload_value(run_id: str, number: int, index: int) -> str:
    """Returns the payload value of a task, unique across runs."""
    return f"{run_id}.{number}.{index}"
