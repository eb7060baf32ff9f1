"""Orders of events in which copies or absences are easily miscounted."""

import asyncio
import dataclasses
import unittest

from returns.result import Success
from simulation import RETENTION_S, Cluster, MemoryDisk, Write

from masticdale_common import ErrorKind, Metrics
from masticdale_history.checks import REACHABLE_S, CheckedMember, MemberStates
from masticdale_history.completeness import Completeness, DiskOrigin
from masticdale_history.messages import (
    AppendTurnsRequest,
    CheckReply,
    FinishRepairRequest,
    OfferTurnsRequest,
    ReadChainRequest,
)
from masticdale_history.placement import Member, rank_hosts
from masticdale_history.records import Chain
from masticdale_history.repair import (
    SAVE_WINDOW_S,
    RateLimit,
    RepairView,
    find_tips,
    order_entries,
)
from masticdale_history.service import HistoryService


class ClusterCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.cluster = Cluster(5, 5, 2)

    def tearDown(self):
        self.assertEqual(self.cluster.check(), ([], []))

    async def write(self):
        """Writes a turn; returns its chain and the hosts that hold it."""
        chain = await self.cluster.write(Chain())
        ranked = rank_hosts(chain.key, self.cluster.member_by_host.values())
        hosts = [self.cluster.host_by_name[m.host] for m in ranked]
        return chain, hosts

    def wipe(self, *hosts):
        for host in hosts:
            host.new_disk()
            host.start()

    async def settle(self, seconds=8):
        for _ in range(seconds):
            for host in self.cluster.host_by_name.values():
                await host.tick()
            self.cluster.seconds += 1.0

    def holders(self, chain):
        key = chain.records[-1].key
        return {
            h.name
            for h in self.cluster.live_hosts()
            if key in h.disk.record_by_key
        }


class CompletenessTest(ClusterCase):
    async def test_two_lost_disks_do_not_repair_each_other(self):
        """Guards against absences while the only copy is out of reach."""
        _, hosts = await self.write()
        self.wipe(hosts[0], hosts[1])
        hosts[2].is_up = False
        await self.settle(4)
        # A change after which all hosts run one more pass.
        hosts[3].is_up = False
        await self.settle()
        self.assertFalse(hosts[0].completeness.is_complete)
        hosts[2].start()
        hosts[3].start()
        await self.settle()
        self.assertTrue(hosts[0].completeness.is_complete)
        self.assertTrue(hosts[1].completeness.is_complete)

    async def test_a_holder_beside_the_tolerated_ones_is_missing(self):
        """Guards against more missing repairs than lost disks explain."""
        _, hosts = await self.write()
        self.wipe(hosts[0])
        hosts[1].is_up = hosts[2].is_up = False
        await self.settle()
        self.assertFalse(hosts[0].completeness.is_complete)

    async def test_a_write_in_progress_during_the_loss(self):
        """Guards against a turn that is acknowledged after the repair."""
        write = Write(self.cluster, Chain())
        await write.send(1)
        (lost,) = write.holders
        self.wipe(self.cluster.host_by_name[lost])
        for _ in range(3):
            for host in self.cluster.host_by_name.values():
                await host.tick()
            self.cluster.seconds += 0.4
        await write.send(3)
        self.assertIsNotNone(write.finish())
        self.assertEqual(self.cluster.check()[1], [])
        # What the first pass did not see is copied by the one that counts.
        await self.settle()
        self.assertTrue(
            self.cluster.host_by_name[lost].completeness.is_complete
        )

    async def test_a_repair_with_too_few_copies_does_not_count(self):
        """Guards against a finished repair that could not send all."""
        _, hosts = await self.write()
        self.wipe(hosts[0])
        for host in hosts:
            if host not in hosts[1:3]:
                host.disk.is_full = True
        await self.settle()
        self.assertFalse(hosts[0].completeness.is_complete)
        for host in hosts:
            host.disk.is_full = False
        await self.settle(16)
        self.assertTrue(hosts[0].completeness.is_complete)

    async def test_repairs_of_an_earlier_disk_do_not_count(self):
        """Guards against messages that arrive after the next loss."""
        _, hosts = await self.write()
        old = hosts[0].disk.disk_id
        self.wipe(hosts[0])
        for host in hosts[1:]:
            request = FinishRepairRequest(host.name, old)
            await hosts[0].service.finish_repair(request)
        hosts[0].update()
        self.assertFalse(hosts[0].completeness.is_complete)

    async def test_the_state_of_the_disk_before_the_lookup_counts(self):
        """Guards against a repair that ends between lookup and answer."""
        chain, hosts = await self.write()
        lost = hosts[0]
        self.wipe(lost)
        read = lost.disk.read_chain

        async def read_slowly(workspace, turn_id):
            found = await read(workspace, turn_id)
            await self.settle()
            return found

        lost.disk.read_chain = read_slowly
        turn_id = chain.records[0].turn_id
        reply = await lost.service.read_chain(ReadChainRequest("w", turn_id))
        self.assertTrue(lost.completeness.is_complete)
        self.assertEqual((reply.records, reply.is_complete), ((), False))


class ScheduleTest(ClusterCase):
    async def test_copies_that_could_not_be_sent(self):
        """Guards against turns that keep too few copies."""
        await self.settle(2)
        write = Write(self.cluster, Chain())
        await write.send(1)
        (holder,) = write.holders
        others = [h for h in self.cluster.live_hosts() if h.name != holder]
        for host in others:
            host.disk.is_full = True
        # A change that makes the holder run a pass.
        others[0].is_up = False
        await self.settle(6)
        for host in others:
            host.disk.is_full = False
        await self.settle(13)
        found = self.holders(Chain().with_turn(write.record))
        self.assertEqual(len(found), 3)


class RetirementTest(ClusterCase):
    async def test_a_holder_loses_its_disk_during_the_last_pass(self):
        """Guards against a copy that is gone when the host leaves."""
        _, hosts = await self.write()
        await hosts[0].repairer.check_members()
        await hosts[0].begin_retirement()

        async def lose():
            self.wipe(hosts[1])

        # The pass offers to the other holders and to one more host first.
        self.cluster.pending_actions = [None, None, None, lose]
        await hosts[0].try_to_leave()
        self.assertFalse(hosts[0].is_removed)
        await self.settle(3)
        await hosts[0].try_to_leave()
        self.assertTrue(hosts[0].is_removed)

    async def test_two_hosts_leave_at_the_same_time(self):
        """Guards against two hosts that rely on each other's copies."""
        chain, hosts = await self.write()
        await self.settle(2)
        for host in hosts[:2]:
            await host.begin_retirement()
        for _ in range(3):
            for host in hosts[:2]:
                await host.try_to_leave()
            await self.settle(2)
        self.assertTrue(hosts[0].is_removed)
        self.assertTrue(hosts[1].is_removed)
        self.assertEqual(self.holders(chain), {h.name for h in hosts[2:]})

    async def test_a_lost_disk_leaves_only_when_it_is_repaired(self):
        """Guards against lost records that seem absent without the host."""
        _, hosts = await self.write()
        self.wipe(hosts[0])
        hosts[1].is_up = hosts[2].is_up = False
        await hosts[0].begin_retirement()
        await self.settle(4)
        await hosts[0].try_to_leave()
        self.assertFalse(hosts[0].is_removed)
        hosts[1].start()
        hosts[2].start()
        await self.settle()
        await hosts[0].try_to_leave()
        self.assertTrue(hosts[0].is_removed)

    async def test_an_append_in_progress_is_covered(self):
        """Guards against a turn that is acknowledged and not copied."""
        chain, hosts = await self.write()
        service, disk = hosts[0].service, hosts[0].disk
        append = disk.append
        may_go_on = asyncio.Event()

        async def append_slowly(records):
            await may_go_on.wait()
            return await append(records)

        disk.append = append_slowly
        record = self.cluster.new_record(chain)
        request = AppendTurnsRequest((record,))
        running = asyncio.create_task(service.append_turns(request))
        await asyncio.sleep(0)
        emptying = asyncio.create_task(hosts[0].begin_retirement())
        await asyncio.sleep(0)
        late = await asyncio.wait_for(service.append_turns(request), 1.0)
        self.assertEqual(late.failure.kind, ErrorKind.HISTORY_UNAVAILABLE)
        self.assertFalse(emptying.done())
        may_go_on.set()
        await emptying
        self.assertIsNone((await running).failure)
        await self.settle(2)
        await hosts[0].try_to_leave()
        self.assertTrue(hosts[0].is_removed)
        self.assertEqual(len(self.holders(chain.with_turn(record))), 3)


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.disk = MemoryDisk("disk", lambda: 1_000_000)
        completeness = Completeness(
            DiskOrigin("disk", 0, is_known_complete=True), "s0", 2, lambda: 0
        )
        self.service = HistoryService(self.disk, completeness, Metrics())
        record = Cluster(1, 1, 0).new_record(Chain())
        self.assertEqual(await self.disk.append((record,)), Success(None))
        self.offer = OfferTurnsRequest("s1", (record.key,))

    async def test_a_host_that_is_emptied_counts_for_no_copy(self):
        """Guards against copies that leave with their host."""
        reply = await self.service.offer_turns(self.offer)
        self.assertEqual((reply.failure, reply.missing), (None, ()))
        await self.service.stop_appends()
        reply = await self.service.offer_turns(self.offer)
        self.assertEqual(reply.failure.kind, ErrorKind.HISTORY_UNAVAILABLE)

    async def test_a_failed_disk_counts_for_no_copy(self):
        """Guards against copies on a disk that may not be readable."""
        self.disk.has_failed = True
        reply = await self.service.offer_turns(self.offer)
        self.assertEqual(reply.failure.kind, ErrorKind.INTERNAL)


class MemberStatesTest(unittest.TestCase):
    def setUp(self):
        self.members = [
            Member(f"s{i}", f"a{i}", 1, "d", f"k{i}") for i in "123"
        ]
        self.states = MemberStates("s0", "k0")
        self.states.update(self.members, 0.0)

    def answer(self, member, now_s, disk_id=None):
        reply = CheckReply(disk_id or member.disk_id, True)
        self.states.record_answer(member, reply, now_s)

    def reachable(self, now_s):
        return [c.member.host for c in self.states.reachable(now_s)]

    def test_a_silent_member_becomes_unreachable(self):
        """Guards against copies that are counted on hosts that are gone."""
        self.answer(self.members[0], 1.0)
        self.assertEqual(self.reachable(1.0 + REACHABLE_S), ["s1"])
        self.assertEqual(self.reachable(1.1 + REACHABLE_S), [])

    def test_two_entries_of_one_disk(self):
        """Guards against one disk that counts as two copies."""
        twin = dataclasses.replace(self.members[0], host="s4", disk_id="old")
        own = dataclasses.replace(self.members[0], host="s5", disk_id="older")
        self.states.update([*self.members, twin, own], 0.0)
        self.answer(self.members[0], 1.0)
        self.answer(twin, 1.0, "k1")
        self.answer(own, 1.0, "k0")
        self.assertEqual(self.reachable(1.0), ["s1"])

    def test_only_the_first_live_member_gives_up_a_lost_one(self):
        """Guards against hosts that delete each other's entries."""
        late_s = 2 * RETENTION_S + 1
        self.answer(self.members[0], late_s)
        self.answer(self.members[1], late_s)
        lost = self.states.lost(late_s, RETENTION_S)
        self.assertEqual([m.host for m in lost], ["s3"])
        self.assertEqual(self.states.lost(late_s - 2, RETENTION_S), [])
        other = MemberStates("s9", "k9")
        other.update(self.members, 0.0)
        other.record_answer(self.members[0], CheckReply("k1", True), late_s)
        self.assertEqual(other.lost(late_s, RETENTION_S), [])

    def test_a_host_that_is_cut_off_gives_up_nobody(self):
        """Guards against a list that is emptied by one host without links."""
        late_s = 3 * RETENTION_S
        self.answer(self.members[0], late_s)
        self.assertEqual(self.states.lost(late_s, RETENTION_S), [])


class ViewTest(unittest.TestCase):
    def test_a_pass_repairs_no_disk_that_it_left_out(self):
        """Guards against a host that is emptied and lacks the copies."""
        own, leaving = (Member(f"s{i}", "a", i, "d", f"k{i}") for i in (1, 2))
        leaving = dataclasses.replace(leaving, is_emptying=True)
        checked = CheckedMember(leaving, False, 0.0)
        view = RepairView(own, (checked,), 2, SAVE_WINDOW_S)
        self.assertFalse(view.covers(checked))
        alone = dataclasses.replace(view, copies=1)
        self.assertTrue(alone.covers(checked))
        early = dataclasses.replace(alone, at_s=SAVE_WINDOW_S - 0.1)
        self.assertFalse(early.covers(checked))


class OrderTest(unittest.TestCase):
    def test_turns_follow_those_that_they_continue(self):
        """Guards against turns that are sent before their chain."""
        cluster = Cluster(1, 1, 0)
        chain, entries = Chain(), []
        disk = cluster.host_by_name["s0"].disk
        for _ in range(5):
            chain = chain.with_turn(cluster.new_record(chain))
        asyncio.run(disk.append(chain.records))
        entries = list(reversed(disk.entries()))
        ordered = [e.key for e in order_entries(entries, "s0")]
        self.assertEqual(ordered, [r.key for r in chain.records])
        (tip,) = find_tips(entries)
        self.assertEqual(tip.key, chain.records[-1].key)

    def test_the_rate_of_repairs(self):
        """Guards against repairs that delay turns."""
        rate = RateLimit(100.0)
        self.assertEqual(rate.reserve(50, 10.0), 0.0)
        self.assertEqual(rate.reserve(50, 10.0), 0.5)
        self.assertEqual(rate.reserve(50, 20.0), 0.0)
