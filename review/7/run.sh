#!/bin/sh
# Consumers cancel jobs while the store loses answers and does writes late.
# Exits with 1 if subtasks of cancelled jobs stay at work, 0 if not, 2 if the case could not run.
# TROUBLE=0: the store loses nothing.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/foxtail-node.jar ] && [ -f review/standin-2/target/org/foxtailplank/review/CaseRunner.class ] || exit 2
exec java -Xmx1g -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.maxIdleConnections=2000 \
    -cp "review/standin-2/target:target/lib/*" org.foxtailplank.review.CancelCase review/7
