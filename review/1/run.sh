#!/bin/sh
# Freezes a core machine for 7.5 s while another is replaced; 18 s later two machines lose their disks. Exits
# with 1 if the configuration acknowledged before that cannot be read back, 0 if it can, and 2 if the case
# could not run. TROUBLE=0: no disruption; TROUBLE=final: only the two disks are lost. Needs review/build.sh.
cd "$(dirname "$0")" || exit 2
program=../standins/target/release/review-standins
[ -x "$program" ] && [ -x ../../target/release/corktack-platform ] || exit 2
exec "$program" removed "$(cd ../.. && pwd)" record.txt
