"""Estimates the content of a replica's prefix cache.

The estimate follows the prompts sent to the replica and its cache events,
which arrive late and may be lost. A wrong estimate costs time, not correctness.
"""

import collections
import dataclasses

_DEFAULT_MAX_BRANCHES = 50_000
# Share of a prefix that counts as still cached, per gap in the cache events
# since its last confirmation; the lost events may be its eviction.
_GAP_DISCOUNT = 0.7
# Events that arrive this soon after a branch's last call may concern an earlier
# call, and must not shrink its prefix.
_EVENT_LAG_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class BranchKey:
    """Identifies a branch of a program.

    Attributes:
        program_id: Id of the program.
        branch_id: Id of the branch.
    """

    program_id: str
    branch_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixRequest:
    """A prompt to look up in the index.

    Attributes:
        branch: The branch that it belongs to.
        prompt_tokens: Length of the whole prompt in tokens.
        template: Digest of the shared template at its start; empty if none.
        template_tokens: Length of the template in tokens.
        parent: For a sub-agent, the branch whose prefix it shares.
        parent_tokens: Tokens shared with the parent.
    """

    branch: BranchKey
    prompt_tokens: int
    template: str = ""
    template_tokens: int = 0
    parent: BranchKey | None = None
    parent_tokens: int = 0


@dataclasses.dataclass(slots=True)
class _CachedPrefix:
    tokens: int
    template: str
    gaps_at_confirmation: int
    used_at: float


class PrefixIndex:
    """Estimated content of one replica's prefix cache.

    Attributes:
        capacity_tokens: Capacity of the cache in tokens; 0 if unknown.
    """

    def __init__(
        self,
        restore_interval: int = 1,
        max_branches: int = _DEFAULT_MAX_BRANCHES,
    ) -> None:
        self.capacity_tokens = 0
        self._restore_interval = max(1, restore_interval)
        self._max_branches = max_branches
        self._prefix_by_branch: collections.OrderedDict[
            BranchKey, _CachedPrefix
        ] = collections.OrderedDict()
        self._branches_by_program: dict[str, set[BranchKey]] = {}
        self._tokens_by_template: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._held_tokens = 0
        self._gaps = 0

    @property
    def held_tokens(self) -> int:
        """Estimated tokens in the cache; templates count once per branch."""
        return self._held_tokens

    def __len__(self) -> int:
        return len(self._prefix_by_branch)

    def cached_tokens(self, request: PrefixRequest) -> int:
        """Returns the prompt tokens expected to be served from the cache.

        An engine restores prefixes only at multiples of its restore interval,
        and always computes at least the last token.

        Args:
            request: The prompt.
        """
        best = self._expected_tokens(request.branch)
        if request.parent is not None:
            parent = min(
                request.parent_tokens, self._expected_tokens(request.parent)
            )
            best = max(best, parent)
        template = self._tokens_by_template.get(request.template, 0)
        best = max(best, min(template, request.template_tokens))
        best = min(best, max(0, request.prompt_tokens - 1))
        return best - best % self._restore_interval

    def record_sent(self, request: PrefixRequest, now: float) -> None:
        """Records a prompt sent to the replica."""
        self._store(
            request.branch, request.prompt_tokens, request.template, now
        )
        if request.template:
            self._tokens_by_template[request.template] = request.template_tokens
            self._tokens_by_template.move_to_end(request.template)
            if len(self._tokens_by_template) > self._max_branches:
                self._tokens_by_template.popitem(last=False)

    def record_finished(
        self, branch: BranchKey, tokens: int, now: float
    ) -> None:
        """Records the context length, including the response, after a call."""
        prefix = self._prefix_by_branch.get(branch)
        template = prefix.template if prefix else ""
        self._store(branch, tokens, template, now)

    def record_stored(self, branch: BranchKey, tokens: int, now: float) -> None:
        """Applies a cache event: the engine stored a prefix."""
        prefix = self._prefix_by_branch.get(branch)
        if prefix is None:
            self._store(branch, tokens, "", now)
            return
        # Events arrive late: one about an earlier call must not shrink the
        # prefix of a later call.
        if self._is_recent(prefix, now) and tokens < prefix.tokens:
            return
        self._held_tokens += tokens - prefix.tokens
        prefix.tokens = tokens
        prefix.gaps_at_confirmation = self._gaps

    def record_evicted(
        self, branch: BranchKey, tokens: int, now: float
    ) -> None:
        """Applies a cache event: a prefix was evicted down to ``tokens``."""
        prefix = self._prefix_by_branch.get(branch)
        if prefix is None or self._is_recent(prefix, now):
            return
        if tokens <= 0:
            self._remove(branch)
            return
        self._held_tokens += tokens - prefix.tokens
        prefix.tokens = tokens
        prefix.gaps_at_confirmation = self._gaps

    def record_event_gap(self) -> None:
        """Records that cache events were lost."""
        self._gaps += 1

    def remove_program(self, program_id: str) -> None:
        """Removes all branches of a program."""
        for branch in list(self._branches_by_program.get(program_id, ())):
            self._remove(branch)

    def clear(self) -> None:
        """Removes everything, after a restart of the replica."""
        self._prefix_by_branch.clear()
        self._branches_by_program.clear()
        self._tokens_by_template.clear()
        self._held_tokens = 0

    def _is_recent(self, prefix: _CachedPrefix, now: float) -> bool:
        return now - prefix.used_at < _EVENT_LAG_S

    def _expected_tokens(self, branch: BranchKey) -> int:
        prefix = self._prefix_by_branch.get(branch)
        if prefix is None:
            return 0
        gaps = self._gaps - prefix.gaps_at_confirmation
        return int(prefix.tokens * _GAP_DISCOUNT**gaps)

    def _store(
        self, branch: BranchKey, tokens: int, template: str, now: float
    ) -> None:
        previous = self._prefix_by_branch.pop(branch, None)
        if previous is not None:
            self._held_tokens -= previous.tokens
        self._prefix_by_branch[branch] = _CachedPrefix(
            tokens, template, self._gaps, now
        )
        self._held_tokens += tokens
        siblings = self._branches_by_program.setdefault(
            branch.program_id, set()
        )
        siblings.add(branch)
        self._evict_excess()

    def _evict_excess(self) -> None:
        # Engines evict the least recently used prefix. The index does the same,
        # so that it stays accurate when eviction events are lost.
        while len(self._prefix_by_branch) > 1 and self._is_over_capacity():
            self._remove(next(iter(self._prefix_by_branch)))

    def _is_over_capacity(self) -> bool:
        if len(self._prefix_by_branch) > self._max_branches:
            return True
        return 0 < self.capacity_tokens < self._held_tokens

    def _remove(self, branch: BranchKey) -> None:
        prefix = self._prefix_by_branch.pop(branch, None)
        if prefix is None:
            return
        self._held_tokens -= prefix.tokens
        siblings = self._branches_by_program[branch.program_id]
        siblings.discard(branch)
        if not siblings:
            del self._branches_by_program[branch.program_id]
