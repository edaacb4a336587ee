#!/usr/bin/env bash
# Runs a case: run-case.sh CLASS FOLDER. The exit status is that of the case; 2 if it could not run in time.
set -u
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.."
[ -s target/endivetrayd.jar ] && [ -d target/review-2 ] || { echo "build first: deploy file, review/build-2.sh" >&2; exit 2; }
timeout -k 5 115 java -Xmx512m -XX:+UseSerialGC -Dsun.net.httpserver.nodelay=true \
    -Dsun.net.httpserver.maxIdleConnections=4000 \
    -cp target/review-2:target/endivetrayd.jar "$1" "$folder"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
