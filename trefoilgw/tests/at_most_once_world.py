"""Homes, agents and the streams between them, as the model sees them.

The decisions are the product's own (job table, slots, ledger, keys). The
network, the clock and the processes are the model's: bytes wait in buffers,
processes stop, freeze and come back. The model counts the starts of every
task by itself and compares them with what the callers were told.
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
TASKS = 2
LEASE_S = 3.0
PAUSE_S = 5.0
DEADLINE_S = 30.0
# Small, so that histories reach a crowded and a full table.
MAX_RECORDS = 10
# Records of an agent's ledger, as in the product and while it is short.
LEDGER_RECORDS = 4096
LEDGER_RECORDS_SHORT = 1


class ViolationError(AssertionError):
    """A promise to the callers was broken."""


def require(holds: bool, text: str) -> None:
    if not holds:
        raise ViolationError(text)


@attrs.frozen
class Kind:
    """The part of a kind's record that the job table reads."""

    name: str = "kind"


@attrs.define(eq=False)
class Link:
    """One stream between a home and an agent.

    Attributes:
        home: The home.
        node: The agent.
        number: Session number.
        began_s: When the agent dialed.
        to_agent: Messages that the agent has not read.
        to_home: Messages that the home has not read.
        open: False once the home closed it; the agent may still read.
        welcomed: True once the agent has read the welcome.
        acked: Ended batches that the next pong names.
    """

    home: "Home"
    node: "Node"
    number: int
    began_s: float
    to_agent: list = attrs.field(factory=list)
    to_home: list = attrs.field(factory=list)
    open: bool = True
    welcomed: bool = False
    acked: list = attrs.field(factory=list)


@attrs.define(eq=False)
class Home:
    """One entry incarnation.

    Attributes:
        links: Newest link by agent incarnation.
        credits: Credits that it believes to hold, by agent incarnation.
        roster: The roster as this entry knows it.
        read_s: When it last read its clock.
    """

    incarnation: str
    table: jobs.JobTable
    read_s: float
    links: dict = attrs.field(factory=dict)
    credits: collections.Counter = attrs.field(factory=collections.Counter)
    roster: keys.RosterView = keys.RosterView()
    sessions: int = 0
    batches: int = 0
    alive: bool = True


@attrs.define(eq=False)
class Node:
    """One agent process.

    Attributes:
        links: Link whose welcome was read last, by home incarnation.
        calls: Tasks whose request to the target is not written yet.
        running: Tasks at the target.
    """

    incarnation: str
    slots: slots.Slots
    links: dict = attrs.field(factory=dict)
    calls: list = attrs.field(factory=list)
    running: list = attrs.field(factory=list)
    alive: bool = True


class Processes:
    """The processes, the streams and the promises that must hold."""

    def __init__(self):
        self.now_s = 0.0
        self.made = 0
        self.links: list[Link] = []
        self.starts = collections.Counter()
        self.not_run: set = set()
        self.answered: set = set()
        self.accepted: dict[str, tuple] = {}
        self.seen = collections.Counter()
        self.limit_records = LEDGER_RECORDS
        self.lease_until_s = collections.defaultdict(float)
        self.homes = [self.new_home(), self.new_home()]
        self.nodes = [self.new_node(), self.new_node()]
        for home in self.homes:
            for node in self.nodes:
                self.connect(home, node)

    def new_name(self) -> str:
        self.made += 1
        return f"{self.made:016x}"

    def new_home(self) -> Home:
        epochs = keys.AcceptedEpochs()
        kept = retention.Retention(keys.TicketWindows(self.now_s), epochs)
        table = jobs.JobTable(kept, records_limit=MAX_RECORDS)
        return Home(self.new_name(), table, self.now_s)

    def new_node(self, incarnation: str = "") -> Node:
        name = incarnation or self.new_name()
        book = credit_book.CreditBook(name, SLOTS)
        node = Node(name, slots.Slots(ledger.Ledger(), book))
        node.slots.ledger.records.limit_records = self.limit_records
        return node

    def connect(self, home: Home, node: Node) -> None:
        """Opens a stream at the home; the agent reads the welcome later."""
        self.touch(home)
        home.sessions += 1
        link = Link(home, node, home.sessions, self.now_s)
        old = home.links.get(node.incarnation)
        if old is not None:
            old.open = False
        home.links[node.incarnation] = link
        home.credits[node.incarnation] = 0
        self.links.append(link)
        self.grant_lease(link, link.began_s)
        home.table.agent_reconnected(node.incarnation, link.number)
        references = home.table.open_batches(node.incarnation)
        if references:
            link.to_agent.append(messages.Reconcile(references))
            for batch in home.table.batches.of_agent(node.incarnation):
                if batch.job.abort_reason is not None:
                    link.to_agent.append(
                        messages.Strike((batch.number,), "cancelled")
                    )

    def grant_lease(self, link: Link, sent_s: float) -> None:
        """Notes what the home has promised to the agent at most."""
        pair = link.home.incarnation, link.node
        until_s = sent_s + LEASE_S
        self.lease_until_s[pair] = max(self.lease_until_s[pair], until_s)

    def touch(self, home: Home) -> None:
        """Reads a home's clock, as it does before any other work."""
        paused = self.now_s - home.read_s > PAUSE_S
        home.read_s = self.now_s
        if paused:
            for result in home.table.process_paused(self.now_s):
                self.follow(home, result)

    # What an agent does.

    def welcome(self, link: Link) -> None:
        """Has the agent read the first message of a stream."""
        link.welcomed = True
        node, entry = link.node, link.home.incarnation
        if not node.slots.ledger.session_opened(
            entry, link.number, link.began_s, LEASE_S
        ):
            link.to_agent.clear()
            return
        node.links[entry] = link
        names = tuple(home.incarnation for home in self.homes)
        node.slots.set_expected_entries(names, self.now_s)
        self.perform(node, node.slots.connect(entry, self.now_s))

    def agent_reads(self, link: Link, message) -> None:
        node, entry = link.node, link.home.incarnation
        book = node.slots
        found = ()
        match message:
            case messages.RunBatch():
                found = book.run_batch(entry, link.number, message, self.now_s)
            case messages.Reconcile(batches=references):
                found = book.reconcile(
                    entry, link.number, references, self.now_s
                )
            case messages.Strike(batches=numbers):
                reason = outcomes.Reason.CANCELLED
                found = book.strike(entry, numbers, reason, self.now_s)
            case messages.Resize(batch=batch, concurrency=concurrency):
                found = book.resize(entry, batch, concurrency, self.now_s)
            case messages.CreditReturn(credits=count):
                found = book.credits_returned(entry, count, self.now_s)
            case messages.Pong(sent_s=sent_s, acked=acked):
                book.ledger.lease_renewed(entry, link.number, sent_s)
                book.ledger.acknowledged(entry, acked)
            case _:
                raise TypeError(f"unexpected {message!r}")
        self.perform(node, found)

    def perform(self, node: Node, found) -> None:
        for action in found:
            match action:
                case actions.StartTask():
                    node.calls.append(action)
                case actions.SendDone(entry=entry, message=message):
                    self.send(node, entry, message)
                case actions.GrantCredits(entry=entry, credits=count):
                    self.send(node, entry, messages.CreditGrant(count))
                case actions.StopTask() | actions.SendLeaving():
                    pass
                case _:
                    raise TypeError(f"unexpected {action!r}")
        self.check_credits(node)

    def send(self, node: Node, entry: str, message) -> None:
        link = node.links.get(entry)
        if link is not None:
            link.to_home.append(message)

    def call(self, node: Node, action: actions.StartTask) -> None:
        """Writes the request to the target unless authority is gone."""
        node.calls.remove(action)
        refusal = node.slots.ledger.refusal(
            action.ref.entry, action.session, action.deadline_s, self.now_s
        )
        if refusal is not None:
            self.end_call(node, action, refusal)
            return
        node.running.append(action)
        self.check_start(node, action)

    def end_call(self, node: Node, action, fate: outcomes.Fate) -> None:
        found = node.slots.task_finished(action.ref, fate, self.now_s)
        self.perform(node, found)

    # What a home does.

    def home_reads(self, link: Link, message) -> None:
        home, agent = link.home, link.node.incarnation
        self.touch(home)
        match message:
            case messages.Ping(sent_s=sent_s):
                pong = messages.Pong(sent_s, 0, tuple(link.acked))
                link.acked.clear()
                self.grant_lease(link, sent_s)
                link.to_agent.append(pong)
            case messages.CreditGrant(credits=count):
                home.credits[agent] += count
            case messages.BatchDone():
                home.credits[agent] += message.credits
                self.gather(link, message)
            case _:
                raise TypeError(f"unexpected {message!r}")

    def gather(self, link: Link, done: messages.BatchDone) -> None:
        home = link.home
        origin = job_model.Origin(done.job, link.node.incarnation, link.number)
        result = home.table.outcomes(
            done.batch, done.outcomes, done.final, self.now_s, origin
        )
        if done.final and done.batch not in home.table.batches.by_number:
            link.acked.append(done.batch)
        self.follow(home, result)

    def follow(self, home: Home, result) -> None:
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

    # What must hold.

    def check_start(self, node: Node, action: actions.StartTask) -> None:
        """Checks a request that was just written to the target."""
        task = action.job, action.ref.index
        self.starts[task] += 1
        require(self.starts[task] == 1, f"{task} started twice")
        require(task not in self.not_run, f"{task} was said not to run")
        require(len(node.running) <= SLOTS, "more tasks than slots")
        if action.job in self.answered:
            until_s = self.lease_until_s[action.ref.entry, node]
            require(
                self.now_s < until_s,
                f"{task} started after its answer, without a lease",
            )

    def check_credits(self, node: Node) -> None:
        """Checks that every slot is free, held or used, once."""
        book = node.slots.book
        held = [account.held for account in book.accounts.values()]
        used = list(book.used.values())
        parts = [book.free, *held, *used]
        require(min(parts) >= 0, f"negative credits in {parts}")
        require(sum(parts) == SLOTS, f"credits {parts} are not {SLOTS}")

    def check_accepted(self, home: Home, job: job_model.Job) -> None:
        """Checks that a key has one home and one job there."""
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
        """Checks a refusal, of a submission or as the answer to one."""
        self.seen[refused.reason] += 1
        if refused.not_run:
            for index in range(TASKS):
                started = self.starts[job_id, index]
                require(not started, f"{job_id} ran, said not run")

    def check_answer(self, job: job_model.Job) -> None:
        """Compares an answer with the starts so far, and keeps it."""
        self.seen[job.abort_reason] += 1
        self.answered.add(job.id)
        tasks = [(job.id, index) for index in range(TASKS)]
        if job.state is job_model.State.REFUSED:
            self.check_refused(job.id, job.refused)
            if job.refused.not_run:
                self.not_run.update(tasks)
            else:
                self.answered.discard(job.id)  # May be submitted again.
            return
        for task, fate in zip(tasks, job.fates, strict=True):
            require(fate is not None, "the answer is partial")
            if isinstance(fate, outcomes.NotRun):
                require(not self.starts[task], f"{task} ran, said not run")
                self.not_run.add(task)
            if isinstance(fate, outcomes.Completed):
                require(self.starts[task] == 1, f"{task} never ran")
        complete = all(isinstance(f, outcomes.Completed) for f in job.fates)
        require(
            complete == (job.state is job_model.State.COMPLETE),
            "the state does not match the fates",
        )
