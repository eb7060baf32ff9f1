"""The callers' side of an entry host."""
