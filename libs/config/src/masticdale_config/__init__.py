"""Declarations, their rendering and the revision in force."""
