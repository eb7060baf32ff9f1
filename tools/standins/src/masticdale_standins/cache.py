"""A prefix cache: blocks of tokens under a hash chain, in limited memory."""

import collections
import dataclasses
from collections.abc import Callable

import xxhash

from masticdale_upstreams import CacheEvent, CacheEventKind
from masticdale_upstreams.testing import CHARACTERS_PER_TOKEN, tokens_in


@dataclasses.dataclass(frozen=True, slots=True)
class BranchKey:
    """Whose prefix a block is."""

    program_id: str
    branch_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Blocks:
    """A text as the cache sees it.

    Attributes:
        hashes: One for each whole block; each stands for the text up to its
            end.
        tokens: Tokens of the whole text, the rest after the last block too.
    """

    hashes: tuple[int, ...]
    tokens: int


@dataclasses.dataclass(slots=True, eq=False)
class _Block:
    restorable: bool
    owners: set[BranchKey]


def blocks_of(text: str, block_tokens: int) -> Blocks:
    """Returns the blocks of a text.

    Args:
        text: The joined prompt, perhaps with the answer after it.
        block_tokens: Tokens of one block.
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
    """Remembers prefixes; the least recently used blocks go first."""

    def __init__(
        self,
        capacity_tokens: int,
        block_tokens: int,
        restore_interval: int,
        on_event: Callable[[CacheEvent], None],
    ) -> None:
        self._capacity = capacity_tokens // block_tokens
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
    def held_tokens(self) -> int:
        """Tokens in memory."""
        return len(self._block_by_hash) * self._block_tokens

    def match(self, hashes: tuple[int, ...]) -> int:
        """Returns how many tokens of a prompt need no prefill."""
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
        """Keeps a branch's prefix, whose end becomes restorable."""
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
            self._announce(branch)
        self._touch(hashes)
        self._evict()

    def release(self, program_id: str) -> None:
        """Forgets a program; blocks that others use stay."""
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
            self._forget(branch)

    def clear(self) -> None:
        """Forgets everything, without an event, as a crash does."""
        self._block_by_hash.clear()
        self._count_by_branch.clear()
        self._chain_by_branch.clear()

    def held_by_branch(self) -> dict[BranchKey, int]:
        """Returns tokens held by branch; shared blocks count for each."""
        return {
            branch: count * self._block_tokens
            for branch, count in self._count_by_branch.items()
        }

    def held_by_program(self) -> dict[str, int]:
        """Returns tokens held by program id; shared blocks count for each."""
        held: collections.Counter[str] = collections.Counter()
        for branch, tokens in self.held_by_branch().items():
            held[branch.program_id] += tokens
        return dict(held)

    def chain(self, branch: BranchKey) -> tuple[int, ...]:
        """Returns the part of a branch's prefix that is still held."""
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
        # From the end, so that the start of a prefix is the last to go: a
        # prefix without its start is worth nothing.
        for block_hash in reversed(hashes):
            self._block_by_hash.move_to_end(block_hash)

    def _evict(self) -> None:
        losers: set[BranchKey] = set()
        while len(self._block_by_hash) > self._capacity:
            _, block = self._block_by_hash.popitem(last=False)
            for branch in block.owners:
                self._count_by_branch[branch] -= 1
            losers |= block.owners
        for branch in sorted(losers, key=lambda b: (b.program_id, b.branch_id)):
            if self._count_by_branch[branch]:
                self._announce(branch)
            else:
                self._forget(branch)

    def _announce(self, branch: BranchKey) -> None:
        tokens = self._count_by_branch[branch] * self._block_tokens
        self._on_event(
            CacheEvent(
                CacheEventKind.STORED,
                branch.program_id,
                branch.branch_id,
                tokens,
            )
        )

    def _forget(self, branch: BranchKey) -> None:
        self._count_by_branch.pop(branch, None)
        self._chain_by_branch.pop(branch, None)
        self._on_event(
            CacheEvent(
                CacheEventKind.EVICTED, branch.program_id, branch.branch_id, 0
            )
        )
