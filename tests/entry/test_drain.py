"""Guards the shutdown against cutting requests (P7)."""

import os
import signal
import subprocess
import sys
import threading
import time
import unittest
from unittest import mock

import trio
import trio.testing

from ibiscart_entry import drain as drain_module
from ibiscart_entry.client import HttpClient, TransportError
from ibiscart_entry.drain import Drain
from ibiscart_entry.server import HttpServer, Response
from ibiscart_schema.generated.settings_pb2 import DrainSettings, ServerSettings
from tests.standins.loopback import LOOPBACK

LAG_SECONDS = 5.0
# real time without activity before the virtual clock jumps; loopback delivers sooner
AUTOJUMP_SECONDS = 0.005
PROGRAM = """
import trio
from ibiscart_entry.drain import Drain
from ibiscart_entry.server import HttpServer
from ibiscart_entry.signals import hold_signals
from ibiscart_schema.generated.settings_pb2 import DrainSettings
from tests.entry.test_drain import server_settings, slow

async def main():
    async with trio.open_nursery() as nursery:
        server = HttpServer(slow, server_settings())
        await nursery.start(server.serve)
        print("ready", flush=True)
        await Drain(DrainSettings(balancer_lag_seconds=0.1, deadline_seconds=5), server).run()
        nursery.cancel_scope.cancel()

hold_signals()
trio.run(main)
"""


def server_settings():
    return ServerSettings(
        address=f"{LOOPBACK}:0",
        max_connections=200,
        max_body_bytes=4096,
        header_timeout_seconds=10,
        body_timeout_seconds=30,
    )


async def slow(request):
    """Takes the time that the path states in milliseconds."""
    await trio.sleep(int(request.path.strip("/")) / 1000)
    return Response(200, request.path.encode(), "text/plain")


class Balancer:
    """Sends requests until it notices, ``LAG_SECONDS`` after the start of the drain.

    Half of the requests use pooled connections, half a new one each.
    """

    def __init__(self, port):
        self.address = f"{LOOPBACK}:{port}"
        self.pooled = HttpClient(self.address)
        self.noticed_at = float("inf")
        self.answered = 0
        self.failed = []

    async def run(self):
        async with trio.open_nursery() as nursery:
            number = 0
            while trio.current_time() < self.noticed_at - 0.001:
                nursery.start_soon(self.send, number)
                number += 1
                await trio.sleep(0.1)

    async def send(self, number):
        client = self.pooled if number % 2 else HttpClient(self.address)
        target = f"/{(7, 90, 450, 2500)[number % 4]}"
        try:
            response = await client.request("GET", target, timeout=30)
            if response.status == 200 and response.body == target.encode():
                self.answered += 1
            else:
                self.failed.append((number, response.status))
        except TransportError as error:
            self.failed.append((number, error.reason))


class DrainTest(unittest.TestCase):
    def run_virtual(self, main):
        clock = trio.testing.MockClock(autojump_threshold=AUTOJUMP_SECONDS)
        return trio.run(main, clock=clock)

    def shut_down_under_load(self, lag):
        """Returns the balancer and the drain after a shutdown with the given wait."""

        async def main():
            async with trio.open_nursery() as outside:
                async with trio.open_nursery() as process:
                    server = HttpServer(slow, server_settings())
                    port = await process.start(server.serve)
                    balancer = Balancer(port)
                    settings = DrainSettings(balancer_lag_seconds=lag, deadline_seconds=60)
                    drain = Drain(settings, server)
                    outside.start_soon(balancer.run)
                    await trio.sleep(3)
                    balancer.noticed_at = trio.current_time() + LAG_SECONDS
                    await drain.drain()
                    # the process exits here; the balancer goes on
                    process.cancel_scope.cancel()
            return balancer, drain

        return self.run_virtual(main)

    def test_no_request_of_the_balancers_lag_is_cut(self):
        """The balancer sends until it notices; each of these requests must be answered."""
        balancer, drain = self.shut_down_under_load(LAG_SECONDS)
        self.assertEqual(balancer.failed, [])
        self.assertGreaterEqual(balancer.answered, 75)
        self.assertEqual(drain.cut, 0)

    def test_the_wait_is_what_protects_them(self):
        """Without the wait the same load must lose requests, or the test above proves nothing."""
        balancer, _ = self.shut_down_under_load(0)
        self.assertGreater(len(balancer.failed), 10)

    def test_bytes_in_flight_at_the_end_of_the_lag(self):
        """A request sent in the last moment arrives after the listener has closed."""

        async def main():
            async with trio.open_nursery() as nursery:
                server = HttpServer(slow, server_settings())
                port = await nursery.start(server.serve)
                drain = Drain(DrainSettings(balancer_lag_seconds=2, deadline_seconds=30), server)
                pooled = await trio.open_tcp_stream(LOOPBACK, port)
                await pooled.send_all(b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\n")
                self.assertIn(b"200", await pooled.receive_some(1000))
                nursery.start_soon(drain.drain)
                await trio.sleep(1.999)
                fresh = await trio.open_tcp_stream(LOOPBACK, port)
                await trio.sleep(0.1)
                for stream in (pooled, fresh):
                    await stream.send_all(b"GET /700 HTTP/1.1\r\nhost: a\r\n\r\n")
                for stream in (pooled, fresh):
                    answer = await stream.receive_some(1000)
                    self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
                    self.assertIn(b"connection: close", answer)
                nursery.cancel_scope.cancel()

        self.run_virtual(main)

    def test_steps_come_in_order(self):
        """Closing before readiness is off would refuse what the balancer still sends."""

        async def main():
            steps = []
            server = mock.Mock()
            server.requests = 0

            def note(name):
                return lambda: steps.append((name, trio.current_time() - start))

            for name in ("close_connections", "stop_accepting", "close_idle"):
                getattr(server, name).side_effect = note(name)

            async def wait_closed():
                await trio.sleep(3)
                note("closed")()

            server.wait_closed = wait_closed
            settings = DrainSettings(balancer_lag_seconds=5, deadline_seconds=60)
            start = trio.current_time()
            drain = Drain(settings, server, on_start=[note("not_ready"), note("leaving")])
            self.assertFalse(drain.draining)
            await drain.drain()
            self.assertTrue(drain.draining)
            return [(name, round(at, 3)) for name, at in steps]

        self.assertEqual(
            self.run_virtual(main),
            [
                ("not_ready", 0),
                ("leaving", 0),
                ("close_connections", 0),
                ("stop_accepting", 5),
                ("close_idle", 5.5),
                ("closed", 8.5),
            ],
        )

    def test_deadline_bounds_the_wait(self):
        """A request that never ends must not keep the process for ever, and is counted."""

        async def main():
            async with trio.open_nursery() as nursery:
                server = HttpServer(slow, server_settings())
                port = await nursery.start(server.serve)
                drain = Drain(DrainSettings(balancer_lag_seconds=2, deadline_seconds=10), server)
                stream = await trio.open_tcp_stream(LOOPBACK, port)
                await stream.send_all(b"GET /999000 HTTP/1.1\r\nhost: a\r\n\r\n")
                idle = await trio.open_tcp_stream(LOOPBACK, port)
                start = trio.current_time()
                with self.assertLogs("ibiscart.drain", "ERROR"):
                    cut = await drain.drain()
                self.assertEqual(cut, 1)
                self.assertAlmostEqual(trio.current_time() - start, 10, places=2)
                self.assertEqual(await idle.receive_some(10), b"")
                nursery.cancel_scope.cancel()

        self.run_virtual(main)

    def test_idle_entry_ends_after_the_lag(self):
        """Idle pooled connections must not hold the process until the deadline."""

        async def main():
            async with trio.open_nursery() as nursery:
                server = HttpServer(slow, server_settings())
                port = await nursery.start(server.serve)
                streams = [await trio.open_tcp_stream(LOOPBACK, port) for _ in range(5)]
                drain = Drain(DrainSettings(balancer_lag_seconds=2, deadline_seconds=60), server)
                start = trio.current_time()
                await drain.drain()
                nursery.cancel_scope.cancel()
            # settle and linger
            self.assertLessEqual(trio.current_time() - start, 2 + 0.5 + 1 + 0.1)
            for stream in streams:
                await stream.aclose()

        self.run_virtual(main)

    def test_signals(self):
        """The first SIGTERM starts the drain; a second one must not shorten it."""

        async def main():
            server = HttpServer(slow, server_settings())
            settings = DrainSettings(balancer_lag_seconds=0.3, deadline_seconds=5)
            drain = Drain(settings, server)
            with trio.fail_after(10), mock.patch.object(drain_module, "SETTLE_SECONDS", 0.05):
                async with trio.open_nursery() as serving:
                    await serving.start(server.serve)
                    async with trio.open_nursery() as nursery:
                        await nursery.start(drain.run)
                        start = trio.current_time()
                        os.kill(os.getpid(), signal.SIGTERM)
                        await trio.sleep(0.1)
                        self.assertTrue(drain.draining)
                        os.kill(os.getpid(), signal.SIGTERM)
                    self.assertGreaterEqual(trio.current_time() - start, 0.34)
                    serving.cancel_scope.cancel()

        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.addCleanup(signal.pthread_sigmask, signal.SIG_SETMASK, signal.pthread_sigmask(0, ()))
        trio.run(main)

    def test_further_signals_up_to_the_exit_of_a_process_change_nothing(self):
        """A signal after the end of the shutdown ended the process by itself."""
        with subprocess.Popen([sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE) as process:
            self.assertEqual(process.stdout.readline(), b"ready\n")
            process.send_signal(signal.SIGTERM)
            watchdog = threading.Timer(30, process.kill)
            watchdog.start()
            while process.poll() is None:
                for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
                    process.send_signal(number)
                time.sleep(0.001)
            watchdog.cancel()
        self.assertEqual(process.returncode, 0)


if __name__ == "__main__":
    unittest.main()
