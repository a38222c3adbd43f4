"""Checks that no run is at work after its end was reported, and that check.

The histories are random: processes that are stopped, killed and started again,
links that are cut, and targets whose calls are lost or carried out late. See
docs/design/runs-end-once.md. TREFOILGW_RUN_END_EXAMPLES sets their number, and
TREFOILGW_RUN_END_FIRST the first seed.
"""

import os
import unittest

import attrs
import hypothesis
from hypothesis import strategies as st

from trefoilgw.tests import run_ends_mutations as mutations
from trefoilgw.tests import run_ends_walks as walks

EXAMPLES = int(os.environ.get("TREFOILGW_RUN_END_EXAMPLES", "60"))
# Histories within which each mutation must be found.
MUTATION_EXAMPLES = 120
# First seeds for mutations that few histories show.
MUTATION_FIRST_SEEDS = {
    "refused connection after a deregistration ends the runs": 30,
    "no check before the start is sent": 30,
    "lease outlives the authority": 30,
}
# Histories that violated the rule in earlier versions.
REGRESSION_SEEDS = (
    *(64, 499, 526, 592, 1049, 1057, 1079, 1219, 1572, 1773, 1882, 1905),
    *(2181, 10165, 10187),
)
FIRST_SEED = int(os.environ.get("TREFOILGW_RUN_END_FIRST", "0"))
SETTINGS = hypothesis.settings(
    max_examples=max(1, EXAMPLES // 4),
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
CHOICE = st.integers(0, 7)
STEPS = st.lists(
    st.builds(
        walks.Step,
        st.sampled_from((0.0, 0.02, 0.1, 0.3, walks.MAX_GAP_S)),
        st.sampled_from(sorted(walks.OPERATIONS)),
        CHOICE,
        CHOICE,
        CHOICE,
    ),
    min_size=4,
    max_size=walks.STEPS,
)
HISTORIES = st.builds(
    walks.History,
    st.integers(0, 1000),
    st.integers(0, 3),
    STEPS.map(tuple),
)


class RunsEndOnceTest(unittest.TestCase):
    def test_seeded_histories(self):
        """A run was given up and worked on, or started, after that."""
        starts = 0
        for seed in range(FIRST_SEED, FIRST_SEED + EXAMPLES):
            with self.subTest(seed=seed):
                starts += walks.play(walks.make_history(seed)).starts
        self.assertGreater(starts, EXAMPLES)

    def test_histories_that_violated_the_rule(self):
        """A mended fault came back, and the first seeds do not show it."""
        for seed in REGRESSION_SEEDS:
            with self.subTest(seed=seed):
                walks.play(walks.make_history(seed))

    @SETTINGS
    @hypothesis.given(HISTORIES)
    def test_hypothesis_histories(self, history):
        """The same, with steps that hypothesis chooses and shortens."""
        walks.play(history)

    def test_scheduler_with_two_addresses(self):
        """An order on a replaced stream started a run that was repeated."""
        for seed in range(FIRST_SEED, FIRST_SEED + EXAMPLES // 12):
            history = walks.make_history(seed)
            with self.subTest(seed=seed):
                walks.play(attrs.evolve(history, second_address=True))


class MutationTest(unittest.TestCase):
    def test_each_mutation_is_found(self):
        """A check that can't fail guards against nothing.

        The history that shows a mutation must pass without it.
        """
        for name in mutations.MUTATIONS:
            with self.subTest(name):
                self.assertIsNotNone(self.find(name))

    def find(self, name):
        """Returns the first seed that shows a mutation, or None."""
        first = MUTATION_FIRST_SEEDS.get(name, 0)
        for seed in range(first, first + MUTATION_EXAMPLES):
            history = walks.make_history(seed)
            with mutations.applied(name):
                found = walks.violation_of(history)
            if found is not None and walks.violation_of(history) is None:
                return seed
        return None


if __name__ == "__main__":
    unittest.main()
