"""Tests of the store under crashes, expiry and compaction in any order."""

import asyncio
import contextlib
import random
import tempfile
from unittest import mock

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.result import Failure as Failed
from store_case import (
    CAPACITY_BYTES,
    RETENTION_MS,
    CrashingDisk,
    PowerCutError,
    turn,
)

from masticdale_common import MasticdaleError
from masticdale_history import (
    CLOCK_MARGIN_MS,
    TurnKey,
    open_store,
    segments,
    store,
)

_WORKSPACES = st.sampled_from(["", "w", "v"])
_TURN_IDS = st.integers(0, 30).map(str)
_SEEDS = st.integers(0, 2**32)
_STEPS_PER_PLAN = 40
_PLANS = 50


class StoreMachine(RuleBasedStateMachine):
    """Guards against records that are lost, changed, torn or shown wrongly.

    The same ids are used in several workspaces, with other contents. A record
    that was acknowledged, or seen once, must stay until it has expired.
    """

    def __init__(self):
        super().__init__()
        self.stack = contextlib.ExitStack()
        self.stack.enter_context(
            mock.patch.multiple(store, _CACHE_BYTES=1000, _MAX_MOVE_BYTES=200)
        )
        self.stack.enter_context(
            mock.patch.object(segments, "SEGMENT_BYTES", 600)
        )
        root = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.disk = CrashingDisk(root)
        self.stack.enter_context(self.disk.patched())
        self.runner = self.stack.enter_context(asyncio.Runner())
        self.now_ms = 1_000
        self.tried_by_key = {}
        self.safe_by_key = {}
        self.store = self.open()
        self.disk_id = self.store.disk_id

    def teardown(self):
        self.run(self.store.close())
        self.stack.close()

    def open(self):
        return open_store(self.disk.folder, CAPACITY_BYTES, lambda: self.now_ms)

    def reopen(self, seed):
        """Starts the process until its disk works."""
        self.run(self.store.close())
        try:
            self.store = self.open()
        except PowerCutError:
            self.disk.lose_power(random.Random(seed))
            self.store = self.open()
        except MasticdaleError:
            self.disk.restore_power()
            self.store = self.open()

    def run(self, coroutine):
        return self.runner.run(coroutine)

    @rule(
        calls=st.lists(
            st.tuples(_WORKSPACES, _TURN_IDS, _TURN_IDS | st.just("")),
            min_size=1,
            max_size=6,
        ),
        size_bytes=st.integers(0, 300),
    )
    def append(self, calls, size_bytes):
        records = []
        for workspace, turn_id, previous_id in calls:
            key = TurnKey(workspace, turn_id)
            if key not in self.tried_by_key:
                self.tried_by_key[key] = turn(
                    turn_id, previous_id, workspace, self.now_ms, size_bytes
                )
            records.append(self.tried_by_key[key])
        self.run(self.append_all(records))

    @rule(size_bytes=st.integers(0, 60))
    def append_mixed(self, size_bytes):
        """Fills segments that are sparse soon, so that they are compacted."""
        records = []
        for number in range(14):
            age_ms = 0 if number % 7 == 3 else RETENTION_MS
            record = turn(
                f"mixed-{len(self.tried_by_key)}",
                ended_at_ms=self.now_ms - age_ms,
                size_bytes=size_bytes,
            )
            self.tried_by_key[record.key] = record
            records.append(record)
        self.run(self.append_all(records))

    async def append_all(self, records):
        outcomes = await asyncio.gather(
            *(self.store.append(self.tried_chain(r)) for r in records)
        )
        for record, outcome in zip(records, outcomes, strict=True):
            if not isinstance(outcome, Failed):
                for part in self.tried_chain(record):
                    self.safe_by_key[part.key] = part

    def tried_chain(self, record):
        """Returns the records up to one; a previous turn may not exist."""
        chain = [record]
        while (previous := chain[0].previous_key) in self.tried_by_key:
            record = self.tried_by_key[previous]
            if record in chain:
                break
            chain.insert(0, record)
        return chain

    @rule(step_ms=st.sampled_from([500, 5_000, 30_000, 66_000]))
    def advance(self, step_ms):
        self.now_ms += step_ms

    @rule()
    def expire(self):
        self.run(self.store.expire())

    @rule(seed=_SEEDS)
    def restart(self, seed):
        """Unsynced data stays in the page cache."""
        self.reopen(seed)

    @rule(syncs=st.integers(0, 3))
    def arm_power_cut(self, syncs):
        self.disk.cut_power_after(syncs)

    @rule(seed=_SEEDS)
    def lose_power(self, seed):
        self.run(self.store.close())
        self.disk.lose_power(random.Random(seed))
        self.store = self.open()

    @rule(seed=_SEEDS, syncs=st.integers(0, 8))
    def lose_power_while_starting(self, seed, syncs):
        self.run(self.store.close())
        self.disk.lose_power(random.Random(seed))
        self.disk.cut_power_after(syncs)
        self.reopen(seed + 1)

    @rule()
    def kill(self):
        """Ends the process where its power would have been cut."""
        self.run(self.store.close())
        self.disk.restore_power()
        self.store = self.open()

    @rule()
    def fail_sync(self):
        self.disk.fail_syncs()

    @invariant()
    def shows_what_is_safe(self):
        for key in self.tried_by_key:
            if self.store.holds(key.workspace, key.turn_id):
                self.safe_by_key[key] = self.tried_by_key[key]
        self.forget_expired()
        entry_by_key = {e.key: e for e in self.store.entries()}
        assert set(entry_by_key) <= set(self.safe_by_key)
        for key, record in self.safe_by_key.items():
            assert self.store.holds(key.workspace, key.turn_id), key
            is_retained = self.now_ms < record.expires_at_ms + CLOCK_MARGIN_MS
            assert (key in entry_by_key) == is_retained
            chain = self.run(self.store.read_chain(key.workspace, key.turn_id))
            if not is_retained:
                assert chain is None
                continue
            assert chain.records == tuple(self.tried_chain(record))
        assert self.store.disk_id == self.disk_id

    def forget_expired(self):
        """Removes what need not be held, and may be reused, any more."""
        kept = set()
        for record in self.safe_by_key.values():
            if self.now_ms < record.expires_at_ms + CLOCK_MARGIN_MS:
                kept |= {part.key for part in self.tried_chain(record)}
        self.safe_by_key = {
            key: record
            for key, record in self.safe_by_key.items()
            if key in kept
        }


StoreMachine.TestCase.settings = settings(
    max_examples=_PLANS,
    stateful_step_count=_STEPS_PER_PLAN,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
AnyOrderTest = StoreMachine.TestCase
