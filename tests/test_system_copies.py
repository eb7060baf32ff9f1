"""Turns acknowledged during an outage through copies, on real processes."""

import unittest

from system_case import SystemCase


class CopiesTest(SystemCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.addCleanup(self.cluster.set_faults, self.cluster.platform)

    async def begin_with_holders(self):
        program = await self.begin()
        await self.turn(program, "before")

        async def has_holders():
            return len((await self.head_of(program)).copy_holders) == 2

        await self.until(has_holders, "two copy holders in the head")
        return program

    async def test_turns_are_acknowledged_while_the_platform_is_down(self):
        # The platform is down all the time. Turns are answered because two
        # hosts in other failure domains hold them; when the platform is back
        # all stand in the history, once and in order.
        program = await self.begin_with_holders()
        self.cluster.set_faults(self.cluster.platform, down=True)
        for number in range(3):
            await self.turn(program, f"during-{number}")
        self.cluster.set_faults(self.cluster.platform)
        view = await self.check_kept(program)
        self.assertEqual(len(view.history), 4)

    async def test_owner_killed_in_an_outage_loses_no_acknowledged_turn(self):
        # A turn is acknowledged during the outage and its owner killed before
        # the platform is back: only the two holders have it. The next owner
        # seals one of them and finds it there.
        program = await self.begin_with_holders()
        owner = await self.owner_of(program)
        elsewhere = self.client_of(*self.others(owner))
        self.cluster.set_faults(self.cluster.platform, down=True)
        await self.turn(program, "during", elsewhere)
        self.process(owner).kill()
        self.cluster.set_faults(self.cluster.platform)
        try:
            await self.turn(program, "after", elsewhere)
        finally:
            self.restart(owner)
        view = await self.check_kept(program)
        ids = [item.request_id for item in view.history]
        self.assertEqual(ids, ["before", "during", "after"])


if __name__ == "__main__":
    unittest.main()
