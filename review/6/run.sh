#!/usr/bin/env bash
# A gateway gets SIGTERM while clients send one statement after the other on their open sessions.
# Exits with 1 if rule LOST was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the signal out.
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
root="$(cd "$here/../.." && pwd)"
program="$root/review/standins-2/target/release/corktack-review-2"
if [ ! -x "$program" ] || [ ! -x "$root/target/release/corktack-platform" ]; then
    echo "run the build of the deploy file and review/build-2.sh first" >&2
    exit 2
fi
# The program ends the processes that it starts. They are one process group, so that none stays if it is stopped.
set -m
"$program" stopping "$root" "$here/record.txt" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; exit 2' INT TERM
wait "$group"
code=$?
kill -KILL -- "-$group" 2>/dev/null
exit "$code"
