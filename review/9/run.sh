#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule is broken, 0 if it
# holds, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
driver=$root/review/build/case-9
[ -x "$driver" ] && [ -x "$root/target/packages/daemon/pollengraded" ] || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
"$driver" "$root" "$work" "$folder/record.txt"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
