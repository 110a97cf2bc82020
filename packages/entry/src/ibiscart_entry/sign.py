"""
ibiscart_entry.sign
~~~~~~~~~~~~~~~~~~~

First-hand and relayed signs about targets: live, leaving, lost or failing.
"""

from ibiscart_schema.generated.peer_pb2 import TargetSign
from ibiscart_schema.generated.types_pb2 import TARGET_LIVE

__all__ = ["TargetSigns"]

TARGETS_KEPT = 4096
SIGNS_PER_MESSAGE = 256


class TargetSigns:
    """Newest sign about each target, merged from this entry and its peers.

    A higher incarnation wins; at the same incarnation the worse state wins, so that the
    entries agree whatever the order of messages. ``changed`` is called with each sign that
    replaces another.
    """

    def __init__(self, changed=lambda sign: None):
        self.changed = changed
        self._signs = {}
        self._fresh = {}

    def state(self, target_id):
        """Returns the ``TargetState`` of a target; live when nothing is known."""
        sign = self._signs.get(target_id)
        return TARGET_LIVE if sign is None else sign.state

    def eligible(self, target_id):
        """Tells whether a target may get new work."""
        return self.state(target_id) == TARGET_LIVE

    def report(self, target_id, state, cause):
        """Adds an own observation; returns whether it changed the target's state."""
        known = self._signs.get(target_id)
        if state == (TARGET_LIVE if known is None else known.state):
            return False
        incarnation = 0 if known is None else known.incarnation
        if state == TARGET_LIVE or known is None or state < known.state:
            # only a higher incarnation can take back a worse state
            incarnation += 1
        self._store(
            TargetSign(target_id=target_id, state=state, cause=cause, incarnation=incarnation)
        )
        return True

    def merge(self, signs):
        """Adds signs that a peer sent; newer ones are passed on to other peers."""
        for sign in signs:
            known = self._signs.get(sign.target_id)
            if known is None or _order(sign) > _order(known):
                self._store(sign)

    def take_new(self, peer_id):
        """Returns up to 256 signs that ``peer_id`` has not been sent, and marks them as sent."""
        fresh = self._fresh.get(peer_id)
        if fresh is None:
            fresh = self._fresh[peer_id] = dict.fromkeys(self._signs)
        taken = [target for target, _ in zip(fresh, range(SIGNS_PER_MESSAGE), strict=False)]
        for target in taken:
            del fresh[target]
        return [self._signs[target] for target in taken if target in self._signs]

    def has_new(self, peer_id):
        """Tells whether ``take_new`` would return any sign."""
        return bool(self._fresh.get(peer_id, self._signs))

    def put_back(self, peer_id, signs):
        """Marks signs as not sent after the message that carried them failed."""
        fresh = self._fresh.setdefault(peer_id, {})
        for sign in signs:
            fresh[sign.target_id] = None

    def forget_peer(self, peer_id):
        """Drops what is kept about a peer; a peer that returns is sent all signs."""
        self._fresh.pop(peer_id, None)

    def _store(self, sign):
        self._signs.pop(sign.target_id, None)
        while len(self._signs) >= TARGETS_KEPT:
            oldest = next(iter(self._signs))
            del self._signs[oldest]
            for fresh in self._fresh.values():
                fresh.pop(oldest, None)
        self._signs[sign.target_id] = sign
        for fresh in self._fresh.values():
            fresh[sign.target_id] = None
        self.changed(sign)


def _order(sign):
    return (sign.incarnation, sign.state)
