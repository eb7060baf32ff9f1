"""Tests of applying changes: concurrent operators, lost answers, outages."""

import asyncio
import dataclasses
import enum
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure
from masticdale_config import (
    ActiveConfig,
    ConfigStore,
    kinds,
    storage,
    testing,
)
from masticdale_platform.testing import MemoryStore

ENGINE = testing.engine("e", "permit-70b")
MORE_THAN_ALL_WRITES = 100


def _operator(store, snapshot_every=3):
    return ConfigStore(store, ActiveConfig(), snapshot_every)


def _engine(port):
    return testing.engine("e", "permit-70b", port=port)


class ApplyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.operator = _operator(self.store)

    async def _apply(self, change_id, *edits, operator=None):
        change = testing.change(change_id, *edits)
        return await (operator or self.operator).apply(change)

    async def test_many_declarations_are_one_revision(self):
        edits = [testing.put(d) for d in testing.tengri_trails()]
        accepted = (await self._apply("c1", *edits)).unwrap()
        self.assertEqual(accepted.revision, 1)
        state = (await _operator(self.store).load()).unwrap()
        self.assertEqual(state.rendered.digest, accepted.digest)
        self.assertEqual(len(state.declaration_by_key), len(edits))

    async def test_an_invalid_change_writes_nothing(self):
        workspace = testing.workspace("w", "none", ["e"], "k")
        outcome = await self._apply(
            "c1", testing.put(ENGINE), testing.put(workspace)
        )
        self.assertIs(outcome.failure().kind, ErrorKind.BAD_REQUEST)
        self.assertEqual(self.store.write_count, 0)

    async def test_a_change_above_the_size_limit_is_rejected(self):
        prompt = "x" * 390_000
        edits = [
            testing.put(
                testing.template(
                    f"t{i}", testing.program("p", system_prompt=prompt)
                )
            )
            for i in range(3)
        ]
        outcome = await self._apply("c1", *edits)
        self.assertIs(outcome.failure().kind, ErrorKind.TOO_LARGE)
        self.assertEqual(self.store.write_count, 0)

    async def test_a_conflict_names_the_winning_change(self):
        """Two operators edit the same engine, based on the same revision.

        The second change must not overwrite the first one unseen. Its
        conflict names the field and the change that won.
        """
        await self._apply("c1", testing.put(ENGINE))
        other = _operator(self.store)
        (await other.load()).unwrap()
        await self._apply("c2", testing.put(_engine(8000), ENGINE))
        lost = await self._apply(
            "c3", testing.put(_engine(8001), ENGINE), operator=other
        )
        self.assertIs(lost.failure().kind, ErrorKind.CONFLICT)
        for part in ("Upstream/e: spec.address", "revision 2", "c2", "ayana"):
            self.assertIn(part, lost.failure().detail)

    async def test_changes_of_other_declarations_are_rebased(self):
        other = _operator(self.store)
        (await other.load()).unwrap()
        await self._apply("c1", testing.put(ENGINE))
        second = testing.engine("e2", "permit-70b")
        accepted = await self._apply("c2", testing.put(second), operator=other)
        self.assertEqual(accepted.unwrap().revision, 2)

    async def test_a_lost_write_answer_is_resolved_by_reading(self):
        """The platform executes the write, but its answer is lost.

        The retry finds the own change id in revision 1 and must not write a
        second revision.
        """
        self.store.faults.lose_write_answers = 1
        accepted = (await self._apply("c1", testing.put(ENGINE))).unwrap()
        self.assertEqual(accepted.revision, 1)
        self.assertEqual(self.store.write_count, 1)

    async def test_a_retried_apply_returns_its_revision(self):
        edit = testing.put(ENGINE)
        await self._apply("c1", edit)
        await self._apply("c2", testing.put(_engine(8000), ENGINE))
        again = await self._apply("c1", edit, operator=_operator(self.store))
        self.assertEqual(again.unwrap().revision, 1)
        reused = await self._apply("c1", testing.put(_engine(8001), ENGINE))
        self.assertIs(reused.failure().kind, ErrorKind.REQUEST_ID_REUSED)

    async def test_an_unresolved_write_is_reported_as_unknown(self):
        """Every write of one apply is dropped without an answer.

        Any of them may still take effect, so the failure must not claim that
        nothing was written. A retry under the same id is safe.
        """
        self.store.faults.drop_writes = MORE_THAN_ALL_WRITES
        outcome = await self._apply("c1", testing.put(ENGINE))
        self.assertIs(outcome.failure().kind, ErrorKind.WRITE_UNKNOWN)
        self.store.faults.drop_writes = 0
        again = await self._apply("c1", testing.put(ENGINE))
        self.assertEqual(again.unwrap().revision, 1)

    async def test_a_failed_read_back_leaves_the_write_unknown(self):
        """The answer of a write is lost and then the platform goes down.

        The change is written but cannot be read back. The failure must not
        claim that nothing was written.
        """

        class _DownAfterWrite(MemoryStore):
            async def write(self, key, value, expected_version):
                self.faults.lose_write_answers = 1
                outcome = await super().write(key, value, expected_version)
                self.faults.down = True
                return outcome

        operator = _operator(_DownAfterWrite())
        outcome = await self._apply(
            "c1", testing.put(ENGINE), operator=operator
        )
        self.assertIs(outcome.failure().kind, ErrorKind.WRITE_UNKNOWN)

    async def test_an_outage_is_reported_as_unavailable(self):
        self.store.faults.down = True
        outcome = await self._apply("c1", testing.put(ENGINE))
        self.assertIs(outcome.failure().kind, ErrorKind.PLATFORM_UNAVAILABLE)

    async def test_a_fresh_host_starts_from_a_snapshot(self):
        seen = None
        for number in range(1, 8):
            engine = _engine(8000 + number)
            await self._apply(f"c{number}", testing.put(engine, seen))
            seen = engine
        for number in range(1, 4):
            key = storage.revision_key(number)
            stored = (await self.store.read(key)).unwrap()
            await self.store.delete(key, stored.version)
        state = (await _operator(self.store).load()).unwrap()
        self.assertEqual(state, self.operator._active_config.state)


class _Fault(enum.Enum):
    NONE = "none"
    DOWN = "down"
    LOST = "lost"
    DROPPED = "dropped"
    LATE = "late"


class _FaultyStore(MemoryStore):
    """Injects the drawn faults; a late write takes effect after its failure."""

    def __init__(self, draws):
        super().__init__()
        self._draws = iter(draws)
        self._late = []

    async def _next_fault(self):
        fault, yields = next(self._draws, (_Fault.NONE, 0))
        for _ in range(yields):
            await asyncio.sleep(0)
        if yields and self._late:
            await self.land_late()
        return fault

    def stop_faults(self):
        self._draws = iter(())

    async def land_late(self):
        late, self._late = self._late, []
        for arguments in late:
            await super().write(*arguments)

    async def read(self, key):
        if await self._next_fault() is _Fault.DOWN:
            return Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE, key))
        return await super().read(key)

    async def write(self, key, value, expected_version):
        fault = await self._next_fault()
        unknown = Failed(Failure(ErrorKind.WRITE_UNKNOWN, key))
        if fault is _Fault.DOWN:
            return Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE, key))
        if fault is _Fault.DROPPED:
            return unknown
        if fault is _Fault.LATE:
            self._late.append((key, value, expected_version))
            return unknown
        outcome = await super().write(key, value, expected_version)
        return unknown if fault is _Fault.LOST else outcome


_FAULTS = st.sampled_from([*_Fault, _Fault.NONE, _Fault.NONE])
_DRAWS = st.lists(st.tuples(_FAULTS, st.integers(0, 3)), max_size=60)
_SENDS = 3
_CHANGES_EACH = 3


@dataclasses.dataclass
class _Applied:
    """One operator's change: the declarations it saw and its outcomes."""

    seen: tuple[kinds.Declaration | None, ...]
    answers: list


async def _operate(name, store, applied_by_change):
    """Edits two shared engines in one change; retries an unknown outcome."""
    operator = ConfigStore(store, ActiveConfig(), 2, backoff_s=0)
    for number in range(_CHANGES_EACH):
        await operator.load()
        by_key = operator._active_config.state.declaration_by_key
        port = 8000 + 100 * (name == "b") + number
        wanted = [testing.engine(e, "m", port=port) for e in ("e1", "e2")]
        seen = tuple(by_key.get(kinds.key_of(engine)) for engine in wanted)
        edits = map(testing.put, wanted, seen)
        change = testing.change(f"{name}{number}", *edits, author=name)
        applied = _Applied(seen, [])
        applied_by_change[change.change_id] = applied
        for _ in range(_SENDS):
            outcome = await operator.apply(change)
            applied.answers.append(outcome)
            if not _may_be_written(outcome):
                break
            await asyncio.sleep(0)


def _may_be_written(outcome):
    if isinstance(outcome, Success):
        return False
    return outcome.failure().kind is ErrorKind.WRITE_UNKNOWN


class InterleavingsTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(_DRAWS)
    def test_two_operators_make_one_whole_sequence(self, draws):
        """Two operators edit the same two engines on a faulty platform.

        Answers are lost, writes are dropped or take effect late, calls fail.
        Both engines must change together. Each change must appear in the
        sequence at most once, an accepted one under its number, and a change
        reported as not written never.
        """
        asyncio.run(self._check(draws))

    async def _check(self, draws):
        store = _FaultyStore(draws)
        applied_by_change = {}
        await asyncio.gather(
            _operate("a", store, applied_by_change),
            _operate("b", store, applied_by_change),
        )
        store.stop_faults()
        await store.land_late()
        reader = _operator(store)
        state = (await reader.load()).unwrap()
        ids = []
        for number in range(1, state.number + 1):
            revision = (await reader.revision(number)).unwrap()
            ids.append(revision.change_id)
            ports = {e.after.spec.address for e in revision.edits}
            self.assertEqual((len(revision.edits), len(ports)), (2, 1))
            seen = applied_by_change[revision.change_id].seen
            self.assertEqual(tuple(e.before for e in revision.edits), seen)
        self.assertEqual(len(set(ids)), len(ids))
        for change_id, applied in applied_by_change.items():
            self._check_answers(change_id, applied.answers, ids)

    def _check_answers(self, change_id, answers, ids):
        last = answers[-1]
        if isinstance(last, Success):
            self.assertEqual(ids[last.unwrap().revision - 1], change_id)
            return
        kind = last.failure().kind
        # An outage does not tell whether an earlier attempt was written.
        if kind is ErrorKind.CONFLICT or len(answers) == 1:
            written = kind is ErrorKind.WRITE_UNKNOWN and change_id in ids
            self.assertEqual(change_id in ids, written)


if __name__ == "__main__":
    unittest.main()
