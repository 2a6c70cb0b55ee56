"""Messages between gateways, over real datagrams."""

from __future__ import annotations

import asyncio
import socket

from mapleshunt.net.counters import Counters
from mapleshunt.net.gossip_transport import MAX_DATAGRAM_BYTES, GossipTransport


def test_peers_are_known_by_address_and_messages_are_bounded() -> None:
    async def run() -> None:
        names = ("peer", "everyone", "stranger")
        peer, everyone, stranger = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in names)
        for one in (peer, everyone, stranger):
            one.bind(("127.0.0.1", 0))
            one.settimeout(10)
        heard: list[tuple[int, str]] = []
        everyones = everyone.getsockname()
        counters = Counters()
        addresses = [("127.0.0.1", 1), peer.getsockname()]
        peers = GossipTransport(("127.0.0.1", 0), addresses, everyones, lambda *m: heard.append(m), counters)
        peers.send(1, "x" * MAX_DATAGRAM_BYTES)
        peers.send(-1, "all")
        peers.send(
            1, "x" * (MAX_DATAGRAM_BYTES + 1)
        )  # a longer datagram breaks the protocol: it is never sent
        peers.send(2, "nobody")
        assert peer.recv(1000) == b"x" * MAX_DATAGRAM_BYTES and everyone.recv(1000) == b"all"
        here = peers.socket.getsockname()
        for sender, data in (
            (stranger, b"odd"),
            (peer, b"\xff"),
            (peer, b"y" * (MAX_DATAGRAM_BYTES + 1)),
            (peer, b"hi"),
        ):
            sender.sendto(data, here)
        while not heard:
            await asyncio.sleep(0)
        assert heard == [(1, "hi")]
        assert counters.counts == {
            "peer_messages_sent": 2,
            "peer_messages_unsendable": 2,
            "peer_messages_strange": 3,
            "peer_messages_heard": 1,
        }
        peers.close()
        for one in (peer, everyone, stranger):
            one.close()

    asyncio.run(run())


def test_last_process_to_bind_receives_and_first_again_after_its_close() -> None:
    async def run() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.bind(("127.0.0.1", 0))
            heard: list[str] = []

            def process(name: str, listen: tuple[str, int]) -> GossipTransport:
                addresses = [peer.getsockname()]
                say = lambda *_: heard.append(name)  # noqa: E731
                return GossipTransport(listen, addresses, addresses[0], say, Counters(), shared=True)

            async def received_by() -> str:
                peer.sendto(b"hi", here)
                while not heard:
                    await asyncio.sleep(0)
                return heard.pop()

            first = process("first", ("127.0.0.1", 0))
            here = first.socket.getsockname()
            assert await received_by() == "first"
            second = process("second", here)
            assert [await received_by() for _ in range(9)] == ["second"] * 9
            first.send(0, "still")  # it may go on telling by the same address
            assert peer.recvfrom(99) == (b"still", here)
            second.close()
            assert [await received_by() for _ in range(9)] == ["first"] * 9
            first.close()

    asyncio.run(run())
