"""
ibiscart_core.shape
~~~~~~~~~~~~~~~~~~~

Shape of a gang: the number of members, the resources of each and the scope that contains them.
"""

from functools import lru_cache

from ibiscart_core.resource import Resources
from ibiscart_schema.generated.types_pb2 import Shape as ShapeMessage

__all__ = ["Shape"]

# 5,000 queued jobs have a few dozen distinct shapes; one object per job took several MB
SHAPE_CACHE_SIZE = 1024


class Shape:
    """A gang of ``members`` tasks with the resources ``member`` each in one domain of ``scope``."""

    __slots__ = ("member", "members", "scope")

    def __init__(self, members, member, scope):
        self.members = members
        self.member = member
        self.scope = scope

    @property
    def accelerators(self):
        """Number of accelerators of the whole gang."""
        return self.members * self.member.accelerators

    @property
    def total(self):
        """Resources of the whole gang."""
        return self.member.scaled(self.members)

    def __eq__(self, other):
        return self is other or (isinstance(other, Shape) and self._key() == other._key())

    def __hash__(self):
        return hash(self._key())

    @classmethod
    def from_message(cls, message):
        """Returns the shape of a ``Shape`` message; equal messages share one object."""
        member = message.member
        return _cached_shape(
            message.members,
            member.accelerators,
            member.cpu_millis,
            member.memory_mb,
            message.scope,
        )

    def to_message(self):
        """Returns the shape as a ``Shape`` message."""
        return ShapeMessage(members=self.members, member=self.member.to_message(), scope=self.scope)

    def covers(self, other):
        """Returns True if capacity reserved for this shape fits a gang of shape ``other``."""
        return (
            self.members >= other.members
            and self.member.covers(other.member)
            and self.scope <= other.scope
        )

    def _key(self):
        """Returns the values by which shapes are compared and hashed."""
        return (self.members, self.member, self.scope)


@lru_cache(maxsize=SHAPE_CACHE_SIZE)
def _cached_shape(members, accelerators, cpu_millis, memory_mb, scope):
    """Returns the ``Shape`` of these values, one object for equal calls."""
    return Shape(members, Resources(accelerators, cpu_millis, memory_mb), scope)
