import types
import unittest
from unittest import mock

from trefoilgw.messages import runs
from trefoilgw.room import owners
from trefoilgw.room.tests import fixtures
from trefoilgw.runner import links
from trefoilgw.subsets import core as subsets
from trefoilgw.work import core as work

OWN = subsets.Member("r1", "d1")


class FakeStream:
    """A stream that records what is sent over it."""

    def __init__(self, incarnation):
        self.welcome = types.SimpleNamespace(incarnation=incarnation)
        self.sent = []
        self.closed = None

    def send(self, message):
        self.sent.append(message)

    def close(self, reason):
        self.closed = reason


class LinksTest(unittest.TestCase):
    def setUp(self):
        patcher = mock.patch.object(links.eventlet, "spawn_n")
        patcher.start()
        self.addCleanup(patcher.stop)
        self.now_s = 0.0
        self.allocator = fixtures.make_allocator()
        self.links = links.Links(
            OWN,
            mock.Mock(),
            self.allocator,
            lambda: self.now_s,
            lambda: None,
            frozenset({"seed:1"}),
        )

    def learn(self, *addresses, revision=1, present=True):
        """Tells the runner which schedulers the store lists."""
        self.links.known.merge_records(
            [
                runs.SchedulerRecord(x, "d1", "a" * 16, revision, present)
                for x in addresses
            ],
            self.now_s,
        )

    def open(self, *addresses):
        """Opens the streams of links."""
        for address in addresses:
            link = self.links.links[address]
            link.owner = f"owner-{address}"
            link.stream = FakeStream(link.owner)
            self.allocator.owner_connected(link.owner, self.now_s)

    def pass_time(self, seconds):
        self.now_s += seconds
        self.links.select()

    def test_seeds_are_dialed_until_schedulers_are_known(self):
        """A runner that starts knows nothing but its seeds."""
        self.links.select()
        self.assertEqual({"seed:1"}, set(self.links.links))

    def test_stream_is_kept_before_any_scheduler_is_known(self):
        """The selection failed while the store listed no scheduler.

        A seed answers pings before it has told which schedulers there are.
        """
        self.links.select()
        self.open("seed:1")
        self.links.links["seed:1"].runners = 11
        self.pass_time(links.RETIREMENT_S)
        self.pass_time(links.RETIREMENT_S)
        self.assertIsNone(self.links.links["seed:1"].stream.closed)

    def test_surplus_seed_is_left_without_losing_orders(self):
        """All runners start at the same seeds, which can't serve them all."""
        self.links.select()
        self.open("seed:1")
        self.learn(*(f"s{x}:1" for x in range(12)))
        self.links.select()
        self.assertEqual(9, len(self.links.links))
        stream = self.links.links["seed:1"].stream
        self.pass_time(links.RETIREMENT_S)
        self.assertIsNone(stream.closed, "others are not connected yet")
        self.open(*(self.links.links.keys() - {"seed:1"}))
        self.links.select()
        self.assertIsNone(stream.closed, "orders may be under way")
        self.allocator.report_capacity(self.now_s)
        usable = [
            x.usable
            for owner, x in fixtures.sent_messages(
                self.allocator.take_actions(), runs.CapacityReport
            )
            if owner == "owner-seed:1"
        ]
        self.assertEqual([False], usable)
        self.pass_time(links.RETIREMENT_S)
        self.assertEqual("surplus", stream.closed)
        self.assertNotIn("seed:1", self.links.links)

    def make_surplus_with_a_run(self):
        """Lets a scheduler with a run be one too many."""
        self.links.select()
        self.open("seed:1")
        self.allocator.renew_authority("owner-seed:1", 100.0)
        fixtures.start_confirmed(self.allocator, "owner-seed:1", "j.0.0.0")
        self.learn(*(f"s{x}:1" for x in range(12)))
        self.links.select()
        self.open(*(self.links.links.keys() - {"seed:1"}))

    def test_scheduler_with_runs_keeps_its_stream(self):
        """Closing its stream would stop the runs."""
        self.make_surplus_with_a_run()
        for _ in range(5):
            self.pass_time(links.RETIREMENT_S)
        self.assertIsNone(self.links.links["seed:1"].stream.closed)

    def test_dead_scheduler_is_replaced(self):
        """A failure domain that is lost must not leave runners idle."""
        self.learn(*(f"s{x}:1" for x in range(12)))
        self.links.select()
        selected = set(self.links.links)
        dead = min(selected)
        self.open(*(selected - {dead}))
        self.pass_time(links.UNREACHABLE_AFTER_S)
        living = self.links.links.keys() - {dead, "seed:1"}
        self.assertEqual(8, len(living))
        self.assertIn(dead, self.links.links, "it is dialed on")

    def learn_weights(self, weights, weight_ms=1):
        """Tells the runner the weights of schedulers, by address."""
        self.links.known.merge_records(
            [
                runs.SchedulerRecord(
                    address, "d1", "a" * 16, 1, True, weight, weight_ms
                )
                for address, weight in weights.items()
            ],
            self.now_s,
        )

    def open_all(self, runners):
        """Opens the streams of all links to schedulers with some runners."""
        missing = [x for x, y in self.links.links.items() if y.stream is None]
        self.open(*missing)
        for link in self.links.links.values():
            link.runners = runners

    def settle(self, seconds=20.0):
        """Passes time; returns the selected addresses after each selection."""
        history = [frozenset(self.links.links)]
        while seconds > 0.0:
            self.open_all(200)
            self.pass_time(links.SELECTION_INTERVAL_S)
            seconds -= links.SELECTION_INTERVAL_S
            history.append(frozenset(self.links.links))
        return history

    def learn_fleet(self):
        """Tells a runner without seeds of 24 schedulers without weights."""
        self.links.seeds = frozenset()
        self.learn(*self.uneven_weights())

    def uneven_weights(self):
        return {f"s{x}:1": (400, 4000)[x % 2] for x in range(24)}

    def test_equal_weights_change_no_stream(self):
        """Deployments with even hosts must be served as before."""
        self.learn_fleet()
        self.links.select()
        before = set(self.links.links)
        self.learn_weights(dict.fromkeys(self.uneven_weights(), 700))
        self.assertEqual({frozenset(before)}, set(self.settle()))

    def test_weights_move_one_stream_at_a_time(self):
        """Runs of a retired stream would be stopped, and views are lost."""
        self.learn_fleet()
        self.links.select()
        self.settle()
        before = frozenset(self.links.links)
        self.learn_weights(self.uneven_weights())
        history = self.settle(60.0)
        self.assertNotEqual(before, history[-1])
        for earlier, later in zip(history, history[1:], strict=False):
            self.assertLessEqual(len(later ^ earlier), 1)
            self.assertGreaterEqual(len(later), 8, "one is opened before")
        self.assertEqual(8, len(history[-1]))
        large = {x for x, y in self.uneven_weights().items() if y == 4000}
        self.assertGreater(len(history[-1] & large), len(before & large))

    def test_weights_wait_until_the_streams_are_settled(self):
        """A runner that starts has other streams to open first."""
        self.learn_fleet()
        self.links.select()
        selected = frozenset(self.links.links)
        self.open(*sorted(selected)[1:])
        for link in self.links.links.values():
            link.runners = 200
        self.learn_weights(self.uneven_weights())
        self.pass_time(links.SELECTION_INTERVAL_S)
        self.assertEqual(selected, frozenset(self.links.links))

    def test_few_runners_ignore_weights(self):
        """A small host would reach fewer runners than a scheduler needs."""
        self.learn_fleet()
        self.links.select()
        self.learn_weights(self.uneven_weights())
        before = set(self.links.links)
        for _ in range(20):
            self.open_all(subsets.FLOOR_RUNNERS)
            self.pass_time(links.SELECTION_INTERVAL_S)
        self.assertEqual(before, set(self.links.links))

    def test_stream_that_has_just_opened_changes_no_weight(self):
        """Its scheduler has not told yet how many runners it has.

        Weights would be in force with each stream less, and moved others.
        """
        self.learn_fleet()
        self.links.select()
        self.learn_weights(self.uneven_weights())
        self.settle(60.0)
        before = dict(self.links.weights)
        for link in list(self.links.links.values())[:3]:
            link.runners = 0
        self.pass_time(links.SELECTION_INTERVAL_S)
        self.assertEqual(before, self.links.weights)

    def test_schedulers_without_weights_are_selected_as_before(self):
        """During a release all schedulers may be of an earlier one."""
        self.learn_fleet()
        self.links.select()
        before = frozenset(self.links.links)
        self.assertEqual({before}, set(self.settle()))
        self.assertEqual({1.0}, set(self.links.weights.values()))

    def test_odd_weights_leave_every_stream_count(self):
        """A host may claim anything about itself."""
        self.learn_fleet()
        self.links.select()
        odd = (0, -(2**62), 2**64 - 1, 1)
        self.learn_weights({f"s{x}:1": odd[x % len(odd)] for x in range(24)})
        self.assertEqual(8, len(self.settle(60.0)[-1]))
        for weight in self.links.weights.values():
            self.assertLessEqual(weight, 24)
            self.assertGreaterEqual(weight, self.links.floor)

    def test_scheduler_that_dies_while_streams_move(self):
        """The runner must not end with fewer live schedulers."""
        self.learn_fleet()
        self.links.select()
        self.settle()
        self.learn_weights(self.uneven_weights())
        before = frozenset(self.links.links)
        while frozenset(self.links.links) == before:
            self.open_all(200)
            self.pass_time(links.SELECTION_INTERVAL_S)
        (dead,) = frozenset(self.links.links) - before
        for _ in range(10):
            others = [
                x
                for x, y in self.links.links.items()
                if y.stream is None and x != dead
            ]
            self.open(*others)
            self.pass_time(links.SELECTION_INTERVAL_S)
        living = [x for x in self.links.links.values() if x.stream is not None]
        self.assertEqual(8, len(living))
        self.assertEqual(
            [], [x for x in living if x.retiring_since_s is not None]
        )

    def test_flapping_weights_leave_streams_open(self):
        """A scheduler whose load comes and goes must not cost streams."""
        self.learn_fleet()
        self.links.select()
        self.settle()
        for turn in range(12):
            weights = {f"s{x}:1": (400, 800)[turn % 2] for x in range(3)}
            self.learn_weights({"s9:1": 700, **weights}, weight_ms=turn + 2)
            for selected in self.settle(10.0):
                self.assertIn(len(selected), (8, 9))

    def test_retiring_stream_gets_no_work_while_its_runs_go_on(self):
        """Under load a scheduler always has runs, so it was never left."""
        self.make_surplus_with_a_run()
        for _ in range(3):
            self.pass_time(links.RETIREMENT_S)
        link = self.links.links["seed:1"]
        self.assertIsNone(link.stream.closed)
        self.assertTrue(self.allocator.owners["owner-seed:1"].retiring)
        self.allocator.run_ended("j.0.0.0", 1, work.Ending.DONE, self.now_s)
        self.pass_time(links.RETIREMENT_S)
        self.assertEqual("surplus", link.stream.closed)

    def open_seed(self):
        """Opens the stream of the seed; returns what is sent over it."""
        self.links.select()
        self.open("seed:1")
        return self.links.links["seed:1"].stream.sent

    def check_pings(self, count):
        """Calls the check of the pings some times, with answers."""
        for _ in range(count):
            self.now_s += links.PING_CHECK_INTERVAL_S
            self.links.ping()
            self.links.links["seed:1"].unanswered_s = None

    def start_run(self):
        self.allocator.renew_authority("owner-seed:1", self.now_s)
        fixtures.start_confirmed(
            self.allocator, "owner-seed:1", "j.0.0.0", now_s=self.now_s
        )

    def test_scheduler_without_runs_is_pinged_seldom(self):
        """The pings of idle streams took most of an idle host's time."""
        sent = self.open_seed()
        self.check_pings(40)
        self.assertAlmostEqual(
            40 * links.PING_CHECK_INTERVAL_S / links.IDLE_PING_INTERVAL_S,
            len(sent),
            delta=1,
        )

    def test_scheduler_with_runs_keeps_its_authority(self):
        """The runs would be stopped while their scheduler is well."""
        sent = self.open_seed()
        self.start_run()
        self.check_pings(40)
        sent_s = [x.sent_s for x in sent]
        longest_s = max(b - a for a, b in zip(sent_s, sent_s[1:], strict=False))
        self.assertLess(longest_s, owners.AUTHORITY_S / 2)

    def test_orders_take_the_place_of_pings(self):
        """Under load each order renews the authority already."""
        sent = self.open_seed()
        self.start_run()
        for _ in range(20):
            self.allocator.renew_authority("owner-seed:1", self.now_s)
            self.check_pings(1)
        self.assertEqual(1, len(sent), "the first one tells the clock")

    def test_pings_go_out_with_other_messages(self):
        """Each message of its own wakes both hosts."""
        sent = self.open_seed()
        self.start_run()
        report = runs.Offer(1, 1, fixtures.TASK_DEMAND)
        for _ in range(40):  # A message every 0.075 s.
            self.now_s += links.PING_CHECK_INTERVAL_S / 2
            self.links.send("owner-seed:1", report)
            self.links.ping()
        alone = [
            x
            for previous, x in zip([None, *sent], sent, strict=False)
            if isinstance(x, runs.RunnerPing) and previous is not report
        ]
        self.assertEqual([], alone)

    def test_authority_counts_from_the_start_of_the_handshake(self):
        """The scheduler counts from its answer, which may arrive late.

        A runner that is paused between the two would start and keep runs that
        its scheduler has given up.
        """
        self.now_s = 10.0
        link = links.Link("s:1", 0.0)
        stream = FakeStream(fixtures.A)
        stream.dialed_s = 9.2
        stream.start = lambda on_message, on_closed, may_yield: on_closed(
            stream, "closed by the peer"
        )
        self.links._serve(link, stream)
        self.assertEqual(
            9.2 + owners.AUTHORITY_S,
            self.allocator.owners[fixtures.A].authority_until_s,
        )

    def test_earlier_stream_of_the_same_scheduler_is_closed(self):
        """An order on it started a run that was repeated elsewhere.

        The end of the earlier stream may not shorten the authority either.
        """
        self.now_s = 10.0
        self.learn("s:1", "s:2")
        self.links.select()
        self.open("s:1")
        earlier = self.links.links["s:1"]
        stream = FakeStream(earlier.owner)
        stream.dialed_s = 10.0
        found = []

        def start(on_message, on_closed, may_yield):
            found.append((earlier.stream, self.links.links["s:2"].stream))
            on_closed(stream, "closed by the peer")

        stream.start = start
        before = earlier.stream
        self.links._serve(self.links.links["s:2"], stream)
        self.assertEqual([(None, stream)], found)
        self.assertEqual("replaced", before.closed)

    def test_stream_without_answers_is_closed(self):
        """A cut connection is not closed by the peer."""
        self.open_seed()
        link = self.links.links["seed:1"]
        while self.now_s < links.MAX_SILENCE_S:
            self.now_s += links.PING_CHECK_INTERVAL_S
            self.links.ping()
        self.assertIsNone(link.stream.closed)
        self.now_s += 2 * links.PING_CHECK_INTERVAL_S
        self.links.ping()
        self.assertEqual("silent", link.stream.closed)

    def test_scheduler_that_left_is_not_dialed(self):
        """An address may belong to another host soon."""
        self.learn("s1:1", "s2:1")
        self.links.select()
        self.learn("s1:1", revision=2, present=False)
        self.pass_time(6.0)
        self.assertEqual({"seed:1", "s2:1"}, set(self.links.links))


if __name__ == "__main__":
    unittest.main()
