"""Settings of a process for the host that it runs on."""

import attrs

# Limits of a host whose settings name none: those of the smallest hosts.
DEFAULT_MEMORY_LIMIT_BYTES = 160 * 1024 * 1024
DEFAULT_DESCRIPTOR_LIMIT = 4096


@attrs.frozen
class HostSettings:
    """Settings of one process on one host.

    Attributes:
        name: Name of the host; a replacement host has another name.
        domain: Failure domain.
        address: IP address of the host.
        stream_port: Port for streams, the same on all hosts.
        seeds: IP addresses of hosts that may run a scheduler.
        callers_address: ``ip:port`` for callers, or empty if the process
            serves none.
        ready_address: ``ip:port`` for readiness checks of the load balancer,
            or empty.
        reports_address: ``ip:port`` for the target's reports, or empty.
        target_address: ``ip:port`` of the target's own interface, or empty.
        store_address: ``ip:port`` of the platform's store.
        lease_limit_s: Longest lease that a target grants to its runs.
        run_stop_s: Longest time that a target takes to stop a run.
        stop_limit_s: Seconds from SIGTERM to SIGKILL.
        memory_limit_bytes: Memory at which the process is ended.
        descriptor_limit: Open descriptors of the process at most.
        unsupported: Features in the settings that are not implemented.
        processors: Cores of usual speed that the process may use, 0 if the
            settings have no sensible figure.
        follows_evacuations: Whether the operators may evacuate failure domains.
        domains: All failure domains, empty if the settings don't list them.
    """

    name: str
    domain: str
    address: str
    stream_port: int
    seeds: tuple[str, ...]
    callers_address: str
    ready_address: str
    reports_address: str
    target_address: str
    store_address: str
    lease_limit_s: float
    run_stop_s: float
    stop_limit_s: float
    memory_limit_bytes: int = DEFAULT_MEMORY_LIMIT_BYTES
    descriptor_limit: int = DEFAULT_DESCRIPTOR_LIMIT
    unsupported: tuple[str, ...] = ()
    processors: float = 1.0
    follows_evacuations: bool = False
    domains: frozenset[str] = frozenset()

    @property
    def stream_address(self) -> str:
        """Address at which this host's scheduler accepts streams."""
        return f"{self.address}:{self.stream_port}"

    def seed_streams(self) -> tuple[str, ...]:
        """Returns the stream addresses of the seeds' schedulers."""
        return tuple(f"{x}:{self.stream_port}" for x in self.seeds)
