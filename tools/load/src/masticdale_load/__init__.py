"""Load, faults and policy experiments."""
