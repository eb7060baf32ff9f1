"""Decides what happens to a prefix while its program waits for a tool."""

import collections
import dataclasses
import enum

_SAMPLES = 64
_MAX_KEYS = 2_000
_DEFAULT_PAUSE_S = 10.0
# Stands for an unlimited time or cost.
_UNBOUNDED_S = 1e9


class PauseAction(enum.StrEnum):
    """What happens to the prefix during the pause.

    COPY exports it and leaves it in the cache; EXPORT also frees it there.
    """

    KEEP = "keep"
    COPY = "copy"
    EXPORT = "export"
    RELEASE = "release"


@dataclasses.dataclass(frozen=True, slots=True)
class PauseKey:
    """Key by which pause lengths are learned.

    Attributes:
        program_kind: Kind of the program, from its template.
        tool: Name of the tool.
    """

    program_kind: str
    tool: str


@dataclasses.dataclass(frozen=True, slots=True)
class CachePressure:
    """Cost of holding tokens in a replica's cache.

    Attributes:
        residence_s: Time until an unused token is evicted; ``_UNBOUNDED_S``
            while the cache has room.
        prefill_tokens_per_s: Speed of computing a prompt.
        export_tokens_per_s: Speed of exports and imports; 0 if unsupported.
        reuse_share: Share of evicted tokens that are requested again.
    """

    residence_s: float = _UNBOUNDED_S
    prefill_tokens_per_s: float = 10_000.0
    export_tokens_per_s: float = 0.0
    reuse_share: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PauseDecision:
    """A decision, with the expected cost of each action in seconds.

    Attributes:
        action: The cheapest action.
        keep_s: Recomputation by programs whose prefixes are evicted instead,
            and by this program if its prefix is evicted nevertheless.
        copy_s: Export, import if the prefix is evicted meanwhile, and
            recomputation by programs whose prefixes are evicted instead.
        export_s: Export, and import if the program returns.
        release_s: Recomputation if the program returns.
    """

    action: PauseAction
    keep_s: float
    copy_s: float
    export_s: float
    release_s: float


class _Samples:
    """The most recent pauses of one key."""

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
        # Longer than every sample: with heavy-tailed lengths, the expected rest
        # is about the time elapsed.
        return max(_DEFAULT_PAUSE_S, elapsed_s)

    def return_share(self) -> float:
        # Laplace smoothing: few samples never make a return certain or
        # impossible.
        return (1 + sum(self.returned)) / (2 + len(self.returned))


class PauseModel:
    """Learns pause lengths and chooses the action of least expected cost."""

    def __init__(self) -> None:
        self._samples_by_key: collections.OrderedDict[PauseKey, _Samples] = (
            collections.OrderedDict()
        )

    def observe(self, key: PauseKey, pause_s: float) -> None:
        """Records a pause after which the program returned."""
        samples = self._samples(key)
        samples.lengths_s.append(pause_s)
        samples.returned.append(True)

    def observe_abandoned(self, key: PauseKey) -> None:
        """Records a pause from which the program never returned."""
        self._samples(key).returned.append(False)

    def expected_remaining_s(self, key: PauseKey, elapsed_s: float) -> float:
        """Returns the expected remaining length of a pause."""
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
        """Chooses the cheapest action for a prefix.

        Args:
            key: The program kind and the tool.
            tokens: Length of the prefix in tokens.
            elapsed_s: Length of the pause so far.
            pressure: Cost of holding tokens at the replica.
            exported_tokens: Tokens of the prefix already exported; only the
                rest is transferred.
        """
        samples = self._samples_by_key.get(key)
        return_share = samples.return_share() if samples else 1.0
        remaining_s = self.expected_remaining_s(key, elapsed_s)
        recompute_s = tokens / pressure.prefill_tokens_per_s
        displaced_share = min(1.0, remaining_s / pressure.residence_s)
        release_s = recompute_s * return_share
        # A pause longer than the residence time costs twice: the prefix
        # displaces others, and is itself evicted before its program returns.
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
