"""Operations on the simulated processes, and steps that choose among them.

An operation takes three integers from 0 to 7 and returns False if it had
nothing to do. A history is therefore a list of operation names and integers,
which may come from a random generator, hypothesis or a recorded violation.
"""

import random

from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.tests import at_most_once_homes as homes
from trefoilgw.tests import at_most_once_processes as processes

# Chosen by the sum of two integers, so the values at the ends are rare.
CLOCK_STEPS_S = (910, 310, 6, 3.2, 2, 1, 0.5, 0.1, 0.1, 0.1, 0.5, 1, 2, 31, 310)
# An older stream matters only while messages are left in it.
MAX_LINKS = 64

# Relative frequency with which a step tries an operation first.
WEIGHTS = {
    "submit_new": 5,
    "resubmit": 3,
    "deliver_forward": 4,
    "cancel": 1,
    "withdraw": 1,
    "exhaust_retries": 1,
    "dispatch": 20,
    "resize": 2,
    "return_credits": 1,
    "expire_home": 2,
    "remove_agent": 1,
    "change_roster": 1,
    "learn_roster": 3,
    "call_target": 16,
    "finish_task": 10,
    "check_agent": 2,
    "limit_ledger": 1,
    "ping": 5,
    "notice_closed": 2,
    "deliver_to_agent": 32,
    "deliver_to_home": 24,
    "drop_message": 1,
    "reconnect": 3,
    "advance_clock": 3,
    "restart_agent": 1,
    "restart_home": 1,
}


# A history that leaves out some of these reaches deeper states with the others.
FAULTS = (
    "cancel",
    "withdraw",
    "exhaust_retries",
    "resize",
    "return_credits",
    "remove_agent",
    "change_roster",
    "limit_ledger",
    "drop_message",
    "reconnect",
    "advance_clock",
    "restart_agent",
    "restart_home",
)


def weighted_operations(
    excluded: frozenset[str] = frozenset(),
) -> tuple[str, ...]:
    """Returns the operations, each as often as its weight, shuffled.

    The order is the same in every run.

    Args:
        excluded: Operations to leave out.
    """
    names = [name for name, weight in WEIGHTS.items() for _ in range(weight)]
    random.Random(0).shuffle(names)
    return tuple(name for name in names if name not in excluded)


WEIGHTED_OPERATIONS = weighted_operations()


class Simulation(homes.HomeOperations):
    """Two homes and two agents under faults.

    Args:
        same_incarnation: Whether agents keep their incarnation when they
            restart.

    Attributes:
        history: The operations that found work, each with its integers.
    """

    def __init__(self, same_incarnation: bool = False):
        super().__init__()
        self.same_incarnation = same_incarnation
        self.history: list[tuple] = []

    def step(
        self,
        choice: int,
        a: int,
        b: int,
        c: int,
        operations=WEIGHTED_OPERATIONS,
    ) -> None:
        """Carries out the chosen operation, or the next that finds work.

        Args:
            choice: Position in `operations`.
            a: First integer for the operation.
            b: Second integer for the operation.
            c: Third integer for the operation.
            operations: Operations to choose from.
        """
        for offset in range(len(operations)):
            name = operations[(choice + offset) % len(operations)]
            if self.apply(name, a, b, c):
                return

    def apply(self, name: str, a: int, b: int, c: int) -> bool:
        """Carries out an operation; returns False if it found no work.

        An operation that found work stays in the history.
        """
        self.history.append((name, a, b, c))
        if getattr(self, name)(a, b, c) is not False:
            return True
        self.history.pop()
        return False

    # Agents.

    def call_target(self, a, b, c):
        """Sends a task to the target, or fails to reach the target."""
        agent = self.agents[a % 2]
        call = homes.pick(agent.calls, b)
        if call is None:
            return False
        if c == 7:
            agent.calls.remove(call)
            reason = outcomes.Reason.TARGET_UNREACHABLE
            self.report_outcome(agent, call, outcomes.NotRun(reason))
        else:
            self.send_to_target(agent, call)
        return True

    def finish_task(self, a, b, c):
        """Ends a running task as completed, failed or unknown."""
        agent = self.agents[a % 2]
        running = homes.pick(agent.running, b)
        if running is None:
            return False
        agent.running.remove(running)
        fate = outcomes.Completed(b"{}", 0.1)
        if c == 7:
            fate = outcomes.Unknown(outcomes.Reason.TARGET_UNREACHABLE)
        if c == 6:
            fate = outcomes.Failed(outcomes.Reason.TARGET_ERROR)
        self.report_outcome(agent, running, fate)
        return True

    def check_agent(self, a, b, c):
        """Runs an agent's periodic check, in half of the cases its tick too."""
        agent = self.agents[a % 2]
        self.execute_actions(agent, agent.slots.check(self.now_s))
        if b % 2:
            self.execute_actions(agent, agent.slots.tick(self.now_s))

    def limit_ledger(self, a, b, c):
        """Reduces the ledgers to one record and no stored results."""
        if self.limit_records == processes.REDUCED_LEDGER_RECORDS:
            return False
        self.limit_records = processes.REDUCED_LEDGER_RECORDS
        for agent in self.agents:
            records = agent.slots.ledger.records
            records.limit_records = self.limit_records
            records.limit_result_bytes = 0
        return True

    def ping(self, a, b, c):
        """Has an agent send a ping on one of its current streams."""
        links = [
            x for x in self.links if x.agent.links.get(x.home.incarnation) is x
        ]
        link = homes.pick(links, a)
        if link is None or not link.agent.alive:
            return False
        link.to_home.append(messages.Ping(self.now_s, 0, 0, 0))
        return True

    def notice_closed(self, a, b, c):
        """Has an agent notice that the home closed a stream."""
        agent = self.agents[a % 2]
        link = homes.pick([x for x in agent.links.values() if not x.open], b)
        if link is None:
            return False
        entry = link.home.incarnation
        del agent.links[entry]
        agent.slots.ledger.session_closed(entry, link.number)
        self.execute_actions(agent, agent.slots.disconnect(entry, self.now_s))
        return True

    # The network and the processes.

    def deliver_to_agent(self, a, b, c):
        """Delivers a message, now and then out of order or twice."""
        ready = [
            link
            for link in self.links
            if link.agent.alive and (link.to_agent or not link.welcomed)
        ]
        # Messages of a closed stream are mostly read after those of open ones.
        open_links = [link for link in ready if link.open]
        link = homes.pick(open_links if b < 7 and open_links else ready, a)
        if link is None:
            return False
        if not link.welcomed:
            self.welcome(link)
            return True
        # Delivery is in order, as on a stream, except in one case of eight.
        place = c % len(link.to_agent) if b == 6 else 0
        message = link.to_agent.pop(place)
        if b == 5:
            link.to_agent.insert(c % (len(link.to_agent) + 1), message)
        self.agent_receives(link, message)
        return True

    def deliver_to_home(self, a, b, c):
        """Delivers a message, now and then out of order or twice."""
        ready = [
            link
            for link in self.links
            if link.to_home and link.open and link.home.alive
        ]
        link = homes.pick(ready, a)
        if link is None:
            return False
        place = c % len(link.to_home) if b == 7 else 0
        message = link.to_home.pop(place)
        if b == 6:
            link.to_home.insert(c % (len(link.to_home) + 1), message)
        self.home_receives(link, message)
        return True

    def drop_message(self, a, b, c):
        """Loses the newest message of a stream in one direction."""
        queues = [
            queue
            for link in self.links
            for queue in (link.to_agent, link.to_home)
            if queue
        ]
        queue = homes.pick(queues, a)
        if queue is None:
            return False
        queue.pop()
        return True

    def reconnect(self, a, b, c):
        """Opens a new stream between a home and an agent."""
        self.connect(self.homes[a % 2], self.agents[b % 2])
        self.links = self.links[-MAX_LINKS:]

    def advance_clock(self, a, b, c):
        """Advances the clock; a home that `c` doesn't select was frozen."""
        self.now_s += CLOCK_STEPS_S[a + b]
        for position, home in enumerate(self.homes):
            if c >> position & 1:
                home.clock_read_s = self.now_s
                self.expire_home(position, 0, 0)

    def restart_agent(self, a, b, c):
        """Replaces an agent by a new process with an empty ledger."""
        old = self.agents[a % 2]
        old.alive = False
        kept = old.incarnation if self.same_incarnation else ""
        self.agents[a % 2] = agent = self.new_agent(kept)
        for home in self.homes:
            self.connect(home, agent)

    def restart_home(self, a, b, c):
        """Replaces a home by a new process with an empty job table."""
        old = self.homes[a % 2]
        old.alive = False
        for link in old.links.values():
            link.open = False
        self.homes[a % 2] = home = self.new_home()
        home.roster = self.rosters[-1]
        home.table.key_retention.epochs.record_epoch(home.roster.epoch)
        for agent in self.agents:
            self.connect(home, agent)
