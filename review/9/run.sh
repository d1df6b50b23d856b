#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 runs the same without the entry of another writer.
exec python3 "$(dirname "$0")/case.py"
