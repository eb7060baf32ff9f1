"""Tests of closing the listener, with real sockets and forced orders."""

import asyncio
import socket
import unittest

from test_closing_connections import REQUEST, create_relay

from masticdale_gateway import close_listener, listen

BACKLOG = 100
# More steps of the event loop than closing a listener takes.
STEPS = range(16)


class ClosingListenerTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_caller_is_refused_or_answered(self):
        """Guards against resetting a connection that the kernel has accepted.

        Its caller has sent a request and can't tell whether it was executed; a
        refused caller can.
        """
        outcome_by_steps = {}
        for steps in STEPS:
            outcome_by_steps[steps] = await self.outcome_of_call(steps)
        lost = {
            steps: outcome
            for steps, outcome in outcome_by_steps.items()
            if outcome not in ("answered", "refused")
        }
        self.assertEqual(lost, {}, f"all: {outcome_by_steps}")

    async def outcome_of_call(self, steps):
        """Calls some steps of the event loop after the close has begun."""
        relay = create_relay()
        server = await listen(relay, "127.0.0.1", 0, BACKLOG)
        address = server.sockets[0].getsockname()
        closing = asyncio.create_task(close_listener(relay, server))
        for _ in range(steps):
            await asyncio.sleep(0)
        with socket.socket() as caller:
            try:
                caller.connect(address)
            except ConnectionRefusedError:
                await closing
                return "refused"
            caller.sendall(REQUEST)
            await closing
            outcome = await read_outcome(caller)
        relay.abort()
        return outcome


async def read_outcome(caller):
    caller.setblocking(False)
    try:
        async with asyncio.timeout(1.0):
            data = await asyncio.get_running_loop().sock_recv(caller, 1 << 16)
    except (ConnectionError, TimeoutError) as error:
        return type(error).__name__
    return "answered" if data.startswith(b"HTTP/1.1 404") else repr(data)


if __name__ == "__main__":
    unittest.main()
