"""Calls over links that can't be opened."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

import pytest

from soak._relay import Relay, RelayMode

from ...errors import ErrorKind, Refusal
from ...messages import Probe
from ...store.tests.served import run
from .. import Identity, LinkPool

_CALL_TIMEOUT_S = 0.4
_CALLS = 6


async def _timed_call(pool: LinkPool, address: str) -> tuple[object, float]:
    """Return the answer to a call and the time that the call took, in seconds."""
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    answer = await pool.call(address, Probe(), _CALL_TIMEOUT_S)
    return answer, loop.time() - begun_s


def test_calls_to_a_silent_peer_end_within_their_timeout() -> None:
    """Guards against calls that wait for each other's attempts to open a link.

    Six calls with a timeout of 0.4 s took 0.4, 0.8, and so on up to 2.4 s.
    """

    async def work() -> None:
        async with AsyncExitStack() as stack:
            relay = Relay(1)
            relay.set_mode(RelayMode.SILENT)
            server = await asyncio.start_server(
                lambda _reader, _writer: None, "127.0.0.1", 0
            )
            stack.callback(server.close)
            relay.target_port = server.sockets[0].getsockname()[1]
            address = f"127.0.0.1:{await relay.start()}"
            stack.callback(relay.stop)
            pool = LinkPool(Identity("a", ""))
            results = await asyncio.gather(
                *(_timed_call(pool, address) for _ in range(_CALLS))
            )
            kinds = {getattr(answer, "kind", None) for answer, _ in results}
            assert kinds == {ErrorKind.LINK_NOT_OPEN}
            assert max(took_s for _, took_s in results) < 2 * _CALL_TIMEOUT_S
            await pool.close()

    run(work)


@pytest.mark.parametrize("address", ["", "h:99999", "h:abc", "[::1", "a..b:80"])
def test_a_call_to_an_invalid_address_is_refused(address: str) -> None:
    """Guards against an error that ends the task that makes the call."""

    async def work() -> None:
        answer = await LinkPool(Identity("a", "")).call(address, Probe(), 0.4)
        assert isinstance(answer, Refusal)
        assert answer.kind is ErrorKind.LINK_NOT_OPEN

    run(work)
