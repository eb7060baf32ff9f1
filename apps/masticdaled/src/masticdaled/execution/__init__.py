"""Executes model and service calls of the programs that this host owns."""
