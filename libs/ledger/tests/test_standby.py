"""Tests of the copies that stop an owner who is replaced."""

import unittest

from masticdale_ledger.messages import AccountState, CopyRequest, SealRequest
from masticdale_ledger.standby import StandbyCopies


def account(program_id, spent=0):
    return AccountState(program_id, 100, spent, True, 0, 0, (), ())


def copy(epoch, *accounts, snapshot=False, incomplete=0.0):
    return CopyRequest(1, epoch, snapshot, accounts, incomplete)


class StandbyTest(unittest.TestCase):
    def setUp(self):
        self.copies = StandbyCopies()

    def test_a_sealed_owner_gets_no_more_consent(self):
        """Two owners at once would each admit turns of the same program.

        A host takes the shard over and seals the copy. The last owner is only
        cut off from it and goes on: its next copy is refused, so that it
        admits nothing.
        """
        self.copies.put(copy(3, account("a"), snapshot=True))
        self.copies.seal(SealRequest(1, 3))
        reply = self.copies.put(copy(3, account("a", 50)))
        self.assertTrue(reply.sealed)
        self.assertFalse(reply.held)

    def test_a_seal_returns_what_the_owner_was_told_is_held(self):
        self.copies.put(copy(3, account("a"), account("b"), snapshot=True))
        self.copies.put(copy(3, account("a", 50)))
        reply = self.copies.seal(SealRequest(1, 3))
        self.assertTrue(reply.held)
        self.assertEqual(
            {a.program_id: a.spent_tokens for a in reply.accounts},
            {"a": 50, "b": 0},
        )

    def test_a_restarted_standby_asks_for_everything(self):
        reply = self.copies.put(copy(3, account("a")))
        self.assertFalse(reply.held)
        self.assertFalse(reply.sealed)
        reply = self.copies.put(copy(3, account("a"), snapshot=True))
        self.assertTrue(reply.held)

    def test_a_copy_of_another_epoch_is_not_passed_off_as_complete(self):
        """A takeover must not trust a copy that its owner has left behind.

        The owner named another standby and later this one again; in between
        it admitted turns that are not in the old copy.
        """
        self.copies.put(copy(3, account("a"), snapshot=True))
        self.assertFalse(self.copies.seal(SealRequest(1, 5)).held)

    def test_a_seal_binds_older_epochs_only(self):
        self.copies.seal(SealRequest(1, 3))
        reply = self.copies.put(copy(4, account("a"), snapshot=True))
        self.assertTrue(reply.held)

    def test_a_copy_of_a_later_epoch_is_not_replaced_by_an_acted_one(self):
        """The accounts of a living owner would be lost with its next loss."""
        self.copies.put(copy(3, account("a"), snapshot=True))
        self.copies.seal(SealRequest(1, 3))
        self.copies.put(copy(4, account("a", 50), snapshot=True))
        self.copies.replace_sealed(1, 3, (account("a", 20),), 0.0)
        reply = self.copies.seal(SealRequest(1, 4))
        self.assertEqual(reply.accounts, (account("a", 50),))

    def test_the_time_of_missing_programs_is_handed_on(self):
        self.copies.put(copy(1, snapshot=True, incomplete=50.0))
        reply = self.copies.seal(SealRequest(1, 1))
        self.assertAlmostEqual(reply.incomplete_for_s, 50.0, delta=5)


if __name__ == "__main__":
    unittest.main()
