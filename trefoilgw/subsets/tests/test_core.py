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


class WeightsTest(unittest.TestCase):
    """Hosts differ in processors, and callers are spread unevenly."""

    CORES = (0.516, 0.717, 1.03, 1.55, 2.15)

    def weighted_fleet(self, count, domains, cores=CORES):
        """Returns schedulers whose hosts differ within each domain."""
        return [
            subsets.Member(
                f"s{x}:1",
                f"d{x % domains}",
                subsets.host_weight(cores[(x // domains + x) % len(cores)]),
            )
            for x in range(count)
        ]

    def select_weighted(self, runners, schedulers, limit, floor):
        return {
            runner.address: subsets.select_members(
                runner,
                schedulers,
                (),
                limit,
                subsets.selection_weights(runner, schedulers, floor),
            )
            for runner in runners
        }

    @settings(max_examples=60, deadline=None)
    @given(
        strategies.integers(1, 40),
        strategies.integers(1, 6),
        strategies.integers(1, 12),
        strategies.integers(-5, 2**63),
        strategies.floats(0.0, 1.0),
    )
    def test_equal_weights_select_as_before(
        self, count, domains, limit, weight, floor
    ):
        """Deployments with even hosts must be served as before."""
        schedulers = fleet(count, domains)
        weighted = [
            subsets.Member(x.address, x.domain, weight) for x in schedulers
        ]
        runners = fleet(5, domains, "r")
        self.assertEqual(
            select_all(runners, schedulers, limit),
            self.select_weighted(runners, weighted, limit, floor),
        )

    @settings(max_examples=60, deadline=None)
    @given(
        strategies.lists(strategies.floats(0.1, 8.0), min_size=2, max_size=40),
        strategies.integers(1, 6),
        strategies.floats(0.1, 8.0),
        strategies.data(),
    )
    def test_change_of_one_weight_moves_one_stream(
        self, values, domains, changed, data
    ):
        """A change at one host must not make all runners connect anew."""
        schedulers = fleet(len(values), domains)
        weights = {
            x.address: y for x, y in zip(schedulers, values, strict=True)
        }
        address = data.draw(strategies.sampled_from(sorted(weights)))
        for runner in fleet(6, domains, "r"):
            before = subsets.select_members(runner, schedulers, (), 8, weights)
            after = subsets.select_members(
                runner, schedulers, (), 8, {**weights, address: changed}
            )
            moved = before ^ after
            self.assertIn(len(moved), (0, 2))
            if moved:
                self.assertIn(address, moved)

    @settings(max_examples=60, deadline=None)
    @given(
        strategies.lists(strategies.integers(-5, 2**63), max_size=40),
        strategies.integers(1, 6),
        strategies.sampled_from([x / 16 for x in range(1, 17)]),
    )
    def test_no_weight_goes_below_the_floor(self, values, domains, floor):
        """The smallest host, or one with odd figures, still needs runners."""
        schedulers = [
            subsets.Member(f"s{x}:1", f"d{x % domains}", value)
            for x, value in enumerate(values)
        ]
        chooser = subsets.Member("r", "d0")
        weights = subsets.selection_weights(chooser, schedulers, floor)
        self.assertEqual({x.address for x in schedulers}, weights.keys())
        for local in (True, False):
            group = [
                weights[x.address]
                for x in schedulers
                if (x.domain == "d0") is local
            ]
            if group:
                self.assertGreaterEqual(min(group), floor * (1 - 1e-9))
                self.assertAlmostEqual(1.0, sum(group) / len(group))

    @settings(max_examples=60, deadline=None)
    @given(
        strategies.lists(strategies.floats(0.1, 8.0), min_size=1, max_size=40),
        strategies.integers(1, 6),
        strategies.integers(1, 12),
        strategies.data(),
    )
    def test_limit_of_reachable_members_is_met(
        self, values, domains, limit, data
    ):
        """A large weight must not keep a runner with dead schedulers."""
        schedulers = fleet(len(values), domains)
        addresses = [x.address for x in schedulers]
        weights = dict(zip(addresses, values, strict=True))
        down = data.draw(strategies.sets(strategies.sampled_from(addresses)))
        runner = subsets.Member("r", "d0")
        selected = subsets.select_members(
            runner, schedulers, down, limit, weights
        )
        reachable = len(addresses) - len(down)
        self.assertEqual(min(limit, reachable), len(selected - down))

    def test_choice_is_in_proportion_to_the_weights(self):
        """The logarithmic method is exact for the first choice."""
        weights = {"a": 1.0, "b": 2.0, "c": 5.0}
        counts = dict.fromkeys(weights, 0)
        for number in range(8000):
            (name,) = subsets.first_reachable(
                f"r{number}", weights, (), 1, weights
            )
            counts[name] += 1
        for name, weight in weights.items():
            self.assertAlmostEqual(weight, counts[name] / 1000, delta=0.15)

    def test_small_hosts_keep_their_runners(self):
        """The smallest host must reach as many runners as a fleet needs.

        The fleets are the two customers' today, a grown one, and the size of
        two years from now.
        """
        for count, domains, runner_count in (
            (10, 3, 58),
            (11, 4, 62),
            (35, 5, 160),
            (35, 5, 200),
            (35, 6, 1000),
        ):
            with self.subTest(schedulers=count, runners=runner_count):
                schedulers = self.weighted_fleet(count, domains)
                runners = fleet(runner_count, domains, "side-")
                floor = subsets.floor_share(8 * runner_count / count)
                reached = streams_by_scheduler(
                    self.select_weighted(runners, schedulers, 8, floor)
                )
                self.assertEqual(count, len(reached))
                self.assertGreaterEqual(
                    min(reached.values()), subsets.MIN_RUNNERS_PER_SCHEDULER
                )

    def test_large_hosts_reach_more_runners_of_a_large_fleet(self):
        """A host of 0.5 cores had as many streams as one of 2.1."""
        schedulers = self.weighted_fleet(35, 6)
        runners = fleet(1000, 6, "side-")
        floor = subsets.floor_share(8 * 1000 / 35)
        reached = streams_by_scheduler(
            self.select_weighted(runners, schedulers, 8, floor)
        )
        by_weight = {}
        for member in schedulers:
            by_weight.setdefault(member.weight, []).append(
                reached[member.address]
            )
        small, large = by_weight[516], by_weight[2150]
        ratio = sum(large) / len(large) / (sum(small) / len(small))
        self.assertGreater(ratio, 2.0)

    def test_unknown_weight_counts_as_the_mean(self):
        """A scheduler of an earlier release says nothing about its host."""
        schedulers = [
            subsets.Member("old", "d0"),
            subsets.Member("small", "d0", 500),
            subsets.Member("large", "d0", 1500),
        ]
        weights = subsets.selection_weights(schedulers[0], schedulers, 0.25)
        self.assertEqual({"old": 1.0, "small": 0.5, "large": 1.5}, weights)

    def test_odd_processors_give_a_bounded_weight(self):
        """Settings with odd figures must not move all streams."""
        for processors in (0.0, -1.0, float("nan")):
            self.assertEqual(
                subsets.UNIT_WEIGHT, subsets.host_weight(processors)
            )
        self.assertEqual(subsets.MAX_WEIGHT, subsets.host_weight(float("inf")))
        self.assertEqual(subsets.MIN_WEIGHT, subsets.host_weight(1e-9))

    def test_mean_of_a_weighted_sample(self):
        """A runner sees schedulers with many runners more often."""
        self.assertEqual(0.0, subsets.mean_choosers([]))
        self.assertEqual(20.0, subsets.mean_choosers([(10, 1.0), (30, 1.0)]))
        sample = [(10, 0.5)] + [(30, 1.5)] * 3
        self.assertAlmostEqual(20.0, subsets.mean_choosers(sample))
