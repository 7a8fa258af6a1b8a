#!/bin/sh
# Plays the case; see claim.txt. Needs deploy/build and review/build.sh before.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp 'review/target:target/lib/*' ExpiredTicket review/3
