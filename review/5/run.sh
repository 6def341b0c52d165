#!/bin/sh
# Writes record.txt. With TROUBLE=0 the disruption is left out. Exits with 1 if the rule was broken, with 0
# if it held, and with 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
timeout -k 10 100 python3 case.py --record record.txt --trouble "${TROUBLE:-1}"
result=$?
[ $result -le 1 ] || result=2
exit $result
