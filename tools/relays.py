"""Addresses and cuts of the relays between the hosts of a deployment.

Each relay has a loopback address of its own for one source and one
destination, so that the connections of each pair of hosts can be cut.
"""

import json
import threading

import attrs

from tools import processes

HOSTS_PER_PROCESS = 8


@attrs.define(eq=False)
class Relays:
    """The relays of a deployment.

    Attributes:
        launcher: Starts their processes.
        schedulers: Number of schedulers.
        runners: Number of runners.
        ports: Ports of every host; see `deployments.Deployment.ports`.
        controls: Control address of each relay, by the address that it listens
            on.
        cuts: Modes that are in force at each relay, in the order in which they
            began, with the number of the cut.
    """

    launcher: processes.Launcher
    schedulers: int
    runners: int
    ports: list[int]
    controls: dict[str, str] = attrs.field(factory=dict)
    cuts: dict[str, dict[int, dict]] = attrs.field(factory=dict)
    _cut_count: int = 0
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    # Addresses.

    def target_link(self, number: int) -> str:
        """Returns the address at which a runner reaches its target."""
        return f"127.0.3.{number + 1}:{self.ports[4]}"

    def report_link(self, number: int) -> str:
        """Returns the address at which a target reaches its runner."""
        return f"127.0.4.{number + 1}:{self.ports[3]}"

    def store_link(self, scheduler: int) -> str:
        """Returns the address at which a scheduler reaches the store."""
        return f"127.0.5.{scheduler + 1}:{self.ports[2]}"

    def stream_link(self, source: str, number: int, scheduler: int) -> str:
        """Returns the address at which a program reaches a scheduler.

        Args:
            source: Kind of the program, ``runner`` or ``scheduler``.
            number: Its number.
            scheduler: Number of the scheduler.
        """
        subnet = 1 if source == "scheduler" else 2
        return f"127.{100 + scheduler}.{subnet}.{number + 1}:{self.ports[2]}"

    def runner_links(self, number: int) -> list[str]:
        """Returns the relays of a runner to the schedulers."""
        schedulers = range(self.schedulers)
        return [self.stream_link("runner", number, x) for x in schedulers]

    def scheduler_links(self, number: int) -> list[str]:
        """Returns all relays from and to a scheduler."""
        found = [self.store_link(number)]
        for other in range(self.schedulers):
            if other != number:
                found.append(self.stream_link("scheduler", number, other))
                found.append(self.stream_link("scheduler", other, number))
        for runner in range(self.runners):
            found.append(self.stream_link("runner", runner, number))
        return found

    def either(self, relay: str, destination: str) -> str:
        """Returns the address of a relay, or its destination without it."""
        return relay if relay in self.controls else destination

    # Processes.

    def start(self, hosts: list[dict[str, str]]) -> None:
        """Starts the relays, in one process for every few hosts.

        Args:
            hosts: Destination of each relay, by the relay, of each host.
        """
        for first in range(0, len(hosts), HOSTS_PER_PROCESS):
            relays = {}
            for host in hosts[first : first + HOSTS_PER_PROCESS]:
                relays |= host
            number = first // HOSTS_PER_PROCESS
            process = self.launcher.start(
                f"relay-{number}",
                "tools.standins.relay",
                "--listen",
                f"127.0.6.{number + 1}:{self.ports[5]}",
                *(f"{x}={y}" for x, y in relays.items()),
            )
            control = process.wait_ready()["http"]
            self.controls |= dict.fromkeys(relays, control)

    def redirect(self, destinations: dict[str, str]) -> None:
        """Changes the destinations of relays."""
        with self._lock:
            for address, destination in destinations.items():
                self._apply([address], target=destination)

    # Cuts.

    def cut(self, addresses: list[str], how: str, **options) -> int:
        """Cuts relays; returns the number of the cut for `mend`.

        Args:
            addresses: Addresses of the relays.
            how: Mode of the relays.
            **options: Further fields of the relays' control interface.
        """
        with self._lock:
            self._cut_count += 1
            for address in addresses:
                modes = self.cuts.setdefault(address, {})
                modes[self._cut_count] = {"how": how, **options}
            self._apply(addresses)
            return self._cut_count

    def mend(self, cut: int, abandon: bool = False) -> None:
        """Ends a cut; its relays stay in the mode of the newest other one.

        Args:
            cut: Number of the cut.
            abandon: Whether the open connections stay silent for good.
        """
        with self._lock:
            found = [x for x, modes in self.cuts.items() if cut in modes]
            for address in found:
                del self.cuts[address][cut]
            self._apply(found, abandon=abandon)

    def cut_target(self, number: int, how: str) -> None:
        """Cuts a target from its runner; `open` ends the cut."""
        address = self.target_link(number)
        body = {"listen": [address], "how": how}
        processes.call_control(self.controls[address], "cut", body)

    def _mode(self, address: str) -> dict:
        """Returns the mode of a relay's newest cut."""
        modes = self.cuts.get(address)
        return modes[max(modes)] if modes else {"how": "open"}

    def _apply(self, addresses: list[str], **options) -> None:
        """Sets the relays to the modes of their newest cuts."""
        bodies: dict[tuple[str, str], list[str]] = {}
        for address in addresses:
            body = json.dumps(self._mode(address) | options)
            key = (self.controls[address], body)
            bodies.setdefault(key, []).append(address)
        for (control, body), listen in bodies.items():
            changes = json.loads(body) | {"listen": listen}
            processes.call_control(control, "cut", changes)
