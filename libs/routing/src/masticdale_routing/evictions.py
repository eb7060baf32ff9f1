"""How fast a replica's cache evicts, from its late and gappy events."""

_WINDOW_S = 60.0


class EvictionRate:
    """Tokens evicted per second, forgotten over a window."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._at = 0.0

    def record_evicted(self, tokens: int, now: float) -> None:
        """Notes evicted tokens."""
        self._tokens = self._remembered(now) + tokens
        self._at = now

    def tokens_per_s(self, now: float) -> float:
        """Returns the present rate."""
        return self._remembered(now) / _WINDOW_S

    def _remembered(self, now: float) -> float:
        passed = now - self._at
        return self._tokens * max(0.0, 1 - passed / (2 * _WINDOW_S))
