"""Tests of sealing a shard for which its standby has acted."""

import asyncio
import unittest

from test_failover import SHARD, FailoverCase, claim

from masticdale_common import ErrorKind
from masticdale_ledger.messages import SealRequest

EPOCH = 1


class SealAfterActingTest(FailoverCase):
    """Guards against a program that gets nearly twice its budget.

    A standby acts while the store is down. The first host that seals it fails
    to claim the shard; the second must not get the copy from before the
    failover.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.store.faults.down = True
        await self.failover.fail_over(SHARD)
        await asyncio.sleep(0.05)
        self.assertIsNone(await self.admit(claim("r1")))
        self.assertIsNone(await self.admit(claim("r2", "new")))

    def seal(self):
        """Seals the shard; returns the accounts that the sealing host gets."""
        reply = self.failover.seal(SealRequest(SHARD, EPOCH))
        self.assertTrue(reply.held)
        return {state.program_id: state for state in reply.accounts}

    async def test_every_seal_returns_the_accounts_of_the_acting_standby(self):
        first = self.seal()
        self.assertEqual(set(first), {"known", "new"})
        self.assertEqual(first["new"].reserved_tokens, (100,))
        self.assertEqual(self.seal(), first)
        self.assertEqual(self.seal(), first)

    async def test_after_a_seal_no_turn_is_admitted(self):
        self.seal()
        refused = await self.admit(claim("r3", "new"))
        self.assertIs(refused, ErrorKind.NOT_OWNER)
        await self.failover.fail_over(SHARD)
        refused = await self.admit(claim("r3", "new"))
        self.assertIs(refused, ErrorKind.NOT_OWNER)

    async def test_turns_settled_after_a_seal_do_not_change_later_seals(self):
        """The next owner settles them, as it holds their reservations."""
        first = self.seal()
        self.owner.drop(SHARD)
        self.assertEqual(self.seal(), first)

    async def test_its_own_claim_after_a_seal_keeps_its_accounts(self):
        """Guards against 402 for programs that count as half spent.

        A host seals the acting standby while the standby's own claim is in
        flight, and the standby's claim wins.
        """
        shard = self.owner.owned()[SHARD]
        sealed = self.seal()
        self.store.faults.down = False
        await self.failover.claim(shard)
        accounts = self.owner.owned()[SHARD].accounts
        self.assertIsNotNone(accounts.get("new"))
        self.assertEqual(accounts.get("new").committed_tokens, 100)
        known = accounts.get("known")
        self.assertEqual(known.spent_tokens, sealed["known"].spent_tokens)


if __name__ == "__main__":
    unittest.main()
