#!/usr/bin/env bash
# Installs the named Debian packages that are missing. Does nothing when all are there.
set -eu
missing=()
for package in "$@"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
        missing+=("$package")
done
[ ${#missing[@]} -gt 0 ] || exit 0
echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
