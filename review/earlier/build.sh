#!/bin/sh
# Compiles the stand-ins that the scripts start into review/earlier/target. Run it in the repository root,
# after the build of the deploy file, whose libraries it uses.
set -e
cd "$(dirname "$0")/../.."
rm -rf review/earlier/target
mkdir -p review/earlier/target
javac -nowarn -d review/earlier/target -cp "$(echo target/lib/jackson-*.jar | tr ' ' ':')" review/earlier/standin/*.java
