#!/usr/bin/env bash
# Runs this case; see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# TROUBLE=0 leaves out the disruption; the driver reads it from its environment.
export TROUBLE="${TROUBLE:-1}"
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
driver=$root/review/build/case-$(basename "$here")
[ -x "$driver" ] && [ -x "$root/target/packages/daemon/pollengraded" ] || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
"$driver" "$root" "$work" "$here/record.txt"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
