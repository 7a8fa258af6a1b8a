#!/bin/sh
# Runs the case in the repository root's build; see claim.txt.
cd "$(dirname "$0")/../../.."
exec java -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.maxIdleConnections=1000 \
    -cp "review/earlier/target:$(echo target/lib/jackson-*.jar | tr ' ' ':')" \
    review.standin.LargeJobCase review/earlier/2/record.txt
