"""Tests of the history client: saves at storage hosts that fail."""

import asyncio
import time
import unittest

from history_case import COPIES, FOREVER_S, FakeHost, HistoryCase, turn
from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure
from masticdale_history import Chain, Member
from masticdale_history.decisions import SUSPECT_PERIOD_S
from masticdale_history.hedging import HEDGE_DELAY_S
from masticdale_history.member_calls import (
    CALL_TIMEOUT_S,
    PROBE_INTERVAL_S,
    PROBE_TIMEOUT_S,
    ROOM_CHECK_DELAY_S,
)


def now():
    return asyncio.get_running_loop().time()


def sends_in_progress():
    names = [t.get_coro().__qualname__ for t in asyncio.all_tasks()]
    return names.count("HistoryClient._send")


class SaveTest(HistoryCase):
    async def test_a_turn_is_saved_at_the_first_hosts_of_the_ranking(self):
        """Guards against turns that the next turn does not find."""
        record = turn("a")
        self.assertEqual(await self.save(record), Success(None))
        self.assertCountEqual(self.holding(record), self.ranked()[:COPIES])
        self.assertEqual(self.counted("history_saves_total", "synced"), 1)

    async def test_only_the_new_turn_is_sent(self):
        """Guards against chains that are sent with each of their turns."""
        first = turn("a")
        await self.save(first)
        second = turn("b", Chain((first,)))
        await self.save(second, Chain((first,)))
        for host in self.ranked()[:COPIES]:
            self.assertEqual(host.calls, ["append_turns"] * 2)

    async def test_a_host_killed_between_write_and_answer_is_replaced(self):
        """Guards against a copy that counts although nobody confirmed it."""
        killed = self.ranked()[0]
        killed.faults.ends_after_write = True
        record = turn("a")
        self.assertEqual(await self.save(record), Success(None))
        self.assertIn(self.ranked()[COPIES], self.holding(record))
        self.assertEqual(len(self.holding(record)), COPIES + 1)

    async def test_a_host_that_refuses_connections_is_replaced(self):
        """Guards against turns that fail with the loss of one host."""
        await self.ranked()[1].stop()
        record = turn("a")
        started_at = now()
        self.assertEqual(await self.save(record), Success(None))
        self.assertEqual(len(self.holding(record)), COPIES)
        self.assertLess(now() - started_at, CALL_TIMEOUT_S)

    async def test_two_silent_hosts_are_replaced_without_their_timeout(self):
        """Guards against responses that wait for hosts that are frozen."""
        for host in self.ranked()[:2]:
            host.faults.delay_s = FOREVER_S
        record = turn("a")
        started_at = now()
        self.assertEqual(await self.save(record), Success(None))
        self.assertLess(now() - started_at, CALL_TIMEOUT_S / 2)
        self.assertCountEqual(self.holding(record), self.ranked()[2:])

    async def test_the_copy_of_a_slow_host_still_counts(self):
        """Guards against saves that fail because a host is slow."""
        for host in self.ranked():
            host.faults.delay_s = 0.15
        record = turn("a")
        self.assertEqual(await self.save(record), Success(None))

    async def test_slow_hosts_are_replaced_one_for_each_step(self):
        """Guards against writes that multiply while all disks are slow."""
        for host in self.ranked():
            host.faults.delay_s = 0.08
        self.assertEqual(await self.save(turn("a")), Success(None))
        used = [h for h in self.ranked() if h.calls]
        self.assertEqual(len(used), COPIES + 1)

    async def test_a_stall_of_the_event_loop_replaces_no_host(self):
        """Guards against writes that multiply when the entry host stalls."""
        await self.save(turn("a"))
        saving = asyncio.create_task(self.save(turn("b")))
        await asyncio.sleep(0.001)
        time.sleep(4 * HEDGE_DELAY_S)  # noqa: ASYNC251
        self.assertEqual(await saving, Success(None))
        self.assertCountEqual(self.holding(turn("b")), self.ranked()[:COPIES])

    async def test_a_silent_host_is_tried_last_until_it_answers(self):
        """Guards against each save waiting for the same lost host."""
        silent = self.ranked()[0]
        silent.faults.delay_s = FOREVER_S
        await self.save(turn("a"))
        await asyncio.sleep(CALL_TIMEOUT_S + 0.1)
        silent.calls.clear()
        await self.save(turn("b"))
        self.assertNotIn("append_turns", silent.calls)
        silent.faults.delay_s = 0.0
        await asyncio.sleep(SUSPECT_PERIOD_S + 0.2)
        await self.save(turn("c"))
        self.assertIn("append_turns", silent.calls)

    async def test_a_host_without_the_chain_gets_all_of_it(self):
        """Guards against turns without their chain on a disk."""
        first = turn("a")
        chain = Chain((first,))
        await self.save(first)
        lost = self.ranked()[0]
        lost.lose_disk()
        second = turn("b", chain)
        self.assertEqual(await self.save(second, chain), Success(None))
        self.assertCountEqual(self.holding(second), self.ranked()[:COPIES])
        self.assertIn(lost, self.holding(first))

    async def test_a_full_host_is_replaced(self):
        """Guards against turns that fail because one disk is full."""
        self.ranked()[0].faults.is_full = True
        record = turn("a")
        self.assertEqual(await self.save(record), Success(None))
        self.assertCountEqual(
            self.holding(record), self.ranked()[1 : COPIES + 1]
        )

    async def test_a_failed_disk_is_replaced(self):
        """Guards against turns that fail because one disk has failed."""
        failure = Failure(ErrorKind.INTERNAL)
        self.ranked()[0].faults.append_failure = failure
        record = turn("a")
        self.assertEqual(await self.save(record), Success(None))
        self.assertEqual(len(self.holding(record)), COPIES)

    async def test_too_few_hosts_fail_the_save(self):
        """Guards against turns that two losses destroy."""
        for host in self.ranked()[:COPIES]:
            await host.stop()
        outcome = await self.save(turn("a"))
        self.assertIsInstance(outcome, Failed)
        self.assertIs(outcome.failure().kind, ErrorKind.HISTORY_UNAVAILABLE)
        self.assertEqual(self.counted("history_saves_total", "unavailable"), 1)

    async def test_silent_hosts_fail_the_save_at_its_deadline(self):
        """Guards against responses that never end."""
        for host in self.ranked()[:COPIES]:
            host.faults.delay_s = FOREVER_S
        started_at = now()
        outcome = await self.save(turn("a"), time_limit_s=0.3)
        self.assertIs(outcome.failure().kind, ErrorKind.HISTORY_UNAVAILABLE)
        self.assertLess(now() - started_at, 0.6)

    async def test_a_host_listed_twice_counts_once(self):
        """Guards against two copies on one disk that count as two."""
        hosts = self.ranked()
        for host in hosts[2:]:
            await host.stop()
        member = hosts[0].member
        alias = Member(
            "alias", member.address, member.port, "south", "disk-alias"
        )
        self.list_hosts(*hosts, FakeHost(alias))
        outcome = await self.save(turn("a"))
        self.assertIsInstance(outcome, Failed)

    async def test_a_turn_saved_with_other_content_fails(self):
        """Guards against two runs of one turn that readers may confuse."""
        first = self.ranked()[0]
        run = turn("a", output=b"of the first run\n")
        first.record_by_key[run.key] = run
        outcome = await self.save(turn("a"))
        self.assertIs(outcome.failure().kind, ErrorKind.CONFLICT)

    async def test_a_late_send_ends_with_its_timeout(self):
        """Guards against tasks that pile up while a host is silent."""
        self.ranked()[0].faults.delay_s = FOREVER_S
        await self.save(turn("a"))
        self.assertEqual(sends_in_progress(), 1)
        await asyncio.sleep(CALL_TIMEOUT_S + 0.1)
        self.assertEqual(sends_in_progress(), 0)

    async def test_closing_ends_late_sends(self):
        """Guards against a process that does not end while a host is silent."""
        self.ranked()[0].faults.delay_s = FOREVER_S
        await self.save(turn("a"))
        await self.client.close()
        self.assertEqual(sends_in_progress(), 0)


class RoomTest(HistoryCase):
    host_count = 4

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.wait_for_room(self.client)

    async def wait_for_room(self, client):
        async with asyncio.timeout(PROBE_INTERVAL_S):
            while client.check_room() is not None:
                await asyncio.sleep(0.01)

    def checks(self):
        return [host.checks for host in self.ranked()]

    async def test_listed_hosts_have_room_once_they_have_answered(self):
        """Guards against a host that refuses turns after its start."""
        client = self.new_client()
        self.assertIsNotNone(client.check_room())
        await self.wait_for_room(client)

    async def test_hosts_lost_before_their_first_call_have_no_room(self):
        """Guards against turns that are begun while the hosts are lost."""
        lost = self.ranked()[:2]
        await lost[0].stop()
        lost[1].faults.delay_s = FOREVER_S
        client = self.new_client()
        for _ in range(15):
            self.assertIsNotNone(client.check_room())
            await asyncio.sleep(SUSPECT_PERIOD_S / 5)
        await lost[0].start()
        await asyncio.sleep(PROBE_INTERVAL_S + 0.2)
        self.assertIsNone(client.check_room())

    async def test_full_hosts_have_no_room_before_their_first_call(self):
        """Guards against turns that are begun while the disks are full."""
        for host in self.ranked()[:2]:
            host.faults.is_full = True
        client = self.new_client()
        for _ in range(10):
            self.assertIsNotNone(client.check_room())
            await asyncio.sleep(SUSPECT_PERIOD_S / 5)

    async def test_a_host_with_another_disk_is_checked_again(self):
        """Guards against a restarted host that counts before it answers."""
        hosts = self.ranked()
        before = self.checks()
        for host in hosts[:2]:
            member = host.member
            host.member = Member(
                member.host,
                member.address,
                member.port,
                member.failure_domain,
                f"{member.disk_id}-new",
            )
        self.list_hosts(*hosts)
        self.assertIsNotNone(self.client.check_room())
        await self.wait_for_room(self.client)
        gained = [n - b for n, b in zip(self.checks(), before, strict=True)]
        self.assertEqual(gained, [1, 1, 0, 0])

    async def test_hosts_without_saves_are_checked_once(self):
        """Guards against traffic of hosts that keep no turns."""
        await asyncio.sleep(ROOM_CHECK_DELAY_S + PROBE_TIMEOUT_S)
        self.assertEqual(self.checks(), [1] * self.host_count)

    async def test_a_disk_that_fills_up_after_a_save_is_noticed(self):
        """Guards against turns that run although the disks are full."""
        await self.save(turn("a"))
        full = self.ranked()[:2]
        for host in full:
            host.faults.is_full = True
        await asyncio.sleep(ROOM_CHECK_DELAY_S + 0.2)
        for _ in range(10):
            self.assertIsNotNone(self.client.check_room())
            await asyncio.sleep(SUSPECT_PERIOD_S / 5)
        self.assertEqual([h.calls for h in full], [["append_turns"]] * 2)

    async def test_many_saves_cause_one_check_of_each_host(self):
        """Guards against a check for each save."""
        for number in range(10):
            await self.save(turn(f"a{number}"))
        await asyncio.sleep(ROOM_CHECK_DELAY_S + 0.2)
        self.assertEqual(self.checks(), [2, 2, 2, 1])

    async def test_there_is_no_room_without_a_list(self):
        """Guards against turns that run and can't be saved."""
        self.list_hosts()
        failure = self.client.check_room()
        self.assertIs(failure.kind, ErrorKind.HISTORY_UNAVAILABLE)
        self.assertEqual(failure.effective_retry_after_ms, 300)

    async def test_lost_hosts_have_no_room_until_they_answer(self):
        """Guards against turns that run while too few hosts can save them."""
        lost = self.ranked()[:2]
        for host in lost:
            await host.stop()
        await self.save(turn("a"))
        for _ in range(8):
            self.assertIsNotNone(self.client.check_room())
            await asyncio.sleep(SUSPECT_PERIOD_S / 4)
        await lost[0].start()
        await asyncio.sleep(SUSPECT_PERIOD_S / 2 + 0.1)
        self.assertIsNone(self.client.check_room())

    async def test_silent_hosts_have_no_room(self):
        """Guards against a frozen host that counts between two checks."""
        for host in self.ranked()[:2]:
            host.faults.delay_s = FOREVER_S
        await self.save(turn("a"))
        await asyncio.sleep(CALL_TIMEOUT_S)
        for _ in range(10):
            self.assertIsNotNone(self.client.check_room())
            await asyncio.sleep(SUSPECT_PERIOD_S / 5)

    async def test_full_hosts_have_no_room_until_they_have_expired_some(self):
        """Guards against turns that run while the disks are full."""
        full = self.ranked()[:2]
        for host in full:
            host.faults.is_full = True
        await self.save(turn("a"))
        await asyncio.sleep(SUSPECT_PERIOD_S + 0.2)
        self.assertIsNotNone(self.client.check_room())
        full[0].faults.is_full = False
        await asyncio.sleep(SUSPECT_PERIOD_S / 2 + 0.1)
        self.assertIsNone(self.client.check_room())

    async def test_an_emptying_host_has_no_room(self):
        """Guards against turns on a host that is about to be removed."""
        hosts = self.ranked()
        for host in hosts[:2]:
            member = host.member
            host.member = Member(
                member.host,
                member.address,
                member.port,
                member.failure_domain,
                member.disk_id,
                is_emptying=True,
            )
        self.list_hosts(*hosts)
        self.assertIsNotNone(self.client.check_room())


if __name__ == "__main__":
    unittest.main()
