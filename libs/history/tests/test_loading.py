"""Tests of the history client: loads from storage hosts that fail."""

import asyncio
import unittest
from unittest import mock

from history_case import (
    COPIES,
    FOREVER_S,
    TOLERATED,
    FakeHost,
    HistoryCase,
    free_port,
    turn,
    wall_ms,
)
from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure
from masticdale_history import (
    Chain,
    Member,
    MemberDirectory,
    encode_member,
    member_key,
)
from masticdale_history import client as history_client
from masticdale_history.hedging import HEDGE_DELAY_S
from masticdale_history.member_calls import CALL_TIMEOUT_S
from masticdale_history.member_lists import READ_INTERVAL_S
from masticdale_platform import StoredObject, WatchBatch


def now():
    return asyncio.get_running_loop().time()


def patient_reads():
    """Lets the near holder take longer than 50 ms, as on a busy machine."""
    return mock.patch.object(history_client, "HEDGE_DELAY_S", 1.0)


class LoadTest(HistoryCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.first = turn("a")
        self.second = turn("b", Chain((self.first,)))
        self.chain = Chain((self.first, self.second))
        await self.save(self.first)
        await self.save(self.second, Chain((self.first,)))
        self.clear_calls()

    def clear_calls(self):
        for host in self.host_by_name.values():
            host.calls.clear()

    def asked(self):
        return [h for h in self.host_by_name.values() if h.calls]

    async def assert_failure(self, kind, *args, **kwargs):
        outcome = await self.load(*args, **kwargs)
        self.assertIs(outcome.failure().kind, kind)

    async def test_the_writer_needs_no_read(self):
        """Guards against a read before each turn of a program."""
        outcome = await self.load("b", self.client)
        self.assertEqual(outcome, Success(self.chain))
        self.assertEqual(self.asked(), [])
        self.assertEqual(self.counted("history_loads_total", "cache"), 1)

    async def test_the_holder_in_the_own_domain_suffices(self):
        """Guards against reads at all hosts for each turn."""
        with patient_reads():
            outcome = await self.load("b")
        self.assertEqual(outcome, Success(self.chain))
        self.assertEqual(self.asked(), [self.near()])
        self.assertEqual(self.counted("history_loads_total", "near"), 1)

    async def test_a_chain_that_was_read_is_cached(self):
        """Guards against a second read of the same chain."""
        client = self.new_client()
        await self.load("b", client)
        self.clear_calls()
        self.assertEqual(await self.load("b", client), Success(self.chain))
        self.assertEqual(self.asked(), [])

    async def test_an_expired_chain_is_not_taken_from_the_cache(self):
        """Guards against turns that are continued after their retention."""
        old = turn("old", ended_at_ms=wall_ms() - 61_000)
        await self.save(old)
        self.clear_calls()
        for host in self.host_by_name.values():
            host.record_by_key.pop(old.key, None)
        await self.assert_failure(
            ErrorKind.TURN_UNKNOWN, "old", client=self.client
        )

    async def test_a_turn_of_another_session_is_found(self):
        """Guards against sub-agents that can't continue a turn."""
        for session_id in ("other", "another", ""):
            outcome = await self.load("b", session_id=session_id)
            self.assertEqual(outcome, Success(self.chain))

    async def test_a_first_turn_without_a_session_is_found_by_its_id(self):
        """Guards against reads at all hosts where callers have no sessions."""
        await self.save(turn("lone", chain_key="lone"))
        self.clear_calls()
        with patient_reads():
            await self.load("lone", session_id="")
        self.assertEqual(self.asked(), [self.near("lone")])

    async def test_a_turn_at_the_last_host_only_is_found(self):
        """Guards against a 404 for a turn that one disk still holds."""
        last = self.ranked()[-1]
        for host in self.host_by_name.values():
            host.lose_disk()
        for record in self.chain.records:
            last.record_by_key[record.key] = record
        outcome = await self.load("b")
        self.assertEqual(outcome, Success(self.chain))
        self.assertEqual(self.counted("history_loads_total", "asked_all"), 1)

    async def test_a_silent_holder_is_passed_over(self):
        """Guards against turns that wait for a frozen host."""
        self.near().faults.delay_s = FOREVER_S
        started_at = now()
        self.assertEqual(await self.load("b"), Success(self.chain))
        self.assertLess(now() - started_at, CALL_TIMEOUT_S / 2)

    async def test_the_late_answer_of_the_near_holder_counts(self):
        """Guards against a failure while the only copy is slow to arrive."""
        near = self.near()
        near.faults.delay_s = 3 * HEDGE_DELAY_S
        for host in self.host_by_name.values():
            if host is not near:
                host.lose_disk()
        self.assertEqual(await self.load("b"), Success(self.chain))

    async def test_a_lost_holder_is_passed_over(self):
        """Guards against turns that fail with the loss of one host."""
        await self.near().stop()
        self.assertEqual(await self.load("b"), Success(self.chain))

    async def test_a_copy_that_lacks_turns_is_not_used(self):
        """Guards against a prompt without the beginning of its chain."""
        del self.near().record_by_key[self.first.key]
        self.assertEqual(await self.load("b"), Success(self.chain))

    async def test_an_unknown_turn_is_unknown(self):
        """Guards against callers that retry an unknown turn forever."""
        await self.assert_failure(ErrorKind.TURN_UNKNOWN, "other")
        self.assertEqual(self.counted("history_loads_total", "unknown"), 1)

    async def test_a_turn_of_another_workspace_is_unknown(self):
        """Guards against answers from the history of another workspace."""
        for workspace in ("v", ""):
            await self.assert_failure(
                ErrorKind.TURN_UNKNOWN,
                "b",
                client=self.client,
                workspace=workspace,
            )
            await self.assert_failure(
                ErrorKind.TURN_UNKNOWN, "b", workspace=workspace
            )
            await self.assert_failure(
                ErrorKind.TURN_UNKNOWN,
                "b",
                workspace=workspace,
                session_id="other",
            )

    async def test_two_lost_hosts_leave_an_unknown_turn_unknown(self):
        """Guards against 503 for as long as two disks are lost."""
        for host in self.ranked()[:TOLERATED]:
            await host.stop()
        await self.assert_failure(ErrorKind.TURN_UNKNOWN, "other")

    async def test_three_lost_holders_make_nothing_certain(self):
        """Guards against a 404 for a turn on disks that don't answer."""
        for host in self.ranked()[:COPIES]:
            await host.stop()
        await self.assert_failure(ErrorKind.HISTORY_UNAVAILABLE, "b")
        self.assertEqual(self.counted("history_loads_total", "unavailable"), 1)

    async def test_empty_disks_make_nothing_certain(self):
        """Guards against a 404 by disks that have lost the turn."""
        for host in self.ranked()[:COPIES]:
            host.lose_disk()
        await self.assert_failure(ErrorKind.HISTORY_UNAVAILABLE, "b")

    async def test_a_mix_of_uncertain_hosts_makes_nothing_certain(self):
        """Guards against a 404 that counts each kind of loss by itself."""
        silent, empty, failed = self.ranked()[:COPIES]
        silent.faults.delay_s = FOREVER_S
        empty.lose_disk()
        failed.faults.read_failure = Failure(ErrorKind.INTERNAL)
        await self.assert_failure(ErrorKind.HISTORY_UNAVAILABLE, "b")

    async def test_two_silent_hosts_delay_an_unknown_turn_briefly(self):
        """Guards against 404s that wait for a whole timeout."""
        for host in self.ranked()[:TOLERATED]:
            host.faults.delay_s = FOREVER_S
        started_at = now()
        await self.assert_failure(ErrorKind.TURN_UNKNOWN, "other")
        self.assertLess(now() - started_at, 0.9 * CALL_TIMEOUT_S)

    async def test_a_slow_holder_is_awaited_before_a_404(self):
        """Guards against a 404 just before a slow host finds the turn."""
        slow = self.near()
        slow.faults.delay_s = 0.2
        for host in self.host_by_name.values():
            if host is not slow:
                host.record_by_key.clear()
        self.assertEqual(await self.load("b"), Success(self.chain))

    async def test_nothing_is_certain_before_the_list_is_loaded(self):
        """Guards against a 404 at a host that has just started."""
        self.directory = MemberDirectory()
        started_at = now()
        await self.assert_failure(ErrorKind.HISTORY_UNAVAILABLE, "b")
        self.assertLess(now() - started_at, CALL_TIMEOUT_S)
        self.list_hosts()
        await self.assert_failure(ErrorKind.HISTORY_UNAVAILABLE, "b")

    async def test_nothing_is_certain_with_a_part_of_the_list(self):
        """Guards against a 404 while members may be missing from the list."""
        self.directory = MemberDirectory()
        objects = tuple(
            StoredObject(member_key(h.member.host), 1, encode_member(h.member))
            for h in self.host_by_name.values()
        )
        self.directory.apply(WatchBatch(1, objects, ()), False)
        await self.assert_failure(ErrorKind.HISTORY_UNAVAILABLE, "other")
        self.assertEqual(await self.load("b"), Success(self.chain))

    async def test_clients_of_gone_members_are_dropped(self):
        """Guards against connections to each host that was ever listed."""
        client = self.new_client()
        await self.load("b", client)
        await self.client.close()
        gone = self.near()
        await asyncio.sleep(0.1)
        self.assertTrue(gone.has_connections)
        self.list_hosts(
            *[h for h in self.host_by_name.values() if h is not gone]
        )
        await asyncio.sleep(0.1)
        self.assertFalse(gone.has_connections)

    async def test_a_load_ends_at_its_deadline(self):
        """Guards against callers that wait longer than they allow."""
        for host in self.host_by_name.values():
            host.faults.delay_s = FOREVER_S
        started_at = now()
        await self.assert_failure(
            ErrorKind.HISTORY_UNAVAILABLE, "b", time_limit_s=0.2
        )
        self.assertLess(now() - started_at, 0.5)

    async def test_a_load_past_its_deadline_asks_no_host(self):
        """Guards against calls for callers that no longer wait."""
        await self.assert_failure(
            ErrorKind.HISTORY_UNAVAILABLE, "b", time_limit_s=-1.0
        )
        await asyncio.sleep(0.1)
        self.assertEqual(self.asked(), [])

    async def test_an_emptying_host_is_asked(self):
        """Guards against a 404 for a turn on a host that is drained."""
        last = self.ranked()[-1]
        for host in self.host_by_name.values():
            if host is not last:
                host.record_by_key.clear()
        for record in self.chain.records:
            last.record_by_key[record.key] = record
        member = last.member
        last.member = Member(
            member.host,
            member.address,
            member.port,
            member.failure_domain,
            member.disk_id,
            is_emptying=True,
        )
        self.list_hosts(*self.host_by_name.values())
        self.assertEqual(await self.load("b"), Success(self.chain))

    async def test_a_host_at_a_new_address_is_asked_there(self):
        """Guards against a client that keeps calling the old address."""
        client = self.new_client()
        await self.load("other", client)
        near = self.near()
        await near.stop()
        member = near.member
        near.member = Member(
            member.host,
            member.address,
            free_port(),
            member.failure_domain,
            "disk-new",
        )
        await near.start()
        self.list_hosts(*self.host_by_name.values())
        self.clear_calls()
        self.assertEqual(await self.load("b", client), Success(self.chain))
        self.assertEqual(self.asked(), [near])

    async def test_a_restarted_host_is_asked_again(self):
        """Guards against idle connections to a process that has ended."""
        client = self.new_client()
        await self.load("a", client)
        near = self.near()
        await near.stop()
        await near.start()
        self.clear_calls()
        self.assertEqual(await self.load("b", client), Success(self.chain))
        self.assertEqual(self.asked(), [near])

    async def test_a_member_that_joins_during_a_load_makes_it_uncertain(self):
        """Guards against a 404 for a turn on a host not yet asked."""
        for host in self.ranked()[:TOLERATED]:
            await host.stop()
        slow = self.ranked()[-1]
        slow.faults.delay_s = 0.2
        joined = FakeHost(
            Member("new", "127.0.0.1", free_port(), "west", "disk-new")
        )
        loading = asyncio.create_task(self.load("other"))
        await asyncio.sleep(0.1)
        self.list_hosts(*self.host_by_name.values(), joined)
        outcome = await loading
        self.assertIs(outcome.failure().kind, ErrorKind.HISTORY_UNAVAILABLE)


class StaleListTest(HistoryCase):
    """The watch of the list of storage hosts is behind the store."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.unlisted = FakeHost(
            Member("new", "127.0.0.1", free_port(), "west", "disk-new")
        )

    async def kind(self, *args, **kwargs):
        outcome = await self.load(*args, **kwargs)
        return outcome.failure().kind

    async def test_a_host_that_only_the_store_lists_makes_it_uncertain(self):
        """Guards against a 404 for a turn on a host not yet known here."""
        self.store_hosts(*self.host_by_name.values(), self.unlisted)
        self.assertIs(await self.kind("a"), ErrorKind.HISTORY_UNAVAILABLE)
        self.store_hosts(*self.host_by_name.values())
        self.assertIs(await self.kind("a"), ErrorKind.TURN_UNKNOWN)

    async def test_a_replaced_host_makes_it_uncertain(self):
        """Guards against a 404 by a disk that has been replaced."""
        hosts = list(self.host_by_name.values())
        old = hosts[0].member
        for address, port, disk_id in (
            ("127.0.0.2", old.port, old.disk_id),
            (old.address, free_port(), old.disk_id),
            (old.address, old.port, "disk-new"),
        ):
            replaced = Member(
                old.host, address, port, old.failure_domain, disk_id
            )
            self.store_hosts(FakeHost(replaced), *hosts[1:])
            self.assertIs(await self.kind("a"), ErrorKind.HISTORY_UNAVAILABLE)

    async def test_a_failed_read_of_the_list_makes_it_uncertain(self):
        """Guards against a 404 while the store can't be asked."""
        self.list_outcome = Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE))
        self.assertIs(await self.kind("a"), ErrorKind.HISTORY_UNAVAILABLE)

    async def test_an_empty_list_makes_it_uncertain(self):
        """Guards against a 404 after the objects in the store were lost."""
        self.store_hosts()
        self.assertIs(await self.kind("a"), ErrorKind.HISTORY_UNAVAILABLE)

    async def test_a_silent_store_does_not_extend_a_load(self):
        """Guards against loads that wait longer than their callers allow."""
        self.list_delay_s = FOREVER_S
        started_at = now()
        kind = await self.kind("a", time_limit_s=0.3)
        self.assertIs(kind, ErrorKind.HISTORY_UNAVAILABLE)
        self.assertLess(now() - started_at, 0.5)

    async def test_one_read_serves_all_loads_that_began_before_it(self):
        """Guards against a store call for each unknown turn."""
        loads = [
            self.kind(f"a{number}", client=self.client) for number in range(20)
        ]
        kinds = await asyncio.gather(*loads)
        self.assertEqual(set(kinds), {ErrorKind.TURN_UNKNOWN})
        self.assertEqual(self.list_reads, 1)

    async def test_reads_for_loads_one_after_another_are_spaced(self):
        """Guards against a caller that sets the rate of store calls."""
        started_at = now()
        for number in range(3):
            kind = await self.kind(f"a{number}", client=self.client)
            self.assertIs(kind, ErrorKind.TURN_UNKNOWN)
        self.assertEqual(self.list_reads, 3)
        self.assertGreaterEqual(now() - started_at, 2 * READ_INTERVAL_S)

    async def test_a_read_sent_before_a_load_began_does_not_serve_it(self):
        """Guards against a 404 by a list older than the turn."""
        self.list_delay_s = 0.2
        first = asyncio.create_task(self.kind("a", client=self.client))
        await asyncio.sleep(0.1)
        self.assertEqual(self.list_reads, 1)
        self.store_hosts(*self.host_by_name.values(), self.unlisted)
        second = await self.kind("b", client=self.client)
        self.assertIs(second, ErrorKind.HISTORY_UNAVAILABLE)
        self.assertIs(await first, ErrorKind.TURN_UNKNOWN)

    async def test_no_list_is_read_for_a_turn_that_is_found(self):
        """Guards against a store call for each turn."""
        await self.save(turn("a"))
        self.assertIsInstance(await self.load("a"), Success)
        self.assertEqual(self.list_reads, 0)


if __name__ == "__main__":
    unittest.main()
