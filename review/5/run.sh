#!/bin/bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
export PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")" && exec python3 case.py
