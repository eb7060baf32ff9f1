"""Placement, admission, retries and suspects; decisions without I/O."""
