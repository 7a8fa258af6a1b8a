#!/bin/sh
# Plays what claim.txt says: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -d review/standin-3/target ] && [ -f target/foxtail-node.jar ] || exit 2
exec java -Xmx256m -cp 'review/standin-3/target:target/lib/*' Starved review/starved/record.txt
