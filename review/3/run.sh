#!/bin/sh
# The primary crashes, the platform leaves the call for a promotion unanswered, and all processes of the core
# are killed and come back within a second. Exits with 1 if two holders promoted under one fencing token, 0 if
# not, and 2 if the case could not run. TROUBLE=0: no disruption; TROUBLE=crash: the core is not killed. Needs
# review/build.sh.
cd "$(dirname "$0")" || exit 2
program=../standins/target/release/review-standins
[ -x "$program" ] && [ -x ../../target/release/corktack-platform ] || exit 2
exec "$program" fence "$(cd ../.. && pwd)" record.txt
