#!/bin/sh
# Runs the case and writes record.txt beside it. TROUBLE=0 leaves out the disruption.
exec python3 "$(dirname "$0")/case.py"
