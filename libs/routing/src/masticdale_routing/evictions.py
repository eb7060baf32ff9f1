"""Estimates how fast a replica's prefix cache evicts tokens."""

_WINDOW_S = 60.0


class EvictionRate:
    """Tokens evicted per second.

    The recorded tokens decay linearly to zero over twice the window. Each
    record restarts the decay of the remaining sum, so at a steady rate the sum
    approaches the tokens of two windows.
    """

    def __init__(self) -> None:
        self._tokens = 0.0
        self._updated_at = 0.0

    def record_evicted(self, tokens: int, now: float) -> None:
        """Records evicted tokens."""
        self._tokens = self._decayed_tokens(now) + tokens
        self._updated_at = now

    def tokens_per_s(self, now: float) -> float:
        """Returns the current rate."""
        return self._decayed_tokens(now) / _WINDOW_S

    def _decayed_tokens(self, now: float) -> float:
        elapsed_s = now - self._updated_at
        return self._tokens * max(0.0, 1 - elapsed_s / (2 * _WINDOW_S))
