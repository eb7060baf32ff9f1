"""Tests of the RPC connections between entry hosts."""

import asyncio
import unittest

from case import free_port
from returns.result import Failure as Failed

from masticdale_common import Metrics
from masticdale_entry.peers import PeerClients
from masticdale_entry.settings import Settings
from masticdale_ledger import LEDGER, ShardMap
from masticdale_ledger.messages import (
    ADMIT,
    AdmitReply,
    AdmitRequest,
    HostAddress,
)
from masticdale_rpc import Address, RpcServer

WAITING_TURNS = 40
# Far longer than a call takes, so that load does not affect the result.
ADMISSION_DELAY_S = 1.0
CALL_TIMEOUT_S = 20.0


class Owner:
    """A shard owner with a slow store; program ``quick`` needs no record."""

    async def admit(self, request):
        if request.program_id != "quick":
            await asyncio.sleep(ADMISSION_DELAY_S)
        return AdmitReply()


class WaitingTurnsTest(unittest.IsolatedAsyncioTestCase):
    async def test_turns_that_wait_leave_connections_to_the_others(self):
        """Guards against a slow store that blocks every program of an owner.

        Forty turns of one host wait for records at the same owner; a turn that
        needs none must not queue behind them for a connection.
        """
        port = free_port()
        address = Address.model_validate({"ip": "127.0.0.1", "port": port})
        server = RpcServer(Owner(), address, LEDGER)
        await server.listen(None)
        settings = Settings.model_validate(
            {
                "host": "host-1",
                "role": "storage",
                "failure_domain": "a",
                "store": "127.0.0.1:1",
                "grace_s": 6,
            }
        )
        peers = PeerClients(ShardMap(), settings, Metrics())
        client = peers.client("127.0.0.1", port)

        def ask(program):
            request = AdmitRequest(
                1, program, f"{program}-0", 100, 10, HostAddress("", 0, "")
            )
            return client.call(ADMIT, request, CALL_TIMEOUT_S)

        waiting = [
            asyncio.create_task(ask(f"p{n}")) for n in range(WAITING_TURNS)
        ]
        await asyncio.sleep(0.05)
        outcome = await ask("quick")
        self.assertNotIsInstance(outcome, Failed)
        self.assertFalse(any(turn.done() for turn in waiting))
        await asyncio.gather(*waiting)
        client.close()
        await server.close(0.0)


if __name__ == "__main__":
    unittest.main()
