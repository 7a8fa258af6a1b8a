#!/bin/sh
# Compiles the stand-ins that the scripts start into review/target. Run it in the repository root,
# after the build of the deploy file, whose libraries it uses.
set -e
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target
javac -nowarn -d review/target -cp "$(echo target/lib/jackson-*.jar | tr ' ' ':')" review/standin/*.java
