"""Token buckets that enforce a customer's quota of task starts.

A common bucket limits all starts of a customer. Each kind also has a bucket
with its own share of the quota, so that a flood of one kind doesn't use up the
quota of the customer's other work.
"""

import math
from collections.abc import Mapping

import attrs

# Capacity of the common bucket in seconds of quota, and of each kind's bucket
# in seconds of its share. Together they allow a burst of 1 s.
COMMON_BURST_S = 0.5
KIND_BURST_S = 0.5
BURST_S = COMMON_BURST_S + KIND_BURST_S
# Wait in seconds reported to callers of a customer whose quota is 0.
NO_QUOTA_WAIT_S = 60.0


@attrs.define
class TokenBucket:
    """A token bucket that may be overdrawn.

    Attributes:
        rate_s: Tokens added per second.
        capacity: Maximum number of tokens.
        level: Tokens at `updated_s`; negative after a large request.
        updated_s: Monotonic time of the last change.
    """

    rate_s: float
    capacity: float
    level: float
    updated_s: float

    def refill(self, now_s: float) -> None:
        """Adds the tokens that accrued up to `now_s`."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s > 0.0:
            filled = self.level + elapsed_s * self.rate_s
            self.level = min(self.capacity, filled)
            self.updated_s = now_s

    def wait_s(self, tokens: float) -> float:
        """Returns the seconds until there are enough tokens for a request.

        A request larger than the capacity needs a full bucket and overdraws
        it, so that a job of 310 tasks can start under any quota. Returns
        `NO_QUOTA_WAIT_S` if tokens are missing and the rate is 0.
        """
        missing = min(tokens, max(1.0, self.capacity)) - self.level
        if missing <= 0.0:
            return 0.0
        if self.rate_s <= 0.0:
            return NO_QUOTA_WAIT_S
        return missing / self.rate_s

    def resize(self, rate_s: float, burst_s: float, now_s: float) -> None:
        """Changes the rate and the capacity from `now_s` on."""
        self.refill(now_s)
        self.rate_s = rate_s
        self.capacity = max(1.0, rate_s * burst_s)
        self.level = min(self.capacity, self.level)


def full_bucket(rate_s: float, burst_s: float, now_s: float) -> TokenBucket:
    """Returns a full bucket with a capacity of at least one token."""
    capacity = max(1.0, rate_s * burst_s)
    return TokenBucket(rate_s, capacity, capacity, now_s)


@attrs.define
class Quota:
    """Quota of task starts of one customer at this entry.

    Attributes:
        starts_s: This entry's share of the customer's quota, starts/s.
        common: Bucket for all starts of the customer.
        kind_shares: Share of the quota by kind, 0 to 1.
        kind_buckets: Bucket by kind.
    """

    starts_s: float
    common: TokenBucket
    kind_shares: dict[str, float] = attrs.field(factory=dict)
    kind_buckets: dict[str, TokenBucket] = attrs.field(factory=dict)

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
        """Sets the kinds and their shares; new kinds get a full bucket."""
        self.kind_shares = dict(shares)
        old = self.kind_buckets
        self.kind_buckets = {
            kind: old.get(kind)
            or full_bucket(self.starts_s * share, KIND_BURST_S, now_s)
            for kind, share in shares.items()
        }
        self.set_rate(self.starts_s, now_s)

    def set_rate(self, starts_s: float, now_s: float) -> None:
        """Sets this entry's share of the quota in starts/s."""
        self.starts_s = starts_s
        self.common.resize(starts_s, COMMON_BURST_S, now_s)
        for kind, share in self.kind_shares.items():
            self.kind_buckets[kind].resize(
                starts_s * share, KIND_BURST_S, now_s
            )

    def take(self, kind: str, tasks: int, now_s: float) -> float:
        """Takes tokens for a job if the common or the kind's bucket has them.

        Args:
            kind: Kind of the job.
            tasks: Number of task starts.
            now_s: Monotonic time in seconds.

        Returns:
            0 if the tokens were taken. Otherwise the seconds until they are
            available, and no tokens were taken.

        Notes:
            Every start is charged to both buckets. A start that the common
            bucket had tokens for overdraws the kind's bucket by at most its
            capacity. So over any time T, starts are limited to
            ``starts_s * (T + BURST_S)``, or one task per bucket if that is
            more, plus one job per bucket.
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
