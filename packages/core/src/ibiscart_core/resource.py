"""
ibiscart_core.resource
~~~~~~~~~~~~~~~~~~~~~~

Amounts of accelerators, processors and memory.
"""

from ibiscart_schema.generated.types_pb2 import Resources as ResourcesMessage

__all__ = ["MAX_AMOUNT", "Resources"]

# largest amount of a resource that the ``Resources`` message can hold
MAX_AMOUNT = 2**32 - 1


class Resources:
    """Accelerators, processors in millicores and memory in MB; immutable by convention.

    What is free on a worker may be negative while a job is already placed there and the job
    that it preempts is still stopping.
    """

    __slots__ = ("accelerators", "cpu_millis", "memory_mb")

    def __init__(self, accelerators=0, cpu_millis=0, memory_mb=0):
        self.accelerators = accelerators
        self.cpu_millis = cpu_millis
        self.memory_mb = memory_mb

    def __add__(self, other):
        return Resources(
            self.accelerators + other.accelerators,
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
        )

    def __sub__(self, other):
        return Resources(
            self.accelerators - other.accelerators,
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
        )

    def __eq__(self, other):
        return isinstance(other, Resources) and self._amounts() == other._amounts()

    def __hash__(self):
        return hash(self._amounts())

    def __repr__(self):
        return f"Resources{self._amounts()}"

    @classmethod
    def from_message(cls, message):
        """Builds the amounts from a ``Resources`` message."""
        return cls(message.accelerators, message.cpu_millis, message.memory_mb)

    def to_message(self):
        """Returns the amounts as a ``Resources`` message."""
        return ResourcesMessage(
            accelerators=self.accelerators, cpu_millis=self.cpu_millis, memory_mb=self.memory_mb
        )

    def covers(self, other):
        """Returns True if every amount is at least that of ``other``."""
        return (
            self.accelerators >= other.accelerators
            and self.cpu_millis >= other.cpu_millis
            and self.memory_mb >= other.memory_mb
        )

    def times_within(self, other):
        """Returns how many times this amount fits into ``other``, at most 1024."""
        times = 1024
        for required, available in zip(self._amounts(), other._amounts(), strict=True):
            if available < 0:
                return 0
            if required > 0:
                times = min(times, available // required)
        return times

    def scaled(self, factor):
        """Returns the amounts multiplied by the integer ``factor``."""
        return Resources(
            self.accelerators * factor, self.cpu_millis * factor, self.memory_mb * factor
        )

    def _amounts(self):
        return (self.accelerators, self.cpu_millis, self.memory_mb)
