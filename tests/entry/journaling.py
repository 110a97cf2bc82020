"""Changes of contracts and entries that follow one journal."""

import trio

from ibiscart_schema.generated.journal_pb2 import Event
from tests.entry.cluster import EPOCH, Cluster

__all__ = ["change", "now_us", "started", "version"]


def change(version, account="labels"):
    """Returns the events of a contract change."""
    event = Event()
    event.contract_changed.contract.account = account
    event.contract_changed.contract.version = version
    return [event]


def now_us():
    return int((EPOCH + trio.current_time()) * 1e6)


def version(node, account="labels"):
    held = node.journal.ledger.accounts.get(account)
    return held.version if held else 0


async def started(nursery, names=("a", "b"), **options):
    cluster = Cluster(nursery, names, workers=0, writes=False, **options)
    await cluster.ready()
    return cluster
