"""Checks that no run is at work after its end was reported, and that check.

The histories are random: processes that are stopped, killed and started again,
links that are cut, and targets whose calls are lost or carried out late. See
docs/design/runs-end-once.md. TREFOILGW_RUN_END_EXAMPLES sets their number, and
TREFOILGW_RUN_END_FIRST the first seed.
"""

import os
import unittest

import hypothesis
from hypothesis import strategies as st

from trefoilgw.tests import run_ends_mutations as mutations
from trefoilgw.tests import run_ends_walks as walks

EXAMPLES = int(os.environ.get("TREFOILGW_RUN_END_EXAMPLES", "40"))
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
        """A task ran twice at a time after its first run was given up."""
        starts = 0
        for seed in range(FIRST_SEED, FIRST_SEED + EXAMPLES):
            with self.subTest(seed=seed):
                violation = walks.violation_of(walks.make_history(seed))
                if violation is not None:
                    self.fail(f"seed {seed}: {violation}")
                starts += 1
        self.assertGreater(starts, 0)

    @SETTINGS
    @hypothesis.given(HISTORIES)
    def test_hypothesis_histories(self, history):
        """The same, with steps that hypothesis chooses and shortens."""
        walks.play(history)


if __name__ == "__main__":
    unittest.main()
