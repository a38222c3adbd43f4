"""Operations on the processes of the model, and steps that choose among them.

An operation takes three small integers and returns False if there was nothing
to do. So a history is a list of names and integers, from whatever source.
"""

import random

from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.tests import at_most_once_homes as homes
from trefoilgw.tests import at_most_once_world as worlds

# Drawn by the sum of two choices, so those at the ends are rare.
GAPS_S = (910, 310, 6, 3.2, 2, 1, 0.5, 0.1, 0.1, 0.1, 0.5, 1, 2, 31, 310)
# Older streams matter only while bytes are left in them.
LINKS_KEPT = 64

# How often each operation is tried first.
WEIGHTS = {
    "submit_new": 5,
    "resubmit": 3,
    "deliver_forward": 4,
    "cancel": 1,
    "withdraw": 1,
    "give_up": 1,
    "dispatch": 20,
    "resize": 2,
    "return_credits": 1,
    "expire_home": 2,
    "remove_agent": 1,
    "change_roster": 1,
    "learn_roster": 3,
    "call_target": 16,
    "finish": 10,
    "check_agent": 2,
    "limit_ledger": 1,
    "ping": 5,
    "notice_closed": 2,
    "deliver_to_agent": 32,
    "deliver_to_home": 24,
    "drop_message": 1,
    "reconnect": 3,
    "pass_time": 3,
    "restart_agent": 1,
    "restart_home": 1,
}


# A history without some of these gets further into the others.
FAULTS = (
    "cancel",
    "withdraw",
    "give_up",
    "resize",
    "return_credits",
    "remove_agent",
    "change_roster",
    "limit_ledger",
    "drop_message",
    "reconnect",
    "pass_time",
    "restart_agent",
    "restart_home",
)


def spread(without: frozenset[str] = frozenset()) -> tuple[str, ...]:
    """Returns the operations by weight, in a fixed mixed order."""
    names = [name for name, weight in WEIGHTS.items() for _ in range(weight)]
    random.Random(0).shuffle(names)
    return tuple(name for name in names if name not in without)


ORDER = spread()


class World(homes.HomeOperations):
    """Two homes and two agents under faults.

    Args:
        same_incarnation: Agents keep their incarnation when they restart.

    Attributes:
        history: The operations that did something, with their integers.
    """

    def __init__(self, same_incarnation: bool = False):
        super().__init__()
        self.same_incarnation = same_incarnation
        self.history: list[tuple] = []

    def step(self, choice: int, a: int, b: int, c: int, order=ORDER) -> None:
        """Carries out the chosen operation, or the next one with work to do."""
        for offset in range(len(order)):
            name = order[(choice + offset) % len(order)]
            if self.apply(name, a, b, c):
                return

    def apply(self, name: str, a: int, b: int, c: int) -> bool:
        """Carries out an operation; returns False if it found no work."""
        self.history.append((name, a, b, c))
        if getattr(self, name)(a, b, c) is not False:
            return True
        self.history.pop()
        return False

    # Agents.

    def call_target(self, a, b, c):
        node = self.nodes[a % 2]
        call = homes.pick(node.calls, b)
        if call is None:
            return False
        if c == 7:
            node.calls.remove(call)
            reason = outcomes.Reason.TARGET_UNREACHABLE
            self.end_call(node, call, outcomes.NotRun(reason))
        else:
            self.call(node, call)
        return True

    def finish(self, a, b, c):
        node = self.nodes[a % 2]
        running = homes.pick(node.running, b)
        if running is None:
            return False
        node.running.remove(running)
        fate = outcomes.Completed(b"{}", 0.1)
        if c == 7:
            fate = outcomes.Unknown(outcomes.Reason.TARGET_UNREACHABLE)
        if c == 6:
            fate = outcomes.Failed(outcomes.Reason.TARGET_ERROR)
        self.end_call(node, running, fate)
        return True

    def check_agent(self, a, b, c):
        node = self.nodes[a % 2]
        self.perform(node, node.slots.check(self.now_s))
        if b % 2:
            self.perform(node, node.slots.tick(self.now_s))

    def limit_ledger(self, a, b, c):
        """Leaves the ledgers room for few records and no results."""
        if self.limit_records == worlds.LEDGER_RECORDS_SHORT:
            return False
        self.limit_records = worlds.LEDGER_RECORDS_SHORT
        for node in self.nodes:
            records = node.slots.ledger.records
            records.limit_records = self.limit_records
            records.limit_result_bytes = 0
        return True

    def ping(self, a, b, c):
        links = [
            x for x in self.links if x.node.links.get(x.home.incarnation) is x
        ]
        link = homes.pick(links, a)
        if link is None or not link.node.alive:
            return False
        link.to_home.append(messages.Ping(self.now_s, 0, 0, 0))
        return True

    def notice_closed(self, a, b, c):
        """An agent sees that a stream ended."""
        node = self.nodes[a % 2]
        link = homes.pick([x for x in node.links.values() if not x.open], b)
        if link is None:
            return False
        entry = link.home.incarnation
        del node.links[entry]
        node.slots.ledger.session_closed(entry, link.number)
        self.perform(node, node.slots.disconnect(entry, self.now_s))
        return True

    # The network and the processes.

    def deliver_to_agent(self, a, b, c):
        ready = [
            link
            for link in self.links
            if link.node.alive and (link.to_agent or not link.welcomed)
        ]
        # Bytes of a closed stream are mostly read late.
        open_links = [link for link in ready if link.open]
        link = homes.pick(open_links if b < 7 and open_links else ready, a)
        if link is None:
            return False
        if not link.welcomed:
            self.welcome(link)
            return True
        # Mostly in order, as a stream has it; now and then not.
        place = c % len(link.to_agent) if b == 6 else 0
        message = link.to_agent.pop(place)
        if b == 5:
            link.to_agent.insert(c % (len(link.to_agent) + 1), message)
        self.agent_reads(link, message)
        return True

    def deliver_to_home(self, a, b, c):
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
        self.home_reads(link, message)
        return True

    def drop_message(self, a, b, c):
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
        self.connect(self.homes[a % 2], self.nodes[b % 2])
        self.links = self.links[-LINKS_KEPT:]

    def pass_time(self, a, b, c):
        """Lets time pass; a process that is not chosen was frozen."""
        self.now_s += GAPS_S[a + b]
        for position, home in enumerate(self.homes):
            if c >> position & 1:
                home.read_s = self.now_s
                self.expire_home(position, 0, 0)

    def restart_agent(self, a, b, c):
        old = self.nodes[a % 2]
        old.alive = False
        kept = old.incarnation if self.same_incarnation else ""
        self.nodes[a % 2] = node = self.new_node(kept)
        for home in self.homes:
            self.connect(home, node)

    def restart_home(self, a, b, c):
        old = self.homes[a % 2]
        old.alive = False
        for link in old.links.values():
            link.open = False
        self.homes[a % 2] = home = self.new_home()
        home.roster = self.rosters[-1]
        home.table.key_retention.epochs.record_epoch(home.roster.epoch)
        for node in self.nodes:
            self.connect(home, node)
