#!/usr/bin/env bash
# Builds the stand-ins and the cases to target/review, after the build of the deploy file.
# The stand-ins use the JSON library in target/endivetrayd.jar.
set -eu
cd "$(dirname "$0")/.."
[ -f target/endivetrayd.jar ] || { echo "target/endivetrayd.jar is missing: run the build of deploy/system.toml first" >&2; exit 2; }
rm -rf target/review
mkdir -p target/review
javac -Xlint:all --release 17 -d target/review -cp target/endivetrayd.jar review/rig/*.java review/[1-5]/*.java
