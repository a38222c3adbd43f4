"""Discrete-event simulation of admission and placement.

Three entries and eleven agents with eight slots each exchange messages that
take 0.5 ms one way. There is no network and there are no processes: the
figures of such a trial compare policies, but don't measure the product.
"""

import collections
import heapq
import itertools
import random
import types

from trefoilgw import admission
from trefoilgw import placement

MESSAGE_DELAY_S = 0.0005
AGENTS = [f"a{number:02}" for number in range(11)]
ENTRIES = ["e0", "e1", "e2"]
SLOTS = 8
REPORT_INTERVAL_S = 0.5
MEAN_RUN_S = 0.97 * 0.525 + 0.03 * 3.5
CAPACITY_TASKS_S = len(AGENTS) * SLOTS / MEAN_RUN_S


def sample_run_time_s(rng: random.Random) -> float:
    """Draws a task's run time: 50 ms to 1 s, or 2 to 5 s for 3% of them."""
    long = rng.random() < 0.03
    return rng.uniform(2.0, 5.0) if long else rng.uniform(0.05, 1.0)


class _Agent:
    """An agent that runs batches by the rules of the package `slots`.

    In a trial of a baseline policy, tasks beyond the slots wait in its queue.
    """

    def __init__(self, trial, name):
        self.trial, self.name, self.busy = trial, name, 0
        self.batches, self.queue = [], collections.deque()

    def run_batch(self, batch):
        for other in self.batches:
            other.overtaken |= other.entry is batch.entry
        self.batches.append(batch)
        if self.trial.baseline:
            self.queue.extend((batch, run_s) for run_s in batch.queue)
            batch.queue, batch.credits = (), 0
        self.start(batch)

    def start(self, batch):
        while self.queue and self.busy < SLOTS:
            self.start_task(*self.queue.popleft())
        while batch.queue and batch.running < batch.limit:
            self.start_task(batch, batch.queue.pop())

    def start_task(self, batch, run_s):
        self.busy += 1
        batch.running += 1
        self.trial.after(run_s, self.finished, batch, run_s)

    def finished(self, batch, run_s):
        self.busy -= 1
        batch.running -= 1
        batch.runs.append(run_s)
        self.start(batch)
        if len(batch.runs) < batch.tasks:
            self.return_idle(batch)
            return
        self.batches.remove(batch)
        credits = batch.credits
        for other in self.batches:
            if other.entry is batch.entry and not self.trial.baseline:
                credits += other.credits - other.running
                other.credits = other.running
        self.trial.send("done", batch.entry.done, batch, credits)

    def resize(self, batch, limit):
        batch.limit = min(limit, batch.limit)
        self.return_idle(batch)

    def return_idle(self, batch):
        """Returns idle credits of a batch that has not ended.

        Credits are idle after a resize, or once the batch has no further tasks
        to start. The latter go back early only if a later batch of the same
        entry has arrived and at least half of the batch's credits are idle.
        """
        idle = max(0, batch.credits - batch.running)
        early = batch.overtaken and 2 * idle >= batch.credits
        if idle and batch in self.batches and (batch.queue or early):
            batch.credits -= idle
            self.trial.send("grant", batch.entry.granted, self.name, idle)


class _Entry:
    """An entry with its admission, its placement and its lending of credits."""

    def __init__(self, trial, index):
        self.trial, self.name = trial, ENTRIES[index]
        self.admission = admission.Admission()
        self.admission.configure(trial.configuration, 0.0)
        rng = random.Random(f"{trial.seed}/{index}")
        self.placement = placement.Placement(
            rng, self.name, f"d{index}", trial.policy
        )
        self.jobs, self.batches = {}, collections.defaultdict(list)

    def arrive(self, job):
        now_s = self.trial.now_s
        flow = (self.trial.owners[job.kind], job.kind, "s")
        times = (now_s, now_s + 30.0, self.placement.run_time_s(job.kind))
        sizes = (len(job.runs), 1.0, "")
        item = admission.WorkItem(job.key, *flow, *sizes, *times)
        self.trial.offered[job.kind] += 1
        if isinstance(self.admission.offer(item, now_s), admission.Queued):
            self.jobs[job.key] = job
            self.dispatch_waiting()

    def dispatch_waiting(self):
        now_s, trial = self.trial.now_s, self.trial
        while loan := self.placement.lend_deferred(
            now_s, self.admission.waiting("s")
        ):
            trial.send("lend", trial.entries[loan[0]].lent, loan[1], self)
        while step := self.admission.next(
            self.placement.free("s"), self.placement.total("s"), now_s, "s"
        ):
            if isinstance(step, admission.Dropped):
                del self.jobs[step.job]
            else:
                self.send_batches(self.jobs[step.job], step, now_s)
        if not (waiting := self.admission.waiting("s")) or trial.baseline:
            return
        peers = {name: 0 for name in ENTRIES if name != self.name}
        ask = self.placement.next_ask(now_s, peers, waiting)
        if ask is not None:
            peer = trial.entries[ask.entry]
            trial.send("ask", peer.asked, self, ask.credits)
        for item in self.admission.reclaim(now_s):
            self.resize(item.job, item.credits)

    def send_batches(self, job, grant, now_s):
        spent = sent = 0
        for part in self.placement.place(
            "s", grant.tasks, grant.credits, (), now_s, job.kind
        ):
            end = job.placed + part.tasks
            concurrency = part.concurrency
            batch = types.SimpleNamespace(
                entry=self,
                agent=self.trial.agents[part.agent],
                job=job,
                queue=job.runs[job.placed : end],
                tasks=part.tasks,
                runs=[],
                credits=concurrency,
                spent=concurrency,
                limit=concurrency,
                running=0,
                overtaken=False,
            )
            job.placed = end
            spent, sent = spent + concurrency, sent + part.tasks
            self.batches[job.key].append(batch)
            self.trial.send("run", batch.agent.run_batch, batch)
        self.admission.started(job.key, spent, now_s, sent)

    def resize(self, key, credits):
        for batch in self.batches[key]:
            count = min(credits, batch.limit - 1)
            if count > 0:
                credits -= count
                limit = batch.limit - count
                self.trial.send("resize", batch.agent.resize, batch, limit)

    def done(self, batch, credits):
        job, now_s = batch.job, self.trial.now_s
        self.batches[job.key].remove(batch)
        for run_s in batch.runs:
            self.placement.observe(job.kind, batch.agent.name, run_s)
        self.placement.credits_granted(batch.agent.name, credits)
        mean_s = sum(batch.runs) / len(batch.runs)
        flow = (self.trial.owners[job.kind], job.kind)
        self.admission.finished(*flow, batch.spent, mean_s, now_s, job.key)
        job.done += len(batch.runs)
        if job.done == len(job.runs):
            job.ended_s = now_s
            self.trial.ended.append(job)
            del self.jobs[job.key], self.batches[job.key]
        self.dispatch_waiting()

    def granted(self, agent, credits):
        self.placement.credits_granted(agent, credits)
        self.dispatch_waiting()

    def asked(self, peer, credits):
        if lent := self.placement.lend(credits, peer.name, self.trial.now_s):
            self.trial.send("lend", peer.lent, lent, self)

    def lent(self, lent, peer):
        self.placement.credits_borrowed(lent, peer.name)
        self.dispatch_waiting()


class Trial:
    """A simulated run of entries and agents under a load.

    Attributes:
        now_s: Simulated time in seconds.
        run_scale: Factor on the run times of the tasks.
        baseline: True for every policy but that of credits.
        messages: Number of messages by type.
        offered: Number of offered jobs by kind.
        ended: Jobs of which all tasks ended.
    """

    def __init__(self, configuration, policy, seed=1):
        self.configuration = configuration
        self.owners = {k.name: k.customers[0] for k in configuration.kinds}
        self.policy, self.seed, self.now_s = policy, seed, 0.0
        self.run_scale = 1.0
        self.baseline = policy is not placement.Policy.CREDITS
        self.rngs = {k: random.Random(f"{seed}/{k}") for k in self.owners}
        self.events, self.order, self.ended = [], itertools.count(), []
        self.messages = collections.Counter()
        self.offered = collections.Counter()
        self.agents = {name: _Agent(self, name) for name in AGENTS}
        self.entries = {n: _Entry(self, i) for i, n in enumerate(ENTRIES)}
        for number, name in enumerate(AGENTS):
            for index, entry in enumerate(self.entries.values()):
                entry.placement.agent_joined(
                    name, f"d{number % 3}", ("s",), SLOTS
                )
                remainder = (index + number) % 3 < SLOTS % 3
                entry.placement.credits_granted(name, SLOTS // 3 + remainder)
        if policy is placement.Policy.LEAST_BUSY:
            self._report()

    def after(self, delay_s, call, *args):
        """Schedules a call after a delay in simulated seconds."""
        event = (self.now_s + delay_s, next(self.order), call, args)
        heapq.heappush(self.events, event)

    def send(self, name, call, *args):
        """Counts a message and schedules its delivery.

        Args:
            name: Type of the message.
            call: Function of the receiver.
            *args: Arguments of the function.
        """
        self.messages[name] += 1
        self.after(MESSAGE_DELAY_S, call, *args)

    def load(self, kind, load, until_s, sizes=(1,)):
        """Submits jobs of a kind to random entries as a Poisson process.

        Args:
            kind: Kind of the jobs.
            load: Load as a share of the capacity.
            until_s: Simulated time of the last arrival.
            sizes: Numbers of tasks of a job, drawn with equal probability.
        """
        rng, scale = self.rngs[kind], self.run_scale
        jobs_s = load * CAPACITY_TASKS_S * len(sizes) / sum(sizes)
        gap_s = scale * rng.expovariate(jobs_s)
        runs = [
            scale * sample_run_time_s(rng) for _ in range(rng.choice(sizes))
        ]
        entry = self.entries[rng.choice(ENTRIES)]
        if self.now_s + gap_s < until_s:
            job = types.SimpleNamespace(kind=kind, runs=runs, placed=0, done=0)
            job.key, job.arrived_s = next(self.order), self.now_s + gap_s
            self.after(gap_s, entry.arrive, job)
            self.after(gap_s, self.load, kind, load, until_s, sizes)

    def run(self, until_s):
        """Runs all events up to a simulated time."""
        while self.events and self.events[0][0] <= until_s:
            self.now_s, _, call, args = heapq.heappop(self.events)
            call(*args)

    def _report(self):
        for entry, name in itertools.product(self.entries.values(), AGENTS):
            agent = self.agents[name]
            entry.placement.load_reported(name, agent.busy + len(agent.queue))
        self.after(REPORT_INTERVAL_S, self._report)
