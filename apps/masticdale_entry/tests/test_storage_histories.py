"""Tests of storage hosts that keep histories of turns."""

import asyncio
import dataclasses
import subprocess
import sys
import unittest

import httpx
from returns.result import Failure as Failed
from storage_case import DOMAINS, Host, StorageCase

from masticdale_common import ErrorKind, Failure
from masticdale_history.messages import (
    APPEND_TURNS,
    READ_CHAIN,
    AppendTurnsRequest,
    ReadChainRequest,
)
from masticdale_standins.objects import StoreFault

# Longer than a host takes to find that another one is gone.
REACTION_S = 4.0


class ProcessTest(StorageCase):
    are_processes = True
    host_count = 3

    async def test_all_hosts_killed_and_restarted(self):
        """Guards against turns that are lost, or doubted, after a restart."""
        chains = await self.save_turns(3, 3)
        for host in self.hosts:
            await host.stop()
        for host in self.hosts:
            host.values["first_start"] = False
            host.start()
        for host in self.hosts:
            await self.until_complete(host)
        await self.assert_found(chains)
        self.assertEqual(
            (await self.load("no-such-turn")).kind, ErrorKind.TURN_UNKNOWN
        )


class WipeTest(StorageCase):
    async def test_a_wiped_disk_is_repaired(self):
        """Guards against a disk that has lost records and claims absences."""
        chains = await self.save_turns(4, 3)
        lost = self.hosts[1]
        old_disk = self.member(lost).disk_id
        await lost.stop()
        lost.wipe()
        # The settings of the first start are still in place.
        lost.start()
        await self.until(lambda: self.member(lost).disk_id != old_disk)
        self.assertFalse((await self.check(lost)).is_complete)
        await self.until_complete(lost)
        for other in (self.hosts[0], self.hosts[2]):
            await other.stop()
        self.follow_list()
        await self.assert_found(chains)

    async def test_two_disks_lost_together(self):
        """Guards against two lost disks that confirm each other."""
        chains = await self.save_turns(4, 2)
        lost = self.hosts[:2]
        for host in lost:
            await host.stop()
            host.wipe()
        for host in lost:
            host.start()
        await asyncio.sleep(REACTION_S / 4)
        for host in lost:
            await self.until_complete(host)
        # The last holders of what was lost.
        for host in self.hosts[2:]:
            await host.stop()
        self.follow_list()
        await self.assert_found(chains)

    async def test_a_restart_does_not_make_a_disk_complete(self):
        """Guards against completeness gained by one more restart."""
        await self.save_turns(1, 1)
        for host in self.hosts[1:]:
            await host.stop()
        lost = self.hosts[0]
        await lost.stop()
        lost.wipe()
        for _ in range(2):
            lost.start()
            await self.until(
                lambda: lost.host.storage and lost.host.storage.is_listed
            )
            self.assertFalse((await self.check(lost)).is_complete)
            await lost.stop()


class NewHostsTest(StorageCase):
    host_count = 3

    def add_hosts(self, *names):
        added = [
            Host(self, name, DOMAINS[i % 3]) for i, name in enumerate(names)
        ]
        self.hosts += added
        for host in added:
            host.values["first_start"] = False
            host.start()
        return added

    async def test_three_hosts_added_at_once(self):
        """Guards against new disks that wait for each other's repairs."""
        await self.save_turns(2, 2)
        added = self.add_hosts("n0", "n1", "n2")
        await self.until(lambda: len(self.store.names("history-hosts")) == 6)
        for host in added:
            await self.until_complete(host)
        self.follow_list()
        self.assertEqual(
            (await self.load("no-such-turn")).kind, ErrorKind.TURN_UNKNOWN
        )
        self.retire(added[0])
        await self.until(lambda: self.retirement_state(added[0]) == "completed")

    async def test_a_host_whose_entry_is_unreadable(self):
        """Guards against a lost disk that counts as that of a new host."""
        self.store.put("history-hosts", "n0", {"disk_id": ""})
        (host,) = self.add_hosts("n0")
        await self.until(
            lambda: host.host.storage and host.host.storage.is_listed
        )
        # A check shows the state before any pass of the others has ended.
        self.assertFalse((await self.check(host)).is_complete)
        await self.until_complete(host)

    async def test_a_disk_with_records_without_an_entry(self):
        """Guards against a disk in doubt that counts as that of a new host."""
        await self.save_turns(1, 1)
        host = self.hosts[0]
        await host.stop()
        (host.folder / "complete").unlink()
        self.store.remove("history-hosts", host.name)
        host.start()
        await self.until(
            lambda: host.host.storage and host.host.storage.is_listed
        )
        self.assertFalse((await self.check(host)).is_complete)


class RetirementTest(StorageCase):
    host_count = 6

    async def test_retired_with_two_losses_right_afterwards(self):
        """Guards against a retirement that leaves too few copies."""
        chains = await self.save_turns(8, 2)
        leaving = self.hosts[2]
        self.retire(leaving)
        await self.until(lambda: self.retirement_state(leaving) == "completed")
        self.assertNotIn(leaving.name, self.store.names("history-hosts"))
        await leaving.stop()
        for host in (self.hosts[0], self.hosts[4]):
            await host.stop()
            host.wipe()
        self.follow_list()
        await self.assert_found(chains)

    async def test_records_are_refused_from_then_on(self):
        """Guards against records that are added after the last copies."""
        (chain,) = await self.save_turns(1, 1)
        leaving = self.hosts[0]
        member = self.member(leaving)
        self.retire(leaving)
        await self.until(lambda: self.retirement_state(leaving) == "completed")
        await leaving.stop()
        leaving.start()
        await self.until(lambda: leaving.host.storage is not None)
        await asyncio.sleep(REACTION_S / 4)
        outcome = await self.calls.call(
            member, APPEND_TURNS, AppendTurnsRequest(chain.records), 1.0
        )
        self.assertEqual(
            outcome.unwrap().failure.kind, ErrorKind.HISTORY_UNAVAILABLE
        )
        self.assertNotIn(leaving.name, self.store.names("history-hosts"))
        self.assertEqual(self.retirement_state(leaving), "completed")

    async def test_it_waits_for_enough_other_hosts(self):
        """Guards against a retirement that reduces the copies."""
        await self.save_turns(2, 2)
        for host in self.hosts[3:]:
            await host.stop()
        self.retire(self.hosts[0])
        await asyncio.sleep(REACTION_S)
        self.assertEqual(self.retirement_state(self.hosts[0]), "running")
        self.hosts[3].start()
        await self.until(
            lambda: self.retirement_state(self.hosts[0]) == "completed"
        )


class CutOffTest(StorageCase):
    async def test_a_host_that_is_cut_off_stays_incomplete(self):
        """Guards against a repair that is counted without a connection."""
        chains = await self.save_turns(4, 2)
        lost = self.hosts[3]
        await lost.stop()
        lost.wipe()
        cut = {host.name for host in self.hosts[:2]}
        for host in self.hosts[:2]:
            self.cut_off(host, {lost.name})
        lost.start()
        await self.until(lambda: lost.host.storage is not None)
        self.cut_off(lost, cut)
        await asyncio.sleep(REACTION_S)
        self.assertFalse((await self.check(lost)).is_complete)
        for host in self.hosts:
            self.heal(host)
        await self.until_complete(lost)
        for host in self.hosts[:2]:
            await host.stop()
        await self.assert_found(chains)

    def cut_off(self, host, others):
        clients = host.host.storage.clients
        clients.call = Cut(clients, others)

    def heal(self, host):
        clients = host.host.storage.clients
        if isinstance(clients.call, Cut):
            del clients.call


class Cut:
    """Calls that fail to some hosts."""

    def __init__(self, clients, others):
        self._call = type(clients).call.__get__(clients)
        self._others = others

    async def __call__(self, member, rpc, request, timeout_s):
        if member.host in self._others:
            return Failed(Failure(ErrorKind.PEER_UNAVAILABLE, "cut off"))
        return await self._call(member, rpc, request, timeout_s)


class StoreUnavailableTest(StorageCase):
    async def test_hosts_start_without_the_store(self):
        """Guards against turns that need the platform's store to be read."""
        chains = await self.save_turns(2, 2)
        for host in self.hosts:
            await host.stop()
        self.store.faults.fault = StoreFault.BUSY
        for host in self.hosts:
            host.start()
        await self.until(lambda: all(h.host.storage for h in self.hosts))
        await self.assert_found(chains)
        self.assertEqual(
            (await self.load("no-such-turn")).kind, ErrorKind.TURN_UNKNOWN
        )
        await self.save_turns(1, 1, prefix="later")

    async def test_a_wiped_disk_without_the_store(self):
        """Guards against absences claimed before the members are known."""
        await self.save_turns(1, 1)
        lost = self.hosts[0]
        await lost.stop()
        lost.wipe()
        (lost.folder / "turns").mkdir()
        self.store.faults.fault = StoreFault.BUSY
        lost.start()
        await self.until(lambda: lost.host.storage is not None)
        await asyncio.sleep(REACTION_S)
        reply = await self.calls.call(
            self.member(lost), READ_CHAIN, ReadChainRequest("w", "x"), 1.0
        )
        self.assertFalse(reply.unwrap().is_complete)
        self.store.faults.fault = StoreFault.NONE
        await self.until_complete(lost)

    async def test_registration_and_retirement_wait_for_the_store(self):
        """Guards against a change that is given up after a failed write."""
        host = self.hosts[0]
        self.store.faults.responses_to_lose = 2
        self.store.remove("history-hosts", host.name)
        await self.until(lambda: host.name in self.store.names("history-hosts"))
        self.store.faults.fault = StoreFault.BUSY
        self.retire(host)
        await asyncio.sleep(1.0)
        self.store.faults.fault = StoreFault.NONE
        await self.until(lambda: self.retirement_state(host) == "completed")


class ListTest(StorageCase):
    host_count = 3

    async def test_another_entry_of_the_same_address(self):
        """Guards against one disk that counts as two copies."""
        chains = await self.save_turns(3, 1)
        twin = dataclasses.replace(self.member(self.hosts[1]), host="twin")
        self.list_member(dataclasses.replace(twin, disk_id="earlier"))
        self.retire(self.hosts[0])
        await asyncio.sleep(REACTION_S)
        self.assertEqual(self.retirement_state(self.hosts[0]), "running")
        await self.assert_found(chains)


class StatusTest(StorageCase):
    host_count = 3

    async def test_metrics_and_state_are_served(self):
        """Guards against disks whose state an operator can't see."""
        await self.save_turns(2, 2)
        await asyncio.sleep(REACTION_S)
        for host in self.hosts:
            url = f"http://127.0.0.1:{host.metrics_port}"
            async with httpx.AsyncClient(base_url=url) as http:
                metrics = (await http.get("/metrics")).text
                state = (await http.get("/state")).json()
            self.assertIn("history_turns", metrics)
            self.assertEqual(state["disk"]["turns"], 4)
            self.assertTrue(state["disk"]["is_complete"])
            self.assertEqual(len(state["members"]), 3)


class WithoutHistoryTest(unittest.TestCase):
    def test_the_modules_are_not_loaded(self):
        """Guards against processes that pay for what they do not use."""
        code = (
            "import sys, masticdale_entry.storage;"
            "print([m for m in sys.modules if 'history' in m])"
        )
        found = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(found.stdout.strip(), "[]")
