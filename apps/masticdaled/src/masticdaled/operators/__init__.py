"""The operators' API of an entry host."""
