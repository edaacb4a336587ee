#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the JSON library in the built daemon; needs no network.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
javac -nowarn -d "$out" -cp target/endivetrayd.jar review/rig2/*.java
