"""Job table of a home: one record per key, from acceptance to expiry.

The table decides whether a submission is new, which outcomes count, which
tasks may be retried and when a job ends. It sends no messages and selects no
agents.

Notes:
    Only the home starts the tasks of a key, and only if the key has no record.
    For at-most-once execution, a record is therefore dropped only when its key
    will never be accepted again (see `retention`), and a task is retried only
    after `NotRun`.
"""

import attrs

from trefoilgw.jobs import batches as open_batches
from trefoilgw.jobs import deadlines
from trefoilgw.jobs import explaining
from trefoilgw.jobs import model
from trefoilgw.jobs import records as key_records
from trefoilgw.jobs import retention
from trefoilgw.jobs import rules
from trefoilgw.keys import core as keys
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as fates

# Agents report the fates of tasks at their deadline. A fate still missing this
# much later is set to unknown; callers are promised an answer within 2 s after
# the deadline.
DEADLINE_GRACE_S = 1.5
# About 300 bytes each; enough for 15 minutes at 1,100 jobs per second.
MAX_RECORDS = 1_000_000
# Above this share of `records_limit`, the refusal of a key that a caller knows
# leaves no record and does not state "not run", so that a flood of refusals
# can't fill the table.
CROWDED_SHARE = 0.5


@attrs.define(eq=False)
class JobTable:
    """Jobs and tombstones of one home.

    Attributes:
        key_retention: Decides which keys are accepted and how long records
            are kept.
        records_limit: Number of records from which new keys are refused.
        records: Jobs and tombstones by period and job id.
        running: Jobs that have not ended, by id.
        batches: Batches with tasks without an outcome.
        answers: Ended jobs whose results are held.
        due_times: Times at which deadlines of running jobs are checked.
        ignored_outcomes: Number of outcomes ignored because they were late,
            duplicate, or of another job, agent or session.
    """

    key_retention: retention.Retention
    records_limit: int = MAX_RECORDS
    records: key_records.Records = attrs.field(factory=key_records.Records)
    running: dict = attrs.field(factory=dict)
    batches: open_batches.OpenBatches = attrs.field(
        factory=open_batches.OpenBatches
    )
    answers: retention.Answers = attrs.field(factory=retention.Answers)
    due_times: deadlines.Deadlines = attrs.field(factory=deadlines.Deadlines)
    ignored_outcomes: int = 0

    def submit(
        self,
        key: keys.Key,
        customer: str,
        kind,
        payloads: tuple[bytes, ...],
        deadline_s: float,
        idempotent: bool,
        now_s: float,
        digest: bytes = b"",
        announced: bool = True,
    ) -> model.Accepted | model.Existing | fates.Refused:
        """Accepts a submission as a new job unless its key has a record.

        Args:
            key: Parsed key.
            customer: Name of the customer.
            kind: Configuration of the task kind, with a `name`.
            payloads: Request body of each task.
            deadline_s: Seconds from now.
            idempotent: False if the work must run at most once.
            now_s: Monotonic time in seconds.
            digest: Hash of what the caller sent; by default of the arguments.
            announced: False if no caller knows the key yet.

        Returns:
            The new job, the existing job of the key, or a refusal.
        """
        digest = digest or model.digest(
            kind.name, payloads, deadline_s, idempotent
        )
        existing = self.check_key(key, customer, digest, now_s)
        if existing is not None:
            return existing
        if self.records.size >= self.records_limit:
            return rules.TABLE_FULL
        text = keys.format_key(key)
        job = model.Job(
            id=f"{customer}:{text}",
            key=text,
            period=key_records.period_of(key),
            customer=customer,
            kind=kind,
            payloads=payloads,
            deadline_s=now_s + deadline_s,
            idempotent=idempotent,
            digest=digest,
            accepted_s=now_s,
            announced=announced,
        )
        self.records.put(job.period, job.id, job)
        self.running[job.id] = job
        self.due_times.schedule(job.id, job.deadline_s)
        return model.Accepted(job)

    def check_key(
        self, key: keys.Key, customer: str, digest: bytes, now_s: float
    ) -> model.Existing | fates.Refused | None:
        """Returns the existing job or a refusal; None if the key is unused."""
        record = self._find_record(key, customer)
        if record is not None:
            return rules.resubmission_answer(record, digest)
        return self.key_retention.refusal(key, now_s)

    def find(
        self, key: keys.Key, customer: str, now_s: float
    ) -> model.Job | fates.Refused:
        """Returns the job of a key, or a refusal if no job is held for it."""
        record = self._find_record(key, customer)
        match record:
            case model.Job():
                return record
            case model.Tombstone() | model.RefusedKey():
                return rules.record_refusal(record)
        refusal = self.key_retention.refusal(key, now_s)
        if refusal is not None and not refusal.not_run:
            return refusal
        return fates.Refused(
            fates.Reason.NOT_FOUND,
            not_run=False,
            detail="no job of this customer has this key",
        )

    def assign_tasks(
        self,
        job: model.Job,
        batch: int,
        agent: str,
        session: int,
        indices: tuple[int, ...],
        now_s: float = 0.0,
    ) -> None:
        """Assigns waiting tasks to an agent, before the batch is sent.

        Raises:
            ValueError: A task is not waiting; sending it could start it twice.
        """
        assigned = set(indices)
        still_waiting = [
            index for index in job.waiting if index not in assigned
        ]
        if len(still_waiting) + len(indices) != len(job.waiting):
            raise ValueError(f"tasks of {job.id} are not waiting to be sent")
        job.waiting = still_waiting
        job.was_sent = True
        self.batches.add(
            model.Batch(batch, job, agent, session, assigned, now_s)
        )

    def batch_not_sent(
        self, batch: int, now_s: float
    ) -> model.JobEnded | model.RetryTasks | None:
        """Takes back the tasks of a batch that never reached a stream."""
        open_batch = self.batches.by_number.get(batch)
        if open_batch is None:
            return None
        fate = fates.NotRun(fates.Reason.NO_TARGET)
        return self._apply(
            open_batch, rules.fate_for_all(open_batch, fate), now_s
        )

    def apply_outcomes(
        self,
        batch: int,
        outcomes_: tuple[messages.TaskOutcome, ...],
        final: bool,
        now_s: float,
        origin: model.Origin,
    ) -> model.JobEnded | model.RetryTasks | model.StrikeBatches | None:
        """Applies outcomes that an agent reported.

        Outcomes of unknown batches or tasks, and those from another job, agent
        or session than the batch's, are ignored.

        Args:
            batch: Number of the batch.
            outcomes_: Outcomes as in the message.
            final: True if the agent will send no more outcomes of the batch;
                not used.
            now_s: Monotonic time in seconds.
            origin: Job, agent and session of the message.

        Returns:
            The action to take for the job, or None.
        """
        open_batch = self.batches.by_number.get(batch)
        if open_batch is None or not rules.matches_origin(open_batch, origin):
            self.ignored_outcomes += len(outcomes_)
            return None
        task_fates = [
            (item.index, messages.fate_from_wire(item)) for item in outcomes_
        ]
        return self._apply(open_batch, task_fates, now_s)

    def abandon_tasks(
        self,
        job: model.Job,
        indices: tuple[int, ...],
        reason: fates.Reason,
        now_s: float,
    ) -> model.JobEnded | model.StrikeBatches | None:
        """Ends tasks that did not run, without a retry, and aborts the job."""
        for index in indices:
            rules.set_fate(job, index, fates.NotRun(reason))
        return self._abort(job, reason, now_s)

    def withdraw(
        self, job: model.Job, refused: fates.Refused, now_s: float
    ) -> model.JobEnded | model.StrikeBatches | None:
        """Ends a job that admission refused or dropped.

        A job of which no task was sent ends as refused. The refusal can then
        state that nothing ran, and the key stays refused, because a copy of
        the submission may still arrive. If a task was sent, the waiting tasks
        end as not run and the job is aborted.
        """
        if job.ended:
            return None
        if job.was_sent:
            return self.abandon_tasks(
                job, tuple(job.waiting), refused.reason, now_s
            )
        table_crowded = self.records.size > CROWDED_SHARE * self.records_limit
        job.refused = attrs.evolve(
            refused, not_run=not (job.announced and table_crowded)
        )
        if job.announced and not table_crowded:
            refused_key = model.RefusedKey(job.digest, job.refused)
            self.records.put(job.period, job.id, refused_key)
        else:
            self.records.remove(job.period, job.id)
        return self._end(job, model.State.REFUSED, now_s)

    def agent_lost(
        self, agent: str, now_s: float
    ) -> tuple[model.JobEnded | model.StrikeBatches, ...]:
        """Sets the open tasks at a lost agent to unknown."""
        results = []
        for batch in self.batches.of_agent(agent):
            fate = fates.Unknown(fates.Reason.AGENT_LOST)
            task_fates = rules.fate_for_all(batch, fate)
            results.append(self._apply(batch, task_fates, now_s))
        return tuple(result for result in results if result is not None)

    def agent_reconnected(self, agent: str, session: int) -> None:
        """Accepts messages about open batches from a newer session only."""
        for batch in self.batches.of_agent(agent):
            batch.session = session

    def open_batches(self, agent: str) -> tuple[messages.BatchRef, ...]:
        """Returns the batches of an agent with tasks without an outcome."""
        return self.batches.references(agent)

    def cancel(
        self, key: keys.Key, customer: str, now_s: float
    ) -> model.Canceled | fates.Refused:
        """Cancels a job; tasks that are already running are not interrupted."""
        job = self.find(key, customer, now_s)
        if isinstance(job, fates.Refused):
            return job
        if job.ended:
            return model.Canceled(job, ())
        waiting = tuple(job.waiting)
        result = self.abandon_tasks(job, waiting, fates.Reason.CANCELLED, now_s)
        struck = getattr(result, "batches", ())
        return model.Canceled(job, struck, ended=job.ended)

    def expire(
        self, now_s: float
    ) -> tuple[model.JobEnded | model.StrikeBatches, ...]:
        """Enforces deadlines and drops expired records and surplus answers.

        Call it every `deadlines.TICK_S`.
        """
        self._drop_records(now_s)
        results = []
        for job_id in self.due_times.pop_due(now_s):
            job = self.running.get(job_id)
            if job is None:
                continue
            result = self._past_deadline(job, now_s)
            if result is not None:
                results.append(result)
        return tuple(results)

    def process_paused(self, now_s: float) -> tuple[model.JobEnded, ...]:
        """Ends all running jobs after a pause of this process.

        Agents and peers may have removed this entry during the pause.
        """
        jobs = list(self.running.values())
        return tuple(
            self._end_now(job, fates.Reason.HOME_PAUSED, now_s) for job in jobs
        )

    def explain(
        self, job_id: str, now_s: float = 0.0
    ) -> model.Explanation | None:
        """Returns the state of a job by its id ``customer:key``, or None."""
        return explaining.explain(self.records, self.batches, job_id, now_s)

    def _find_record(self, key: keys.Key, customer: str):
        """Returns the record of a customer's key, or None."""
        period = key_records.period_of(key)
        return self.records.get(period, f"{customer}:{keys.format_key(key)}")

    def _apply(self, batch: model.Batch, task_fates: list, now_s: float):
        """Applies fates of a batch and returns the action to take, or None.

        Args:
            batch: An open batch.
            task_fates: Pairs of task index and fate.
            now_s: Monotonic time in seconds.
        """
        job = batch.job
        retry = []
        failure = None
        for index, fate in task_fates:
            if index not in batch.remaining:
                self.ignored_outcomes += 1
                continue
            batch.remaining.discard(index)
            if isinstance(fate, fates.NotRun) and rules.may_retry(job, fate):
                retry.append(index)
                continue
            if not isinstance(fate, fates.Completed):
                failure = failure or fate.reason
            rules.set_fate(job, index, fate)
        if not batch.remaining:
            self.batches.close(batch)
        if retry:
            job.waiting += retry
            job.refusing_agents |= {batch.agent}
        if job.abort_reason is not None or failure is not None:
            return self._abort(job, job.abort_reason or failure, now_s)
        if job.open_tasks == 0:
            return self._end(job, model.State.COMPLETE, now_s)
        if retry:
            return model.RetryTasks(job, tuple(retry))
        return None

    def _abort(self, job: model.Job, reason: fates.Reason, now_s: float):
        """Ends the waiting tasks of a job that can no longer complete.

        Returns:
            `JobEnded` if no task is open; `StrikeBatches` at the first abort;
            None otherwise.
        """
        first_abort = job.abort_reason is None
        rules.abort(job, reason)
        if job.open_tasks == 0:
            return self._end(job, rules.end_state(job), now_s)
        if not first_abort:
            return None
        return model.StrikeBatches(
            job,
            self.batches.locations(job),
            rules.unsent_reason(job.abort_reason),
        )

    def _past_deadline(self, job: model.Job, now_s: float):
        """Returns the action for a job whose deadline is due, or None."""
        if now_s < job.deadline_s:
            return None  # Scheduled for an earlier, refused job of the key.
        if now_s >= job.deadline_s + DEADLINE_GRACE_S:
            return self._end_now(job, fates.Reason.DEADLINE, now_s)
        self.due_times.schedule(job.id, job.deadline_s + DEADLINE_GRACE_S)
        if not job.was_sent:
            return self.withdraw(job, rules.NO_SLOT_IN_TIME, now_s)
        return self._abort(job, fates.Reason.DEADLINE, now_s)

    def _end_now(
        self, job: model.Job, reason: fates.Reason, now_s: float
    ) -> model.JobEnded:
        """Ends a job at once; its tasks at agents become unknown."""
        rules.end_tasks(job, reason)
        locations = self.batches.locations(job)
        for location in locations:
            self.batches.close(self.batches.by_number[location.batch])
        ended = self._end(job, model.State.FAILED, now_s)
        return model.JobEnded(ended.job, locations)

    def _end(
        self, job: model.Job, state: model.State, now_s: float
    ) -> model.JobEnded:
        """Sets the final state of a job and frees what it no longer needs."""
        job.state = state
        job.ended_s = now_s
        rules.release_memory(job)
        self.running.pop(job.id, None)
        if state is not model.State.REFUSED:
            self.answers.add(job)
        return model.JobEnded(job)

    def _drop_records(self, now_s: float) -> None:
        """Drops expired records and replaces surplus answers by tombstones."""
        self.records.drop_expired(
            lambda period: self.key_retention.is_over(period, now_s)
        )
        for job in self.answers.evict(now_s):
            if self.records.get(job.period, job.id) is job:
                tombstone = model.Tombstone(job.digest, job.state)
                self.records.put(job.period, job.id, tombstone)
