"""A prefix cache of token blocks with chained hashes and LRU eviction."""

import collections
import dataclasses
from collections.abc import Callable

import xxhash

from masticdale_upstreams import CacheEvent, CacheEventKind
from masticdale_upstreams.testing import CHARACTERS_PER_TOKEN, tokens_in


@dataclasses.dataclass(frozen=True, slots=True)
class BranchKey:
    """Identifies the branch of a program that a prefix belongs to."""

    program_id: str
    branch_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Blocks:
    """A text split into cache blocks.

    Attributes:
        hashes: One hash per complete block, of the text up to its end.
        tokens: Tokens of the text, including an incomplete last block.
    """

    hashes: tuple[int, ...]
    tokens: int


@dataclasses.dataclass(slots=True, eq=False)
class _Block:
    restorable: bool
    owners: set[BranchKey]


def split_into_blocks(text: str, block_tokens: int) -> Blocks:
    """Splits a text into blocks.

    Args:
        text: The joined prompt, possibly followed by the answer.
        block_tokens: Tokens per block.
    """
    size = block_tokens * CHARACTERS_PER_TOKEN
    hashes = []
    chain = 0
    for start in range(0, len(text) - size + 1, size):
        block = text[start : start + size].encode()
        chain = xxhash.xxh3_64_intdigest(block, seed=chain)
        hashes.append(chain)
    return Blocks(tuple(hashes), tokens_in(text))


class PrefixCache:
    """Caches prefixes and evicts the least recently used blocks."""

    def __init__(
        self,
        capacity_tokens: int,
        block_tokens: int,
        restore_interval: int,
        on_event: Callable[[CacheEvent], None],
    ) -> None:
        self._capacity_blocks = capacity_tokens // block_tokens
        self._block_tokens = block_tokens
        self._restore_interval = restore_interval
        self._on_event = on_event
        self._block_by_hash: collections.OrderedDict[int, _Block] = (
            collections.OrderedDict()
        )
        self._count_by_branch: collections.Counter[BranchKey] = (
            collections.Counter()
        )
        self._chain_by_branch: dict[BranchKey, tuple[int, ...]] = {}

    @property
    def cached_tokens(self) -> int:
        """Number of cached tokens."""
        return len(self._block_by_hash) * self._block_tokens

    def match(self, hashes: tuple[int, ...]) -> int:
        """Returns the number of prompt tokens that need no prefill."""
        usable = 0
        for position, block_hash in enumerate(hashes, start=1):
            block = self._block_by_hash.get(block_hash)
            if block is None:
                break
            if block.restorable:
                usable = position
        self._touch(hashes[:usable])
        return usable * self._block_tokens

    def store(self, branch: BranchKey, hashes: tuple[int, ...]) -> None:
        """Caches a branch's prefix and makes its end restorable."""
        for position, block_hash in enumerate(hashes, start=1):
            block = self._block_by_hash.get(block_hash)
            if block is None:
                block = _Block(self._is_restorable(position), set())
                self._block_by_hash[block_hash] = block
            if branch not in block.owners:
                block.owners.add(branch)
                self._count_by_branch[branch] += 1
        if hashes:
            self._block_by_hash[hashes[-1]].restorable = True
            self._chain_by_branch[branch] = hashes
            self._emit_stored(branch)
        self._touch(hashes)
        self._evict()

    def release(self, program_id: str) -> None:
        """Drops a program's prefixes; blocks shared with others stay."""
        branches = {
            b for b in self._chain_by_branch if b.program_id == program_id
        }
        if not branches:
            return
        for block_hash, block in list(self._block_by_hash.items()):
            block.owners -= branches
            if not block.owners:
                del self._block_by_hash[block_hash]
        for branch in branches:
            self._drop_branch(branch)

    def clear(self) -> None:
        """Drops everything without an event, as a crash does."""
        self._block_by_hash.clear()
        self._count_by_branch.clear()
        self._chain_by_branch.clear()

    def tokens_by_branch(self) -> dict[BranchKey, int]:
        """Returns cached tokens by branch; shared blocks count for each."""
        return {
            branch: count * self._block_tokens
            for branch, count in self._count_by_branch.items()
        }

    def tokens_by_program(self) -> dict[str, int]:
        """Returns cached tokens by program; shared blocks count for each."""
        held: collections.Counter[str] = collections.Counter()
        for branch, tokens in self.tokens_by_branch().items():
            held[branch.program_id] += tokens
        return dict(held)

    def chain(self, branch: BranchKey) -> tuple[int, ...]:
        """Returns the hashes of a branch's prefix that is still cached."""
        held = []
        for block_hash in self._chain_by_branch.get(branch, ()):
            if block_hash not in self._block_by_hash:
                break
            held.append(block_hash)
        return tuple(held)

    def _is_restorable(self, position: int) -> bool:
        if not self._restore_interval:
            return True
        return position * self._block_tokens % self._restore_interval == 0

    def _touch(self, hashes: tuple[int, ...]) -> None:
        # In reverse, so that a prefix is evicted from its end: blocks without
        # the ones before them can't be matched.
        for block_hash in reversed(hashes):
            self._block_by_hash.move_to_end(block_hash)

    def _evict(self) -> None:
        affected: set[BranchKey] = set()
        while len(self._block_by_hash) > self._capacity_blocks:
            _, block = self._block_by_hash.popitem(last=False)
            for branch in block.owners:
                self._count_by_branch[branch] -= 1
            affected |= block.owners
        for branch in sorted(
            affected, key=lambda b: (b.program_id, b.branch_id)
        ):
            if self._count_by_branch[branch]:
                self._emit_stored(branch)
            else:
                self._drop_branch(branch)

    def _emit_stored(self, branch: BranchKey) -> None:
        tokens = self._count_by_branch[branch] * self._block_tokens
        self._on_event(
            CacheEvent(
                CacheEventKind.STORED,
                branch.program_id,
                branch.branch_id,
                tokens,
            )
        )

    def _drop_branch(self, branch: BranchKey) -> None:
        self._count_by_branch.pop(branch, None)
        self._chain_by_branch.pop(branch, None)
        self._on_event(
            CacheEvent(
                CacheEventKind.EVICTED, branch.program_id, branch.branch_id, 0
            )
        )
