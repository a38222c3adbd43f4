"""Measures the decision packages and compares placement policies.

Prints one figure a line as ``name value unit``: first the CPU time per call
and the memory of each package at several sizes, then the results of simulated
trials of the policies (see `policy_trial`). It takes under 30 s. Streams, the
codec and whole entries are not measured here, but by `tools.figures`.
"""

import gc
import random
import time
import tracemalloc
import types
from collections.abc import Callable

from tools import policy_trial
from trefoilgw import admission
from trefoilgw import placement
from trefoilgw import retries
from trefoilgw.membership import heartbeats as heartbeat_monitors
from trefoilgw.membership import outliers as outlier_detectors

CALLS = 2000  # Calls in one round of `per_call_us`.
QUEUED_JOBS = 10_000
KINDS_PER_CUSTOMER = 3
AGENT_COUNTS = (10, 100, 1000)
CUSTOMER_COUNTS = (1, 8, 64)

TRIAL_S = 30.0
FLOOD_S = 15.0
LARGE_JOBS_S = 100.0
SEEDS = (1, 2)
# Share of each kind in the load of interactive jobs, which have one task.
INTERACTIVE_MIX = {"preview": 0.6, "tonal-proof": 0.26, "edge-check": 0.14}
# Load, and numbers of tasks of a job, by the kinds that go on during a flood.
BACKGROUND_LOADS = {
    "preview": (0.25, (1,)),
    "streak-sync": (0.15, tuple(range(1, 13))),
}
# Kind, and numbers of tasks of a job, by flood.
FLOODS = {
    "low": ("reminder-refresh", tuple(range(10, 31))),
    "urgent": ("tonal-proof", tuple(range(1, 9))),
}


def show(name: str, value: float, unit: str) -> None:
    """Prints one figure."""
    print(f"{name} {value:.3f} {unit}", flush=True)


def per_call_us(call: Callable, calls: int = CALLS) -> float:
    """Returns the mean CPU time of a call in the fastest of three rounds.

    Args:
        call: Function to measure. Its argument is the number of the call,
            which grows over all rounds.
        calls: Calls in a round.

    Returns:
        CPU time in microseconds.
    """
    best_s = float("inf")
    for round_number in range(3):
        start_s = time.process_time()
        for number in range(round_number * calls, (round_number + 1) * calls):
            call(number)
        best_s = min(best_s, time.process_time() - start_s)
    return best_s / calls * 1e6


def kept_bytes(build: Callable) -> tuple[object, int]:
    """Returns the result of `build` and the bytes that stay allocated."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, kept


def make_configuration(
    flows: dict[str, tuple[str, float]],
) -> types.SimpleNamespace:
    """Returns a configuration whose quotas are too high to take effect.

    Args:
        flows: Customer and weight by kind.

    Returns:
        An object with the attributes that admission reads.
    """
    make_record = types.SimpleNamespace
    limits = {"weight": 1.0, "starts_s": 1e9, "running_limit_tasks": 10**6}
    owners = sorted({owner for owner, _ in flows.values()})
    return make_record(
        customers=[make_record(name=owner, **limits) for owner in owners],
        kinds=[
            make_record(
                name=kind, service="s", customers=(owner,), weight=weight
            )
            for kind, (owner, weight) in flows.items()
        ],
    )


def make_placement(agents: int) -> placement.Placement:
    """Returns a placement with agents that have 8 free credits each."""
    placer = placement.Placement(random.Random(1), "e0", "d0")
    for number in range(agents):
        name = f"{number:016x}"
        placer.agent_joined(name, f"d{number % 6}", ("s", "t"), 8)
        placer.credits_granted(name, 8)
    return placer


def measure_placement(agents: int) -> None:
    """Prints the cost of placement with a number of agents."""
    placer, kept = kept_bytes(lambda: make_placement(agents))
    names = list(placer.book.states)

    def place_one(_):
        (part,) = placer.place("s", 1, 1, (), 0.0, "k")
        placer.credits_granted(part.agent, 1)

    def place_large(_):
        parts = placer.place("s", 310, 80, (), 0.0, "k")
        for part in parts:
            placer.credits_granted(part.agent, part.concurrency)

    def lend(_):
        placer.credits_borrowed(placer.lend(4), "e1")

    def observe(number):
        placer.observe("k", names[number % agents], 0.4)

    calls = {"place_1_task": place_one, "lend_4": lend, "observe": observe}
    for name, call in calls.items():
        show(f"{name}_agents_{agents}", per_call_us(call), "us")
    show(
        f"place_310_tasks_agents_{agents}", per_call_us(place_large, 200), "us"
    )
    show(f"placement_bytes_agents_{agents}", kept / agents, "B/agent")


def make_admission(customers: int) -> tuple[admission.Admission, list]:
    """Returns an admission with empty queues, and one item per flow."""
    flows = {
        f"c{number}k{kind}": (f"c{number}", 1.0)
        for number in range(customers)
        for kind in range(KINDS_PER_CUSTOMER)
    }
    controller = admission.Admission()
    controller.configure(make_configuration(flows), 0.0)
    items = [
        admission.WorkItem("", owner, kind, "s", 4, 1.0, "", 0.0, 1e9, 0.01)
        for kind, (owner, _) in flows.items()
    ]
    return controller, items


def offer(controller: admission.Admission, item, job: str) -> None:
    """Offers a copy of an item under another job key."""
    fields = {name: getattr(item, name) for name in item.__slots__[:10]}
    controller.offer(admission.WorkItem(**(fields | {"job": job})), 0.0)


def measure_admission(customers: int) -> None:
    """Prints the cost of admission with full queues and free credits."""
    (controller, items), idle = kept_bytes(lambda: make_admission(customers))
    started_s = time.process_time()
    for number in range(QUEUED_JOBS):
        offer(controller, items[number % len(items)], f"job/{number:032x}")
    took_s = time.process_time() - started_s
    show(f"offer_customers_{customers}", took_s / QUEUED_JOBS * 1e6, "us")
    queued = controller.waiting_jobs
    show(f"queued_jobs_customers_{customers}", queued, "jobs")
    granted = []

    def grant(_):
        step = controller.next(500, 1000, 1.0, "s")
        controller.started(step.job, 1, 1.0, 1)
        granted.append(controller.jobs[step.job].item)

    def finish(_):
        item = granted.pop()
        controller.finished(item.customer, item.kind, 1, 0.01, 1.0, item.job)

    show(f"next_started_customers_{customers}", per_call_us(grant, 300), "us")
    reclaim = per_call_us(lambda _: controller.reclaim(1.0), 300)
    show(f"reclaim_customers_{customers}", reclaim, "us")
    show(f"finished_customers_{customers}", per_call_us(finish, 300), "us")
    no_credits_us = per_call_us(
        lambda n: controller.next(0, 1000, 2.0 + n, "s"), 200
    )
    show(f"judge_customers_{customers}", no_credits_us, "us")
    demand_us = per_call_us(lambda n: controller.collect_demand(2.0 + n), 200)
    show(f"demand_customers_{customers}", demand_us, "us")
    flows = customers * KINDS_PER_CUSTOMER
    show(f"admission_bytes_customers_{customers}", idle / flows, "B/flow")


def measure_queue_bytes() -> None:
    """Prints the memory that a waiting job takes in admission."""
    controller, items = make_admission(8)

    def fill():
        for number in range(QUEUED_JOBS // 2):
            offer(controller, items[number % len(items)], f"job/{number:032x}")

    _, kept = kept_bytes(fill)
    show("admission_bytes_waiting", kept / controller.waiting_jobs, "B/job")


def measure_membership(agents: int) -> None:
    """Prints the cost of the heartbeat monitor and the outlier detector."""
    names = [f"{number:016x}" for number in range(agents)]

    def build():
        heartbeats = heartbeat_monitors.HeartbeatMonitor()
        outliers = outlier_detectors.OutlierDetector()
        for number, name in enumerate(names * 30):
            heartbeats.message_received(name, 0.0)
            outliers.observe(name, f"k{number % 3}", number < agents, 0.0)
        return heartbeats, outliers

    (heartbeats, outliers), kept = kept_bytes(build)
    rng = random.Random(1)

    def observe(number):
        failed = rng.random() < 0.02
        outliers.observe(names[number % agents], "k0", failed, 1.0)

    calls = {
        "heard": lambda n: heartbeats.message_received(names[n % agents], 0.5),
        "heartbeat_check": lambda _: heartbeats.check(0.5),
        "outcome_observe": observe,
        "outlier_check": lambda n: outliers.check(1.0 + n / 1e6),
    }
    for name, call in calls.items():
        show(f"{name}_agents_{agents}", per_call_us(call), "us")
    outliers.last_sweep_s = 0.0
    sweep = per_call_us(lambda n: outliers.check(20.0 + 20.0 * n), 3)
    show(f"outlier_sweep_agents_{agents}", sweep, "us")
    show(f"membership_bytes_agents_{agents}", kept / agents, "B/agent")


def measure_retries() -> None:
    """Prints the cost of the retry budget."""
    budget = retries.RetryBudget()
    call = per_call_us(lambda n: budget.allow(f"c{n % 64}", n / 100.0))
    show("retry_allow", call, "us")


def quantile(values: list[float], share: float) -> float:
    """Returns a quantile.

    Args:
        values: Values in any order, at least one.
        share: Share of the values below the quantile, from 0 to 1.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def response_ratios(jobs: list) -> list[float]:
    """Returns the ratio of response time to ideal response time per job.

    The ideal is the time of the longest task, or of the job on all slots of
    the fleet if that is longer, and of two messages.
    """
    credits = policy_trial.SLOTS * len(policy_trial.AGENTS)
    ratios = []
    for job in jobs:
        ideal_s = max(*job.runs, sum(job.runs) / credits)
        ideal_s += 2 * policy_trial.MESSAGE_DELAY_S
        ratios.append((job.ended_s - job.arrived_s) / ideal_s)
    return ratios


def make_trial(policy: str, seed: int) -> policy_trial.Trial:
    """Returns a trial with the kinds of both customers and no load yet."""
    flows = {
        "preview": ("cobre-calco", 1.0),
        "tonal-proof": ("cobre-calco", 1.0),
        "edge-check": ("cobre-calco", 1.0),
        "streak-sync": ("bluebonnet", 4.0),
        "reminder-refresh": ("bluebonnet", 1.0),
    }
    policy = placement.Policy(policy)
    return policy_trial.Trial(make_configuration(flows), policy, seed)


def run_steady_trials(policy: str, load: float) -> None:
    """Prints the results of a policy under a steady load of interactive jobs.

    Jobs that arrive in the first 5 s are left out of the response ratios.

    Args:
        policy: Name of the policy.
        load: Load as a share of the capacity.
    """
    ratios, sent, unmet_asks, refused = [], 0, 0, 0
    for seed in SEEDS:
        trial = make_trial(policy, seed)
        for kind, part in INTERACTIVE_MIX.items():
            trial.load(kind, load * part, TRIAL_S)
        trial.run(TRIAL_S + 40.0)
        jobs = [job for job in trial.ended if job.arrived_s > 5.0]
        ratios += response_ratios(jobs)
        sent += sum(trial.messages.values())
        unmet_asks += trial.messages["ask"] - trial.messages["lend"]
        refused += sum(trial.offered.values()) - len(trial.ended)
    name = f"{policy}_{load * 100:.0f}"
    show(f"trial_p50_{name}", quantile(ratios, 0.5), "ratio")
    show(f"trial_p99_{name}", quantile(ratios, 0.99), "ratio")
    show(f"trial_wasted_{name}", 100.0 * unmet_asks / sent, "%")
    show(f"trial_refused_{name}", refused, "jobs")


def run_large_job_trial(run_scale: float) -> None:
    """Prints the results of jobs of 310 tasks at 50% load.

    Args:
        run_scale: Factor on the run times of the tasks.
    """
    trial = make_trial("credits", SEEDS[0])
    trial.run_scale = run_scale
    trial.load("reminder-refresh", 0.5, LARGE_JOBS_S * run_scale, (310,))
    trial.run(LARGE_JOBS_S * run_scale + 60.0)
    mean_ms = 1000 * policy_trial.MEAN_RUN_S * run_scale
    tasks = sum(len(job.runs) for job in trial.ended)
    sent = sum(trial.messages.values())
    label = f"tasks_of_{mean_ms:.0f}_ms"
    show(f"trial_messages_310_{label}", sent / tasks, "messages/task")
    show(
        f"trial_p50_310_{label}",
        quantile(response_ratios(trial.ended), 0.5),
        "ratio",
    )


def run_flood_trials(name: str, scale: float) -> None:
    """Prints how a flood of 10 times the capacity affects other work.

    Args:
        name: Name of the flood.
        scale: Factor on the load of the other work.
    """
    kind, sizes = FLOODS[name]
    responses: dict[bool, list[float]] = {False: [], True: []}
    for flooded in (False, True):
        for seed in SEEDS:
            trial = make_trial("credits", seed)
            for other, (load, other_sizes) in BACKGROUND_LOADS.items():
                trial.load(other, scale * load, FLOOD_S, other_sizes)
            if flooded:
                trial.load(kind, 10.0, FLOOD_S, sizes)
            trial.run(FLOOD_S + 30.0)
            responses[flooded] += [
                job.ended_s - job.arrived_s
                for job in trial.ended
                if job.kind in BACKGROUND_LOADS
            ]
    load = 100 * scale * sum(load for load, _ in BACKGROUND_LOADS.values())
    kept = 100.0 * len(responses[True]) / len(responses[False])
    show(f"trial_flood_{name}_kept_others_{load:.0f}", kept, "%")
    for share in (0.5, 0.99):
        factor = quantile(responses[True], share)
        factor /= quantile(responses[False], share)
        label = f"trial_flood_{name}_p{share * 100:.0f}_others_{load:.0f}"
        show(label, factor, "factor")


def main() -> None:
    """Prints all measurements and trials."""
    for agents in AGENT_COUNTS:
        measure_placement(agents)
    for customers in CUSTOMER_COUNTS:
        measure_admission(customers)
    measure_queue_bytes()
    for agents in AGENT_COUNTS:
        measure_membership(agents)
    measure_retries()
    for policy in placement.Policy:
        for load in (0.7, 0.85):
            run_steady_trials(policy, load)
    for run_scale in (1.0, 0.057):
        run_large_job_trial(run_scale)
    for name in FLOODS:
        for scale in (1.0, 1.5):
            run_flood_trials(name, scale)


if __name__ == "__main__":
    main()
