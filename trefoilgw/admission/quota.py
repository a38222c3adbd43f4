"""Token buckets for task starts, shared by a customer's kinds.

A bucket bounds a customer's starts. Inside it, each kind has a part that
other kinds leave alone, so that a flood of one kind doesn't use up the quota
of the customer's other work.
"""

from collections.abc import Mapping

import attrs

# Seconds of quota that a bucket holds.
BURST_S = 1.0
# Seconds of a kind's part of the quota that other kinds leave in the bucket.
# Half of the burst, so that one kind alone can still start a large job.
RESERVED_S = 0.5


@attrs.define
class Bucket:
    """A token bucket that may be overdrawn by one request.

    Attributes:
        rate_s: Tokens that flow in per second.
        limit: Tokens that it holds.
        level: Tokens at `updated_s`; negative after a large request.
        updated_s: Monotonic time of the last change.
    """

    rate_s: float
    limit: float
    level: float
    updated_s: float

    def fill(self, now_s: float) -> None:
        """Adds the tokens that flowed in up to `now_s`."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s > 0.0:
            filled = self.level + elapsed_s * self.rate_s
            self.level = min(self.limit, filled)
            self.updated_s = now_s

    def resize(self, rate_s: float, limit: float, now_s: float) -> None:
        """Changes rate and size from now on."""
        self.fill(now_s)
        self.rate_s = rate_s
        self.limit = limit
        self.level = min(limit, self.level)


@attrs.define
class Quota:
    """Task starts of one customer at this entry.

    Attributes:
        starts_s: The entry's part of the customer's quota.
        total: Bucket of the customer.
        shares: Part of the quota per kind, 0 to 1.
        kinds: Bucket of the reserved part per kind.
    """

    starts_s: float
    total: Bucket
    shares: dict[str, float] = attrs.field(factory=dict)
    kinds: dict[str, Bucket] = attrs.field(factory=dict)

    @classmethod
    def start(
        cls, starts_s: float, shares: Mapping[str, float], now_s: float
    ) -> "Quota":
        """Returns a quota with full buckets."""
        burst = starts_s * BURST_S
        quota = cls(starts_s, Bucket(starts_s, burst, burst, now_s))
        quota.set_shares(shares, now_s)
        return quota

    def set_shares(self, shares: Mapping[str, float], now_s: float) -> None:
        """Sets the kinds and their parts; new kinds start full."""
        self.shares = dict(shares)
        old = self.kinds
        self.kinds = {}
        for kind, share in self.shares.items():
            rate_s = self.starts_s * share
            limit = rate_s * RESERVED_S
            bucket = old.get(kind) or Bucket(rate_s, limit, limit, now_s)
            bucket.resize(rate_s, limit, now_s)
            self.kinds[kind] = bucket

    def set_rate(self, starts_s: float, now_s: float) -> None:
        """Sets the entry's part of the quota."""
        self.starts_s = starts_s
        self.total.resize(starts_s, starts_s * BURST_S, now_s)
        for kind, share in self.shares.items():
            rate_s = starts_s * share
            self.kinds[kind].resize(rate_s, rate_s * RESERVED_S, now_s)

    def take(self, kind: str, tasks: int, now_s: float) -> float:
        """Takes tokens for a job.

        A request larger than what the bucket can hold waits for a full bucket
        and overdraws it, so that a job of 310 tasks can start under any quota.

        Args:
            kind: Kind of the job.
            tasks: Task starts.
            now_s: Monotonic time in seconds.

        Returns:
            0 if the tokens were taken, else the seconds until they could be;
            then nothing was taken.

        Notes:
            Costs O(kinds of the customer). Over any time T the customer's
            starts are at most ``starts_s * (T + BURST_S)`` plus one job.
        """
        self.total.fill(now_s)
        reserved = 0.0
        for name, bucket in self.kinds.items():
            bucket.fill(now_s)
            if name != kind:
                reserved += max(0.0, bucket.level)
        own = self.kinds.get(kind)
        needed = min(tasks, max(1.0, self.total.limit - reserved))
        missing = needed - (self.total.level - reserved)
        if missing > 1e-9:
            return missing / self.starts_s if self.starts_s > 0 else 60.0
        self.total.level -= tasks
        if own is not None:
            own.level = max(-own.limit, own.level - tasks)
        return 0.0
