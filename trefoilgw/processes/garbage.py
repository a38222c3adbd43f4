"""Keeps the garbage collector from pausing a process."""

import gc

# Hardly any garbage is cyclic, and a full collection visits every object: with
# 60,000 jobs in memory it took 0.18 s, during which nothing is answered. The
# third threshold makes full collections by the number of objects very rare.
GC_THRESHOLDS = (20_000, 20, 1_000_000)


def limit_collections() -> None:
    """Exempts the present objects from collections, and makes these rare."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
