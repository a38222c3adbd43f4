"""Carries out the faults of a soak at its processes and connections."""

import contextlib
import random
import shutil
import threading
import time
import uuid
from collections.abc import Callable

import attrs
import urllib3

from tools import deployments
from tools.soak import checks
from tools.soak import plan as soak_plan
from tools.soak.plan import Fault

# Modes of relays in which a connection is cut.
CUT_MODES = (
    "silent",
    "silent-out",
    "silent-in",
    "stall",
    "stall-out",
    "stall-in",
    "reset",
    "refuse",
)
# Delay of each direction of slow connections.
MAX_DELAY_S = 0.7
CLOCK_STEPS_S = (-2.4, 2.4)
MAX_STORE_DELAY_S = 2.5
LOST_STORE_ANSWERS = 6
MUTE_EVERY = (2, 3, 5, 9)
# Fields of reports that come from another writer.
ODD_REPORTS = (
    {"service": "unnamed"},
    {"seq": 10**30},
    {"capacity": {"cpu": 2**53, "memMb": 2**53}},
    {"state": "odd"},
    {"service": 7},
)
UNREADABLE_REPORTS = (
    b"[" * 100_000,
    b'{"seq": 1e999}',
    b"\xed\xa0\x80",
    b"",
)


@attrs.define(eq=False)
class Injector:
    """Carries out faults.

    Attributes:
        deployment: The processes.
        killed_s: Times at which targets had been killed, by number.
        evacuations: Evacuations so far.
        store_faults: Begin and end of the faults that hide the store from all
            schedulers.
        busy: Processes and connections that a fault holds at the moment.
        started_s: Start of the load.
    """

    deployment: deployments.Deployment
    killed_s: dict[int, list[float]] = attrs.field(factory=dict)
    evacuations: list[checks.Evacuation] = attrs.field(factory=list)
    store_faults: list[tuple[float, float]] = attrs.field(factory=list)
    busy: set[str] = attrs.field(factory=set)
    started_s: float = 0.0
    _restarts: int = 0
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def carry_out(self, step: soak_plan.Step) -> None:
        """Carries out one fault, unless one holds what it needs already."""
        names = held_names(step)
        with self._lock:
            if self.busy & names:
                return
            self.busy |= names
        rng = random.Random(step.choice)
        try:
            self.handler(step.fault)(step, rng)
        except urllib3.exceptions.HTTPError as error:
            # Another fault has just ended the process.
            self._log(step, f"left out: {error}")
        finally:
            with self._lock:
                self.busy -= names

    def handler(self, fault: Fault) -> Callable:
        """Returns the method that carries out a kind of fault."""
        if fault in (Fault.TARGET_BACK, Fault.TARGET_LEAVE):
            return self._replace_target
        handlers = {
            "runner": self._disturb_process,
            "target": self._disturb_target,
            "odd": self._report_oddly,
            "scheduler": self._disturb_scheduler,
            "host": self._disturb_host,
            "link": self._cut_link,
            "store": self._disturb_store,
            "domain": self._evacuate,
        }
        return handlers[fault.part]

    def _log(self, step: soak_plan.Step, text: str = "") -> None:
        """Prints what happens."""
        print(
            f"{time.monotonic() - self.started_s:8.3f} {step.fault} "
            f"{step.number} for {step.duration_s:.2f} s {text}",
            flush=True,
        )

    # Processes.

    def _disturb_process(self, step: soak_plan.Step, rng) -> None:
        """Freezes, kills or stops a process."""
        self._log(step)
        name = f"{step.fault.part}-{step.number}"
        process = self.deployment.process(name)
        match step.fault.partition("-")[2]:
            case "freeze":
                process.freeze()
                time.sleep(step.duration_s)
                process.thaw()
            case "kill":
                self._kill(name, step.number)
                time.sleep(step.duration_s)
                self._restart(name, step.number)
            case "stop":
                process.terminate()
                process.wait(10.0)
                self._restart(name, step.number)

    def _kill(self, name: str, number: int) -> None:
        """Kills a process, and waits for its end."""
        process = self.deployment.process(name)
        process.kill()
        process.child.wait()
        if name.startswith("target"):
            ends = self.killed_s.setdefault(number, [])
            ends.append(time.monotonic())

    def _restart(self, name: str, number: int) -> None:
        """Starts a process again, and keeps what it has logged."""
        process = self.deployment.process(name)
        process.wait(5.0)
        with self._lock:
            self._restarts += 1
            kept = process.output.with_suffix(f".{self._restarts}.out")
        shutil.copy(process.output, kept)
        start = {
            "runner": self.deployment.start_runner,
            "scheduler": self.deployment.start_scheduler,
            "target": self.deployment.start_target,
        }
        start[name.partition("-")[0]](number)

    # Targets.

    def _disturb_target(self, step: soak_plan.Step, rng) -> None:
        """Kills a target, cuts it from its runner, or has it misbehave."""
        deployment, number = self.deployment, step.number
        faults = {}
        match step.fault:
            case Fault.TARGET_KILL:
                self._disturb_process(step, rng)
                return
            case fault if fault in soak_plan.CUTS:
                self._log(step)
                how = step.fault.partition("-")[2]
                self._cut([deployment.relay_address(number)], step, how)
                return
            case Fault.TARGET_LATE:
                self._log(step)
                deployment.set_target_faults(
                    number, lose_starts=3, late_s=step.duration_s
                )
                return
            case Fault.TARGET_FAIL:
                faults = {"fail": True}
            case Fault.TARGET_DOWN:
                faults = {"unavailable": True}
            case Fault.TARGET_MUTE:
                faults = {"mute_every": rng.choice(MUTE_EVERY)}
        self._log(step, str(faults))
        deployment.set_target_faults(number, **faults)
        time.sleep(step.duration_s)
        deployment.set_target_faults(number)

    def _replace_target(self, step: soak_plan.Step, rng) -> None:
        """Replaces a target that is cut off, or has deregistered."""
        deployment, number = self.deployment, step.number
        link = [deployment.relay_address(number)]
        leaves = step.fault is Fault.TARGET_LEAVE
        how = rng.choice(("open", *CUT_MODES)) if leaves else "refuse"
        anew = leaves or rng.random() < 0.5
        self._log(step, f"{how}, {'another' if anew else 'same'} instance")
        if leaves:
            deployment.set_target_faults(number, left=True)
            # Another fault may hold the runner.
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                deployment.deregister(number)
        cut = deployment.cut(link, how)
        try:
            time.sleep(step.duration_s * rng.random())
            self._kill(f"target-{number}", number)
            if anew:
                deployment.instances[number] = f"i-{uuid.uuid4().hex[:12]}"
            self._restart(f"target-{number}", number)
            time.sleep(step.duration_s * 0.3 * rng.random())
        finally:
            deployment.mend(cut)

    def _report_oddly(self, step: soak_plan.Step, rng) -> None:
        """Sends reports of another writer to a runner."""
        self._log(step)
        now_ms = int(time.time() * 1000)
        for changes in ODD_REPORTS:
            known = {"seq": 1, "born": now_ms}
            self.deployment.report(step.number, "i-odd", known | changes)
        for body in UNREADABLE_REPORTS:
            self.deployment.post_report(step.number, "i-odd", body)

    # Connections.

    def _cut(
        self, links: list[str], step: soak_plan.Step, how: str, **options
    ) -> None:
        """Cuts relays for the duration of a fault."""
        cut = self.deployment.cut(links, how, **options)
        time.sleep(step.duration_s)
        self.deployment.mend(cut)

    def _host_links(self, step: soak_plan.Step, rng) -> list[str]:
        """Returns a host's relays, with the ones to its target or not."""
        links = self.deployment.runner_links(step.number)
        if rng.random() < 0.5:
            links.append(self.deployment.relay_address(step.number))
            links.append(self.deployment.report_relay_address(step.number))
        return links

    def _disturb_host(self, step: soak_plan.Step, rng) -> None:
        """Cuts off a runner's host, or ends its processes."""
        links = self._host_links(step, rng)
        match step.fault:
            case Fault.HOST_CUT:
                how = rng.choice(CUT_MODES)
                self._log(step, f"{how}, {len(links)} links")
                self._cut(links, step, how)
            case Fault.HOST_DELAY:
                delay_s = rng.uniform(0.02, MAX_DELAY_S)
                self._log(step, f"{delay_s:.3f} s, {len(links)} links")
                self._cut(links, step, "open", delay_s=delay_s)
            case Fault.HOST_RESET:
                self._log(step, f"{len(links)} links")
                deployment = self.deployment
                deployment.mend(deployment.cut(links, "reset"))
            case Fault.HOST_POWER | Fault.HOST_MOVE:
                self._log(step)
                self._power_cycle(step)

    def _power_cycle(self, step: soak_plan.Step) -> None:
        """Ends the processes of a host without a sign to the schedulers."""
        deployment, number = self.deployment, step.number
        links = deployment.runner_links(number)
        links.append(deployment.relay_address(number))
        links.append(deployment.report_relay_address(number))
        cut = deployment.cut(links, "silent")
        try:
            for name in (f"runner-{number}", f"target-{number}"):
                self._kill(name, number)
            time.sleep(step.duration_s)
            if step.fault is Fault.HOST_MOVE:
                deployment.move_runner(number)
        finally:
            deployment.mend(cut, abandon=True)
        self._restart(f"target-{number}", number)
        self._restart(f"runner-{number}", number)

    def _cut_link(self, step: soak_plan.Step, rng) -> None:
        """Cuts a runner from one scheduler."""
        how = rng.choice(CUT_MODES)
        scheduler = rng.randrange(self.deployment.schedulers)
        self._log(step, f"{how}, scheduler {scheduler}")
        link = self.deployment.stream_link("runner", step.number, scheduler)
        self._cut([link], step, how)

    # Schedulers and the store.

    def _disturb_scheduler(self, step: soak_plan.Step, rng) -> None:
        """Cuts off a scheduler, shifts its clock or ends its process."""
        match step.fault:
            case Fault.SCHEDULER_CUT:
                how = rng.choice(CUT_MODES)
                self._log(step, how)
                links = self.deployment.scheduler_links(step.number)
                self._cut(links, step, how)
            case Fault.SCHEDULER_CLOCK:
                shift_s = rng.choice(CLOCK_STEPS_S)
                self._log(step, f"{shift_s} s")
                path = self.deployment.clock_path(f"scheduler-{step.number}")
                path.write_text(str(shift_s))
                time.sleep(step.duration_s)
                path.write_text("0")
            case _:
                self._disturb_process(step, rng)

    def _disturb_store(self, step: soak_plan.Step, rng) -> None:
        """Cuts off the store, slows it down or has it lose answers."""
        faults = {}
        match step.fault:
            case Fault.STORE_CUT:
                how = rng.choice(CUT_MODES)
                self._log(step, how)
                link = self.deployment.store_link(step.number)
                self._cut([link], step, how)
                return
            case Fault.STORE_SLOW:
                faults = {"slow_s": rng.uniform(0.2, MAX_STORE_DELAY_S)}
            case Fault.STORE_LOSE:
                faults = {"lose_answers": LOST_STORE_ANSWERS}
            case Fault.STORE_DOWN:
                faults = {"down": True}
        self._log(step, str(faults))
        begin_s = time.monotonic()
        self.deployment.set_store_faults(**faults)
        time.sleep(step.duration_s)
        self.deployment.set_store_faults()
        if step.fault is not Fault.STORE_LOSE:
            self.store_faults.append((begin_s, time.monotonic()))

    def _evacuate(self, step: soak_plan.Step, rng) -> None:
        """Evacuates a domain until well after all processes must obey."""
        deployment = self.deployment
        domain = deployment.domain(f"runner-{step.number}")
        self._log(step, domain)
        deployment.evacuate(domain)
        written_s = time.monotonic()
        time.sleep(deployments.EVACUATION_LIMIT_MS / 1000 + step.duration_s)
        self.evacuations.append(
            checks.Evacuation(domain, written_s, time.monotonic())
        )
        deployment.take_back(domain)


def held_names(step: soak_plan.Step) -> set[str]:
    """Returns what a fault needs for itself.

    Cuts of connections overlap with each other and with faults of processes.
    """
    fault, number = step.fault, step.number
    if fault in (Fault.HOST_POWER, Fault.HOST_MOVE):
        return {f"runner-{number}", f"target-{number}"}
    if fault is Fault.STORE_CUT:
        return {f"{fault}-{number}"}
    if fault.part == "store":
        return {"store"}
    if fault.part == "domain":
        # Runners share the domains of ten numbers.
        return {f"domain-{number % 10}"}
    cuts = soak_plan.CUTS | {Fault.SCHEDULER_CUT, Fault.SCHEDULER_CLOCK}
    if fault in cuts or fault.part in ("host", "link"):
        return {f"{fault}-{number}"}
    part = "target" if fault.part == "odd" else fault.part
    return {f"{part}-{number}"}
