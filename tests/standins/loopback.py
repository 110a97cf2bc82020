"""Loopback addresses and ports that no other process on the machine uses.

Processes of one test go on calling the address of another that has ended. On 127.0.0.1 such
a call reaches whichever process was given that port next, which may belong to another test.
"""

import os
import random
import socket

__all__ = ["LOOPBACK", "free_ports", "loopback_of"]

# below the ports that the system hands out by itself
PORTS = (20000, 32000)


def loopback_of(process_id):
    """Returns the loopback address of a process; it is never 127.0.0.1."""
    high, middle, low = process_id >> 16, process_id >> 8, process_id
    return f"127.{1 + high % 255}.{middle % 256}.{low % 256}"


LOOPBACK = loopback_of(os.getpid())


def free_ports(count, host=LOOPBACK):
    """Returns port numbers that nothing listens on at this moment."""
    ports = []
    rng = random.SystemRandom()
    while len(ports) < count:
        port = rng.randrange(*PORTS)
        with socket.socket() as item:
            try:
                item.bind((host, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports
