"""
ibiscart_entry.link
~~~~~~~~~~~~~~~~~~~

State that an entry keeps about one peer.
"""

import math

import trio

__all__ = ["PeerLink"]

# outgoing messages kept for a peer that answers slowly; a dropped push is read from the store
BROADCASTS_KEPT = 256


class PeerLink:
    """What this entry knows and sends to one peer."""

    def __init__(self, entry_id, address, client):
        self.id = entry_id
        self.address = address
        self.client = client
        self.heard = None
        self.leaving = False
        self.sequence = 0
        self.share_epoch = 0
        # time of the last request with the peer's state, and of the last exchange either way
        self.asked = -math.inf
        self.exchanged = -math.inf
        self.tried = -math.inf
        # number and signs of the last answer with signs, until it is acknowledged
        self.answer = 0
        self.answered_signs = ()
        self.answer_taken = 0
        self.send, self.receive = trio.open_memory_channel(BROADCASTS_KEPT)
        self.scope = trio.CancelScope()
