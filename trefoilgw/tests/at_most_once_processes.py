"""Simulated homes, agents and streams with checks of the guarantees.

The decisions are made by the product's own code (job table, slots, ledger,
keys). The network, the clock and the processes are simulated: messages wait in
buffers, and processes stop, freeze and restart. The simulation counts the
starts of every task on its own and compares them with what the callers were
told.
"""

import collections

import attrs

from trefoilgw.jobs import core as jobs
from trefoilgw.jobs import model as job_model
from trefoilgw.jobs import retention
from trefoilgw.keys import core as keys
from trefoilgw.ledger import core as ledger
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.slots import actions
from trefoilgw.slots import core as slots
from trefoilgw.slots import credits as credit_book

SLOTS = 3
TASKS_PER_JOB = 2
LEASE_S = 3.0
PAUSE_THRESHOLD_S = 5.0
DEADLINE_S = 30.0
# Small enough that histories reach a nearly full and a full job table.
MAX_RECORDS = 10
# Capacity of an agent's ledger in records: the product's, and the reduced one
# of the operation `limit_ledger`.
MAX_LEDGER_RECORDS = 4096
REDUCED_LEDGER_RECORDS = 1


class ViolationError(AssertionError):
    """A guarantee given to callers was violated."""


def require(condition: bool, text: str) -> None:
    """Raises `ViolationError` with a text unless a condition holds."""
    if not condition:
        raise ViolationError(text)


@attrs.frozen
class Kind:
    """The fields of a kind's configuration that the job table reads."""

    name: str = "kind"


@attrs.define(eq=False)
class Link:
    """One stream between a home and an agent.

    Attributes:
        home: Accepting end of the stream.
        agent: Dialing end of the stream.
        number: Session number.
        dialed_s: Time at which the agent dialed.
        to_agent: Messages that the agent has not read yet.
        to_home: Messages that the home has not read yet.
        open: False once the home closed the stream; the agent may still read
            what is buffered.
        welcomed: True once the agent has read the welcome.
        acked: Ended batches that the next pong acknowledges.
    """

    home: "Home"
    agent: "Agent"
    number: int
    dialed_s: float
    to_agent: list = attrs.field(factory=list)
    to_home: list = attrs.field(factory=list)
    open: bool = True
    welcomed: bool = False
    acked: list = attrs.field(factory=list)


@attrs.define(eq=False)
class Home:
    """One incarnation of an entry, in its role as home.

    Attributes:
        incarnation: Identifier of this process.
        table: The product's job table.
        clock_read_s: Time at which the home last read its clock.
        links: Newest link by agent incarnation.
        credits: Credits that the home assumes to hold, by agent incarnation.
        roster: Last roster that this entry has read.
        sessions: Number of the newest session.
        batches: Number of the newest batch.
        alive: False once the process has been replaced by a restart.
    """

    incarnation: str
    table: jobs.JobTable
    clock_read_s: float
    links: dict = attrs.field(factory=dict)
    credits: collections.Counter = attrs.field(factory=collections.Counter)
    roster: keys.RosterView = keys.RosterView()
    sessions: int = 0
    batches: int = 0
    alive: bool = True


@attrs.define(eq=False)
class Agent:
    """One agent process.

    Attributes:
        incarnation: Identifier of this process.
        slots: The product's slots with their ledger and credit book.
        links: Link whose welcome was read last, by home incarnation.
        calls: Tasks whose request to the target is not written yet.
        running: Tasks that run at the target.
        alive: False once the process has been replaced by a restart.
    """

    incarnation: str
    slots: slots.Slots
    links: dict = attrs.field(factory=dict)
    calls: list = attrs.field(factory=list)
    running: list = attrs.field(factory=list)
    alive: bool = True


class Processes:
    """Simulated processes and streams with the guarantees that are checked.

    Attributes:
        now_s: Simulated time.
        name_count: Number of names given out so far.
        links: Streams, open and closed, that may still hold messages.
        start_counts: Starts by task, as (job id, index).
        reported_not_run: Tasks that a caller was told had not run.
        answered_jobs: Ids of the jobs with a final answer.
        accepted: Home and newest job by job id.
        reason_counts: Answers and refusals by reason.
        limit_records: Capacity of the agents' ledgers in records.
        lease_until_s: Latest end of the leases by home incarnation and agent.
        homes: The current process of each home.
        agents: The current process of each agent.
    """

    def __init__(self):
        self.now_s = 0.0
        self.name_count = 0
        self.links: list[Link] = []
        self.start_counts = collections.Counter()
        self.reported_not_run: set = set()
        self.answered_jobs: set = set()
        self.accepted: dict[str, tuple] = {}
        self.reason_counts = collections.Counter()
        self.limit_records = MAX_LEDGER_RECORDS
        self.lease_until_s = collections.defaultdict(float)
        self.homes = [self.new_home(), self.new_home()]
        self.agents = [self.new_agent(), self.new_agent()]
        for home in self.homes:
            for agent in self.agents:
                self.connect(home, agent)

    def new_name(self) -> str:
        """Returns a process identifier that was not used before."""
        self.name_count += 1
        return f"{self.name_count:016x}"

    def new_home(self) -> Home:
        """Returns a home with an empty job table and a new incarnation."""
        epochs = keys.AcceptedEpochs()
        kept = retention.Retention(keys.TicketWindows(self.now_s), epochs)
        table = jobs.JobTable(kept, records_limit=MAX_RECORDS)
        return Home(self.new_name(), table, self.now_s)

    def new_agent(self, incarnation: str = "") -> Agent:
        """Returns an agent with an empty ledger.

        Args:
            incarnation: Identifier of the process; a new one if empty.
        """
        name = incarnation or self.new_name()
        book = credit_book.CreditBook(name, SLOTS)
        agent = Agent(name, slots.Slots(ledger.Ledger(), book))
        agent.slots.ledger.records.limit_records = self.limit_records
        return agent

    def connect(self, home: Home, agent: Agent) -> None:
        """Opens a stream and closes the agent's previous one at this home.

        The agent reads the welcome in a later step.
        """
        self.read_clock(home)
        home.sessions += 1
        link = Link(home, agent, home.sessions, self.now_s)
        old = home.links.get(agent.incarnation)
        if old is not None:
            old.open = False
        home.links[agent.incarnation] = link
        home.credits[agent.incarnation] = 0
        self.links.append(link)
        self.grant_lease(link, link.dialed_s)
        home.table.agent_reconnected(agent.incarnation, link.number)
        references = home.table.open_batches(agent.incarnation)
        if references:
            link.to_agent.append(messages.Reconcile(references))
            for batch in home.table.batches.of_agent(agent.incarnation):
                if batch.job.abort_reason is not None:
                    link.to_agent.append(
                        messages.Strike((batch.number,), "cancelled")
                    )

    def grant_lease(self, link: Link, sent_s: float) -> None:
        """Extends the recorded lease; the longest one granted counts."""
        pair = link.home.incarnation, link.agent
        until_s = sent_s + LEASE_S
        self.lease_until_s[pair] = max(self.lease_until_s[pair], until_s)

    def read_clock(self, home: Home) -> None:
        """Updates a home's clock and ends its jobs after a long pause.

        The product does this before any other work, too.
        """
        paused = self.now_s - home.clock_read_s > PAUSE_THRESHOLD_S
        home.clock_read_s = self.now_s
        if paused:
            for result in home.table.process_paused(self.now_s):
                self.apply_result(home, result)

    # Behavior of agents.

    def welcome(self, link: Link) -> None:
        """Has the agent read the welcome, the first message of a stream."""
        link.welcomed = True
        agent, entry = link.agent, link.home.incarnation
        if not agent.slots.ledger.session_opened(
            entry, link.number, link.dialed_s, LEASE_S
        ):
            link.to_agent.clear()
            return
        agent.links[entry] = link
        names = tuple(home.incarnation for home in self.homes)
        agent.slots.set_expected_entries(names, self.now_s)
        self.execute_actions(agent, agent.slots.connect(entry, self.now_s))

    def agent_receives(self, link: Link, message) -> None:
        """Has the agent handle a message and carry out the actions."""
        agent, entry = link.agent, link.home.incarnation
        agent_slots = agent.slots
        found = ()
        match message:
            case messages.RunBatch():
                found = agent_slots.run_batch(
                    entry, link.number, message, self.now_s
                )
            case messages.Reconcile(batches=references):
                found = agent_slots.reconcile(
                    entry, link.number, references, self.now_s
                )
            case messages.Strike(batches=numbers):
                reason = outcomes.Reason.CANCELLED
                found = agent_slots.strike(entry, numbers, reason, self.now_s)
            case messages.Resize(batch=batch, concurrency=concurrency):
                found = agent_slots.resize(
                    entry, batch, concurrency, self.now_s
                )
            case messages.CreditReturn(credits=count):
                found = agent_slots.credits_returned(entry, count, self.now_s)
            case messages.Pong(sent_s=sent_s, acked=acked):
                agent_slots.ledger.lease_renewed(entry, link.number, sent_s)
                agent_slots.ledger.acknowledged(entry, acked)
            case _:
                raise TypeError(f"unexpected {message!r}")
        self.execute_actions(agent, found)

    def execute_actions(self, agent: Agent, found) -> None:
        """Carries out the actions that the product's slots decided on."""
        for action in found:
            match action:
                case actions.StartTask():
                    agent.calls.append(action)
                case actions.SendDone(entry=entry, message=message):
                    self.send(agent, entry, message)
                case actions.GrantCredits(entry=entry, credits=count):
                    self.send(agent, entry, messages.CreditGrant(count))
                case actions.StopTask() | actions.SendLeaving():
                    pass
                case _:
                    raise TypeError(f"unexpected {action!r}")
        self.check_credits(agent)

    def send(self, agent: Agent, entry: str, message) -> None:
        """Sends a message to an entry; drops it if there is no stream."""
        link = agent.links.get(entry)
        if link is not None:
            link.to_home.append(message)

    def send_to_target(self, agent: Agent, action: actions.StartTask) -> None:
        """Sends the request to the target unless the ledger refuses it."""
        agent.calls.remove(action)
        refusal = agent.slots.ledger.refusal(
            action.ref.entry, action.session, action.deadline_s, self.now_s
        )
        if refusal is not None:
            self.report_outcome(agent, action, refusal)
            return
        agent.running.append(action)
        self.check_start(agent, action)

    def report_outcome(self, agent: Agent, action, fate: outcomes.Fate) -> None:
        """Ends a task at the agent with an outcome."""
        found = agent.slots.task_finished(action.ref, fate, self.now_s)
        self.execute_actions(agent, found)

    # Behavior of homes.

    def home_receives(self, link: Link, message) -> None:
        """Has the home handle a message."""
        home, incarnation = link.home, link.agent.incarnation
        self.read_clock(home)
        match message:
            case messages.Ping(sent_s=sent_s):
                pong = messages.Pong(sent_s, 0, tuple(link.acked))
                link.acked.clear()
                self.grant_lease(link, sent_s)
                link.to_agent.append(pong)
            case messages.CreditGrant(credits=count):
                home.credits[incarnation] += count
            case messages.BatchDone():
                home.credits[incarnation] += message.credits
                self.record_outcomes(link, message)
            case _:
                raise TypeError(f"unexpected {message!r}")

    def record_outcomes(self, link: Link, done: messages.BatchDone) -> None:
        """Records a batch's outcomes and acknowledges an ended batch."""
        home = link.home
        origin = job_model.Origin(done.job, link.agent.incarnation, link.number)
        result = home.table.apply_outcomes(
            done.batch, done.outcomes, done.final, self.now_s, origin
        )
        if done.final and done.batch not in home.table.batches.by_number:
            link.acked.append(done.batch)
        self.apply_result(home, result)

    def apply_result(self, home: Home, result) -> None:
        """Checks an answer and sends the strikes that the job table asks for.

        Args:
            home: The home whose job table was called.
            result: What the call returned.
        """
        match result:
            case job_model.JobEnded(job=job, strike=targets):
                self.check_answer(job)
            case job_model.StrikeBatches(batches=targets):
                pass
            case job_model.Canceled(job=job, batches=targets):
                if job.ended:
                    self.check_answer(job)
            case None | job_model.RetryTasks():
                return
            case _:
                raise TypeError(f"unexpected {result!r}")
        for target in targets:
            link = home.links.get(target.agent)
            if link is not None and link.open:
                strike = messages.Strike((target.batch,), "cancelled")
                link.to_agent.append(strike)

    # Invariants.

    def check_start(self, agent: Agent, action: actions.StartTask) -> None:
        """Checks a request that has just been sent to the target."""
        task = action.job, action.ref.index
        self.start_counts[task] += 1
        require(self.start_counts[task] == 1, f"{task} started twice")
        require(
            task not in self.reported_not_run, f"{task} was reported as not run"
        )
        require(len(agent.running) <= SLOTS, "more tasks than slots")
        if action.job in self.answered_jobs:
            until_s = self.lease_until_s[action.ref.entry, agent]
            require(
                self.now_s < until_s,
                f"{task} started after its job's answer, without a lease",
            )

    def check_credits(self, agent: Agent) -> None:
        """Checks that each slot is counted once as free, held or used."""
        book = agent.slots.book
        held = [account.held for account in book.accounts.values()]
        used = list(book.used.values())
        parts = [book.free, *held, *used]
        require(min(parts) >= 0, f"negative credits in {parts}")
        require(
            sum(parts) == SLOTS, f"credits {parts} do not add up to {SLOTS}"
        )

    def check_accepted(self, home: Home, job: job_model.Job) -> None:
        """Checks that a key is accepted by one home and only once.

        After a refusal that doesn't exclude a start, it may be accepted again.
        """
        before = self.accepted.get(job.id)
        self.accepted[job.id] = home, job
        if before is None:
            return
        other, earlier = before
        require(other is home, f"{job.id} was accepted by two homes")
        refused = earlier.refused
        require(
            refused is not None and not refused.not_run,
            f"{job.id} was accepted twice",
        )

    def check_refused(self, job_id: str, refused: outcomes.Refused) -> None:
        """Checks that a refusal marked as not run holds for every task.

        The refusal is that of a submission, or the answer of an accepted job.
        """
        self.reason_counts[refused.reason] += 1
        if refused.not_run:
            for index in range(TASKS_PER_JOB):
                started = self.start_counts[job_id, index]
                require(
                    not started, f"{job_id} ran but was reported as not run"
                )

    def check_answer(self, job: job_model.Job) -> None:
        """Compares an answer with the starts so far, and records it."""
        self.reason_counts[job.abort_reason] += 1
        self.answered_jobs.add(job.id)
        tasks = [(job.id, index) for index in range(TASKS_PER_JOB)]
        if job.state is job_model.State.REFUSED:
            self.check_refused(job.id, job.refused)
            if job.refused.not_run:
                self.reported_not_run.update(tasks)
            else:
                self.answered_jobs.discard(job.id)  # It may be submitted again.
            return
        for task, fate in zip(tasks, job.fates, strict=True):
            require(
                fate is not None, "the answer has a task without an outcome"
            )
            if isinstance(fate, outcomes.NotRun):
                require(
                    not self.start_counts[task],
                    f"{task} ran but was reported as not run",
                )
                self.reported_not_run.add(task)
            if isinstance(fate, outcomes.Completed):
                require(
                    self.start_counts[task] == 1,
                    f"{task} was reported as completed but never ran",
                )
        complete = all(isinstance(f, outcomes.Completed) for f in job.fates)
        require(
            complete == (job.state is job_model.State.COMPLETE),
            "the job's state does not match its tasks' outcomes",
        )
