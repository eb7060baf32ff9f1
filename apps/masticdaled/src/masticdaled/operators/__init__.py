"""The operators' side of a host."""
