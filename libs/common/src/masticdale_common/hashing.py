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


def rank(key: str, hosts: Iterable[str]) -> list[str]:
    """Returns hosts by rendezvous weight for a key, heaviest first.

    Each host that leaves moves only its own keys, so a change of membership
    disturbs as few shards and homes as possible.
    """
    return sorted(
        hosts,
        key=lambda host: (
            xxhash.xxh3_64_intdigest(f"{key}\0{host}".encode()),
            host,
        ),
        reverse=True,
    )


def choose(key: str, hosts: Iterable[str]) -> str | None:
    """Returns the heaviest host for a key, or None without hosts."""
    ranked = rank(key, hosts)
    return ranked[0] if ranked else None


def shard_of(program_id: str, shard_count: int = SHARD_COUNT) -> int:
    """Returns the shard a program belongs to."""
    return xxhash.xxh3_64_intdigest(program_id.encode()) % shard_count
