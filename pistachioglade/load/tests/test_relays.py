"""Loopback addresses for the processes of a cluster."""

from __future__ import annotations

import socket

from .. import free_address


def test_free_addresses_are_unique_and_off_the_host_of_outgoing_connections() -> None:
    addresses = [free_address() for _turn in range(200)]
    assert len(set(addresses)) == len(addresses)
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        socket.create_connection(server.getsockname()) as client,
    ):
        outgoing = client.getsockname()[0]
    assert all(not address.startswith(f"{outgoing}:") for address in addresses)
