#!/bin/sh
# Builds the stand-ins of the cases into review/target; to be run after deploy/build.
set -e
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target
javac -d review/target -cp 'target/lib/*' review/standin/*.java
