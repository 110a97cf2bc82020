"""
ibiscart_entry.loan
~~~~~~~~~~~~~~~~~~~

Loans of shares between entries.
"""

import trio

from ibiscart_core.error import IbiscartError
from ibiscart_entry.peer import PeerError
from ibiscart_schema.generated.peer_pb2 import ShareLoanReply, ShareLoanRequest

__all__ = ["Loans"]

PATH = "loan"
CALL_SECONDS = 0.5
WANTED_AT_ONCE = 4
KEYS_AT_ONCE = 4
# while nobody has anything to lend, requests for loans become rare
FIRST_RETRY_SECONDS = 0.2
LONGEST_RETRY_SECONDS = 3.0


class Loans:
    """Borrows what this entry lacks, and lends what lies idle here.

    ``arrived`` is called after a loan was added, ``lent`` awaited before one is answered.
    """

    def __init__(self, quotas, peers, metrics, random):
        self._entry_id = quotas.entry_id
        self._shares = quotas.shares
        self._total = quotas.total
        self._peers = peers
        self._metrics = metrics
        self._random = random
        self.arrived = lambda: None
        self.lent = trio.lowlevel.checkpoint
        self._needed = {}
        self._wanted = trio.Event()
        self._lent = {}
        self._asking = set()
        self._refused_until = {}
        peers.route(PATH, ShareLoanRequest, self._lend)

    def need(self, keys):
        """Notes share keys of which a request lacks one."""
        for key in keys:
            if len(self._needed) < KEYS_AT_ONCE:
                self._needed[key] = True
        self._wanted.set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Borrows until cancelled."""
        task_status.started()
        seconds = FIRST_RETRY_SECONDS
        while True:
            await self._wanted.wait()
            self._wanted = trio.Event()
            keys = list(self._needed)
            self._needed.clear()
            got = 0
            for key in keys:
                got += await self.borrow(key)
            if got:
                self.arrived()
                seconds = FIRST_RETRY_SECONDS
            else:
                await trio.sleep(seconds * self._random.uniform(0.5, 1))
                seconds = min(seconds * 2, LONGEST_RETRY_SECONDS)

    async def borrow(self, key, amount=WANTED_AT_ONCE):
        """Asks the peers in turn, first those that lent most; returns the amount.

        Asks nobody while another task asks for the same share, or soon after all refused.
        """
        now = trio.current_time()
        if key in self._asking or self._refused_until.get(key, 0.0) > now:
            return 0
        self._asking.add(key)
        try:
            amount = await self._ask_all(key, amount)
        finally:
            self._asking.discard(key)
        self._refused_until = {k: t for k, t in self._refused_until.items() if t > now}
        if not amount:
            self._refused_until[key] = trio.current_time() + FIRST_RETRY_SECONDS
        return amount

    async def _ask_all(self, key, amount):
        epoch, total = self._shares.epoch, self._total(key)
        live = set(self._peers.live())
        peers = [e for e in self._shares.entries if e != self._entry_id and e in live]
        self._random.shuffle(peers)
        peers.sort(key=lambda peer: -self._lent.get((peer, key.partition("/")[0]), 0))
        for peer in peers:
            lent = await self._ask(peer, key, amount, epoch, total)
            self._lent[(peer, key.partition("/")[0])] = lent
            if lent:
                if self._shares.borrow(key, lent, epoch, total):
                    self._metrics.count("share_loans", "borrowed")
                    return lent
                self._metrics.count("share_loans", "late")
        return 0

    async def _ask(self, peer, key, amount, epoch, total):
        # the quota is part of the key on the wire, because both sides must agree on it
        request = ShareLoanRequest(
            entry_id=self._entry_id, epoch=epoch, key=f"{key}@{total}", amount=amount
        )
        try:
            reply = await self._peers.call(peer, PATH, request, ShareLoanReply, CALL_SECONDS)
        except (PeerError, IbiscartError):
            self._metrics.count("share_loans", "unanswered")
            return 0
        return min(reply.amount, amount)

    async def _lend(self, sender, request):
        key, _, total = request.key.rpartition("@")
        amount = 0
        if total.isdecimal():
            amount = self._shares.lend(key, request.amount, request.epoch, int(total))
        if amount:
            # the borrower may open the connections that this entry keeps idle
            await self.lent()
        self._metrics.count("share_loans", "lent" if amount else "refused")
        return ShareLoanReply(amount=amount)
