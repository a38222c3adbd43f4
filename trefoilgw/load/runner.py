"""Runs a plan in an open loop: arrivals do not wait for earlier answers.

Response times are measured from the planned arrival, so that a slow generator
or a full queue can't hide delay (coordinated omission).
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
from trefoilgw.load import verification

PROGRESS_INTERVAL_S = 1.0


@attrs.define(eq=False)
class Runner:
    """Sends the arrivals of a plan once and measures the answers.

    Attributes:
        scenario: Provides the limits and the number of slots.
        plan: Arrivals of this process.
        submit_job: Submits one arrival and returns its outcome.
        run_id: Prefix of payload values.
        measured: Results, filled during the run.
        final_answers: Final answers by the number of the arrival.
        not_sent: Numbers of the arrivals skipped because too many jobs were
            open.
        open_jobs: Number of jobs without a final answer.
        sent: Number of jobs sent so far.
    """

    scenario: scenarios.Scenario
    plan: tuple[arrivals.Arrival, ...]
    submit_job: Callable[[arrivals.Arrival], submit.Outcome]
    run_id: str
    measured: results.Results = attrs.field(factory=results.Results)
    final_answers: dict[int, answers.Answer] = attrs.field(factory=dict)
    not_sent: set[int] = attrs.field(factory=set)
    open_jobs: int = 0
    sent: int = 0
    _start_s: float = 0.0

    def run(self, start_s: float) -> None:
        """Sends all arrivals and waits up to `drain_s` for open answers.

        Args:
            start_s: Monotonic time of second 0 of the plan.
        """
        self._start_s = start_s
        cpu_s = time.process_time()
        pool = eventlet.GreenPool(self.scenario.in_flight_limit)
        for arrival in self.plan:
            self._wait_until(start_s + arrival.at_s)
            self._start_job(pool, arrival)
        with eventlet.Timeout(self.scenario.drain_s, exception=False):
            pool.waitall()
        self._count_unanswered()
        self.measured.generator_cpu_s = time.process_time() - cpu_s
        self.measured.duration_s = time.monotonic() - start_s

    def report_progress(self, report: Callable[[str], None]) -> None:
        """Reports the progress once a second, in a greenthread of its own.

        Args:
            report: Called with each progress line.
        """
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
        """Sleeps until an arrival is due and records the lag on waking."""
        left_s = due_s - time.monotonic()
        # Yields to the event loop even if late, so that answers are read.
        eventlet.sleep(max(0.0, left_s))
        self.measured.record_lag(time.monotonic() - due_s)

    def _start_job(
        self, pool: eventlet.GreenPool, arrival: arrivals.Arrival
    ) -> None:
        """Starts one job, or counts it as not sent if too many are open."""
        flow = self._flow(arrival)
        flow.counts["planned"] += 1
        if not pool.free():
            flow.counts["not_sent"] += 1
            self.not_sent.add(arrival.number)
            return
        self.sent += 1
        self.open_jobs += 1
        pool.spawn_n(self._submit_and_record, arrival)

    def _submit_and_record(self, arrival: arrivals.Arrival) -> None:
        """Submits one arrival and records its outcome."""
        try:
            outcome = self.submit_job(arrival)
        finally:
            self.open_jobs -= 1
        self.final_answers[arrival.number] = outcome.answer
        flow = self._flow(arrival)
        flow.counts["requests"] += outcome.requests
        response_s = outcome.ended_s - self._start_s - arrival.at_s
        self._record(flow, arrival, outcome.answer, response_s)
        if outcome.resubmission_answer is not None:
            flow.counts["resubmitted"] += 1
            if disagree(outcome.answer, outcome.resubmission_answer):
                flow.counts["disagreement"] += 1

    def _record(
        self,
        flow: results.FlowResult,
        arrival: arrivals.Arrival,
        answer: answers.Answer,
        response_s: float,
    ) -> None:
        """Counts a final answer by its type and reason."""
        match answer:
            case answers.Complete(results=task_results):
                self._record_complete(flow, arrival, task_results, response_s)
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
        task_results: tuple,
        response_s: float,
    ) -> None:
        """Counts a complete answer and checks its results.

        The response time is not recorded if results are missing.
        """
        flow.counts["complete"] += 1
        flow.counts["tasks_complete"] += len(task_results)
        if len(task_results) != len(arrival.run_ms):
            flow.counts["partial"] += 1
            return
        if any(
            result
            != {
                "value": verification.payload_value(
                    self.run_id, arrival.number, i
                )
            }
            for i, result in enumerate(task_results)
        ):
            flow.counts["wrong_result"] += 1
        ideal_s = arrival.ideal_s(self.scenario.slots)
        flow.record_response(response_s, ideal_s)

    def _count_unanswered(self) -> None:
        """Counts the sent jobs without a final answer at the end of the run."""
        for arrival in self.plan:
            if not (
                arrival.number in self.final_answers
                or arrival.number in self.not_sent
            ):
                self._flow(arrival).counts["unanswered"] += 1

    def _flow(self, arrival: arrivals.Arrival) -> results.FlowResult:
        """Returns the results of the flow of an arrival."""
        return self.measured.flow(
            arrival.customer, arrival.flow.kind, arrival.flow.flood
        )


def disagree(one: answers.Answer, other: answers.Answer) -> bool:
    """Returns whether two answers to one submission contradict each other.

    An answer that leaves the outcome unknown contradicts no other answer.
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
