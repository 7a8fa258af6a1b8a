#!/bin/sh
# The only machine of a kind crashes four times; a job needs it for a subtask that lasts.
# Exits with 1 if the job is shown as failed, 0 if not, 2 if the case could not run.
# TROUBLE=0: the machine does not crash.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/foxtail-node.jar ] && [ -d review/standin-2/target ] || exit 2
exec java -Xmx1g -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.maxIdleConnections=2000 \
    -cp "review/standin-2/target:target/lib/*" org.foxtailplank.review.FlappingMachineCase review/6
