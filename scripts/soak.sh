#!/usr/bin/env bash
# Runs the invariant tests over many seeded schedules: soak.sh BUILD SCHEDULES JOBS. A failing seed is
# printed with the command that repeats it.
set -u
build=$1
total=$2
jobs=$3
chunk=$(((total + jobs - 1) / jobs))
status=0
for program in "$build"/tests/invariant_*_test; do
    pids=()
    for ((job = 0; job < jobs; ++job)); do
        FIRST_SEED=$((1 + job * chunk)) SCHEDULES=$chunk "$program" >"$build/soak.$job.log" 2>&1 &
        pids+=($!)
    done
    failed=0
    for ((job = 0; job < jobs; ++job)); do
        if ! wait "${pids[$job]}"; then
            failed=1
            grep -E 'ERROR|values|SEED=|seed :=' "$build/soak.$job.log" | head -6
        fi
    done
    if [ $failed = 0 ]; then
        echo "$(basename "$program"): $((chunk * jobs)) schedules passed"
    else
        echo "$(basename "$program"): FAILED; repeat with SEED=<seed> $program"
        status=1
    fi
done
exit $status
