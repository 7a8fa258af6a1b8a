#!/bin/sh
# Builds the stand-ins of the third review; run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf review/standin-3/target
mkdir -p review/standin-3/target
javac -nowarn -d review/standin-3/target -cp 'target/lib/*' review/standin-3/*.java
