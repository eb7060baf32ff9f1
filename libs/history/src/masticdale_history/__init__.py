"""Histories of turns, kept on the disks of storage hosts."""

from masticdale_history.messages import HISTORY
from masticdale_history.placement import (
    Lookup,
    Member,
    is_absence_certain,
    rank_hosts,
)
from masticdale_history.records import Chain, TurnKey, TurnRecord

__all__ = [
    "HISTORY",
    "Chain",
    "Lookup",
    "Member",
    "TurnKey",
    "TurnRecord",
    "is_absence_certain",
    "rank_hosts",
]
