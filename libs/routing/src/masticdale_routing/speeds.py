"""Estimates a replica's speed from its finished calls."""

import math

from masticdale_routing.tickets import Ticket, TicketResult

_LEARNING_RATE = 0.2
# Bound of the ratio of actual to predicted duration in one update, so that a
# single outlier can't distort the estimates.
_MAX_RATIO = 8.0
# Avoids division by zero for a call without tokens.
_MIN_PREDICTED_S = 1e-4


class EngineSpeed:
    """Estimates prefill speed, decode speed and response length.

    Attributes:
        prefill_tokens_per_s: Speed of computing a prompt.
        decode_tokens_per_s: Generation speed of one call at the current load.
        generated_tokens: Mean length of a response in tokens.
        is_learned: Whether any call has been observed.
    """

    def __init__(
        self,
        prefill_tokens_per_s: float = 10_000.0,
        decode_tokens_per_s: float = 50.0,
        generated_tokens: float = 200.0,
    ) -> None:
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.decode_tokens_per_s = decode_tokens_per_s
        self.generated_tokens = generated_tokens
        self.is_learned = False

    def service_s(self, ticket: Ticket) -> float:
        """Returns the expected service time of a ticket."""
        generated = self.generated_tokens
        if ticket.max_tokens > 0:
            generated = min(generated, float(ticket.max_tokens))
        return self._predict(ticket.uncached_tokens, generated)

    def decode_only_service_s(self) -> float:
        """Returns the expected decode time of a response of mean length."""
        return self._predict(0, self.generated_tokens)

    def decode_speed(self, result: TicketResult) -> float | None:
        """Returns a call's decode speed in tokens/s, or None if unknown."""
        uncached = result.prompt_tokens - result.cached_tokens
        prefill_s = result.first_token_s
        if prefill_s <= 0:
            prefill_s = uncached / self.prefill_tokens_per_s
        decode_s = result.service_s - prefill_s
        if result.generated_tokens <= 0 or decode_s <= 0:
            return None
        return result.generated_tokens / decode_s

    def observe(self, result: TicketResult) -> None:
        """Updates the estimates after a finished call.

        The time to the first token may be unknown, so only the total duration
        is used. Its error is split between prefill and decode in proportion to
        their predicted durations.
        """
        if result.service_s <= 0 or result.crashed:
            return
        self.is_learned = True
        uncached = max(0, result.prompt_tokens - result.cached_tokens)
        prefill_s = uncached / self.prefill_tokens_per_s
        decode_s = result.generated_tokens / self.decode_tokens_per_s
        predicted_s = max(_MIN_PREDICTED_S, prefill_s + decode_s)
        ratio = result.service_s / predicted_s
        error = math.log(min(_MAX_RATIO, max(1 / _MAX_RATIO, ratio)))
        step = _LEARNING_RATE * error / predicted_s
        self.prefill_tokens_per_s *= math.exp(-step * prefill_s)
        self.decode_tokens_per_s *= math.exp(-step * decode_s)
        change = result.generated_tokens - self.generated_tokens
        self.generated_tokens += _LEARNING_RATE * change

    def _predict(self, uncached: int, generated: float) -> float:
        prefill_s = uncached / self.prefill_tokens_per_s
        return prefill_s + generated / self.decode_tokens_per_s
