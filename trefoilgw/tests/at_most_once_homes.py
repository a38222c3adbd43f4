"""Operations of callers and homes in the simulation.

Each operation takes three integers from 0 to 7, which choose among the jobs,
links and processes present, and returns False if it had nothing to do.
"""

from trefoilgw.jobs import model as job_model
from trefoilgw.keys import core as keys
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.tests import at_most_once_processes as processes


def pick(items: list, choice: int):
    """Returns the item at `choice`, modulo their number; None if none."""
    return items[choice % len(items)] if items else None


class HomeOperations(processes.Processes):
    """Operations of callers and homes.

    Attributes:
        keys: Keys that callers have used, each with its customer.
        forwards: Submissions in transit between entries, as (home
            incarnation, key, customer).
        rosters: Every roster so far; the last one is the platform's.
    """

    def __init__(self):
        super().__init__()
        self.keys: list = []
        self.forwards: list = []
        self.rosters: list[keys.RosterView] = []
        self.change_roster(0, 0, 0)
        for choice in range(len(self.homes)):
            self.learn_roster(choice, 0, 0)

    # Callers.

    def submit_new(self, a, b, c):
        """Submits a job under a new key, a caller's key or a ticket."""
        home = self.homes[a % 2]
        name = f"{len(self.keys):08x}"
        if b % 2:
            key = keys.CallerKey(home.roster.epoch, name)
        else:
            window = home.table.key_retention.windows.current(self.now_s)
            key = keys.Ticket(home.incarnation, window, name)
        self.keys.append((key, "a"))
        self.submit(home if c else self.homes[b % 2], *self.keys[-1])

    def resubmit(self, a, b, c):
        """Submits a recent key again, in a few cases as another customer."""
        known = pick(self.keys[-8:], a)
        if known is None:
            return False
        key, customer = known
        self.submit(self.homes[b % 2], key, "b" if c == 7 else customer)
        return True

    def submit(self, entry: processes.Home, key, customer: str) -> None:
        """Submits to an entry, which forwards unless it is the home."""
        home = keys.home_of(key, entry.roster)
        if home == entry.incarnation:
            self.submit_to_home(entry, key, customer)
        elif isinstance(home, str):
            self.forwards.append((home, key, customer))

    def deliver_forward(self, a, b, c):
        """Delivers a forwarded submission, which may arrive twice."""
        forward = pick(self.forwards, a)
        if forward is None:
            return False
        if b:
            self.forwards.remove(forward)
        name, key, customer = forward
        for home in self.homes:
            mapped = keys.home_of(key, home.roster)
            if home.incarnation == name == mapped:
                self.submit_to_home(home, key, customer)
        return True

    def submit_to_home(self, home: processes.Home, key, customer: str) -> None:
        """Submits a job to its home and checks the answer."""
        self.read_clock(home)
        result = home.table.submit(
            key,
            customer,
            processes.Kind(),
            (b"1", b"2"),
            processes.DEADLINE_S,
            True,
            self.now_s,
        )
        match result:
            case job_model.Accepted(job=job):
                self.check_accepted(home, job)
            case outcomes.Refused():
                job_id = f"{customer}:{keys.format_key(key)}"
                self.check_refused(job_id, result)

    def cancel(self, a, b, c):
        """Cancels a recent key's job at every home."""
        known = pick(self.keys[-8:], a)
        if known is None:
            return False
        for home in self.homes:
            self.read_clock(home)
            result = home.table.cancel(*known, self.now_s)
            if isinstance(result, job_model.Canceled):
                self.apply_result(home, result)
        return True

    # Homes.

    def withdraw(self, a, b, c):
        """Refuses a waiting job as admission does, also one being retried."""
        home = self.homes[a % 2]
        job = pick(self.waiting_jobs(home), b)
        if job is None:
            return False
        refused = outcomes.Refused(outcomes.Reason.OVERLOAD, not_run=True)
        self.apply_result(home, home.table.withdraw(job, refused, self.now_s))
        return True

    def exhaust_retries(self, a, b, c):
        """Abandons a job's tasks because its retry budget is used up."""
        home = self.homes[a % 2]
        jobs = [job for job in self.waiting_jobs(home) if job.was_sent]
        job = pick(jobs, b)
        if job is None:
            return False
        result = home.table.abandon_tasks(
            job, tuple(job.waiting), outcomes.Reason.CAPACITY, self.now_s
        )
        self.apply_result(home, result)
        return True

    def waiting_jobs(self, home: processes.Home) -> list:
        """Returns a home's jobs that have tasks to dispatch."""
        self.read_clock(home)
        return [job for job in home.table.running.values() if job.waiting]

    def dispatch(self, a, b, c):
        """Dispatches one or two tasks, with own or borrowed credits."""
        home, other = self.homes[a % 2], self.homes[(a + 1) % 2]
        job = pick(self.waiting_jobs(home), b)
        links = [link for link in home.links.values() if link.open]
        link = pick(links, c)
        if job is None or link is None:
            return False
        incarnation = link.agent.incarnation
        lender = other if a == 6 and other.credits[incarnation] else home
        # At 7 the home spends credits that it does not hold.
        if not lender.credits[incarnation] and a != 7:
            return False
        indices = tuple(job.waiting[: 1 + b // 4])
        wanted = max(1, min(len(indices), lender.credits[incarnation]))
        lender.credits[incarnation] -= wanted
        home.batches += 1
        home.table.assign_tasks(
            job, home.batches, incarnation, link.number, indices, self.now_s
        )
        if c == 7:
            result = home.table.batch_not_sent(home.batches, self.now_s)
            self.apply_result(home, result)
            return True
        tasks = tuple(messages.TaskSpec(index, b"x") for index in indices)
        message = messages.RunBatch(
            batch=home.batches,
            job=job.id,
            customer=job.customer,
            kind="kind",
            service="s",
            concurrency=wanted,
            lender="" if lender is home else lender.incarnation,
            deadline_s=job.deadline_s - self.now_s,
            idempotent=True,
            tasks=tasks,
        )
        link.to_agent.append(message)
        return True

    def resize(self, a, b, c):
        """Changes the concurrency of a batch."""
        home = self.homes[a % 2]
        batch = pick(list(home.table.batches.by_number.values()), b)
        link = home.links.get(batch.agent) if batch else None
        if link is None or not link.open:
            return False
        link.to_agent.append(messages.Resize(batch.number, c % 3))
        return True

    def return_credits(self, a, b, c):
        """Returns one credit to its agent."""
        home = self.homes[a % 2]
        link = pick(list(home.links.values()), b)
        if link is None or home.credits[link.agent.incarnation] < 1:
            return False
        home.credits[link.agent.incarnation] -= 1
        link.to_agent.append(messages.CreditReturn(1))
        return True

    def expire_home(self, a, b, c):
        """Applies deadlines and retention at one home."""
        home = self.homes[a % 2]
        self.read_clock(home)
        for result in home.table.expire(self.now_s):
            self.apply_result(home, result)

    def remove_agent(self, a, b, c):
        """Has one home declare an agent lost, although it may be alive.

        The other home keeps the agent.
        """
        home = self.homes[a % 2]
        link = pick(list(home.links.values()), b)
        if link is None:
            return False
        self.read_clock(home)
        incarnation = link.agent.incarnation
        home.links.pop(incarnation)
        link.open = False
        for result in home.table.agent_lost(incarnation, self.now_s):
            self.apply_result(home, result)
        return True

    def change_roster(self, a, b, c):
        """Writes the next roster with both entries or only one of them."""
        names = [home.incarnation for home in self.homes]
        if a % 4:
            names = [names[a % 2]]
        history = dict(self.rosters[-1].history) if self.rosters else {}
        epoch = len(self.rosters) + 1
        history[epoch] = tuple(names)
        history.pop(epoch - keys.EPOCHS_KEPT, None)
        self.rosters.append(keys.RosterView(epoch, tuple(names), history))

    def learn_roster(self, a, b, c):
        """Has an entry read one of the rosters that are newer than its own."""
        home = self.homes[a % 2]
        newer = self.rosters[home.roster.epoch :]
        if not newer:
            return False
        home.roster = pick(newer, b)
        home.table.key_retention.epochs.record_epoch(home.roster.epoch)
        return True
