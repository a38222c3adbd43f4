import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from trefoilgw.subsets import core as subsets


def fleet(count, domains, prefix="s"):
    return [
        subsets.Member(f"{prefix}{x}:1", f"d{x % domains}")
        for x in range(count)
    ]


def select_all(runners, schedulers, limit, down=frozenset()):
    return {
        runner.address: subsets.select_members(runner, schedulers, down, limit)
        for runner in runners
    }


def streams_by_scheduler(selected):
    counts = {}
    for addresses in selected.values():
        for address in addresses:
            counts[address] = counts.get(address, 0) + 1
    return counts


class SelectMembersTest(unittest.TestCase):
    def test_small_fleets_are_fully_connected(self):
        """A few schedulers must all reach every runner, as before subsets."""
        schedulers = fleet(4, 4)
        for selected in select_all(fleet(11, 4, "r"), schedulers, 8).values():
            self.assertEqual({x.address for x in schedulers}, selected)

    def test_streams_do_not_grow_with_the_fleet(self):
        """Control that grows with both sides saturates hosts when idle."""
        selected = select_all(fleet(160, 5, "r"), fleet(35, 5), 8)
        self.assertEqual({8}, {len(x) for x in selected.values()})
        counts = streams_by_scheduler(selected)
        self.assertEqual(35, len(counts))
        self.assertLess(max(counts.values()), 2 * 160 * 8 / 35)
        self.assertGreater(min(counts.values()), 160 * 8 / 35 / 2.5)

    def test_half_is_local(self):
        """Traffic between failure domains is expensive."""
        schedulers = fleet(35, 5)
        local = {x.address for x in schedulers if x.domain == "d2"}
        runner = subsets.Member("r", "d2")
        selected = subsets.select_members(runner, schedulers, (), 8)
        self.assertEqual(4, len(selected & local))

    @settings(max_examples=60, deadline=None)
    @given(
        strategies.integers(1, 40),
        strategies.integers(1, 6),
        strategies.integers(1, 12),
        strategies.data(),
    )
    def test_limit_of_reachable_members_is_met(
        self, count, domains, limit, data
    ):
        """A runner must not stay with dead schedulers while others live."""
        schedulers = fleet(count, domains)
        addresses = [x.address for x in schedulers]
        down = data.draw(strategies.sets(strategies.sampled_from(addresses)))
        runner = subsets.Member("r", "d0")
        selected = subsets.select_members(runner, schedulers, down, limit)
        reachable = len(addresses) - len(down)
        self.assertEqual(min(limit, reachable), len(selected - down))

    @settings(max_examples=30, deadline=None)
    @given(strategies.integers(9, 40), strategies.integers(1, 6))
    def test_change_of_one_scheduler_moves_few_streams(self, count, domains):
        """A restart must not make all runners connect anew."""
        runners = fleet(60, domains, "r")
        schedulers = fleet(count, domains)
        before = select_all(runners, schedulers, 8)
        after = select_all(runners, schedulers[1:], 8)
        lost = schedulers[0].address
        for runner, selected in before.items():
            moved = selected ^ after[runner]
            expected = 2 if lost in selected else 0
            self.assertLessEqual(len(moved), expected)


class StreamCountTest(unittest.TestCase):
    def test_large_fleet_uses_the_default(self):
        """36 runners at each scheduler are enough."""
        self.assertEqual(
            subsets.SCHEDULERS_PER_RUNNER, subsets.stream_count(35, 8, 36.0)
        )

    def test_few_runners_reach_all_schedulers(self):
        """With 3 runners and 40 schedulers, 16 would have no runner at all."""
        self.assertEqual(40, subsets.stream_count(40, 8, 3 * 8 / 40))

    def test_every_scheduler_gets_runners(self):
        """The fixed point of the rule must leave no scheduler without any."""
        for runner_count, scheduler_count in ((3, 40), (11, 35), (200, 1)):
            with self.subTest(runners=runner_count, schedulers=scheduler_count):
                runners = fleet(runner_count, 3, "r")
                schedulers = fleet(scheduler_count, 3)
                limit = subsets.SCHEDULERS_PER_RUNNER
                for _ in range(5):
                    counts = streams_by_scheduler(
                        select_all(runners, schedulers, limit)
                    )
                    mean = sum(counts.values()) / scheduler_count
                    limit = subsets.stream_count(
                        scheduler_count, min(limit, scheduler_count), mean
                    )
                self.assertEqual(scheduler_count, len(counts))

    def test_nothing_known(self):
        """A runner that has no stream yet can't estimate anything."""
        self.assertEqual(
            subsets.SCHEDULERS_PER_RUNNER, subsets.stream_count(35, 0, 0.0)
        )

    def test_streams_to_members_that_are_not_known(self):
        """A division by zero ended each selection of a runner's streams."""
        self.assertEqual(
            subsets.SCHEDULERS_PER_RUNNER, subsets.stream_count(0, 1, 11.0)
        )


class SelectPeersTest(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(strategies.integers(2, 40), strategies.data())
    def test_graph_of_the_living_is_connected(self, count, data):
        """Configurations must reach a scheduler that the store refuses."""
        addresses = [f"10.0.0.{x}:1" for x in range(count)]
        down = data.draw(strategies.sets(strategies.sampled_from(addresses)))
        living = [x for x in addresses if x not in down]
        edges = {x: set() for x in living}
        for own in living:
            for other in subsets.select_peers(own, addresses, down) - down:
                edges[own].add(other)
                edges[other].add(own)
        reached = set(living[:1])
        frontier = list(reached)
        while frontier:
            for other in edges[frontier.pop()] - reached:
                reached.add(other)
                frontier.append(other)
        self.assertEqual(set(living), reached)

    def test_streams_are_bounded(self):
        """A full mesh of schedulers costs two pings a second for each pair."""
        addresses = [f"10.0.0.{x}:1" for x in range(100)]
        for own in addresses:
            self.assertEqual(4, len(subsets.select_peers(own, addresses, ())))
