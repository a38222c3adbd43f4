"""The agent's process: settings, signals and the ready line."""

import argparse
import json
import signal
import sys

from eventlet import hubs

from trefoilgw.agent import core
from trefoilgw.findings import core as findings
from trefoilgw.logs import core as logs
from trefoilgw.settings import core as settings_core

EXIT_CANNOT_START = 2


def run(arguments: list[str] | None = None) -> int:
    """Runs an agent until it exits.

    Args:
        arguments: Command-line arguments; None for those of the process.

    Returns:
        0 after a graceful shutdown, 2 if the settings file has findings or the
        admin address can't be bound.
    """
    parser = argparse.ArgumentParser("trefoilgw-agent")
    parser.add_argument("--settings", required=True, metavar="FILE")
    options = parser.parse_args(arguments)
    settings = settings_core.load_agent(options.settings)
    if not isinstance(settings, settings_core.AgentSettings):
        print(findings.render(settings), file=sys.stderr)
        return EXIT_CANNOT_START
    agent = core.Agent(settings)
    logs.configure("agent", incarnation=agent.incarnation, name=settings.name)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: _leave_soon(agent))
    try:
        agent.start()
    except OSError as error:
        print(f"can't listen: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    ready = {
        "ready": True,
        "agent": settings.name,
        "admin": agent.admin_address,
        "incarnation": agent.incarnation,
    }
    print(json.dumps(ready), flush=True)
    agent.wait()
    return 0


def _leave_soon(agent: core.Agent) -> None:
    """Schedules `Agent.leave` in the event loop.

    A signal may interrupt any statement, so its handler must not call `leave`
    directly.
    """
    hubs.get_hub().schedule_call_global(0, agent.leave)
