"""Gossip messages between gateways, as datagrams on real sockets."""

from __future__ import annotations

import asyncio
import socket

from mapleshunt.net.counters import Counters
from mapleshunt.net.gossip_transport import MAX_DATAGRAM_BYTES, GossipTransport


def test_peers_are_known_by_address_and_messages_are_bounded() -> None:
    async def run() -> None:
        names = ("peer", "broadcast", "unknown")
        peer, broadcast, unknown = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in names)
        for sock in (peer, broadcast, unknown):
            sock.bind(("127.0.0.1", 0))
            sock.settimeout(10)
        messages: list[tuple[int, str]] = []
        broadcast_address = broadcast.getsockname()
        counters = Counters()
        addresses = [("127.0.0.1", 1), peer.getsockname()]
        transport = GossipTransport(
            ("127.0.0.1", 0), addresses, broadcast_address, lambda *m: messages.append(m), counters
        )
        transport.send(1, "x" * MAX_DATAGRAM_BYTES)
        transport.send(-1, "all")
        # A longer datagram violates the protocol: it is never sent.
        transport.send(1, "x" * (MAX_DATAGRAM_BYTES + 1))
        transport.send(2, "nobody")
        assert peer.recv(1000) == b"x" * MAX_DATAGRAM_BYTES and broadcast.recv(1000) == b"all"
        own_address = transport.socket.getsockname()
        for sender, data in (
            (unknown, b"odd"),
            (peer, b"\xff"),
            (peer, b"y" * (MAX_DATAGRAM_BYTES + 1)),
            (peer, b"hi"),
        ):
            sender.sendto(data, own_address)
        while not messages:
            await asyncio.sleep(0)
        assert messages == [(1, "hi")]
        assert counters.counts == {
            "peer_messages_sent": 2,
            "peer_messages_unsendable": 2,
            "peer_messages_strange": 3,
            "peer_messages_heard": 1,
        }
        transport.close()
        for sock in (peer, broadcast, unknown):
            sock.close()

    asyncio.run(run())


def test_last_process_to_bind_receives_and_first_again_after_its_close() -> None:
    async def run() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.bind(("127.0.0.1", 0))
            receivers: list[str] = []

            def transport(name: str, listen: tuple[str, int]) -> GossipTransport:
                addresses = [peer.getsockname()]
                on_message = lambda *_: receivers.append(name)  # noqa: E731
                return GossipTransport(listen, addresses, addresses[0], on_message, Counters(), shared=True)

            async def received_by() -> str:
                peer.sendto(b"hi", shared_address)
                while not receivers:
                    await asyncio.sleep(0)
                return receivers.pop()

            first = transport("first", ("127.0.0.1", 0))
            shared_address = first.socket.getsockname()
            assert await received_by() == "first"
            second = transport("second", shared_address)
            assert [await received_by() for _ in range(9)] == ["second"] * 9
            first.send(0, "still")  # the first process may still send from the same address
            assert peer.recvfrom(99) == (b"still", shared_address)
            second.close()
            assert [await received_by() for _ in range(9)] == ["first"] * 9
            first.close()

    asyncio.run(run())
