"""What callers and homes of the model may do.

Each operation takes three small integers and returns False if there was
nothing to do.
"""

from trefoilgw.jobs import model as job_model
from trefoilgw.keys import core as keys
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.tests import at_most_once_world as worlds


def pick(items: list, choice: int):
    """Returns one of the items, or None if there are none."""
    return items[choice % len(items)] if items else None


class HomeOperations(worlds.Processes):
    """Operations of callers and homes.

    Attributes:
        keys: Keys that callers know, with their customer.
        forwards: Submissions on their way between entries.
        rosters: Every roster so far; its last one is the platform's.
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
        known = pick(self.keys[-8:], a)
        if known is None:
            return False
        key, customer = known
        self.submit(self.homes[b % 2], key, "b" if c == 7 else customer)
        return True

    def submit(self, entry: worlds.Home, key, customer: str) -> None:
        """Has an entry take a submission; another home gets it forwarded."""
        home = keys.home_of(key, entry.roster)
        if home == entry.incarnation:
            self.take(entry, key, customer)
        elif isinstance(home, str):
            self.forwards.append((home, key, customer))

    def deliver_forward(self, a, b, c):
        forward = pick(self.forwards, a)
        if forward is None:
            return False
        if b:
            self.forwards.remove(forward)
        name, key, customer = forward
        for home in self.homes:
            mapped = keys.home_of(key, home.roster)
            if home.incarnation == name == mapped:
                self.take(home, key, customer)
        return True

    def take(self, home: worlds.Home, key, customer: str) -> None:
        self.touch(home)
        result = home.table.submit(
            key,
            customer,
            worlds.Kind(),
            (b"1", b"2"),
            worlds.DEADLINE_S,
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
        known = pick(self.keys[-8:], a)
        if known is None:
            return False
        for home in self.homes:
            self.touch(home)
            result = home.table.cancel(*known, self.now_s)
            if isinstance(result, job_model.Canceled):
                self.follow(home, result)
        return True

    # Homes.

    def withdraw(self, a, b, c):
        """Admission drops a job; a retried one as well."""
        home = self.homes[a % 2]
        job = pick(self.waiting(home), b)
        if job is None:
            return False
        refused = outcomes.Refused(outcomes.Reason.OVERLOAD, not_run=True)
        self.follow(home, home.table.withdraw(job, refused, self.now_s))
        return True

    def give_up(self, a, b, c):
        """The retry budget is spent."""
        home = self.homes[a % 2]
        jobs = [job for job in self.waiting(home) if job.was_sent]
        job = pick(jobs, b)
        if job is None:
            return False
        result = home.table.abandon_tasks(
            job, tuple(job.waiting), outcomes.Reason.CAPACITY, self.now_s
        )
        self.follow(home, result)
        return True

    def waiting(self, home: worlds.Home) -> list:
        self.touch(home)
        return [job for job in home.table.running.values() if job.waiting]

    def dispatch(self, a, b, c):
        home, other = self.homes[a % 2], self.homes[(a + 1) % 2]
        job = pick(self.waiting(home), b)
        links = [link for link in home.links.values() if link.open]
        link = pick(links, c)
        if job is None or link is None:
            return False
        agent = link.node.incarnation
        lender = other if a == 6 and other.credits[agent] else home
        # At 7 the home believes in credits that it does not hold.
        if not lender.credits[agent] and a != 7:
            return False
        indices = tuple(job.waiting[: 1 + b // 4])
        wanted = max(1, min(len(indices), lender.credits[agent]))
        lender.credits[agent] -= wanted
        home.batches += 1
        home.table.assign_tasks(
            job, home.batches, agent, link.number, indices, self.now_s
        )
        if c == 7:
            result = home.table.batch_not_sent(home.batches, self.now_s)
            self.follow(home, result)
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
        home = self.homes[a % 2]
        batch = pick(list(home.table.batches.by_number.values()), b)
        link = home.links.get(batch.agent) if batch else None
        if link is None or not link.open:
            return False
        link.to_agent.append(messages.Resize(batch.number, c % 3))
        return True

    def return_credits(self, a, b, c):
        home = self.homes[a % 2]
        link = pick(list(home.links.values()), b)
        if link is None or home.credits[link.node.incarnation] < 1:
            return False
        home.credits[link.node.incarnation] -= 1
        link.to_agent.append(messages.CreditReturn(1))
        return True

    def expire_home(self, a, b, c):
        home = self.homes[a % 2]
        self.touch(home)
        for result in home.table.expire(self.now_s):
            self.follow(home, result)

    def remove_agent(self, a, b, c):
        """One home gives an agent up, rightly or not; the other does not."""
        home = self.homes[a % 2]
        link = pick(list(home.links.values()), b)
        if link is None:
            return False
        self.touch(home)
        agent = link.node.incarnation
        home.links.pop(agent)
        link.open = False
        for result in home.table.agent_lost(agent, self.now_s):
            self.follow(home, result)
        return True

    def change_roster(self, a, b, c):
        """Writes the next roster: the living entries, or a part of them."""
        names = [home.incarnation for home in self.homes]
        if a % 4:
            names = [names[a % 2]]
        history = dict(self.rosters[-1].history) if self.rosters else {}
        epoch = len(self.rosters) + 1
        history[epoch] = tuple(names)
        history.pop(epoch - keys.EPOCHS_KEPT, None)
        self.rosters.append(keys.RosterView(epoch, tuple(names), history))

    def learn_roster(self, a, b, c):
        home = self.homes[a % 2]
        newer = self.rosters[home.roster.epoch :]
        if not newer:
            return False
        home.roster = pick(newer, b)
        home.table.key_retention.epochs.record_epoch(home.roster.epoch)
        return True
