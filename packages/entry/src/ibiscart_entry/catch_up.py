"""
ibiscart_entry.catch_up
~~~~~~~~~~~~~~~~~~~~~~~

State that an entry takes from another one while the store does not answer.
"""

import logging

from ibiscart_core.error import IbiscartError
from ibiscart_entry.peer import PeerError
from ibiscart_schema.generated.peer_pb2 import CatchUpReply, CatchUpRequest

__all__ = ["CatchUp"]

LOG = logging.getLogger("ibiscart.journal")
PATH = "catch-up"
# an answer carries a whole snapshot
TIMEOUT_SECONDS = 5.0
# those that are furthest ahead; others would add nothing
PEERS_ASKED = 2


class CatchUp:
    """Asks ``peers``, and answers them with what ``reply_to`` returns for a sequence."""

    def __init__(self, peers, reply_to):
        self._peers = peers
        self._reply_to = reply_to
        peers.route(PATH, CatchUpRequest, self._answer)

    async def ask(self, sequence):
        """Returns the ``CatchUpReply`` of an entry for what follows ``sequence``, or None."""
        others = [peer for peer in self._peers.live() if peer != self._peers.entry_id]
        others.sort(key=self._peers.sequence_of, reverse=True)
        request = CatchUpRequest(after_sequence=sequence)
        for peer_id in others[:PEERS_ASKED]:
            try:
                return await self._peers.call(peer_id, PATH, request, CatchUpReply, TIMEOUT_SECONDS)
            except (PeerError, IbiscartError) as error:
                LOG.info("journal: A peer gave no state.", extra={"cause": str(error)})
        return None

    async def _answer(self, sender, request):
        return self._reply_to(request.after_sequence)
