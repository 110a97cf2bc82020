"""Loopback addresses and ports that no other process on the machine uses.

A process of a test may still call the address of a process that has exited. On 127.0.0.1 such a
call reaches the next process that gets the same port, which may belong to another test.
"""

import collections
import os
import random
import socket

__all__ = ["LOOPBACK", "free_ports", "loopback_address"]

# ports below the ephemeral ports of the system; the second number is excluded
PORT_RANGE = (20000, 32000)
# ports that were returned last; their users may not listen yet
_RECENT_PORTS = collections.deque(maxlen=4000)


def loopback_address(process_id):
    """Returns the loopback address for a process id; the address is never 127.0.0.1."""
    high, middle, low = process_id >> 16, process_id >> 8, process_id
    return f"127.{1 + high % 255}.{middle % 256}.{low % 256}"


LOOPBACK = loopback_address(os.getpid())


def free_ports(count, host=LOOPBACK):
    """Returns different ports on which no socket listens, none of which was returned lately."""
    ports = []
    rng = random.SystemRandom()
    while len(ports) < count:
        port = rng.randrange(*PORT_RANGE)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        if port not in _RECENT_PORTS:
            _RECENT_PORTS.append(port)
            ports.append(port)
    return ports
