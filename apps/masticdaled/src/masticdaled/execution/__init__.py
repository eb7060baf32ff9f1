"""Model and service calls of the programs owned here."""
