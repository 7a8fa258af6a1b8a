#!/bin/sh
# Hands in jobs for 46 s, restarts every node once in turn, and asks for every accepted job.
# Exits with 1 if a job is lost, 0 if none is, 2 if the case couldn't run. TROUBLE=0: no restarts.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/foxtail-node.jar ] && [ -f review/standin-2/target/org/foxtailplank/review/CaseRunner.class ] || exit 2
exec java -Xmx1g -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.maxIdleConnections=2000 \
    -cp "review/standin-2/target:target/lib/*" org.foxtailplank.review.RollingRestartCase review/4
