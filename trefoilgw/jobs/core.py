"""The job table of a home: one record per key, from acceptance to its end.

It decides whether a submission is new, which outcomes count, what may be sent
again and when a job ends. It sends nothing and chooses no agent.

Notes:
    Only the home starts the tasks of a key, and only a key without a record
    starts any. So a record is dropped only when its key is refused for good
    (see `retention`), and a task gets a new attempt only after `NotRun`.
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

# Agents report the fate of a task at its deadline themselves. What is still
# missing this much later ends as unknown; callers are promised 2 s.
END_AFTER_DEADLINE_S = 1.5
# About 300 bytes each; 15 minutes at 1,100 jobs a second.
RECORDS_LIMIT = 1_000_000
# Above this share of the limit, refused submissions leave no record and are
# not told "not run", so that a flood of refusals can't fill the table.
CROWDED_SHARE = 0.5


@attrs.define(eq=False)
class JobTable:
    """Jobs and tombstones of one home.

    Attributes:
        key_retention: Acceptance of keys and retention of records.
        records_limit: Records beyond which new keys are refused.
        records: Jobs and tombstones by key.
        running: Jobs without an answer, by id.
        batches: Batches that agents have to account for.
        answers: Ended jobs whose results are held.
        due_times: When to look at running jobs.
        ignored_outcomes: Outcomes dropped as late, doubled or foreign.
    """

    key_retention: retention.Retention
    records_limit: int = RECORDS_LIMIT
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
        """Takes a submission whose home this is.

        Args:
            key: Parsed key.
            customer: Name of the customer.
            kind: Record of the kind, with a `name`.
            payloads: Request body of each task.
            deadline_s: Seconds from now.
            idempotent: False if the work must run at most once.
            now_s: Monotonic time.
            digest: Hash of what the caller sent; by default of the arguments.
            announced: False if no caller knows the key yet.

        Returns:
            The job, new or known, or a refusal.
        """
        digest = digest or model.digest(
            kind.name, payloads, deadline_s, idempotent
        )
        known = self.check_key(key, customer, digest, now_s)
        if known is not None:
            return known
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
        self.due_times.watch(job.id, job.deadline_s)
        return model.Accepted(job)

    def check_key(
        self, key: keys.Key, customer: str, digest: bytes, now_s: float
    ) -> model.Existing | fates.Refused | None:
        """Returns what a key already stands for, None if it is free."""
        record = self._record(key, customer)
        if record is not None:
            return rules.resubmitted(record, digest)
        return self.key_retention.refusal(key, now_s)

    def find(
        self, key: keys.Key, customer: str, now_s: float
    ) -> model.Job | fates.Refused:
        """Returns the job of a key, or why there is none to show."""
        record = self._record(key, customer)
        match record:
            case model.Job():
                return record
            case model.Tombstone() | model.RefusedKey():
                return rules.answer_gone(record)
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
        """Books waiting tasks to an agent, before the bytes leave.

        Raises:
            ValueError: A task does not wait; it would start twice.
        """
        gone = set(indices)
        left = [index for index in job.waiting if index not in gone]
        if len(left) + len(indices) != len(job.waiting):
            raise ValueError(f"tasks of {job.id} are at an agent already")
        job.waiting = left
        job.was_sent = True
        self.batches.add(model.Batch(batch, job, agent, session, gone, now_s))

    def not_sent(
        self, batch: int, now_s: float
    ) -> model.JobEnded | model.RetryTasks | None:
        """Takes tasks back whose message never reached a stream."""
        known = self.batches.by_number.get(batch)
        if known is None:
            return None
        fate = fates.NotRun(fates.Reason.NO_TARGET)
        return self._apply(known, rules.all_as(known, fate), now_s)

    def outcomes(
        self,
        batch: int,
        outcomes_: tuple[messages.TaskOutcome, ...],
        final: bool,
        now_s: float,
        origin: model.Origin,
    ) -> model.JobEnded | model.RetryTasks | model.StrikeBatches | None:
        """Takes outcomes that an agent reported.

        Those of unknown batches and tasks, of another job or agent, and of an
        older session are ignored.

        Args:
            batch: Number of the batch.
            outcomes_: Outcomes in wire form.
            final: Whether the agent has no more; not relied on here.
            now_s: Monotonic time.
            origin: Job, agent and session of the message.

        Returns:
            What follows for the job, if anything.
        """
        known = self.batches.by_number.get(batch)
        if known is None or not rules.matches(known, origin):
            self.ignored_outcomes += len(outcomes_)
            return None
        found = [
            (item.index, messages.fate_from_wire(item)) for item in outcomes_
        ]
        return self._apply(known, found, now_s)

    def abandon_tasks(
        self,
        job: model.Job,
        indices: tuple[int, ...],
        reason: fates.Reason,
        now_s: float,
    ) -> model.JobEnded | model.StrikeBatches | None:
        """Gives up tasks that did not run; the job can't complete."""
        for index in indices:
            rules.set_fate(job, index, fates.NotRun(reason))
        return self._doom(job, reason, now_s)

    def withdraw(
        self, job: model.Job, refused: fates.Refused, now_s: float
    ) -> model.JobEnded | model.StrikeBatches | None:
        """Takes a job back that admission refused or dropped.

        A job of which nothing was sent ends as refused, a true not run, and
        its key stays refused: a copy of the submission may be under way.
        Otherwise its waiting tasks end.
        """
        if job.ended:
            return None
        if job.was_sent:
            return self.abandon_tasks(
                job, tuple(job.waiting), refused.reason, now_s
            )
        crowded = self.records.size > CROWDED_SHARE * self.records_limit
        job.refused = attrs.evolve(
            refused, not_run=not (job.announced and crowded)
        )
        if job.announced and not crowded:
            stone = model.RefusedKey(job.digest, job.refused)
            self.records.put(job.period, job.id, stone)
        else:
            self.records.remove(job.period, job.id)
        return self._end(job, model.State.REFUSED, now_s)

    def agent_lost(
        self, agent: str, now_s: float
    ) -> tuple[model.JobEnded | model.StrikeBatches, ...]:
        """Ends the tasks at an agent that is gone as unknown."""
        results = []
        for batch in self.batches.of_agent(agent):
            fate = fates.Unknown(fates.Reason.AGENT_LOST)
            found = rules.all_as(batch, fate)
            results.append(self._apply(batch, found, now_s))
        return tuple(result for result in results if result is not None)

    def agent_reconnected(self, agent: str, session: int) -> None:
        """Takes messages on open batches from a newer session only."""
        for batch in self.batches.of_agent(agent):
            batch.session = session

    def open_batches(self, agent: str) -> tuple[messages.BatchRef, ...]:
        """Returns the batches that an agent still has to account for."""
        return self.batches.references(agent)

    def cancel(
        self, key: keys.Key, customer: str, now_s: float
    ) -> model.Cancelled | fates.Refused:
        """Stops a job; tasks that run already are not interrupted."""
        job = self.find(key, customer, now_s)
        if isinstance(job, fates.Refused):
            return job
        if job.ended:
            return model.Cancelled(job, ())
        waiting = tuple(job.waiting)
        result = self.abandon_tasks(job, waiting, fates.Reason.CANCELLED, now_s)
        struck = getattr(result, "batches", ())
        return model.Cancelled(job, struck, ended=job.ended)

    def expire(
        self, now_s: float
    ) -> tuple[model.JobEnded | model.StrikeBatches, ...]:
        """Enforces deadlines and drops records that are over.

        Call it every `deadlines.TICK_S`.
        """
        self._drop_records(now_s)
        results = []
        for job_id in self.due_times.due(now_s):
            job = self.running.get(job_id)
            if job is None:
                continue
            result = self._past_deadline(job, now_s)
            if result is not None:
                results.append(result)
        return tuple(results)

    def process_paused(self, now_s: float) -> tuple[model.JobEnded, ...]:
        """Ends all running jobs after a pause of this process.

        Agents and peers may have given this entry up meanwhile.
        """
        jobs = list(self.running.values())
        return tuple(
            self._cut(job, fates.Reason.HOME_PAUSED, now_s) for job in jobs
        )

    def explain(
        self, job_id: str, now_s: float = 0.0
    ) -> model.Explanation | None:
        """Returns what is known about a job, by its id ``customer:key``."""
        return explaining.explain(self.records, self.batches, job_id, now_s)

    def _record(self, key: keys.Key, customer: str):
        """Returns the record of a customer's key, None if there is none."""
        period = key_records.period_of(key)
        return self.records.get(period, f"{customer}:{keys.format_key(key)}")

    def _apply(self, batch: model.Batch, found: list, now_s: float):
        """Books outcomes of a batch and returns what follows."""
        job = batch.job
        retry = []
        bad = None
        for index, fate in found:
            if index not in batch.remaining:
                self.ignored_outcomes += 1
                continue
            batch.remaining.discard(index)
            if isinstance(fate, fates.NotRun) and rules.may_retry(job, fate):
                retry.append(index)
                continue
            if not isinstance(fate, fates.Completed):
                bad = bad or fate.reason
            rules.set_fate(job, index, fate)
        if not batch.remaining:
            self.batches.close(batch)
        if retry:
            job.waiting += retry
            job.refusing_agents |= {batch.agent}
        if job.abort_reason is not None or bad is not None:
            return self._doom(job, job.abort_reason or bad, now_s)
        if job.left == 0:
            return self._end(job, model.State.COMPLETE, now_s)
        if retry:
            return model.RetryTasks(job, tuple(retry))
        return None

    def _doom(self, job: model.Job, reason: fates.Reason, now_s: float):
        """Ends what waits of a job that can't complete any more."""
        fresh = job.abort_reason is None
        rules.doom(job, reason)
        if job.left == 0:
            return self._end(job, rules.end_state(job), now_s)
        if not fresh:
            return None
        return model.StrikeBatches(
            job,
            self.batches.targets(job),
            rules.reason_of_rest(job.abort_reason),
        )

    def _past_deadline(self, job: model.Job, now_s: float):
        """Returns what follows for a job whose deadline may have passed."""
        if now_s < job.deadline_s:
            return None  # Set for a refused job of the same key.
        if now_s >= job.deadline_s + END_AFTER_DEADLINE_S:
            return self._cut(job, fates.Reason.DEADLINE, now_s)
        self.due_times.watch(job.id, job.deadline_s + END_AFTER_DEADLINE_S)
        if not job.was_sent:
            return self.withdraw(job, rules.NO_SLOT_IN_TIME, now_s)
        return self._doom(job, fates.Reason.DEADLINE, now_s)

    def _cut(
        self, job: model.Job, reason: fates.Reason, now_s: float
    ) -> model.JobEnded:
        """Ends a job now; tasks at agents are unknown."""
        rules.cut(job, reason)
        targets = self.batches.targets(job)
        for target in targets:
            self.batches.close(self.batches.by_number[target.batch])
        ended = self._end(job, model.State.FAILED, now_s)
        return model.JobEnded(ended.job, targets)

    def _end(
        self, job: model.Job, state: model.State, now_s: float
    ) -> model.JobEnded:
        """Gives a job its answer."""
        job.state = state
        job.ended_s = now_s
        rules.slim(job)
        self.running.pop(job.id, None)
        if state is not model.State.REFUSED:
            self.answers.add(job)
        return model.JobEnded(job)

    def _drop_records(self, now_s: float) -> None:
        """Drops records of periods that are over, and surplus answers."""
        self.records.drop(
            lambda period: self.key_retention.is_over(period, now_s)
        )
        for job in self.answers.surplus(now_s):
            if self.records.get(job.period, job.id) is job:
                stone = model.Tombstone(job.digest, job.state)
                self.records.put(job.period, job.id, stone)
