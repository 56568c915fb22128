"""Ports that stay reserved for processes which a test is about to start."""

from __future__ import annotations

import socket
from itertools import count
from typing import Final

#: Bound sockets that reserve ports; they stay open until this process exits.
_RESERVED: Final[list[socket.socket]] = []


def reserve_port() -> int:
    """Return a loopback port that no process of another test can get.

    The kernel can assign a port that was only seen to be free to another process's
    connection before the intended process listens. A bound socket that doesn't listen
    keeps the kernel from assigning the port, while a server that sets SO_REUSEADDR, as
    the serving programs do, can still listen there, also after a restart.
    """
    return _reserve(0)


def reserve_port_pair() -> int:
    """Return the first of two consecutive reserved ports."""
    for _ in count():
        first = _reserve(0)
        try:
            _reserve(first + 1)
        except OSError:
            # Another process has the next port; the first port stays reserved, unused.
            continue
        return first
    raise AssertionError("count() doesn't end")


def _reserve(port: int) -> int:
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        reservation.bind(("127.0.0.1", port))
    except OSError:
        reservation.close()
        raise
    _RESERVED.append(reservation)
    number: int = reservation.getsockname()[1]
    return number
