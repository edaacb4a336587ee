#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out. KEEP=1 keeps the daemons' logs.
cd "$(dirname "$0")/.." || exit 2
[ -d target/review ] || { echo "run review/build.sh first" >&2; exit 2; }
timeout -k 4 112 java -Xmx512m -XX:+UseSerialGC \
    -Dsun.net.httpserver.nodelay=true -Djdk.httpclient.allowRestrictedHeaders=host \
    -cp target/review:target/endivetrayd.jar "$2" "$1/record.txt"
status=$?
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
