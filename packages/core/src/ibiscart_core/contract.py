"""
ibiscart_core.contract
~~~~~~~~~~~~~~~~~~~~~~

A client account's contract and its reservations.
"""

from ibiscart_core.shape import Shape

__all__ = ["Account", "Guarantee", "Reservation", "ReservationKey"]


class ReservationKey:
    """Identifies one instance of a guaranteed shape."""

    __slots__ = ("account", "guarantee", "index")

    def __init__(self, account, guarantee, index):
        self.account = account
        self.guarantee = guarantee
        self.index = index

    def __eq__(self, other):
        return isinstance(other, ReservationKey) and self.sort_key() == other.sort_key()

    def __hash__(self):
        return hash(self.sort_key())

    def __repr__(self):
        return f"{self.account}/{self.guarantee}/{self.index}"

    @classmethod
    def from_message(cls, message):
        """Builds the key from a ``ReservationKey`` message."""
        return cls(message.account, message.guarantee, message.index)

    def fill(self, message):
        """Writes the key into a ``ReservationKey`` message."""
        message.account = self.account
        message.guarantee = self.guarantee
        message.index = self.index

    def sort_key(self):
        """Returns a key that sorts reservations in the same order in every process."""
        return (self.account, self.guarantee, self.index)


class Reservation:
    """Capacity reserved for one instance of a guaranteed shape.

    ``workers`` has one worker id per member, and is empty while the guarantee is unmet.
    ``job`` is the key of the job that uses the reservation, or None.
    """

    __slots__ = ("job", "key", "shape", "workers")

    def __init__(self, key, shape, workers=()):
        self.key = key
        self.shape = shape
        self.workers = tuple(workers)
        self.job = None


class Guarantee:
    """``count`` instances of a guaranteed shape."""

    __slots__ = ("count", "name", "shape")

    def __init__(self, name, shape, count):
        self.name = name
        self.shape = shape
        self.count = count

    @classmethod
    def from_message(cls, message):
        """Builds the guarantee from a ``Guarantee`` message."""
        return cls(message.name, Shape.from_message(message.shape), message.count)


class Account:
    """A client account: its contract, its jobs by state and its use of burst capacity.

    ``queued`` and ``active`` map job keys to jobs in the order in which they were added.
    ``reservations`` maps (guarantee, index) to reservations.
    """

    __slots__ = (
        "active",
        "burst_accelerators",
        "burst_cpu_millis",
        "contract",
        "guarantees",
        "name",
        "queued",
        "reservations",
    )

    def __init__(self, contract):
        self.name = contract.account
        self.queued = {}
        self.active = {}
        self.reservations = {}
        self.burst_accelerators = 0
        self.burst_cpu_millis = 0
        self.set_contract(contract)

    @property
    def version(self):
        """Version of the current contract."""
        return self.contract.version

    def set_contract(self, contract):
        """Replaces the contract by a ``Contract`` message."""
        self.contract = contract
        self.guarantees = {g.name: Guarantee.from_message(g) for g in contract.guarantees}

    def reservation_keys(self):
        """Returns the keys of all reservations that the contract's guarantees require, in order."""
        return [
            ReservationKey(self.name, guarantee.name, index)
            for guarantee in self.guarantees.values()
            for index in range(guarantee.count)
        ]
