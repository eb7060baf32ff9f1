"""Ownership of program shards, and copies of the records of shards."""
