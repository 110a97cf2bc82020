"""
ibiscart_entry.coordination.peer_clients
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP clients of the other entries.
"""

from collections import OrderedDict

__all__ = ["PeerClients"]

# an entry calls the leader, up to 4 entries for a call to the store and up to 8 for the
# configuration; without a bound, it keeps connections to all entries after an outage
MAX_CLIENTS = 16


class PeerClients:
    """Keeps the clients of the entries that were called last; closes those of the others.

    ``connect`` returns a new client for the address of an entry.
    """

    def __init__(self, connect, max_clients=MAX_CLIENTS):
        self._connect = connect
        self._max_clients = max_clients
        self._clients = OrderedDict()

    def client(self, address):
        """Returns the client for the address of an entry."""
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = self._connect(address)
            if len(self._clients) > self._max_clients:
                _, unused = self._clients.popitem(last=False)
                unused.close()
        self._clients.move_to_end(address)
        return client
