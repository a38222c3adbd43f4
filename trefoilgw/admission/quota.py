"""Token buckets for task starts, shared by a customer's kinds.

A common bucket bounds a customer's starts. Beside it, each kind has a bucket
of its own with its part of the quota, so that a flood of one kind doesn't use
up the quota of the customer's other work.
"""

import math
from collections.abc import Mapping

import attrs

# Seconds of quota that the common bucket holds, and each kind's bucket of its
# part. Together they are the burst of 1 s.
COMMON_BURST_S = 0.5
KIND_BURST_S = 0.5
BURST_S = COMMON_BURST_S + KIND_BURST_S
# Wait told to callers of a customer whose quota is 0.
NO_QUOTA_WAIT_S = 60.0


@attrs.define
class Bucket:
    """A token bucket that may be overdrawn.

    Attributes:
        rate_s: Tokens that flow in per second.
        capacity: Tokens that it holds.
        level: Tokens at `updated_s`; negative after a large request.
        updated_s: Monotonic time of the last change.
    """

    rate_s: float
    capacity: float
    level: float
    updated_s: float

    def refill(self, now_s: float) -> None:
        """Adds the tokens that flowed in up to `now_s`."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s > 0.0:
            filled = self.level + elapsed_s * self.rate_s
            self.level = min(self.capacity, filled)
            self.updated_s = now_s

    def wait_s(self, tokens: float) -> float:
        """Returns the seconds until a request would find enough tokens.

        A request larger than the bucket needs a full one and overdraws it,
        so that a job of 310 tasks can start under any quota.
        """
        missing = min(tokens, max(1.0, self.capacity)) - self.level
        if missing <= 0.0:
            return 0.0
        if self.rate_s <= 0.0:
            return NO_QUOTA_WAIT_S
        return missing / self.rate_s

    def resize(self, rate_s: float, burst_s: float, now_s: float) -> None:
        """Changes rate and size from now on."""
        self.refill(now_s)
        self.rate_s = rate_s
        self.capacity = max(1.0, rate_s * burst_s)
        self.level = min(self.capacity, self.level)


def full_bucket(rate_s: float, burst_s: float, now_s: float) -> Bucket:
    """Returns a full bucket; it holds at least one token."""
    capacity = max(1.0, rate_s * burst_s)
    return Bucket(rate_s, capacity, capacity, now_s)


@attrs.define
class Quota:
    """Task starts of one customer at this entry.

    Attributes:
        starts_s: The entry's part of the customer's quota.
        common: Bucket of the customer.
        kind_shares: Part of the quota per kind, 0 to 1.
        kind_buckets: Bucket per kind.
    """

    starts_s: float
    common: Bucket
    kind_shares: dict[str, float] = attrs.field(factory=dict)
    kind_buckets: dict[str, Bucket] = attrs.field(factory=dict)

    @classmethod
    def with_full_buckets(
        cls, starts_s: float, shares: Mapping[str, float], now_s: float
    ) -> "Quota":
        """Returns a quota with full buckets."""
        common = full_bucket(starts_s, COMMON_BURST_S, now_s)
        quota = cls(starts_s, common)
        quota.set_shares(shares, now_s)
        return quota

    def set_shares(self, shares: Mapping[str, float], now_s: float) -> None:
        """Sets the kinds and their parts; new kinds start full."""
        self.kind_shares = dict(shares)
        old = self.kind_buckets
        self.kind_buckets = {
            kind: old.get(kind)
            or full_bucket(self.starts_s * share, KIND_BURST_S, now_s)
            for kind, share in shares.items()
        }
        self.set_rate(self.starts_s, now_s)

    def set_rate(self, starts_s: float, now_s: float) -> None:
        """Sets the entry's part of the quota."""
        self.starts_s = starts_s
        self.common.resize(starts_s, COMMON_BURST_S, now_s)
        for kind, share in self.kind_shares.items():
            self.kind_buckets[kind].resize(
                starts_s * share, KIND_BURST_S, now_s
            )

    def take(self, kind: str, tasks: int, now_s: float) -> float:
        """Takes tokens for a job from the common or from the kind's bucket.

        Args:
            kind: Kind of the job.
            tasks: Task starts.
            now_s: Monotonic time in seconds.

        Returns:
            0 if the tokens were taken, else the seconds until they could be;
            then nothing was taken.

        Notes:
            Every start is charged to both buckets, but what the common one
            paid for puts the kind's at most one burst into debt. So over any
            time T the starts are at most ``starts_s * (T + BURST_S)``, or one
            task per bucket if that is more, plus one job per bucket.
        """
        self.common.refill(now_s)
        wait_s = self.common.wait_s(tasks)
        kind_bucket = self.kind_buckets.get(kind)
        if kind_bucket is not None:
            kind_bucket.refill(now_s)
            kind_wait_s = kind_bucket.wait_s(tasks)
            if min(wait_s, kind_wait_s) > 0.0:
                return min(wait_s, kind_wait_s)
            min_level = -kind_bucket.capacity if wait_s <= 0.0 else -math.inf
            kind_bucket.level = max(
                min(kind_bucket.level, min_level), kind_bucket.level - tasks
            )
        elif wait_s > 0.0:
            return wait_s
        self.common.level -= tasks
        return 0.0
