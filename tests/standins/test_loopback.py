"""Tests that other processes cannot reach the addresses of a test."""

import os
import unittest

import trio

from tests.standins.loopback import LOOPBACK, free_ports, loopback_address


class LoopbackTest(unittest.TestCase):
    def test_two_processes_never_share_a_loopback_address(self):
        addresses = {loopback_address(number) for number in range(70_000)}
        self.assertEqual(70_000, len(addresses))
        self.assertNotIn("127.0.0.1", addresses)
        self.assertEqual(loopback_address(os.getpid()), LOOPBACK)

    def test_server_is_unreachable_through_another_address(self):
        # guards against calls from another test to a process that had exited: the calls reached a
        # server on the same port and kept that server open
        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    lambda task_status: trio.serve_tcp(
                        trio.aclose_forcefully, 0, host=LOOPBACK, task_status=task_status
                    )
                )
                port = listeners[0].socket.getsockname()[1]
                with self.assertRaises(OSError):
                    await trio.open_tcp_stream(loopback_address(os.getpid() + 1), port)
                with self.assertRaises(OSError):
                    await trio.open_tcp_stream("127.0.0.1", port)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_no_port_is_returned_for_two_servers(self):
        """Guards against large soaks in which two entries are given one port."""
        ports = [free_ports(3) for _ in range(600)]
        self.assertEqual(1800, len({port for three in ports for port in three}))

    def test_free_ports_are_never_ephemeral_ports(self):
        with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as file:
            first = int(file.read().split()[0])
        self.assertLess(max(free_ports(20)), first)


if __name__ == "__main__":
    unittest.main()
