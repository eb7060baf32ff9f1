"""Tests of what a seal returns of a shard that its standby acted for."""

import asyncio
import unittest

from test_failover import SHARD, FailoverCase, claim

from masticdale_common import ErrorKind
from masticdale_ledger.messages import SealRequest

EPOCH = 1


class SealsOfAnActedShardTest(FailoverCase):
    """A program that loops got its budget nearly twice: 2296 of 1176 tokens.

    Its owner is killed and the store is away. The standby acts, also for
    programs that begin there, and gives one of them 588 tokens. The store is
    back. A first host seals the acting standby, gets its accounts and loses the
    race for the shard, or dies. A second host seals it, is given the copy as it
    was before the standby acted, and owns the shard with that.

    Lines: ``copy_sealed`` twice for shard 2, epoch 1, 0.2 s apart;
    ``shard_taken`` with the accounts of the copy (10) and incomplete_for_s 0.0;
    ``budget_spent`` a second later with spent_tokens 0 for the program, and
    counted_from_start true, although ``request`` shows 42 events before.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.store.faults.down = True
        await self.acting.fail_over(SHARD)
        await asyncio.sleep(0.05)
        self.assertIsNone(await self.admit(claim("r1")))
        self.assertIsNone(await self.admit(claim("r2", "new")))

    def seal(self):
        """Returns the accounts that a host gets that takes the shard over."""
        reply = self.acting.seal(SealRequest(SHARD, EPOCH))
        self.assertTrue(reply.held)
        return {state.program_id: state for state in reply.accounts}

    async def test_every_seal_returns_what_was_given_while_acting(self):
        first = self.seal()
        self.assertEqual(set(first), {"known", "new"})
        self.assertEqual(first["new"].reserved_tokens, (100,))
        self.assertEqual(self.seal(), first)
        self.assertEqual(self.seal(), first)

    async def test_after_a_seal_nothing_more_is_given(self):
        self.seal()
        refused = await self.admit(claim("r3", "new"))
        self.assertIs(refused, ErrorKind.NOT_OWNER)
        await self.acting.fail_over(SHARD)
        refused = await self.admit(claim("r3", "new"))
        self.assertIs(refused, ErrorKind.NOT_OWNER)

    async def test_turns_that_end_after_a_seal_change_no_later_one(self):
        """They are settled with the next owner, which has their reservation."""
        first = self.seal()
        self.owner.drop(SHARD)
        self.assertEqual(self.seal(), first)

    async def test_its_own_claim_after_a_seal_keeps_what_it_gave(self):
        """Programs would count as half spent, and some be told 402.

        A host seals the acting standby and loses the race to the standby's own
        claim, which was under way.
        """
        shard = self.owner.owned()[SHARD]
        given = self.seal()
        self.store.faults.down = False
        await self.acting.claim(shard)
        accounts = self.owner.owned()[SHARD].accounts
        self.assertIsNotNone(accounts.get("new"))
        self.assertEqual(accounts.get("new").committed_tokens, 100)
        known = accounts.get("known")
        self.assertEqual(known.spent_tokens, given["known"].spent_tokens)


if __name__ == "__main__":
    unittest.main()
