#!/bin/bash
# Plays the case on loopback. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't
# run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")"
case=$(basename "$PWD")
root=$(cd ../.. && pwd)
[ -x "../build/case-$case" ] && [ -x "$root/target/bin/ebonywayd" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -s KILL 110 "../build/case-$case" "$root" "$folder" "$PWD/record.txt"
status=$?
[ $status -le 1 ] || exit 2
exit $status
