"""Tests of the copies whose sealing fences a replaced owner."""

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

    def test_a_sealed_standby_rejects_further_copies(self):
        """Guards against two owners that admit turns of the same program.

        The next copy of an owner that was replaced during a partition is
        rejected, so that it admits nothing.
        """
        self.copies.put(copy(3, account("a"), snapshot=True))
        self.copies.seal(SealRequest(1, 3))
        reply = self.copies.put(copy(3, account("a", 50)))
        self.assertTrue(reply.sealed)
        self.assertFalse(reply.held)

    def test_a_seal_returns_the_acknowledged_accounts(self):
        self.copies.put(copy(3, account("a"), account("b"), snapshot=True))
        self.copies.put(copy(3, account("a", 50)))
        reply = self.copies.seal(SealRequest(1, 3))
        self.assertTrue(reply.held)
        self.assertEqual(
            {a.program_id: a.spent_tokens for a in reply.accounts},
            {"a": 50, "b": 0},
        )

    def test_a_restarted_standby_needs_a_snapshot(self):
        reply = self.copies.put(copy(3, account("a")))
        self.assertFalse(reply.held)
        self.assertFalse(reply.sealed)
        reply = self.copies.put(copy(3, account("a"), snapshot=True))
        self.assertTrue(reply.held)

    def test_a_copy_of_another_epoch_is_not_returned(self):
        """Guards against a takeover with outdated accounts.

        The owner named another standby and later this one again; turns
        admitted in between are missing in the old copy.
        """
        self.copies.put(copy(3, account("a"), snapshot=True))
        self.assertFalse(self.copies.seal(SealRequest(1, 5)).held)

    def test_a_seal_does_not_affect_later_epochs(self):
        self.copies.seal(SealRequest(1, 3))
        reply = self.copies.put(copy(4, account("a"), snapshot=True))
        self.assertTrue(reply.held)

    def test_an_acting_owners_accounts_do_not_replace_a_later_epoch(self):
        """Guards against losing the accounts of a live owner's copy."""
        self.copies.put(copy(3, account("a"), snapshot=True))
        self.copies.seal(SealRequest(1, 3))
        self.copies.put(copy(4, account("a", 50), snapshot=True))
        self.copies.replace_sealed(1, 3, (account("a", 20),), 0.0)
        reply = self.copies.seal(SealRequest(1, 4))
        self.assertEqual(reply.accounts, (account("a", 50),))

    def test_the_incomplete_period_is_returned(self):
        self.copies.put(copy(1, snapshot=True, incomplete=50.0))
        reply = self.copies.seal(SealRequest(1, 1))
        self.assertAlmostEqual(reply.incomplete_for_s, 50.0, delta=5)


if __name__ == "__main__":
    unittest.main()
