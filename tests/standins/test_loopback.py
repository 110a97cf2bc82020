"""Tests that the addresses of tests are out of other processes' reach."""

import os
import unittest

import trio

from tests.standins.loopback import LOOPBACK, free_ports, loopback_of


class LoopbackTest(unittest.TestCase):
    def test_processes_have_addresses_of_their_own(self):
        found = {loopback_of(number) for number in range(70_000)}
        self.assertEqual(70_000, len(found))
        self.assertNotIn("127.0.0.1", found)
        self.assertEqual(loopback_of(os.getpid()), LOOPBACK)

    def test_server_is_not_reached_by_the_same_port_of_another_address(self):
        # a call of another test, meant for a process that had ended, held a server open
        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    lambda task_status: trio.serve_tcp(
                        trio.aclose_forcefully, 0, host=LOOPBACK, task_status=task_status
                    )
                )
                port = listeners[0].socket.getsockname()[1]
                with self.assertRaises(OSError):
                    await trio.open_tcp_stream(loopback_of(os.getpid() + 1), port)
                with self.assertRaises(OSError):
                    await trio.open_tcp_stream("127.0.0.1", port)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_free_ports_are_not_those_that_the_system_hands_out(self):
        with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as file:
            first = int(file.read().split()[0])
        self.assertLess(max(free_ports(20)), first)


if __name__ == "__main__":
    unittest.main()
