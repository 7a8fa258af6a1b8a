#!/bin/sh
# Builds the stand-ins of the second review's scripts into review/standin-2/target/. The node itself
# is built by the command of the deploy file, which must have run before.
set -e
cd "$(dirname "$0")/.."
out=review/standin-2/target
mkdir -p "$out"
javac -nowarn -d "$out" -cp "target/lib/*" review/standin-2/src/org/foxtailplank/review/*.java
