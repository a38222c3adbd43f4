"""Runs a plan as an open loop: arrivals do not wait for answers.

Response times count from the planned arrival, so a slow generator or a full
queue can't hide delay (coordinated omission).
"""

import time
from collections.abc import Callable

import attrs
import eventlet

from trefoilgw.load import answers
from trefoilgw.load import arrivals
from trefoilgw.load import results
from trefoilgw.load import scenario as scenarios
from trefoilgw.load import submit
from trefoilgw.load import tally

PROGRESS_INTERVAL_S = 1.0


@attrs.define(eq=False)
class Runner:
    """One run of a plan.

    Attributes:
        scenario: Limits and slots.
        plan: Arrivals of this process.
        carry_out: Submits one arrival and returns its outcome.
        run_id: Prefix of payload values.
        measured: Filled during the run.
        ended: Final answer of each arrival by its number.
        not_sent: Arrivals left out because too many jobs were open.
        open_jobs: Jobs without a final answer.
        sent: Jobs sent so far.
    """

    scenario: scenarios.Scenario
    plan: tuple[arrivals.Arrival, ...]
    carry_out: Callable[[arrivals.Arrival], submit.Outcome]
    run_id: str
    measured: results.Results = attrs.field(factory=results.Results)
    ended: dict[int, answers.Answer] = attrs.field(factory=dict)
    not_sent: set[int] = attrs.field(factory=set)
    open_jobs: int = 0
    sent: int = 0
    _start_s: float = 0.0

    def run(self, start_s: float) -> None:
        """Sends all arrivals and waits for their answers.

        Args:
            start_s: Monotonic time of second 0 of the plan.
        """
        self._start_s = start_s
        cpu_s = time.process_time()
        pool = eventlet.GreenPool(self.scenario.in_flight_limit)
        for arrival in self.plan:
            self._wait_until(start_s + arrival.at_s)
            self._start(pool, arrival)
        with eventlet.Timeout(self.scenario.drain_s, exception=False):
            pool.waitall()
        self._count_open()
        self.measured.generator_cpu_s = time.process_time() - cpu_s
        self.measured.duration_s = time.monotonic() - start_s

    def progress(self, report: Callable[[str], None]) -> None:
        """Reports the state once a second; spawn it as a greenthread."""
        while True:
            eventlet.sleep(PROGRESS_INTERVAL_S)
            counts = self.measured.counts()
            now_s = time.monotonic() - self._start_s
            report(
                f"{now_s:6.1f} s  sent {self.sent}/{len(self.plan)}"
                f"  open {self.open_jobs}  complete {counts['complete']}"
                f"  failed {counts['failed']}  refused {counts['refused']}"
                f"  lost {counts['lost']}"
            )

    def _wait_until(self, due_s: float) -> None:
        """Sleeps until an arrival is due and notes how late that was."""
        left_s = due_s - time.monotonic()
        # A full turn of the loop even if late: answers must be read too.
        eventlet.sleep(max(0.0, left_s))
        self.measured.add_lag(time.monotonic() - due_s)

    def _start(
        self, pool: eventlet.GreenPool, arrival: arrivals.Arrival
    ) -> None:
        """Starts one job unless too many are open."""
        flow = self._flow(arrival)
        flow.counts["planned"] += 1
        if not pool.free():
            flow.counts["not_sent"] += 1
            self.not_sent.add(arrival.number)
            return
        self.sent += 1
        self.open_jobs += 1
        pool.spawn_n(self._carry_out, arrival)

    def _carry_out(self, arrival: arrivals.Arrival) -> None:
        """Submits one arrival and records what became of it."""
        try:
            outcome = self.carry_out(arrival)
        finally:
            self.open_jobs -= 1
        self.ended[arrival.number] = outcome.answer
        flow = self._flow(arrival)
        flow.counts["requests"] += outcome.requests
        response_s = outcome.ended_s - self._start_s - arrival.at_s
        self._record(flow, arrival, outcome.answer, response_s)
        if outcome.again is not None:
            flow.counts["resubmitted"] += 1
            if disagree(outcome.answer, outcome.again):
                flow.counts["disagreement"] += 1

    def _record(
        self,
        flow: results.FlowResult,
        arrival: arrivals.Arrival,
        answer: answers.Answer,
        response_s: float,
    ) -> None:
        """Counts a final answer."""
        match answer:
            case answers.Complete(results=got):
                self._record_complete(flow, arrival, got, response_s)
            case answers.Failed(reason=reason, partial=partial):
                flow.counts["failed"] += 1
                flow.counts["partial"] += partial
                flow.reasons[f"failed:{reason}"] += 1
            case answers.Refused(reason=reason, not_run=not_run):
                flow.counts["refused"] += 1
                flow.counts["refused_not_run"] += not_run
                flow.reasons[f"refused:{reason}"] += 1
            case answers.Running():
                flow.counts["lost"] += 1
                flow.reasons["lost:no final answer"] += 1
            case answers.Lost(detail=detail):
                flow.counts["lost"] += 1
                flow.reasons[f"lost:{detail}"] += 1

    def _record_complete(
        self,
        flow: results.FlowResult,
        arrival: arrivals.Arrival,
        got: tuple,
        response_s: float,
    ) -> None:
        """Counts a complete answer after looking at its results."""
        flow.counts["complete"] += 1
        flow.counts["tasks_complete"] += len(got)
        if len(got) != len(arrival.run_ms):
            flow.counts["partial"] += 1
            return
        if any(
            result != {"value": tally.value_of(self.run_id, arrival.number, i)}
            for i, result in enumerate(got)
        ):
            flow.counts["wrong_result"] += 1
        ideal_s = arrival.ideal_s(self.scenario.slots)
        flow.record_response(response_s, ideal_s)

    def _count_open(self) -> None:
        """Counts sent jobs that have no final answer when the run ends."""
        for arrival in self.plan:
            if not (
                arrival.number in self.ended or arrival.number in self.not_sent
            ):
                self._flow(arrival).counts["unanswered"] += 1

    def _flow(self, arrival: arrivals.Arrival) -> results.FlowResult:
        """Returns the results of an arrival's flow."""
        return self.measured.flow(
            arrival.customer, arrival.flow.kind, arrival.flow.flood
        )


def disagree(one: answers.Answer, other: answers.Answer) -> bool:
    """Returns whether two answers to one submission contradict each other.

    An answer that says that the outcome is not known contradicts nothing.
    """
    match one, other:
        case answers.Complete(results=left), answers.Complete(results=right):
            return left != right
        case answers.Complete(), answers.Failed():
            return True
        case answers.Failed(), answers.Complete():
            return True
        case answers.Complete(), answers.Refused(not_run=not_run):
            return not_run
        case answers.Refused(not_run=not_run), answers.Complete():
            return not_run
    return False
