"""Fake configuration records and work items for the tests of admission."""

import types

from trefoilgw import admission


def make_customer(name, weight=1.0, starts_s=1e6, running=10**6):
    return types.SimpleNamespace(
        name=name,
        weight=weight,
        starts_s=starts_s,
        running_limit_tasks=running,
        status="active",
    )


def make_kind(name, customers, weight=1.0, service="s"):
    return types.SimpleNamespace(
        name=name,
        service=service,
        customers=customers,
        urgency="normal",
        weight=weight,
        deadline_s=30.0,
        run_time_s=0.4,
        idempotent=False,
    )


def make_configuration(customers, kinds):
    return types.SimpleNamespace(
        customers=tuple(customers), kinds=tuple(kinds), revision=1
    )


def make_item(
    job, customer_name="c", kind_name="k", tasks=1, now_s=0.0, **fields
):
    """Returns a work item; its deadline is 30 s after `now_s` by default."""
    values = {
        "service": "s",
        "weight": 1.0,
        "urgency": "normal",
        "arrived_s": now_s,
        "deadline_s": now_s + 30.0,
        "run_time_s": 0.4,
    }
    values.update(fields)
    return admission.WorkItem(
        job, customer_name, kind_name, tasks=tasks, **values
    )
