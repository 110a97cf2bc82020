"""Start, signals and end of real entry processes."""

import signal
import socket
import unittest
from contextlib import contextmanager

import trio

from tests.platform.process import RealProcess, run_with_store, settings_document
from tests.standins.loopback import LOOPBACK

SETTINGS = ("listen.front", "listen.readiness", "internalPorts")
# what a process does on either of them is the same
STOPS = (signal.SIGTERM, signal.SIGINT)
# processes of one test that run at a time
CONCURRENT_PROCESSES = 3
DEEP = b"a: " + b"[" * 100_000
ALIASES = b"a0: &a0 [x]\n" + b"".join(
    b"a%d: &a%d [%s]\n" % (n, n, b", ".join([b"*a%d" % (n - 1)] * 9)) for n in range(1, 60)
)
UNREADABLE = {
    "missing": None,
    "empty": b"",
    "not UTF-8": b"node: \xff\xfe",
    "deep": DEEP,
    "aliases": ALIASES + b"node: *a59\n",
    "null bytes": b"node: a\x00b",
    "impossible date": b"node: 2001-99-99",
    "figure of 5,000 digits": b"node: 1" + b"0" * 5000,
    "other type": b"[1, 2]",
}


class ProcessCase(unittest.TestCase):
    def assert_ended(self, process, exit_code, **fields):
        """Checks the one last record of the log, and that nothing else was written."""
        records = process.records("The process ends.")
        self.assertEqual(len(records), 1, process.report())
        last = process.log[-1]
        self.assertEqual(last, records[0])
        self.assertEqual({**last, **fields, "exit_code": exit_code}, last)
        self.assertGreaterEqual(last["uptime_seconds"], 0)
        self.assertNotIn("Traceback", process.errors)


class LogTest(ProcessCase):
    def test_log_tells_start_addresses_signals_and_end(self):
        async def case(store_port):
            document = settings_document(store_port)
            async with RealProcess.running(document) as process:
                await process.wait_ready()
                process.send(signal.SIGHUP)
                await process.wait_record("The settings were read again.")
                process.send(signal.SIGTERM)
                self.assertEqual(await process.wait_exit(), 0, process.report())
                self.assertEqual(process.log[0]["message"], "process: The process starts.")
                bound = process.records("An address is bound.")
                settings = {record["setting"] for record in bound}
                self.assertEqual(settings, {"listen.front", "listen.readiness", "internalPorts"})
                received = [
                    (record["signal"], record["state"])
                    for record in process.records("A signal was received.")
                ]
                self.assertEqual(received, [("SIGHUP", "serving"), ("SIGTERM", "serving")])
                self.assert_ended(process, 0, cause="SIGTERM")
                self.assertEqual(process.errors, "")

        run_with_store(case)

    def test_unusable_settings_are_told_by_message_and_log(self):
        async def case(store_port):
            document = {**settings_document(store_port), "node": 5}
            async with RealProcess.running(document) as process:
                self.assertEqual(await process.wait_exit(), 2, process.report())
                self.assert_ended(process, 2, cause="invalid settings")
                self.assertIn("node is 5", process.errors)

        run_with_store(case)

    def test_process_serves_without_standard_streams(self):
        # a daemon may be started with all of them closed
        async def case(store_port):
            async def check(descriptor):
                document = settings_document(store_port)
                async with RealProcess.running(document, closed=descriptor) as process:
                    await process.wait_ready()
                    if descriptor == "1":
                        self.assertIn("The process has started", process.errors)
                    process.send(signal.SIGTERM)
                    self.assertEqual(await process.wait_exit(), 0, process.errors)

            await run_each(check, [("0",), ("1",), ("2",), ("012",)])

        run_with_store(case)

    def test_missing_libraries_are_told_in_the_log(self):
        async def case(store_port):
            async with RealProcess.running(settings_document(store_port), "-S") as process:
                self.assertEqual(await process.wait_exit(), 1, process.report())
                self.assertIn("cannot be imported", process.log[-1]["cause"])
                self.assertIn("ModuleNotFoundError", process.log[-1]["error"])
                self.assertEqual((len(process.log), process.errors), (1, ""))

        run_with_store(case)


@contextmanager
def occupied(port, kind, store_port):
    """Lets a listener or an outgoing connection use ``port``."""
    with socket.socket() as user:
        # a reset leaves nothing behind that would use the port further
        user.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        user.bind((LOOPBACK, port))
        if kind == "listener":
            user.listen()
        else:
            user.connect((LOOPBACK, store_port))
        yield


def port_of(document, setting):
    """Returns the port of an own address."""
    if setting == "internalPorts":
        return document["internalPorts"][0]
    return int(document["listen"][setting.partition(".")[2]].rpartition(":")[2])


async def run_each(function, cases):
    """Calls ``function`` concurrently for each case."""
    limiter = trio.CapacityLimiter(CONCURRENT_PROCESSES)

    async def run_limited(case):
        async with limiter:
            await function(*case)

    async with trio.open_nursery() as nursery:
        for case in cases:
            nursery.start_soon(run_limited, case)


class AddressInUseTest(ProcessCase):
    def run_while_occupied(self, function):
        """Runs ``function(process, release)`` with each address used in each way."""

        async def case(store_port):
            async def run_one(setting, kind):
                document = settings_document(store_port)
                user = occupied(port_of(document, setting), kind, store_port)
                user.__enter__()
                async with RealProcess.running(document) as process:
                    records = await process.wait_record("An address cannot be bound")
                    self.assertEqual({r["setting"] for r in records}, {setting})
                    self.assertIn("in use", records[0]["cause"])
                    await function(process, lambda: user.__exit__(None, None, None))

            kinds = ("listener", "connection")
            await run_each(run_one, [(s, kind) for s in SETTINGS for kind in kinds])

        run_with_store(case)

    def test_process_becomes_ready_once_the_address_is_free(self):
        async def check(process, release):
            self.assertEqual(process.records("The process has started."), [])
            release()
            await process.wait_ready()
            process.send(signal.SIGTERM)
            self.assertEqual(await process.wait_exit(), 0, process.report())
            self.assert_ended(process, 0, cause="SIGTERM")

        self.run_while_occupied(check)

    def test_process_that_waits_for_an_address_can_be_stopped(self):
        async def check(process, release):
            process.send(signal.SIGTERM)
            self.assertEqual(await process.wait_exit(), 0, process.report())
            self.assert_ended(process, 0, cause="SIGTERM")
            release()

        self.run_while_occupied(check)

    def test_address_that_can_never_be_bound_ends_the_process_with_one_message(self):
        async def case(store_port):
            document = settings_document(store_port)
            # a link-local address has no meaning without an interface
            document["listen"]["front"] = "[fe80::1]:8080"
            async with RealProcess.running(document) as process:
                self.assertEqual(await process.wait_exit(), 2, process.report())
                self.assert_ended(process, 2, cause="address")
                self.assertEqual(len(process.errors.splitlines()), 1)
                self.assertIn("listen.front is '[fe80::1]:8080'", process.errors)

        run_with_store(case)


class SignalInStartTest(ProcessCase):
    # modules that are imported early, in the middle and at the end of the start
    MOMENTS = ("click", "trio", "ibiscart_entry.client", "ibiscart_platform.main")
    IMPORT_TIMES = ("-X", "importtime")

    def test_hangups_during_the_whole_start_do_not_end_it(self):
        async def case(store_port):
            async with RealProcess.running(
                settings_document(store_port), *self.IMPORT_TIMES
            ) as process:
                await process.wait_until(lambda: "click" in process.imports)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.hang_up, process)
                    await process.wait_ready()
                    nursery.cancel_scope.cancel()
                await process.wait_record("A signal was received.", signal="SIGHUP")
                process.send(signal.SIGTERM)
                self.assertEqual(await process.wait_exit(), 0, process.report())
                self.assert_ended(process, 0, cause="SIGTERM")

        run_with_store(case)

    async def hang_up(self, process):
        while True:
            process.send(signal.SIGHUP)
            await trio.sleep(0.001)

    def test_stop_at_any_moment_of_the_start_ends_it_with_exit_code_0(self):
        async def case(store_port):
            async def stop(number, module):
                async with RealProcess.running(
                    settings_document(store_port), *self.IMPORT_TIMES
                ) as process:
                    await process.wait_until(lambda: module in process.imports)
                    process.send(number)
                    self.assertEqual(await process.wait_exit(), 0, process.report())
                    self.assert_ended(process, 0, cause=number.name)

            await run_each(stop, [(n, module) for n in STOPS for module in self.MOMENTS])

        run_with_store(case)

    def test_stop_in_the_start_ends_it_also_if_the_parent_ignored_the_signal(self):
        """Guards against a stop that is lost where a shell starts processes in its background."""

        async def case(store_port):
            async def stop(number, module):
                async with RealProcess.running(
                    settings_document(store_port), *self.IMPORT_TIMES, ignored="HUP INT TERM"
                ) as process:
                    await process.wait_until(lambda: module in process.imports)
                    process.send(number)
                    with trio.move_on_after(20):
                        await process.wait_exit()
                    self.assert_ended(process, 0, cause=number.name)

            await run_each(stop, [(n, module) for n in STOPS for module in self.MOMENTS[:2]])

        run_with_store(case)


class SignalInShutdownTest(ProcessCase):
    def test_further_signals_up_to_the_exit_change_nothing(self):
        async def case(store_port):
            async def stop(first, *further):
                async with RealProcess.running(settings_document(store_port)) as process:
                    await process.wait_ready()
                    process.send(first)
                    await process.wait_record("A signal was received.", signal=first.name)

                    def send_further():
                        for number in further:
                            process.send(number)

                    self.assertEqual(await process.wait_exit(send_further), 0, process.report())
                    self.assert_ended(process, 0, cause=first.name)
                    self.assertEqual(process.errors, "")

            hup, (term, interrupt) = signal.SIGHUP, STOPS
            pairs = [(term, hup), (term, term), (term, interrupt), (interrupt, term)]
            await run_each(stop, [*pairs, (term, hup, term, interrupt)])

        run_with_store(case)

    def test_half_sent_request_is_answered_in_spite_of_further_signals(self):
        async def case(store_port):
            document = settings_document(store_port)
            async with RealProcess.running(document) as process:
                await process.wait_ready()
                stream = await trio.open_tcp_stream(LOOPBACK, port_of(document, "listen.front"))
                await stream.send_all(
                    b"POST /q/ HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n123"
                )
                process.send(signal.SIGTERM)
                await process.wait_record("The shutdown begins.")
                for number in (signal.SIGHUP, *STOPS):
                    process.send(number)
                    await process.wait_record(
                        "A signal was received.", signal=number.name, state="draining"
                    )
                await stream.send_all(b"456789")
                answer = await stream.receive_some(1000)
                self.assertTrue(answer.startswith(b"HTTP/1.1 "), answer)
                self.assertIn(b"connection: close", answer)
                await stream.aclose()
                self.assertEqual(await process.wait_exit(), 0, process.report())
                self.assert_ended(process, 0, cause="SIGTERM")

        run_with_store(case)


class SettingsFileTest(ProcessCase):
    def test_unreadable_file_ends_the_start_with_one_message(self):
        async def case(store_port):
            async def check(name, content):
                async with RealProcess.running(content) as process:
                    self.assertEqual(await process.wait_exit(), 2, (name, process.report()))
                    self.assert_ended(process, 2, cause="invalid settings")
                    self.assertIn(str(process.settings_path), process.errors)

            await run_each(check, UNREADABLE.items())

        run_with_store(case)

    def test_unreadable_file_leaves_the_present_settings_in_force(self):
        async def case(store_port):
            document = settings_document(store_port)
            async with RealProcess.running(document) as process:
                await process.wait_ready()
                for count, content in enumerate(UNREADABLE.values(), start=1):
                    process.write_settings(content)
                    process.send(signal.SIGHUP)
                    await process.wait_record("The new settings are invalid", count=count)
                document["bounds"]["status_s"] = 60
                process.write_settings(document)
                process.send(signal.SIGHUP)
                records = await process.wait_record("The settings were read again.")
                self.assertEqual(records[0]["changed"], ["retention_seconds"])
                process.send(signal.SIGTERM)
                self.assertEqual(await process.wait_exit(), 0, process.report())

        run_with_store(case)


if __name__ == "__main__":
    unittest.main()
