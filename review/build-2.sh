#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/8 start beside the project's own
# programs. The stand-ins are plain Python without dependencies.
cd "$(dirname "$0")" && python3 -m compileall -q standins_2.py
