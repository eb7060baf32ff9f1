"""Stable hashes: digests, rendezvous hashing and the shards of programs."""

from collections.abc import Iterable

import xxhash

SHARD_COUNT = 64


def digest(*parts: str) -> str:
    """Returns a 128-bit hex digest of the parts.

    The length of each part is hashed too, so that ("ab", "c") and ("a", "bc")
    differ.
    """
    state = xxhash.xxh3_128()
    for part in parts:
        encoded = part.encode()
        state.update(len(encoded).to_bytes(8, "big"))
        state.update(encoded)
    return state.hexdigest()


def rendezvous_rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Returns candidates by rendezvous weight for a key, highest first.

    When a candidate leaves, only the keys that ranked it first are moved.
    """
    return sorted(
        candidates, key=lambda c: rendezvous_weight(key, c), reverse=True
    )


def rendezvous_choose(key: str, candidates: Iterable[str]) -> str | None:
    """Returns the candidate with the highest weight; None without any."""
    return max(
        candidates, key=lambda c: rendezvous_weight(key, c), default=None
    )


def shard_of(program_id: str, shard_count: int = SHARD_COUNT) -> int:
    """Returns the number of a program's shard."""
    return xxhash.xxh3_64_intdigest(program_id.encode()) % shard_count


def rendezvous_weight(key: str, candidate: str) -> tuple[int, str]:
    """Returns the weight of a candidate for a key; the highest is chosen."""
    digest = xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode())
    return digest, candidate
