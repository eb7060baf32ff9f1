"""The callers' API of an entry host."""
