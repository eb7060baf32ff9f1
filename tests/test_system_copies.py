"""Tests of turns acknowledged by replication while the platform is down."""

import unittest

from system_case import SystemCase


class CopiesTest(SystemCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.addCleanup(self.cluster.set_faults, self.cluster.platform)

    async def create_replicated_program(self):
        program = await self.create_program()
        await self.send_turn(program, "before")

        async def has_holders():
            return len((await self.head_of(program)).copy_holders) == 2

        await self.wait_until(has_holders, "two copy holders in the head")
        return program

    async def test_replicas_acknowledge_turns_during_an_outage(self):
        # Turns replicated to two hosts in other failure domains must be in the
        # history once and in order after the outage.
        program = await self.create_replicated_program()
        self.cluster.set_faults(self.cluster.platform, down=True)
        for number in range(3):
            await self.send_turn(program, f"during-{number}")
        self.cluster.set_faults(self.cluster.platform)
        view = await self.check_history(program)
        self.assertEqual(len(view.history), 4)

    async def test_owner_killed_in_an_outage_loses_no_acknowledged_turn(self):
        # Only the two copy holders have the turn when its owner is killed; the
        # next owner must recover it from them.
        program = await self.create_replicated_program()
        owner = await self.owner_of(program)
        elsewhere = self.client_for(*self.other_hosts(owner))
        self.cluster.set_faults(self.cluster.platform, down=True)
        await self.send_turn(program, "during", elsewhere)
        self.process(owner).kill()
        self.cluster.set_faults(self.cluster.platform)
        try:
            await self.send_turn(program, "after", elsewhere)
        finally:
            self.restart(owner)
        view = await self.check_history(program)
        ids = [item.request_id for item in view.history]
        self.assertEqual(ids, ["before", "during", "after"])


if __name__ == "__main__":
    unittest.main()
