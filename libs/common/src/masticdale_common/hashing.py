"""Stable hashes: rendezvous choice of a host, digests, program ids."""

from collections.abc import Iterable

import xxhash

SHARD_COUNT = 64


def digest(*parts: str) -> str:
    """Returns a stable 128-bit hex digest of the parts and their borders."""
    state = xxhash.xxh3_128()
    for part in parts:
        encoded = part.encode()
        state.update(len(encoded).to_bytes(8, "big"))
        state.update(encoded)
    return state.hexdigest()


def rendezvous_rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Returns hosts by rendezvous weight for a key, heaviest first.

    Each host that leaves moves only its own keys, so a change of membership
    disturbs as few shards and homes as possible.
    """
    return sorted(
        candidates,
        key=lambda candidate: (
            xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode()),
            candidate,
        ),
        reverse=True,
    )


def rendezvous_choose(key: str, candidates: Iterable[str]) -> str | None:
    """Returns the heaviest host for a key, or None without hosts."""
    ranked = rendezvous_rank(key, candidates)
    return ranked[0] if ranked else None


def shard_of(program_id: str, shard_count: int = SHARD_COUNT) -> int:
    """Returns the shard a program belongs to."""
    return xxhash.xxh3_64_intdigest(program_id.encode()) % shard_count
