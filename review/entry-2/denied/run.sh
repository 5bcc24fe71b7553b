#!/usr/bin/env bash
# Builds and runs this script's driver, after the build of deploy/system.toml. Exit status: 1 the rule was broken, 0 it held,
# 2 it couldn't run. TROUBLE=0 leaves out the disruption.
export TROUBLE="${TROUBLE:-1}"
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../../.." && pwd) || exit 2
[ -x "$root/target/packages/daemon/pollengraded" ] || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$work/driver" "$here/case.cc" || exit 2
timeout -k 5 115 "$work/driver" "$root" "$work" "$here/record.txt"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
