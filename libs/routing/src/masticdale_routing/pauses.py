"""What to do with a prefix while its program waits for a tool."""

import collections
import dataclasses
import enum

_SAMPLES = 64
_MAX_KEYS = 2_000
_DEFAULT_PAUSE_S = 10.0
_UNBOUNDED_S = 1e9


class PauseAction(enum.StrEnum):
    """What happens to the prefix.

    COPY exports it and leaves it in the cache too; EXPORT frees it there.
    """

    KEEP = "keep"
    COPY = "copy"
    EXPORT = "export"
    RELEASE = "release"


@dataclasses.dataclass(frozen=True, slots=True)
class PauseKey:
    """What pause lengths are learned for.

    Attributes:
        program_kind: The program's kind, from its template.
        tool: The tool that is called.
    """

    program_kind: str
    tool: str


@dataclasses.dataclass(frozen=True, slots=True)
class CachePressure:
    """What a held token costs at a replica.

    Attributes:
        residence_s: Seconds an unused token stays before it is evicted;
            infinite while the cache has room.
        prefill_tokens_per_s: How fast the replica computes a prompt.
        export_tokens_per_s: How fast it exports and imports; 0 if it can't.
        reuse_share: Share of evicted tokens that are asked for again.
    """

    residence_s: float = _UNBOUNDED_S
    prefill_tokens_per_s: float = 10_000.0
    export_tokens_per_s: float = 0.0
    reuse_share: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PauseDecision:
    """A decision and what it weighed, in seconds.

    Attributes:
        action: The cheapest action.
        keep_s: Recomputation that holding the prefix causes to others, and
            to its own program where it is evicted all the same.
        copy_s: Transfer out, and back where it is evicted meanwhile, besides
            the recomputation that holding it causes to others.
        export_s: Transfer out, and back if the program returns.
        release_s: Recomputation if the program returns.
    """

    action: PauseAction
    keep_s: float
    copy_s: float
    export_s: float
    release_s: float


class _Samples:
    """The latest pauses of one key."""

    def __init__(self) -> None:
        self.lengths_s: collections.deque[float] = collections.deque(
            maxlen=_SAMPLES
        )
        self.returned: collections.deque[bool] = collections.deque(
            maxlen=_SAMPLES
        )

    def remaining_s(self, elapsed_s: float) -> float:
        longer = [x - elapsed_s for x in self.lengths_s if x > elapsed_s]
        if longer:
            return sum(longer) / len(longer)
        # Beyond every pause seen: heavy tails last about as long again.
        return max(_DEFAULT_PAUSE_S, elapsed_s)

    def return_share(self) -> float:
        # One success and one failure more than seen, so that a few samples
        # never make a return certain or impossible.
        return (1 + sum(self.returned)) / (2 + len(self.returned))


class PauseModel:
    """Learns pause lengths and decides by expected cost."""

    def __init__(self) -> None:
        self._samples_by_key: collections.OrderedDict[PauseKey, _Samples] = (
            collections.OrderedDict()
        )

    def observe(self, key: PauseKey, pause_s: float) -> None:
        """Learns from a pause whose program returned."""
        samples = self._samples(key)
        samples.lengths_s.append(pause_s)
        samples.returned.append(True)

    def observe_abandoned(self, key: PauseKey) -> None:
        """Learns from a program that never returned from its tool."""
        self._samples(key).returned.append(False)

    def expected_remaining_s(self, key: PauseKey, elapsed_s: float) -> float:
        """Returns the expected rest of a pause."""
        samples = self._samples_by_key.get(key)
        if samples is None:
            return max(_DEFAULT_PAUSE_S, elapsed_s)
        return samples.remaining_s(elapsed_s)

    def decide(
        self,
        key: PauseKey,
        tokens: int,
        elapsed_s: float,
        pressure: CachePressure,
        exported_tokens: int = 0,
    ) -> PauseDecision:
        """Weighs keeping, exporting and releasing a prefix.

        Args:
            key: The program kind and the tool.
            tokens: Length of the prefix.
            elapsed_s: How long the pause has lasted.
            pressure: What a held token costs.
            exported_tokens: Tokens of the prefix that an earlier export
                holds; only the rest has to be transferred out.
        """
        samples = self._samples_by_key.get(key)
        return_share = samples.return_share() if samples else 1.0
        remaining_s = self.expected_remaining_s(key, elapsed_s)
        recompute_s = tokens / pressure.prefill_tokens_per_s
        displaced_share = min(1.0, remaining_s / pressure.residence_s)
        release_s = recompute_s * return_share
        # A pause that outlasts the residence costs twice: others are evicted
        # for the prefix, and it is evicted itself before its program returns.
        keep_s = displaced_share * (
            recompute_s * pressure.reuse_share + release_s
        )
        copy_s = export_s = _UNBOUNDED_S
        if pressure.export_tokens_per_s > 0:
            unexported_tokens = max(0, tokens - exported_tokens)
            transfer_out_s = unexported_tokens / pressure.export_tokens_per_s
            transfer_back_s = (
                return_share * tokens / pressure.export_tokens_per_s
            )
            displacement_s = recompute_s * pressure.reuse_share
            copy_s = transfer_out_s + displaced_share * (
                displacement_s + transfer_back_s
            )
            export_s = transfer_out_s + transfer_back_s
        action = min(
            (keep_s, 0, PauseAction.KEEP),
            (copy_s, 1, PauseAction.COPY),
            (export_s, 2, PauseAction.EXPORT),
            (release_s, 3, PauseAction.RELEASE),
        )[2]
        return PauseDecision(action, keep_s, copy_s, export_s, release_s)

    def _samples(self, key: PauseKey) -> _Samples:
        samples = self._samples_by_key.get(key)
        if samples is None:
            samples = self._samples_by_key[key] = _Samples()
            if len(self._samples_by_key) > _MAX_KEYS:
                self._samples_by_key.popitem(last=False)
        self._samples_by_key.move_to_end(key)
        return samples
