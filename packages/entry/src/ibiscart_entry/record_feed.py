"""
ibiscart_entry.record_feed
~~~~~~~~~~~~~~~~~~~~~~~~~~

Hands applied records to the parts of a process that follow them.
"""

import trio

__all__ = ["RecordFeed"]

# a part that lags by more reads the ledger instead, which holds the effect of all records
SUBSCRIBER_RECORDS = 1024


class RecordFeed:
    """Channels of applied ``Record`` messages; ``metrics`` counts those that were dropped."""

    def __init__(self, metrics):
        self._metrics = metrics
        self._subscribers = []

    def subscribe(self):
        """Returns a channel that receives each published record."""
        send, receive = trio.open_memory_channel(SUBSCRIBER_RECORDS)
        self._subscribers.append(send)
        return receive

    def publish(self, record):
        """Gives a record to all channels that have room for it."""
        for send in list(self._subscribers):
            try:
                send.send_nowait(record)
            except trio.WouldBlock:
                self._metrics.count("dropped", "journal_subscriber")
            except trio.BrokenResourceError:
                self._subscribers.remove(send)
