"""What a replica's prefix cache is believed to hold.

Built from what was sent there, corrected by cache events that come late and
with gaps. A wrong belief costs time, never correctness.
"""

import collections
import dataclasses

_DEFAULT_MAX_BRANCHES = 50_000
_GAP_DISCOUNT = 0.7
_EVENT_LAG_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class BranchKey:
    """One branch of one program.

    Attributes:
        program_id: The program.
        branch_id: The branch.
    """

    program_id: str
    branch_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixRequest:
    """A prompt to be looked up.

    Attributes:
        branch: The branch it belongs to.
        prompt_tokens: Tokens of the whole prompt.
        template: Digest of the shared first part; empty for none.
        template_tokens: Tokens of the shared first part.
        parent: The branch whose prefix it starts with, for a sub-agent.
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
    """Believed content of one replica's prefix cache.

    Attributes:
        capacity_tokens: What the cache can hold; 0 while unknown.
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
        """Tokens believed to be held, templates counted once per branch."""
        return self._held_tokens

    def __len__(self) -> int:
        return len(self._prefix_by_branch)

    def cached_tokens(self, request: PrefixRequest) -> int:
        """Returns the prompt tokens expected to come from the cache.

        A restore works only from a multiple of the engine's interval, and at
        least the last token is always computed.

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
        """Notes a prompt sent to the replica."""
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
        """Notes the whole context, answer included, after a call's end."""
        held = self._prefix_by_branch.get(branch)
        template = held.template if held else ""
        self._store(branch, tokens, template, now)

    def record_stored(self, branch: BranchKey, tokens: int, now: float) -> None:
        """Applies an event: the engine holds a prefix."""
        held = self._prefix_by_branch.get(branch)
        if held is None:
            self._store(branch, tokens, "", now)
            return
        # Events are late: one that tells of an earlier call must not shrink
        # what a later call has left there.
        if self._is_recent(held, now) and tokens < held.tokens:
            return
        self._held_tokens += tokens - held.tokens
        held.tokens = tokens
        held.gaps_at_confirmation = self._gaps

    def record_evicted(
        self, branch: BranchKey, tokens: int, now: float
    ) -> None:
        """Applies an event: a prefix shrank to some tokens, 0 for all."""
        held = self._prefix_by_branch.get(branch)
        if held is None or self._is_recent(held, now):
            return
        if tokens <= 0:
            self._remove(branch)
            return
        self._held_tokens += tokens - held.tokens
        held.tokens = tokens
        held.gaps_at_confirmation = self._gaps

    def record_event_gap(self) -> None:
        """Notes that cache events were lost."""
        self._gaps += 1

    def remove_program(self, program_id: str) -> None:
        """Forgets all branches of a program."""
        for branch in list(self._branches_by_program.get(program_id, ())):
            self._remove(branch)

    def clear(self) -> None:
        """Forgets everything: the replica lost its memory."""
        self._prefix_by_branch.clear()
        self._branches_by_program.clear()
        self._tokens_by_template.clear()
        self._held_tokens = 0

    def _is_recent(self, held: _CachedPrefix, now: float) -> bool:
        return now - held.used_at < _EVENT_LAG_S

    def _expected_tokens(self, branch: BranchKey) -> int:
        held = self._prefix_by_branch.get(branch)
        if held is None:
            return 0
        gaps = self._gaps - held.gaps_at_confirmation
        return int(held.tokens * _GAP_DISCOUNT**gaps)

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
        # Engines evict the least recently used prefix; doing the same here
        # keeps the belief close when eviction events are lost.
        while len(self._prefix_by_branch) > 1 and self._is_over_capacity():
            self._remove(next(iter(self._prefix_by_branch)))

    def _is_over_capacity(self) -> bool:
        if len(self._prefix_by_branch) > self._max_branches:
            return True
        return 0 < self.capacity_tokens < self._held_tokens

    def _remove(self, branch: BranchKey) -> None:
        held = self._prefix_by_branch.pop(branch, None)
        if held is None:
            return
        self._held_tokens -= held.tokens
        siblings = self._branches_by_program[branch.program_id]
        siblings.discard(branch)
        if not siblings:
            del self._branches_by_program[branch.program_id]
