"""Tests of the decisions on memory and connections, without a network."""

import random
import unittest

import attrs

from trefoilgw.callers import budget

KIB = 1024
MIB = 1024 * KIB
LIMITS = budget.BudgetLimits(
    memory_bytes=32 * MIB,
    small_reserve_bytes=8 * MIB,
    connections=200,
)
STEP_S = 0.1
# When an incomplete request is closed anyway, as the server does.
SEND_LIMIT_S = 10.0


@attrs.define(eq=False)
class Unlimited:
    """The policy without a budget: everything is granted."""

    held_bytes: int = 0

    def open(self, now_s):
        return budget.Account(budget.Phase.IDLE, now_s), budget.Decision(True)

    def enter(self, account, phase, now_s):
        account.phase, account.since_s = phase, now_s

    def reserve(self, account, size_bytes, now_s):
        account.held_bytes += size_bytes
        self.held_bytes += size_bytes
        return budget.Decision(True)

    def close(self, account):
        self.held_bytes -= account.held_bytes
        account.held_bytes = 0


@attrs.define(eq=False)
class FirstCome(Unlimited):
    """Grants what fits, to whoever comes first."""

    def reserve(self, account, size_bytes, now_s):
        if self.held_bytes + size_bytes > LIMITS.memory_bytes:
            return budget.Decision(False)
        return super().reserve(account, size_bytes, now_s)


@attrs.define
class Replay:
    """Plays a crowd of callers that stop short, beside ordinary callers.

    In each step some of the crowd announce a body, which they never complete.
    Among them, an ordinary caller sends a small body and another one a large
    body. Both have arrived at the next step.

    Attributes:
        policy: Policy that decides.
        peak_bytes: Most memory that was held.
        served: Ordinary requests that were served, by size.
        asked: Ordinary requests so far, by size.
    """

    policy: object
    peak_bytes: int = 0
    served: dict = attrs.field(factory=dict)
    asked: dict = attrs.field(factory=dict)
    _waiting: list = attrs.field(factory=list)
    _arriving: list = attrs.field(factory=list)
    _rng: random.Random = attrs.field(factory=lambda: random.Random(1))

    def run(self, end_s, crowd_per_step, crowd_bytes):
        """Plays `end_s` seconds; returns itself."""
        for step in range(round(end_s / STEP_S)):
            now_s = step * STEP_S
            for account in [
                x for x in self._waiting if now_s - x.since_s >= SEND_LIMIT_S
            ]:
                self._waiting.remove(account)
                self.policy.close(account)
            arriving, self._arriving = self._arriving, []
            for size, account in arriving:
                self._finish(size, account)
            callers = [0] * crowd_per_step + [2 * KIB, 4 * MIB]
            self._rng.shuffle(callers)
            for size in callers:
                if size:
                    self._ordinary(size, now_s)
                    continue
                account = self._ask(crowd_bytes, now_s)
                if account is not None:
                    self._waiting.append(account)
            self.peak_bytes = max(self.peak_bytes, self.policy.held_bytes)
        for size, account in self._arriving:
            self._finish(size, account)
        return self

    def _ask(self, size, now_s):
        account, _ = self.policy.open(now_s)
        if account is None:
            return None
        self.policy.enter(account, budget.Phase.RECEIVING, now_s)
        decision = self.policy.reserve(account, size, now_s)
        for shed in decision.shed:
            if shed in self._waiting:
                self._waiting.remove(shed)
        if decision.granted:
            return account
        self.policy.close(account)
        return None

    def _ordinary(self, size, now_s):
        self.asked[size] = self.asked.get(size, 0) + 1
        account = self._ask(size, now_s)
        if account is not None:
            self._arriving.append((size, account))

    def _finish(self, size, account):
        if not account.shed:
            self.served[size] = self.served.get(size, 0) + 1
        self.policy.close(account)

    def share(self, size):
        """Returns the share of ordinary requests of a size that was served."""
        return self.served.get(size, 0) / self.asked[size]


class CrowdReplayTest(unittest.TestCase):
    def play(self, crowd_per_step, crowd_bytes):
        """Returns the replays without, with a simple and with the budget."""
        policies = (Unlimited(), FirstCome(), budget.Budget(LIMITS))
        return [
            Replay(x).run(30.0, crowd_per_step, crowd_bytes) for x in policies
        ]

    def test_large_bodies_that_stop_short(self):
        """Without a budget they used up the memory of a host.

        If those who come first keep what they have, the crowd keeps everything
        and nobody else is served.
        """
        unlimited, first_come, limited = self.play(4, 4 * MIB)
        self.assertGreater(unlimited.peak_bytes, 10 * LIMITS.memory_bytes)
        self.assertLessEqual(first_come.peak_bytes, LIMITS.memory_bytes)
        self.assertLess(first_come.share(4 * MIB), 0.1)
        self.assertLessEqual(limited.peak_bytes, LIMITS.memory_bytes)
        self.assertEqual(1.0, limited.share(2 * KIB))
        self.assertGreater(limited.share(4 * MIB), first_come.share(4 * MIB))

    def test_small_bodies_that_stop_short(self):
        """The reserve for small requests can be used up by small requests."""
        unlimited, first_come, limited = self.play(60, 64 * KIB)
        self.assertGreater(unlimited.peak_bytes, 4 * LIMITS.memory_bytes)
        self.assertLess(first_come.share(2 * KIB), 1.0)
        self.assertLessEqual(limited.peak_bytes, LIMITS.memory_bytes)
        self.assertEqual(1.0, limited.share(2 * KIB))

    def test_calm(self):
        """Ordinary callers alone must not notice a limit."""
        for replay in self.play(0, 0):
            self.assertEqual(1.0, replay.share(2 * KIB))
            self.assertEqual(1.0, replay.share(4 * MIB))


class BudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = budget.Budget(LIMITS)

    def receive(self, size, now_s=0.0):
        """Returns an account that receives a body of a size."""
        account, _ = self.budget.open(now_s)
        self.budget.enter(account, budget.Phase.RECEIVING, now_s)
        decision = self.budget.reserve(account, size, now_s)
        self.assertTrue(decision.granted)
        return account

    def test_largest_request_is_granted_in_calm(self):
        """A legal request that never fits could never be served."""
        size = LIMITS.largest_request_bytes
        account = self.receive(size)
        self.budget.close(account)
        self.assertEqual(0, self.budget.held_bytes)

    def test_largest_and_slowest_is_shed_first(self):
        """Shedding small or fast requests would free little memory."""
        self.receive(2 * MIB, 0.0)
        largest = self.receive(16 * MIB, 0.0)
        fast = self.receive(6 * MIB, 2.5)
        account, _ = self.budget.open(3.0)
        self.budget.enter(account, budget.Phase.RECEIVING, 3.0)
        decision = self.budget.reserve(account, 4 * MIB, 3.0)
        self.assertEqual(budget.Decision(True, (largest,)), decision)
        self.assertTrue(largest.shed)
        self.assertFalse(fast.shed)

    def test_requests_that_are_served_are_never_shed(self):
        """Their jobs may run, so their memory can't be taken."""
        served = self.receive(24 * MIB)
        self.budget.enter(served, budget.Phase.SERVING, 0.0)
        account, _ = self.budget.open(60.0)
        self.budget.enter(account, budget.Phase.RECEIVING, 60.0)
        self.assertFalse(self.budget.reserve(account, 4 * MIB, 60.0).granted)
        self.assertTrue(self.budget.reserve(account, 4 * KIB, 60.0).granted)
        self.assertFalse(served.shed)

    def test_refused_and_idle_connections_are_shed_first(self):
        """Connections that do nothing would keep others from the host."""
        accounts = [self.budget.open(0.0)[0] for _ in range(200)]
        for account in accounts[2:]:
            self.budget.enter(account, budget.Phase.RECEIVING, 0.0)
        self.budget.enter(accounts[1], budget.Phase.REFUSED, 0.0)
        shed = [self.budget.open(0.5)[1].shed for _ in range(2)]
        self.assertEqual([(accounts[1],), (accounts[0],)], shed)
        self.assertEqual(200, len(self.budget.accounts))

    def test_no_place_among_fresh_requests(self):
        """Shedding fresh requests for each other would serve none of them."""
        for _ in range(200):
            account, _ = self.budget.open(0.0)
            self.budget.enter(account, budget.Phase.RECEIVING, 0.0)
        self.assertIsNone(self.budget.open(0.05)[0])
        account, decision = self.budget.open(0.1)
        self.assertIsNotNone(account)
        self.assertEqual(1, len(decision.shed))

    def test_chunks_of_a_shed_request_are_refused(self):
        """It would go on to grow after its memory was given to another."""
        account = self.receive(4 * KIB)
        account.shed = True
        self.assertFalse(self.budget.reserve(account, 1, 0.0).granted)

    def test_recharge_that_does_not_fit_changes_nothing(self):
        """The request then still holds its body."""
        account = self.receive(4 * MIB)
        self.budget.enter(account, budget.Phase.SERVING, 0.0)
        self.assertFalse(self.budget.recharge(account, 30 * MIB))
        self.assertEqual(4 * MIB, self.budget.held_bytes)
        self.assertTrue(self.budget.recharge(account, KIB))
        self.assertEqual(KIB, self.budget.held_bytes)

    def test_slow_request(self):
        """A request that trickles in occupies a connection for long."""
        account = self.receive(MIB)
        self.assertFalse(self.budget.is_too_slow(account, 4.9))
        self.assertTrue(self.budget.is_too_slow(account, 5.0))
        account.received_bytes = 6 * KIB
        self.assertFalse(self.budget.is_too_slow(account, 5.0))

    def test_limits_of_hosts(self):
        """Together, connections and bodies must leave room for the program."""
        for memory_mb, descriptors in ((168, 4096), (200, 4100), (552, 8192)):
            with self.subTest(memory_mb=memory_mb):
                limits = budget.limits_of_host(memory_mb * MIB, descriptors)
                sockets = descriptors - budget.FILE_DESCRIPTORS
                self.assertLess(limits.connections, sockets)
                self.assertGreaterEqual(limits.connections, 900)
                total = limits.memory_bytes + (
                    limits.connections * budget.CONNECTION_BYTES
                )
                self.assertLess(total, memory_mb * MIB / 2)
                self.assertGreater(limits.largest_request_bytes, 4 * MIB)
        self.assertEqual(1, budget.limits_of_host(MIB, 100).connections)
