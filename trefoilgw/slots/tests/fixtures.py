"""Fixtures: slots with connected entries, and short forms of their actions."""

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


def make_slots(slots=8):
    """Returns slots without connected entries."""
    book = credits.CreditBook(AGENT, slots)
    return slots_core.Slots(ledger_core.Ledger(), book)


def connect(slots, entry, session=1, now_s=0.0):
    """Opens a session and the account of its entry."""
    slots.ledger.session_opened(entry, session, now_s)
    return slots.connect(entry, now_s)


def make_connected_slots(*entries, slots=8):
    """Returns slots shared evenly among connected entries."""
    made = make_slots(slots)
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


def started(emitted):
    return [
        action.ref.index
        for action in emitted
        if isinstance(action, actions.StartTask)
    ]


def summarize(emitted):
    """Returns a short form of the messages in a list of actions.

    `SendDone` becomes ``(batch, fates, credits, final)`` with each fate as
    ``fate reason``, `GrantCredits` becomes ``(letter of the entry, credits)``,
    `StopTask` ``("stop", index)`` and `SendLeaving` ``("leaving", letter)``.
    Actions that start tasks are left out.
    """
    lines = []
    for action in emitted:
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
