"""
ibiscart_entry.peer
~~~~~~~~~~~~~~~~~~~

Calls and heartbeats among entries, and which of them are live.

A heartbeat and its answer carry the state of both sides, so one exchange per pair and
interval is enough: the entry with the smaller id sends it, the other answers. The other
sends too while no request of the first has arrived for ``PASSIVE_INTERVALS``, so that a
fault in one direction does not separate them. Record pushes carry the same state.
"""

import hmac
import logging
import math

import trio
from google.protobuf.message import DecodeError

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_core.rank import first, ranked
from ibiscart_entry.client import HttpClient, TransportError
from ibiscart_entry.link import PeerLink
from ibiscart_entry.server import Response
from ibiscart_entry.sign import TargetSigns
from ibiscart_schema.generated.peer_pb2 import ErrorBody, Heartbeat

__all__ = ["PeerError", "Peers"]

LOG = logging.getLogger("ibiscart.peer")
PATH_PREFIX = "/peer/"
CONTENT_TYPE = "application/x-protobuf"
ERROR_CONTENT_TYPE = "application/x-protobuf-error"
HEARTBEAT_TIMEOUT_SECONDS = 1.0
PEERS_KEPT = 64
HEARD_KEPT = 256
PUSH = "push"
# one interval for the expected heartbeat and half of one for its delay; below the 2 s after
# which a silent peer counts as dead
PASSIVE_INTERVALS = 1.5


class PeerError(Exception):
    """A call to a peer without a valid answer.

    ``sent`` is False only when no byte of it can have reached the peer.
    """

    def __init__(self, reason, sent):
        super().__init__(f"{reason} (sent={sent})")
        self.reason = reason
        self.sent = sent


class Peers:
    """Other entries by id, from the membership list.

    ``membership`` gives the entries, ``settings`` is a ``PeerSettings`` message and
    ``connect`` maps an address to a client. The owner sets ``position``, a function that
    returns (applied sequence, share epoch), and ``confirmed_age``, which returns the seconds
    since the store confirmed that sequence. ``on_heartbeat`` holds functions that are called
    with (peer id, sequence) after each heartbeat, and ``on_confirmed`` is called with
    (sequence, time) when a peer has answered that the store confirmed its sequence then.
    """

    def __init__(
        self,
        entry_id,
        region,
        membership,
        settings,
        metrics,
        *,
        key=None,
        signs=None,
        connect=HttpClient,
        clock=trio.current_time,
    ):
        self._id = entry_id
        self._region = region
        self._membership = membership
        self._metrics = metrics
        self._key = settings.key if key is None else key
        self._heartbeat_seconds = settings.heartbeat_seconds
        self._silence_seconds = settings.silence_seconds
        self._connect = connect
        self._clock = clock
        self._peers = {}
        self._heard = {}
        self._routes = {}
        self._leaving = False
        self._started = clock()
        self._nursery = None
        self.signs = TargetSigns() if signs is None else signs
        self.position = lambda: (0, 0)
        self.confirmed_age = lambda: math.inf
        self.on_heartbeat = []
        self.on_confirmed = lambda sequence, time: None
        self._headers = [("authorization", f"Bearer {self._key}"), ("x-entry-id", self._id)]
        self.route("heartbeat", Heartbeat, self._take_heartbeat)

    @property
    def entry_id(self):
        """Id of this entry."""
        return self._id

    @property
    def leaving(self):
        """Whether this entry is leaving."""
        return self._leaving

    def set_leaving(self):
        """Marks this entry as leaving; the next heartbeats say so."""
        self._leaving = True

    def live(self):
        """Returns the sorted ids of the entries heard from lately, including this one."""
        now = self._clock()
        ids = [peer.id for peer in self._peers.values() if self._is_live(peer, now)]
        return sorted([self._id, *ids])

    def candidates(self):
        """Returns live entries that are not leaving, or all live ones if all are leaving."""
        now = self._clock()
        ids = [
            peer.id
            for peer in self._peers.values()
            if self._is_live(peer, now) and not (peer.leaving or self._listed_leaving(peer.id))
        ]
        if not ids or not (self._leaving or self._listed_leaving(self._id)):
            ids.append(self._id)
        return sorted(ids)

    def writers(self):
        """Returns the candidates in the order of preference for writing the journal."""
        return ranked(self._region, self.candidates())

    def preferred_writer(self):
        """Returns the id of the entry that should append to the journal."""
        return first(self._region, self.candidates())

    def owner_of(self, key):
        """Returns the id of the entry that is responsible for ``key``."""
        return first(key, self.candidates())

    def silence(self, entry_id):
        """Returns the seconds since a peer was heard, or since the start if it never was."""
        if entry_id == self._id:
            return 0.0
        return self._clock() - self._heard.get(entry_id, self._started)

    def sequence_of(self, entry_id):
        """Returns the journal sequence that a peer last reported."""
        peer = self._peers.get(entry_id)
        return peer.sequence if peer is not None else 0

    def share_epoch_of(self, entry_id):
        """Returns the share epoch that an entry said it has applied, 0 when unknown."""
        peer = self._peers.get(entry_id)
        return 0 if peer is None else peer.share_epoch

    def route(self, path, message_type, handler):
        """Serves ``path`` by ``handler``, an async function (sender id, message) -> message."""
        self._routes[path] = (message_type, handler)

    async def handle(self, request):
        """Answers a request on the peers' interface."""
        given = request.headers.get("authorization", "").removeprefix("Bearer ")
        if not self._key or not hmac.compare_digest(given.encode(), self._key.encode()):
            return _error(IbiscartError(ErrorKind.UNAUTHORIZED, "the peer key does not match"))
        route = self._routes.get(request.path.removeprefix(PATH_PREFIX))
        if route is None or request.method != "POST":
            return _error(IbiscartError(ErrorKind.NOT_FOUND, "no such path"))
        sender = request.headers.get("x-entry-id", "")
        message_type, handler = route
        try:
            message = message_type.FromString(request.body)
        except DecodeError:
            return _error(IbiscartError(ErrorKind.BAD_REQUEST, "malformed message"))
        self._hear(sender)
        try:
            reply = await handler(sender, message)
        except IbiscartError as error:
            return _error(error)
        return Response(200, reply.SerializeToString(), CONTENT_TYPE)

    async def call(self, entry_id, path, message, reply_type, timeout):
        """Sends a message and returns the reply; ``timeout`` is in seconds.

        Raises ``PeerError`` without a valid answer, and the ``IbiscartError`` that the
        peer answered.
        """
        peer = self._peers.get(entry_id)
        if peer is None:
            raise self._failed("unknown_peer", False)
        return await self._request(peer, path, message.SerializeToString(), reply_type, timeout)

    async def _request(self, peer, path, body, reply_type, timeout):
        self._metrics.count("peer_messages", path)
        try:
            response = await peer.client.request(
                "POST", PATH_PREFIX + path, body=body, headers=self._headers, timeout=timeout
            )
        except TransportError as error:
            raise self._failed(error.reason, error.sent) from None
        self._hear(peer.id)
        return self._parse(response, reply_type)

    def broadcast(self, path, message):
        """Sends a message to every live peer in the background; does not block.

        The message type has a field ``state``, which is filled in for each peer.
        """
        now = self._clock()
        # serialized once for all peers
        item = (path, type(message), message.SerializeToString())
        for peer in self._peers.values():
            if self._is_live(peer, now):
                try:
                    peer.send.send_nowait(item)
                except trio.WouldBlock:
                    self._metrics.count("dropped", "broadcast")

    def answer(self, sender, state):
        """Takes the state that a peer sent with a request; returns the answer with the own."""
        self.signs.merge(state.signs)
        self._take_position(sender, state)
        peer = self._peers.get(sender)
        if peer is None:
            return self._state()
        peer.asked = peer.exchanged = self._clock()
        if peer.answered_signs and state.answer != peer.answer:
            self.signs.put_back(sender, peer.answered_signs)
        peer.answered_signs = self.signs.take_new(sender)
        if not peer.answered_signs:
            return self._state()
        peer.answer += 1
        return self._state(signs=peer.answered_signs, answer=peer.answer)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Sends heartbeats and broadcasts until cancelled."""
        self._started = self._clock()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._refresh()
            task_status.started()
            while True:
                with trio.move_on_after(self._heartbeat_seconds):
                    await self._membership.wait_changed()
                self._refresh()

    def _refresh(self):
        wanted = {
            m.id: m.peer_address for m in self._membership.entries()[:PEERS_KEPT] if m.peer_address
        }
        wanted.pop(self._id, None)
        for peer in list(self._peers.values()):
            if wanted.get(peer.id) != peer.address and not self._keep(peer, wanted):
                peer.scope.cancel()
                del self._peers[peer.id]
                self.signs.forget_peer(peer.id)
        for entry_id, address in wanted.items():
            if entry_id not in self._peers:
                peer = PeerLink(entry_id, address, self._connect(address))
                self._peers[entry_id] = peer
                self._nursery.start_soon(self._serve_peer, peer)

    def _keep(self, peer, wanted):
        # a peer that still sends heartbeats is kept when the list has lost it
        return peer.id not in wanted and self._is_live(peer, self._clock())

    async def _serve_peer(self, peer):
        with peer.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_heartbeats, peer)
                nursery.start_soon(self._send_broadcasts, peer)

    async def _send_heartbeats(self, peer):
        while True:
            delay = self._heartbeat_due(peer) - self._clock()
            if delay > 0:
                await trio.sleep(delay)
                continue
            peer.tried = self._clock()
            try:
                await self._exchange(peer, "heartbeat", Heartbeat, b"", peer.tried)
            except (PeerError, IbiscartError) as error:
                LOG.debug("peer: A heartbeat failed.", extra={"peer": peer.id, "cause": str(error)})

    def _heartbeat_due(self, peer):
        interval = self._heartbeat_seconds
        due = max(peer.tried, peer.exchanged) + interval
        if self._id > peer.id:
            return max(due, peer.asked + PASSIVE_INTERVALS * interval)
        if due < self._started or peer.exchanged > peer.tried:
            return due
        # heartbeats to all peers leave together: each separate wake-up costs processor time
        return self._started + math.floor((due - self._started) / interval) * interval

    async def _send_broadcasts(self, peer):
        async for path, message_type, body in peer.receive:
            try:
                await self._exchange(peer, path, message_type, body, self._clock())
            except (PeerError, IbiscartError) as error:
                LOG.info("peer: A push failed.", extra={"peer": peer.id, "cause": str(error)})

    async def _exchange(self, peer, path, message_type, body, start):
        """Sends ``body`` with this entry's state and takes the peer's state from the answer.

        ``start`` is the present time.
        """
        signs = self.signs.take_new(peer.id)
        state = self._state(signs=signs, answer=peer.answer_taken)
        # serialized messages that follow each other are merged by the receiver
        body += (
            state if message_type is Heartbeat else message_type(state=state)
        ).SerializeToString()
        timeout = min(HEARTBEAT_TIMEOUT_SECONDS, self._silence_seconds)
        taken = False
        try:
            reply = await self._request(peer, path, body, Heartbeat, timeout)
            taken = True
        finally:
            if not taken:
                self.signs.put_back(peer.id, signs)
        peer.exchanged = max(peer.exchanged, start)
        peer.answer_taken = reply.answer or peer.answer_taken
        self.signs.merge(reply.signs)
        self._take_position(peer.id, reply)
        if reply.HasField("confirmed_age_ms"):
            # the answer was made after the request, so the store confirmed no earlier than this
            self.on_confirmed(reply.sequence, start - reply.confirmed_age_ms / 1000)

    async def _take_heartbeat(self, sender, message):
        return self.answer(message.entry_id, message)

    def _state(self, **fields):
        sequence, epoch = self.position()
        age = self.confirmed_age()
        if age < math.inf:
            fields["confirmed_age_ms"] = math.ceil(age * 1000)
        return Heartbeat(
            entry_id=self._id, sequence=sequence, leaving=self._leaving, share_epoch=epoch, **fields
        )

    def _take_position(self, entry_id, message):
        peer = self._peers.get(entry_id)
        if peer is None:
            return
        peer.leaving = message.leaving
        peer.sequence = max(peer.sequence, message.sequence)
        peer.share_epoch = max(peer.share_epoch, message.share_epoch)
        for function in self.on_heartbeat:
            function(entry_id, message.sequence)

    def _hear(self, entry_id):
        peer = self._peers.get(entry_id)
        if peer is not None:
            peer.heard = self._clock()
            # kept apart from the peer, because share grants need it after the peer is gone
            self._heard.pop(entry_id, None)
            self._heard[entry_id] = peer.heard
            if len(self._heard) > HEARD_KEPT:
                del self._heard[next(iter(self._heard))]

    def _is_live(self, peer, now):
        return peer.heard is not None and now - peer.heard < self._silence_seconds

    def _listed_leaving(self, entry_id):
        machine = self._membership.machines.get(entry_id)
        return machine is not None and machine.leaving

    def _parse(self, response, reply_type):
        content_type = response.headers.get("content-type", "")
        try:
            if content_type == ERROR_CONTENT_TYPE:
                raise IbiscartError.from_message(ErrorBody.FromString(response.body))
            if response.status == 200 and content_type == CONTENT_TYPE:
                return reply_type.FromString(response.body)
        except (DecodeError, ValueError):
            raise self._failed("malformed", True) from None
        raise self._failed(f"status_{response.status}", True)

    def _failed(self, reason, sent):
        self._metrics.count("peer_errors", reason)
        return PeerError(reason, sent)


def _error(error):
    body = error.to_message().SerializeToString()
    return Response(error.answer.status, body, ERROR_CONTENT_TYPE)
