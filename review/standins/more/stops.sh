#!/bin/sh
# No case of its own (see REPORT.md): stops a front by SIGTERM while sessions send one statement after the
# other. Exits with 1 if a request that was passed on to a member got no answer. TROUBLE=0: no SIGTERM.
cd "$(dirname "$0")" || exit 2
program=../target/release/review-standins
[ -x "$program" ] && [ -x ../../../target/release/corktack-platform ] || exit 2
exec "$program" sigterm "$(cd ../../.. && pwd)" /dev/stdout
