"""
ibiscart_entry.clock
~~~~~~~~~~~~~~~~~~~~

Clock for the age of confirmations, which grows while the machine is suspended too.
"""

import time

__all__ = ["boot_time"]


def boot_time():
    """Returns the seconds since the machine started; the monotonic clock stops in a suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
