#!/bin/sh
# Runs the case. TROUBLE=0 leaves out the disruption.
exec python3 "$(dirname "$0")/case.py"
