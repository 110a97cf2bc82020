"""
ibiscart_cli.commands.status
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The region on one screen.
"""

import click

from ibiscart_cli.session import path_of
from ibiscart_cli.table import columns

__all__ = ["status"]


@click.command(epilog="Example: ibiscart --entry 10.0.0.1:8080 status")
@click.pass_obj
def status(session):
    """Show workers, guarantees, queues, entries and store of the region."""
    value = session.run(session.call, "GET", path_of("status"))
    session.show(value, _lines(value))


def _lines(value):
    workers = value["workers"]
    accelerators = workers["accelerators"]
    guarantees = value["guarantees"]
    store = value["store"]
    states = ", ".join(f"{count} {state}" for state, count in workers["by_state"].items() if count)
    yield f"region       {value['region']} as seen by {value['entry']}"
    if value["unready_cause"]:
        yield f"not ready    {value['unready_cause']}"
    entries = " ".join(value["entries"]) or "none"
    yield f"entries      {entries}; preferred writer {value['preferred_writer'] or 'none'}"
    age = store["confirmed_age_seconds"]
    yield f"store        {store['state']}, position confirmed {age:g} s ago"
    yield f"config       sequence {value['config_sequence']}"
    yield f"workers      {states or 'none'}"
    yield (
        f"accelerators {accelerators['used']} used, {accelerators['reserved']} reserved, "
        f"{accelerators['live']} live of {accelerators['total']}"
    )
    yield (
        f"guarantees   {guarantees['total']}, {guarantees['claimed']} claimed, "
        f"{guarantees['unmet']} unmet"
    )
    for key in guarantees["unmet_keys"]:
        yield f"  unmet      {key}"
    rows = [
        (
            name,
            queue["contract_version"],
            f"{queue['queued_jobs']}/{queue['queue_limit']}",
            queue["active_jobs"],
            queue["burst_accelerators"],
        )
        for name, queue in value["queues"].items()
    ]
    if rows:
        yield ""
        yield from columns(["ACCOUNT", "CONTRACT", "QUEUED", "ACTIVE", "BURST"], rows)
