#!/bin/sh
# The stand-ins are Python of the standard library alone: they are compiled, so
# that a fault in one shows before a case is run.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins.py 1 2 3
