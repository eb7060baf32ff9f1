"""Test case with storage hosts that keep histories, and a client of them."""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time
import unittest

from case import configuration, route
from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import Metrics
from masticdale_entry.settings import Settings
from masticdale_entry.storage import StorageHost
from masticdale_history import (
    Chain,
    HistoryClient,
    MemberDirectory,
    TurnRecord,
    create_member_client,
    encode_member,
    member_key,
    parse_member,
)
from masticdale_history.member_clients import MemberClients
from masticdale_history.messages import CHECK, CheckRequest
from masticdale_platform import StoredObject, WatchBatch
from masticdale_standins.objects import FakeObjectStore
from masticdale_standins.testing import free_port

START = pathlib.Path(__file__).resolve().parents[3] / "deploy" / "start.py"
DOMAINS = ("north", "south", "west")
RETENTION_S = 60
CALL_S = 1.0
# Longest time until an awaited state is reached, in seconds.
PATIENCE_S = 20.0


def history_route():
    return route(
        "/chats/",
        "streaming",
        "engine",
        retain_history=True,
        retention_s=RETENTION_S,
    )


class Host:
    """A storage host in this process or, if asked, in one of its own."""

    def __init__(self, case, name, domain, is_process=False):
        self.name = name
        self.port = free_port()
        self.metrics_port = free_port()
        self.folder = case.folder / name
        self.folder.mkdir()
        self.is_process = is_process
        self.values = {
            "host": name,
            "role": "storage",
            "failure_domain": domain,
            "store": f"127.0.0.1:{case.store.port}",
            "grace_s": 6,
            "history": f"127.0.0.1:{self.port}",
            "data_dir": str(self.folder),
            "disk_mb": 50,
            "first_start": True,
            "tolerated_losses": case.tolerated,
            "metrics_port": self.metrics_port,
        }
        self.process = None
        self.host = None
        self.task = None

    def start(self):
        if self.is_process:
            settings = self.folder.parent / f"{self.name}.json"
            settings.write_text(json.dumps(self.values))
            self.process = subprocess.Popen(
                [sys.executable, str(START)],
                env=os.environ | {"MASTICDALE_BOOT": str(settings)},
                stdout=subprocess.DEVNULL,
            )
            return
        settings = Settings.model_validate_json(json.dumps(self.values))
        self.host = StorageHost(settings)
        self.task = asyncio.create_task(self.host.run(asyncio.Event()))

    async def stop(self):
        """Ends the host without a chance to tell the others."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None
        if self.host is not None:
            host, self.host = self.host, None
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
            await host.close()

    def wipe(self):
        """Empties the disk of a stopped host."""
        shutil.rmtree(self.folder)
        self.folder.mkdir()


class StorageCase(unittest.IsolatedAsyncioTestCase):
    """Has storage hosts; subclasses set their number."""

    host_count = 4
    tolerated = 2
    are_processes = False

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.store = FakeObjectStore()
        await self.store.start()
        self.store.put(
            "config", "main", configuration(routes=[history_route()])
        )
        self.hosts = [
            Host(self, f"s{i}", DOMAINS[i % 3], self.are_processes)
            for i in range(self.host_count)
        ]
        self.metrics = Metrics()
        self.calls = MemberClients(
            lambda member: create_member_client(member, self.metrics)
        )
        for host in self.hosts:
            host.start()
        await self.until(
            lambda: len(self.store.names("history-hosts")) == self.host_count
        )
        self.directory = MemberDirectory()
        self.follow_list()

    async def asyncTearDown(self):
        self.calls.close()
        for host in self.hosts:
            await host.stop()
        await self.store.stop()

    def follow_list(self):
        """Gives the list in the store to the clients."""
        objects = self.stored_members()
        self.directory.apply(WatchBatch(1, objects, (), True), False)

    def stored_members(self):
        """Returns the objects of the storage hosts in the store."""
        objects = []
        for name in self.store.names("history-hosts"):
            spec = json.dumps(self.store.get("history-hosts", name)).encode()
            objects.append(StoredObject(member_key(name), 1, spec))
        return tuple(objects)

    async def list_members(self):
        """Reads the list of the storage hosts, as an entry host does."""
        return Success(self.stored_members())

    def member(self, host):
        spec = json.dumps(self.store.get("history-hosts", host.name)).encode()
        return parse_member(host.name, spec).unwrap()

    @contextlib.asynccontextmanager
    async def new_client(self):
        """Returns a client with an empty cache, as another host has it."""
        client = HistoryClient(
            self.directory,
            DOMAINS[0],
            self.tolerated,
            self.metrics,
            lambda member: create_member_client(member, self.metrics),
            self.list_members,
        )
        try:
            yield client
        finally:
            await client.close()

    async def save_turns(self, chains, turns, prefix="turn"):
        """Saves chains and returns them."""
        saved = []
        loop = asyncio.get_running_loop()
        async with self.new_client() as client:
            for c in range(chains):
                chain = Chain()
                for t in range(turns):
                    record = TurnRecord(
                        f"{prefix}-{c}-{t}",
                        "w",
                        chain.records[-1].turn_id if t else "",
                        f"session-{c}",
                        f"input {c} {t}".encode(),
                        b"output\n",
                        time.time_ns() // 1_000_000,
                        RETENTION_S * 1000,
                    )
                    outcome = await client.save(
                        "r", record, chain, loop.time() + 2
                    )
                    self.assertNotIsInstance(outcome, Failed)
                    chain = chain.with_turn(record)
                saved.append(chain)
        return saved

    async def load(self, turn_id, session=""):
        """Returns a chain or the failure of its load."""
        deadline_at = asyncio.get_running_loop().time() + 2
        async with self.new_client() as client:
            outcome = await client.load("r", "w", turn_id, session, deadline_at)
        if isinstance(outcome, Failed):
            return outcome.failure()
        return outcome.unwrap()

    async def assert_found(self, chains):
        for chain in chains:
            found = await self.load(chain.records[-1].turn_id, chain.key)
            self.assertEqual(found, chain)

    async def check(self, host):
        """Returns a host's answer to a check; None without one."""
        outcome = await self.calls.call(
            self.member(host), CHECK, CheckRequest("test"), CALL_S
        )
        return None if isinstance(outcome, Failed) else outcome.unwrap()

    async def until_complete(self, host):
        async with asyncio.timeout(PATIENCE_S):
            while True:
                reply = await self.check(host)
                if reply is not None and reply.is_complete:
                    return
                await asyncio.sleep(0.05)

    async def until(self, condition):
        async with asyncio.timeout(PATIENCE_S):
            while not condition():
                await asyncio.sleep(0.02)

    def retire(self, host):
        self.store.put("retirements", host.name, {"duration_s": 30})

    def retirement_state(self, host):
        status = self.store.status("retirements", host.name)
        return status["state"] if status else None

    def list_member(self, member):
        self.store.put(
            "history-hosts", member.host, json.loads(encode_member(member))
        )
