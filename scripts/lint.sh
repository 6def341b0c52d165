#!/usr/bin/env bash
# Runs clang-tidy over all sources of the project. A stamp per source file, keyed by a hash of the
# preprocessor inputs, skips files that have not changed since they last passed.
set -eu
build=$1
jobs=$2
stamps=$build/lint
mkdir -p "$stamps"
headers=$(cat .clang-tidy $(git ls-files -co --exclude-standard '*.h') | sha1sum | cut -c1-40)
export build stamps headers
lint_one() {
    key=$( (echo "$headers"; cat "$1") | sha1sum | cut -c1-40)
    [ ! -e "$stamps/$key" ] || return 0
    if output=$(clang-tidy -p "$build" --quiet "$1" 2>/dev/null); then
        touch "$stamps/$key"
    else
        echo "$output"
        return 1
    fi
}
export -f lint_one
git ls-files -co --exclude-standard '*.cpp' | xargs -P "$jobs" -I{} bash -c 'lint_one {}'
echo "lint: no findings"
