"""Slots with connected entries, and short forms of events and actions."""

from trefoilgw.ledger import core as ledger_core
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.slots import actions
from trefoilgw.slots import core as slots_core
from trefoilgw.slots import credits

AGENT = "f" * 16
A = "a" * 16
B = "b" * 16
DONE = outcomes.Completed(b"{}", 0.1)


def empty(slots=8):
    """Returns slots without entries."""
    book = credits.CreditBook(AGENT, slots)
    return slots_core.Slots(ledger_core.Ledger(), book)


def connect(slots, entry, session=1, now_s=0.0):
    """Opens a session and its account."""
    slots.ledger.session_opened(entry, session, now_s)
    return slots.connect(entry, now_s)


def connected(*entries, slots=8):
    """Returns slots that the entries share evenly."""
    made = empty(slots)
    made.set_expected_entries(entries, 0.0)
    for entry in entries:
        connect(made, entry)
    return made


def tasks(count, payload=b"{}"):
    return tuple(messages.TaskSpec(index, payload) for index in range(count))


def batch(number=1, specs=None, concurrency=2, deadline_s=10.0, **fields):
    values = {
        "batch": number,
        "job": f"t1.{number}",
        "customer": "customer",
        "kind": "kind",
        "service": "service",
        "concurrency": concurrency,
        "lender": "",
        "deadline_s": deadline_s,
        "idempotent": True,
        "tasks": tasks(3) if specs is None else specs,
    }
    return messages.RunBatch(**(values | fields))


def run(slots, message, entry=A, session=1, now_s=0.0):
    return slots.run_batch(entry, session, message, now_s)


def finish(slots, index, number=1, fate=DONE, entry=A, now_s=0.0):
    ref = actions.TaskRef(entry, number, index)
    return slots.task_finished(ref, fate, now_s)


def started(found):
    return [
        action.ref.index
        for action in found
        if isinstance(action, actions.StartTask)
    ]


def told(found):
    """Returns what the actions tell, in short.

    An answer becomes (batch, fates, credits, final) with each fate as
    ``fate reason``, a grant (entry's letter, credits).
    """
    lines = []
    for action in found:
        match action:
            case actions.SendDone(message=done):
                fates = {
                    item.index: f"{item.fate} {item.reason}".strip()
                    for item in done.outcomes
                }
                lines.append((done.batch, fates, done.credits, done.final))
            case actions.GrantCredits(entry=entry, credits=count):
                lines.append((entry[0], count))
            case actions.StopTask(ref=ref):
                lines.append(("stop", ref.index))
            case actions.SendLeaving(entry=entry):
                lines.append(("leaving", entry[0]))
    return lines
