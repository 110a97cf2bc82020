"""Guards peers against wrong views of who is live, strangers and too many messages."""

import unittest
from itertools import permutations
from unittest import mock

import trio

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_entry.client import HttpClient
from ibiscart_entry.metric import Metrics
from ibiscart_entry.peer import PeerError, Peers
from ibiscart_entry.server import HttpServer, Request
from ibiscart_schema.generated.peer_pb2 import Heartbeat, RecordPush
from ibiscart_schema.generated.settings_pb2 import PeerSettings, ServerSettings
from ibiscart_schema.generated.target_pb2 import VirtualMachine
from ibiscart_schema.generated.types_pb2 import TARGET_LEAVING
from tests.entry.cluster import Cluster, virtual
from tests.entry.journaling import change, now_us
from tests.standins.loopback import LOOPBACK

SETTINGS = PeerSettings(key="secret", heartbeat_seconds=0.1, silence_seconds=5)
SERVER = ServerSettings(
    address=f"{LOOPBACK}:0",
    max_connections=16,
    max_body_bytes=1 << 20,
    header_timeout_seconds=10,
    body_timeout_seconds=10,
)


async def started(nursery, names=("a", "b", "c")):
    cluster = Cluster(nursery, names, workers=0, writes=False)
    await cluster.ready()
    return cluster


class PeerTest(unittest.TestCase):
    @virtual
    async def test_entries_agree_on_live_entries_and_owners(self, nursery):
        """Two owners of one worker would both control it."""
        cluster = await started(nursery)
        peers = [n.peers for n in cluster.nodes.values()]
        self.assertEqual({tuple(p.live()) for p in peers}, {("a", "b", "c")})
        self.assertEqual(len({p.preferred_writer() for p in peers}), 1)
        for number in range(20):
            self.assertEqual(len({p.owner_of(f"worker/{number}") for p in peers}), 1)

    @virtual
    async def test_a_killed_entry_is_not_live_after_two_seconds(self, nursery):
        """Work must move to the next entry soon after a failure."""
        cluster = await started(nursery)
        victim = cluster.preferred.id
        cluster.kill(victim)
        await trio.sleep(2.1)
        for node in cluster.nodes.values():
            self.assertNotIn(victim, node.peers.live())
            self.assertNotEqual(node.peers.preferred_writer(), victim)

    @virtual
    async def test_a_partition_separates_only_its_sides(self, nursery):
        """A view must follow what an entry hears itself, not what others report."""
        cluster = await started(nursery)
        cluster.network.partition({"a"}, {"b"})
        await trio.sleep(3)
        views = {name: n.peers.live() for name, n in cluster.nodes.items()}
        self.assertEqual(views, {"a": ["a", "c"], "b": ["b", "c"], "c": ["a", "b", "c"]})
        cluster.network.heal()
        await trio.sleep(2.2)
        self.assertEqual(cluster.nodes["a"].peers.live(), ["a", "b", "c"])

    @virtual
    async def test_heartbeats_go_on_while_the_list_has_lost_a_peer(self, nursery):
        """A wrong membership list must not separate entries that hear each other."""
        cluster = await started(nursery)
        cluster.members.remove("b")
        await trio.sleep(20)
        self.assertEqual(cluster.nodes["a"].peers.live(), ["a", "b", "c"])

    @virtual
    async def test_a_leaving_entry_is_live_but_not_preferred(self, nursery):
        """A draining entry must not be given new work."""
        cluster = await started(nursery)
        leaving = cluster.preferred
        leaving.peers.set_leaving()
        await trio.sleep(1.2)
        for node in cluster.nodes.values():
            self.assertIn(leaving.id, node.peers.live())
            self.assertNotEqual(node.peers.preferred_writer(), leaving.id)
            self.assertNotEqual(node.peers.owner_of("worker/1"), leaving.id)

    @virtual
    async def test_an_entry_that_the_list_marks_as_leaving_is_not_preferred(self, nursery):
        """All entries, the leaving one too, must agree on the next writer."""
        cluster = await started(nursery)
        leaving = cluster.preferred.id
        machine = cluster.machine(leaving)
        machine.leaving = True
        cluster.members.set_machine(machine)
        await trio.sleep(2.2)
        views = {tuple(n.peers.candidates()) for n in cluster.nodes.values()}
        self.assertEqual(views, {tuple(sorted(set("abc") - {leaving}))})

    @virtual
    async def test_signs_reach_every_peer_with_the_next_heartbeat(self, nursery):
        """A target that leaves must get no new work from any entry within 5 s (P6)."""
        cluster = await started(nursery)
        cluster.nodes["a"].peers.signs.report("w1", TARGET_LEAVING, "answer")
        await trio.sleep(1.1)
        for node in cluster.nodes.values():
            self.assertFalse(node.peers.signs.eligible("w1"))

    @virtual
    async def test_a_sign_survives_a_lost_heartbeat(self, nursery):
        """A sign must not be lost with the message that carried it."""
        cluster = await started(nursery)
        cluster.network.partition({"a"}, {"b", "c"})
        cluster.nodes["a"].peers.signs.report("w1", TARGET_LEAVING, "answer")
        await trio.sleep(3)
        cluster.network.heal()
        await trio.sleep(2.2)
        self.assertFalse(cluster.nodes["b"].peers.signs.eligible("w1"))

    @virtual
    async def test_a_push_replaces_the_heartbeat(self, nursery):
        """Messages between entries count against the bytes allowed per node."""
        cluster = await started(nursery, ("a", "b"))
        a, b = cluster.nodes["a"], cluster.nodes["b"]
        before = a.metrics.value("peer_messages", "heartbeat")
        for number in range(1, 41):
            await a.journal.append(change(number), now_us())
            await trio.sleep(0.5)
        heartbeats = a.metrics.value("peer_messages", "heartbeat") - before
        self.assertLessEqual(heartbeats, 3)
        self.assertEqual(b.peers.live(), ["a", "b"])
        self.assertEqual(b.peers.sequence_of("a"), 40)

    @virtual
    async def test_pushes_hold_back_neither_signs_nor_leaving(self, nursery):
        """A busy writer sends few heartbeats; what only they carry must still arrive (P6)."""
        cluster = await started(nursery, ("a", "b"))
        a, b = cluster.nodes["a"], cluster.nodes["b"]

        async def write():
            for number in range(1, 60):
                await a.journal.append(change(number), now_us())
                await trio.sleep(0.2)

        async with trio.open_nursery() as inner:
            inner.start_soon(write)
            await trio.sleep(3.5)
            a.peers.signs.report("w1", TARGET_LEAVING, "answer")
            await trio.sleep(1.1)
            self.assertFalse(b.peers.signs.eligible("w1"))
            a.peers.set_leaving()
            await trio.sleep(1.1)
            self.assertEqual(b.peers.candidates(), ["b"])

    @virtual
    async def test_one_exchange_per_pair_and_second(self, nursery):
        """Heartbeats in both directions would use most of the bytes allowed per node."""
        cluster = await started(nursery)
        before = sum(cluster.network.messages[pair] for pair in permutations("abc", 2))
        await trio.sleep(20)
        sent = sum(cluster.network.messages[pair] for pair in permutations("abc", 2)) - before
        self.assertLessEqual(sent, 3 * 21)
        self.assertEqual(cluster.network.messages["c", "a"], 1)

    @virtual
    async def test_the_answering_side_sends_when_it_is_not_asked(self, nursery):
        """A fault in one direction must not separate two entries that can talk."""
        cluster = await started(nursery, ("a", "b"))
        # requests of a to b arrive too late; what b asks is answered
        cluster.network.request_delay = lambda sender, address, request: 30 if address == "b" else 0
        for _ in range(50):
            await trio.sleep(0.2)
            self.assertEqual(cluster.nodes["b"].peers.live(), ["a", "b"])
            self.assertEqual(cluster.nodes["a"].peers.live(), ["a", "b"])

    @virtual
    async def test_signs_of_a_lost_answer_are_sent_again(self, nursery):
        """The answering side does not see that its answer was lost (P6)."""
        cluster = await started(nursery, ("a", "b"))
        a, b = cluster.nodes["a"], cluster.nodes["b"]
        cluster.network.blocked.add(("b", "a"))
        b.peers.signs.report("w1", TARGET_LEAVING, "answer")
        await trio.sleep(1.5)
        cluster.network.heal()
        await trio.sleep(2.1)
        self.assertFalse(a.peers.signs.eligible("w1"))

    @virtual
    async def test_a_push_tells_the_share_epoch(self, nursery):
        """Under steady load only pushes are sent, and shares would rise late."""
        cluster = await started(nursery, ("a", "b"))
        a, b = cluster.nodes["a"], cluster.nodes["b"]
        for node, epoch in ((a, 7), (b, 8)):
            node.peers.position = lambda node=node, epoch=epoch: (node.journal.sequence, epoch)
        await a.journal.append(change(1), now_us())
        await trio.sleep(0.01)
        self.assertEqual(b.peers.share_epoch_of("a"), 7)
        self.assertEqual(a.peers.share_epoch_of("b"), 8)

    @virtual
    async def test_a_wrong_key_is_refused(self, nursery):
        """A stranger must not push records or commands."""
        cluster = await started(nursery, ("a",))
        node = cluster.nodes["a"]
        push = RecordPush()
        record = push.records.add(region="alba", sequence=1, token="x")
        record.events.extend(change(1))
        for headers in ({}, {"authorization": "Bearer wrong"}, {"authorization": "Bearer "}):
            headers["x-entry-id"] = "b"
            request = Request("POST", "/peer/push", headers, push.SerializeToString(), "")
            response = await node.peers.handle(request)
            self.assertEqual(response.status, 401)
        self.assertEqual(node.journal.sequence, 0)
        node.peers._key = ""
        request = Request("POST", "/peer/push", {}, push.SerializeToString(), "")
        self.assertEqual((await node.peers.handle(request)).status, 401, "no key is no access")

    @virtual
    async def test_malformed_messages_are_refused(self, nursery):
        """A message of another version must not stop the entry."""
        cluster = await started(nursery, ("a",))
        headers = {"authorization": "Bearer secret", "x-entry-id": "b"}
        for path, body, status in (
            ("/peer/push", b"\xff\xff", 400),
            ("/peer/none", b"", 404),
        ):
            request = Request("POST", path, headers, body, "")
            response = await cluster.nodes["a"].peers.handle(request)
            self.assertEqual(response.status, status)

    @virtual
    async def test_calls_keep_their_deadline_and_pass_on_errors(self, nursery):
        """A peer that hangs must not hold its callers."""
        cluster = await started(nursery, ("a", "b"))
        a, b = cluster.nodes["a"], cluster.nodes["b"]

        async def refuse(sender, message):
            raise IbiscartError(ErrorKind.OVERLOADED, "too much")

        async def hang(sender, message):
            await trio.sleep(60)

        b.peers.route("refuse", Heartbeat, refuse)
        b.peers.route("hang", Heartbeat, hang)
        with self.assertRaises(IbiscartError) as caught:
            await a.peers.call("b", "refuse", Heartbeat(), Heartbeat, 1)
        self.assertIs(caught.exception.kind, ErrorKind.OVERLOADED)
        start = trio.current_time()
        with self.assertRaises(PeerError) as caught:
            await a.peers.call("b", "hang", Heartbeat(), Heartbeat, 0.5)
        self.assertTrue(caught.exception.sent)
        self.assertLess(trio.current_time() - start, 0.6)
        with self.assertRaises(PeerError) as caught:
            await a.peers.call("nobody", "hang", Heartbeat(), Heartbeat, 0.5)
        self.assertFalse(caught.exception.sent)

    def test_over_sockets(self):
        """Headers and bodies must survive HTTP, which the in-process network leaves out."""

        async def main():
            async with trio.open_nursery() as nursery:
                membership = mock.Mock(machines={}, wait_changed=trio.sleep_forever)
                entries = membership.entries.return_value = []
                peers = [
                    Peers(name, "alba", membership, SETTINGS, Metrics(), connect=HttpClient)
                    for name in "ab"
                ]
                for one in peers:
                    server = HttpServer(one.handle, SERVER)
                    address = f"{LOOPBACK}:{await nursery.start(server.serve)}"
                    entries.append(VirtualMachine(id=one.entry_id, peer_address=address))
                peers[0].signs.report("w1", TARGET_LEAVING, "answer")
                with trio.fail_after(20):
                    for one in peers:
                        await nursery.start(one.run)
                    while peers[1].signs.eligible("w1") or peers[0].live() != ["a", "b"]:
                        await trio.sleep(0.01)
                    with self.assertRaises(IbiscartError) as caught:
                        await peers[0].call("b", "none", Heartbeat(), Heartbeat, 10)
                self.assertIs(caught.exception.kind, ErrorKind.NOT_FOUND)
                nursery.cancel_scope.cancel()

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
